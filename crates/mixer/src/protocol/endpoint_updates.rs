//! The list of leaf servers as discovery writes it: a whole list, or the entries that have changed.

use crate::log_targets;
use bytes::{Buf, Bytes, BytesMut};
use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::sync::Arc;

/// The most entries of one list: the 110,000 leaf servers to plan for, and a fifth more for growth.
pub const MAX_ENTRIES: usize = 131_072;
/// What an entry may take on the mean in a list of that length, in bytes: 132 as measured without blanks, about 230
/// when indented. Entries of a shorter list may take more.
const MEAN_ENTRY: usize = 256;
/// The most bytes of one message of discovery, where the memory limit leaves room for it: 32 MiB.
pub const MAX_UPDATE_BYTES: usize = MAX_ENTRIES * MEAN_ENTRY;
/// The share of the memory limit that the text of one message may take: as much again goes to what is read from it,
/// and half is left for all else.
const MEMORY_SHARE: usize = 4;
/// The most bytes that are accepted whatever the memory limit: 4,096 entries of 1,024 bytes.
const LEAST_BOUND: usize = 4096 * 1024;
/// Entries of one list that can't be used and are logged one by one; the others are counted in one line.
const MOST_LOGGED: usize = 16;

/// The most bytes that one message of discovery may take where the process may use `memory` bytes.
pub fn max_update_bytes(memory: usize) -> usize {
    (memory / MEMORY_SHARE).clamp(LEAST_BOUND, MAX_UPDATE_BYTES)
}

/// A socket address in 16 bytes. A list has many of them and nearly all are IPv4; one of IPv6 is on the heap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    V4(SocketAddrV4),
    V6(Box<SocketAddrV6>),
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Address {
        match address {
            SocketAddr::V4(address) => Address::V4(address),
            SocketAddr::V6(address) => Address::V6(Box::new(address)),
        }
    }
}

impl From<&Address> for SocketAddr {
    fn from(address: &Address) -> SocketAddr {
        match address {
            Address::V4(address) => SocketAddr::V4(*address),
            Address::V6(address) => SocketAddr::V6(**address),
        }
    }
}

/// One leaf server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Identical at every mixer, and for as long as the leaf server lives.
    pub name: Box<str>,
    /// None where the entry states none that can be used.
    pub address: Option<Address>,
    /// Shared by all entries of a list that name the same zone; empty where none is stated.
    pub zone: Arc<str>,
    /// The cell that it holds.
    pub cell: u16,
    pub status: Status,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// What discovery announces of a leaf server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes work.
    Up,
    /// Completes the work that it has and takes nothing new.
    Draining,
    /// Gone; only among changes.
    Removed,
}

/// A message of discovery: with `snapshot` the complete list, else the changes since the one before, in their order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(try_from = "Message")]
pub struct EndpointUpdate {
    /// The version of the list once this is applied.
    pub version: u64,
    pub snapshot: bool,
    pub entries: Vec<EndpointEntry>,
    /// Entries that could not be used as they are.
    pub invalid_entries: usize,
}

/// Why a message of discovery is refused. The list in force stays as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The text of the message goes over so many bytes.
    TooManyBytes { most: usize },
    /// The list has so many entries, over [`MAX_ENTRIES`].
    TooManyEntries { index: u64, entries: usize },
    /// An entry of changes names nobody, so what it changes is not known.
    UnnamedEntry {
        index: u64,
        entry: usize,
        why: String,
    },
    /// Not the JSON of a list, in a message of so many bytes.
    Malformed { bytes: usize, why: String },
}

impl UpdateError {
    /// The list is longer than the mixer takes.
    pub fn is_over_bound(&self) -> bool {
        matches!(
            self,
            UpdateError::TooManyBytes { .. } | UpdateError::TooManyEntries { .. }
        )
    }
}

impl std::error::Error for UpdateError {}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            UpdateError::TooManyBytes { most } => {
                write!(
                    f,
                    "a list of over {most} bytes, the most that is accepted in one message"
                )
            }
            UpdateError::TooManyEntries { index, entries } => {
                write!(
                    f,
                    "{entries} entries in version {index}, {MAX_ENTRIES} at most are accepted"
                )
            }
            UpdateError::UnnamedEntry { index, entry, why } => {
                write!(f, "entry {entry} of version {index} names nobody: {why}")
            }
            UpdateError::Malformed { bytes, why } => {
                write!(f, "{why}, in an object of {bytes} bytes")
            }
        }
    }
}

/// A message as written, its entries read one by one.
#[derive(Deserialize)]
struct Message {
    index: u64,
    snapshot: bool,
    endpoints: Entries,
}

/// An entry as written. Its text is borrowed unless it has escapes.
#[derive(Deserialize)]
struct Entry<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    group: u16,
    status: Status,
    #[serde(default)]
    since_ms: u64,
}

/// All that an entry which can't be used has to have.
#[derive(Deserialize)]
struct Named<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// What is wrong with an entry.
struct Fault {
    entry: usize,
    name: Option<Box<str>>,
    why: String,
}

/// The entries of a message. They are read before it is known to which version they belong.
#[derive(Default)]
struct Entries {
    endpoints: Vec<EndpointEntry>,
    zones: HashSet<Arc<str>>,
    /// How many there were, read or not.
    count: usize,
    /// The first faults, how many there were in all, and the first entry without a name.
    faults: Vec<Fault>,
    faulty: usize,
    nameless: Option<(usize, String)>,
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Entries, D::Error> {
        deserializer.deserialize_seq(EntriesVisitor)
    }
}

struct EntriesVisitor;

impl<'de> Visitor<'de> for EntriesVisitor {
    type Value = Entries;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of leaf servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entries, A::Error> {
        let mut entries = Entries::default();
        // No more than one entry's text is copied at a time.
        while let Some(text) = seq.next_element::<Box<RawValue>>()? {
            entries.add(text.get());
            if entries.count == MAX_ENTRIES {
                while seq.next_element::<IgnoredAny>()?.is_some() {
                    entries.count += 1;
                }
            }
        }
        entries.endpoints.shrink_to_fit();
        Ok(entries)
    }
}

impl Entries {
    /// An entry that can't be used costs that entry alone: whom it names gets nothing new, since it may be leaving.
    fn add(&mut self, text: &str) {
        let entry = self.count;
        self.count += 1;
        let why = match serde_json::from_str::<Entry>(text) {
            Ok(written) => return self.add_usable(entry, written),
            Err(why) => why.to_string(),
        };
        let Ok(Named { name }) = serde_json::from_str(text) else {
            self.nameless.get_or_insert_with(|| (entry, why.clone()));
            return self.note(Fault {
                entry,
                name: None,
                why,
            });
        };
        let (name, zone): (Box<str>, _) = (name.into(), self.zone(""));
        self.note(Fault {
            entry,
            name: Some(name.clone()),
            why,
        });
        let status = Status::Draining;
        self.endpoints.push(EndpointEntry {
            name,
            address: None,
            zone,
            cell: 0,
            status,
            started_ms: 0,
        });
    }

    fn add_usable(&mut self, entry: usize, written: Entry) {
        let Entry {
            name,
            address: stated,
            zone,
            group: cell,
            status,
            since_ms: started_ms,
        } = written;
        let (name, zone): (Box<str>, _) = (name.into(), self.zone(&zone));
        let address = stated.parse::<SocketAddr>().ok().map(Address::from);
        if address.is_none() && status == Status::Up {
            // What is up can't be reached without one.
            let why = format!("listed as up without a usable address: \"{stated}\" is no IP:PORT");
            self.note(Fault {
                entry,
                name: Some(name.clone()),
                why,
            });
        }
        self.endpoints.push(EndpointEntry {
            name,
            address,
            zone,
            cell,
            status,
            started_ms,
        });
    }

    fn zone(&mut self, name: &str) -> Arc<str> {
        if let Some(zone) = self.zones.get(name) {
            return zone.clone();
        }
        let zone: Arc<str> = name.into();
        self.zones.insert(zone.clone());
        zone
    }

    fn note(&mut self, fault: Fault) {
        self.faulty += 1;
        if self.faults.len() < MOST_LOGGED {
            self.faults.push(fault);
        }
    }

    fn log_faults(&self, index: u64) {
        for Fault { entry, name, why } in &self.faults {
            match name {
                Some(name) => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, index, entry, name, "listed with what can't be used: {why}")
                }
                None => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, index, entry, "listed without a name: {why}")
                }
            }
        }
        let more = self.faulty - self.faults.len();
        if more > 0 {
            tracing::warn!(
                target: log_targets::ENDPOINT_UPDATES, index,
                more,
                "further entries were listed with what can't be used"
            );
        }
    }
}

impl TryFrom<Message> for EndpointUpdate {
    type Error = UpdateError;

    /// Where an entry names nobody, a whole list is still right without it; of changes nobody knows what they lack.
    fn try_from(message: Message) -> Result<EndpointUpdate, UpdateError> {
        let Message {
            index: version,
            snapshot,
            endpoints: entries,
        } = message;
        if entries.count > MAX_ENTRIES {
            return Err(UpdateError::TooManyEntries {
                index: version,
                entries: entries.count,
            });
        }
        entries.log_faults(version);
        match entries.nameless {
            Some((entry, why)) if !snapshot => Err(UpdateError::UnnamedEntry {
                index: version,
                entry,
                why,
            }),
            _ => Ok(EndpointUpdate {
                version,
                snapshot,
                entries: entries.endpoints,
                invalid_entries: entries.faulty,
            }),
        }
    }
}

/// Reads one object of a watch; none for what only shows that the watch lives.
///
/// # Errors
/// It is no list that can be taken.
pub fn parse(object: &[u8]) -> Result<Option<EndpointUpdate>, UpdateError> {
    if object.is_empty() {
        return Ok(None);
    }
    let unreadable = |why: serde_json::Error| UpdateError::Malformed {
        bytes: object.len(),
        why: why.to_string(),
    };
    let message: Message = serde_json::from_slice(object).map_err(unreadable)?;
    message.try_into().map(Some)
}

/// Finds where objects end in what comes piece by piece, each byte looked at once. Lines and pieces may end anywhere;
/// whether an object is right is for [`parse`] to say.
#[derive(Default)]
pub struct JsonObjectSplitter {
    buffer: BytesMut,
    seen: usize,
    depth: usize,
    text: bool,
    escaped: bool,
}

impl JsonObjectSplitter {
    /// Where what comes is put.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// The next one that is whole. What is none comes out at its first byte, for [`parse`] to name.
    pub fn whole(&mut self) -> Option<Bytes> {
        if self.seen == 0 {
            let blank = self
                .buffer
                .iter()
                .take_while(|byte| byte.is_ascii_whitespace())
                .count();
            self.buffer.advance(blank);
        }
        while let Some(byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                _ if self.text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 {
                let object = self.buffer.split_to(self.seen).freeze();
                (self.seen, self.text) = (0, false);
                if self.buffer.len() <= object.len() {
                    // The object's buffer may be large: nothing but the object keeps it.
                    self.buffer = BytesMut::from(&self.buffer[..]);
                }
                return Some(object);
            }
        }
        None
    }
}
