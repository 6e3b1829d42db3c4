//! When each open query is next due to be looked at.
//!
//! Finding the ones due costs as much as there are of them, not as all that are open. The queue decides nothing.

use crate::{Nanos, RequestId};
use std::collections::{BTreeSet, HashMap};

/// Deadlines of requests, one each.
#[derive(Debug, Default)]
pub struct DueQueue {
    by_time: BTreeSet<(Nanos, RequestId)>,
    times: HashMap<RequestId, Nanos>,
}

impl DueQueue {
    /// Sets when a request is due, whatever was set before.
    pub fn set(&mut self, id: RequestId, at: Nanos) {
        let before = self.times.insert(id, at);
        if before == Some(at) {
            return;
        }
        if let Some(before) = before {
            self.by_time.remove(&(before, id));
        }
        self.by_time.insert((at, id));
    }

    pub fn remove(&mut self, id: RequestId) {
        if let Some(at) = self.times.remove(&id) {
            self.by_time.remove(&(at, id));
        }
    }

    /// Takes out the requests that are due at `now`, in the order of their ids.
    pub fn take_due(&mut self, now: Nanos) -> Vec<RequestId> {
        let mut due = Vec::new();
        while let Some((at, id)) = self.by_time.pop_first() {
            if at > now {
                self.by_time.insert((at, id));
                break;
            }
            self.times.remove(&id);
            due.push(id);
        }
        due.sort_unstable();
        due
    }
}
