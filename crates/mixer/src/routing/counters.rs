//! What the mixer has taken, sent and answered since its start.

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
    pub lists: u64,
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
    pub asked: u64,
    pub ended: u64,
    /// Of those ended, the ones that had fallen silent.
    pub silent: u64,
    /// Parts withdrawn before their first byte since a list told that their replica leaves or has moved.
    pub withdrawn: u64,
    /// Starts that went on from the list held before, as discovery was silent.
    pub unheard: u64,
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
