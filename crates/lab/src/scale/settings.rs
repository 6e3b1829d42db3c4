//! The section `[scale]` of the settings.

use crate::settings::SCHEMA;
use crate::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use std::time::Duration;

const fn key(name: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Key {
    Key {
        name,
        kind,
        default: Some(default),
        reloadable: false,
        doc,
    }
}

/// Sizes, bounds and time limits of the scale runs.
pub const SCALE: Section = Section {
    name: "scale",
    named: false,
    keys: &[
        key(
            "seed",
            Kind::Integer(0, u64::MAX),
            "1",
            "Seed of the mixer's decisions; the workload is the same for each.",
        ),
        key(
            "servers",
            Kind::Text,
            "300, 3000, 30000, 110000",
            "Leaf servers that are stepped, smallest first.",
        ),
        key(
            "parts",
            Kind::Text,
            "12, 69",
            "Parts of a query that are stepped, smallest first.",
        ),
        key(
            "part_steps",
            Kind::Text,
            "1, 12, 35, 69",
            "Parts of the series that steps them alone, smallest first.",
        ),
        key(
            "open",
            Kind::Text,
            "8, 32, 128, 512",
            "Queries open at once that are stepped, smallest first.",
        ),
        key(
            "links",
            Kind::Text,
            "300, 1000, 3000",
            "Connections to leaf servers that are stepped, for their memory.",
        ),
        key(
            "copies",
            Kind::Integer(1, 64),
            "3",
            "Leaf servers that hold the same shard.",
        ),
        key(
            "zones",
            Kind::Integer(1, 64),
            "15",
            "Zones that the leaf servers are spread over.",
        ),
        key(
            "base_servers",
            Kind::Integer(1, 1_000_000),
            "3000",
            "Leaf servers where another size is stepped.",
        ),
        key(
            "base_open",
            Kind::Integer(1, 100_000),
            "32",
            "Queries open at once where another size is stepped.",
        ),
        key(
            "answer",
            Kind::Duration,
            "60ms",
            "How long a leaf server takes for a part, in the run's own time.",
        ),
        key(
            "queries",
            Kind::Integer(1, 1_000_000),
            "2000",
            "Queries of one point, at most.",
        ),
        key(
            "warm_queries",
            Kind::Integer(0, 1_000_000),
            "200",
            "Queries before the measured ones, at most.",
        ),
        key(
            "change_messages",
            Kind::Integer(1, 100_000),
            "50",
            "Messages of changes of one point, at most.",
        ),
        key(
            "change_entries",
            Kind::Integer(1, 10_000),
            "50",
            "Entries of a message in the series of larger changes.",
        ),
        key(
            "point_time",
            Kind::Duration,
            "10s",
            "Time after which the work of one point is cut.",
        ),
        key(
            "point_limit",
            Kind::Duration,
            "60s",
            "Time after which the process of one point is ended; it counts as failed.",
        ),
    ],
};

/// The values of `[scale]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Scale {
    /// Seed of the mixer's decisions.
    pub seed: u64,
    /// Leaf servers, parts, open queries and connections that are stepped, smallest first.
    pub servers: Vec<u64>,
    pub parts: Vec<u64>,
    pub part_steps: Vec<u64>,
    pub open: Vec<u64>,
    pub links: Vec<u64>,
    /// Leaf servers that hold the same shard.
    pub copies: u64,
    pub zones: u64,
    /// What holds where another size is stepped.
    pub base_servers: u64,
    pub base_open: u64,
    /// How long a leaf server takes for a part, in the run's own time.
    pub answer: Duration,
    /// The most queries of a point, and of those before them that are not measured.
    pub queries: u64,
    pub warm_queries: u64,
    /// The most messages of changes of a point, and the entries of one in the series of larger changes.
    pub change_messages: u64,
    pub change_entries: u64,
    /// After so long the work of a point is cut, and its process ended.
    pub point_time: Duration,
    pub point_limit: Duration,
}

/// The largest size that a list of sizes may hold.
const MOST: u64 = 1_000_000;
/// Shards that an entry of discovery's list can name.
const MOST_SHARDS: u64 = 1 << 16;

impl Scale {
    /// # Errors
    /// A list that is not of rising whole numbers, named with its line.
    pub fn read(settings: &Settings) -> Result<Scale, Failure> {
        let values = settings.section(&SCHEMA, SCALE.name, "");
        let count = |key: &str| values.integer(key).unwrap_or_default();
        let time = |key: &str| values.duration(key).unwrap_or_default();
        let sizes = |key: &'static str| {
            let text = values.text(key).unwrap_or_default();
            rising(text)
                .map_err(|why| Failure::settings(settings.value_error(SCALE.name, "", key, why)))
        };
        let scale = Scale {
            seed: count("seed"),
            servers: sizes("servers")?,
            parts: sizes("parts")?,
            part_steps: sizes("part_steps")?,
            open: sizes("open")?,
            links: sizes("links")?,
            copies: count("copies"),
            zones: count("zones"),
            base_servers: count("base_servers"),
            base_open: count("base_open"),
            answer: time("answer"),
            queries: count("queries"),
            warm_queries: count("warm_queries"),
            change_messages: count("change_messages"),
            change_entries: count("change_entries"),
            point_time: time("point_time"),
            point_limit: time("point_limit"),
        };
        let wrong = |key, why: &str| {
            Err(Failure::settings(
                settings.value_error(SCALE.name, "", key, why),
            ))
        };
        let most_parts = scale.widest().max(last(&scale.part_steps));
        if scale.smallest().min(scale.base_servers) / scale.copies < most_parts {
            let why = format!(
                "the smallest fleet has fewer shards than a query of {most_parts} parts needs"
            );
            return wrong("servers", &why);
        }
        if scale.largest().div_ceil(scale.copies) > MOST_SHARDS {
            return wrong("servers", "the largest fleet has more than 65536 shards");
        }
        if last(&scale.links) > scale.base_servers {
            return wrong(
                "links",
                "more connections than base_servers has leaf servers",
            );
        }
        Ok(scale)
    }

    /// The smallest and the largest fleet that are stepped, in leaf servers.
    pub fn smallest(&self) -> u64 {
        first(&self.servers)
    }

    pub fn largest(&self) -> u64 {
        last(&self.servers)
    }

    /// The fewest and the most parts that the series by servers have.
    pub fn narrowest(&self) -> u64 {
        first(&self.parts)
    }

    pub fn widest(&self) -> u64 {
        last(&self.parts)
    }
}

fn first(sizes: &[u64]) -> u64 {
    sizes.first().copied().unwrap_or(1)
}

fn last(sizes: &[u64]) -> u64 {
    sizes.last().copied().unwrap_or(1)
}

/// A list of whole numbers, each larger than the one before.
fn rising(text: &str) -> Result<Vec<u64>, &'static str> {
    const WHY: &str =
        "has to be whole numbers from 1 to 1000000, each larger than the one before, as in 300, 3000";
    let sizes: Vec<u64> = text
        .split(',')
        .map(|size| size.trim().parse())
        .collect::<Result<_, _>>()
        .map_err(|_| WHY)?;
    let fits = sizes.iter().all(|size| (1..=MOST).contains(size))
        && sizes.windows(2).all(|pair| pair[0] < pair[1]);
    if fits && !sizes.is_empty() {
        Ok(sizes)
    } else {
        Err(WHY)
    }
}
