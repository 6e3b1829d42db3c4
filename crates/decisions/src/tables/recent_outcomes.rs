//! The recent outcomes of parts, with a running count of the outcomes that signal overload.

use crate::Nanos;
use std::collections::VecDeque;

/// The recent outcomes of parts, oldest first.
#[derive(Debug, Default)]
pub struct RecentOutcomes {
    outcomes: VecDeque<PartOutcome>,
    overload_signals: usize,
}

/// The outcome of one part.
#[derive(Debug)]
struct PartOutcome {
    recorded_at: Nanos,
    /// See [`crate::weight_cutoff`].
    overload_signal: bool,
}

impl RecentOutcomes {
    /// Records the outcome of a part, and whether it signals overload. `now` must not be earlier than the time of any
    /// previous outcome.
    pub fn record(&mut self, now: Nanos, overload_signal: bool) {
        self.outcomes.push_back(PartOutcome {
            recorded_at: now,
            overload_signal,
        });
        self.overload_signals += usize::from(overload_signal);
    }

    /// Removes the outcomes that were recorded before `since`.
    pub fn remove_before(&mut self, since: Nanos) {
        while let Some(outcome) = self
            .outcomes
            .pop_front_if(|outcome| outcome.recorded_at < since)
        {
            self.overload_signals -= usize::from(outcome.overload_signal);
        }
    }

    /// Number of retained outcomes.
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Number of retained outcomes that signal overload.
    pub fn overload_signal_count(&self) -> usize {
        self.overload_signals
    }
}
