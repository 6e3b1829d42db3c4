//! The leaf servers of a run as discovery writes them, and the mixer's settings that go with them.

use std::fmt::Write as _;

/// How large the fleet is, and how it is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fleet {
    /// Leaf servers listed.
    pub servers: u64,
    /// Leaf servers that hold the same shard; neighbours in number, and so in different zones.
    pub copies: u64,
    /// Zones that the leaf servers are spread over, one after another.
    pub zones: u64,
}

/// What an entry says of its leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    Up,
    Draining,
}

/// Target latency and longest wait of the one class, in nanoseconds: no query of a run comes near them.
const TARGET_LATENCY_NS: u64 = 2_000_000_000;
const LONGEST_WAIT_NS: u64 = 6_000_000_000;
/// Size of the pieces that a whole list comes in, in bytes.
const PIECE: usize = 64 * 1024;

impl Fleet {
    /// Shards that the leaf servers hold.
    pub fn shards(self) -> u64 {
        self.servers.div_ceil(self.copies)
    }

    /// The entry of leaf server `number`, as JSON.
    pub fn write_entry(self, number: u64, standing: EndpointStatus, out: &mut String) {
        let status = match standing {
            EndpointStatus::Up => "up",
            EndpointStatus::Draining => "draining",
        };
        let (zone, group) = (number % self.zones, number / self.copies);
        let [_, high, middle, low] = (number as u32).to_be_bytes();
        let written = write!(
            out,
            "{{\"name\":\"leaf-{number:08x}\",\"address\":\"10.{high}.{middle}.{low}:7070\",\
             \"zone\":\"zone-{zone}\",\"type\":\"m2\",\"group\":{group},\"status\":\"{status}\",\
             \"weight\":1.0,\"since_ms\":0}}"
        );
        debug_assert!(written.is_ok(), "a String takes all that is written");
    }

    /// The whole list in pieces as a socket gives them, so that it never stands in memory at once.
    pub fn whole_list(self, version: u64) -> impl Iterator<Item = String> {
        let mut next = 0;
        let mut ended = false;
        std::iter::from_fn(move || {
            if ended {
                return None;
            }
            let mut piece = String::with_capacity(PIECE + 512);
            if next == 0 {
                piece = format!("{{\"index\":{version},\"snapshot\":true,\"endpoints\":[");
            }
            while next < self.servers && piece.len() < PIECE {
                if next > 0 {
                    piece.push(',');
                }
                self.write_entry(next, EndpointStatus::Up, &mut piece);
                next += 1;
            }
            if next == self.servers {
                piece.push_str("]}");
                ended = true;
            }
            Some(piece)
        })
    }

    /// A message that changes `entries` leaf servers from number `first` on.
    pub fn change(
        self,
        version: u64,
        first: u64,
        entries: u64,
        standing: EndpointStatus,
    ) -> String {
        let mut text = format!("{{\"index\":{version},\"snapshot\":false,\"endpoints\":[");
        for at in 0..entries {
            if at > 0 {
                text.push(',');
            }
            self.write_entry((first + at) % self.servers, standing, &mut text);
        }
        text.push_str("]}");
        text
    }

    /// The mixer's settings: one class of reads that have to be whole.
    pub fn mixer_settings(self) -> String {
        let shards = self.shards();
        let zones: Vec<String> = (0..self.zones).map(|zone| format!("zone-{zone}")).collect();
        let lines = [
            "classes.count=1".to_string(),
            "classes.0.name=lookup".to_string(),
            format!("classes.0.aim_ns={TARGET_LATENCY_NS}"),
            format!("classes.0.give_up_ns={LONGEST_WAIT_NS}"),
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
