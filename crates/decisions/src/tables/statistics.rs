//! Running statistics: times in a window, a decaying count, a mean with its deviation, a majority vote.

use crate::Nanos;
use std::collections::VecDeque;

/// Times of recent events, oldest first.
#[derive(Debug, Default, PartialEq)]
pub struct TimeWindow {
    times: VecDeque<Nanos>,
}

impl TimeWindow {
    /// A window without events.
    pub const EMPTY: TimeWindow = TimeWindow {
        times: VecDeque::new(),
    };

    /// Adds an event; times must not go back.
    pub fn push(&mut self, now: Nanos) {
        self.times.push_back(now);
    }

    /// Drops the events before `since`.
    pub fn forget_before(&mut self, since: Nanos) {
        while self.times.front().is_some_and(|at| *at < since) {
            self.times.pop_front();
        }
    }

    /// How many events are kept.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// How many events were at `since` or later.
    pub fn count_from(&self, since: Nanos) -> usize {
        self.times.len() - self.times.partition_point(|at| *at < since)
    }
}

/// A count of events that decays exponentially.
#[derive(Debug, Default)]
pub struct DecayingCount {
    count: f64,
    counted_at: Nanos,
}

impl DecayingCount {
    /// Counts an event; earlier events decay with this time constant, ns.
    pub fn add(&mut self, now: Nanos, time_constant: f64) {
        let kept = (-((now - self.counted_at) as f64) / time_constant).exp();
        self.count = self.count * kept + 1.0;
        self.counted_at = now;
    }

    /// The count as of the last event.
    pub fn count(&self) -> f64 {
        self.count
    }
}

/// An exponentially weighted mean.
#[derive(Debug, Default, PartialEq)]
pub struct SmoothedMean {
    mean: Option<f64>,
}

impl SmoothedMean {
    /// The mean of no samples.
    pub const NONE: SmoothedMean = SmoothedMean { mean: None };

    /// Adds a sample of this weight and returns the new mean.
    pub fn add(&mut self, sample: f64, weight: f64) -> f64 {
        let mean = self.mean.unwrap_or(sample);
        *self.mean.insert(mean + weight * (sample - mean))
    }

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

/// An exponentially weighted mean and the mean deviation from it.
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

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// The mean deviation; 0 before the second sample.
    pub fn deviation(&self) -> f64 {
        self.deviation
    }
}

/// The most common duration, by a running (Boyer-Moore) majority vote.
#[derive(Debug, Default)]
pub struct MajorityDuration {
    duration: Nanos,
    lead: u32,
}

impl MajorityDuration {
    /// Counts a vote: for the current majority if `duration` is within `tolerance` of it, else against it. The lead
    /// grows to `max_lead` votes.
    pub fn vote(&mut self, duration: Nanos, tolerance: Nanos, max_lead: u32) {
        if self.lead == 0 {
            self.duration = duration;
            self.lead = 1;
        } else if self.is_near(duration, tolerance) {
            self.lead = (self.lead + 1).min(max_lead);
        } else {
            self.lead -= 1;
        }
    }

    /// Whether any duration leads.
    pub fn is_known(&self) -> bool {
        self.lead > 0
    }

    /// Whether a duration is within `tolerance` of the last one to lead.
    pub fn is_near(&self, duration: Nanos, tolerance: Nanos) -> bool {
        duration.abs_diff(self.duration) <= tolerance
    }
}
