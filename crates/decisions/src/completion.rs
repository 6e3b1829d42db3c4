//! Completion: when a query is answered, and when it is given up, which rejects or fails it.

use crate::batch::Batch;
use crate::hedging::{hedge_delay, MIN_HEDGE_DELAY_FRACTION};
use crate::replica_set::ReplicaSet;
use crate::retry::may_attempt_again;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Part, Query};
use crate::timing::{phase_count, phase_duration, LATENESS_THRESHOLD};
use crate::{Action, Class, Idempotency, Nanos, ReplicaId};
use std::collections::BTreeSet;

/// By how many timer intervals an answer precedes the time that it must not miss.
const SPARE_INTERVALS: Nanos = 2;
/// Replicas whose connections a query must have lost to count as a query of death.
const MIN_CRASHED_REPLICAS: usize = 3;
/// Tolerances for rounding errors in sums of weights.
const ANSWER_TOLERANCE: f64 = 1e-6;
const REACHABLE_TOLERANCE: f64 = 1e-4;

/// What is done with an open query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Answer its present phase.
    Answer {
        /// Whether the answer counts as complete.
        complete: bool,
    },
    /// Reject or fail it.
    GiveUp,
    /// Retry or hedge its parts.
    RetryOrHedge,
    /// Wait for the attempts in flight.
    Wait,
}

/// What the answered parts of a query's present phase amount to.
struct PhaseCoverage {
    /// The phase has any parts.
    has_parts: bool,
    /// Weight of the answered parts.
    answered_weight: f64,
    /// All parts are answered.
    all_answered: bool,
    /// Some part may still be answered.
    any_reachable: bool,
    /// Weight of the parts that may still be answered.
    reachable_weight: f64,
    /// The least weight that an answer of this phase needs.
    needed_weight: f64,
    /// An answer would be complete.
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
            needed_weight: needed_weight(class, query),
            complete,
        }
    }

    /// Whether the answered parts suffice for an answer.
    fn is_sufficient(&self) -> bool {
        let partial = self.answered_weight > 0.0
            && self.answered_weight + ANSWER_TOLERANCE >= self.needed_weight;
        self.has_parts && (self.complete || partial)
    }

    /// Whether waiting cannot improve the answer.
    fn is_final(&self) -> bool {
        self.complete || self.all_answered || !self.any_reachable
    }

    /// Whether no sufficient answer can be reached.
    fn cannot_become_sufficient(&self) -> bool {
        let reachable = self.answered_weight + self.reachable_weight + REACHABLE_TOLERANCE;
        self.has_parts && (!self.any_reachable || reachable < self.needed_weight)
    }
}

/// The least weight that an answer of the query's present phase needs.
fn needed_weight(class: &Class, query: &Query) -> f64 {
    let minimum_coverage = class.minimum_coverage.min(class.completeness_threshold);
    let partial_answers = minimum_coverage < class.completeness_threshold;
    if partial_answers || query.phase == 1 {
        minimum_coverage
    } else {
        1.0
    }
}

/// Decides what is done with an open query now.
pub fn decide(
    batch: &Batch,
    replicas: &ReplicaSet,
    usage: &RetryBudgetUsage,
    query: &Query,
) -> Decision {
    let coverage = PhaseCoverage::new(batch, replicas, usage, query);
    let answer_is_due = batch.now >= answer_time(batch, query);
    if coverage.is_sufficient() && (coverage.is_final() || answer_is_due) {
        return Decision::Answer {
            complete: coverage.complete,
        };
    }
    let query_of_death = is_query_of_death(query);
    let nothing_in_flight = !query.parts.iter().any(Part::is_in_flight);
    let out_of_time = batch.now >= give_up_time(batch, query);
    if out_of_time || coverage.cannot_become_sufficient() || query_of_death && nothing_in_flight {
        return Decision::GiveUp;
    }
    // The query may have lost its connections by chance: then one of its parts is likely to be answered meanwhile.
    let max_wait = hedge_delay(replicas.latencies(), batch.timing.shortest_objective);
    let phase_age = (batch.now - query.phase_started_at) as f64;
    if query_of_death && phase_age <= max_wait {
        return Decision::Wait;
    }
    Decision::RetryOrHedge
}

/// Whether the query seems to crash each replica that executes a part of it: none of its parts is answered, and
/// connections to several replicas were lost.
fn is_query_of_death(query: &Query) -> bool {
    let crashed: BTreeSet<ReplicaId> = query
        .attempts()
        .filter(|attempt| attempt.connection_reset)
        .map(|attempt| attempt.replica)
        .collect();
    crashed.len() >= MIN_CRASHED_REPLICAS && !query.parts.iter().any(|part| part.answered)
}

/// Whether a part may still be answered: an attempt is in flight, or the rules, the budget and its holders allow one.
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

/// The action that ends a query without an answer. A rejected query may safely be sent again.
pub fn give_up_action(batch: &Batch, query: &Query) -> Action {
    let may_have_executed = query.attempts().any(|attempt| !attempt.did_not_execute);
    if batch.class(query).idempotency == Idempotency::NonIdempotent && may_have_executed {
        return Action::Fail { query: query.id };
    }
    let max_retry_after = batch.settings.max_retry_after;
    Action::Reject {
        query: query.id,
        retry_after: (max_retry_after > 0).then_some(max_retry_after),
    }
}

/// Whether replicas have worked for the query, or still do.
pub fn has_used_capacity(query: &Query) -> bool {
    query
        .parts
        .iter()
        .any(|part| part.answered || part.is_in_flight())
}

/// The earliest time at which [`decide`] or a retry may change anything, unless an event of the query comes before. It
/// may be too early, never too late.
pub fn next_due_at(batch: &Batch, query: &Query) -> Nanos {
    let duration = phase_duration(batch.class(query));
    let parts_due_at = query
        .phase_parts()
        .filter(|part| !part.answered && !part.skipped)
        .map(|part| part_due_at(batch.now, query, part, duration))
        .min()
        .unwrap_or(Nanos::MAX);
    let answer_at = answer_time(batch, query);
    let answer_due_at = if answer_at > batch.now {
        answer_at
    } else {
        Nanos::MAX
    };
    give_up_time(batch, query)
        .min(parts_due_at)
        .min(answer_due_at)
}

/// The earliest time at which a part of the present phase that is neither answered nor skipped may be retried, hedged
/// or late. Where nothing is in flight, the retry budget, the endpoint list or other queries may allow an attempt in
/// any batch.
fn part_due_at(now: Nanos, query: &Query, part: &Part, phase_duration: f64) -> Nanos {
    let Some(last) = part.attempts.last().filter(|_| part.is_in_flight()) else {
        return now;
    };
    let min_hedge_delay = (MIN_HEDGE_DELAY_FRACTION * phase_duration) as Nanos;
    let hedge_at = last.sent_at.saturating_add(min_hedge_delay);
    if part.outcome_recorded {
        return hedge_at;
    }
    let lateness = (LATENESS_THRESHOLD * phase_duration) as Nanos;
    hedge_at.min(query.phase_started_at.saturating_add(lateness))
}

/// When an answer of the query earns nothing any more: its attempts expire then.
pub fn expires_at(class: &Class, query: &Query) -> Nanos {
    if class.late_weight_fraction > 0.0 {
        query.deadline
    } else {
        query.objective_at
    }
}

/// When the present phase has to be over: just before the latency objective, halfway there if another phase follows.
fn phase_end(batch: &Batch, query: &Query) -> Nanos {
    let end = query.objective_at.saturating_sub(spare_time(batch));
    if query.phase < phase_count(batch.class(query)) {
        query.arrived_at + end.saturating_sub(query.arrived_at) / 2
    } else {
        end
    }
}

/// The last time for an answer.
fn latest_answer_time(batch: &Batch, query: &Query) -> Nanos {
    query.deadline.saturating_sub(spare_time(batch))
}

fn spare_time(batch: &Batch) -> Nanos {
    SPARE_INTERVALS * batch.timing.timer_interval
}

/// When the query is answered with the parts answered by then, if they suffice: once the phase is over, or as late as
/// possible where a late complete answer earns more than a partial one.
fn answer_time(batch: &Batch, query: &Query) -> Nanos {
    let class = batch.class(query);
    let partial_answer_value =
        class.partial_answer_value * query.answered_weight() / class.completeness_threshold;
    if class.late_weight_fraction > partial_answer_value {
        latest_answer_time(batch, query)
    } else {
        phase_end(batch, query)
    }
}

/// When the query is given up if it is not answered.
fn give_up_time(batch: &Batch, query: &Query) -> Nanos {
    let latest = latest_answer_time(batch, query);
    if batch.class(query).late_weight_fraction > 0.0 {
        return latest;
    }
    let objective_end = query
        .objective_at
        .saturating_sub(batch.timing.timer_interval);
    latest.min(objective_end)
}
