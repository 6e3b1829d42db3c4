//! Runs each point in a process of its own, so that the memory of one point does not distort that of the next.

use super::point::{Sample, Spec};
use serde::de::DeserializeOwned;
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Interval at which a running process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures `spec` in a new process of `program`, which is killed after `time_limit`.
pub fn measure(program: &std::path::Path, spec: &Spec, time_limit: Duration) -> Sample {
    let spec = match serde_json::to_string(spec) {
        Ok(spec) => spec,
        Err(error) => return Sample::failed(error.to_string()),
    };
    let mut command = Command::new(program);
    command.arg("point").arg(spec);
    run_for_json(command, time_limit).unwrap_or_else(Sample::failed)
}

/// Runs a command, which is killed after `time_limit`, and parses the line of JSON that it writes. The line is read
/// after the process has exited, so it must fit into the pipe: 64 KiB at most.
///
/// # Errors
/// The command cannot be started, fails, exceeds the time limit or writes other output.
pub fn run_for_json<T: DeserializeOwned>(
    mut command: Command,
    time_limit: Duration,
) -> Result<T, String> {
    let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
    started
        .map_err(|e| format!("cannot start the process of the point: {e}"))
        .and_then(|child| wait_for_output(child, time_limit))
}

/// Waits for the process and parses the line that it wrote.
fn wait_for_output<T: DeserializeOwned>(
    mut child: Child,
    time_limit: Duration,
) -> Result<T, String> {
    let started_at = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().map_err(|e| e.to_string())? {
            break status;
        }
        if started_at.elapsed() >= time_limit {
            child
                .kill()
                .and_then(|()| child.wait())
                .map_err(|e| e.to_string())?;
            return Err(format!(
                "process killed after its time limit of {} s",
                time_limit.as_secs_f64()
            ));
        }
        std::thread::sleep(POLL_INTERVAL);
    };
    if !status.success() {
        return Err(format!("the process of the point ended with {status}"));
    }
    let mut line = String::new();
    let mut stdout = child
        .stdout
        .take()
        .ok_or("the process of the point has no output pipe")?;
    stdout
        .read_to_string(&mut line)
        .map_err(|e| e.to_string())?;
    serde_json::from_str(&line)
        .map_err(|e| format!("the process of the point wrote an invalid result: {e}"))
}
