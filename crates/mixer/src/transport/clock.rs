//! The mixer's clock: Unix time as read at the start, plus the monotonic time since.

use cottonhill_decisions::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that never steps, whose times can be compared with the start times that discovery states.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Unix nanoseconds at `started_at`.
    unix_at_start: Nanos,
}

impl Clock {
    /// A clock that reads the system's time once, now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            unix_at_start: unix.as_nanos() as Nanos,
        }
    }

    /// The time in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.unix_at_start + self.started_at.elapsed().as_nanos() as Nanos
    }

    /// The instant of a time in Unix nanoseconds, for timers; the clock's start for times before it.
    pub fn instant(&self, unix: Nanos) -> Instant {
        self.started_at + Duration::from_nanos(unix.saturating_sub(self.unix_at_start))
    }
}
