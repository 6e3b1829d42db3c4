//! The recent outcomes of parts, with a running count of the bad ones.

use crate::Nanos;
use std::collections::VecDeque;

/// Outcomes of parts, oldest first.
#[derive(Debug, Default)]
pub struct RecentOutcomes {
    outcomes: VecDeque<PartOutcome>,
    bad: usize,
}

/// What became of one part.
#[derive(Debug)]
struct PartOutcome {
    recorded_at: Nanos,
    /// Whether the part was late or rejected.
    bad: bool,
}

impl RecentOutcomes {
    /// Records the outcome of a part: `bad` if it was late or rejected. Times must not go back.
    pub fn record(&mut self, now: Nanos, bad: bool) {
        self.outcomes.push_back(PartOutcome {
            recorded_at: now,
            bad,
        });
        self.bad += usize::from(bad);
    }

    /// Drops the outcomes that were recorded before `since`.
    pub fn forget_before(&mut self, since: Nanos) {
        while let Some(outcome) = self
            .outcomes
            .pop_front_if(|outcome| outcome.recorded_at < since)
        {
            self.bad -= usize::from(outcome.bad);
        }
    }

    /// How many outcomes are kept.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// How many of them are bad.
    pub fn bad_count(&self) -> usize {
        self.bad
    }
}
