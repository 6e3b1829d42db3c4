//! Running statistics: event times in a window, a decaying count, smoothed means, a mean deviation and a majority vote.

use crate::Nanos;
use std::collections::VecDeque;

/// Times of recent events, oldest first.
#[derive(Debug, Default, PartialEq)]
pub struct TimeWindow {
    times: VecDeque<Nanos>,
}

impl TimeWindow {
    /// A window that contains no events.
    pub const EMPTY: TimeWindow = TimeWindow {
        times: VecDeque::new(),
    };

    /// Adds an event at `now`, which must not be earlier than the time of any previous event.
    pub fn push(&mut self, now: Nanos) {
        self.times.push_back(now);
    }

    /// Removes the events before `since`.
    pub fn remove_before(&mut self, since: Nanos) {
        while self.times.front().is_some_and(|time| *time < since) {
            self.times.pop_front();
        }
    }

    /// Number of retained events.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Number of events at or after `since`.
    pub fn count_from(&self, since: Nanos) -> usize {
        self.times.len() - self.times.partition_point(|time| *time < since)
    }
}

/// A count of events that decays exponentially.
#[derive(Debug, Default)]
pub struct DecayingCount {
    count: f64,
    counted_at: Nanos,
}

impl DecayingCount {
    /// Counts an event. Earlier events decay with `time_constant`, ns.
    pub fn add(&mut self, now: Nanos, time_constant: f64) {
        let decay_factor = (-((now - self.counted_at) as f64) / time_constant).exp();
        self.count = self.count * decay_factor + 1.0;
        self.counted_at = now;
    }

    /// The count at the time of the last event.
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
    pub const EMPTY: SmoothedMean = SmoothedMean { mean: None };

    /// Adds a sample with weight `weight` and returns the new mean.
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
    /// Adds a sample with weight `weight`.
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
    /// Counts a vote for the current majority if `duration` is within `tolerance` of it, else a vote against it. The
    /// lead of the majority is at most `max_lead` votes.
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

    /// Whether any duration has a majority.
    pub fn has_majority(&self) -> bool {
        self.lead > 0
    }

    /// Whether a duration is within `tolerance` of the last duration that had a majority.
    pub fn is_near(&self, duration: Nanos, tolerance: Nanos) -> bool {
        duration.abs_diff(self.duration) <= tolerance
    }
}
