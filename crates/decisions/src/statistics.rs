//! Running figures: times in a window, a count that fades, a mean with its deviation, what is usual. They decide
//! nothing.

use crate::Nanos;
use std::collections::VecDeque;

/// Times of the latest events, oldest first.
#[derive(Debug, Default, PartialEq)]
pub struct TimeWindow {
    times: VecDeque<Nanos>,
}

impl TimeWindow {
    pub const EMPTY: TimeWindow = TimeWindow {
        times: VecDeque::new(),
    };

    /// Adds an event; times must not go back.
    pub fn push(&mut self, now: Nanos) {
        self.times.push_back(now);
    }

    /// Drops the events from before `since`.
    pub fn forget_before(&mut self, since: Nanos) {
        while self.times.front().is_some_and(|at| *at < since) {
            self.times.pop_front();
        }
    }

    pub fn len(&self) -> usize {
        self.times.len()
    }

    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    /// How many were at `since` or later.
    pub fn count_from(&self, since: Nanos) -> usize {
        self.times.len() - self.times.partition_point(|at| *at < since)
    }
}

/// A count of events that fades exponentially.
#[derive(Debug, Default)]
pub struct FadingCount {
    count: f64,
    counted: Nanos,
}

impl FadingCount {
    /// Counts an event; what was counted before fades over `memory` nanoseconds.
    pub fn add(&mut self, now: Nanos, memory: f64) {
        let kept = (-((now - self.counted) as f64) / memory).exp();
        (self.count, self.counted) = (self.count * kept + 1.0, now);
    }

    /// The count as of the last event.
    pub fn count(&self) -> f64 {
        self.count
    }
}

/// A smoothed mean.
#[derive(Debug, Default, PartialEq)]
pub struct SmoothedMean {
    mean: Option<f64>,
}

impl SmoothedMean {
    /// The mean of no samples.
    pub const NONE: SmoothedMean = SmoothedMean { mean: None };

    /// Adds a sample of this weight; the mean with it.
    pub fn add(&mut self, sample: f64, weight: f64) -> f64 {
        let mean = self.mean.unwrap_or(sample);
        *self.mean.insert(mean + weight * (sample - mean))
    }

    /// None before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// A smoothed mean and the smoothed deviation from it.
#[derive(Debug, Default)]
pub struct MeanAndDeviation {
    mean: Option<f64>,
    deviation: f64,
}

impl MeanAndDeviation {
    /// Adds a sample of this weight.
    pub fn add(&mut self, sample: f64, weight: f64) {
        let mean = self.mean.unwrap_or(sample);
        self.deviation += weight * ((sample - mean).abs() - self.deviation);
        self.mean = Some(mean + weight * (sample - mean));
    }

    /// None before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    pub fn deviation(&self) -> f64 {
        self.deviation
    }
}

/// The client timeout that most queries have, by a running majority vote.
#[derive(Debug, Default)]
pub struct UsualTimeout {
    timeout: Nanos,
    lead: u32,
}

impl UsualTimeout {
    /// Takes a vote: for what is usual within `tolerance`, else against it. The lead grows to `most` votes.
    pub fn vote(&mut self, timeout: Nanos, tolerance: Nanos, most: u32) {
        if self.lead == 0 {
            (self.timeout, self.lead) = (timeout, 1);
        } else if self.is_like(timeout, tolerance) {
            self.lead = (self.lead + 1).min(most);
        } else {
            self.lead -= 1;
        }
    }

    /// Whether any leads.
    pub fn is_known(&self) -> bool {
        self.lead > 0
    }

    /// Whether a timeout is the usual one, or that was the last one to lead.
    pub fn is_like(&self, timeout: Nanos, tolerance: Nanos) -> bool {
        timeout.abs_diff(self.timeout) <= tolerance
    }
}
