//! The actions that a [`crate::Coordinator`] asks its owner to perform.

use crate::ids::{Nanos, ReplicaId, RequestId};

/// An action; the owner performs the actions of a batch in order, at the time of the batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a part to a replica.
    Send {
        /// The part.
        part: RequestId,
        /// Where it is sent.
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
    /// Answers a query from the parts that have been answered.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// Rejects a query: the client may safely retry.
    Reject {
        /// The query.
        query: RequestId,
        /// The `Retry-After` to give, ns.
        retry_after: Option<Nanos>,
    },
    /// Fails a query, with no promise about whether it executed.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Requests an [`crate::Event::TimerFired`].
    SetTimer {
        /// Returned in the event.
        token: u64,
        /// When it fires, from now, ns.
        delay: Nanos,
    },
    /// Subscribes to endpoint updates, or ends the subscription.
    SubscribeEndpoints {
        /// Whether to subscribe.
        enabled: bool,
    },
    /// Requests one snapshot of the endpoint list.
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
        /// The receiver; all others if `None`.
        to: Option<u32>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(String),
}
