//! The section `[hollow]` of the settings.

use crate::settings::SCHEMA;
use crate::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// Largest values of the settings.
pub const MAX_MIXERS: u64 = 4_500;
pub const MAX_ENTRIES: u64 = 110_000;
const MAX_CHANGES_PER_SECOND: f64 = 1_000.0;

const fn key(name: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Key {
    Key {
        name,
        kind,
        default: Some(default),
        reloadable: false,
        doc,
    }
}

/// The keys of `[hollow]`: sizes, rates and time limits of the runs with hollow mixers.
pub const HOLLOW: Section = Section {
    name: "hollow",
    named: false,
    keys: &[
        key(
            "mixers",
            Kind::Text,
            "10, 100, 1000, 4500",
            "Numbers of mixers to measure.",
        ),
        key(
            "entries",
            Kind::Text,
            "300, 3000, 30000, 110000",
            "Numbers of entries of the endpoint list to measure.",
        ),
        key(
            "base_mixers",
            Kind::Integer(1, MAX_MIXERS),
            "10",
            "Number of mixers in points that vary the entries.",
        ),
        key(
            "base_entries",
            Kind::Integer(15, MAX_ENTRIES),
            "300",
            "Number of entries in points that vary the mixers.",
        ),
        key(
            "ways",
            Kind::Text,
            "asked, pushed",
            "Discovery modes to measure: asked (polled), pushed, or both.",
        ),
        key(
            "threads",
            Kind::Integer(1, 64),
            "4",
            "Number of threads that run the mixers.",
        ),
        key(
            "changes",
            Kind::Integer(1, 10_000),
            "20",
            "Number of changes of one entry, each after the previous one is in force.",
        ),
        key(
            "rates",
            Kind::Text,
            "1.8, 20",
            "Steady rates of changes to measure, in changes per second.",
        ),
        key(
            "rate_time",
            Kind::Duration,
            "5s",
            "Duration of each steady rate.",
        ),
        key(
            "zone_entries",
            Kind::Integer(1, MAX_ENTRIES),
            "7333",
            "Entries of a zone, changed at the same time; all entries if the list has fewer.",
        ),
        key(
            "rest_time",
            Kind::Duration,
            "2s",
            "Duration over which the cost of an idle fleet is measured.",
        ),
        key(
            "absent_time",
            Kind::Duration,
            "2s",
            "Duration of a discovery outage.",
        ),
        key(
            "step_time",
            Kind::Duration,
            "30s",
            "Time limit of a step: how long it waits for the last mixer.",
        ),
    ],
};

/// The mode in which mixers receive updates from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// One discovery service for all mixers, which they reconnect to with a backoff that is spread over the fleet.
    #[serde(rename = "asked")]
    Polled,
    /// A discovery agent on each mixer's machine, which the mixer reconnects to immediately.
    Pushed,
}

impl fmt::Display for DiscoveryMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DiscoveryMode::Polled => "asked",
            DiscoveryMode::Pushed => "pushed",
        })
    }
}

impl FromStr for DiscoveryMode {
    type Err = ();

    fn from_str(text: &str) -> Result<DiscoveryMode, ()> {
        match text {
            "asked" => Ok(DiscoveryMode::Polled),
            "pushed" => Ok(DiscoveryMode::Pushed),
            _ => Err(()),
        }
    }
}

/// The values of `[hollow]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowSettings {
    pub mixers: Vec<u64>,
    pub entries: Vec<u64>,
    pub base_mixers: u64,
    pub base_entries: u64,
    #[serde(rename = "ways")]
    pub modes: Vec<DiscoveryMode>,
    pub threads: usize,
    pub changes: u64,
    /// In changes per second.
    pub rates: Vec<f64>,
    #[serde(rename = "rate_time")]
    pub rate_duration: Duration,
    pub zone_entries: u64,
    #[serde(rename = "rest_time")]
    pub idle_time: Duration,
    #[serde(rename = "absent_time")]
    pub outage_time: Duration,
    #[serde(rename = "step_time")]
    pub step_timeout: Duration,
}

impl HollowSettings {
    /// # Errors
    /// A list holds an invalid value; the message names the key and its line.
    pub fn read(settings: &Settings) -> Result<HollowSettings, Failure> {
        let values = settings.section(&SCHEMA, HOLLOW.name, "");
        let count = |key: &str| values.integer(key).unwrap_or_default();
        let duration = |key: &str| values.duration(key).unwrap_or_default();
        let invalid = |key: &str, reason: &str| {
            Failure::settings(settings.value_error(HOLLOW.name, "", key, reason))
        };
        let sizes = |key: &str, range: RangeInclusive<u64>| {
            let reason = format!(
                "has to be whole numbers from {} to {}, as in 300, 3000",
                range.start(),
                range.end()
            );
            let sizes = list::<u64>(values.text(key).unwrap_or_default());
            sizes
                .filter(|sizes| sizes.iter().all(|size| range.contains(size)))
                .ok_or_else(|| invalid(key, &reason))
        };
        let rates = list::<f64>(values.text("rates").unwrap_or_default());
        let rates = rates.filter(|rates| {
            rates
                .iter()
                .all(|rate| *rate > 0.0 && *rate <= MAX_CHANGES_PER_SECOND)
        });
        Ok(HollowSettings {
            mixers: sizes("mixers", 1..=MAX_MIXERS)?,
            entries: sizes("entries", 15..=MAX_ENTRIES)?,
            base_mixers: count("base_mixers"),
            base_entries: count("base_entries"),
            modes: list(values.text("ways").unwrap_or_default()).ok_or_else(|| {
                invalid(
                    "ways",
                    "has to be asked, pushed, or both separated by a comma",
                )
            })?,
            threads: count("threads") as usize,
            changes: count("changes"),
            rates: rates.ok_or_else(|| {
                invalid(
                    "rates",
                    "has to be numbers above 0 up to 1000, as in 1.8, 20",
                )
            })?,
            rate_duration: duration("rate_time"),
            zone_entries: count("zone_entries"),
            idle_time: duration("rest_time"),
            outage_time: duration("absent_time"),
            step_timeout: duration("step_time"),
        })
    }
}

/// Parses comma-separated values; `None` if a value is invalid.
fn list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    text.split(',')
        .map(|item| item.trim().parse().ok())
        .collect()
}
