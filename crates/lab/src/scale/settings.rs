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

/// The keys of `[scale]`: sizes, bounds and time limits of the scale runs.
pub const SCALE: Section = Section {
    name: "scale",
    named: false,
    keys: &[
        key(
            "seed",
            Kind::Integer(0, u64::MAX),
            "1",
            "Seed of the mixer's decisions; the workload does not depend on it.",
        ),
        key(
            "servers",
            Kind::Text,
            "300, 3000, 30000, 110000",
            "Numbers of leaf servers to measure, in ascending order.",
        ),
        key(
            "parts",
            Kind::Text,
            "12, 69",
            "Numbers of parts of a query to measure, in ascending order.",
        ),
        key(
            "part_steps",
            Kind::Text,
            "1, 12, 35, 69",
            "Numbers of parts in the series by parts, in ascending order.",
        ),
        key(
            "open",
            Kind::Text,
            "8, 32, 128, 512",
            "Numbers of queries open at the same time to measure, in ascending order.",
        ),
        key(
            "links",
            Kind::Text,
            "300, 1000, 3000",
            "Numbers of connections to leaf servers whose memory is measured, in ascending order.",
        ),
        key(
            "copies",
            Kind::Integer(1, 64),
            "3",
            "Replicas: leaf servers that hold the same shard.",
        ),
        key(
            "zones",
            Kind::Integer(1, 64),
            "15",
            "Number of zones that the leaf servers are spread over.",
        ),
        key(
            "base_servers",
            Kind::Integer(1, 1_000_000),
            "3000",
            "Number of leaf servers in series that vary another size.",
        ),
        key(
            "base_open",
            Kind::Integer(1, 100_000),
            "32",
            "Queries open at the same time in series that vary another size.",
        ),
        key(
            "answer",
            Kind::Duration,
            "60ms",
            "Latency of a leaf server's answer to a part, in virtual time.",
        ),
        key(
            "queries",
            Kind::Integer(1, 1_000_000),
            "2000",
            "Largest number of measured queries of a point.",
        ),
        key(
            "warm_queries",
            Kind::Integer(0, 1_000_000),
            "200",
            "Largest number of warm-up queries, which are not measured.",
        ),
        key(
            "change_messages",
            Kind::Integer(1, 100_000),
            "50",
            "Largest number of change messages of a point.",
        ),
        key(
            "change_entries",
            Kind::Integer(1, 10_000),
            "50",
            "Entries of each message in the series of changes of many entries.",
        ),
        key(
            "point_time",
            Kind::Duration,
            "10s",
            "Time limit after which the work of a point is cut.",
        ),
        key(
            "point_limit",
            Kind::Duration,
            "60s",
            "Time limit after which the process of a point is killed; the point counts as failed.",
        ),
    ],
};

/// The values of `[scale]`.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSettings {
    /// Seed of the mixer's decisions.
    pub seed: u64,
    /// Numbers of leaf servers, in ascending order like all lists of sizes.
    pub servers: Vec<u64>,
    /// Numbers of parts of a query in the series by leaf servers and by open queries.
    pub parts: Vec<u64>,
    /// Numbers of parts of a query in the series by parts.
    pub part_steps: Vec<u64>,
    pub open_queries: Vec<u64>,
    pub connections: Vec<u64>,
    /// Leaf servers that hold the same shard.
    pub replicas: u64,
    pub zones: u64,
    /// Leaf servers and open queries in series that vary another size.
    pub base_servers: u64,
    pub base_open_queries: u64,
    /// Latency of a leaf server's answer to a part, in virtual time.
    pub leaf_latency: Duration,
    /// Largest numbers of measured queries and of warm-up queries of a point.
    pub queries: u64,
    pub warm_up_queries: u64,
    /// Largest number of change messages of a point, and the entries of one in the series of changes of many entries.
    pub change_messages: u64,
    pub change_entries: u64,
    /// Time limits after which the work of a point is cut and its process is killed.
    pub work_time_limit: Duration,
    pub process_time_limit: Duration,
}

/// Upper limit of the values in a list of sizes.
const MAX_SIZE: u64 = 1_000_000;
/// Number of shards that an entry of the endpoint list can name.
const MAX_SHARDS: u64 = 1 << 16;

impl ScaleSettings {
    /// # Errors
    /// A list of sizes is invalid or exceeds another setting; the message names the key and its line.
    pub fn read(settings: &Settings) -> Result<ScaleSettings, Failure> {
        let values = settings.section(&SCHEMA, SCALE.name, "");
        let count = |key: &str| values.integer(key).unwrap_or_default();
        let duration = |key: &str| values.duration(key).unwrap_or_default();
        let sizes = |key: &'static str| {
            let text = values.text(key).unwrap_or_default();
            ascending_sizes(text).map_err(|reason| {
                Failure::settings(settings.value_error(SCALE.name, "", key, reason))
            })
        };
        let scale = ScaleSettings {
            seed: count("seed"),
            servers: sizes("servers")?,
            parts: sizes("parts")?,
            part_steps: sizes("part_steps")?,
            open_queries: sizes("open")?,
            connections: sizes("links")?,
            replicas: count("copies"),
            zones: count("zones"),
            base_servers: count("base_servers"),
            base_open_queries: count("base_open"),
            leaf_latency: duration("answer"),
            queries: count("queries"),
            warm_up_queries: count("warm_queries"),
            change_messages: count("change_messages"),
            change_entries: count("change_entries"),
            work_time_limit: duration("point_time"),
            process_time_limit: duration("point_limit"),
        };
        let invalid = |key, reason: &str| {
            Err(Failure::settings(
                settings.value_error(SCALE.name, "", key, reason),
            ))
        };
        let most_parts = scale.most_parts().max(last(&scale.part_steps));
        if scale.smallest().min(scale.base_servers) / scale.replicas < most_parts {
            let reason = format!(
                "the smallest fleet has fewer shards than a query of {most_parts} parts needs"
            );
            return invalid("servers", &reason);
        }
        if scale.largest().div_ceil(scale.replicas) > MAX_SHARDS {
            return invalid("servers", "the largest fleet has more than 65536 shards");
        }
        if last(&scale.connections) > scale.base_servers {
            return invalid(
                "links",
                "more connections than base_servers has leaf servers",
            );
        }
        Ok(scale)
    }

    /// Leaf servers of the smallest fleet.
    pub fn smallest(&self) -> u64 {
        first(&self.servers)
    }

    /// Leaf servers of the largest fleet.
    pub fn largest(&self) -> u64 {
        last(&self.servers)
    }

    /// The fewest parts of a query in the series by leaf servers.
    pub fn fewest_parts(&self) -> u64 {
        first(&self.parts)
    }

    /// The most parts of a query in the series by leaf servers.
    pub fn most_parts(&self) -> u64 {
        last(&self.parts)
    }
}

fn first(sizes: &[u64]) -> u64 {
    sizes.first().copied().unwrap_or(1)
}

fn last(sizes: &[u64]) -> u64 {
    sizes.last().copied().unwrap_or(1)
}

/// Parses a comma-separated list of ascending integers.
fn ascending_sizes(text: &str) -> Result<Vec<u64>, &'static str> {
    const EXPECTED: &str =
        "has to be whole numbers from 1 to 1000000, each larger than the one before, as in 300, 3000";
    let sizes: Vec<u64> = text
        .split(',')
        .map(|size| size.trim().parse())
        .collect::<Result<_, _>>()
        .map_err(|_| EXPECTED)?;
    let valid = sizes.iter().all(|size| (1..=MAX_SIZE).contains(size))
        && sizes.windows(2).all(|pair| pair[0] < pair[1]);
    if valid && !sizes.is_empty() {
        Ok(sizes)
    } else {
        Err(EXPECTED)
    }
}
