//! Slow start: limits the parts sent to a replica that has just started until it has warmed up.
//!
//! The limit is derived from the mean rate of answers per replica to this coordinator or from the rate limit of the
//! entire fleet, whichever is higher. Before there are enough answers, the first alone would give a limit near zero and
//! leave all work to the warm replicas.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::tables::replica_table::{Replica, ReplicaTable, Slot, SlowStartJitter};
use crate::tables::statistics::{DecayingCount, SmoothedMean};
use crate::timing::NS_PER_SECOND;
use crate::{Nanos, Settings};

/// Time constant of the count of answers, in slow-start durations.
const ANSWER_TIME_CONSTANT_IN_SLOW_STARTS: f64 = 4.0;
/// Fraction of the load derived from the rate limit that a replica receives until it answers promptly.
const INITIAL_LOAD_FRACTION: f64 = 0.7;
/// Fraction of the shortest latency objective below which a replica's answers count as prompt.
const PROMPT_LATENCY_FRACTION: f64 = 0.25;
/// Weight of one query in the smoothed mean number of parts per query.
const PARTS_SMOOTHING: f64 = 0.03;

/// The settings that limit the load of replicas that are warming up.
struct Limits {
    /// Capacity of a replica that has just started, as a fraction of its full capacity.
    initial_capacity: f64,
    /// Multiple of its current capacity above which a replica that is warming up fails.
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

/// Estimates the load of a warm replica, from which the limit for replicas that are warming up is derived.
#[derive(Debug)]
pub struct SlowStart {
    seed: u64,
    /// Time of the first batch; 0 before it.
    first_batch_at: Nanos,
    /// Decaying number of parts answered by all replicas.
    answered_parts: DecayingCount,
    parts_per_query: SmoothedMean,
}

impl SlowStart {
    /// Creates the state before the first batch. `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        SlowStart {
            seed,
            first_batch_at: 0,
            answered_parts: DecayingCount::default(),
            parts_per_query: SmoothedMean::EMPTY,
        }
    }

    /// Records the start of a batch.
    pub fn record_batch_start(&mut self, now: Nanos) {
        if self.first_batch_at == 0 {
            self.first_batch_at = now;
        }
    }

    /// Records the number of parts of a received query.
    pub fn record_query(&mut self, parts: usize) {
        self.parts_per_query.add(parts as f64, PARTS_SMOOTHING);
    }

    /// Records that a replica answered a part.
    pub fn record_answer(&mut self, batch: &Batch) {
        self.answered_parts
            .add(batch.now, answer_time_constant(batch.settings));
    }

    /// Whether the replica may receive another part. Always true for a replica that is not warming up.
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
        let average_parts = self.average_parts(batch, table, answers_promptly);
        let max_parts = max_parts(batch, &limits, replica, average_parts);
        let since = batch.now.saturating_sub(batch.settings.overload_window);
        (replica.stats().recent_sends.count_from(since) as f64) < max_parts
    }

    /// Estimated number of parts that an average replica receives from this coordinator in an overload window.
    fn average_parts(&self, batch: &Batch, table: &ReplicaTable, answers_promptly: bool) -> f64 {
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

    /// Redraws the jitter of the holders of a shard that are warming up, once per overload window and replica. The
    /// first draw is at the coordinator's first choice for such a replica, so that coordinators draw at different
    /// times. If all of them drew at the same time, the additional parts of two draws could fall into the same overload
    /// window.
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
            let seed = self.seed ^ table.replica(slot).started_at() ^ batch.now.rotate_left(32);
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
    let age = batch.now.saturating_sub(replica.started_at());
    replica.started_at() > 0 && age < batch.settings.slow_start_duration
}

/// Whether the replica has answered a part, is not at capacity, and has a latency below [`PROMPT_LATENCY_FRACTION`] of
/// the shortest latency objective.
fn answers_promptly(batch: &Batch, latencies: &LatencyEstimates, replica: &Replica) -> bool {
    let stats = replica.stats();
    let accepts_parts = stats.last_answer_at > 0 && batch.now >= stats.at_capacity_until;
    let max_latency = PROMPT_LATENCY_FRACTION * batch.timing.shortest_objective;
    accepts_parts && latencies.latency(batch, replica) < max_latency
}

/// Maximum number of parts that a replica may receive from this coordinator in an overload window. If the limit per
/// coordinator is below one part, the random jitter decides which coordinators send a part in a window: one part from
/// each of many coordinators would overload the replica.
fn max_parts(batch: &Batch, limits: &Limits, replica: &Replica, average_parts: f64) -> f64 {
    let settings = batch.settings;
    let age = batch.now.saturating_sub(replica.started_at());
    // The limit applies to the sends of an entire window, and the capacity was lower at the beginning of the window.
    let age_in_window = age.saturating_sub(overload_window(settings) / 2);
    let capacity = limits.initial_capacity
        + (1.0 - limits.initial_capacity) * age_in_window as f64
            / settings.slow_start_duration as f64;
    let parts = limits.overload_multiple * capacity * average_parts;
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
    ANSWER_TIME_CONSTANT_IN_SLOW_STARTS * settings.slow_start_duration.max(1) as f64
}
