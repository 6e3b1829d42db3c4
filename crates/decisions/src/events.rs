//! The events that a [`crate::Coordinator`] processes.

use crate::ids::{Nanos, ReplicaId, RequestId};

/// Whether a replica may get requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It may get requests.
    #[default]
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
    /// It has been removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The replica that it describes.
    pub replica: ReplicaId,
    /// The cell whose shards the replica holds; see [`crate::Settings::cells`].
    pub cell: u16,
    /// The zone that the replica is in.
    pub zone: u16,
    /// When the replica last started; 0 means long ago.
    pub started: Nanos,
    /// Whether it may get requests.
    pub status: EndpointStatus,
}

/// What an endpoint update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart; it may be stale.
    CachedSnapshot,
    /// Nothing: a request for the list failed.
    RequestFailed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// The replica reports an error; the part may have executed.
    Error,
    /// The replica rejected the part without executing it.
    Rejected,
    /// No response in time; the part may have executed.
    TimedOut,
    /// No connection could be established, none could be opened since no descriptor was free, or the connection closed
    /// before the part had been sent; the part did not execute. Also a probe whose connection closed.
    ConnectFailed,
    /// The connection was lost after the part had been sent; it may have executed.
    ConnectionReset,
    /// Cancelled by the coordinator; the part may have executed.
    Cancelled,
    /// Dropped before it was sent.
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

/// The load that a replica reports about itself: values in the order that the operator's settings name.
pub type LoadReport = Vec<f32>;

/// An event, as the owner of a coordinator observes it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint update arrived.
    EndpointsUpdated {
        /// What the update contains.
        kind: EndpointUpdateKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A query arrived; its parts follow in the same batch and carry the same `group`.
    QueryReceived {
        /// The query's id.
        id: RequestId,
        /// Ties the parts to the query.
        group: u32,
        /// Index into [`crate::Settings::classes`].
        class: u16,
        /// The tenant's index.
        tenant: u32,
        /// How long the client still waits, ns.
        client_timeout: Nanos,
        /// Of the client's time, what had passed when the query arrived and what the answer's way back may take, ns.
        network_delay: Nanos,
        /// The client's estimate of the work, ns.
        work: Option<Nanos>,
        /// The client marked it as a retry.
        client_retry: bool,
    },
    /// A part of the query with the same `group` arrived.
    PartReceived {
        /// The part's id.
        id: RequestId,
        /// Ties the part to its query.
        group: u32,
        /// The shard that the part searches.
        shard: u32,
        /// The part's fraction of its phase.
        weight: f64,
    },
    /// An attempt ended. The attempts of a part count from 0 in the order sent.
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The replica that it was sent to.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// The replica's load report; empty where none came.
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
    /// The client disconnected; the query is over.
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
        /// How long it took, ns.
        latency: Nanos,
        /// The replica's load report; empty where none came.
        report: LoadReport,
    },
    /// A datagram from another coordinator arrived.
    DatagramReceived {
        /// The sender.
        from: u32,
        /// The payload.
        bytes: Vec<u8>,
    },
}
