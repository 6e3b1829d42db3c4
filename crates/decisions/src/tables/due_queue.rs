//! When each open query is next due to be processed. The cost of finding the due ones grows with their number, not
//! with that of all open queries.

use crate::{Nanos, RequestId};
use std::collections::{BTreeSet, HashMap};

/// Due times of queries, at most one each.
#[derive(Debug, Default)]
pub struct DueQueue {
    by_time: BTreeSet<(Nanos, RequestId)>,
    due_times: HashMap<RequestId, Nanos>,
}

impl DueQueue {
    /// Sets when a query is due, in place of what was set before.
    pub fn set(&mut self, id: RequestId, due_at: Nanos) {
        let before = self.due_times.insert(id, due_at);
        if before == Some(due_at) {
            return;
        }
        if let Some(before) = before {
            self.by_time.remove(&(before, id));
        }
        self.by_time.insert((due_at, id));
    }

    /// Removes a query, if it is in the queue.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(due_at) = self.due_times.remove(&id) {
            self.by_time.remove(&(due_at, id));
        }
    }

    /// Removes the queries that are due at `now`; their ids in order.
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
