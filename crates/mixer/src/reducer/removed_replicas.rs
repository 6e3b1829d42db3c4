//! The removed replicas whose records are retained, and the expiry of these records.

use super::replicas::MAX_UPDATE_LAG;
use cottonhill_decisions::{Nanos, ReplicaId};
use std::collections::{BTreeSet, HashMap};

/// The removed replicas. The record of each is retained for at least [`MAX_UPDATE_LAG`], since an update that lags
/// behind may mention it.
#[derive(Debug, Default)]
pub(super) struct RemovedReplicas {
    /// When each replica was removed.
    removed_at: HashMap<ReplicaId, Nanos>,
    /// The replicas ordered by the expiry of their records. A replica that still has connections at its expiry is added
    /// again once they have ended.
    expiry: BTreeSet<(Nanos, ReplicaId)>,
}

impl RemovedReplicas {
    /// Adds a removed replica. One that was added before keeps its removal time.
    pub(super) fn insert(&mut self, id: ReplicaId, now: Nanos) {
        self.removed_at.entry(id).or_insert(now);
        self.schedule_expiry(id);
    }

    /// Drops a replica that is listed again or whose record has expired.
    pub(super) fn remove(&mut self, id: ReplicaId) {
        if let Some(since) = self.removed_at.remove(&id) {
            self.expiry.remove(&(since + MAX_UPDATE_LAG, id));
        }
    }

    /// Schedules the expiry of a replica's record, if it is removed, for [`MAX_UPDATE_LAG`] after its removal.
    pub(super) fn schedule_expiry(&mut self, id: ReplicaId) {
        if let Some(since) = self.removed_at.get(&id) {
            self.expiry.insert((since + MAX_UPDATE_LAG, id));
        }
    }

    /// The replicas in the order in which their records expire.
    pub(super) fn by_expiry(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.expiry.iter().map(|(_, id)| *id)
    }

    /// Takes the next replica whose record has expired off the schedule. The replica counts as removed until
    /// [`RemovedReplicas::remove`].
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<ReplicaId> {
        let (due, id) = *self.expiry.first()?;
        if due > now {
            return None;
        }
        self.expiry.remove(&(due, id));
        Some(id)
    }
}
