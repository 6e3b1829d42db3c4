//! The replicas that are gone but remembered, and when each is to be forgotten.

use super::replicas::MAX_UPDATE_LAG;
use cottonhill_decisions::{Nanos, ReplicaId};
use std::collections::{BTreeSet, HashMap};

/// The replicas that are gone. Each is remembered for [`MAX_UPDATE_LAG`] at least, since a late update may mention
/// it.
#[derive(Debug, Default)]
pub(super) struct RemovedReplicas {
    /// For each replica, since when it is gone.
    removed_at: HashMap<ReplicaId, Nanos>,
    /// When the replicas are to be forgotten, the first one first. One that still has connections then is added again
    /// once they have ended.
    expiry: BTreeSet<(Nanos, ReplicaId)>,
}

impl RemovedReplicas {
    /// Adds a replica that is gone. One that was gone before keeps its time.
    pub(super) fn insert(&mut self, id: ReplicaId, now: Nanos) {
        self.removed_at.entry(id).or_insert(now);
        self.schedule_expiry(id);
    }

    /// Removes a replica that is listed again or is forgotten.
    pub(super) fn remove(&mut self, id: ReplicaId) {
        if let Some(since) = self.removed_at.remove(&id) {
            self.expiry.remove(&(since + MAX_UPDATE_LAG, id));
        }
    }

    /// Schedules a replica, if it is gone, to be forgotten [`MAX_UPDATE_LAG`] after it went.
    pub(super) fn schedule_expiry(&mut self, id: ReplicaId) {
        if let Some(since) = self.removed_at.get(&id) {
            self.expiry.insert((since + MAX_UPDATE_LAG, id));
        }
    }

    /// Removes and returns the next replica that is due to be forgotten. It stays gone until [`RemovedReplicas::remove`].
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<ReplicaId> {
        let (due, id) = *self.expiry.first()?;
        if due > now {
            return None;
        }
        self.expiry.remove(&(due, id));
        Some(id)
    }
}
