//! The report of the runs with hollow mixers. All figures are from one machine and one process, over loopback.

use super::settings::DiscoveryMode;
use crate::machine::Machine;
use crate::report::Outcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Statistics of delays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DelayStats {
    pub samples: u64,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
}

impl DelayStats {
    /// Statistics of a histogram in microseconds.
    pub fn from_histogram_us(delays: &Histogram<u64>) -> DelayStats {
        let millis_at = |quantile| delays.value_at_quantile(quantile) as f64 / 1e3;
        DelayStats {
            samples: delays.len(),
            median_ms: millis_at(0.5),
            p99_ms: millis_at(0.99),
            worst_ms: millis_at(1.0),
        }
    }
}

/// The cost of a step. Processor times are those of the threads of discovery and of the mixers; values per mixer are
/// means over all mixers. Message sizes are those of the JSON text; `socket_bytes_per_mixer` counts all bytes that
/// discovery wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    pub wall_ms: f64,
    pub discovery_processor_ms: f64,
    pub processor_us_per_mixer: f64,
    pub connections: u64,
    pub list_calls: u64,
    pub watch_calls: u64,
    #[serde(rename = "whole_messages")]
    pub snapshot_messages: u64,
    #[serde(rename = "bytes_per_whole_message")]
    pub bytes_per_snapshot_message: f64,
    pub change_messages: u64,
    pub bytes_per_change_message: f64,
    pub heartbeats: u64,
    pub socket_bytes_per_mixer: f64,
}

/// A step that ends when the last mixer has the step's last version in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Delay from the publication of a version by discovery until a mixer has it in force; one sample for each mixer
    /// and version.
    pub in_force: DelayStats,
    /// Number of mixers without the last version in force at the step's time limit.
    pub lagging_mixers: u64,
    pub cost: Cost,
}

/// Changes of one entry at a steady rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateStep {
    pub changes_per_second: f64,
    pub changes: u64,
    pub socket_bytes_per_second_per_mixer: f64,
    pub processor_percent_of_a_core_per_mixer: f64,
    pub discovery_processor_percent_of_a_core: f64,
    pub step: Step,
}

/// A simultaneous change of the servers of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStep {
    pub changed_entries: u64,
    pub step: Step,
}

/// An outage of discovery, during which one entry changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutageStep {
    #[serde(rename = "absent_ms")]
    pub outage_ms: f64,
    /// Largest numbers in a window of 100 ms after the return of discovery.
    pub peak_connections_per_100_ms: u64,
    pub peak_calls_per_100_ms: u64,
    /// Delays count from the return of discovery. The cost includes the outage.
    pub step: Step,
}

/// The results of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowPoint {
    pub mixers: u64,
    pub entries: u64,
    #[serde(rename = "way")]
    pub mode: DiscoveryMode,
    pub outcome: Outcome,
    /// Why the point was cut, refused or failed; empty for a measured one.
    pub note: String,
    /// Resident memory of the process with all mixers idle, in bytes, discovery included.
    pub resident_bytes: u64,
    /// Peak resident memory until then, which includes reading and applying the endpoint list.
    pub peak_resident_bytes: u64,
    /// Until all mixers have the endpoint list; delays count from each mixer's own start.
    pub start: Option<Step>,
    /// Without changes, over the idle time.
    #[serde(rename = "rest")]
    pub idle: Option<Cost>,
    /// Changes of one entry, each after the previous one is in force at all mixers.
    pub change: Option<Step>,
    pub rates: Vec<RateStep>,
    pub zone: Option<ZoneStep>,
    #[serde(rename = "back")]
    pub outage: Option<OutageStep>,
    /// An outage after which discovery has lost its change history, so that it sends each mixer a snapshot.
    #[serde(rename = "back_without_history")]
    pub outage_without_history: Option<OutageStep>,
    /// Discovery stops sending on all open watches, and one entry changes at the same time.
    pub silence: Option<Step>,
}

impl HollowPoint {
    /// A point without measurements.
    pub fn empty(
        mixers: u64,
        entries: u64,
        mode: DiscoveryMode,
        outcome: Outcome,
        note: String,
    ) -> HollowPoint {
        HollowPoint {
            mixers,
            entries,
            mode,
            outcome,
            note,
            resident_bytes: 0,
            peak_resident_bytes: 0,
            start: None,
            idle: None,
            change: None,
            rates: Vec::new(),
            zone: None,
            outage: None,
            outage_without_history: None,
            silence: None,
        }
    }
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    pub machine: Machine,
    /// One-minute load average of the machine at the start and the end. A value well above 0 at the start means that
    /// other work was running.
    pub load_average: [f64; 2],
    /// Limits in force: memory in bytes, and file descriptors.
    pub memory_bound_bytes: u64,
    pub descriptors: u64,
    pub wall_seconds: f64,
    pub points: Vec<HollowPoint>,
}

impl HollowReport {
    /// The last line that a run prints.
    pub fn summary(&self) -> String {
        let with_outcome = |outcome| {
            self.points
                .iter()
                .filter(|point| point.outcome == outcome)
                .count()
        };
        let mut line = format!("HOLLOW points {}", self.points.len());
        for (name, outcome) in [
            ("measured", Outcome::Measured),
            ("cut", Outcome::Cut),
            ("refused", Outcome::Refused),
            ("failed", Outcome::Failed),
        ] {
            let _ = write!(line, ", {name} {}", with_outcome(outcome));
        }
        line
    }
}
