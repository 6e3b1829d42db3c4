//! The attempts in flight.

use super::replica_table::ConnectionKind;
use crate::{Nanos, ReplicaId, RequestId};
use std::collections::BTreeMap;

/// The replica, time and connection of an attempt in flight.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// Time when it was sent.
    pub sent_at: Nanos,
    /// The kind of connection that it was sent on.
    pub connection: ConnectionKind,
}

/// Identifies an attempt: attempt `number` of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    part: RequestId,
    number: u8,
}

/// All attempts whose end has not been reported, including cancelled ones.
#[derive(Debug, Default)]
pub struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
}

impl InFlightAttempts {
    /// Adds attempt `number` of a part.
    pub fn insert(&mut self, part: RequestId, number: u8, attempt: InFlightAttempt) {
        self.attempts.insert(AttemptId { part, number }, attempt);
    }

    /// Removes attempt `number` of a part. Returns `None` if it was not in flight.
    pub fn remove(&mut self, part: RequestId, number: u8) -> Option<InFlightAttempt> {
        self.attempts.remove(&AttemptId { part, number })
    }

    /// Number of attempts in flight.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }
}
