//! Completion: decides when a query is answered, and when it ends without an answer, which rejects or fails it.

use crate::batch::Batch;
use crate::hedging::{hedge_delay, MIN_HEDGE_DELAY_FRACTION};
use crate::replica_set::ReplicaSet;
use crate::retry::may_attempt_again;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Part, Query};
use crate::timing::{phase_count, phase_duration, OVERDUE_FRACTION};
use crate::{Action, Class, Idempotency, Nanos, ReplicaId};
use std::collections::BTreeSet;

/// Safety margin between the planned time of an answer and the time that it must meet, in timer intervals.
const SAFETY_MARGIN_INTERVALS: Nanos = 2;
/// Minimum number of replicas with a connection lost during a query for it to count as a query of death.
const MIN_CRASHED_REPLICAS: usize = 3;
/// Tolerances for rounding errors in sums of weights.
const ANSWER_TOLERANCE: f64 = 1e-6;
const REACHABLE_TOLERANCE: f64 = 1e-4;

/// The next step for an open query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Answer its current phase.
    Answer {
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// End it without an answer: reject it, or fail it if it may have executed.
    RejectOrFail,
    /// Retry or hedge its parts.
    RetryOrHedge,
    /// Wait for the attempts in flight.
    Wait,
}

/// Coverage of a query's current phase by its answered parts and by those that may still be answered.
struct PhaseCoverage {
    /// Whether the phase has any parts.
    has_parts: bool,
    /// Total weight of the answered parts.
    answered_weight: f64,
    /// Whether all parts are answered.
    all_answered: bool,
    /// Whether any part may still be answered.
    any_reachable: bool,
    /// Total weight of the parts that may still be answered.
    reachable_weight: f64,
    /// The minimum answered weight for an answer to this phase.
    required_weight: f64,
    /// Whether an answer now would be complete.
    complete: bool,
}

impl PhaseCoverage {
    fn new(batch: &Batch, replicas: &ReplicaSet, usage: &RetryBudgetUsage, query: &Query) -> Self {
        let class = batch.class(query);
        let is_reachable = |part: &&Part| {
            !part.answered && !part.skipped && may_be_answered(batch, replicas, usage, query, part)
        };
        let reachable_weights: Vec<f64> = query
            .phase_parts()
            .filter(is_reachable)
            .map(|part| part.weight)
            .collect();
        let answered_weight = query.answered_weight();
        let all_answered = query.phase_parts().all(|part| part.answered);
        let complete = if query.phase == 1 {
            all_answered || answered_weight + ANSWER_TOLERANCE >= class.completeness_threshold
        } else {
            all_answered && query.first_phase_complete
        };
        PhaseCoverage {
            has_parts: query.phase_parts().next().is_some(),
            answered_weight,
            all_answered,
            any_reachable: !reachable_weights.is_empty(),
            reachable_weight: reachable_weights.iter().sum::<f64>(),
            required_weight: required_weight(class, query),
            complete,
        }
    }

    /// Whether the answered parts are sufficient for an answer.
    fn is_sufficient(&self) -> bool {
        let partial = self.answered_weight > 0.0
            && self.answered_weight + ANSWER_TOLERANCE >= self.required_weight;
        self.has_parts && (self.complete || partial)
    }

    /// Whether waiting cannot improve the answer.
    fn is_final(&self) -> bool {
        self.complete || self.all_answered || !self.any_reachable
    }

    /// Whether the answered parts are insufficient even if all reachable parts are answered.
    fn cannot_become_sufficient(&self) -> bool {
        let reachable = self.answered_weight + self.reachable_weight + REACHABLE_TOLERANCE;
        self.has_parts && (!self.any_reachable || reachable < self.required_weight)
    }
}

/// The minimum answered weight for an answer to the query's current phase.
fn required_weight(class: &Class, query: &Query) -> f64 {
    let minimum_coverage = class.minimum_coverage.min(class.completeness_threshold);
    let partial_answers = minimum_coverage < class.completeness_threshold;
    if partial_answers || query.phase == 1 {
        minimum_coverage
    } else {
        1.0
    }
}

/// Decides the next step for an open query.
pub fn decide(
    batch: &Batch,
    replicas: &ReplicaSet,
    usage: &RetryBudgetUsage,
    query: &Query,
) -> Decision {
    let coverage = PhaseCoverage::new(batch, replicas, usage, query);
    let answer_is_due = batch.now >= planned_answer_time(batch, query);
    if coverage.is_sufficient() && (coverage.is_final() || answer_is_due) {
        return Decision::Answer {
            complete: coverage.complete,
        };
    }
    let query_of_death = is_query_of_death(query);
    let nothing_in_flight = !query.parts.iter().any(Part::is_in_flight);
    let out_of_time = batch.now >= reject_or_fail_time(batch, query);
    if out_of_time || coverage.cannot_become_sufficient() || query_of_death && nothing_in_flight {
        return Decision::RejectOrFail;
    }
    // The connections may have been lost for reasons other than the query. In that case one of its parts is likely to
    // be answered within this time, so no more attempts are made until then.
    let max_wait = hedge_delay(replicas.latencies(), batch.timing.shortest_objective);
    let phase_age = (batch.now - query.phase_started_at) as f64;
    if query_of_death && phase_age <= max_wait {
        return Decision::Wait;
    }
    Decision::RetryOrHedge
}

/// Whether the query appears to crash every replica that executes a part of it: none of its parts has been answered,
/// and connections to at least [`MIN_CRASHED_REPLICAS`] replicas were lost.
fn is_query_of_death(query: &Query) -> bool {
    let crashed: BTreeSet<ReplicaId> = query
        .attempts()
        .filter(|attempt| attempt.connection_reset)
        .map(|attempt| attempt.replica)
        .collect();
    crashed.len() >= MIN_CRASHED_REPLICAS && !query.parts.iter().any(|part| part.answered)
}

/// Whether a part may still be answered: an attempt is in flight, or another one is allowed by the retry rules and the
/// retry budget and a replica that holds its shard is ready.
fn may_be_answered(
    batch: &Batch,
    replicas: &ReplicaSet,
    usage: &RetryBudgetUsage,
    query: &Query,
    part: &Part,
) -> bool {
    if part.is_in_flight() {
        return true;
    }
    let class = batch.class(query);
    may_attempt_again(batch, class, part)
        && (part.attempts.is_empty()
            || usage.allows_extra_attempt(batch.settings, class, query.objective_at))
        && replicas.table().has_ready_holder(part.shard)
}

/// The action that ends a query without an answer: a rejection if the client may safely retry, else a failure.
pub fn reject_or_fail_action(batch: &Batch, query: &Query) -> Action {
    let may_have_executed = query.attempts().any(|attempt| !attempt.did_not_execute);
    if batch.class(query).idempotency == Idempotency::NonIdempotent && may_have_executed {
        return Action::Fail { query: query.id };
    }
    let retry_after = batch.settings.retry_after;
    Action::Reject {
        query: query.id,
        retry_after: (retry_after > 0).then_some(retry_after),
    }
}

/// Whether replicas have executed parts of the query or may still be executing them.
pub fn has_used_capacity(query: &Query) -> bool {
    query
        .parts
        .iter()
        .any(|part| part.answered || part.is_in_flight())
}

/// The earliest time at which the query may need processing again if no event for it arrives before. It may be earlier
/// than necessary, but never later.
pub fn next_due_at(batch: &Batch, query: &Query) -> Nanos {
    let duration = phase_duration(batch.class(query));
    let parts_due_at = query
        .phase_parts()
        .filter(|part| !part.answered && !part.skipped)
        .map(|part| part_due_at(batch.now, query, part, duration))
        .min()
        .unwrap_or(Nanos::MAX);
    let answer_at = planned_answer_time(batch, query);
    let answer_due_at = if answer_at > batch.now {
        answer_at
    } else {
        Nanos::MAX
    };
    reject_or_fail_time(batch, query)
        .min(parts_due_at)
        .min(answer_due_at)
}

/// The earliest time at which a part of the current phase that is neither answered nor skipped may be retried, hedged
/// or recorded as overdue. If none of its attempts is in flight, that is the next batch: the retry budget, the endpoint
/// list or other queries may allow an attempt at any time.
fn part_due_at(now: Nanos, query: &Query, part: &Part, phase_duration: f64) -> Nanos {
    let Some(last) = part.attempts.last().filter(|_| part.is_in_flight()) else {
        return now;
    };
    let min_hedge_delay = (MIN_HEDGE_DELAY_FRACTION * phase_duration) as Nanos;
    let hedge_at = last.sent_at.saturating_add(min_hedge_delay);
    if part.outcome_recorded {
        return hedge_at;
    }
    let overdue_after = (OVERDUE_FRACTION * phase_duration) as Nanos;
    hedge_at.min(query.phase_started_at.saturating_add(overdue_after))
}

/// Time after which an answer to the query earns no priority weight. Its attempts expire at this time.
pub fn expires_at(class: &Class, query: &Query) -> Nanos {
    if class.late_weight_fraction > 0.0 {
        query.deadline
    } else {
        query.objective_at
    }
}

/// Time by which the current phase has to end: a safety margin before the latency objective, or half of the time until
/// then if another phase follows.
fn phase_end(batch: &Batch, query: &Query) -> Nanos {
    let end = query.objective_at.saturating_sub(safety_margin(batch));
    if query.phase < phase_count(batch.class(query)) {
        query.arrived_at + end.saturating_sub(query.arrived_at) / 2
    } else {
        end
    }
}

/// Latest time for an answer: a safety margin before the client stops waiting.
fn latest_answer_time(batch: &Batch, query: &Query) -> Nanos {
    query.deadline.saturating_sub(safety_margin(batch))
}

fn safety_margin(batch: &Batch) -> Nanos {
    SAFETY_MARGIN_INTERVALS * batch.timing.timer_interval
}

/// Time at which the query is answered with the parts answered by then, if they are sufficient: the end of the phase,
/// or the latest possible time if a complete answer after the latency objective earns more than a partial one now.
fn planned_answer_time(batch: &Batch, query: &Query) -> Nanos {
    let class = batch.class(query);
    let partial_answer_value =
        class.partial_answer_value * query.answered_weight() / class.completeness_threshold;
    if class.late_weight_fraction > partial_answer_value {
        latest_answer_time(batch, query)
    } else {
        phase_end(batch, query)
    }
}

/// Time at which the query is rejected or failed if it has not been answered.
fn reject_or_fail_time(batch: &Batch, query: &Query) -> Nanos {
    let latest = latest_answer_time(batch, query);
    if batch.class(query).late_weight_fraction > 0.0 {
        return latest;
    }
    let objective_end = query
        .objective_at
        .saturating_sub(batch.timing.timer_interval);
    latest.min(objective_end)
}
