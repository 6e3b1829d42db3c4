//! Batches and replies as text, one record per line.

use super::{number, Batch, Reply, EVENT_RECORD};
use std::fmt::Write as _;

const SEND_DATAGRAM: u8 = 8;
const LOG: u8 = 9;
const CRASH: u8 = 10;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let byte =
        |position| u8::from_str_radix(&text[position..position + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn without_padding(record: &[u8]) -> &[u8] {
    let end = record.iter().rposition(|byte| *byte != 0).unwrap_or(0);
    &record[..=end]
}

pub fn batch_text(batch: &Batch) -> String {
    let mut text = format!("batch {} {}\n", batch.number, batch.clock);
    for record in &batch.records {
        let _ = writeln!(text, "event {}", hex(without_padding(record)));
    }
    if !batch.tail.is_empty() {
        let _ = writeln!(text, "tail {}", hex(&batch.tail));
    }
    text
}

pub fn parse_batches(text: &str) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for line in text.lines() {
        let (kind, value) = line.split_once(' ').expect("a kind and its value");
        match kind {
            "batch" => batches.push(empty_batch(value)),
            "event" => {
                let mut record = unhex(value);
                record.resize(EVENT_RECORD, 0);
                batches.last_mut().unwrap().records.push(record);
            }
            "tail" => batches.last_mut().unwrap().tail = unhex(value),
            other => panic!("unknown line '{other}'"),
        }
    }
    batches
}

fn empty_batch(numbers: &str) -> Batch {
    let (number, clock) = numbers.split_once(' ').expect("number and clock");
    Batch {
        number: number.parse().expect("a number"),
        clock: clock.parse().expect("a clock"),
        ..Batch::default()
    }
}

/// The text of a reply without its log records. A range of the tail is replaced by its bytes, since the omitted log texts
/// would shift the offsets.
pub fn reply_text(reply: &Reply) -> String {
    let mut text = format!("reply {}\n", reply.number);
    for record in &reply.records {
        let range_position = match record[0] {
            LOG => continue,
            SEND_DATAGRAM => Some(7),
            CRASH => Some(3),
            _ => None,
        };
        let _ = match range_position {
            Some(position) => writeln!(
                text,
                "action {} bytes {}",
                hex(&record[..position]),
                hex(tail_bytes(reply, &record[position..]))
            ),
            None => writeln!(text, "action {}", hex(without_padding(record))),
        };
    }
    text
}

/// The bytes of the tail in the range (offset and length) at the start of `range`.
pub fn tail_bytes<'a>(reply: &'a Reply, range: &[u8]) -> &'a [u8] {
    let offset = number(&range[..4]) as usize;
    &reply.tail[offset..offset + number(&range[4..8]) as usize]
}
