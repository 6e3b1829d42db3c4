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
use crate::timing::{phase_duration, LATENESS_THRESHOLD};
use crate::weight_cutoff::WeightCutoff;
use crate::{Action, Nanos, RequestId};

/// Sends parts, and keeps the attempts in flight and what limits extra attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    in_flight: InFlightAttempts,
    budget_usage: RetryBudgetUsage,
    hedging: Hedging,
}

/// The state of a query's present phase that its retries and hedged requests depend on.
struct PhaseProgress {
    /// The time that the phase has, ns.
    duration: f64,
    /// How long to wait for an attempt before its part is hedged, ns.
    hedge_delay: f64,
    /// Enough of the phase is over that its unanswered parts count as late.
    late: bool,
    /// At least half of the parts that are not skipped are answered.
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
            late: phase_age > LATENESS_THRESHOLD * duration,
            half_answered: 2 * answered >= sent_parts().count(),
        }
    }
}

impl Attempts {
    /// A query or part was received, which adds to the retry budget.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.budget_usage.record_arrival(now);
    }

    /// What has been used of the retry budget.
    pub fn budget_usage(&self) -> &RetryBudgetUsage {
        &self.budget_usage
    }

    /// Sends the parts of a query that have not been sent, heaviest first.
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

    /// Sends the part at `index` of the query to the best replica; false if the query has expired, the rules of retries
    /// do not allow it or no replica may get it.
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

    /// Retries the failed parts of the query's present phase, hedges the slow ones and records the late ones.
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
            let in_present_phase = query.parts[index].phase == query.phase;
            let part = &mut query.parts[index];
            if part.answered {
                part.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
            }
            if part.answered || part.skipped || !in_present_phase {
                continue;
            }
            if progress.late {
                weight_cutoff.record_late_part(batch.now, part);
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
            replicas.eject_if_silent_since(batch, &last);
        }
    }

    /// Removes attempt `number` of a part, which has ended; `None` if it is not in flight.
    pub fn remove_in_flight(&mut self, part: RequestId, number: u8) -> Option<InFlightAttempt> {
        self.in_flight.remove(part, number)
    }

    /// Records the success of attempt `number` of a part that other attempts are in flight for.
    pub fn record_hedged_answer(&mut self, part: &Part, number: u8) {
        let mut earlier = part.attempts.iter().take(usize::from(number));
        let first_attempt_won = earlier.all(|attempt| !attempt.in_flight);
        self.hedging.record_hedged_answer(first_attempt_won);
    }

    /// Forgets the arrivals and extra attempts that no limit counts any more.
    pub fn forget_expired(&mut self, batch: &Batch) {
        self.budget_usage.forget_expired(batch);
    }

    /// How many entries are kept.
    pub fn retained_entries(&self) -> usize {
        self.in_flight.len() + self.budget_usage.recent_arrivals()
    }
}
