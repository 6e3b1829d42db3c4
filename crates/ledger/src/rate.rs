//! What uses cost. Pure, in whole micro-units.
//!
//! A line counts the uses of one tenant and class in one period. Whole answers cost their price each; partial ones
//! cost their price times the sum of their shares, rounded **once a line**, half a micro-unit up. Refused and failed
//! uses and those whose client left are free, and counted.

use crate::join::{Outcome, Use};
use crate::settings::Price;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};

/// Declares [`Counts`] and its conversions, so that the fields and their order stand in one place.
macro_rules! counts {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// What a line counts. All of it adds up, so the difference of two counts is one, too.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Counts {
            $($(#[$doc])* pub $field: i64,)*
        }

        impl Counts {
            /// The fields' names, in the order in which they are declared.
            pub const NAMES: [&'static str; Counts::FIELDS] = [$(stringify!($field)),*];

            /// How many fields there are.
            pub const FIELDS: usize = [$(stringify!($field)),*].len();

            /// The fields in the order of [`Counts::NAMES`].
            pub fn values(&self) -> [i64; Counts::FIELDS] {
                [$(self.$field),*]
            }

            /// Counts with these values, in the order of [`Counts::NAMES`].
            pub fn from_values([$($field),*]: [i64; Counts::FIELDS]) -> Counts {
                Counts { $($field),* }
            }
        }
    };
}

counts! {
    /// Uses, however they ended.
    uses,
    /// Uses answered whole.
    whole,
    /// Uses answered in part.
    partial,
    /// Of the partial answers together, in millionths.
    share,
    /// Uses refused.
    refused,
    /// Uses that failed.
    failed,
    /// Uses whose client left before the answer.
    left,
    /// Records, first tries and retries.
    tries,
    /// Parts of all tries.
    parts,
    /// Attempts at parts, of all tries.
    attempts,
    /// Attempts to another zone.
    crossed,
    /// Uses with a join that might have been another.
    ambiguous,
}

impl Counts {
    /// Adds one use with all its tries.
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

    /// Whether nothing is counted.
    pub fn is_zero(&self) -> bool {
        *self == Counts::default()
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        let mut sum = self.values();
        sum.iter_mut()
            .zip(other.values())
            .for_each(|(a, b)| *a += b);
        *self = Counts::from_values(sum);
    }
}

impl Sub for Counts {
    type Output = Counts;

    fn sub(self, other: Counts) -> Counts {
        let mut difference = self.values();
        difference
            .iter_mut()
            .zip(other.values())
            .for_each(|(a, b)| *a -= b);
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
    allowance.map_or(0, |allowance| {
        (answered - i64::try_from(allowance).unwrap_or(i64::MAX)).max(0)
    })
}
