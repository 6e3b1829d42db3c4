//! Sending parts: first attempts, retries and hedged requests.

use crate::batch::Batch;
use crate::hedging::{hedge_delay, Hedging};
use crate::replica_set::{EndedAttempt, ReplicaSet};
use crate::retry;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::in_flight::{InFlightAttempt, InFlightAttempts};
use crate::tables::query_table::{Attempt, Part, Query};
use crate::tables::recent_outcomes::RecentOutcomes;
use crate::timing::{phase_duration, LATENESS_THRESHOLD};
use crate::{Action, Nanos, Outcome, RequestId};

/// Sends parts, and keeps the attempts in flight and what limits extra attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The attempts in flight.
    pub in_flight: InFlightAttempts,
    /// What was used of the retry budget.
    pub budget_usage: RetryBudgetUsage,
    hedging: Hedging,
}

/// How far the present phase of a query has come.
struct PhaseProgress {
    /// The time that the phase has, ns.
    duration: f64,
    /// How long to wait for an attempt before its part is hedged, ns.
    hedge_delay: f64,
    /// At least half of the parts that are not skipped are answered.
    half_answered: bool,
}

impl PhaseProgress {
    fn new(batch: &Batch, replicas: &ReplicaSet, query: &Query) -> Self {
        let duration = phase_duration(batch.class(query));
        let sent_parts = || query.phase_parts().filter(|part| !part.skipped);
        let answered = sent_parts().filter(|part| part.answered).count();
        PhaseProgress {
            duration,
            hedge_delay: hedge_delay(&replicas.latencies, duration),
            half_answered: 2 * answered >= sent_parts().count(),
        }
    }
}

impl Attempts {
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

    /// Sends the part at `index` of the query to the best replica; false if the rules or the replicas do not allow it.
    fn send_part(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        query: &mut Query,
        index: usize,
    ) -> bool {
        let class = batch.class(query);
        let expires_at = if class.late_weight_fraction > 0.0 {
            query.deadline
        } else {
            query.objective_at
        };
        let part = &mut query.parts[index];
        if expires_at <= batch.now || !retry::may_send(batch, &self.budget_usage, class, part) {
            return false;
        }
        let Some(slot) = replicas.choose(batch, part) else {
            return false;
        };
        let number = part.attempts.len() as u8;
        if number > 0 {
            self.budget_usage.record_extra_attempt(batch.now);
        }
        let replica = replicas.table.replica(slot).id();
        let connection = replicas.record_send(batch, slot);
        let sent_at = batch.now;
        part.attempts.push(Attempt {
            replica,
            sent_at,
            in_flight: true,
            ..Attempt::default()
        });
        let attempt = InFlightAttempt {
            replica,
            sent_at,
            connection,
        };
        self.in_flight.insert(part.id, number, attempt);
        batch.actions.push(Action::Send {
            part: part.id,
            replica,
            expires_at,
        });
        true
    }

    /// Retries the failed parts of the query's present phase and hedges the slow ones, and records late parts.
    /// `open_parts` is the number of parts of all open queries.
    pub fn retry_and_hedge(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        outcomes: &mut RecentOutcomes,
        query: &mut Query,
        open_parts: usize,
    ) {
        let progress = PhaseProgress::new(batch, replicas, query);
        for index in 0..query.parts.len() {
            let phase = query.phase;
            let phase_age = (batch.now - query.phase_started_at) as f64;
            let part = &mut query.parts[index];
            if part.answered {
                part.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
            }
            if part.answered || part.skipped || part.phase != phase {
                continue;
            }
            if !part.outcome_recorded && phase_age > LATENESS_THRESHOLD * progress.duration {
                part.outcome_recorded = true;
                outcomes.record(batch.now, true);
            }
            let Some(last) = part.attempts.last().cloned() else {
                self.send_part(batch, replicas, query, index);
                continue;
            };
            if part.is_in_flight() {
                if is_slow(batch, replicas, &progress, &last) {
                    self.hedge_part(batch, replicas, query, index, open_parts);
                }
            } else if retry::is_due(batch.now, part, &last, progress.duration) {
                self.send_part(batch, replicas, query, index);
            }
        }
    }

    /// Sends a hedged request for the part at `index`, if another replica is likely to answer sooner. The replica of the
    /// last attempt counts as silent then.
    fn hedge_part(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        query: &mut Query,
        index: usize,
        open_parts: usize,
    ) {
        let Some(last) = query.parts[index].attempts.last().cloned() else {
            return;
        };
        let age = (batch.now - last.sent_at) as f64;
        if !has_faster_replica(batch, replicas, &query.parts[index], age)
            || !self.hedging.allows_hedge(&self.budget_usage, open_parts)
            || !self.send_part(batch, replicas, query, index)
        {
            return;
        }
        if let Some(slot) = replicas.table.slot(last.replica) {
            replicas.record_silence(batch, slot, last.sent_at);
        }
    }

    /// Records the end of attempt `number` of a part at its replica. Whether a failed connection means lost capacity;
    /// `None` if the attempt is not in flight.
    pub fn record_end(
        &mut self,
        batch: &mut Batch,
        replicas: &mut ReplicaSet,
        part: RequestId,
        number: u8,
        outcome: Outcome,
    ) -> Option<bool> {
        let attempt = self.in_flight.remove(part, number)?;
        let slot = replicas.table.slot(attempt.replica);
        let replica_known = slot.is_some_and(|slot| replicas.is_known(batch, slot));
        if let Some(slot) = slot {
            let ended = EndedAttempt {
                sent_at: attempt.sent_at,
                connection: attempt.connection,
                outcome,
            };
            replicas.record_end(batch, slot, ended);
        }
        // A replica without recent news may just be slow to connect.
        Some(replica_known || batch.settings.retry_budget.is_some())
    }

    /// Records the success of attempt `number` of a part that other attempts are in flight for.
    pub fn record_hedged_answer(&mut self, part: &Part, number: u8) {
        let mut earlier = part.attempts.iter().take(number as usize);
        let first_attempt_won = earlier.all(|attempt| !attempt.in_flight);
        self.hedging.record_hedged_answer(first_attempt_won);
    }

    /// Forgets what is no longer needed.
    pub fn forget_expired(&mut self, batch: &Batch) {
        self.budget_usage.forget_expired(batch);
    }

    /// How many entries are kept.
    pub fn retained_entries(&self) -> usize {
        self.in_flight.len() + self.budget_usage.recent_arrivals()
    }
}

/// Whether the last attempt of a part has been in flight for long, and this says something of its replica: it has been
/// silent since, or half of the query's other parts are answered.
fn is_slow(batch: &Batch, replicas: &ReplicaSet, progress: &PhaseProgress, last: &Attempt) -> bool {
    let age = (batch.now - last.sent_at) as f64;
    let silent_since_sent = || {
        let replica = replicas.table.get(last.replica);
        replica.is_none_or(|replica| replica.stats().last_alive_at <= last.sent_at)
    };
    age > progress.hedge_delay && (progress.half_answered || silent_since_sent())
}

/// Whether the best replica for a hedged request is expected to answer within the time that the part has been in flight.
fn has_faster_replica(
    batch: &mut Batch,
    replicas: &mut ReplicaSet,
    part: &Part,
    in_flight_for: f64,
) -> bool {
    let Some(slot) = replicas.choose(batch, part) else {
        return false;
    };
    let replica = replicas.table.replica(slot);
    let latency = replicas.latencies.smoothed_latency(batch, replica);
    let calls = replicas.table.calls_in_flight(replica, batch.now) + 1;
    latency * f64::from(calls) < in_flight_for
}

/// The earliest time at which a part that is neither answered nor skipped may be retried, hedged or late. Where nothing
/// is in flight, the retry budget, the endpoint list or other queries may allow an attempt in any batch.
pub fn part_due_at(now: Nanos, part: &Part, phase_started_at: Nanos, phase_duration: f64) -> Nanos {
    let Some(last) = part.attempts.last().filter(|_| part.is_in_flight()) else {
        return now;
    };
    let min_hedge_delay = (crate::hedging::MIN_HEDGE_DELAY_FRACTION * phase_duration) as Nanos;
    let hedge_at = last.sent_at.saturating_add(min_hedge_delay);
    if part.outcome_recorded {
        return hedge_at;
    }
    let lateness = (LATENESS_THRESHOLD * phase_duration) as Nanos;
    hedge_at.min(phase_started_at.saturating_add(lateness))
}
