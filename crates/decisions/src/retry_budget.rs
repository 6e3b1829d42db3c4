//! The retry budget: limits extra attempts, which are retries and hedged requests.

use crate::batch::Batch;
use crate::tables::statistics::TimeWindow;
use crate::timing::NS_PER_SECOND;
use crate::{Class, Nanos, Settings};

/// Fraction of the budget that classes with partial answers may use. The remainder is reserved for classes that need
/// every part.
const PARTIAL_ANSWER_BUDGET_FRACTION: f64 = 0.5;
/// Minimum retention time of arrivals and extra attempts, ns. Hedging counts them even without a retry budget.
const MIN_RETENTION_NS: Nanos = 2 * NS_PER_SECOND;

/// The arrivals and extra attempts within the retention time, which is the budget's window or
/// [`MIN_RETENTION_NS`], whichever is longer.
#[derive(Debug, Default)]
pub struct RetryBudgetUsage {
    /// Times when queries and parts were received.
    arrivals: TimeWindow,
    /// Times when retries and hedged requests were sent.
    extra_attempts: TimeWindow,
}

impl RetryBudgetUsage {
    /// Records a received query or part.
    pub fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.push(now);
    }

    /// Records a retry or hedged request.
    pub fn record_extra_attempt(&mut self, now: Nanos) {
        self.extra_attempts.push(now);
    }

    /// Number of queries and parts received within the retention time.
    pub fn recent_arrivals(&self) -> usize {
        self.arrivals.len()
    }

    /// Number of retries and hedged requests sent within the retention time.
    pub fn recent_extra_attempts(&self) -> usize {
        self.extra_attempts.len()
    }

    /// Whether the budget allows another extra attempt at `time`, assuming that nothing is sent or received until then.
    pub fn allows_extra_attempt(&self, settings: &Settings, class: &Class, time: Nanos) -> bool {
        let Some(budget) = &settings.retry_budget else {
            return true;
        };
        let since = time.saturating_sub(budget.window);
        let used = self.extra_attempts.count_from(since) as f64;
        let arrived = self.arrivals.count_from(since.saturating_add(1)) as f64;
        let usable_fraction = if class.minimum_coverage < class.completeness_threshold {
            PARTIAL_ANSWER_BUDGET_FRACTION
        } else {
            1.0
        };
        used + 1.0 <= usable_fraction * (budget.minimum + budget.ratio * arrived)
    }

    /// Removes arrivals and extra attempts that are older than the retention time.
    pub fn remove_expired(&mut self, batch: &Batch) {
        let budget = batch.settings.retry_budget.as_ref();
        let window = budget.map_or(0, |budget| budget.window);
        let since = batch.now.saturating_sub(window.max(MIN_RETENTION_NS));
        self.arrivals.remove_before(since);
        self.extra_attempts.remove_before(since);
    }
}
