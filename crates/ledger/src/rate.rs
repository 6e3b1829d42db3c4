//! What uses cost. Pure, in whole micro-units.
//!
//! A line counts the uses of one tenant and class in one period. Whole answers cost their price each; partial ones
//! cost their price times the sum of their shares, rounded **once a line**, half a micro-unit up. Refused and failed
//! uses and those whose client left are free, and counted.

use crate::join::{Outcome, Use};
use crate::settings::Price;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};

/// What a line counts. All of it adds up, so the difference of two counts is one, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub uses: i64,
    pub whole: i64,
    pub partial: i64,
    /// Of the partial answers together, in millionths.
    pub share: i64,
    pub refused: i64,
    pub failed: i64,
    pub left: i64,
    /// Records, first tries and retries.
    pub tries: i64,
    pub parts: i64,
    pub attempts: i64,
    /// Attempts to another zone.
    pub crossed: i64,
    /// Uses with a join that might have been another.
    pub ambiguous: i64,
}

impl Counts {
    pub fn add(&mut self, it: &Use) {
        self.uses += 1;
        match it.outcome {
            Outcome::Whole => self.whole += 1,
            Outcome::Partial(share) => {
                self.partial += 1;
                self.share += i64::from(share);
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Left => self.left += 1,
        }
        self.tries += it.tries.len() as i64;
        for one in &it.tries {
            self.parts += i64::from(one.parts);
            self.attempts += i64::from(one.attempts);
            self.crossed += i64::from(one.crossed);
        }
        self.ambiguous += i64::from(!it.ambiguous.is_empty());
    }

    /// Uses that were answered.
    pub fn answered(&self) -> i64 {
        self.whole + self.partial
    }

    pub fn is_zero(&self) -> bool {
        *self == Counts::default()
    }

    /// In the order of [`Counts::NAMES`].
    pub fn values(&self) -> [i64; 12] {
        let Counts {
            uses,
            whole,
            partial,
            share,
            refused,
            failed,
            left,
            tries,
            parts,
            attempts,
            crossed,
            ambiguous,
        } = *self;
        [uses, whole, partial, share, refused, failed, left, tries, parts, attempts, crossed, ambiguous]
    }

    pub const NAMES: [&'static str; 12] = [
        "uses",
        "whole",
        "partial",
        "share",
        "refused",
        "failed",
        "left",
        "tries",
        "parts",
        "attempts",
        "crossed",
        "ambiguous",
    ];

    pub fn from_values(values: [i64; 12]) -> Counts {
        let [uses, whole, partial, share, refused, failed, left, tries, parts, attempts, crossed, ambiguous] =
            values;
        Counts {
            uses,
            whole,
            partial,
            share,
            refused,
            failed,
            left,
            tries,
            parts,
            attempts,
            crossed,
            ambiguous,
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        let mut sum = self.values();
        sum.iter_mut().zip(other.values()).for_each(|(a, b)| *a += b);
        *self = Counts::from_values(sum);
    }
}

impl Sub for Counts {
    type Output = Counts;

    fn sub(self, other: Counts) -> Counts {
        let mut difference = self.values();
        difference.iter_mut().zip(other.values()).for_each(|(a, b)| *a -= b);
        Counts::from_values(difference)
    }
}

const MILLION: i128 = 1_000_000;

/// The amount of a line in micro-units.
pub fn amount(counts: &Counts, price: Price) -> i64 {
    let whole = i128::from(counts.whole) * i128::from(price.whole);
    let shares = i128::from(counts.share) * i128::from(price.partial);
    let partial = shares.saturating_add(MILLION / 2).div_euclid(MILLION);
    i64::try_from(whole.saturating_add(partial)).unwrap_or(i64::MAX)
}

/// Answered uses past a tenant's allowance.
pub fn over(answered: i64, allowance: Option<u64>) -> i64 {
    allowance.map_or(0, |allowance| (answered - i64::try_from(allowance).unwrap_or(i64::MAX)).max(0))
}
