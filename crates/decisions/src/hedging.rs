//! Hedging: sending a part that takes long to a second replica as well.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::replica_set::ReplicaSet;
use crate::retry_budget::RetryBudgetUsage;
use crate::tables::query_table::{Attempt, Part};

/// Deviations above the mean latency from which on an attempt is slow.
const SLOW_DEVIATIONS: f64 = 4.0;
/// Bounds of the time after which a part may be hedged, as fractions of its phase's duration: the hedged request needs
/// time as well.
pub const MIN_HEDGE_DELAY_FRACTION: f64 = 0.125;
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.4;
/// Recent extra attempts, retries included, from which on no part is hedged, however few parts there are;
/// [`RetryBudgetUsage`] says what is recent.
const MIN_EXTRA_ATTEMPT_LIMIT: f64 = 3.0;
/// By how much each recent query or part raises that limit.
const EXTRA_ATTEMPT_LIMIT_PER_PART: f64 = 0.15;
/// Weight of one hedged part in the rate at which first attempts win.
const WIN_RATE_SMOOTHING: f64 = 0.1;

/// Limits hedged requests by how often they help, since each adds load.
#[derive(Debug, Default)]
pub struct Hedging {
    /// Fraction of the hedged parts whose first attempt answered before the hedged request.
    first_attempt_win_rate: f64,
}

impl Hedging {
    /// A part with several attempts in flight was answered, by the first of them or not.
    pub fn record_hedged_answer(&mut self, first_attempt_won: bool) {
        let won = f64::from(u8::from(first_attempt_won));
        self.first_attempt_win_rate += WIN_RATE_SMOOTHING * (won - self.first_attempt_win_rate);
    }

    /// Whether one more hedged request is allowed, by the retries and hedged requests within the retention time of
    /// [`RetryBudgetUsage`]. The limit grows with the queries and parts received in that time or the parts open, and
    /// falls to the minimum where first attempts nearly always win.
    pub fn allows_hedge(&self, usage: &RetryBudgetUsage, open_parts: usize) -> bool {
        let parts = usage.recent_arrivals().max(open_parts);
        let success_factor = (1.5 - 2.0 * self.first_attempt_win_rate).clamp(0.0, 1.0);
        let limit =
            MIN_EXTRA_ATTEMPT_LIMIT + EXTRA_ATTEMPT_LIMIT_PER_PART * parts as f64 * success_factor;
        (usage.recent_extra_attempts() as f64) < limit
    }
}

/// How long to wait for an attempt of a phase of this duration before the part is hedged, ns.
pub fn hedge_delay(latencies: &LatencyEstimates, phase_duration: f64) -> f64 {
    let mean = latencies.fleet_mean_or_initial(phase_duration);
    let slow = mean + SLOW_DEVIATIONS * latencies.fleet_deviation();
    slow.clamp(
        MIN_HEDGE_DELAY_FRACTION * phase_duration,
        MAX_HEDGE_DELAY_FRACTION * phase_duration,
    )
}

/// Whether a part's last attempt has been in flight for longer than `hedge_delay`, and its replica rather than the
/// whole fleet seems slow: it has not responded since, or at least half of the phase's parts are answered
/// (`half_answered`).
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
    let silent_since_sent =
        replica.is_none_or(|replica| replica.stats().last_response_at <= last.sent_at);
    half_answered || silent_since_sent
}

/// Whether the best replica for a hedged request is expected to answer within the time that the part has been in
/// flight.
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
