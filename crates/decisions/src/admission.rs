//! Admission control: rejects queries that cannot be answered within their latency objective, since they would only
//! delay others, and skips single parts that cannot be answered in time.

use crate::batch::Batch;
use crate::replica_set::ReplicaSet;
use crate::tables::query_table::{Part, Query};
use crate::tables::replica_table::{Replica, ReplicaTable};
use crate::tables::statistics::SmoothedMean;
use crate::timing::phase_count;
use crate::Class;

/// Maximum queueing delay of a part, as a fraction of the remaining time per phase. Parts above it are skipped if a
/// partial answer without them is sufficient. The query is rejected if the other parts are not sufficient for any
/// answer.
const MAX_LATENCY_FRACTION: f64 = 0.5;
/// Bounds of the factor by which a query's priority weight per part scales that fraction.
const MIN_PRIORITY_FACTOR: f64 = 0.7;
const MAX_PRIORITY_FACTOR: f64 = 1.3;
/// Weight of one query in the smoothed mean of the priority weight per part.
const PRIORITY_SMOOTHING: f64 = 0.03;
/// Tolerance for rounding errors in sums of weights.
const WEIGHT_TOLERANCE: f64 = 1e-4;

/// Admits the queries that can be answered within their latency objectives.
#[derive(Debug, Default)]
pub struct Admission {
    /// Smoothed mean of the priority weight per part over all queries.
    mean_priority_per_part: SmoothedMean,
}

impl Admission {
    /// Returns whether the query can be answered within its latency objective. Marks parts that cannot be answered in
    /// time as skipped if a partial answer without them is sufficient.
    pub fn can_meet_objective(
        &mut self,
        batch: &Batch,
        replicas: &ReplicaSet,
        query: &mut Query,
    ) -> bool {
        let class = batch.class(query);
        let latency_fraction = MAX_LATENCY_FRACTION * self.priority_factor(class, query);
        let remaining_time = (query.objective_at - query.arrived_at) as f64;
        let max_latency = latency_fraction * remaining_time / f64::from(phase_count(class));
        if cannot_earn_priority_weight(class, query)
            || remaining_time < bounded_mean_latency(class, replicas)
        {
            return false;
        }
        skip_slow_parts(batch, replicas.table(), query, max_latency)
    }

    /// The query's priority weight per part relative to the mean of all queries. Queries with a high priority and few
    /// parts may wait longer.
    fn priority_factor(&mut self, class: &Class, query: &Query) -> f64 {
        let priority_weight = class.priority_weight.unwrap_or(1.0);
        let priority_per_part = priority_weight / query.parts.len().max(1) as f64;
        let mean = self
            .mean_priority_per_part
            .add(priority_per_part, PRIORITY_SMOOTHING);
        (priority_per_part / mean.max(f64::MIN_POSITIVE))
            .clamp(MIN_PRIORITY_FACTOR, MAX_PRIORITY_FACTOR)
    }
}

/// Whether no answer to the query can earn any priority weight, even an immediate one.
fn cannot_earn_priority_weight(class: &Class, query: &Query) -> bool {
    let missed_without_late_weight =
        query.objective_missed_on_arrival && class.late_weight_fraction <= 0.0;
    missed_without_late_weight || query.client_timeout_too_short
}

/// The mean latency over all replicas, ns, bounded by a fraction of the latency objective. Without the bound, a slow
/// period could lead to the rejection of all queries, and then no answer would ever lower the mean again.
fn bounded_mean_latency(class: &Class, replicas: &ReplicaSet) -> f64 {
    replicas
        .latencies()
        .fleet_mean()
        .unwrap_or(0.0)
        .min(MAX_LATENCY_FRACTION * class.latency_objective as f64)
}

/// Marks the parts that are expected to take longer than `max_latency` as skipped if the other parts are sufficient for
/// a partial answer. Returns false if the other parts are not sufficient for any answer.
fn skip_slow_parts(
    batch: &Batch,
    table: &ReplicaTable,
    query: &mut Query,
    max_latency: f64,
) -> bool {
    let class = batch.class(query);
    let minimum_coverage = class.minimum_coverage.min(class.completeness_threshold);
    let slow: Vec<usize> = (0..query.parts.len())
        .filter(|index| min_queueing_delay(batch, table, &query.parts[*index]) > max_latency)
        .collect();
    let slow_weight = slow
        .iter()
        .map(|index| query.parts[*index].weight)
        .sum::<f64>();
    let covered = 1.0 - slow_weight;
    if covered + WEIGHT_TOLERANCE < minimum_coverage {
        return false;
    }
    if minimum_coverage < class.completeness_threshold {
        for index in slow {
            query.parts[index].skipped = true;
        }
    }
    true
}

/// The minimum queueing delay over all ready replicas that hold the part's shard, ns; infinite if there are none.
fn min_queueing_delay(batch: &Batch, table: &ReplicaTable, part: &Part) -> f64 {
    let holders = table.holders(part.shard);
    holders
        .iter()
        .map(|slot| table.replica(*slot))
        .filter(|replica| replica.is_ready())
        .map(|replica| queueing_delay(batch, replica))
        .fold(f64::INFINITY, f64::min)
}

/// Expected time until the replica answers one more part, ns: its mean interval between answers times the parts in
/// flight there plus one, where an interval decays with its age. It is infinite while the replica is at capacity, and
/// at least the time for which the replica has been unresponsive.
fn queueing_delay(batch: &Batch, replica: &Replica) -> f64 {
    let stats = replica.stats();
    if batch.now < stats.at_capacity_until {
        return f64::INFINITY;
    }
    let parts_ahead = stats.parts_in_flight().parts();
    let since_answer = batch.now.saturating_sub(stats.last_answer_at) as f64;
    let staleness = since_answer / batch.timing.shortest_objective;
    let answer_interval = stats.answer_interval.mean().unwrap_or(0.0);
    let queued = answer_interval * f64::from(parts_ahead + 1) * (-staleness).exp();
    queued.max(replica.unresponsive_for(batch.now) as f64)
}
