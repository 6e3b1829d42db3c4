//! Processor time and memory of this process.

use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::Duration;

/// Processor time of all threads of this process since its start.
pub fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(
        time.tv_sec.try_into().unwrap_or_default(),
        time.tv_nsec.try_into().unwrap_or_default(),
    )
}

/// Resident memory in bytes; 0 where the kernel does not report it.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or_default();
    pages * rustix::param::page_size() as u64
}

/// Peak resident memory of this process in bytes; 0 where the kernel does not report it.
pub fn peak_resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib: u64 = line
        .and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or_default();
    kib * 1024
}

/// Measures the processor time of this process from a start on.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorTimer(Duration);

impl ProcessorTimer {
    pub fn start() -> ProcessorTimer {
        ProcessorTimer(processor_time())
    }

    /// Processor time since the start, in nanoseconds.
    pub fn elapsed_ns(self) -> f64 {
        processor_time().saturating_sub(self.0).as_nanos() as f64
    }
}
