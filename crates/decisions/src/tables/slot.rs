//! Positions in the replica table.

/// Position of a replica in the replica table. It is valid until the next endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(u32);

impl Slot {
    pub(super) fn from_index(index: usize) -> Self {
        Slot(index as u32)
    }

    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}
