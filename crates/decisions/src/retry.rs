//! Retry rules: whether another attempt of a part is allowed, and when a failed part is retried.

use crate::batch::Batch;
use crate::hedging::MIN_HEDGE_DELAY_FRACTION;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Attempt, Part};
use crate::{Class, Idempotency, Nanos};

/// Number of attempts of a failed part before further retries are delayed.
const ATTEMPTS_BEFORE_DELAY: usize = 2;

/// Whether the maximum number of attempts and the class's idempotency allow another attempt.
pub fn may_attempt_again(batch: &Batch, class: &Class, part: &Part) -> bool {
    let max_attempts = batch.settings.max_attempts.unwrap_or(u32::MAX) as usize;
    if part.attempts.len() >= max_attempts {
        return false;
    }
    let may_have_executed = |attempt: &&Attempt| !attempt.did_not_execute;
    match part.attempts.iter().find(may_have_executed) {
        None => true,
        Some(first) => may_execute_again(batch.now, class, first.sent_at),
    }
}

/// Whether a part may be executed again. `first_sent_at` is the time of its first attempt that may have executed.
fn may_execute_again(now: Nanos, class: &Class, first_sent_at: Nanos) -> bool {
    match class.idempotency {
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotencyKey => now <= first_sent_at + class.idempotency_window,
        Idempotency::Idempotent => true,
    }
}

/// Whether a part may be sent now, as its first attempt, a retry or a hedged request.
pub fn may_send(batch: &Batch, usage: &RetryBudgetUsage, class: &Class, part: &Part) -> bool {
    if !may_attempt_again(batch, class, part) {
        return false;
    }
    if part.attempts.is_empty() {
        return true;
    }
    let hedging_allowed = batch.settings.hedging_enabled || !part.is_in_flight();
    hedging_allowed && usage.allows_extra_attempt(batch.settings, class, batch.now)
}

/// Whether a part whose attempts have all failed is retried now. The first retry is immediate; each further one follows
/// when [`MIN_HEDGE_DELAY_FRACTION`] of the phase's duration has passed since the last attempt was sent.
pub fn is_due(now: Nanos, part: &Part, last: &Attempt, phase_duration: f64) -> bool {
    let age = (now - last.sent_at) as f64;
    part.attempts.len() < ATTEMPTS_BEFORE_DELAY || age > MIN_HEDGE_DELAY_FRACTION * phase_duration
}
