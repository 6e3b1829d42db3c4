//! The slots of the replicas by cell, to find the holders of a shard.

use super::replica::Replica;
use super::slot::Slot;
use slab::Slab;
use std::borrow::Cow;

/// Which replicas each cell has. The cell and the id of a replica are read from its entry in the table, which must be
/// there for as long as its slot is in the index, and its cell must not change meanwhile.
#[derive(Debug)]
pub(super) struct CellIndex {
    cells: u32,
    replication_factor: u32,
    /// The slots of each cell's replicas, in the order of their ids.
    slots: Vec<Vec<Slot>>,
}

impl CellIndex {
    /// An index of `cells` cells, where shard `s` is held by the replicas of the cells `s` to
    /// `s + replication_factor - 1`, modulo `cells`.
    pub(super) fn new(cells: u32, replication_factor: u32) -> Self {
        CellIndex {
            cells: cells.max(1),
            replication_factor,
            slots: Vec::new(),
        }
    }

    /// The holders of a shard in the order of their ids.
    pub(super) fn holders(&self, shard: u32, replicas: &Slab<Replica>) -> Cow<'_, [Slot]> {
        let mut cells = self.cells_of(shard).filter(|cell| !cell.is_empty());
        let Some(first) = cells.next() else {
            return Cow::Borrowed(&[]);
        };
        let Some(second) = cells.next() else {
            return Cow::Borrowed(first);
        };
        let mut holders = [first.as_slice(), second].concat();
        holders.extend(cells.flatten());
        holders.sort_unstable_by_key(|slot| replicas[slot.index()].id);
        Cow::Owned(holders)
    }

    /// The cells that hold a shard, each once, as far as any replica was listed in them.
    fn cells_of(&self, shard: u32) -> impl Iterator<Item = &Vec<Slot>> {
        let cells = u64::from(self.cells);
        let first = u64::from(shard % self.cells);
        let holding = u64::from(self.replication_factor.min(self.cells));
        let listed = self.slots.len() as u64;
        // Walks the shorter of the two: the cells that hold the shard, or those that are listed.
        let (by_shard, by_list) = if holding <= listed {
            (0..holding, 0..0)
        } else {
            (0..0, 0..listed)
        };
        let from_shard = by_shard.map(move |offset| (first + offset) % cells);
        let from_list = by_list.filter(move |cell| (cell + cells - first) % cells < holding);
        from_shard
            .chain(from_list)
            .filter_map(|cell| self.slots.get(cell as usize))
    }

    /// Adds a replica to its cell.
    pub(super) fn insert(&mut self, slot: Slot, replicas: &Slab<Replica>) {
        let replica = &replicas[slot.index()];
        let cell = self.cell_number(replica);
        if self.slots.len() <= cell {
            self.slots.resize_with(cell + 1, Vec::new);
        }
        let slots = &mut self.slots[cell];
        let position = slots.partition_point(|other| replicas[other.index()].id < replica.id);
        slots.insert(position, slot);
    }

    /// Removes a replica from its cell.
    pub(super) fn remove(&mut self, slot: Slot, replicas: &Slab<Replica>) {
        let cell = self.cell_number(&replicas[slot.index()]);
        self.slots[cell].retain(|other| *other != slot);
    }

    /// The cell of a replica, below the number of cells whatever its entry states.
    fn cell_number(&self, replica: &Replica) -> usize {
        (u32::from(replica.cell) % self.cells) as usize
    }
}
