//! The weight cutoff: while many parts signal overload, the lightest parts of queries are not sent.
//!
//! A part signals overload if it is overdue or rejected, or if no connection to its replica could be established and
//! the caller classifies that as overload.

use crate::batch::Batch;
use crate::tables::query_table::{Part, Query};
use crate::tables::recent_outcomes::RecentOutcomes;
use crate::timing::NS_PER_SECOND;
use crate::{Nanos, Outcome};

/// Maximum of the cutoff, as a fraction of a phase's weight.
const MAX_CUTOFF: f64 = 0.125;
/// Increment of the cutoff, as a fraction of a phase's weight.
const CUTOFF_STEP: f64 = MAX_CUTOFF / 4.0;
/// Fraction of the recent parts with an overload signal above which the cutoff is raised.
const MAX_OVERLOAD_SIGNAL_FRACTION: f64 = 0.1;
/// Minimum number of recent parts for that fraction to be used; with fewer parts it is too noisy.
const MIN_OUTCOMES: usize = 8;
/// Retention time of the outcomes of parts, ns.
const OUTCOME_WINDOW_NS: Nanos = NS_PER_SECOND;
/// Minimum time between two changes of the cutoff, ns.
const MIN_CHANGE_INTERVAL_NS: Nanos = NS_PER_SECOND;
/// Time without overload after which the cutoff is reset to zero, ns.
const RECOVERY_TIME_NS: Nanos = 2 * NS_PER_SECOND;

/// The weight below which parts are not sent, and the recent outcomes of parts from which it is derived.
#[derive(Debug, Default)]
pub struct WeightCutoff {
    outcomes: RecentOutcomes,
    /// The cutoff as a fraction of a phase's weight; 0 while all parts are sent.
    cutoff: f64,
    changed_at: Nanos,
    last_overload_at: Nanos,
}

impl WeightCutoff {
    /// Records that a part is overdue, unless its outcome is already recorded.
    pub fn record_overdue_part(&mut self, now: Nanos, part: &mut Part) {
        self.record_outcome(now, part, true);
    }

    /// Records the end of an attempt as the part's outcome if the part is answered or the attempt signals overload,
    /// unless an outcome of the part is already recorded. An attempt signals overload if the replica rejected it, or if
    /// no connection could be established and `connect_failure_is_overload` is true.
    pub fn record_attempt_end(
        &mut self,
        now: Nanos,
        part: &mut Part,
        outcome: Outcome,
        connect_failure_is_overload: bool,
    ) {
        let overload_signal = match outcome {
            Outcome::Rejected => true,
            Outcome::ConnectFailed => connect_failure_is_overload,
            _ => false,
        };
        if part.answered || overload_signal {
            self.record_outcome(now, part, overload_signal);
        }
    }

    fn record_outcome(&mut self, now: Nanos, part: &mut Part, overload_signal: bool) {
        if !part.outcome_recorded {
            part.outcome_recorded = true;
            self.outcomes.record(now, overload_signal);
        }
    }

    /// Raises the cutoff during overload, and resets it to zero after [`RECOVERY_TIME_NS`] without overload.
    pub fn update(&mut self, batch: &mut Batch) {
        let since = batch.now.saturating_sub(OUTCOME_WINDOW_NS);
        self.outcomes.remove_before(since);
        let overloaded = is_overloaded(&self.outcomes);
        if overloaded {
            self.last_overload_at = batch.now;
        }
        if batch.now.saturating_sub(self.changed_at) < MIN_CHANGE_INTERVAL_NS {
            return;
        }
        let since_overload = batch.now.saturating_sub(self.last_overload_at);
        if overloaded {
            self.set_cutoff(batch, (self.cutoff + CUTOFF_STEP).min(MAX_CUTOFF));
        } else if since_overload >= RECOVERY_TIME_NS {
            self.set_cutoff(batch, 0.0);
        }
    }

    fn set_cutoff(&mut self, batch: &mut Batch, cutoff: f64) {
        if cutoff == self.cutoff {
            return;
        }
        if self.cutoff == 0.0 {
            let line = "weight cutoff raised from zero: not sending the lightest parts";
            batch.log_lines.push(line.into());
        } else if cutoff == 0.0 {
            batch
                .log_lines
                .push("weight cutoff reset to zero: sending all parts".into());
        }
        self.cutoff = cutoff;
        self.changed_at = batch.now;
    }

    /// Marks parts with a weight below the cutoff as skipped, in ascending order of weight, up to a limit on their
    /// total weight. At the maximum cutoff, the limit is the weight above the class's minimum coverage; at a lower
    /// cutoff, it is proportionally lower.
    pub fn skip_light_parts(&self, batch: &Batch, query: &mut Query) {
        let minimum_coverage = batch.class(query).minimum_coverage;
        if self.cutoff <= 0.0 || minimum_coverage >= 1.0 {
            return;
        }
        let sent_weight: f64 = query
            .parts
            .iter()
            .filter(|part| !part.skipped)
            .map(|part| part.weight)
            .sum();
        let mut spare_weight = (sent_weight - minimum_coverage) * self.cutoff / MAX_CUTOFF;
        for index in query.parts_by_weight() {
            let part = &mut query.parts[index];
            if part.weight >= self.cutoff || part.weight > spare_weight {
                return;
            }
            if !part.skipped {
                spare_weight -= part.weight;
            }
            part.skipped = true;
        }
    }
}

fn is_overloaded(outcomes: &RecentOutcomes) -> bool {
    let count = outcomes.len();
    count >= MIN_OUTCOMES
        && outcomes.overload_signal_count() as f64 > MAX_OVERLOAD_SIGNAL_FRACTION * count as f64
}
