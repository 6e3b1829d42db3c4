//! Durations that follow from the settings.

use crate::{Class, Nanos, Settings};

/// Nanoseconds in a second.
pub const NS_PER_SECOND: Nanos = 1_000_000_000;
/// Fraction of a phase's duration after which an unanswered part counts as late.
pub const LATENESS_THRESHOLD: f64 = 0.8;
/// The latency objective that is assumed where the settings name no class, ns.
const DEFAULT_OBJECTIVE_NS: Nanos = 1_000_000_000;
/// How often the timer fires within the shortest latency objective.
const TIMER_INTERVALS_PER_OBJECTIVE: Nanos = 200;
/// Least time between two timer events, in batch intervals.
const MIN_TIMER_INTERVAL_BATCHES: Nanos = 2;
/// Time constant with which the estimates of a replica decay to the mean of all replicas, in shortest latency
/// objectives.
const FADE_OBJECTIVES: f64 = 5.0;

/// Durations that follow from the settings of all classes.
#[derive(Debug)]
pub struct Timing {
    /// The shortest latency objective of all classes, ns.
    pub shortest_objective: f64,
    /// How often the timer fires while any query is open, ns.
    pub timer_interval: Nanos,
}

impl Timing {
    /// The durations that follow from `settings`.
    pub fn new(settings: &Settings) -> Self {
        let shortest = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(DEFAULT_OBJECTIVE_NS);
        let timer_interval = (MIN_TIMER_INTERVAL_BATCHES * settings.batch_interval)
            .max(shortest / TIMER_INTERVALS_PER_OBJECTIVE)
            .max(1);
        Timing {
            shortest_objective: shortest as f64,
            timer_interval,
        }
    }

    /// The time constant with which the estimates of a replica decay to the mean of all replicas, ns. Older
    /// observations count as outdated.
    pub fn fade_time(&self) -> f64 {
        FADE_OBJECTIVES * self.shortest_objective
    }
}

/// How many phases a query of this class has: 1 or 2.
pub fn phase_count(class: &Class) -> u8 {
    1 + u8::from(class.second_phase_parts > 0)
}

/// The time that one phase of a query of this class has, ns.
pub fn phase_duration(class: &Class) -> f64 {
    class.latency_objective as f64 / f64::from(phase_count(class))
}
