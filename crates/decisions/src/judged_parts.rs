//! The parts that were judged lately, good or bad, with a running count of the bad ones.

use crate::Nanos;
use std::collections::VecDeque;

/// Verdicts on parts, oldest first.
#[derive(Debug, Default)]
pub struct JudgedParts {
    verdicts: VecDeque<(Nanos, bool)>,
    bad: usize,
}

impl JudgedParts {
    /// Adds a verdict; times must not go back.
    pub fn push(&mut self, now: Nanos, bad: bool) {
        self.verdicts.push_back((now, bad));
        self.bad += usize::from(bad);
    }

    /// Drops the verdicts from before `since`.
    pub fn forget_before(&mut self, since: Nanos) {
        while let Some((_, bad)) = self.verdicts.pop_front_if(|(at, _)| *at < since) {
            self.bad -= usize::from(bad);
        }
    }

    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// How many of them are bad.
    pub fn bad(&self) -> usize {
        self.bad
    }
}
