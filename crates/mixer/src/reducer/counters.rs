//! What the mixer has taken, sent and answered since its start.

use cottonhill_decisions::Outcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// The counters as they are asked for, with the list in force: its version, and how long ago discovery was heard.
#[derive(Serialize)]
pub struct Stats<'a> {
    #[serde(flatten)]
    pub counters: &'a Counters,
    pub list: u64,
    pub heard_ms_ago: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    pub taken: Taken,
    pub sent: Sent,
    pub ended: Ended,
    pub answered: Answered,
    pub connections: Connections,
    /// Lists applied, whole ones and changes.
    pub lists: u64,
    pub bad_lists: BadLists,
    pub watches: Watches,
    /// Records of use handed on; 0 where none are kept.
    pub recorded: u64,
    /// Of the records, those of each tenant and class that the settings name: `TENANT CLASS`.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub recorded_of: BTreeMap<String, u64>,
    pub reloads: Reloads,
    /// What must never happen; each is logged with its cause.
    pub faults: Faults,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Taken {
    pub queries: u64,
    pub parts: u64,
    pub repeats: u64,
    /// Requests turned away before any decision: malformed, or over the cap on what is open.
    pub rejected: u64,
    pub over_cap: u64,
    /// Queries whose client had no time left when they came.
    pub too_late: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sent {
    pub calls: u64,
    pub attempts: u64,
    pub further_attempts: u64,
    pub give_ups: u64,
    pub probes: u64,
    pub datagrams: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ended {
    pub ok: u64,
    pub error: u64,
    pub refused: u64,
    pub timed_out: u64,
    pub unreachable: u64,
    pub broken: u64,
    pub cancelled: u64,
    pub not_sent: u64,
}

impl Ended {
    /// Counts an attempt that ended so.
    pub(super) fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Error => &mut self.error,
            Outcome::Rejected => &mut self.refused,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::ConnectFailed => &mut self.unreachable,
            Outcome::ConnectionReset => &mut self.broken,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        };
        *counter += 1;
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Answered {
    pub whole: u64,
    pub partial: u64,
    pub refused: u64,
    pub failed: u64,
    pub client_gone: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Connections {
    pub clients: u64,
    pub opened: u64,
    pub failed: u64,
    pub broken: u64,
    pub silent: u64,
    /// Closed since something came on them that can't be read.
    pub spoilt: u64,
    pub idle: u64,
    /// Closed with a call that the socket had not taken while it might begin.
    pub stuck: u64,
    /// Idle ones closed to make room for one to another leaf server.
    pub evicted: u64,
}

/// The watch on discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Watches {
    /// Calls to discovery.
    pub asked: u64,
    /// Watches and calls that ended otherwise than with the list that was asked for.
    pub ended: u64,
    /// Of those ended, the ones that had fallen silent.
    pub silent: u64,
    /// Parts withdrawn before their first byte since a list announced that their replica leaves or has moved.
    pub withdrawn: u64,
    /// Starts that went on from the remembered list, as discovery was silent.
    pub unheard: u64,
}

/// What was wrong with what discovery sent; each is logged with where it was found. A message that is refused leaves
/// the list in force as it is, and the whole list is asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BadLists {
    /// Messages refused since they are longer than any that is accepted.
    pub over_bound: u64,
    /// Messages refused since they can't be read, or change nobody knows whom.
    pub unreadable: u64,
    /// Changes refused since their version is below the one in force.
    pub went_back: u64,
    /// Whole lists taken whose version is below the one before: discovery began anew.
    pub whole_went_back: u64,
    /// Entries that can't be used: whom they name gets nothing new.
    pub unusable: u64,
    /// Entries of a name that came before in the same list: the last one holds.
    pub repeated: u64,
    /// Entries that take away a server that was not listed.
    pub unknown: u64,
}

/// Times the configuration was read again.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Reloads {
    pub taken: u64,
    pub bad: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Faults {
    /// Queries that were open until the last moment and failed then.
    pub last_moment: u64,
    /// Answers that claimed more than their parts bear out.
    pub dishonest: u64,
    /// Actions on what does not exist.
    pub stray: u64,
}
