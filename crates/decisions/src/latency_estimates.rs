//! Estimates of the replicas' latencies.

use crate::batch::Batch;
use crate::replica_set::EndedAttempt;
use crate::tables::replica_table::Replica;
use crate::tables::statistics::MeanAndDeviation;
use crate::timing::OVERDUE_FRACTION;
use crate::Outcome;

/// Latency assumed before the first answer, as a fraction of the available time.
const INITIAL_LATENCY_FRACTION: f64 = 0.1;
/// Weight of an answer in a replica's smoothed latency.
pub const ANSWER_SMOOTHING: f64 = 0.2;
/// Weight of a failed attempt or probe in a replica's smoothed latency. With a lower weight, a replica that fails
/// quickly would be preferred as a fast one and receive all parts.
const FAILURE_SMOOTHING: f64 = 0.6;
/// Weight of an answer in the mean over all replicas, which has far more samples than that of one replica.
const FLEET_SMOOTHING: f64 = 0.03;

/// Mean latency over all replicas, and estimates of single replicas' latencies.
#[derive(Debug, Default)]
pub struct LatencyEstimates {
    fleet: MeanAndDeviation,
}

impl LatencyEstimates {
    /// Records the latency of a successful attempt, ns.
    pub fn record_answer(&mut self, latency: f64) {
        self.fleet.add(latency, FLEET_SMOOTHING);
    }

    /// Mean latency over all replicas, ns; `None` before the first answer.
    pub fn fleet_mean(&self) -> Option<f64> {
        self.fleet.mean()
    }

    /// Mean latency over all replicas, ns; before the first answer, a fixed fraction of `time_available`.
    pub fn fleet_mean_or_initial(&self, time_available: f64) -> f64 {
        self.fleet
            .mean()
            .unwrap_or(INITIAL_LATENCY_FRACTION * time_available)
    }

    /// Mean deviation of the latency over all replicas, ns.
    pub fn fleet_deviation(&self) -> f64 {
        self.fleet.deviation()
    }

    /// The replica's estimated latency, ns: its smoothed latency, but at least the time for which it has been
    /// unresponsive, so that a replica that hangs counts as slow before its next answer.
    pub fn latency(&self, batch: &Batch, replica: &Replica) -> f64 {
        self.smoothed_latency(batch, replica)
            .max(replica.unresponsive_for(batch.now) as f64)
    }

    /// The replica's smoothed latency, ns. It decays to the mean over all replicas while it is not updated.
    pub fn smoothed_latency(&self, batch: &Batch, replica: &Replica) -> f64 {
        let mean = self.fleet_mean_or_initial(batch.timing.shortest_objective);
        let stats = replica.stats();
        stats.latency.map_or(mean, |own| {
            let age = batch.age_in_decay_times(stats.latency_updated_at);
            mean + (own - mean) * (-age).exp()
        })
    }

    /// The replica's new smoothed latency after an attempt or probe has ended, ns. `failed` is the result of
    /// [`crate::outlier_detection::is_failure`] for it.
    pub fn updated_latency(
        &self,
        batch: &Batch,
        replica: &Replica,
        attempt: &EndedAttempt,
        failed: bool,
    ) -> f64 {
        let age = (batch.now - attempt.sent_at) as f64;
        let latency = self.latency(batch, replica);
        let smoothed = self.smoothed_latency(batch, replica);
        let sample = match attempt.outcome {
            Outcome::Ok => age,
            Outcome::NotSent => latency,
            Outcome::Cancelled => age.max(latency),
            _ => latency.max(OVERDUE_FRACTION * batch.timing.shortest_objective),
        };
        let weight = if failed {
            FAILURE_SMOOTHING
        } else {
            ANSWER_SMOOTHING
        };
        smoothed + weight * (sample - smoothed)
    }
}
