//! The ids of queries whose clients have disconnected, while the queries may still run at leaf servers.
//!
//! If such an id came again, its parts could run twice, and leaf servers could not distinguish them.

use cottonhill_decisions::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};

/// The ids as hashes, whose size does not depend on the clients.
#[derive(Debug)]
pub(super) struct DepartedRequests {
    hasher: RandomState,
    /// When each id is forgotten.
    until: BTreeMap<u64, Nanos>,
    /// The ids in the order in which they are forgotten.
    queue: BTreeSet<(Nanos, u64)>,
    kept_after_deadline: Nanos,
    max_ids: usize,
}

impl DepartedRequests {
    /// Keeps up to `max_ids` ids, each for `kept_after_deadline` after the deadline of its query.
    pub(super) fn new(kept_after_deadline: Nanos, max_ids: usize) -> DepartedRequests {
        DepartedRequests {
            hasher: RandomState::new(),
            until: BTreeMap::new(),
            queue: BTreeSet::new(),
            kept_after_deadline,
            max_ids: max_ids.max(1),
        }
    }

    /// Number of ids.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds the id of a query whose client has disconnected before the deadline.
    pub(super) fn insert(&mut self, request_id: &str, deadline: Nanos) {
        let id = self.hasher.hash_one(request_id);
        let until = deadline.saturating_add(self.kept_after_deadline);
        if let Some(until_before) = self.until.insert(id, until) {
            self.queue.remove(&(until_before, id));
        }
        self.queue.insert((until, id));
        if self.queue.len() > self.max_ids {
            self.forget_first();
        }
    }

    /// Whether a query with this id may still run for a client that has disconnected.
    pub(super) fn contains(&mut self, now: Nanos, request_id: &str) -> bool {
        while self.queue.first().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
        self.until.contains_key(&self.hasher.hash_one(request_id))
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.queue.pop_first() {
            self.until.remove(&id);
        }
    }
}
