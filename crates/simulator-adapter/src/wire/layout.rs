//! Codes of records and values on the wire, and positions of fields counted from the start of the record or
//! entry. The identifiers are the terms of the decision module; the doc comments give the simulator's names.

use cottonhill_decisions::{EndpointStatus, EndpointUpdateKind, Outcome};

/// Position of the instance's number (`who`) in every record but [`EventCode::EndpointList`].
pub const INSTANCE: usize = 1;

/// The kind of an event record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCode {
    /// `SPAWN`
    Start,
    /// `FIRST`
    StreamStarted,
    /// `POOL`; the only record that belongs to no instance.
    EndpointList,
    /// `POWER_OFF`
    Stop,
    /// `TIMER`
    TimerFired,
    /// `RETURNED`
    AttemptEnded,
    /// `NEW_REQUEST`, a query or a part
    RequestReceived,
    /// `BACKENDS_CHANGED`
    EndpointsUpdated,
    /// `PEER_DATA`
    DatagramReceived,
    /// `HANGUP`
    ClientDisconnected,
    /// `HEALTH_RESULT`
    ProbeEnded,
}

impl EventCode {
    /// The kind with this code on the wire; `None` if no kind has it.
    pub fn from_wire(code: u8) -> Option<EventCode> {
        Some(match code {
            1 => EventCode::Start,
            2 => EventCode::StreamStarted,
            3 => EventCode::EndpointList,
            4 => EventCode::Stop,
            5 => EventCode::TimerFired,
            6 => EventCode::AttemptEnded,
            7 => EventCode::RequestReceived,
            8 => EventCode::EndpointsUpdated,
            9 => EventCode::DatagramReceived,
            10 => EventCode::ClientDisconnected,
            11 => EventCode::ProbeEnded,
            _ => return None,
        })
    }
}

/// The kind of an action record; the number is its code on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ActionCode {
    /// `ATTEMPT`
    Send = 1,
    /// `REJECT`
    Reject = 2,
    /// `ERROR`
    Fail = 3,
    /// `UNDO_SEND`
    Cancel = 4,
    /// `NOTIFY_ME`
    SetTimer = 5,
    /// `ASK_LOAD`
    Probe = 6,
    /// `SHUT_IDLE`
    CloseIdleConnections = 7,
    /// `MEMO_TO`
    SendDatagram = 8,
    /// `REMARK`
    Log = 9,
    /// `CRASH`
    Crash = 10,
    /// `TRACK`
    SubscribeEndpoints = 11,
    /// `FETCH`
    FetchEndpoints = 12,
    /// `CONCLUDE`
    Answer = 13,
}

/// The outcome with this code (`state_code`); `None` if the code is unknown.
pub fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Ok,
        255 => Outcome::Error,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::ConnectionReset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => return None,
    })
}

/// The status of an endpoint with this code (`availability`); `None` if the code is unknown.
pub fn endpoint_status(code: u8) -> Option<EndpointStatus> {
    Some(match code {
        0 => EndpointStatus::Removed,
        1 => EndpointStatus::Ready,
        2 => EndpointStatus::Draining,
        _ => return None,
    })
}

/// The kind of an endpoint update with this code (`scope`); `None` if the code is unknown.
pub fn endpoint_update_kind(code: u8) -> Option<EndpointUpdateKind> {
    Some(match code {
        0 => EndpointUpdateKind::Delta,
        1 => EndpointUpdateKind::Snapshot,
        2 => EndpointUpdateKind::CachedSnapshot,
        3 => EndpointUpdateKind::RequestFailed,
        _ => return None,
    })
}

/// The peer number of a datagram to all peers.
pub const ALL_PEERS: u32 = u32::MAX;

/// Fields of `SPAWN`.
pub mod start {
    /// `prng`
    pub const SEED: usize = 3;
    /// `setup`, in the tail
    pub const SETTINGS: usize = 11;
}

/// Fields of `FIRST`.
pub mod stream_started {
    /// `id`
    pub const PART: usize = 3;
    /// `replica`
    pub const REPLICA: usize = 11;
    /// `shot`
    pub const ATTEMPT: usize = 17;
}

/// Fields of `POOL`.
pub mod endpoint_list {
    /// `roster_id`
    pub const NUMBER: usize = 1;
    /// `members_list`, in the tail; its length counts entries
    pub const ENTRIES: usize = 5;
}

/// Fields of one entry of a `POOL`.
pub mod endpoint {
    /// Bytes of an entry.
    pub const SIZE: usize = 25;
    /// `slot_no`; the replicas of a cell hold the same shards
    pub const CELL: usize = 0;
    /// `replica`
    pub const REPLICA: usize = 2;
    /// `locality`
    pub const ZONE: usize = 8;
    /// `up_since_ns`
    pub const STARTED: usize = 14;
    /// `availability`
    pub const STATUS: usize = 24;
}

/// Fields of `TIMER`.
pub mod timer_fired {
    /// `label`
    pub const TOKEN: usize = 3;
}

/// Fields of `RETURNED`.
pub mod attempt_ended {
    /// `id`
    pub const PART: usize = 3;
    /// `shot`
    pub const ATTEMPT: usize = 11;
    /// `replica`
    pub const REPLICA: usize = 12;
    /// `state_code`
    pub const OUTCOME: usize = 18;
    /// `report`
    pub const REPORT: usize = 29;
}

/// Fields of `NEW_REQUEST`.
pub mod request_received {
    /// `id`
    pub const ID: usize = 3;
    /// `shard`; negative for the query itself
    pub const SHARD: usize = 11;
    /// `patience_left_ns`
    pub const CLIENT_TIMEOUT: usize = 15;
    /// `size_hint_ns`, the client's estimate of the query's work
    pub const EXPECTED_SERVICE_TIME: usize = 23;
    /// `class`
    pub const CLASS: usize = 31;
    /// `group_no`
    pub const GROUP: usize = 33;
    /// `customer`
    pub const TENANT: usize = 37;
    /// `marks`
    pub const FLAGS: usize = 49;
    /// `heft`
    pub const WEIGHT: usize = 50;
    /// Bit of [`FLAGS`]: [`EXPECTED_SERVICE_TIME`] is valid.
    pub const HAS_EXPECTED_SERVICE_TIME: u8 = 1;
    /// Bit of [`FLAGS`]: a retry by the client.
    pub const CLIENT_RETRY: u8 = 2;
}

/// Fields of `BACKENDS_CHANGED`.
pub mod endpoints_updated {
    /// `roster_id`
    pub const LIST: usize = 3;
    /// `scope`
    pub const KIND: usize = 15;
}

/// Fields of `PEER_DATA`.
pub mod datagram_received {
    /// `author`
    pub const FROM: usize = 3;
    /// `payload`, in the tail
    pub const BYTES: usize = 7;
}

/// Fields of `HANGUP`.
pub mod client_disconnected {
    /// `id`
    pub const ID: usize = 3;
}

/// Fields of `HEALTH_RESULT`.
pub mod probe_ended {
    /// `state_code`
    pub const OUTCOME: usize = 3;
    /// `latency_ns`
    pub const LATENCY: usize = 5;
    /// `replica`
    pub const REPLICA: usize = 13;
    /// `report`
    pub const REPORT: usize = 19;
}
