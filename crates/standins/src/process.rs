//! Child processes: each is ended, by its id, when it is dropped.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

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

/// The program that was built beside this one.
///
/// # Errors
/// It was not built.
pub fn beside(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Tests run from a folder below.
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other(format!("{name} has not been built: run cargo build first"))
    })
}

impl Process {
    /// Starts a command; both of its outputs are appended to a file.
    ///
    /// # Errors
    /// It can't be started.
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

    /// Ends it as a crash does: nothing of it runs again.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by name, as in `-TERM`.
    ///
    /// # Errors
    /// There is no such process any more.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let done = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status()?;
        if done.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!(
                "process {} is over",
                self.child.id()
            )))
        }
    }

    /// Asks it to end and waits; true if it did within `most`, with success.
    pub fn end(&mut self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut asked = self.signal("-TERM").is_ok();
        while Instant::now() < until {
            match self.child.try_wait() {
                Ok(Some(status)) => return asked && status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => asked = false,
            }
        }
        false
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Seconds of processor time that it has used, and the most memory it held, in KiB.
    pub fn used(&self) -> Option<(f64, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let after = stat.rsplit(')').next()?;
        let words: Vec<&str> = after.split_whitespace().collect();
        let ticks = words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        Some((ticks / 100.0, peak.split_whitespace().next()?.parse().ok()?))
    }
}
