//! The parts in flight at one replica, and the calls that they share. Running totals make the cost of reading the
//! counts independent of the number of parts in flight.

use crate::Nanos;
use std::collections::VecDeque;

/// The parts in flight that were sent to one replica at the same time and share calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentParts {
    /// Time when they were sent.
    pub sent_at: Nanos,
    /// Number of these parts that are still in flight; at least 1.
    pub parts: u32,
}

/// The parts in flight at one replica.
#[derive(Debug, Default, PartialEq)]
pub struct PartsInFlight {
    by_time: VecDeque<SentParts>,
    parts: u32,
    /// Number of calls that contain these parts, including partly filled ones.
    calls: u32,
}

impl PartsInFlight {
    /// No parts.
    pub const EMPTY: PartsInFlight = PartsInFlight {
        by_time: VecDeque::new(),
        parts: 0,
        calls: 0,
    };

    /// Whether no part is in flight.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// Number of parts in flight.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// The parts in flight grouped by the time when they were sent, oldest first.
    pub fn by_time(&self) -> impl Iterator<Item = &SentParts> {
        self.by_time.iter()
    }

    /// Time when the oldest part in flight was sent.
    pub fn oldest_sent_at(&self) -> Option<Nanos> {
        self.by_time.front().map(|oldest| oldest.sent_at)
    }

    /// Time when the newest part in flight was sent.
    pub fn newest_sent_at(&self) -> Option<Nanos> {
        self.by_time.back().map(|newest| newest.sent_at)
    }

    /// Number of calls in flight, of at most `max_parts_per_call` parts each. A call opened at `now` that another part
    /// can still be added to is not counted.
    pub fn calls(&self, now: Nanos, max_parts_per_call: u32) -> u32 {
        let newest = self.by_time.back().filter(|newest| newest.sent_at == now);
        let can_extend_newest =
            newest.is_some_and(|newest| !newest.parts.is_multiple_of(max_parts_per_call));
        self.calls - u32::from(can_extend_newest)
    }

    /// Adds a part that is sent at `now`, which must not be earlier than the time of any previous part.
    pub fn add(&mut self, now: Nanos, max_parts_per_call: u32) {
        if self.newest_sent_at() != Some(now) {
            self.by_time.push_back(SentParts {
                sent_at: now,
                parts: 0,
            });
        }
        if let Some(newest) = self.by_time.back_mut() {
            self.calls += u32::from(newest.parts.is_multiple_of(max_parts_per_call));
            newest.parts += 1;
            self.parts += 1;
        }
    }

    /// Removes a part that was sent at `sent_at`. Returns false if no such part is in flight.
    pub fn remove(&mut self, sent_at: Nanos, max_parts_per_call: u32) -> bool {
        let found = self
            .by_time
            .binary_search_by_key(&sent_at, |sent| sent.sent_at);
        let Ok(index) = found else {
            return false;
        };
        self.parts -= 1;
        let sent = &mut self.by_time[index];
        sent.parts -= 1;
        self.calls -= u32::from(sent.parts.is_multiple_of(max_parts_per_call));
        if sent.parts == 0 {
            self.by_time.remove(index);
        }
        if self.by_time.is_empty() {
            // Frees the memory, since most replicas have no part in flight.
            self.by_time = VecDeque::new();
        }
        true
    }
}
