//! The context of one batch: its time, the settings, the random number generator and the resulting actions.

use crate::tables::query_table::Query;
use crate::timing::Timing;
use crate::{Action, Class, Nanos, Settings};

/// The context in which the events of one batch are processed.
#[derive(Debug)]
pub struct Batch<'a> {
    /// The time of the batch.
    pub now: Nanos,
    /// The coordinator's settings.
    pub settings: &'a Settings,
    /// Durations derived from the settings.
    pub timing: &'a Timing,
    /// The coordinator's random number generator. An additional draw changes the results of all later draws.
    pub random: &'a mut fastrand::Rng,
    /// The actions so far, in order.
    pub actions: &'a mut Vec<Action>,
    /// Log lines; they are appended after all other actions.
    pub log_lines: Vec<String>,
}

impl<'a> Batch<'a> {
    /// The settings of a query's class.
    pub fn class(&self, query: &Query) -> &'a Class {
        &self.settings.classes[query.class]
    }

    /// Time elapsed since `time`, in multiples of [`Timing::decay_time`].
    pub fn age_in_decay_times(&self, time: Nanos) -> f64 {
        self.now.saturating_sub(time) as f64 / self.timing.decay_time()
    }
}
