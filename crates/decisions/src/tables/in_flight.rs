//! The attempts in flight.

use super::replica_table::ConnectionKind;
use crate::{Nanos, ReplicaId, RequestId};
use std::collections::BTreeMap;

/// Where an attempt in flight was sent, and when.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
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

/// All attempts whose end has not been reported, those cancelled included.
#[derive(Debug, Default)]
pub struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
}

impl InFlightAttempts {
    /// Adds attempt `number` of a part.
    pub fn insert(&mut self, part: RequestId, number: u8, attempt: InFlightAttempt) {
        self.attempts.insert(AttemptId { part, number }, attempt);
    }

    /// Removes attempt `number` of a part; `None` if it is not in flight.
    pub fn remove(&mut self, part: RequestId, number: u8) -> Option<InFlightAttempt> {
        self.attempts.remove(&AttemptId { part, number })
    }

    /// How many attempts are in flight.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }
}
