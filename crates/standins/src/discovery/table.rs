//! The endpoint list that discovery serves. Each entry is rendered once and stored under its name and the version that
//! last changed it.

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Version of the endpoint list: the number of changes made since the table was created.
pub type Version = u64;

/// Changes retained for watchers that are behind. A watcher with an older version receives a snapshot.
/// More than twice the longest list that is served.
const RETAINED_CHANGES: usize = 1 << 18;

/// A message for watchers, rendered once and shared by all that receive it.
#[derive(Clone, Debug)]
pub struct Message {
    /// One JSON object and a line feed.
    pub text: Bytes,
    /// Whether this is the complete list rather than a delta.
    pub snapshot: bool,
    /// Version that the reader has after applying the message.
    pub version: Version,
}

/// Endpoint entries by name, with the latest changes.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// Version of the last change of each listed entry, by name.
    versions: HashMap<String, Version>,
    /// Listed entries in the order of their last change.
    entries: BTreeMap<Version, Bytes>,
    /// Latest changes, up to the current version.
    changes: VecDeque<Bytes>,
    version: Version,
    indented: bool,
    /// Snapshot message rendered for the current version.
    snapshot: Option<Bytes>,
    /// Delta messages rendered for the current version, by the version that their readers have.
    deltas: HashMap<Version, Bytes>,
}

impl EndpointTable {
    /// Current version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Sets whether messages are indented JSON of several lines.
    pub fn set_indented(&mut self, indented: bool) {
        self.indented = indented;
        self.invalidate_messages();
    }

    /// Applies changed entries, each as its own version. An entry whose `status` is `removed` is unlisted.
    pub fn update(&mut self, entries: Vec<Value>) {
        for entry in entries {
            self.update_entry(&entry);
        }
        self.invalidate_messages();
    }

    fn update_entry(&mut self, value: &Value) {
        self.version += 1;
        let entry = Bytes::from(value.to_string());
        let name = value["name"].as_str().unwrap_or_default();
        if let Some(previous) = self.versions.remove(name) {
            self.entries.remove(&previous);
        }
        if value["status"] != "removed" {
            self.versions.insert(name.to_string(), self.version);
            self.entries.insert(self.version, entry.clone());
        }
        self.changes.push_back(entry);
        if self.changes.len() > RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Discards the retained changes, as a restart does. A watcher with any other version than the current one then
    /// receives a snapshot.
    pub fn clear_history(&mut self) {
        self.changes.clear();
        self.invalidate_messages();
    }

    fn invalidate_messages(&mut self) {
        self.snapshot = None;
        self.deltas.clear();
    }

    /// Message with the complete list.
    pub fn snapshot(&mut self) -> Message {
        let (version, indented) = (self.version, self.indented);
        let entries = &self.entries;
        let text = self
            .snapshot
            .get_or_insert_with(|| render(entries.values(), version, true, indented));
        Message {
            text: text.clone(),
            snapshot: true,
            version,
        }
    }

    /// Message for a watcher with version `known`: a delta, or a snapshot if the changes since that version are not
    /// retained.
    pub fn message_since(&mut self, known: Option<Version>) -> Message {
        let oldest = self.version - self.changes.len() as Version;
        let Some(known) = known.filter(|known| (oldest..=self.version).contains(known)) else {
            return self.snapshot();
        };
        let (version, indented) = (self.version, self.indented);
        let changes = self.changes.range((known - oldest) as usize..);
        let text = self
            .deltas
            .entry(known)
            .or_insert_with(|| render(changes, version, false, indented));
        Message {
            text: text.clone(),
            snapshot: false,
            version,
        }
    }
}

fn render<'a>(
    entries: impl Iterator<Item = &'a Bytes>,
    version: Version,
    snapshot: bool,
    indented: bool,
) -> Bytes {
    let mut text = BytesMut::from(&b"{\"endpoints\":["[..]);
    for (number, entry) in entries.enumerate() {
        if number > 0 {
            text.put_u8(b',');
        }
        text.put_slice(entry);
    }
    text.put_slice(format!("],\"index\":{version},\"snapshot\":{snapshot}}}\n").as_bytes());
    if indented {
        let list: Value = serde_json::from_slice(&text).unwrap_or_default();
        return Bytes::from(format!("{list:#}\n"));
    }
    text.freeze()
}
