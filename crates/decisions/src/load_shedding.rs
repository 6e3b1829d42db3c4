//! Load shedding: rejecting a fraction of all queries while replicas reject parts.
//!
//! An admitted query takes up capacity until it has run, answered or not. Where all holders of a shard reject parts,
//! one more query costs other queries their parts and is itself lost. These rejections are all that a coordinator sees
//! of the load from the others, so each sheds load at once, and less again with each answer.

/// Weight of a part's repeated rejection in the fraction shed.
const REPEATED_REJECTION_WEIGHT: f64 = 0.25;
/// Weight of a query given up after replicas had worked for it.
const WASTED_QUERY_WEIGHT: f64 = 0.6;
/// By how much each answered part reduces the fraction shed.
const RECOVERY_PER_ANSWER: f64 = 0.03;
/// Least fraction of the queries that is admitted: without their answers, recovery would go unnoticed.
const MIN_ADMITTED_FRACTION: f64 = 0.1;

/// Rejects a fraction of all queries.
#[derive(Debug, Default)]
pub struct LoadShedding {
    load_shed_fraction: f64,
}

impl LoadShedding {
    /// Whether to reject the next query. Draws a random number only while load is shed.
    pub fn should_shed(&self, random: &mut fastrand::Rng) -> bool {
        self.load_shed_fraction > 0.0 && random.f64() < self.load_shed_fraction
    }

    /// A replica rejected a part that another attempt had been made for.
    pub fn record_repeated_rejection(&mut self) {
        self.increase(REPEATED_REJECTION_WEIGHT);
    }

    /// A query was given up after replicas had worked for it.
    pub fn record_wasted_query(&mut self) {
        self.increase(WASTED_QUERY_WEIGHT);
    }

    /// A part was answered.
    pub fn record_answer(&mut self) {
        self.load_shed_fraction *= 1.0 - RECOVERY_PER_ANSWER;
    }

    fn increase(&mut self, weight: f64) {
        let headroom = (1.0 - MIN_ADMITTED_FRACTION - self.load_shed_fraction).max(0.0);
        self.load_shed_fraction += weight * headroom;
    }
}
