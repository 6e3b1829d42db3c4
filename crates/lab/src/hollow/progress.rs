//! The version of the endpoint list in force at each mixer, and the delay since its publication by discovery.

use cottonhill_standins::discovery::Version;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Instant;

/// Significant digits of the recorded delays.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Ten minutes; longer delays are recorded as this one.
const MAX_DELAY_US: u64 = 600_000_000;

/// Shared by the threads of the mixers and the measuring thread.
pub(super) struct Progress {
    versions: Vec<AtomicU64>,
    /// Time of publication by version.
    published: RwLock<BTreeMap<Version, Instant>>,
    delays_us: Mutex<Histogram<u64>>,
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_DELAY_US, SIGNIFICANT_DIGITS);
    bounded.unwrap_or_else(|_| unreachable!("the constants are within the bounds of the histogram"))
}

impl Progress {
    pub fn new(mixers: usize) -> Progress {
        Progress {
            versions: (0..mixers).map(|_| AtomicU64::new(0)).collect(),
            published: RwLock::default(),
            delays_us: Mutex::new(histogram()),
        }
    }

    /// Records the publication of a version by discovery; a later time replaces an earlier one.
    pub fn record_published(&self, version: Version, at: Instant) {
        self.published
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(version, at);
    }

    /// Records that a mixer has a version in force. The delay of its first version counts from the mixer's start, that
    /// of later versions from their publication. The delays are recorded before the version is stored, so that they
    /// are complete once the last mixer's version is visible.
    pub fn record_in_force(&self, mixer: usize, version: Version, started: Instant) {
        let now = Instant::now();
        let previous = self.versions[mixer].load(Ordering::SeqCst);
        if previous >= version {
            return;
        }
        if previous == 0 {
            self.record_delay(now, started);
        } else {
            let published = self
                .published
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            published
                .range(previous + 1..=version)
                .for_each(|(_, at)| self.record_delay(now, *at));
        }
        self.versions[mixer].store(version, Ordering::SeqCst);
    }

    fn record_delay(&self, now: Instant, since: Instant) {
        let delay_us = now.saturating_duration_since(since).as_micros() as u64;
        let mut delays = self
            .delays_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        delays.saturating_record(delay_us.max(1));
    }

    /// Number of mixers that do not have this version in force yet.
    pub fn lagging(&self, version: Version) -> usize {
        self.versions
            .iter()
            .filter(|current| current.load(Ordering::SeqCst) < version)
            .count()
    }

    /// Returns the delays since the last call, in microseconds.
    pub fn take_delays(&self) -> Histogram<u64> {
        std::mem::replace(
            &mut self
                .delays_us
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
            histogram(),
        )
    }
}
