//! Admission: whether a query can be answered within its latency objective, and which of its parts cannot. A query that
//! cannot would only delay others.

use crate::batch::Batch;
use crate::replica_set::ReplicaSet;
use crate::tables::query_table::{Part, Query};
use crate::tables::replica_table::{Replica, ReplicaTable};
use crate::tables::statistics::SmoothedMean;
use crate::timing::phase_count;
use crate::Class;

/// Fraction of the time left that the expected latency of a query's parts may take up for it to be admitted.
const MAX_LATENCY_FRACTION: f64 = 0.5;
/// Bounds of the factor by which a query's priority per work scales that fraction.
const MIN_PRIORITY_FACTOR: f64 = 0.7;
const MAX_PRIORITY_FACTOR: f64 = 1.3;
/// Weight of one query in the usual priority per work.
const PRIORITY_SMOOTHING: f64 = 0.03;
/// Tolerance for rounding errors in sums of weights.
const WEIGHT_TOLERANCE: f64 = 1e-4;

/// Admits the queries that can be answered within their latency objectives.
#[derive(Debug, Default)]
pub struct Admission {
    /// Mean priority weight per part over all queries.
    usual_priority_per_work: SmoothedMean,
}

impl Admission {
    /// Whether the query can be answered within its latency objective; parts that cannot are skipped where a partial
    /// answer is enough.
    pub fn can_meet_objective(
        &mut self,
        batch: &Batch,
        replicas: &ReplicaSet,
        query: &mut Query,
    ) -> bool {
        let class = batch.class(query);
        let latency_fraction = MAX_LATENCY_FRACTION * self.priority_factor(class, query);
        let time_left = (query.objective_at - query.arrived_at) as f64;
        let max_latency = latency_fraction * time_left / f64::from(phase_count(class));
        if cannot_earn_value(class, query) || time_left < usual_latency(class, replicas) {
            return false;
        }
        skip_slow_parts(batch, replicas.table(), query, max_latency)
    }

    /// Priority weight per part against the usual one: queries with a high priority for little work may wait longer.
    fn priority_factor(&mut self, class: &Class, query: &Query) -> f64 {
        let priority_weight = class.priority_weight.unwrap_or(1.0);
        let priority_per_work = priority_weight / query.parts.len().max(1) as f64;
        let usual = self
            .usual_priority_per_work
            .add(priority_per_work, PRIORITY_SMOOTHING);
        (priority_per_work / usual.max(f64::MIN_POSITIVE))
            .clamp(MIN_PRIORITY_FACTOR, MAX_PRIORITY_FACTOR)
    }
}

/// Whether no answer can earn any priority weight, however fast it is.
fn cannot_earn_value(class: &Class, query: &Query) -> bool {
    let too_late = query.objective_missed_on_arrival && class.late_weight_fraction <= 0.0;
    too_late || query.client_timeout_too_short
}

/// The mean latency of all replicas, ns. It is bounded by a fraction of the latency objective: if a slow period led to
/// the rejection of all queries, no answer would ever show its end.
fn usual_latency(class: &Class, replicas: &ReplicaSet) -> f64 {
    replicas
        .latencies()
        .fleet_mean()
        .unwrap_or(0.0)
        .min(MAX_LATENCY_FRACTION * class.latency_objective as f64)
}

/// Skips the parts that are expected to take longer than `max_latency`, if the others suffice for a partial answer;
/// false if they do not suffice for any answer.
fn skip_slow_parts(
    batch: &Batch,
    table: &ReplicaTable,
    query: &mut Query,
    max_latency: f64,
) -> bool {
    let class = batch.class(query);
    let minimum_coverage = class.minimum_coverage.min(class.completeness_threshold);
    let slow: Vec<usize> = (0..query.parts.len())
        .filter(|index| least_queueing_delay(batch, table, &query.parts[*index]) > max_latency)
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

/// The least queueing delay of all ready holders of the part, ns; infinite if there is none.
fn least_queueing_delay(batch: &Batch, table: &ReplicaTable, part: &Part) -> f64 {
    let holders = table.holders(part.shard);
    holders
        .iter()
        .map(|slot| table.replica(*slot))
        .filter(|replica| replica.is_ready())
        .map(|replica| queueing_delay(batch, replica))
        .fold(f64::INFINITY, f64::min)
}

/// When one more part is expected back: after the parts in flight there, at the rate at which it answers, ns.
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
    queued.max(replica.silent_for(batch.now) as f64)
}
