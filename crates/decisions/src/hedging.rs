//! Hedging: sends a slow part to a second replica while the first attempt is still in flight.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::replica_set::ReplicaSet;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Attempt, Part};

/// Number of mean deviations above the mean latency after which an attempt counts as slow.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Bounds of the delay after which a part may be hedged, as fractions of its phase's duration. The upper bound leaves
/// time for the hedged request.
pub const MIN_HEDGE_DELAY_FRACTION: f64 = 0.125;
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.4;
/// Number of recent extra attempts (retries and hedged requests) below which hedging is always allowed: the minimum of
/// the limit in [`Hedging::allows_hedge`]. [`RetryBudgetUsage`] defines the retention time of recent attempts.
const MIN_EXTRA_ATTEMPT_LIMIT: f64 = 3.0;
/// Increase of that limit for each recent query or part.
const EXTRA_ATTEMPT_LIMIT_PER_PART: f64 = 0.15;
/// Weight of one hedged part in the smoothed win rate of first attempts.
const WIN_RATE_SMOOTHING: f64 = 0.1;

/// Limits hedged requests by their success rate, since each of them adds load.
#[derive(Debug, Default)]
pub struct Hedging {
    /// Smoothed fraction of the hedged parts for which the first attempt was answered before the hedged request.
    first_attempt_win_rate: f64,
}

impl Hedging {
    /// Records that a part with several attempts in flight was answered, and whether the first of these attempts won.
    pub fn record_hedged_answer(&mut self, first_attempt_won: bool) {
        let won = f64::from(u8::from(first_attempt_won));
        self.first_attempt_win_rate += WIN_RATE_SMOOTHING * (won - self.first_attempt_win_rate);
    }

    /// Whether another hedged request is allowed: the number of retries and hedged requests within the retention time
    /// of [`RetryBudgetUsage`] is below the limit. The limit grows with the number of recent queries and parts or of
    /// open parts, whichever is higher, and drops to its minimum if first attempts win at least three quarters of the
    /// time.
    pub fn allows_hedge(&self, usage: &RetryBudgetUsage, open_parts: usize) -> bool {
        let parts = usage.recent_arrivals().max(open_parts);
        let success_factor = (1.5 - 2.0 * self.first_attempt_win_rate).clamp(0.0, 1.0);
        let limit =
            MIN_EXTRA_ATTEMPT_LIMIT + EXTRA_ATTEMPT_LIMIT_PER_PART * parts as f64 * success_factor;
        (usage.recent_extra_attempts() as f64) < limit
    }
}

/// How long an attempt is in flight before its part may be hedged, ns, in a phase of this duration.
pub fn hedge_delay(latencies: &LatencyEstimates, phase_duration: f64) -> f64 {
    let mean = latencies.fleet_mean_or_initial(phase_duration);
    let slow = mean + SLOW_DEVIATIONS * latencies.fleet_deviation();
    slow.clamp(
        MIN_HEDGE_DELAY_FRACTION * phase_duration,
        MAX_HEDGE_DELAY_FRACTION * phase_duration,
    )
}

/// Whether a part's last attempt has been in flight for longer than `hedge_delay` and its replica appears slower than
/// the other replicas: it has not responded since the attempt was sent, or at least half of the phase's parts are
/// answered (`half_answered`).
pub fn is_due(
    batch: &Batch,
    replicas: &ReplicaSet,
    last: &Attempt,
    hedge_delay: f64,
    half_answered: bool,
) -> bool {
    let in_flight_for = (batch.now - last.sent_at) as f64;
    if in_flight_for <= hedge_delay {
        return false;
    }
    let replica = replicas.table().get(last.replica);
    let unresponsive_since_sent =
        replica.is_none_or(|replica| replica.stats().last_response_at <= last.sent_at);
    half_answered || unresponsive_since_sent
}

/// Whether the preferred replica for a hedged request is expected to answer in less time than the last attempt has been
/// in flight.
pub fn has_faster_replica(
    batch: &mut Batch,
    replicas: &mut ReplicaSet,
    part: &Part,
    last: &Attempt,
) -> bool {
    let Some(slot) = replicas.choose(batch, part) else {
        return false;
    };
    let replica = replicas.table().replica(slot);
    let latency = replicas.latencies().smoothed_latency(batch, replica);
    let calls = replicas.table().calls_in_flight(replica, batch.now) + 1;
    let in_flight_for = (batch.now - last.sent_at) as f64;
    latency * f64::from(calls) < in_flight_for
}
