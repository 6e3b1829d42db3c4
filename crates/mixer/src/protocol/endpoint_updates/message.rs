//! Parsing of the JSON of an endpoint update. Each entry is parsed separately, so that a malformed entry does not
//! invalidate the others.

use super::{Address, EndpointEntry, EndpointUpdate, Status, UpdateError, MAX_ENTRIES};
use crate::log_targets;
use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of invalid entries of one update that are logged individually; the others are only counted.
const MAX_LOGGED_ENTRIES: usize = 16;

/// The JSON of an update. Serde's error messages contain the names of this struct and of `Entry`, and their numbers of
/// fields.
#[derive(Deserialize)]
pub(super) struct Message {
    #[serde(rename = "index")]
    version: u64,
    snapshot: bool,
    #[serde(rename = "endpoints")]
    entries: Entries,
}

/// The JSON of an entry. Strings are borrowed unless they contain escapes.
#[derive(Deserialize)]
struct Entry<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow)]
    address: Cow<'a, str>,
    #[serde(borrow, default)]
    zone: Cow<'a, str>,
    #[serde(rename = "group")]
    cell: u16,
    status: Status,
    #[serde(default, rename = "since_ms")]
    started_ms: u64,
}

/// The field of an entry that is used even if the other fields are malformed.
#[derive(Deserialize)]
struct EntryName<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// An entry with an invalid field.
struct InvalidEntry {
    /// Index of the entry, counted from 0.
    entry: usize,
    name: Option<Box<str>>,
    reason: String,
}

/// The entries of an update. The update's version may not have been parsed before them.
#[derive(Default)]
struct Entries {
    endpoints: Vec<EndpointEntry>,
    /// The distinct zone names, which the entries share.
    zones: HashSet<Arc<str>>,
    /// Number of all entries, parsed or not.
    count: usize,
    /// The first invalid entries, which are logged.
    logged_invalid: Vec<InvalidEntry>,
    /// Number of all invalid entries.
    invalid_count: usize,
    /// Index, counted from 0, of the first entry without a valid name, and the message of the JSON parser.
    first_unnamed: Option<(usize, String)>,
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
        f.write_str("a list of endpoint entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entries, A::Error> {
        let mut entries = Entries::default();
        // The text of only one entry is copied at a time.
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
    /// Parses an entry. A malformed entry with a valid name counts as draining: it gets no new calls, since the
    /// endpoint may be shutting down.
    fn add(&mut self, text: &str) {
        let entry = self.count;
        self.count += 1;
        match serde_json::from_str::<Entry>(text) {
            Ok(parsed) => self.add_well_formed(entry, parsed),
            Err(error) => self.add_malformed(entry, text, error.to_string()),
        }
    }

    fn add_well_formed(&mut self, entry: usize, parsed: Entry) {
        let name: Box<str> = parsed.name.into();
        let zone = self.shared_zone(&parsed.zone);
        let address = parsed.address.parse::<SocketAddr>().ok();
        if address.is_none() && parsed.status == Status::Up {
            self.add_invalid(InvalidEntry {
                entry,
                name: Some(name.clone()),
                reason: format!(
                    "status is up, but the address \"{}\" is not IP:PORT",
                    parsed.address
                ),
            });
        }
        self.endpoints.push(EndpointEntry {
            name,
            address: address.map(Address::from),
            zone,
            cell: parsed.cell,
            status: parsed.status,
            started_ms: parsed.started_ms,
        });
    }

    fn add_malformed(&mut self, entry: usize, text: &str, reason: String) {
        let name: Option<Box<str>> = serde_json::from_str::<EntryName>(text)
            .ok()
            .map(|entry_name| entry_name.name.into());
        match &name {
            Some(name) => {
                let zone = self.shared_zone("");
                self.endpoints.push(EndpointEntry {
                    name: name.clone(),
                    address: None,
                    zone,
                    cell: 0,
                    status: Status::Draining,
                    started_ms: 0,
                });
            }
            None if self.first_unnamed.is_none() => {
                self.first_unnamed = Some((entry, reason.clone()));
            }
            None => {}
        }
        self.add_invalid(InvalidEntry {
            entry,
            name,
            reason,
        });
    }

    fn shared_zone(&mut self, name: &str) -> Arc<str> {
        if let Some(zone) = self.zones.get(name) {
            return zone.clone();
        }
        let zone: Arc<str> = name.into();
        self.zones.insert(zone.clone());
        zone
    }

    fn add_invalid(&mut self, invalid: InvalidEntry) {
        self.invalid_count += 1;
        if self.logged_invalid.len() < MAX_LOGGED_ENTRIES {
            self.logged_invalid.push(invalid);
        }
    }

    fn log_invalid(&self, version: u64) {
        for invalid in &self.logged_invalid {
            let InvalidEntry {
                entry,
                name,
                reason,
            } = invalid;
            match name {
                Some(name) => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, version, entry, name, "invalid entry in endpoint update: {reason}")
                }
                None => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, version, entry, "unnamed entry in endpoint update: {reason}")
                }
            }
        }
        let unlogged = self.invalid_count - self.logged_invalid.len();
        if unlogged > 0 {
            tracing::warn!(
                target: log_targets::ENDPOINT_UPDATES, version,
                unlogged,
                "further invalid entries in endpoint update not logged"
            );
        }
    }
}

impl TryFrom<Message> for EndpointUpdate {
    type Error = UpdateError;

    /// In a snapshot, entries without a valid name are skipped. A delta with such entries is rejected, since the
    /// endpoints that they change are unknown.
    fn try_from(message: Message) -> Result<EndpointUpdate, UpdateError> {
        let Message {
            version,
            snapshot,
            entries,
        } = message;
        if entries.count > MAX_ENTRIES {
            return Err(UpdateError::TooManyEntries {
                version,
                entries: entries.count,
            });
        }
        entries.log_invalid(version);
        match entries.first_unnamed {
            Some((entry, reason)) if !snapshot => Err(UpdateError::UnnamedEntry {
                version,
                entry,
                reason,
            }),
            _ => Ok(EndpointUpdate {
                version,
                snapshot,
                entries: entries.endpoints,
                invalid_entries: entries.invalid_count,
            }),
        }
    }
}
