//! The simulated leaf servers of a run: their entries in the format of discovery, and matching mixer settings.

use std::fmt::Write as _;

/// Size and layout of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fleet {
    /// Leaf servers in the endpoint list.
    pub servers: u64,
    /// Leaf servers that hold the same shard. Their numbers are consecutive, which places them in different zones.
    #[serde(rename = "copies")]
    pub replicas: u64,
    /// Zones that the leaf servers are assigned to in turn, by number.
    pub zones: u64,
}

/// Status of a leaf server in its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Up,
    Draining,
}

/// Latency objective and query deadline of the only class, in nanoseconds; far above the latency of any query of a run.
const TARGET_LATENCY_NS: u64 = 2_000_000_000;
const QUERY_DEADLINE_NS: u64 = 6_000_000_000;
/// Least size of the chunks that a snapshot is written in, except for the last one.
const CHUNK_BYTES: usize = 64 * 1024;

impl Fleet {
    /// Number of shards that the leaf servers hold.
    pub fn shards(self) -> u64 {
        self.servers.div_ceil(self.replicas)
    }

    /// The entry of leaf server `number`, as JSON.
    pub fn write_entry(self, number: u64, status: EndpointStatus, out: &mut String) {
        let status_text = match status {
            EndpointStatus::Up => "up",
            EndpointStatus::Draining => "draining",
        };
        let (zone, group) = (number % self.zones, number / self.replicas);
        let [_, high, middle, low] = (number as u32).to_be_bytes();
        let written = write!(
            out,
            "{{\"name\":\"leaf-{number:08x}\",\"address\":\"10.{high}.{middle}.{low}:7070\",\
             \"zone\":\"zone-{zone}\",\"type\":\"m2\",\"group\":{group},\"status\":\"{status_text}\",\
             \"weight\":1.0,\"since_ms\":0}}"
        );
        debug_assert!(written.is_ok(), "writing to a String does not fail");
    }

    /// The snapshot in chunks, as read from a socket, so that it is never in memory as a whole.
    pub fn snapshot(self, version: u64) -> impl Iterator<Item = String> {
        let mut next = 0;
        let mut complete = false;
        std::iter::from_fn(move || {
            if complete {
                return None;
            }
            let mut chunk = String::with_capacity(CHUNK_BYTES + 512);
            if next == 0 {
                chunk = format!("{{\"index\":{version},\"snapshot\":true,\"endpoints\":[");
            }
            while next < self.servers && chunk.len() < CHUNK_BYTES {
                if next > 0 {
                    chunk.push(',');
                }
                self.write_entry(next, EndpointStatus::Up, &mut chunk);
                next += 1;
            }
            if next == self.servers {
                chunk.push_str("]}");
                complete = true;
            }
            Some(chunk)
        })
    }

    /// A message that sets the status of `entries` leaf servers from number `first` on.
    pub fn change(self, version: u64, first: u64, entries: u64, status: EndpointStatus) -> String {
        let mut text = format!("{{\"index\":{version},\"snapshot\":false,\"endpoints\":[");
        for offset in 0..entries {
            if offset > 0 {
                text.push(',');
            }
            self.write_entry((first + offset) % self.servers, status, &mut text);
        }
        text.push_str("]}");
        text
    }

    /// The mixer's settings, with a single class of reads that need the answers of all parts.
    pub fn mixer_settings(self) -> String {
        let shards = self.shards();
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("zone-{zone}")).collect();
        let lines = [
            "classes.count=1".to_string(),
            "classes.0.name=lookup".to_string(),
            format!("classes.0.aim_ns={TARGET_LATENCY_NS}"),
            format!("classes.0.give_up_ns={QUERY_DEADLINE_NS}"),
            "classes.0.semantics=read_like".to_string(),
            format!("extra.places={shards}"),
            "extra.reach=1".to_string(),
            format!("extra.ranges={shards}"),
            "extra.class_need=1.0".to_string(),
            "extra.least_share=1.0".to_string(),
            "extra.partial_earns=0.9".to_string(),
            "extra.second_step=0".to_string(),
            "replicas_of_me=1".to_string(),
            "tick_ns=5000000".to_string(),
            "limits.cancelling=true".to_string(),
            "limits.may_duplicate=true".to_string(),
            "limits.max_attempts=4".to_string(),
            "limits.streams_per_conn=64".to_string(),
            "limits.connect_timeout_ns=250000000".to_string(),
            "limits.conn_idle_ns=30000000000".to_string(),
            "limits.open_cap=10000000".to_string(),
            "limits.max_retry_after_ns=500000000".to_string(),
            "guarantees.stop_sending_within_ns=250000000".to_string(),
            format!("localities={}", zones.join(",")),
        ];
        lines.join("\n")
    }
}
