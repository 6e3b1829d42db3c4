//! Points in processes of their own, one at a time: the memory of one does not blur that of the next.

use super::point::{Sample, Spec};
use std::io::Read;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How often a running point is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// Measures `spec` in a new process of `program`, which is ended after `limit`.
pub fn measure(program: &std::path::Path, spec: &Spec, limit: Duration) -> Sample {
    started(program, spec).and_then(|child| ended(child, limit)).unwrap_or_else(Sample::failed)
}

fn started(program: &std::path::Path, spec: &Spec) -> Result<Child, String> {
    let spec = serde_json::to_string(spec).map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.arg("point").arg(spec).stdin(Stdio::null()).stdout(Stdio::piped());
    command.spawn().map_err(|e| format!("cannot start the process of a point: {e}"))
}

/// Waits for the process and reads the one line that it wrote.
fn ended(mut child: Child, limit: Duration) -> Result<Sample, String> {
    let began = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().map_err(|e| e.to_string())? {
            break status;
        }
        if began.elapsed() >= limit {
            child.kill().and_then(|()| child.wait()).map_err(|e| e.to_string())?;
            return Err(format!("ended after its limit of {} s", limit.as_secs_f64()));
        }
        std::thread::sleep(LOOK);
    };
    if !status.success() {
        return Err(format!("its process ended with {status}"));
    }
    let mut line = String::new();
    let mut stdout = child.stdout.take().ok_or("its process has no output")?;
    stdout.read_to_string(&mut line).map_err(|e| e.to_string())?;
    serde_json::from_str(&line).map_err(|e| format!("its process wrote what is no sample: {e}"))
}
