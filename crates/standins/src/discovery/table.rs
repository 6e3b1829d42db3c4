//! The list that discovery serves: each entry rendered once, under its name and the version that last changed it.

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A version of the list: the number of changes that led to it.
pub type Version = u64;

/// Changes that are kept for watchers that are behind; who holds a version before them is given the whole list.
/// Twice the longest list that is served, and more.
const KEPT_CHANGES: usize = 1 << 18;

/// A message for a watcher, rendered once for all that need it.
#[derive(Clone, Debug)]
pub struct Message {
    /// One JSON object and a line feed.
    pub text: Bytes,
    /// The complete list, rather than changes since a version.
    pub whole: bool,
    /// What its reader holds then.
    pub version: Version,
}

/// The entries by name, with the changes that led to them.
#[derive(Debug, Default)]
pub struct Table {
    /// The version that last changed each entry that is listed.
    versions: HashMap<String, Version>,
    /// Each entry that is listed, in the order of its last change.
    entries: BTreeMap<Version, Bytes>,
    /// The last changes, up to the present version.
    changes: VecDeque<Bytes>,
    version: Version,
    indented: bool,
    /// Messages of this version: the whole list, and the changes by the version that their reader holds.
    whole: Option<Bytes>,
    since: HashMap<Version, Bytes>,
}

impl Table {
    /// The present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Whether messages take many lines each.
    pub fn set_indented(&mut self, indented: bool) {
        self.indented = indented;
        self.forget_messages();
    }

    /// Takes changed entries over, each as a version of its own. One whose `status` is `removed` is listed no longer.
    pub fn change(&mut self, lines: Vec<Value>) {
        for line in lines {
            self.change_entry(&line);
        }
        self.forget_messages();
    }

    fn change_entry(&mut self, line: &Value) {
        self.version += 1;
        let entry = Bytes::from(line.to_string());
        let name = line["name"].as_str().unwrap_or_default();
        if let Some(before) = self.versions.remove(name) {
            self.entries.remove(&before);
        }
        if line["status"] != "removed" {
            self.versions.insert(name.to_string(), self.version);
            self.entries.insert(self.version, entry.clone());
        }
        self.changes.push_back(entry);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Forgets which changes led to the present version, as a restart does: whoever holds another one is given the
    /// whole list.
    pub fn forget_changes(&mut self) {
        self.changes.clear();
        self.forget_messages();
    }

    fn forget_messages(&mut self) {
        self.whole = None;
        self.since.clear();
    }

    /// The complete list.
    pub fn whole(&mut self) -> Message {
        let (version, indented) = (self.version, self.indented);
        let entries = &self.entries;
        let text = self
            .whole
            .get_or_insert_with(|| render(entries.values(), version, true, indented));
        Message {
            text: text.clone(),
            whole: true,
            version,
        }
    }

    /// What one who holds `held` has yet to hear: the complete list where that is no version that changes are kept for.
    pub fn since(&mut self, held: Option<Version>) -> Message {
        let oldest = self.version - self.changes.len() as Version;
        let Some(held) = held.filter(|held| (oldest..=self.version).contains(held)) else {
            return self.whole();
        };
        let (version, indented) = (self.version, self.indented);
        let changes = self.changes.range((held - oldest) as usize..);
        let text = self
            .since
            .entry(held)
            .or_insert_with(|| render(changes, version, false, indented));
        Message {
            text: text.clone(),
            whole: false,
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
