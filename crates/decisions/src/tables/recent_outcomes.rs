//! The recent outcomes of parts, with a running count of those that signal overload.

use crate::Nanos;
use std::collections::VecDeque;

/// Outcomes of parts, oldest first.
#[derive(Debug, Default)]
pub struct RecentOutcomes {
    outcomes: VecDeque<PartOutcome>,
    overload_signals: usize,
}

/// What became of one part.
#[derive(Debug)]
struct PartOutcome {
    recorded_at: Nanos,
    /// See [`crate::weight_cutoff`].
    overload_signal: bool,
}

impl RecentOutcomes {
    /// Records the outcome of a part, and whether it signals overload. Times must not go back.
    pub fn record(&mut self, now: Nanos, overload_signal: bool) {
        self.outcomes.push_back(PartOutcome {
            recorded_at: now,
            overload_signal,
        });
        self.overload_signals += usize::from(overload_signal);
    }

    /// Drops the outcomes that were recorded before `since`.
    pub fn forget_before(&mut self, since: Nanos) {
        while let Some(outcome) = self
            .outcomes
            .pop_front_if(|outcome| outcome.recorded_at < since)
        {
            self.overload_signals -= usize::from(outcome.overload_signal);
        }
    }

    /// How many outcomes are kept.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// How many of them signal overload.
    pub fn overload_signal_count(&self) -> usize {
        self.overload_signals
    }
}
