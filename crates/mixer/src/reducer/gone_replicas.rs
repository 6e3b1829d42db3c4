//! The replicas that are gone but remembered, and when each is to be forgotten.

use super::replicas::LATE_UPDATE_WINDOW;
use cottonhill_decisions::{Nanos, ReplicaId};
use std::collections::{BTreeSet, HashMap};

/// The replicas that are gone. Each is remembered for [`LATE_UPDATE_WINDOW`] at least, since a late update may mention
/// it.
#[derive(Debug, Default)]
pub(super) struct GoneReplicas {
    /// For each replica, since when it is gone.
    gone_since: HashMap<ReplicaId, Nanos>,
    /// When the replicas are to be forgotten, the first one first. One that still has connections then is added again
    /// once they have ended.
    expiry: BTreeSet<(Nanos, ReplicaId)>,
}

impl GoneReplicas {
    /// Adds a replica that is gone. One that was gone before keeps its time.
    pub(super) fn insert(&mut self, id: ReplicaId, now: Nanos) {
        self.gone_since.entry(id).or_insert(now);
        self.schedule_expiry(id);
    }

    /// Removes a replica that is listed again or is forgotten.
    pub(super) fn remove(&mut self, id: ReplicaId) {
        if let Some(since) = self.gone_since.remove(&id) {
            self.expiry.remove(&(since + LATE_UPDATE_WINDOW, id));
        }
    }

    /// Schedules a replica, if it is gone, to be forgotten [`LATE_UPDATE_WINDOW`] after it went.
    pub(super) fn schedule_expiry(&mut self, id: ReplicaId) {
        if let Some(since) = self.gone_since.get(&id) {
            self.expiry.insert((since + LATE_UPDATE_WINDOW, id));
        }
    }

    /// Removes and returns the next replica that is due to be forgotten. It stays gone until [`GoneReplicas::remove`].
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<ReplicaId> {
        let (due, id) = *self.expiry.first()?;
        if due > now {
            return None;
        }
        self.expiry.remove(&(due, id));
        Some(id)
    }
}
