//! The open attempts: those that have not ended.

use super::input::ConnectionId;
use super::leaf_connection::AttemptId;
use bytes::Bytes;
use cottonhill_decisions::{Nanos, ReplicaId, RequestId};
use std::collections::BTreeMap;

/// An open attempt. It outlives its query if cancellation is not allowed.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The replica that it is sent to.
    pub(super) replica: ReplicaId,
    /// The connection that it is sent on.
    pub(super) connection: ConnectionId,
    /// When it times out.
    pub(super) expires_at: Nanos,
    /// The shard to search.
    pub(super) shard: u32,
    /// The text of the query.
    pub(super) text: Bytes,
}

/// The open attempts by id.
#[derive(Debug, Default)]
pub(super) struct Attempts(BTreeMap<AttemptId, Attempt>);

impl Attempts {
    /// Number of attempts.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds an attempt.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.0.insert(id, attempt);
    }

    /// The open attempt with this id.
    pub(super) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.0.get(&id)
    }

    /// Takes the text of an attempt, which is sent only once: an attempt may stay open after its query has ended.
    pub(super) fn take_text(&mut self, id: AttemptId) -> Bytes {
        self.0
            .get_mut(&id)
            .map(|attempt| std::mem::take(&mut attempt.text))
            .unwrap_or_default()
    }

    /// Removes an attempt.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.0.remove(&id)
    }

    /// The open attempts at a part, in the order in which they were started.
    pub(super) fn for_part(&self, part: RequestId) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        let first = AttemptId { part, number: 0 };
        let last = AttemptId {
            part,
            number: u8::MAX,
        };
        self.0
            .range(first..=last)
            .map(|(id, attempt)| (*id, attempt))
    }
}
