//! What the runs with hollow mixers found. All figures are from one machine and one process over loopback.

use super::settings::Way;
use crate::machine::Machine;
use crate::report::Outcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// How delays are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub samples: u64,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
}

impl Spread {
    /// From delays in microseconds.
    pub fn of_us(delays: &Histogram<u64>) -> Spread {
        let at = |quantile| delays.value_at_quantile(quantile) as f64 / 1e3;
        Spread {
            samples: delays.len(),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            worst_ms: at(1.0),
        }
    }
}

/// What a step cost. Processor time is that of the threads of discovery and of the mixers; what is a mixer's is the
/// mean over all of them. Bytes of messages are those of the JSON text, `socket_bytes_per_mixer` all that discovery
/// wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    pub wall_ms: f64,
    pub discovery_processor_ms: f64,
    pub processor_us_per_mixer: f64,
    pub connections: u64,
    pub list_calls: u64,
    pub watch_calls: u64,
    pub whole_messages: u64,
    pub bytes_per_whole_message: f64,
    pub change_messages: u64,
    pub bytes_per_change_message: f64,
    pub heartbeats: u64,
    pub socket_bytes_per_mixer: f64,
}

/// A step that ends when the last mixer holds the version that it led to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// From when discovery had a version to when a mixer had it in force; one sample for each mixer and version.
    pub in_force: Spread,
    /// Mixers that did not have the last version in force by the step's time limit.
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

/// The servers of a zone change at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneStep {
    pub changed_entries: u64,
    pub step: Step,
}

/// Discovery is gone for a while, changes one entry meanwhile and returns.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReturnStep {
    pub absent_ms: f64,
    /// The most in any 100 ms after the return.
    pub peak_connections_per_100_ms: u64,
    pub peak_calls_per_100_ms: u64,
    /// Delays count from the return. The cost holds the time of absence too.
    pub step: Step,
}

/// All that was measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowPoint {
    pub mixers: u64,
    pub entries: u64,
    pub way: Way,
    pub outcome: Outcome,
    /// Why it was cut, refused or failed; empty for one that was measured.
    pub note: String,
    /// Resident memory of the process with all mixers at rest, in bytes, discovery included.
    pub resident_bytes: u64,
    /// The most that it had held until then, while it read and took the list.
    pub peak_resident_bytes: u64,
    /// From nothing to the whole list; delays count from each mixer's own start.
    pub start: Option<Step>,
    /// Over the rest time, without changes.
    pub rest: Option<Cost>,
    /// Changes of one entry, each after the one before is in force everywhere.
    pub change: Option<Step>,
    pub rates: Vec<RateStep>,
    pub zone: Option<ZoneStep>,
    pub back: Option<ReturnStep>,
    /// The same with a discovery that has forgotten its changes, so that each mixer is sent the whole list.
    pub back_without_history: Option<ReturnStep>,
    /// All watches fall silent and one entry is changed at that moment.
    pub silence: Option<Step>,
}

impl HollowPoint {
    /// A point at which nothing was measured.
    pub fn ended(
        mixers: u64,
        entries: u64,
        way: Way,
        outcome: Outcome,
        note: String,
    ) -> HollowPoint {
        HollowPoint {
            mixers,
            entries,
            way,
            outcome,
            note,
            resident_bytes: 0,
            peak_resident_bytes: 0,
            start: None,
            rest: None,
            change: None,
            rates: Vec::new(),
            zone: None,
            back: None,
            back_without_history: None,
            silence: None,
        }
    }
}

/// All points of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    pub machine: Machine,
    /// The one-minute load average of the machine at the beginning and the end. Well above 0 at the beginning: other
    /// work ran.
    pub load_average: [f64; 2],
    /// Bounds in force: memory in bytes, descriptors.
    pub memory_bound_bytes: u64,
    pub descriptors: u64,
    pub wall_seconds: f64,
    pub points: Vec<HollowPoint>,
}

impl HollowReport {
    /// The last line of a run.
    pub fn summary(&self) -> String {
        let ended = |outcome| {
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
            let _ = write!(line, ", {name} {}", ended(outcome));
        }
        line
    }
}
