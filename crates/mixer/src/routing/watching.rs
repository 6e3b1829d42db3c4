//! How fresh the list is kept: how long a watch may say nothing, and when the next is opened after one that ended.
//! One rule for each way in which discovery tells of changes; the settings say which holds.
//!
//! - Pushed: an agent on the mixer's own machine, free to ask, whose list is in force whether or not it is watched.
//!   Any wait is time in which something in force is not known, so it is a small share of the drain grace, whatever
//!   the size of the fleet and however often it has failed.
//! - Asked: one service for all mixers, which serves calls one after another. The calls are spread and become fewer
//!   as they fail (`Backoff`), within what the settings let a mixer go without asking.

use super::backoff::Backoff;
use std::time::Duration;

/// Which way holds, with the time that bounds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing goes to a leaving replica later than `grace` after it was told.
    Pushed { grace: Duration },
    /// After `within` without asking the list then in force counts as told; none where the settings do not say.
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
    /// What the other end asked to be left alone for.
    pub told: Option<Duration>,
}

/// What a watch that has fallen silent misses counts as told after 6 s; what is left of them is for the next one to be
/// opened and read. A sign of life is due every 2 s.
const SILENCE_COUNTS: Duration = Duration::from_secs(6);
/// One sign of life is late by half of the time between two. Taking a watch that lives for dead costs little: the agent
/// answers the next one at once.
const PUSHED_SILENT: Duration = Duration::from_secs(3);
/// The service may be short of time, and a watch given up too soon costs it a call: as long as leaves time for one.
const ASKED_SILENT: Duration = Duration::from_secs(4);
/// A call may wait there for as long as it serves others; ours is given up later than its own are.
const ASKED_ANSWER: Duration = Duration::from_millis(4_500);
const ASKED_CONNECT: Duration = Duration::from_secs(1);
/// Tries at an agent that refuses or resets at once begin no closer than this share of the grace.
const TRIES_A_GRACE: u32 = 5;
/// Where the settings state a grace that is no bound, or none.
const APART: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// An agent that is silent now answers what it was asked as soon as it can again; a connection that it has lost is
/// found out by then.
const PUSHED_ANSWER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct Watching {
    way: Way,
    backoff: Backoff,
}

impl Watching {
    /// For one of so many `mixers`; they must have different seeds, or they would ask alike.
    pub fn new(way: Way, seed: u64, mixers: u32) -> Watching {
        let within = match way {
            Way::Asked { within } => within,
            Way::Pushed { .. } => None,
        };
        Watching { way, backoff: Backoff::new(seed, mixers, within) }
    }

    /// For a connection to come up.
    pub fn connect(&self) -> Duration {
        match self.way {
            Way::Pushed { grace } => 2 * apart(grace),
            Way::Asked { .. } => ASKED_CONNECT,
        }
    }

    /// For the first sign of life of a new watch.
    pub fn answer(&self) -> Duration {
        match self.way {
            Way::Pushed { .. } => PUSHED_ANSWER,
            Way::Asked { .. } => ASKED_ANSWER,
        }
    }

    /// For the first list after a start, before which nothing is sent; none where the list held before is in force
    /// until discovery could be asked. An agent that has left a whole try unanswered is silent, and what was held
    /// is the best there is.
    pub fn first_list(&self) -> Option<Duration> {
        match self.way {
            Way::Pushed { .. } => Some(PUSHED_ANSWER),
            Way::Asked { .. } => None,
        }
    }

    /// Whether a new address means another list, with versions of its own: agents hold one each, a service one for
    /// all.
    pub fn moves(&self) -> bool {
        matches!(self.way, Way::Pushed { .. })
    }

    /// Between two signs of life.
    pub fn silent(&self) -> Duration {
        match self.way {
            Way::Pushed { .. } => PUSHED_SILENT,
            Way::Asked { .. } => ASKED_SILENT,
        }
    }

    /// How long to wait after a watch that ended so.
    pub fn after(&mut self, ended: Ended) -> Duration {
        match self.way {
            // The agent's list is in force at once, so what it asks for does not count.
            Way::Pushed { grace } => apart(grace).saturating_sub(ended.lasted),
            Way::Asked { .. } => {
                let wait = self.backoff.after(ended.had, ended.told);
                // The clock for silence has run since the last line, and runs on.
                let room = SILENCE_COUNTS - ASKED_SILENT - ASKED_CONNECT;
                if ended.had && ended.silent {
                    wait.min(room)
                } else {
                    wait
                }
            }
        }
    }
}

fn apart(grace: Duration) -> Duration {
    (grace / TRIES_A_GRACE).clamp(APART.0, APART.1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;
    const SIZES: [u32; 8] = [1, 3, 100, 279, 320, 350, 777, 1024];
    const REFUSED: Ended = Ended { lasted: Duration::ZERO, had: false, silent: false, told: None };
    const RESET: Ended = Ended { lasted: Duration::from_secs(60), had: true, silent: false, told: None };
    const SILENT: Ended = Ended { silent: true, ..RESET };

    #[test]
    fn a_pushed_list_is_watched_again_within_the_grace_whatever_the_fleet_and_the_failures() {
        for grace in [MS(250), MS(2_000)] {
            for mixers in SIZES {
                let mut watching = Watching::new(Way::Pushed { grace }, 1, mixers);
                for ended in [RESET, SILENT, RESET, Ended { told: Some(MS(60_000)), ..RESET }] {
                    assert_eq!(watching.after(ended), Duration::ZERO, "{mixers} mixers, {ended:?}");
                }
                for _ in 0..50 {
                    let wait = watching.after(REFUSED);
                    assert!(wait <= grace / 4, "{mixers} mixers: {wait:?} of {grace:?}");
                    assert!(wait >= APART.0, "an agent that refuses at once is not hammered: {wait:?}");
                    assert!(wait + watching.connect() < grace, "and found again in time when it returns");
                }
            }
        }
        for grace in [Duration::ZERO, MS(3_600_000)] {
            let wait = Watching::new(Way::Pushed { grace }, 1, 3).after(REFUSED);
            assert!((MS(25)..=MS(500)).contains(&wait), "grace of {grace:?}: {wait:?}");
        }
    }

    #[test]
    fn silence_leaves_time_for_the_next_watch_either_way() {
        for way in [Way::Pushed { grace: MS(250) }, Way::Asked { within: None }] {
            for mixers in SIZES {
                for seed in 0..20 {
                    let mut watching = Watching::new(way, seed, mixers);
                    for _ in 0..3 {
                        let wait = watching.after(SILENT);
                        let asked = watching.silent() + wait + watching.connect();
                        assert!(asked <= SILENCE_COUNTS, "{way:?}, {mixers} mixers: asked after {asked:?}");
                    }
                }
            }
        }
    }

    #[test]
    fn an_asked_service_is_asked_within_what_the_settings_allow() {
        let within = MS(10_000);
        for (mixers, seed) in SIZES.into_iter().flat_map(|mixers| (0..20).map(move |seed| (mixers, seed))) {
            let mut watching = Watching::new(Way::Asked { within: Some(within) }, seed, mixers);
            assert!(watching.after(RESET) + watching.answer() <= within, "{mixers} mixers");
            for told in [None, Some(MS(3_000)), Some(MS(60_000))].into_iter().cycle().take(30) {
                let wait = watching.after(Ended { told, ..REFUSED });
                assert!(wait + watching.answer() <= 4 * within, "{mixers} mixers, told {told:?}: {wait:?}");
            }
        }
    }
}
