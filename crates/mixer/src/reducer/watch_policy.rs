//! How fresh the list is kept: how long a watch may say nothing, and when the next is opened after one that ended.
//! One rule for each way in which discovery announces changes; the settings state which one applies.
//!
//! - Pushed: an agent on the mixer's own machine, free to ask, whose list is in force whether or not it is watched.
//!   Any wait is time in which something in force is not known, so it is a small share of the drain grace, whatever
//!   the size of the fleet and however often it has failed.
//! - ClientRequest: one service for all mixers, which serves calls one after another. The calls are spread and become fewer
//!   as they fail (`Backoff`), within the time after which what it has counts as announced and what the settings let a
//!   mixer go without asking.

use super::backoff::Backoff;
use crate::protocol::endpoint_updates::{self, MAX_UPDATE_BYTES};
use std::time::Duration;

/// Which way holds, with the time that bounds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// Nothing goes to a leaving replica later than `grace` after it was announced as leaving.
    Push { drain_grace: Duration },
    /// After `within` without a call the list that discovery has then counts as announced; none where the settings
    /// do not state it.
    Poll { max_staleness: Option<Duration> },
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// How long it was open or tried for.
    pub duration: Duration,
    /// It brought what was asked for, be it a sign of life.
    pub received: bool,
    /// It fell silent: its connection is open and nothing comes.
    pub silent: bool,
    /// What the other end asked for with `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// What discovery has counts as announced so long after it had it and could be reached, whichever calls failed
/// meanwhile; so does what a silent watch misses, from when it fell silent.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// Of that, what is left for the try that succeeds: to connect, and to be answered.
const LAST_TRY: Duration = Duration::from_millis(1_500);
/// A sign of life is due every 2 s; one is late by half of the time between two. Taking a watch that lives for dead
/// costs one call.
const SILENT: Duration = Duration::from_secs(3);
/// A call may wait at the service for as long as it serves others; ours is given up later than its own are.
const ASKED_ANSWER: Duration = Duration::from_secs(3);
const ASKED_CONNECT: Duration = Duration::from_secs(1);
/// Tries at an agent that refuses or resets at once begin no closer than this share of the grace.
const TRIES_A_GRACE: u32 = 5;
/// Where the settings state a grace that is no bound, or none.
const APART: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// An agent that is silent now answers what it was asked as soon as it can again; a connection that it has lost is
/// found out by then.
const PUSHED_ANSWER: Duration = Duration::from_secs(1);

/// A new process waits for its first list no longer.
const FIRST_LIST: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct WatchPolicy {
    way: WatchMode,
    backoff: Backoff,
    /// The most bytes of one message.
    max_update_bytes: usize,
}

impl WatchPolicy {
    /// For one of so many `mixers`; they must have different seeds, or they would ask alike.
    pub fn new(way: WatchMode, seed: u64, mixers: u32) -> WatchPolicy {
        WatchPolicy {
            way,
            backoff: Backoff::new(seed, mixers, apart(way)),
            max_update_bytes: MAX_UPDATE_BYTES,
        }
    }

    /// Sets the bytes that the process may use: the text of a list takes its share of them at most.
    pub fn limit_memory(&mut self, memory: usize) {
        self.max_update_bytes = endpoint_updates::max_update_bytes(memory);
    }

    /// The most bytes of one message of discovery; a longer one is refused.
    pub fn max_update_bytes(&self) -> usize {
        self.max_update_bytes
    }

    /// For a connection to come up.
    pub fn connect_timeout(&self) -> Duration {
        match self.way {
            WatchMode::Push { .. } => 2 * apart(self.way),
            WatchMode::Poll { .. } => ASKED_CONNECT.min(apart(self.way) / 4),
        }
    }

    /// For the first sign of life of a new watch.
    pub fn answer_timeout(&self) -> Duration {
        match self.way {
            WatchMode::Push { .. } => PUSHED_ANSWER,
            // The next try begins in time even if this one is never answered.
            WatchMode::Poll { .. } => ASKED_ANSWER.min(apart(self.way) - self.connect_timeout()),
        }
    }

    /// For the first list after a start, before which nothing is sent: what discovery had long ago counts as announced
    /// to a new process as well. One that has left it unanswered for so long is silent or overbooked, and the
    /// remembered list is the best there is.
    pub fn initial_list_timeout(&self) -> Duration {
        FIRST_LIST.min(self.answer_timeout())
    }

    /// Whether a new address means another list, with versions of its own: agents have one each, a service one for
    /// all.
    pub fn versions_differ_by_address(&self) -> bool {
        matches!(self.way, WatchMode::Push { .. })
    }

    /// Between two signs of life.
    pub fn silence_timeout(&self) -> Duration {
        SILENT
    }

    /// How long to wait after a watch that ended so.
    pub fn next_delay(&mut self, ended: WatchEnd) -> Duration {
        let apart = apart(self.way);
        match self.way {
            // The agent's list is in force at once, so what it asks for does not count.
            WatchMode::Push { .. } => apart.saturating_sub(ended.duration),
            WatchMode::Poll { .. } => {
                let room = match ended {
                    // The clock for silence has run since the last line, and runs on.
                    WatchEnd {
                        received: true,
                        silent: true,
                        ..
                    } => STALENESS_BOUND - SILENT - LAST_TRY,
                    WatchEnd { received: true, .. } => apart,
                    // Discovery may have come back right after this try began.
                    WatchEnd {
                        received: false,
                        duration,
                        ..
                    } => apart.saturating_sub(duration),
                };
                self.backoff
                    .after(ended.received, ended.retry_after, room.min(apart))
            }
        }
    }
}

/// The most that lies between the beginnings of two tries that fail.
fn apart(way: WatchMode) -> Duration {
    match way {
        WatchMode::Push { drain_grace } => (drain_grace / TRIES_A_GRACE).clamp(APART.0, APART.1),
        WatchMode::Poll { max_staleness } => {
            (STALENESS_BOUND - LAST_TRY).min(max_staleness.unwrap_or(Duration::MAX))
        }
    }
}
