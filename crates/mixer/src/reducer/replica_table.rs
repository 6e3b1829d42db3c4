//! The table of replicas: compact records with lookup by id and by name.

use crate::protocol::endpoint_updates::Address;
use cottonhill_decisions::{EndpointStatus, Nanos, ReplicaId};
use hashbrown::HashTable;
use slab::Slab;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// A leaf server as last announced. Records are compact, since a fleet has very many leaf servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Its id for the coordinator, which is local to the process.
    pub id: ReplicaId,
    /// Its name, identical at every mixer.
    pub name: Box<str>,
    pub(super) address: Address,
    /// The latest start time that was announced, in Unix nanoseconds.
    pub(super) started_at: Nanos,
    /// The cell that it serves.
    pub cell: u16,
    /// Its zone's index in the settings.
    pub zone: u16,
    /// Its status, which determines what may be sent to it.
    pub status: EndpointStatus,
    /// Its last entry had an earlier start time than `started_at`.
    pub(super) started_earlier: bool,
}

impl Replica {
    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        (&self.address).into()
    }
}

/// The position of a record in the table, valid until the record is removed.
pub type Slot = u32;

/// Records by slot, with indexes by id and by name. Each name is stored only in its record.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    /// Reuses the most recently freed slot first.
    records: Slab<Replica>,
    slots_by_id: HashTable<Slot>,
    slots_by_name: HashTable<Slot>,
    hasher: RandomState,
}

impl ReplicaTable {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Reserves memory for exactly `additional` more records.
    pub fn reserve(&mut self, additional: usize) {
        let (records, hasher) = (&mut self.records, &self.hasher);
        records.reserve_exact(additional);
        self.slots_by_id
            .reserve(additional, |slot| hash_id(hasher, records, *slot));
        self.slots_by_name
            .reserve(additional, |slot| hash_name(hasher, records, *slot));
    }

    /// The slot of the replica with this id.
    pub fn slot_by_id(&self, id: ReplicaId) -> Option<Slot> {
        let has_id = |slot: &Slot| self.record(*slot).is_some_and(|replica| replica.id == id);
        let hash = self.hasher.hash_one(id);
        self.slots_by_id.find(hash, has_id).copied()
    }

    /// The slot of the replica with this name.
    pub fn slot_by_name(&self, name: &str) -> Option<Slot> {
        let has_name = |slot: &Slot| {
            self.record(*slot)
                .is_some_and(|replica| *replica.name == *name)
        };
        let hash = self.hasher.hash_one(name);
        self.slots_by_name.find(hash, has_name).copied()
    }

    /// The replica with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.record(self.slot_by_id(id)?)
    }

    /// The replica in a slot.
    pub fn record(&self, slot: Slot) -> Option<&Replica> {
        self.records.get(slot as usize)
    }

    /// The replica in a slot, for changes of its announced values. Its id and its name must not change.
    pub(super) fn record_mut(&mut self, slot: Slot) -> Option<&mut Replica> {
        self.records.get_mut(slot as usize)
    }

    /// Adds a replica whose id and name are not in the table.
    pub fn insert(&mut self, replica: Replica) -> Slot {
        let id_hash = self.hasher.hash_one(replica.id);
        let name_hash = self.hasher.hash_one(&*replica.name);
        let slot = self.records.insert(replica) as Slot;
        let (records, hasher) = (&self.records, &self.hasher);
        self.slots_by_id
            .insert_unique(id_hash, slot, |slot| hash_id(hasher, records, *slot));
        self.slots_by_name
            .insert_unique(name_hash, slot, |slot| hash_name(hasher, records, *slot));
        slot
    }

    /// Removes a replica; its slot may be reused.
    pub fn remove(&mut self, id: ReplicaId) -> Option<Replica> {
        let slot = self.slot_by_id(id)?;
        let replica = self.records.try_remove(slot as usize)?;
        remove_slot(&mut self.slots_by_id, self.hasher.hash_one(id), slot);
        let name_hash = self.hasher.hash_one(&*replica.name);
        remove_slot(&mut self.slots_by_name, name_hash, slot);
        Some(replica)
    }

    /// All records with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Replica)> {
        self.records
            .iter()
            .map(|(slot, replica)| (slot as Slot, replica))
    }
}

fn remove_slot(index: &mut HashTable<Slot>, hash: u64, slot: Slot) {
    if let Ok(entry) = index.find_entry(hash, |other| *other == slot) {
        entry.remove();
    }
}

fn hash_id(hasher: &RandomState, records: &Slab<Replica>, slot: Slot) -> u64 {
    records
        .get(slot as usize)
        .map_or(0, |replica| hasher.hash_one(replica.id))
}

fn hash_name(hasher: &RandomState, records: &Slab<Replica>, slot: Slot) -> u64 {
    records
        .get(slot as usize)
        .map_or(0, |replica| hasher.hash_one(&*replica.name))
}
