//! The parts of ours that are out at one replica, and the calls that they share. Its totals are kept as parts go
//! out and come back, so that a look costs the same however many are out. It decides nothing.

use crate::Nanos;
use std::collections::VecDeque;

/// Parts that were sent to one replica at one time and share its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentParts {
    pub sent: Nanos,
    pub parts: u32,
}

/// The parts that are out at one replica.
#[derive(Debug, Default, PartialEq)]
pub struct OpenParts {
    by_time: VecDeque<SentParts>,
    parts: u32,
    /// Calls that they fill, one that is partly filled included.
    calls: u32,
}

impl OpenParts {
    pub const NONE: OpenParts = OpenParts {
        by_time: VecDeque::new(),
        parts: 0,
        calls: 0,
    };

    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }

    /// How many are out.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Parts by the time when they were sent, oldest first.
    pub fn by_time(&self) -> impl Iterator<Item = &SentParts> {
        self.by_time.iter()
    }

    /// When the oldest that is out was sent.
    pub fn oldest(&self) -> Option<Nanos> {
        self.by_time.front().map(|oldest| oldest.sent)
    }

    /// When the last one that is out was sent.
    pub fn newest(&self) -> Option<Nanos> {
        self.by_time.back().map(|newest| newest.sent)
    }

    /// Calls open, of so many parts each at most; one opened at `now` with room for one more part is not counted.
    pub fn calls(&self, now: Nanos, call_parts: u32) -> u32 {
        let newest = self.by_time.back().filter(|newest| newest.sent == now);
        let with_room = newest.is_some_and(|newest| !newest.parts.is_multiple_of(call_parts));
        self.calls - u32::from(with_room)
    }

    /// Adds a part that is sent now; times must not go back.
    pub fn send(&mut self, now: Nanos, call_parts: u32) {
        if self.newest() != Some(now) {
            self.by_time.push_back(SentParts {
                sent: now,
                parts: 0,
            });
        }
        if let Some(newest) = self.by_time.back_mut() {
            self.calls += u32::from(newest.parts.is_multiple_of(call_parts));
            newest.parts += 1;
            self.parts += 1;
        }
    }

    /// Takes off a part that was sent at `sent`; false where none was or all are back.
    pub fn end(&mut self, sent: Nanos, call_parts: u32) -> bool {
        let Ok(i) = self.by_time.binary_search_by_key(&sent, |parts| parts.sent) else {
            return false;
        };
        self.parts -= 1;
        self.by_time[i].parts -= 1;
        self.calls -= u32::from(self.by_time[i].parts.is_multiple_of(call_parts));
        if self.by_time[i].parts == 0 {
            self.by_time.remove(i);
        }
        if self.by_time.is_empty() {
            self.by_time = VecDeque::new();
        }
        true
    }
}
