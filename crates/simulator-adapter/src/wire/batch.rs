//! Batches received from the simulator. A batch is one frame.

use super::fields::Fields;
use crate::error::AdapterError;
use std::io::{ErrorKind, Read};

/// Bytes of a batch's header: number of the batch (u32), length of records and tail (u32), clock (u64), number of records
/// (u32).
const HEADER_SIZE: usize = 20;
/// Positions of the fields in the header.
const NUMBER_OFFSET: usize = 0;
const LENGTH_OFFSET: usize = 4;
const CLOCK_OFFSET: usize = 8;
const COUNT_OFFSET: usize = 16;
/// Bytes of an event record.
const RECORD_SIZE: usize = 56;

/// A batch of events: event records, and the tail with the data of variable size.
#[derive(Debug)]
pub struct Batch {
    /// Number of the batch; its reply has the same number.
    pub number: u32,
    /// Simulated time in nanoseconds, the same for all events.
    pub clock: u64,
    /// Records of [`RECORD_SIZE`] bytes each.
    records: Vec<u8>,
    /// Data to which records refer by offset and length.
    pub tail: Vec<u8>,
}

impl Batch {
    /// Reads one batch; `None` at the end of the input.
    ///
    /// # Errors
    /// The input can't be read, ends within the batch, or the header announces more records than fit in its length.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
        let Some(header) = read_header(input)? else {
            return Ok(None);
        };
        let header = Fields(&header);
        let (number, length) = (
            header.u32(NUMBER_OFFSET),
            header.u32(LENGTH_OFFSET) as usize,
        );
        let (clock, count) = (header.u64(CLOCK_OFFSET), header.u32(COUNT_OFFSET) as usize);
        let records = count
            .checked_mul(RECORD_SIZE)
            .filter(|size| *size <= length);
        let records = records.ok_or(AdapterError::RecordsDoNotFit {
            batch: number,
            count,
            length,
        })?;
        let mut body = read_body(input, number, length)?;
        let tail = body.split_off(records);
        Ok(Some(Batch {
            number,
            clock,
            records: body,
            tail,
        }))
    }

    /// The event records, in order.
    pub fn records(&self) -> impl Iterator<Item = Fields<'_>> {
        self.records.chunks_exact(RECORD_SIZE).map(Fields)
    }
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_SIZE]>, AdapterError> {
    let mut header = [0; HEADER_SIZE];
    let mut received = 0;
    while received < HEADER_SIZE {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedHeader { received }),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}

fn read_body(input: &mut impl Read, batch: u32, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(|source| AdapterError::ReadBody { batch, source })?;
    let received = body.len();
    if received < length {
        return Err(AdapterError::TruncatedBody {
            batch,
            received,
            length,
        });
    }
    Ok(body)
}
