//! The replicas of the endpoint list, by id and by cell.
//!
//! The table updates its counts with each change and evicts removed replicas by means of a queue. The cost of a lookup
//! therefore depends only on the number of holders of the shard, and that of a delta only on its number of entries, not
//! on the size of the fleet.

use super::cell_index::CellIndex;
pub use super::replica::{ConnectionKind, Replica, ReplicaStats, SlowStartJitter};
pub use super::slot::Slot;
use crate::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use slab::Slab;
use std::borrow::Cow;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A removed replica in the eviction queue, with the time of its last latency update.
type EvictionEntry = Reverse<(Nanos, Slot)>;

/// All replicas of the endpoint list, and the removed replicas that have not been evicted.
#[derive(Debug)]
pub struct ReplicaTable {
    max_parts_per_call: u32,
    /// The replicas by slot. The slot that was freed last is reused first.
    replicas: Slab<Replica>,
    slots: HashMap<ReplicaId, Slot>,
    by_cell: CellIndex,
    ready: usize,
    suspected_and_ready: usize,
    /// Removed replicas in ascending order of the time of their last latency update before they were queued.
    eviction_queue: BinaryHeap<EvictionEntry>,
    visited: Cell<u64>,
}

impl Default for ReplicaTable {
    /// Creates a table in which no shard has holders.
    fn default() -> Self {
        ReplicaTable::new(1, 0, 1)
    }
}

impl ReplicaTable {
    /// Creates an empty table for `cells` cells, where shard `s` is held by the replicas of the cells `s` to
    /// `s + replication_factor - 1`, modulo `cells`, and a call has at most `max_parts_per_call` parts.
    pub fn new(cells: u32, replication_factor: u32, max_parts_per_call: u32) -> Self {
        ReplicaTable {
            max_parts_per_call: max_parts_per_call.max(1),
            replicas: Slab::new(),
            slots: HashMap::new(),
            by_cell: CellIndex::new(cells, replication_factor),
            ready: 0,
            suspected_and_ready: 0,
            eviction_queue: BinaryHeap::new(),
            visited: Cell::new(0),
        }
    }

    /// Number of calls in flight at a replica. A call opened at `now` that another part can still be added to is not
    /// counted.
    pub fn calls_in_flight(&self, replica: &Replica, now: Nanos) -> u32 {
        replica
            .stats()
            .parts_in_flight
            .calls(now, self.max_parts_per_call)
    }

    /// Number of replicas in the table, including removed ones that have not been evicted.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether the table contains no replicas.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Number of ready replicas.
    pub fn ready_count(&self) -> usize {
        self.ready
    }

    /// Number of ready replicas that are suspected to have failed.
    pub fn suspected_ready_count(&self) -> usize {
        self.suspected_and_ready
    }

    /// Number of replica entries visited so far by lookups, updates and scans, which measures cost in tests.
    pub fn replicas_visited(&self) -> u64 {
        self.visited.get()
    }

    /// The slot of a replica; `None` if it is not in the table.
    pub fn slot(&self, id: ReplicaId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    /// The replica in a slot.
    pub fn replica(&self, slot: Slot) -> &Replica {
        &self.replicas[slot.index()]
    }

    /// The replica with this id; `None` if it is not in the table.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.slot(id).map(|slot| self.replica(slot))
    }

    /// Mutable statistics of a replica.
    pub fn stats_mut(&mut self, slot: Slot) -> &mut ReplicaStats {
        self.replicas[slot.index()].stats.get_or_insert_default()
    }

    /// The holders of a shard in ascending order of their ids, regardless of their status.
    pub fn holders(&self, shard: u32) -> Cow<'_, [Slot]> {
        let holders = self.by_cell.holders(shard, &self.replicas);
        self.count_visits(holders.len());
        holders
    }

    /// Whether any holder of a shard is ready.
    pub fn has_ready_holder(&self, shard: u32) -> bool {
        self.holders(shard)
            .iter()
            .any(|slot| self.replica(*slot).is_ready())
    }

    /// The ready replicas in ascending order of their ids. Scans all replicas.
    pub fn ready_slots(&self) -> Vec<Slot> {
        self.count_visits(self.replicas.len());
        let mut ready = self.slots_where(|_, replica| replica.is_ready());
        ready.sort_unstable_by_key(|slot| self.replica(*slot).id);
        ready
    }

    /// The slots of the replicas that match, in ascending order.
    fn slots_where(&self, matches: impl Fn(Slot, &Replica) -> bool) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (index, replica) in &self.replicas {
            let slot = Slot::from_index(index);
            if matches(slot, replica) {
                slots.push(slot);
            }
        }
        slots
    }

    fn count_visits(&self, replicas: usize) {
        self.visited.set(self.visited.get() + replicas as u64);
    }

    /// Applies entries of the endpoint list in order. With `snapshot`, replicas without an entry are marked as removed.
    pub fn apply_update(&mut self, endpoints: &[Endpoint], snapshot: bool) {
        if !snapshot {
            for endpoint in endpoints {
                self.apply_entry(endpoint);
            }
            self.count_visits(endpoints.len());
            return;
        }
        let additional = endpoints.len().saturating_sub(self.replicas.len());
        self.replicas.reserve_exact(additional);
        self.slots.reserve(additional);
        let mut in_snapshot = vec![false; self.replicas.capacity()];
        for endpoint in endpoints {
            let slot = self.apply_entry(endpoint);
            if in_snapshot.len() <= slot.index() {
                in_snapshot.resize(slot.index() + 1, false);
            }
            in_snapshot[slot.index()] = true;
        }
        self.count_visits(endpoints.len() + self.replicas.len());
        self.mark_missing_as_removed(&in_snapshot);
    }

    /// Sets the status of replicas that are not in a snapshot to removed. `in_snapshot` states for each slot whether
    /// its replica is.
    fn mark_missing_as_removed(&mut self, in_snapshot: &[bool]) {
        let is_missing = |slot: Slot| !in_snapshot.get(slot.index()).is_some_and(|listed| *listed);
        let missing = self.slots_where(|slot, replica| {
            replica.status != EndpointStatus::Removed && is_missing(slot)
        });
        for slot in missing {
            self.update_replica(slot, |replica| replica.status = EndpointStatus::Removed);
        }
    }

    fn apply_entry(&mut self, endpoint: &Endpoint) -> Slot {
        let slot = self
            .slot(endpoint.replica)
            .unwrap_or_else(|| self.add(endpoint));
        self.move_to_cell(slot, endpoint.cell);
        self.update_replica(slot, |replica| {
            replica.zone = endpoint.zone;
            replica.status = endpoint.status;
            if endpoint.status == EndpointStatus::Ready && replica.started_at != endpoint.started_at
            {
                replica.restart(endpoint.started_at);
            }
        });
        self.queue_for_eviction(slot);
        slot
    }

    /// Adds a replica, which counts as removed until the status of its entry is applied.
    fn add(&mut self, endpoint: &Endpoint) -> Slot {
        let slot = Slot::from_index(self.replicas.insert(Replica::new(endpoint)));
        self.slots.insert(endpoint.replica, slot);
        self.by_cell.insert(slot, &self.replicas);
        slot
    }

    fn move_to_cell(&mut self, slot: Slot, cell: u16) {
        if self.replica(slot).cell == cell {
            return;
        }
        self.by_cell.remove(slot, &self.replicas);
        self.replicas[slot.index()].cell = cell;
        self.by_cell.insert(slot, &self.replicas);
    }

    /// Changes a replica's status or suspicion, and updates the counts and the eviction queue accordingly.
    fn update_replica(&mut self, slot: Slot, change: impl FnOnce(&mut Replica)) {
        let replica = &mut self.replicas[slot.index()];
        let status_before = replica.status;
        let suspected_before = replica.is_suspected_and_ready();
        change(replica);
        let status_after = replica.status;
        let suspected_after = replica.is_suspected_and_ready();
        self.ready += usize::from(status_after == EndpointStatus::Ready);
        self.ready -= usize::from(status_before == EndpointStatus::Ready);
        self.suspected_and_ready += usize::from(suspected_after);
        self.suspected_and_ready -= usize::from(suspected_before);
        if status_before != EndpointStatus::Removed && status_after == EndpointStatus::Removed {
            self.queue_for_eviction(slot);
        }
    }

    /// Sets whether a replica is suspected to have failed.
    pub fn set_suspected(&mut self, slot: Slot, suspected: bool) {
        self.update_replica(slot, |replica| replica.suspected = suspected);
    }

    /// Records that a part is sent to a replica at `now`.
    pub fn add_part_in_flight(&mut self, slot: Slot, now: Nanos) {
        let max_parts_per_call = self.max_parts_per_call;
        self.stats_mut(slot)
            .parts_in_flight
            .add(now, max_parts_per_call);
    }

    /// Records the time of a send, and removes the times of sends before `since`.
    pub fn record_send_time(&mut self, slot: Slot, now: Nanos, since: Nanos) {
        let sends = &mut self.stats_mut(slot).recent_sends;
        sends.push(now);
        sends.remove_before(since);
    }

    /// Records the end of a part that was sent to a replica at `sent_at`.
    pub fn remove_part_in_flight(&mut self, slot: Slot, sent_at: Nanos) {
        let max_parts_per_call = self.max_parts_per_call;
        let in_flight = &mut self.stats_mut(slot).parts_in_flight;
        if in_flight.remove(sent_at, max_parts_per_call) && in_flight.is_empty() {
            self.queue_for_eviction(slot);
        }
    }

    /// Evicts the removed replicas that have no part in flight and whose latency was not updated after `updated_until`.
    pub fn evict_removed(&mut self, updated_until: Nanos) {
        while let Some(Reverse((updated_at, slot))) = self.eviction_queue.peek().copied() {
            if updated_at > updated_until {
                return;
            }
            self.eviction_queue.pop();
            self.count_visits(1);
            let replica = &mut self.replicas[slot.index()];
            replica.queued_for_eviction = false;
            if replica.status != EndpointStatus::Removed
                || !replica.stats().parts_in_flight.is_empty()
            {
                continue;
            }
            if replica.stats().latency_updated_at > updated_until {
                self.queue_for_eviction(slot);
            } else {
                self.evict(slot);
            }
        }
    }

    /// Adds a replica to the eviction queue if it has been removed and is not in the queue.
    fn queue_for_eviction(&mut self, slot: Slot) {
        let replica = &mut self.replicas[slot.index()];
        if replica.status != EndpointStatus::Removed || replica.queued_for_eviction {
            return;
        }
        replica.queued_for_eviction = true;
        let updated_at = replica.stats().latency_updated_at;
        self.eviction_queue.push(Reverse((updated_at, slot)));
    }

    fn evict(&mut self, slot: Slot) {
        self.by_cell.remove(slot, &self.replicas);
        let replica = self.replicas.remove(slot.index());
        self.slots.remove(&replica.id);
    }
}
