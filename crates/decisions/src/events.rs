//! The events that a [`crate::Coordinator`] processes.

use crate::ids::{Nanos, ReplicaId, RequestId};

/// Whether a replica may receive requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may receive requests.
    #[default]
    Ready,
    /// It finishes its pending requests and receives no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The replica that the entry describes.
    pub replica: ReplicaId,
    /// The cell that the replica belongs to, which determines its shards; see [`crate::Settings::cells`].
    pub cell: u16,
    /// The zone that the replica is in.
    pub zone: u16,
    /// Time of the replica's last start, on the same clock as all other timestamps; 0 if it started long ago.
    pub started_at: Nanos,
    /// Whether the replica may receive requests.
    pub status: EndpointStatus,
}

/// What an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the changed entries.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list from a cache written before a restart; it may be stale.
    CachedSnapshot,
    /// No entries, because a request for the list failed.
    RequestFailed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered successfully.
    Ok,
    /// The replica reported an error; the part may have executed.
    Error,
    /// The replica rejected the part without executing it.
    Rejected,
    /// No response arrived in time; the part may have executed.
    TimedOut,
    /// No connection could be established, no file descriptor was free to open one, or the connection closed before the
    /// part had been sent; the part did not execute. Also reported for a probe whose connection closed.
    ConnectFailed,
    /// The connection was lost after the part had been sent; it may have executed.
    ConnectionReset,
    /// Cancelled by the coordinator; the part may have executed.
    Cancelled,
    /// Dropped before it was sent; the part did not execute.
    NotSent,
}

impl Outcome {
    /// Whether it is certain that the part did not execute.
    pub fn did_not_execute(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// The load that a replica reports about itself: values in the order configured in the operator's settings. The
/// coordinator does not read it.
pub type LoadReport = Vec<f32>;

/// An event that the caller of a coordinator has observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint update arrived.
    EndpointsUpdated {
        /// The content of the update.
        kind: EndpointUpdateKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A query arrived. Its parts follow in the same batch and have the same `group`.
    QueryReceived {
        /// The query's id.
        id: RequestId,
        /// Group number that the query shares with its parts.
        group: u32,
        /// Index into [`crate::Settings::classes`].
        class: u16,
        /// The tenant's index.
        tenant: u32,
        /// Remaining time that the client waits for the answer, ns.
        client_timeout: Nanos,
        /// Part of the client's timeout that is already spent or reserved outside the coordinator, ns.
        network_delay: Nanos,
        /// The client's estimate of the query's work, ns.
        work: Option<Nanos>,
        /// Whether the client marked the query as a retry.
        client_retry: bool,
    },
    /// A part of the query with the same `group` arrived.
    PartReceived {
        /// The part's id.
        id: RequestId,
        /// Group number of the part's query.
        group: u32,
        /// The shard that the part searches.
        shard: u32,
        /// The part's weight, as a fraction of its phase.
        weight: f64,
    },
    /// An attempt ended. The attempts of a part are numbered from 0 in the order sent.
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The replica that it was sent to.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// The replica's load report; empty if it sent none.
        report: LoadReport,
    },
    /// A streamed response has started.
    StreamStarted {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The replica that responds.
        replica: ReplicaId,
    },
    /// The client disconnected, which ends the query.
    ClientDisconnected {
        /// The query's id.
        id: RequestId,
    },
    /// A timer set by [`crate::Action::SetTimer`] fired.
    TimerFired {
        /// The timer's token.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The replica that was probed.
        replica: ReplicaId,
        /// How the probe ended.
        outcome: Outcome,
        /// Duration of the probe, ns.
        latency: Nanos,
        /// The replica's load report; empty if it sent none.
        report: LoadReport,
    },
    /// A datagram from another coordinator arrived. The coordinator does not read it.
    DatagramReceived {
        /// The sender.
        from: u32,
        /// The payload.
        bytes: Vec<u8>,
    },
}
