//! The table of replicas: compact records, found by number and by name. It decides nothing.

use crate::protocol::endpoint_updates::Address;
use cottonhill_decisions::{EndpointStatus, Nanos, ReplicaId};
use hashbrown::HashTable;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

/// A leaf server as last listed. A fleet has very many: a field here is paid for that often.
#[derive(Clone, Debug, PartialEq)]
pub struct Replica {
    /// Its number for the decision module.
    pub id: ReplicaId,
    /// As listed; identical at every mixer.
    pub name: Box<str>,
    pub(super) address: Address,
    /// The latest of the starts that were announced.
    pub(super) started: Nanos,
    /// The cell that it holds.
    pub cell: u16,
    /// Its zone's number in the settings.
    pub zone: u16,
    /// What may be sent to it.
    pub status: EndpointStatus,
    /// Its last entry stated an earlier start than `started`.
    pub(super) started_earlier: bool,
}

impl Replica {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        (&self.address).into()
    }
}

/// Where a record is in the table, for as long as it is there.
pub type Slot = u32;

/// Records by slot, with an index by number and one by name. A name is stored once, in its record.
#[derive(Debug, Default)]
pub struct ReplicaTable {
    records: Vec<Option<Replica>>,
    /// Slots without a record.
    free: Vec<Slot>,
    by_id: HashTable<Slot>,
    by_name: HashTable<Slot>,
    hasher: RandomState,
}

impl ReplicaTable {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Makes room for so many more records, and no more than that.
    pub fn reserve(&mut self, additional: usize) {
        let (records, hasher) = (&mut self.records, &self.hasher);
        records.reserve_exact(additional.saturating_sub(self.free.len()));
        self.by_id
            .reserve(additional, |slot| hash_id(hasher, records, *slot));
        self.by_name
            .reserve(additional, |slot| hash_name(hasher, records, *slot));
    }

    /// The slot of the replica with this number.
    pub fn slot(&self, id: ReplicaId) -> Option<Slot> {
        let is_it = |slot: &Slot| self.at(*slot).is_some_and(|replica| replica.id == id);
        self.by_id.find(self.hasher.hash_one(id), is_it).copied()
    }

    /// The slot of the replica of this name.
    pub fn slot_of_name(&self, name: &str) -> Option<Slot> {
        let is_it = |slot: &Slot| self.at(*slot).is_some_and(|replica| *replica.name == *name);
        self.by_name
            .find(self.hasher.hash_one(name), is_it)
            .copied()
    }

    /// The replica with this number.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.at(self.slot(id)?)
    }

    /// The replica in a slot.
    pub fn at(&self, slot: Slot) -> Option<&Replica> {
        self.records.get(slot as usize)?.as_ref()
    }

    /// To change what is listed of a replica; its number and its name stay.
    pub(super) fn at_mut(&mut self, slot: Slot) -> Option<&mut Replica> {
        self.records.get_mut(slot as usize)?.as_mut()
    }

    /// Adds a replica whose number and name are not in the table.
    pub fn insert(&mut self, replica: Replica) -> Slot {
        let (id, name) = (
            self.hasher.hash_one(replica.id),
            self.hasher.hash_one(&*replica.name),
        );
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.records.push(None);
                (self.records.len() - 1) as Slot
            }
        };
        self.records[slot as usize] = Some(replica);
        let (records, hasher) = (&self.records, &self.hasher);
        self.by_id
            .insert_unique(id, slot, |slot| hash_id(hasher, records, *slot));
        self.by_name
            .insert_unique(name, slot, |slot| hash_name(hasher, records, *slot));
        slot
    }

    /// Takes a replica out; its slot may be used by another from then on.
    pub fn remove(&mut self, id: ReplicaId) -> Option<Replica> {
        let slot = self.slot(id)?;
        let replica = self.records.get_mut(slot as usize)?.take()?;
        let (id, name) = (
            self.hasher.hash_one(id),
            self.hasher.hash_one(&*replica.name),
        );
        for (index, hash) in [(&mut self.by_id, id), (&mut self.by_name, name)] {
            if let Ok(entry) = index.find_entry(hash, |other| *other == slot) {
                entry.remove();
            }
        }
        self.free.push(slot);
        Some(replica)
    }

    /// All records with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Replica)> {
        self.records
            .iter()
            .enumerate()
            .filter_map(|(slot, record)| Some((slot as Slot, record.as_ref()?)))
    }
}

fn hash_id(hasher: &RandomState, records: &[Option<Replica>], slot: Slot) -> u64 {
    records[slot as usize]
        .as_ref()
        .map_or(0, |replica| hasher.hash_one(replica.id))
}

fn hash_name(hasher: &RandomState, records: &[Option<Replica>], slot: Slot) -> u64 {
    records[slot as usize]
        .as_ref()
        .map_or(0, |replica| hasher.hash_one(&*replica.name))
}
