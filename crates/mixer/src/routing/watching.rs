//! How fresh the list is kept: how long a watch may say nothing, and when the next is opened after one that ended.
//! One rule for each way in which discovery announces changes; the settings state which one applies.
//!
//! - Pushed: an agent on the mixer's own machine, free to ask, whose list is in force whether or not it is watched.
//!   Any wait is time in which something in force is not known, so it is a small share of the drain grace, whatever
//!   the size of the fleet and however often it has failed.
//! - Asked: one service for all mixers, which serves calls one after another. The calls are spread and become fewer
//!   as they fail (`Backoff`), within the time after which what it has counts as announced and what the settings let a
//!   mixer go without asking.

use super::backoff::Backoff;
use crate::protocol::discovery::{self, MOST_OBJECT};
use std::time::Duration;

/// Which way holds, with the time that bounds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing goes to a leaving replica later than `grace` after it was announced as leaving.
    Pushed { grace: Duration },
    /// After `within` without a call the list that discovery has then counts as announced; none where the settings
    /// do not state it.
    Asked { within: Option<Duration> },
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// How long it was open or tried for.
    pub lasted: Duration,
    /// It brought what was asked for, be it a sign of life.
    pub had: bool,
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
pub struct Watching {
    way: Way,
    backoff: Backoff,
    /// The most bytes of one message.
    most_object: usize,
}

impl Watching {
    /// For one of so many `mixers`; they must have different seeds, or they would ask alike.
    pub fn new(way: Way, seed: u64, mixers: u32) -> Watching {
        Watching {
            way,
            backoff: Backoff::new(seed, mixers, apart(way)),
            most_object: MOST_OBJECT,
        }
    }

    /// Sets the bytes that the process may use: the text of a list takes its share of them at most.
    pub fn limit_memory(&mut self, memory: usize) {
        self.most_object = discovery::most_object(memory);
    }

    /// The most bytes of one message of discovery; a longer one is refused.
    pub fn most_object(&self) -> usize {
        self.most_object
    }

    /// For a connection to come up.
    pub fn connect(&self) -> Duration {
        match self.way {
            Way::Pushed { .. } => 2 * apart(self.way),
            Way::Asked { .. } => ASKED_CONNECT.min(apart(self.way) / 4),
        }
    }

    /// For the first sign of life of a new watch.
    pub fn answer(&self) -> Duration {
        match self.way {
            Way::Pushed { .. } => PUSHED_ANSWER,
            // The next try begins in time even if this one is never answered.
            Way::Asked { .. } => ASKED_ANSWER.min(apart(self.way) - self.connect()),
        }
    }

    /// For the first list after a start, before which nothing is sent: what discovery had long ago counts as announced
    /// to a new process as well. One that has left it unanswered for so long is silent or overbooked, and the
    /// remembered list is the best there is.
    pub fn first_list(&self) -> Duration {
        FIRST_LIST.min(self.answer())
    }

    /// Whether a new address means another list, with versions of its own: agents have one each, a service one for
    /// all.
    pub fn moves(&self) -> bool {
        matches!(self.way, Way::Pushed { .. })
    }

    /// Between two signs of life.
    pub fn silent(&self) -> Duration {
        SILENT
    }

    /// How long to wait after a watch that ended so.
    pub fn after(&mut self, ended: Ended) -> Duration {
        let apart = apart(self.way);
        match self.way {
            // The agent's list is in force at once, so what it asks for does not count.
            Way::Pushed { .. } => apart.saturating_sub(ended.lasted),
            Way::Asked { .. } => {
                let room = match ended {
                    // The clock for silence has run since the last line, and runs on.
                    Ended {
                        had: true,
                        silent: true,
                        ..
                    } => STALENESS_BOUND - SILENT - LAST_TRY,
                    Ended { had: true, .. } => apart,
                    // Discovery may have come back right after this try began.
                    Ended {
                        had: false, lasted, ..
                    } => apart.saturating_sub(lasted),
                };
                self.backoff
                    .after(ended.had, ended.retry_after, room.min(apart))
            }
        }
    }
}

/// The most that lies between the beginnings of two tries that fail.
fn apart(way: Way) -> Duration {
    match way {
        Way::Pushed { grace } => (grace / TRIES_A_GRACE).clamp(APART.0, APART.1),
        Way::Asked { within } => (STALENESS_BOUND - LAST_TRY).min(within.unwrap_or(Duration::MAX)),
    }
}
