//! The segments of a usage log: their names, their frames, and reading them with any damage.
//!
//! A segment is [`MAGIC`] followed by frames. A frame is the CRC-32 of the rest of the frame (4 bytes, little-endian),
//! the length of its body (4 bytes, little-endian), and the body. The body of the first frame is a [`Header`], the
//! others are [`Entry`]s. Segments are append-only.

mod follow;

pub use follow::{Follower, Position};

use crate::wire::{Entry, Header};
use prost::Message;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Identifies the file format and its version.
pub const MAGIC: &[u8; 8] = b"CTHLUSE\x01";
/// The format version in a header.
pub const VERSION: u32 = 1;
const FRAME_HEADER_BYTES: usize = 8;
/// Size limit of the body of an entry.
const MAX_ENTRY_BYTES: usize = 1024;
/// Size limit of the body of a header.
const MAX_HEADER_BYTES: usize = 4 << 20;

/// Appends a frame.
pub fn append_frame(out: &mut Vec<u8>, body: &impl Message) {
    let at = out.len();
    out.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    // Encoding fails only for lack of capacity, and a vector grows.
    let _ = body.encode(out);
    let length = (out.len() - at - FRAME_HEADER_BYTES) as u32;
    out[at + 4..at + 8].copy_from_slice(&length.to_le_bytes());
    let sum = crc32fast::hash(&out[at + 4..]);
    out[at..at + 4].copy_from_slice(&sum.to_le_bytes());
}

enum Frame<'a> {
    /// The body, and the offset of the next frame.
    Complete(&'a [u8], usize),
    /// The frame extends beyond the end of the bytes.
    Truncated,
    Invalid,
}

fn frame(bytes: &[u8], at: usize, max_length: usize) -> Frame<'_> {
    let Some(head) = bytes.get(at..at + FRAME_HEADER_BYTES) else {
        return Frame::Truncated;
    };
    let u32_at = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
    let (sum, length) = (u32_at(0), u32_at(4) as usize);
    if length == 0 || length > max_length {
        return Frame::Invalid;
    }
    let end = at + FRAME_HEADER_BYTES + length;
    match bytes.get(at + 4..end) {
        None => Frame::Truncated,
        Some(covered) if crc32fast::hash(covered) == sum => Frame::Complete(&covered[4..], end),
        Some(_) => Frame::Invalid,
    }
}

/// An item of a segment, in the order of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Entry(Entry),
    /// Offsets (start inclusive, end exclusive) of bytes that are no valid frame, although valid frames follow.
    Damage(u64, u64),
}

/// The result of [`read_entries`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadResult {
    pub items: Vec<Item>,
    /// The offset up to which the bytes are read; no complete valid frame follows, or the limit of items is reached.
    pub end: usize,
}

/// Decodes the header of a segment; returns it with the offset of the first entry.
pub fn read_header(bytes: &[u8]) -> Option<(Header, usize)> {
    let rest = bytes.strip_prefix(MAGIC)?;
    match frame(rest, 0, MAX_HEADER_BYTES) {
        Frame::Complete(body, end) => Some((Header::decode(body).ok()?, MAGIC.len() + end)),
        _ => None,
    }
}

/// Reads at most `max_items` items from offset `at`. Unreadable bytes are skipped up to the next valid frame.
pub fn read_entries(bytes: &[u8], at: usize, max_items: usize) -> ReadResult {
    let mut read = ReadResult {
        items: Vec::new(),
        end: at,
    };
    while read.end < bytes.len() && read.items.len() < max_items {
        match entry(bytes, read.end) {
            Some((entry, end)) => {
                read.items.push(Item::Entry(entry));
                read.end = end;
            }
            None => {
                // If a length is damaged, the next frame may start at any offset.
                let Some(next) = (read.end + 1..bytes.len()).find(|at| entry(bytes, *at).is_some())
                else {
                    break;
                };
                read.items.push(Item::Damage(read.end as u64, next as u64));
                read.end = next;
            }
        }
    }
    read
}

fn entry(bytes: &[u8], at: usize) -> Option<(Entry, usize)> {
    match frame(bytes, at, MAX_ENTRY_BYTES) {
        Frame::Complete(body, end) => Entry::decode(body)
            .ok()
            .filter(|entry| entry.what.is_some())
            .map(|entry| (entry, end)),
        _ => None,
    }
}

/// A segment file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Segment {
    pub incarnation: u64,
    pub first_sequence: u64,
    pub path: PathBuf,
}

impl Segment {
    pub fn new(directory: &Path, incarnation: u64, first_sequence: u64) -> Segment {
        let path = directory.join(format!("{incarnation:020}-{first_sequence:020}.log"));
        Segment {
            incarnation,
            first_sequence,
            path,
        }
    }

    /// The file name.
    pub fn name(&self) -> String {
        self.path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned()
    }
}

/// Lists the segments of a log, oldest first; ignores other files in the folder.
///
/// # Errors
/// The folder cannot be read.
pub fn list_segments(directory: &Path) -> io::Result<Vec<Segment>> {
    let mut segments = Vec::new();
    for file in fs::read_dir(directory)? {
        let path = file?.path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let numbers = name
            .strip_suffix(".log")
            .and_then(|name| name.split_once('-'));
        let numbers = numbers.and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        if let Some((incarnation, first_sequence)) = numbers {
            segments.push(Segment {
                incarnation,
                first_sequence,
                path,
            });
        }
    }
    segments.sort_unstable();
    Ok(segments)
}

/// Removes the invalid bytes at the end of a segment, such as the incomplete frame that a crash during a write leaves.
/// A segment without a valid header and without entries is deleted. Returns the number of bytes removed.
///
/// # Errors
/// The file cannot be read, truncated or deleted.
pub fn truncate_invalid_tail(segment: &Segment) -> io::Result<u64> {
    let bytes = fs::read(&segment.path)?;
    let Some((_, at)) = read_header(&bytes) else {
        // Without a complete header and without entries the segment is empty and is removed. A segment with a damaged
        // header keeps its entries.
        if bytes.len() > MAGIC.len() + FRAME_HEADER_BYTES
            && !read_entries(&bytes, MAGIC.len(), 1).items.is_empty()
        {
            return Ok(0);
        }
        fs::remove_file(&segment.path)?;
        return Ok(bytes.len() as u64);
    };
    let end = read_entries(&bytes, at, usize::MAX).end;
    let invalid = (bytes.len() - end) as u64;
    if invalid > 0 {
        fs::OpenOptions::new()
            .write(true)
            .open(&segment.path)?
            .set_len(end as u64)?;
    }
    Ok(invalid)
}
