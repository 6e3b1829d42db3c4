//! The actions that a [`crate::Coordinator`] requests from its caller.

use crate::ids::{Nanos, ReplicaId, RequestId};

/// An action. The caller performs the actions of a batch in order, at the time of the batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a part to a replica.
    Send {
        /// The part.
        part: RequestId,
        /// The replica that receives the part.
        replica: ReplicaId,
        /// When the attempt times out.
        expires_at: Nanos,
    },
    /// Cancels an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Answers a query with the results of its answered parts.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// Rejects a query that the client may safely retry.
    Reject {
        /// The query.
        query: RequestId,
        /// The `Retry-After` sent to the client, ns; `None` to send none.
        retry_after: Option<Nanos>,
    },
    /// Fails a query that may have executed, so that a retry by the client may not be safe.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Schedules an [`crate::Event::TimerFired`].
    SetTimer {
        /// Token that the event carries.
        token: u64,
        /// Delay from the time of the batch, ns.
        delay: Nanos,
    },
    /// Requests the endpoint list. Emitted once for each poll with [`crate::DiscoveryMode::Poll`], and never with
    /// [`crate::DiscoveryMode::Push`].
    SubscribeEndpoints {
        /// Always true: the coordinator does not end a subscription.
        enabled: bool,
    },
    /// Requests a single snapshot of the endpoint list. The coordinator does not emit it.
    FetchEndpoints,
    /// Probes a replica.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Closes the idle connections to a replica.
    CloseIdleConnections {
        /// The replica.
        replica: ReplicaId,
    },
    /// Sends a datagram to other coordinators.
    SendDatagram {
        /// The receiver; `None` for all other coordinators.
        to: Option<u32>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(String),
}
