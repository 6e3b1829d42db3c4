//! The list of leaf servers as discovery writes it: a whole list, or the entries that have changed.

use bytes::{Buf, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The longest list that is read, in entries, and what one may take, indented and with long names. Above what any
/// fleet that we are told of has, so that a list is refused for its size only if it never ends.
const MOST_ENTRIES: usize = 4096;
const MOST_ENTRY: usize = 1024;
pub const MOST_OBJECT: usize = MOST_ENTRIES * MOST_ENTRY;

/// One leaf server as listed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    pub group: u16,
    pub status: Status,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Up,
    Draining,
    Removed,
}

/// A message of discovery: with `snapshot` the complete list, else the changes since the one before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(try_from = "Written")]
pub struct Listing {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

#[derive(Deserialize)]
struct Written {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

impl TryFrom<Written> for Listing {
    type Error = String;

    /// An entry that can't be used costs that entry alone: whom it names gets nothing new, since it may be leaving.
    /// Where it names nobody, a whole list is still right without it; of changes nobody knows what they lack.
    fn try_from(written: Written) -> Result<Listing, String> {
        let Written { index, snapshot, endpoints: entries } = written;
        let mut endpoints = Vec::with_capacity(entries.len());
        for (at, entry) in entries.iter().map(|entry| entry.get()).enumerate() {
            let why = match serde_json::from_str(entry) {
                Ok(endpoint) => {
                    endpoints.push(endpoint);
                    continue;
                }
                Err(why) => why,
            };
            match serde_json::from_str(entry) {
                Ok(Named { name }) => {
                    tracing::warn!(index, entry = at, name, "listed with what can't be used: {why}");
                    let (address, zone) = (String::new(), String::new());
                    let status = Status::Draining;
                    endpoints.push(Endpoint { name, address, zone, group: 0, status, since_ms: 0 });
                }
                Err(_) if snapshot => tracing::warn!(index, entry = at, "listed without a name: {why}"),
                Err(_) => return Err(format!("entry {at} of version {index} names nobody: {why}")),
            }
        }
        Ok(Listing { index, snapshot, endpoints })
    }
}

/// Reads one object of a watch; none for what only shows that the watch lives.
pub fn read(object: &[u8]) -> Result<Option<Listing>, String> {
    if object.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(object)
        .map(Some)
        .map_err(|e| format!("{e}, in an object of {} bytes", object.len()))
}

/// Finds where objects end in what comes piece by piece, each byte looked at once. Lines and pieces may end anywhere;
/// whether an object is right is for [`read`] to say.
#[derive(Default)]
pub struct Objects {
    held: BytesMut,
    seen: usize,
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Objects {
    /// Where what comes is put.
    pub fn held(&mut self) -> &mut BytesMut {
        &mut self.held
    }

    /// The next one that is whole. What is none comes out at its first byte, for [`read`] to name.
    pub fn whole(&mut self) -> Option<Bytes> {
        if self.seen == 0 {
            let blank = self.held.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.held.advance(blank);
        }
        if self.held.is_empty() {
            // A whole list may have made it large, and the next one is long in coming.
            self.held = BytesMut::new();
        }
        while let Some(byte) = self.held.get(self.seen) {
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
                let object = self.held.split_to(self.seen).freeze();
                (self.seen, self.text) = (0, false);
                return Some(object);
            }
        }
        None
    }
}
