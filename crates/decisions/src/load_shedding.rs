//! Load shedding: rejects a fraction of all queries while replicas reject retries and hedged requests, or while queries
//! end without an answer after they have used capacity of replicas.
//!
//! An admitted query uses capacity until its parts have run, even if it is never answered. If all replicas of a shard
//! reject parts, an additional query displaces parts of other queries and is itself not answered. These rejections are
//! the only sign that a coordinator has of the load from other coordinators. Each coordinator therefore starts to shed
//! load immediately, and sheds less with each answer.

/// Weight of the rejection of a retry or hedged request in the fraction of queries shed.
const EXTRA_ATTEMPT_REJECTED_WEIGHT: f64 = 0.25;
/// Weight of a query that ended without an answer although replicas had executed parts of it or were executing them.
const WASTED_QUERY_WEIGHT: f64 = 0.6;
/// Relative decrease of the fraction of queries shed with each answered part.
const RECOVERY_PER_ANSWER: f64 = 0.03;
/// Minimum fraction of queries that are admitted: their answers are needed to detect the recovery.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// Decides which queries are shed, and adapts the fraction of queries shed.
#[derive(Debug, Default)]
pub struct LoadShedding {
    load_shed_fraction: f64,
}

impl LoadShedding {
    /// Whether to reject the next query. Draws a random number only while the fraction of queries shed is above zero.
    pub fn should_shed(&self, random: &mut fastrand::Rng) -> bool {
        self.load_shed_fraction > 0.0 && random.f64() < self.load_shed_fraction
    }

    /// Records that a replica rejected a retry or hedged request.
    pub fn record_extra_attempt_rejected(&mut self) {
        self.increase(EXTRA_ATTEMPT_REJECTED_WEIGHT);
    }

    /// Records that a query ended without an answer although replicas had executed parts of it or may still be
    /// executing them.
    pub fn record_wasted_query(&mut self) {
        self.increase(WASTED_QUERY_WEIGHT);
    }

    /// Records an answered part.
    pub fn record_answer(&mut self) {
        self.load_shed_fraction *= 1.0 - RECOVERY_PER_ANSWER;
    }

    fn increase(&mut self, weight: f64) {
        let headroom = (1.0 - MIN_ADMITTED_FRACTION - self.load_shed_fraction).max(0.0);
        self.load_shed_fraction += weight * headroom;
    }
}
