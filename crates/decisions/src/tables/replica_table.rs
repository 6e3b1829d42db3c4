//! The replicas of the endpoint list, by id and by cell.
//!
//! The table keeps its counts as entries change and forgets replicas that are gone by a queue, so that a lookup costs
//! as much as the shard has holders and a change as much as it has entries, however large the fleet is.

use super::cell_index::CellIndex;
pub use super::replica::{ConnectionKind, Replica, ReplicaStats, SlowStartJitter};
pub use super::slot::Slot;
use crate::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use slab::Slab;
use std::borrow::Cow;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// A replica that is gone, in the queue of those to forget.
type Expiry = Reverse<(Nanos, Slot)>;

/// All replicas that are listed, and those gone that are not forgotten yet.
#[derive(Debug)]
pub struct ReplicaTable {
    max_parts_per_call: u32,
    /// The replicas by slot; the slot that was freed last is reused first.
    replicas: Slab<Replica>,
    slots: HashMap<ReplicaId, Slot>,
    by_cell: CellIndex,
    ready: usize,
    suspected_and_ready: usize,
    /// Replicas that are gone, by the time of their last latency update when they were queued.
    expiries: BinaryHeap<Expiry>,
    visited: Cell<u64>,
}

/// A table in which no shard has holders.
impl Default for ReplicaTable {
    fn default() -> Self {
        ReplicaTable::new(1, 0, 1)
    }
}

impl ReplicaTable {
    /// A table for `cells` cells, where shard `s` is held by the replicas of the cells `s` to
    /// `s + replication_factor - 1`, modulo `cells`, and a call has at most `max_parts_per_call` parts.
    pub fn new(cells: u32, replication_factor: u32, max_parts_per_call: u32) -> Self {
        ReplicaTable {
            max_parts_per_call: max_parts_per_call.max(1),
            replicas: Slab::new(),
            slots: HashMap::new(),
            by_cell: CellIndex::new(cells, replication_factor),
            ready: 0,
            suspected_and_ready: 0,
            expiries: BinaryHeap::new(),
            visited: Cell::new(0),
        }
    }

    /// Calls in flight at a replica; one that was opened at `now` and has room for one more part is not counted.
    pub fn calls_in_flight(&self, replica: &Replica, now: Nanos) -> u32 {
        replica
            .stats()
            .parts_in_flight
            .calls(now, self.max_parts_per_call)
    }

    /// How many replicas are known, those gone and not forgotten included.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// How many replicas are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.ready
    }

    /// How many of the ready replicas are suspected.
    pub fn suspected_ready_count(&self) -> usize {
        self.suspected_and_ready
    }

    /// How many replicas were looked at so far, as holders of a shard or by a walk: a measure of cost, for tests.
    pub fn replicas_visited(&self) -> u64 {
        self.visited.get()
    }

    /// The position of a replica; `None` if it is not known.
    pub fn slot(&self, id: ReplicaId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    /// The replica at a position.
    pub fn replica(&self, slot: Slot) -> &Replica {
        &self.replicas[slot.index()]
    }

    /// The replica of this id; `None` if it is not known.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.slot(id).map(|slot| self.replica(slot))
    }

    /// The stats of a replica, to be changed.
    pub fn stats_mut(&mut self, slot: Slot) -> &mut ReplicaStats {
        self.replicas[slot.index()].stats.get_or_insert_default()
    }

    /// The holders of a shard, whatever their status, in the order of their ids.
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

    /// The ready replicas in the order of their ids. Walks over all replicas.
    pub fn ready_slots(&self) -> Vec<Slot> {
        self.count_visits(self.replicas.len());
        let mut ready = self.slots_where(|_, replica| replica.is_ready());
        ready.sort_unstable_by_key(|slot| self.replica(*slot).id);
        ready
    }

    /// The slots of the replicas that match, in the order of the slots.
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

    /// Applies entries of the endpoint list, in order; the replicas that a `snapshot` does not name are gone.
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
        let mut listed = vec![false; self.replicas.capacity()];
        for endpoint in endpoints {
            let slot = self.apply_entry(endpoint);
            if listed.len() <= slot.index() {
                listed.resize(slot.index() + 1, false);
            }
            listed[slot.index()] = true;
        }
        self.count_visits(endpoints.len() + self.replicas.len());
        self.remove_unlisted(&listed);
    }

    /// Sets the status of the replicas that are not listed, by slot, to gone.
    fn remove_unlisted(&mut self, listed: &[bool]) {
        let is_listed = |slot: Slot| listed.get(slot.index()).is_some_and(|listed| *listed);
        let unlisted = self.slots_where(|slot, replica| {
            replica.status != EndpointStatus::Gone && !is_listed(slot)
        });
        for slot in unlisted {
            self.change(slot, |replica| replica.status = EndpointStatus::Gone);
        }
    }

    fn apply_entry(&mut self, endpoint: &Endpoint) -> Slot {
        let slot = self
            .slot(endpoint.replica)
            .unwrap_or_else(|| self.add(endpoint));
        self.move_to_cell(slot, endpoint.cell);
        self.change(slot, |replica| {
            replica.zone = endpoint.zone;
            replica.status = endpoint.status;
            if endpoint.status == EndpointStatus::Ready && replica.started != endpoint.started {
                replica.restart(endpoint.started);
            }
        });
        self.queue_expiry(slot);
        slot
    }

    /// Adds a replica that counts as gone until its entry is applied.
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

    /// Changes a replica's status or suspicion and keeps the counts and the queue of expiries true.
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Replica)) {
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
        if status_before != EndpointStatus::Gone && status_after == EndpointStatus::Gone {
            self.queue_expiry(slot);
        }
    }

    /// Sets whether a replica is suspected to have failed.
    pub fn set_suspected(&mut self, slot: Slot, suspected: bool) {
        self.change(slot, |replica| replica.suspected = suspected);
    }

    /// Records a part that is sent to a replica now.
    pub fn add_part_in_flight(&mut self, slot: Slot, now: Nanos) {
        let max_parts_per_call = self.max_parts_per_call;
        self.stats_mut(slot)
            .parts_in_flight
            .add(now, max_parts_per_call);
    }

    /// Keeps the time of a send that is made now, and those of the sends since `since`.
    pub fn record_send(&mut self, slot: Slot, now: Nanos, since: Nanos) {
        let sends = &mut self.stats_mut(slot).recent_sends;
        sends.push(now);
        sends.forget_before(since);
    }

    /// Records the end of a part that was sent to a replica at `sent_at`.
    pub fn remove_part_in_flight(&mut self, slot: Slot, sent_at: Nanos) {
        let max_parts_per_call = self.max_parts_per_call;
        let open = &mut self.stats_mut(slot).parts_in_flight;
        if open.remove(sent_at, max_parts_per_call) && open.is_empty() {
            self.queue_expiry(slot);
        }
    }

    /// Forgets the replicas that are gone, have no part in flight, and whose latency was not updated after
    /// `updated_until`.
    pub fn forget_gone(&mut self, updated_until: Nanos) {
        while let Some(Reverse((updated_at, slot))) = self.expiries.peek().copied() {
            if updated_at > updated_until {
                return;
            }
            self.expiries.pop();
            self.count_visits(1);
            let replica = &mut self.replicas[slot.index()];
            replica.queued_for_expiry = false;
            if replica.status != EndpointStatus::Gone || !replica.stats().parts_in_flight.is_empty()
            {
                continue;
            }
            if replica.stats().latency_updated_at > updated_until {
                self.queue_expiry(slot);
            } else {
                self.forget(slot);
            }
        }
    }

    /// Queues a replica that is gone to be forgotten, unless it is queued already.
    fn queue_expiry(&mut self, slot: Slot) {
        let replica = &mut self.replicas[slot.index()];
        if replica.status != EndpointStatus::Gone || replica.queued_for_expiry {
            return;
        }
        replica.queued_for_expiry = true;
        let updated_at = replica.stats().latency_updated_at;
        self.expiries.push(Reverse((updated_at, slot)));
    }

    fn forget(&mut self, slot: Slot) {
        self.by_cell.remove(slot, &self.replicas);
        let replica = self.replicas.remove(slot.index());
        self.slots.remove(&replica.id);
    }
}
