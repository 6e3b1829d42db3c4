//! The mixer's clock: Unix time as read at the start, plus the monotonic time elapsed since.

use cottonhill_decisions::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that is unaffected by adjustments of the system time. Its times can be compared with the start times in
/// endpoint updates.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Unix time in nanoseconds at `started_at`.
    start_unix_ns: Nanos,
}

impl Clock {
    /// Creates a clock; reads the system time once.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            start_unix_ns: unix_time.as_nanos() as Nanos,
        }
    }

    /// Returns the current Unix time in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.start_unix_ns + self.started_at.elapsed().as_nanos() as Nanos
    }

    /// Converts a Unix time in nanoseconds to an instant for timers. Times before the clock's start are converted to
    /// its start.
    pub fn instant(&self, unix_ns: Nanos) -> Instant {
        self.started_at + Duration::from_nanos(unix_ns.saturating_sub(self.start_unix_ns))
    }
}
