//! Reading a log from any position, also while it is being written.

use super::{list_segments, read_entries, read_header, Item, Segment, MAGIC};
use crate::wire::{entry::What, Batch, Damage, Header};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// A position in a log: the last record read, as run and sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub incarnation: u64,
    pub sequence: u64,
}

/// Size of one read.
const CHUNK_BYTES: u64 = 256 * 1024;

fn read_segment_header(segment: &Segment) -> io::Result<Option<(Header, usize)>> {
    let mut bytes = Vec::new();
    File::open(&segment.path)?
        .take(super::MAX_HEADER_BYTES as u64 + 64)
        .read_to_end(&mut bytes)?;
    Ok(read_header(&bytes))
}

/// Reads a log in batches, starting after a position.
#[derive(Debug)]
pub struct Follower {
    directory: PathBuf,
    after: Position,
    /// The segment that is being read, its header (or that of another segment of the run), and the offset of the next
    /// frame in bytes.
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

    /// The next batch: at most `max_items` entries of one run; `None` if there is no new entry yet.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn next_batch(&mut self, max_items: usize) -> io::Result<Option<Batch>> {
        // Each iteration advances in a segment or finishes it, and the number of segments is finite.
        loop {
            let Some((segment, head, at)) = self.open.take() else {
                let Some(next) = self.next_segment(None)? else {
                    return Ok(None);
                };
                self.open_segment(next)?;
                continue;
            };
            // Looked up before reading: once a later segment exists, this one does not grow any more.
            let later = self.next_segment(Some(&segment))?;
            let (batch, end, unread) = self.read_batch(&segment, head.clone(), at, max_items)?;
            if !batch.entries.is_empty() || !batch.damage.is_empty() {
                self.open = Some((segment, head, end));
                return Ok(Some(batch));
            }
            if end > at {
                // All entries read are at or before the position.
                self.open = Some((segment, head, end));
                continue;
            }
            match later {
                Some(next) if unread > 0 => {
                    // An invalid tail of a segment that does not grow any more is damage.
                    let damage = Damage {
                        segment: segment.name(),
                        from: end,
                        to: end + unread,
                    };
                    self.open_segment(next)?;
                    return Ok(Some(Batch {
                        header: head,
                        entries: Vec::new(),
                        damage: vec![damage],
                    }));
                }
                Some(next) => self.open_segment(next)?,
                None => {
                    self.open = Some((segment, head, end));
                    return Ok(None);
                }
            }
        }
    }

    fn next_segment(&self, after: Option<&Segment>) -> io::Result<Option<Segment>> {
        let all = list_segments(&self.directory)?;
        let Some(after) = after else {
            // The segment with the position is the last one that does not start after it.
            let from = (self.after.incarnation, self.after.sequence + 1);
            let index = all
                .iter()
                .rposition(|s| (s.incarnation, s.first_sequence) <= from);
            return Ok(all.into_iter().nth(index.unwrap_or_default()));
        };
        Ok(all.into_iter().find(|segment| segment > after))
    }

    fn open_segment(&mut self, segment: Segment) -> io::Result<()> {
        let (head, at) = match read_segment_header(&segment)? {
            Some((head, at)) => (Some(head), at),
            // All segments of a run have the same names: the header of another one serves.
            None => {
                let same_run = list_segments(&self.directory)?
                    .into_iter()
                    .filter(|s| s.incarnation == segment.incarnation);
                let head = same_run
                    .filter_map(|other| read_segment_header(&other).ok().flatten())
                    .next();
                (head.map(|(head, _)| head), MAGIC.len())
            }
        };
        self.open = Some((segment, head, at as u64));
        Ok(())
    }

    /// Reads up to `max_items` entries of `segment` from the byte offset `at`. Returns the batch, the offset after it,
    /// and the number of bytes read beyond that offset.
    fn read_batch(
        &mut self,
        segment: &Segment,
        head: Option<Header>,
        at: u64,
        max_items: usize,
    ) -> io::Result<(Batch, u64, u64)> {
        let mut file = File::open(&segment.path)?;
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        let mut wanted = CHUNK_BYTES;
        // Damage may be longer than a chunk: more is read until a valid frame follows it.
        let result = loop {
            let missing = wanted - bytes.len() as u64;
            let received = file.by_ref().take(missing).read_to_end(&mut bytes)? as u64;
            let result = read_entries(&bytes, 0, max_items);
            if !result.items.is_empty() || received < missing {
                break result;
            }
            wanted *= 2;
        };
        let unread = bytes.len() as u64 - result.end as u64;
        let end = at + result.end as u64;
        let mut batch = Batch {
            header: head,
            ..Batch::default()
        };
        for item in result.items {
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
                        // A watermark follows the record of its sequence.
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
        Ok((batch, end, unread))
    }
}
