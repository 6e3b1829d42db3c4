//! The retry budget: how many extra attempts, which are retries and hedged requests, the settings allow.

use crate::batch::Batch;
use crate::tables::statistics::TimeWindow;
use crate::timing::NS_PER_SECOND;
use crate::{Class, Nanos, Settings};

/// Fraction of the budget that classes with partial answers may use; the rest is for classes that need every part.
const PARTIAL_ANSWER_BUDGET_FRACTION: f64 = 0.5;
/// Least retention time of arrivals and extra attempts, ns: hedging counts them even without a budget.
const MIN_RETENTION_NS: Nanos = 2 * NS_PER_SECOND;

/// What was received, and what was used of the retry budget, within the retention time: the budget's window, but at
/// least 2 s.
#[derive(Debug, Default)]
pub struct RetryBudgetUsage {
    /// When queries and parts were received.
    arrivals: TimeWindow,
    /// When retries and hedged requests were sent.
    extra_attempts: TimeWindow,
}

impl RetryBudgetUsage {
    /// A query or part was received.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.push(now);
    }

    /// A retry or hedged request was sent.
    pub fn record_extra_attempt(&mut self, now: Nanos) {
        self.extra_attempts.push(now);
    }

    /// How many queries and parts were received within the retention time.
    pub fn recent_arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// How many retries and hedged requests were sent within the retention time.
    pub fn recent_extra_attempts(&self) -> usize {
        self.extra_attempts.len()
    }

    /// Whether the budget leaves room for one more extra attempt at the time `at`, if nothing more is sent or received
    /// before.
    pub fn allows_extra_attempt(&self, settings: &Settings, class: &Class, at: Nanos) -> bool {
        let Some(budget) = &settings.retry_budget else {
            return true;
        };
        let since = at.saturating_sub(budget.window);
        let used = self.extra_attempts.count_from(since) as f64;
        let arrived = self.arrivals.count_from(since.saturating_add(1)) as f64;
        let usable_fraction = if class.minimum_coverage < class.completeness_threshold {
            PARTIAL_ANSWER_BUDGET_FRACTION
        } else {
            1.0
        };
        used + 1.0 <= usable_fraction * (budget.minimum + budget.ratio * arrived)
    }

    /// Forgets what is older than the retention time.
    pub fn forget_expired(&mut self, batch: &Batch) {
        let budget = batch.settings.retry_budget.as_ref();
        let window = budget.map_or(0, |budget| budget.window);
        let since = batch.now.saturating_sub(window.max(MIN_RETENTION_NS));
        self.arrivals.forget_before(since);
        self.extra_attempts.forget_before(since);
    }
}
