//! Child processes. Dropping a [`Process`] kills it.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running child process.
pub struct Process {
    child: Child,
    pub log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of the program `name` in the build directory of the current executable.
///
/// # Errors
/// The program has not been built.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let current = std::env::current_exe()?;
    // Test executables are in a subdirectory of the build directory.
    let directories = current.ancestors().skip(1).take(2);
    let found = directories
        .map(|directory| directory.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other(format!(
            "{name} is neither in the directory of {} nor in its parent: run cargo build",
            current.display()
        ))
    })
}

impl Process {
    /// Starts a command and appends its standard output and standard error to the file `log`.
    ///
    /// # Errors
    /// The command can't be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Process> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(Process {
            child,
            log: log.into(),
        })
    }

    /// Kills the process as a crash would: it runs no further code.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the process a signal, given as an option of `kill`, such as `-TERM`.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let result = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()?;
        if result.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!(
                "process {} has ended",
                self.child.id()
            )))
        }
    }

    /// Sends SIGTERM and waits. Returns whether the process exited successfully within `timeout`.
    pub fn terminate(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut signalled = self.signal("-TERM").is_ok();
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return signalled && status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => signalled = false,
            }
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Processor time used so far in seconds, and peak resident memory in KiB.
    pub fn resource_usage(&self) -> Option<(f64, u64)> {
        let directory = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = std::fs::read_to_string(directory.join("stat")).ok()?;
        let after_name = stat.rsplit(')').next()?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(directory.join("status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some((ticks / 100.0, peak.split_whitespace().next()?.parse().ok()?))
    }
}
