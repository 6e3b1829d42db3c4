//! A queue of the open queries by the time when they are next due for processing. The cost of finding the due queries
//! grows with the number of due queries, not with the number of open ones.

use crate::{Nanos, RequestId};
use std::collections::{BTreeSet, HashMap};

/// The due times of queries; each query has at most one.
#[derive(Debug, Default)]
pub struct DueQueue {
    by_time: BTreeSet<(Nanos, RequestId)>,
    due_times: HashMap<RequestId, Nanos>,
}

impl DueQueue {
    /// Sets the due time of a query, replacing any previous one.
    pub fn set(&mut self, id: RequestId, due_at: Nanos) {
        let previous = self.due_times.insert(id, due_at);
        if previous == Some(due_at) {
            return;
        }
        if let Some(previous) = previous {
            self.by_time.remove(&(previous, id));
        }
        self.by_time.insert((due_at, id));
    }

    /// Removes a query if it is in the queue.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(due_at) = self.due_times.remove(&id) {
            self.by_time.remove(&(due_at, id));
        }
    }

    /// Removes the queries that are due at `now` and returns their ids in ascending order.
    pub fn pop_due(&mut self, now: Nanos) -> Vec<RequestId> {
        let mut due = Vec::new();
        while let Some((due_at, id)) = self.by_time.pop_first() {
            if due_at > now {
                self.by_time.insert((due_at, id));
                break;
            }
            self.due_times.remove(&id);
            due.push(id);
        }
        due.sort_unstable();
        due
    }
}
