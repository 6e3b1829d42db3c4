//! Slow start: how many parts a replica that has just started may get until it has warmed up.
//!
//! The limit follows from what the average replica answers to this coordinator, or, while that is little yet, from the
//! rate limit of the whole fleet: with a limit of zero, the warm replicas would be left with all the work.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::tables::replica_table::{Replica, ReplicaTable, Slot, SlowStartJitter};
use crate::tables::statistics::{DecayingCount, SmoothedMean};
use crate::timing::NS_PER_SECOND;
use crate::{Nanos, Settings};

/// Time constant of the count of answers, in slow-start durations.
const ANSWER_TIME_CONSTANT_DURATIONS: f64 = 4.0;
/// Fraction of the load following from the rate limit that a replica gets until it answers promptly.
const INITIAL_LOAD_FRACTION: f64 = 0.7;
/// Fraction of the shortest latency objective below which a replica's answers count as prompt.
const PROMPT_LATENCY_FRACTION: f64 = 0.25;
/// Weight of one query in the mean number of parts.
const PARTS_SMOOTHING: f64 = 0.03;

/// What limits the load of replicas that are warming up, from the settings.
struct Limits {
    /// The fraction of its capacity that a replica has when it starts.
    initial_capacity: f64,
    /// The multiple of its present capacity at which it fails.
    overload_multiple: f64,
}

impl Limits {
    fn from_settings(settings: &Settings) -> Option<Self> {
        Some(Limits {
            initial_capacity: settings.slow_start_initial_capacity?,
            overload_multiple: settings.overload_multiple?,
        })
    }
}

/// Estimates the load that a warm replica sustains, which limits that of replicas warming up.
#[derive(Debug)]
pub struct SlowStart {
    seed: u64,
    /// When the first batch came; 0 before.
    first_batch_at: Nanos,
    /// Parts answered, over all replicas.
    answered_parts: DecayingCount,
    parts_per_query: SmoothedMean,
}

impl SlowStart {
    /// Nothing is known yet; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        SlowStart {
            seed,
            first_batch_at: 0,
            answered_parts: DecayingCount::default(),
            parts_per_query: SmoothedMean::NONE,
        }
    }

    /// A batch has started.
    pub fn record_batch(&mut self, now: Nanos) {
        if self.first_batch_at == 0 {
            self.first_batch_at = now;
        }
    }

    /// A query with so many parts was received.
    pub fn record_query(&mut self, parts: usize) {
        self.parts_per_query.add(parts as f64, PARTS_SMOOTHING);
    }

    /// A replica answered a part.
    pub fn record_answer(&mut self, batch: &Batch) {
        self.answered_parts
            .add(batch.now, answer_time_constant(batch.settings));
    }

    /// Whether the replica may get one more part, if it is warming up.
    pub fn has_capacity(
        &self,
        batch: &Batch,
        table: &ReplicaTable,
        latencies: &LatencyEstimates,
        replica: &Replica,
    ) -> bool {
        let Some(limits) = Limits::from_settings(batch.settings) else {
            return true;
        };
        if !is_warming_up(batch, replica) {
            return true;
        }
        let answers_promptly = answers_promptly(batch, latencies, replica);
        let usual_parts = self.usual_parts(batch, table, answers_promptly);
        let max_parts = max_parts(batch, &limits, replica, usual_parts);
        let since = batch.now.saturating_sub(batch.settings.overload_window);
        (replica.stats().recent_sends.count_from(since) as f64) < max_parts
    }

    /// The parts that an average replica gets from this coordinator in an overload window.
    fn usual_parts(&self, batch: &Batch, table: &ReplicaTable, answers_promptly: bool) -> f64 {
        let settings = batch.settings;
        let running_for = batch.now - self.first_batch_at;
        let counted_for = answer_time_constant(settings)
            .min(running_for.max(settings.slow_start_duration) as f64);
        let parts_per_query = self.parts_per_query.mean().unwrap_or(0.0);
        let expected_rate = settings.fleet_rate_limit * parts_per_query
            / fleet_size(settings)
            / NS_PER_SECOND as f64;
        let expected_rate = if answers_promptly {
            expected_rate
        } else {
            INITIAL_LOAD_FRACTION * expected_rate
        };
        let ready = table.ready_count().max(1);
        let answered_rate = self.answered_parts.count() / counted_for;
        answered_rate.max(expected_rate) * overload_window(settings) as f64 / ready as f64
    }

    /// Draws the jitter anew for the holders of a shard that are warming up and whose jitter is an overload window old.
    /// Each replica's windows start when it first gets a part. If all coordinators drew at the same moment, the extra
    /// parts of two draws could fall into one overload window.
    pub fn refresh_jitter(&self, batch: &Batch, table: &mut ReplicaTable, shard: u32) {
        let window = overload_window(batch.settings);
        let is_due = |slot: &Slot| {
            let replica = table.replica(*slot);
            let drawn_at = replica.stats().slow_start_jitter.drawn_at;
            is_warming_up(batch, replica) && batch.now >= drawn_at + window
        };
        let holders = table.holders(shard);
        let due: Vec<Slot> = holders.iter().copied().filter(is_due).collect();
        for slot in due {
            let seed = self.seed ^ table.replica(slot).started() ^ batch.now.rotate_left(32);
            table.stats_mut(slot).slow_start_jitter = SlowStartJitter {
                drawn_at: batch.now,
                parts: fastrand::Rng::with_seed(seed).f64(),
            };
        }
    }
}

/// Whether the settings limit the load of replicas that are warming up.
pub fn is_enabled(settings: &Settings) -> bool {
    Limits::from_settings(settings).is_some()
}

fn is_warming_up(batch: &Batch, replica: &Replica) -> bool {
    let age = batch.now.saturating_sub(replica.started());
    replica.started() > 0 && age < batch.settings.slow_start_duration
}

/// Whether the replica has answered, has not just rejected a part, and has a latency far below the objective.
fn answers_promptly(batch: &Batch, latencies: &LatencyEstimates, replica: &Replica) -> bool {
    let stats = replica.stats();
    let accepts_parts = stats.last_answer_at > 0 && batch.now >= stats.at_capacity_until;
    let max_latency = PROMPT_LATENCY_FRACTION * batch.timing.shortest_objective;
    accepts_parts && latencies.latency(batch, replica) < max_latency
}

/// The parts that a replica may get in an overload window. With less than one part each, many coordinators would still
/// overload it together: the jitter spreads their parts over time.
fn max_parts(batch: &Batch, limits: &Limits, replica: &Replica, usual_parts: f64) -> f64 {
    let settings = batch.settings;
    let age = batch.now.saturating_sub(replica.started());
    // The sends of a whole window count, and the replica sustained less load at its beginning.
    let age_in_window = age.saturating_sub(overload_window(settings) / 2);
    let capacity = limits.initial_capacity
        + (1.0 - limits.initial_capacity) * age_in_window as f64
            / settings.slow_start_duration as f64;
    let parts = limits.overload_multiple * capacity * usual_parts;
    let jitter = replica.stats().slow_start_jitter.parts;
    (parts.max(1.0 / fleet_size(settings)) + jitter).floor()
}

fn overload_window(settings: &Settings) -> Nanos {
    settings.overload_window.max(1)
}

fn fleet_size(settings: &Settings) -> f64 {
    f64::from(settings.fleet_size.max(1))
}

/// Time constant of the count of answers, ns.
fn answer_time_constant(settings: &Settings) -> f64 {
    ANSWER_TIME_CONSTANT_DURATIONS * settings.slow_start_duration.max(1) as f64
}
