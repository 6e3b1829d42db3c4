//! The series of a run, with their points.

use super::driver::Workload;
use super::fleet::Fleet;
use super::point::{Spec, Work};
use super::settings::ScaleSettings;
use crate::units::format_grouped;

/// Names of the series.
pub mod name {
    pub const QUERY_BY_PARTS: &str = "query-by-parts";
    pub const CHANGE_ONE: &str = "change-of-one-entry-by-servers";
    pub const CHANGE_MANY: &str = "change-of-many-entries-by-servers";
    pub const CHANGE_ZONE: &str = "change-of-a-zone-by-servers";
    pub const CHANGE_BY_ENTRIES: &str = "change-by-entries";
    pub const LIST: &str = "whole-list-by-servers";
    pub const CONNECTIONS: &str = "memory-by-connections";
    pub const OPEN_QUERIES: &str = "memory-by-open-queries";

    pub fn query_by_servers(parts: u64) -> String {
        format!("query-of-{parts}-parts-by-servers")
    }

    /// Its queries go to the shards of the smallest fleet only, so that each size has the same open connections.
    pub fn query_same_shards(parts: u64) -> String {
        format!("query-of-{parts}-parts-by-servers-same-shards")
    }

    pub fn query_by_open(parts: u64) -> String {
        format!("query-of-{parts}-parts-by-open-queries")
    }
}

/// A series to be measured.
pub struct SeriesPlan {
    pub name: String,
    pub title: String,
    /// What the varied size counts.
    pub size: &'static str,
    /// Each size with the specification of its point.
    pub points: Vec<(u64, Spec)>,
}

/// What the varied size of most series counts.
const SERVERS: &str = "leaf servers";
/// Number of queries to each shard in the series of connections: enough to open a connection to each replica.
const QUERIES_PER_SHARD: u64 = 12;

/// All series of a run, in the order of measurement.
pub fn series(settings: &ScaleSettings) -> Vec<SeriesPlan> {
    let planner = Planner(settings);
    let mut all = vec![planner.list()];
    all.extend(planner.changes());
    for parts in &settings.parts {
        all.push(planner.query_by_servers(*parts));
    }
    let most_parts = settings.most_parts();
    all.push(planner.query_same_shards(most_parts));
    all.push(planner.query_by_parts());
    for parts in &settings.parts {
        all.push(planner.query_by_open(*parts));
    }
    all.push(planner.connections());
    all.push(planner.open_queries());
    all
}

struct Planner<'a>(&'a ScaleSettings);

impl Planner<'_> {
    fn fleet(&self, servers: u64) -> Fleet {
        Fleet {
            servers,
            replicas: self.0.replicas,
            zones: self.0.zones,
        }
    }

    fn spec(&self, servers: u64, work: Work) -> Spec {
        let ScaleSettings {
            seed,
            work_time_limit,
            ..
        } = self.0;
        Spec {
            fleet: self.fleet(servers),
            seed: *seed,
            work,
            time_limit_ms: work_time_limit.as_millis() as u64,
        }
    }

    fn workload(&self, parts: u64, open_queries: u64) -> Workload {
        Workload {
            parts,
            open_queries,
            leaf_latency_ns: self.0.leaf_latency.as_nanos() as u64,
            shards: u64::MAX,
        }
    }

    fn queries(&self, workload: Workload) -> Work {
        Work::Queries {
            workload,
            warm_up: self.0.warm_up_queries,
            queries: self.0.queries,
        }
    }

    /// A series with a point for each number of leaf servers.
    fn by_servers(&self, name: String, title: String, work: impl Fn(u64) -> Work) -> SeriesPlan {
        let point = |servers: &u64| (*servers, self.spec(*servers, work(*servers)));
        SeriesPlan {
            name,
            title,
            size: SERVERS,
            points: self.0.servers.iter().map(point).collect(),
        }
    }

    fn list(&self) -> SeriesPlan {
        let title = "Whole list: parsed, taken, taken again unchanged";
        self.by_servers(name::LIST.into(), title.into(), |_| Work::List)
    }

    fn changes(&self) -> Vec<SeriesPlan> {
        let messages = self.0.change_messages;
        let work = |entries| Work::Changes { entries, messages };
        let change_entries = self.0.change_entries;
        let largest = self.0.largest();
        let mut entries = vec![
            1,
            change_entries,
            change_entries * 10,
            self.zone_entries(largest),
        ];
        entries.retain(|entries| *entries <= largest);
        entries.sort_unstable();
        entries.dedup();
        let by_entries = entries
            .into_iter()
            .map(|entries| (entries, self.spec(largest, work(entries))));
        vec![
            self.by_servers(
                name::CHANGE_ONE.into(),
                "Change of one entry".into(),
                |_| work(1),
            ),
            self.by_servers(
                name::CHANGE_MANY.into(),
                format!("Change of {change_entries} entries in one message"),
                |servers| work(change_entries.min(servers)),
            ),
            self.by_servers(
                name::CHANGE_ZONE.into(),
                "Change of all entries of a zone in one message".into(),
                |servers| work(self.zone_entries(servers)),
            ),
            SeriesPlan {
                name: name::CHANGE_BY_ENTRIES.into(),
                title: format!(
                    "Change by its entries, {} leaf servers",
                    format_grouped(largest as f64)
                ),
                size: "entries",
                points: by_entries.collect(),
            },
        ]
    }

    /// Number of entries of one zone.
    fn zone_entries(&self, servers: u64) -> u64 {
        (servers / self.0.zones).max(1)
    }

    fn query_by_servers(&self, parts: u64) -> SeriesPlan {
        let workload = self.workload(parts, self.0.base_open_queries);
        let title = format!("Query of {parts} parts, over all shards");
        self.by_servers(name::query_by_servers(parts), title, |_| {
            self.queries(workload)
        })
    }

    fn query_same_shards(&self, parts: u64) -> SeriesPlan {
        let shards = self.fleet(self.0.smallest()).shards();
        let workload = Workload {
            shards,
            ..self.workload(parts, self.0.base_open_queries)
        };
        let title = format!("Query of {parts} parts, over the same {shards} shards");
        self.by_servers(name::query_same_shards(parts), title, |_| {
            self.queries(workload)
        })
    }

    fn query_by_parts(&self) -> SeriesPlan {
        let servers = self.0.base_servers;
        let point = |parts: &u64| {
            let work = self.queries(self.workload(*parts, self.0.base_open_queries));
            (*parts, self.spec(servers, work))
        };
        SeriesPlan {
            name: name::QUERY_BY_PARTS.into(),
            title: format!(
                "Query by its parts, {} leaf servers",
                format_grouped(servers as f64)
            ),
            size: "parts",
            points: self.0.part_steps.iter().map(point).collect(),
        }
    }

    fn query_by_open(&self, parts: u64) -> SeriesPlan {
        let servers = self.0.base_servers;
        let point = |open_queries: &u64| {
            (
                *open_queries,
                self.spec(servers, self.queries(self.workload(parts, *open_queries))),
            )
        };
        SeriesPlan {
            name: name::query_by_open(parts),
            title: format!(
                "Query of {parts} parts by queries open, {} leaf servers",
                format_grouped(servers as f64)
            ),
            size: "open queries",
            points: self.0.open_queries.iter().map(point).collect(),
        }
    }

    fn connections(&self) -> SeriesPlan {
        let servers = self.0.base_servers;
        let parts = self.0.fewest_parts();
        let point = |connections: &u64| {
            let shards = (connections / self.0.replicas).max(parts);
            let workload = Workload {
                shards,
                ..self.workload(parts, self.0.base_open_queries)
            };
            let queries = QUERIES_PER_SHARD * shards.div_ceil(parts);
            (
                *connections,
                self.spec(servers, Work::Connections { workload, queries }),
            )
        };
        SeriesPlan {
            name: name::CONNECTIONS.into(),
            title: format!(
                "Memory of connections to leaf servers, {} listed",
                format_grouped(servers as f64)
            ),
            size: "connections wanted",
            points: self.0.connections.iter().map(point).collect(),
        }
    }

    fn open_queries(&self) -> SeriesPlan {
        let (servers, parts) = (self.0.base_servers, self.0.most_parts());
        let point = |open_queries: &u64| {
            let work = Work::OpenQueries {
                workload: self.workload(parts, *open_queries),
                warm_up: self.0.warm_up_queries,
            };
            (*open_queries, self.spec(servers, work))
        };
        SeriesPlan {
            name: name::OPEN_QUERIES.into(),
            title: format!(
                "Memory of open queries of {parts} parts, {} leaf servers",
                format_grouped(servers as f64)
            ),
            size: "open queries",
            points: self.0.open_queries.iter().map(point).collect(),
        }
    }
}
