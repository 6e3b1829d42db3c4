//! Decoding of the fields of a record at fixed positions.

use crate::error::RecordError;
use cottonhill_decisions::{LoadReport, ReplicaId};

/// The maximum number of values in a load report.
const MAX_REPORT_VALUES: u8 = 4;
/// Bytes of a value in a load report.
const REPORT_VALUE: usize = 4;

/// The bytes of a record. The getters panic on a position past its end; callers pass records of the full size.
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, position: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[position..position + N]);
        bytes
    }

    /// One byte.
    pub fn u8(&self, position: usize) -> u8 {
        self.0[position]
    }

    /// An unsigned integer of two bytes.
    pub fn u16(&self, position: usize) -> u16 {
        u16::from_le_bytes(self.bytes(position))
    }

    /// An unsigned integer of four bytes.
    pub fn u32(&self, position: usize) -> u32 {
        u32::from_le_bytes(self.bytes(position))
    }

    /// An unsigned integer of eight bytes.
    pub fn u64(&self, position: usize) -> u64 {
        u64::from_le_bytes(self.bytes(position))
    }

    /// A floating-point number of four bytes.
    pub fn f32(&self, position: usize) -> f32 {
        f32::from_le_bytes(self.bytes(position))
    }

    /// Four bytes of address and two of port, combined into one number.
    pub fn replica(&self, position: usize) -> ReplicaId {
        let (address, port) = (self.u32(position), self.u16(position + 4));
        ReplicaId(u64::from(address) | u64::from(port) << 32)
    }

    /// One byte with the number of values, and the values of the load report. There are at most [`MAX_REPORT_VALUES`]; a
    /// larger number is read as that.
    pub fn load_report(&self, position: usize) -> LoadReport {
        let count = usize::from(self.u8(position).min(MAX_REPORT_VALUES));
        (0..count)
            .map(|index| self.f32(position + 1 + REPORT_VALUE * index))
            .collect()
    }

    /// An offset into the tail and a length.
    pub fn tail_range(&self, position: usize) -> TailRange {
        TailRange {
            offset: self.u32(position),
            length: self.u32(position + 4) as usize,
        }
    }
}

/// A range of the tail to which a record refers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailRange {
    /// Bytes from the start of the tail.
    pub offset: u32,
    /// Number of bytes, or of entries for an endpoint list.
    pub length: usize,
}

impl TailRange {
    /// Converts a length in entries of this size to a length in bytes.
    pub fn in_bytes(self, entry_size: usize) -> TailRange {
        TailRange {
            offset: self.offset,
            length: self.length.saturating_mul(entry_size),
        }
    }

    /// The bytes of the tail.
    ///
    /// # Errors
    /// The range ends past the end of the tail.
    pub fn slice(self, tail: &[u8]) -> Result<&[u8], RecordError> {
        let start = self.offset as usize;
        let end = start.checked_add(self.length);
        match end.filter(|end| *end <= tail.len()) {
            Some(end) => Ok(&tail[start..end]),
            None => Err(RecordError::PastTail {
                length: self.length,
                offset: self.offset,
                tail_length: tail.len(),
            }),
        }
    }
}
