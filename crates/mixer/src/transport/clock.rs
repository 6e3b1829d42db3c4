//! The one clock: Unix time as read at the start, plus what has passed since.

use crate::interface::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Never steps back or jumps, and still compares with the start times that discovery states.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    unix: Nanos,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix: unix.as_nanos() as Nanos }
    }

    pub fn now(&self) -> Nanos {
        self.unix + self.began.elapsed().as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.began + Duration::from_nanos(at.saturating_sub(self.unix))
    }
}
