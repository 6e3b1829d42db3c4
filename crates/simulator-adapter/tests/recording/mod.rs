//! Generation and comparison of the recorded batches and replies.

pub mod program;
pub mod simulation;
pub mod text;

/// Bytes of an event record.
pub const EVENT_RECORD: usize = 56;
/// Bytes of an action record.
pub const ACTION_RECORD: usize = 32;

/// One frame sent to the adapter.
#[derive(Default)]
pub struct Batch {
    pub number: u32,
    /// Simulated time in nanoseconds.
    pub clock: u64,
    pub records: Vec<Vec<u8>>,
    pub tail: Vec<u8>,
}

impl Batch {
    /// Appends a record with these fields, padded with zero bytes.
    pub fn push(&mut self, fields: &[&[u8]]) {
        let mut record = fields.concat();
        record.resize(EVENT_RECORD, 0);
        self.records.push(record);
    }

    /// Appends bytes to the tail and returns their offset.
    pub fn append_tail(&mut self, bytes: &[u8]) -> u32 {
        let offset = self.tail.len() as u32;
        self.tail.extend(bytes);
        offset
    }

    pub fn bytes(&self) -> Vec<u8> {
        let body = [self.records.concat(), self.tail.clone()].concat();
        let mut frame = self.number.to_le_bytes().to_vec();
        frame.extend((body.len() as u32).to_le_bytes());
        frame.extend(self.clock.to_le_bytes());
        frame.extend((self.records.len() as u32).to_le_bytes());
        frame.extend(body);
        frame
    }
}

/// One frame received from the adapter.
pub struct Reply {
    pub number: u32,
    pub records: Vec<Vec<u8>>,
    pub tail: Vec<u8>,
}

/// The little-endian number in these bytes.
pub fn number(bytes: &[u8]) -> u64 {
    let mut wide = [0; 8];
    wide[..bytes.len()].copy_from_slice(bytes);
    u64::from_le_bytes(wide)
}
