//! An index of the replicas by cell, for lookups of the holders of a shard.

use super::replica::Replica;
use super::slot::Slot;
use slab::Slab;
use std::borrow::Cow;

/// The slots of each cell's replicas. The index reads the cell and the id of a replica from its table entry. That entry
/// must exist and its cell must not change while the replica's slot is in the index.
#[derive(Debug)]
pub(super) struct CellIndex {
    cells: u32,
    replication_factor: u32,
    /// The slots of each cell's replicas, in the order of their ids.
    slots: Vec<Vec<Slot>>,
}

impl CellIndex {
    /// Creates an empty index of `cells` cells, where shard `s` is held by the replicas of the cells `s` to
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

    /// The slots of each cell that holds a shard, each cell once; cells above the highest cell of any replica so far
    /// are omitted.
    fn cells_of(&self, shard: u32) -> impl Iterator<Item = &Vec<Slot>> {
        let cells = u64::from(self.cells);
        let first = u64::from(shard % self.cells);
        let cells_per_shard = u64::from(self.replication_factor.min(self.cells));
        let indexed_cells = self.slots.len() as u64;
        // Iterates over the cells that hold the shard or over the indexed cells, whichever are fewer.
        let (offsets, candidates) = if cells_per_shard <= indexed_cells {
            (0..cells_per_shard, 0..0)
        } else {
            (0..0, 0..indexed_cells)
        };
        let by_offset = offsets.map(move |offset| (first + offset) % cells);
        let by_candidate =
            candidates.filter(move |cell| (cell + cells - first) % cells < cells_per_shard);
        by_offset
            .chain(by_candidate)
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

    /// The cell of a replica modulo the number of cells, since the endpoint list may contain an invalid cell.
    fn cell_number(&self, replica: &Replica) -> usize {
        (u32::from(replica.cell) % self.cells) as usize
    }
}
