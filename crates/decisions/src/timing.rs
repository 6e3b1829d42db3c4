//! Durations derived from the settings.

use crate::{Class, Nanos, Settings};

/// Nanoseconds in a second.
pub const NS_PER_SECOND: Nanos = 1_000_000_000;
/// Fraction of a phase's duration after which an unanswered part is overdue.
pub const OVERDUE_FRACTION: f64 = 0.8;
/// Latency objective assumed if the settings have no class, ns.
const DEFAULT_OBJECTIVE_NS: Nanos = 1_000_000_000;
/// Number of timer intervals within the shortest latency objective.
const TIMER_INTERVALS_PER_OBJECTIVE: Nanos = 200;
/// Minimum timer interval, in batch intervals.
const MIN_TIMER_INTERVAL_IN_BATCHES: Nanos = 2;
/// Time constant with which estimates of a replica decay to the mean of all replicas, in multiples of the shortest
/// latency objective.
const DECAY_TIME_IN_OBJECTIVES: f64 = 5.0;

/// Durations derived from the settings of all classes.
#[derive(Debug)]
pub struct Timing {
    /// The shortest latency objective of all classes, ns.
    pub shortest_objective: f64,
    /// Interval between two timer events while any query is open, ns.
    pub timer_interval: Nanos,
}

impl Timing {
    /// Computes the durations from `settings`.
    pub fn new(settings: &Settings) -> Self {
        let shortest = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(DEFAULT_OBJECTIVE_NS);
        let timer_interval = (MIN_TIMER_INTERVAL_IN_BATCHES * settings.batch_interval)
            .max(shortest / TIMER_INTERVALS_PER_OBJECTIVE)
            .max(1);
        Timing {
            shortest_objective: shortest as f64,
            timer_interval,
        }
    }

    /// Time constant with which estimates of a replica decay to the mean of all replicas, ns. It also limits the age at
    /// which a replica's response counts as recent, and determines the interval between probes of idle replicas and the
    /// retention time of removed replicas.
    pub fn decay_time(&self) -> f64 {
        DECAY_TIME_IN_OBJECTIVES * self.shortest_objective
    }
}

/// Number of phases of a query of this class: 1 or 2.
pub fn phase_count(class: &Class) -> u8 {
    1 + u8::from(class.second_phase_parts > 0)
}

/// Time available for each phase of a query of this class, ns.
pub fn phase_duration(class: &Class) -> f64 {
    class.latency_objective as f64 / f64::from(phase_count(class))
}
