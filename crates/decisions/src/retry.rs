//! The rules of retries: whether a part may be attempted again, and when a failed one is.

use crate::batch::Batch;
use crate::hedging::MIN_HEDGE_DELAY_FRACTION;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Attempt, Part};
use crate::{Class, Idempotency, Nanos};

/// How often a failed part is attempted before its retries are delayed.
const ATTEMPTS_BEFORE_DELAY: usize = 2;

/// Whether the settings and the part's idempotency allow one more attempt.
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

/// Whether a part that may have been executed since `first_sent_at` may be executed again.
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

/// Whether a part whose attempts have all failed is retried now: at once after the first, else
/// [`MIN_HEDGE_DELAY_FRACTION`] of the phase's duration after the last was sent.
pub fn is_due(now: Nanos, part: &Part, last: &Attempt, phase_duration: f64) -> bool {
    let age = (now - last.sent_at) as f64;
    part.attempts.len() < ATTEMPTS_BEFORE_DELAY || age > MIN_HEDGE_DELAY_FRACTION * phase_duration
}
