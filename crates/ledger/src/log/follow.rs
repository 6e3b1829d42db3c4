//! Reading a log that is still being written, from any position on.

use super::{header, read, segments, Item, Segment, MAGIC};
use crate::wire::{entry::What, Batch, Damage, Header};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// How far a log has been read: up to this record of this run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub incarnation: u64,
    pub sequence: u64,
}

/// Bytes that are read at a time.
const CHUNK: u64 = 256 * 1024;

fn head_of(segment: &Segment) -> io::Result<Option<(Header, usize)>> {
    let mut bytes = Vec::new();
    File::open(&segment.path)?
        .take(super::MOST_HEADER as u64 + 64)
        .read_to_end(&mut bytes)?;
    Ok(header(&bytes))
}

/// Reads a log from a position on, batch by batch.
#[derive(Debug)]
pub struct Follower {
    directory: PathBuf,
    after: Position,
    open: Option<(Segment, Option<Header>, u64)>,
}

impl Follower {
    pub fn new(directory: &Path, after: Position) -> Follower {
        Follower {
            directory: directory.into(),
            after,
            open: None,
        }
    }

    /// What comes next, at most `most` entries of one run; none if there is nothing yet.
    ///
    /// # Errors
    /// The log can't be read.
    pub fn next(&mut self, most: usize) -> io::Result<Option<Batch>> {
        // Each turn of the loop finishes a segment, and there are only so many.
        loop {
            let Some((segment, head, at)) = self.open.take() else {
                let Some(next) = self.next_segment(None)? else {
                    return Ok(None);
                };
                self.start(next)?;
                continue;
            };
            // Looked up before reading: if a later one is there by now, this one has grown for the last time.
            let later = self.next_segment(Some(&segment))?;
            let (batch, end, left) = self.batch(&segment, head.clone(), at, most)?;
            if !batch.entries.is_empty() || !batch.damage.is_empty() {
                self.open = Some((segment, head, end));
                return Ok(Some(batch));
            }
            if end > at {
                // All of it stands before the position.
                self.open = Some((segment, head, end));
                continue;
            }
            match later {
                Some(next) if left > 0 => {
                    // A tail that is no frame, and nothing will follow it.
                    let damage = Damage {
                        segment: segment.name(),
                        from: end,
                        to: end + left,
                    };
                    self.start(next)?;
                    return Ok(Some(Batch {
                        header: head,
                        entries: Vec::new(),
                        damage: vec![damage],
                    }));
                }
                Some(next) => self.start(next)?,
                None => {
                    self.open = Some((segment, head, end));
                    return Ok(None);
                }
            }
        }
    }

    fn next_segment(&self, after: Option<&Segment>) -> io::Result<Option<Segment>> {
        let all = segments(&self.directory)?;
        let Some(after) = after else {
            // The one that holds the position: the last that does not begin after it.
            let from = (self.after.incarnation, self.after.sequence + 1);
            let holds = all
                .iter()
                .rposition(|s| (s.incarnation, s.first_sequence) <= from);
            return Ok(all.into_iter().nth(holds.unwrap_or_default()));
        };
        Ok(all.into_iter().find(|segment| segment > after))
    }

    fn start(&mut self, segment: Segment) -> io::Result<()> {
        let (head, at) = match head_of(&segment)? {
            Some((head, at)) => (Some(head), at),
            // Names hold for a whole run: any other segment of it knows them.
            None => {
                let same = segments(&self.directory)?
                    .into_iter()
                    .filter(|s| s.incarnation == segment.incarnation);
                let head = same
                    .filter_map(|other| head_of(&other).ok().flatten())
                    .next();
                (head.map(|(head, _)| head), MAGIC.len())
            }
        };
        self.open = Some((segment, head, at as u64));
        Ok(())
    }

    fn batch(
        &mut self,
        segment: &Segment,
        head: Option<Header>,
        at: u64,
        most: usize,
    ) -> io::Result<(Batch, u64, u64)> {
        let mut file = File::open(&segment.path)?;
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        let mut wanted = CHUNK;
        // A damaged stretch may be longer than a chunk: then more is needed to get past it.
        let found = loop {
            let missing = wanted - bytes.len() as u64;
            let got = file.by_ref().take(missing).read_to_end(&mut bytes)? as u64;
            let found = read(&bytes, 0, most);
            if !found.items.is_empty() || got < missing {
                break found;
            }
            wanted *= 2;
        };
        let left = bytes.len() as u64 - found.end as u64;
        let end = at + found.end as u64;
        let mut batch = Batch {
            header: head,
            ..Batch::default()
        };
        for item in found.items {
            match item {
                Item::Damage(from, to) => {
                    batch.damage.push(Damage {
                        segment: segment.name(),
                        from: at + from,
                        to: at + to,
                    });
                }
                Item::Entry(entry) => {
                    let sequence = match &entry.what {
                        Some(What::Record(record)) => record.sequence,
                        Some(What::Mark(mark)) => mark.sequence + 1,
                        None => 0,
                    };
                    if (segment.incarnation, sequence)
                        > (self.after.incarnation, self.after.sequence)
                    {
                        batch.entries.push(entry);
                    }
                }
            }
        }
        Ok((batch, end, left))
    }
}
