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

/// All attempts whose end has not been reported, those cancelled included.
#[derive(Debug, Default)]
pub struct InFlightAttempts {
    by_part_and_number: BTreeMap<(RequestId, u8), InFlightAttempt>,
}

impl InFlightAttempts {
    /// Adds attempt `number` of a part.
    pub fn insert(&mut self, part: RequestId, number: u8, attempt: InFlightAttempt) {
        self.by_part_and_number.insert((part, number), attempt);
    }

    /// Removes attempt `number` of a part; `None` if it is not in flight.
    pub fn remove(&mut self, part: RequestId, number: u8) -> Option<InFlightAttempt> {
        self.by_part_and_number.remove(&(part, number))
    }

    /// How many attempts are in flight.
    pub fn len(&self) -> usize {
        self.by_part_and_number.len()
    }
}
