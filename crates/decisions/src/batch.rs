//! What all decisions of one batch share: the time, the settings, randomness, and the actions decided on.

use crate::tables::query_table::Query;
use crate::timing::Timing;
use crate::{Action, Class, Nanos, Settings};

/// The environment in which the events of one batch are processed.
#[derive(Debug)]
pub struct Batch<'a> {
    /// The time of the batch.
    pub now: Nanos,
    /// The coordinator's settings.
    pub settings: &'a Settings,
    /// Durations that follow from the settings.
    pub timing: &'a Timing,
    /// The coordinator's source of randomness; each draw changes all later ones.
    pub random: &'a mut fastrand::Rng,
    /// The actions decided on so far, in order.
    pub actions: &'a mut Vec<Action>,
    /// Log lines, which are written after all other actions.
    pub log_lines: Vec<String>,
}

impl<'a> Batch<'a> {
    /// The settings of a query's class.
    pub fn class(&self, query: &Query) -> &'a Class {
        &self.settings.classes[query.class]
    }

    /// How long ago the time `at` was, in fade times; see [`Timing::fade_time`].
    pub fn age_in_fade_times(&self, at: Nanos) -> f64 {
        self.now.saturating_sub(at) as f64 / self.timing.fade_time()
    }
}
