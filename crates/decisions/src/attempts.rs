//! Sending parts: first attempts, retries and hedged requests.

use crate::batch::Batch;
use crate::completion;
use crate::hedging::{self, Hedging};
use crate::replica_set::ReplicaSet;
use crate::retry;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::in_flight::{InFlightAttempt, InFlightAttempts};
use crate::tables::query_table::{Attempt, Part, Query};
use crate::tables::replica_table::Slot;
use crate::timing::{phase_duration, OVERDUE_FRACTION};
use crate::weight_cutoff::WeightCutoff;
use crate::{Action, Nanos, RequestId};

/// Sends parts, and stores the attempts in flight and the limits on extra attempts (retries and hedged requests).
#[derive(Debug, Default)]
pub struct Attempts {
    in_flight: InFlightAttempts,
    budget_usage: RetryBudgetUsage,
    hedging: Hedging,
}

/// The state of a query's current phase that decides about retries and hedged requests.
struct PhaseProgress {
    /// The time available for the phase, ns.
    duration: f64,
    /// How long an attempt is in flight before its part may be hedged, ns.
    hedge_delay: f64,
    /// Whether [`OVERDUE_FRACTION`] of the phase has passed, after which its unanswered parts are overdue.
    overdue: bool,
    /// Whether at least half of the parts that are not skipped are answered.
    half_answered: bool,
}

impl PhaseProgress {
    fn new(batch: &Batch, replicas: &ReplicaSet, query: &Query) -> Self {
        let duration = phase_duration(batch.class(query));
        let phase_age = (batch.now - query.phase_started_at) as f64;
        let sent_parts = || query.phase_parts().filter(|part| !part.skipped);
        let answered = sent_parts().filter(|part| part.answered).count();
        PhaseProgress {
            duration,
            hedge_delay: hedging::hedge_delay(replicas.latencies(), duration),
            overdue: phase_age > OVERDUE_FRACTION * duration,
            half_answered: 2 * answered >= sent_parts().count(),
        }
    }
}

impl Attempts {
    /// Records that a query or part was received, which increases the retry budget.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.budget_usage.record_arrival(now);
    }

    /// The usage of the retry budget.
    pub fn budget_usage(&self) -> &RetryBudgetUsage {
        &self.budget_usage
    }

    /// Sends the parts of a query that have not been sent and are not skipped, in descending order of weight.
    pub fn send_new_parts(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        query: &mut Query,
    ) {
        for index in query.parts_by_weight().into_iter().rev() {
            let part = &query.parts[index];
            if part.attempts.is_empty() && !part.skipped {
                self.send_part(batch, replicas, query, index);
            }
        }
    }

    /// Sends the part at `index` of the query to the preferred replica. Returns false if the query has expired, the
    /// retry rules do not allow another attempt, or no replica can receive the part.
    fn send_part(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        query: &mut Query,
        index: usize,
    ) -> bool {
        let class = batch.class(query);
        let expires_at = completion::expires_at(class, query);
        let part = &mut query.parts[index];
        if expires_at <= batch.now || !retry::may_send(batch, &self.budget_usage, class, part) {
            return false;
        }
        let Some(slot) = replicas.choose(batch, part) else {
            return false;
        };
        self.send_part_to(batch, replicas, part, slot, expires_at);
        true
    }

    fn send_part_to(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        part: &mut Part,
        slot: Slot,
        expires_at: Nanos,
    ) {
        let number = part.attempts.len() as u8;
        if number > 0 {
            self.budget_usage.record_extra_attempt(batch.now);
        }
        let replica = replicas.table().replica(slot).id();
        let attempt = InFlightAttempt {
            replica,
            sent_at: batch.now,
            connection: replicas.record_send(batch, slot),
        };
        self.in_flight.insert(part.id, number, attempt);
        part.attempts.push(Attempt {
            replica,
            sent_at: batch.now,
            in_flight: true,
            ..Attempt::default()
        });
        batch.actions.push(Action::Send {
            part: part.id,
            replica,
            expires_at,
        });
    }

    /// Retries the failed parts of the query's current phase, hedges the slow ones and records the overdue ones.
    /// `open_parts` is the number of parts of all open queries.
    pub fn retry_and_hedge(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        weight_cutoff: &mut WeightCutoff,
        query: &mut Query,
        open_parts: usize,
    ) {
        let progress = PhaseProgress::new(batch, replicas, query);
        for index in 0..query.parts.len() {
            let in_current_phase = query.parts[index].phase == query.phase;
            let part = &mut query.parts[index];
            if part.answered {
                part.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
            }
            if part.answered || part.skipped || !in_current_phase {
                continue;
            }
            if progress.overdue {
                weight_cutoff.record_overdue_part(batch.now, part);
            }
            self.retry_or_hedge_part(batch, replicas, &progress, query, index, open_parts);
        }
    }

    fn retry_or_hedge_part(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        progress: &PhaseProgress,
        query: &mut Query,
        index: usize,
        open_parts: usize,
    ) {
        let part = &query.parts[index];
        let Some(last) = part.attempts.last().cloned() else {
            self.send_part(batch, replicas, query, index);
            return;
        };
        if !part.is_in_flight() {
            if retry::is_due(batch.now, part, &last, progress.duration) {
                self.send_part(batch, replicas, query, index);
            }
            return;
        }
        let may_hedge = hedging::is_due(
            batch,
            replicas,
            &last,
            progress.hedge_delay,
            progress.half_answered,
        ) && hedging::has_faster_replica(batch, replicas, part, &last)
            && self.hedging.allows_hedge(&self.budget_usage, open_parts);
        if may_hedge && self.send_part(batch, replicas, query, index) {
            replicas.eject_if_unresponsive_since(batch, &last);
        }
    }

    /// Removes attempt `number` of a part after it has ended. Returns `None` if it was not in flight.
    pub fn remove_in_flight(&mut self, part: RequestId, number: u8) -> Option<InFlightAttempt> {
        self.in_flight.remove(part, number)
    }

    /// Records that attempt `number` of a part succeeded while other attempts of the part were in flight.
    pub fn record_hedged_answer(&mut self, part: &Part, number: u8) {
        let mut earlier = part.attempts.iter().take(usize::from(number));
        let first_attempt_won = earlier.all(|attempt| !attempt.in_flight);
        self.hedging.record_hedged_answer(first_attempt_won);
    }

    /// Removes the arrivals and extra attempts that are older than the retention time of the retry budget.
    pub fn remove_expired(&mut self, batch: &Batch) {
        self.budget_usage.remove_expired(batch);
    }

    /// Number of retained entries.
    pub fn retained_entries(&self) -> usize {
        self.in_flight.len() + self.budget_usage.recent_arrivals()
    }
}
