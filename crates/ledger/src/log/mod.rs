//! The segments of a usage log: their names, their frames, and reading them however damaged they are.
//!
//! A segment is [`MAGIC`], then frames. A frame is the CRC-32 of what follows (4 bytes, least significant first),
//! the length of its body (4 bytes), and the body: the first is a [`Header`], the others are [`Entry`]s. Nothing
//! in a segment is ever changed once it is written.

mod follow;

pub use follow::{Follower, Position};

use crate::wire::{Entry, Header};
use prost::Message;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The layout's name and version.
pub const MAGIC: &[u8; 8] = b"CTHLUSE\x01";
/// The version that a header states.
pub const VERSION: u32 = 1;
const FRAME_HEAD: usize = 8;
/// The longest body of an entry and of a header.
const MOST_ENTRY: usize = 1024;
const MOST_HEADER: usize = 4 << 20;

/// Appends a frame.
pub fn put_frame(out: &mut Vec<u8>, body: &impl Message) {
    let at = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD]);
    // A vector takes any length, so this can't fail.
    let _ = body.encode(out);
    let length = (out.len() - at - FRAME_HEAD) as u32;
    out[at + 4..at + 8].copy_from_slice(&length.to_le_bytes());
    let sum = crc32fast::hash(&out[at + 4..]);
    out[at..at + 4].copy_from_slice(&sum.to_le_bytes());
}

enum Frame<'a> {
    /// A body, and where the next frame begins.
    Whole(&'a [u8], usize),
    /// It goes on past the end of the bytes.
    Short,
    Bad,
}

fn frame(bytes: &[u8], at: usize, most: usize) -> Frame<'_> {
    let Some(head) = bytes.get(at..at + FRAME_HEAD) else {
        return Frame::Short;
    };
    let word = |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
    let (sum, length) = (word(0), word(4) as usize);
    if length == 0 || length > most {
        return Frame::Bad;
    }
    let end = at + FRAME_HEAD + length;
    match bytes.get(at + 4..end) {
        None => Frame::Short,
        Some(covered) if crc32fast::hash(covered) == sum => Frame::Whole(&covered[4..], end),
        Some(_) => Frame::Bad,
    }
}

/// What stands in a segment, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Entry(Entry),
    /// Bytes from here to there that are no frames, though frames follow.
    Damage(u64, u64),
}

/// What [`read`] made of a segment's bytes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Read {
    pub items: Vec<Item>,
    /// Up to where the bytes are read; what follows is no frame, or not yet a whole one.
    pub end: usize,
}

/// The header of a segment, and where its entries begin.
pub fn header(bytes: &[u8]) -> Option<(Header, usize)> {
    let rest = bytes.strip_prefix(MAGIC)?;
    match frame(rest, 0, MOST_HEADER) {
        Frame::Whole(body, end) => Some((Header::decode(body).ok()?, MAGIC.len() + end)),
        _ => None,
    }
}

/// Reads entries from `at` on, at most `most` items. What can't be read is skipped to the next frame that can.
pub fn read(bytes: &[u8], at: usize, most: usize) -> Read {
    let mut read = Read {
        items: Vec::new(),
        end: at,
    };
    while read.end < bytes.len() && read.items.len() < most {
        match entry(bytes, read.end) {
            Some((entry, end)) => {
                read.items.push(Item::Entry(entry));
                read.end = end;
            }
            None => {
                // Where a length is damaged the next frame may begin anywhere.
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
    match frame(bytes, at, MOST_ENTRY) {
        Frame::Whole(body, end) => Entry::decode(body)
            .ok()
            .filter(|entry| entry.what.is_some())
            .map(|entry| (entry, end)),
        _ => None,
    }
}

/// One segment's file.
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

    /// The file's name.
    pub fn name(&self) -> String {
        self.path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned()
    }
}

/// The segments of a log, oldest first. Other files in the folder are left alone.
///
/// # Errors
/// The folder can't be read.
pub fn segments(directory: &Path) -> io::Result<Vec<Segment>> {
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

/// Cuts what a sudden end has left half written off the end of a segment. Returns the bytes cut.
///
/// # Errors
/// The file can't be read or cut.
pub fn cut_torn_tail(segment: &Segment) -> io::Result<u64> {
    let bytes = fs::read(&segment.path)?;
    let Some((_, at)) = header(&bytes) else {
        // Not even the header is whole: there is nothing in it. A damaged one keeps its records.
        if bytes.len() > MAGIC.len() + FRAME_HEAD && !read(&bytes, MAGIC.len(), 1).items.is_empty()
        {
            return Ok(0);
        }
        fs::remove_file(&segment.path)?;
        return Ok(bytes.len() as u64);
    };
    let end = read(&bytes, at, usize::MAX).end;
    let torn = (bytes.len() - end) as u64;
    if torn > 0 {
        fs::OpenOptions::new()
            .write(true)
            .open(&segment.path)?
            .set_len(end as u64)?;
    }
    Ok(torn)
}
