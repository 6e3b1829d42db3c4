//! Lengths of time that follow from the settings.

use crate::{Nanos, Settings};

/// The target latency that is assumed where the settings name no class, ns.
const NO_CLASS: Nanos = 1_000_000_000;
/// The timer fires so often within the shortest target latency, unless a few batches take longer.
const INTERVALS: Nanos = 200;
/// Least time between two turns of the timer, in least times between two batches.
const BATCHES: Nanos = 2;

/// Lengths of time that follow from the settings, in nanoseconds.
#[derive(Debug)]
pub struct Timing {
    /// The shortest target latency of all classes.
    pub shortest_target: f64,
    /// How often queries are looked at while any is open.
    pub timer_interval: Nanos,
}

impl Timing {
    pub fn new(settings: &Settings) -> Self {
        let shortest = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(NO_CLASS);
        let timer_interval = (BATCHES * settings.batch_interval)
            .max(shortest / INTERVALS)
            .max(1);
        Timing {
            shortest_target: shortest as f64,
            timer_interval,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Timing::new(&Settings::default())
    }
}
