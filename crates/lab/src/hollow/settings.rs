//! The section `[hollow]` of the settings.

use crate::settings::SCHEMA;
use crate::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// The most mixers, and the most entries of a list, that a setting may ask for.
pub const MOST_MIXERS: u64 = 4_500;
pub const MOST_ENTRIES: u64 = 110_000;
const MOST_CHANGES_PER_SECOND: f64 = 1_000.0;

const fn key(name: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Key {
    Key {
        name,
        kind,
        default: Some(default),
        reloadable: false,
        doc,
    }
}

/// Sizes, rates and time limits of the runs with hollow mixers.
pub const HOLLOW: Section = Section {
    name: "hollow",
    named: false,
    keys: &[
        key(
            "mixers",
            Kind::Text,
            "10, 100, 1000, 4500",
            "Mixers that are stepped.",
        ),
        key(
            "entries",
            Kind::Text,
            "300, 3000, 30000, 110000",
            "Entries of the list that are stepped.",
        ),
        key(
            "base_mixers",
            Kind::Integer(1, MOST_MIXERS),
            "10",
            "Mixers where the list is stepped.",
        ),
        key(
            "base_entries",
            Kind::Integer(15, MOST_ENTRIES),
            "300",
            "Entries where the mixers are stepped.",
        ),
        key(
            "ways",
            Kind::Text,
            "asked, pushed",
            "How discovery is followed: asked, pushed, or both.",
        ),
        key(
            "threads",
            Kind::Integer(1, 64),
            "4",
            "Threads that the mixers share.",
        ),
        key(
            "changes",
            Kind::Integer(1, 10_000),
            "20",
            "Changes of one entry, one after another.",
        ),
        key(
            "rates",
            Kind::Text,
            "1.8, 20",
            "Changes a second, at a steady rate.",
        ),
        key(
            "rate_time",
            Kind::Duration,
            "5s",
            "How long each rate is kept up.",
        ),
        key(
            "zone_entries",
            Kind::Integer(1, MOST_ENTRIES),
            "7333",
            "Entries of a zone, changed at once; all where the list has fewer.",
        ),
        key(
            "rest_time",
            Kind::Duration,
            "2s",
            "How long the cost of a fleet at rest is measured.",
        ),
        key(
            "absent_time",
            Kind::Duration,
            "2s",
            "How long discovery is gone before it returns.",
        ),
        key(
            "step_time",
            Kind::Duration,
            "30s",
            "The longest that one step waits for the last mixer.",
        ),
    ],
};

/// How mixers follow discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// One service for all, asked with a backoff that is spread over the fleet.
    Asked,
    /// An agent on each mixer's machine, asked again at once.
    Pushed,
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Way::Asked => "asked",
            Way::Pushed => "pushed",
        })
    }
}

impl FromStr for Way {
    type Err = ();

    fn from_str(text: &str) -> Result<Way, ()> {
        match text {
            "asked" => Ok(Way::Asked),
            "pushed" => Ok(Way::Pushed),
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
    pub ways: Vec<Way>,
    pub threads: usize,
    pub changes: u64,
    /// Changes a second.
    pub rates: Vec<f64>,
    pub rate_time: Duration,
    pub zone_entries: u64,
    pub rest_time: Duration,
    pub absent_time: Duration,
    pub step_time: Duration,
}

impl HollowSettings {
    /// # Errors
    /// A list that holds something else than its kind of values, named with its line.
    pub fn read(settings: &Settings) -> Result<HollowSettings, Failure> {
        let values = settings.section(&SCHEMA, HOLLOW.name, "");
        let count = |key: &str| values.integer(key).unwrap_or_default();
        let time = |key: &str| values.duration(key).unwrap_or_default();
        let problem = |key: &str, why: &str| {
            Failure::settings(settings.value_error(HOLLOW.name, "", key, why))
        };
        let sizes = |key: &str, range: RangeInclusive<u64>| {
            let why = format!(
                "has to be whole numbers from {} to {}, as in 300, 3000",
                range.start(),
                range.end()
            );
            let sizes = list::<u64>(values.text(key).unwrap_or_default());
            sizes
                .filter(|sizes| sizes.iter().all(|size| range.contains(size)))
                .ok_or_else(|| problem(key, &why))
        };
        let rates = list::<f64>(values.text("rates").unwrap_or_default());
        let rates = rates.filter(|rates| {
            rates
                .iter()
                .all(|rate| *rate > 0.0 && *rate <= MOST_CHANGES_PER_SECOND)
        });
        Ok(HollowSettings {
            mixers: sizes("mixers", 1..=MOST_MIXERS)?,
            entries: sizes("entries", 15..=MOST_ENTRIES)?,
            base_mixers: count("base_mixers"),
            base_entries: count("base_entries"),
            ways: list(values.text("ways").unwrap_or_default()).ok_or_else(|| {
                problem(
                    "ways",
                    "has to be asked, pushed, or both with a comma between",
                )
            })?,
            threads: count("threads") as usize,
            changes: count("changes"),
            rates: rates.ok_or_else(|| {
                problem(
                    "rates",
                    "has to be numbers above 0 up to 1000, as in 1.8, 20",
                )
            })?,
            rate_time: time("rate_time"),
            zone_entries: count("zone_entries"),
            rest_time: time("rest_time"),
            absent_time: time("absent_time"),
            step_time: time("step_time"),
        })
    }
}

/// Values with commas between; none if one of them can't be read.
fn list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    text.split(',')
        .map(|item| item.trim().parse().ok())
        .collect()
}
