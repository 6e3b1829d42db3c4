//! The JSON of an endpoint update. Entries are parsed one by one, so that a malformed entry does not invalidate the
//! others.

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

/// Invalid entries of one update that are logged one by one; the others are only counted.
const MAX_LOGGED_ENTRIES: usize = 16;

/// An update as written. Error texts contain the names of this struct and the next ones, and their numbers of fields.
#[derive(Deserialize)]
pub(super) struct Message {
    #[serde(rename = "index")]
    version: u64,
    snapshot: bool,
    #[serde(rename = "endpoints")]
    entries: Entries,
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
    #[serde(rename = "group")]
    cell: u16,
    status: Status,
    #[serde(default, rename = "since_ms")]
    started_ms: u64,
}

/// The part of an entry that is used even if the rest is malformed.
#[derive(Deserialize)]
struct Named<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// An entry that can't be used as it is.
struct InvalidEntry {
    /// The entry, counted from 0.
    entry: usize,
    name: Option<Box<str>>,
    reason: String,
}

/// The entries of an update. They are parsed before the update's version is known.
#[derive(Default)]
struct Entries {
    endpoints: Vec<EndpointEntry>,
    /// Each zone's name once, to be shared by the entries.
    zones: HashSet<Arc<str>>,
    /// All entries, parsed or not.
    count: usize,
    /// The first invalid entries.
    logged_invalid: Vec<InvalidEntry>,
    /// All invalid entries.
    invalid_count: usize,
    /// The first entry without a name, counted from 0, and what is wrong with it.
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
        f.write_str("a list of leaf servers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entries, A::Error> {
        let mut entries = Entries::default();
        // Only one entry's text is copied at a time.
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
    /// Parses an entry. A malformed one that has a name counts as draining: it gets no new calls, as it may be leaving.
    fn add(&mut self, text: &str) {
        let entry = self.count;
        self.count += 1;
        match serde_json::from_str::<Entry>(text) {
            Ok(written) => self.add_well_formed(entry, written),
            Err(error) => self.add_malformed(entry, text, error.to_string()),
        }
    }

    fn add_well_formed(&mut self, entry: usize, written: Entry) {
        let name: Box<str> = written.name.into();
        let zone = self.shared_zone(&written.zone);
        let address = written.address.parse::<SocketAddr>().ok();
        if address.is_none() && written.status == Status::Up {
            self.add_invalid(InvalidEntry {
                entry,
                name: Some(name.clone()),
                reason: format!(
                    "listed as up without a usable address: \"{}\" is no IP:PORT",
                    written.address
                ),
            });
        }
        self.endpoints.push(EndpointEntry {
            name,
            address: address.map(Address::from),
            zone,
            cell: written.cell,
            status: written.status,
            started_ms: written.started_ms,
        });
    }

    fn add_malformed(&mut self, entry: usize, text: &str, reason: String) {
        let name: Option<Box<str>> = serde_json::from_str::<Named>(text)
            .ok()
            .map(|named| named.name.into());
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

    fn log_invalid(&self, index: u64) {
        for invalid in &self.logged_invalid {
            let InvalidEntry {
                entry,
                name,
                reason,
            } = invalid;
            match name {
                Some(name) => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, index, entry, name, "invalid entry in endpoint update: {reason}")
                }
                None => {
                    tracing::warn!(target: log_targets::ENDPOINT_UPDATES, index, entry, "unnamed entry in endpoint update: {reason}")
                }
            }
        }
        let more = self.invalid_count - self.logged_invalid.len();
        if more > 0 {
            tracing::warn!(
                target: log_targets::ENDPOINT_UPDATES, index,
                more,
                "further invalid entries in endpoint update"
            );
        }
    }
}

impl TryFrom<Message> for EndpointUpdate {
    type Error = UpdateError;

    /// A snapshot is usable without its unnamed entries. A delta is not: it is not known which endpoints they change.
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
