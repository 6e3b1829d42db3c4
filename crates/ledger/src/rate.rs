//! Rating: the amount that uses cost. Pure; amounts are integers, in micro-units.
//!
//! A line counts the uses of one tenant and class in one period. Each complete answer costs the
//! price of the class. Partial answers cost that price times the sum of their coverages, rounded **once for each line**
//! to the nearest micro-unit, halves up. Uses that were rejected, that failed or whose client disconnected are counted,
//! but are free.

use crate::join::{Outcome, Use};
use crate::settings::ClassPrice;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};

/// Declares [`Counts`] and its conversions, so that the fields and their order are defined once.
macro_rules! counts {
    ($($(#[$doc:meta])* $field:ident,)*) => {
        /// The counts of a line. The field names are the names in statements, documents and CSV files. Every field is
        /// additive, so the difference of two counts is valid, too.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Counts {
            $($(#[$doc])* pub $field: i64,)*
        }

        impl Counts {
            /// The names of the fields, in the order of their declaration.
            pub const NAMES: [&'static str; Counts::FIELDS] = [$(stringify!($field)),*];

            /// The number of fields.
            pub const FIELDS: usize = [$(stringify!($field)),*].len();

            /// The values in the order of [`Counts::NAMES`].
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
    /// Uses of any outcome.
    uses,
    /// Uses with a complete answer.
    whole,
    /// Uses with a partial answer.
    partial,
    /// Sum of the coverage of the partial answers, in millionths.
    share,
    /// Rejected uses.
    refused,
    /// Failed uses.
    failed,
    /// Uses whose client disconnected before the answer.
    left,
    /// Client attempts: first attempts and retries.
    tries,
    /// Parts of all client attempts.
    parts,
    /// Attempts at parts, of all client attempts.
    attempts,
    /// Attempts at parts in another zone.
    crossed,
    /// Uses with an ambiguous join.
    ambiguous,
}

impl Counts {
    /// Adds one use with all its attempts.
    pub fn add(&mut self, billed: &Use) {
        self.uses += 1;
        match billed.outcome {
            Outcome::Complete => self.whole += 1,
            Outcome::Partial(coverage) => {
                self.partial += 1;
                self.share += i64::from(coverage);
            }
            Outcome::Rejected => self.refused += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::ClientDisconnected => self.left += 1,
        }
        self.tries += billed.attempts.len() as i64;
        for attempt in &billed.attempts {
            self.parts += i64::from(attempt.parts);
            self.attempts += i64::from(attempt.part_attempts);
            self.crossed += i64::from(attempt.cross_zone_attempts);
        }
        self.ambiguous += i64::from(!billed.ambiguous.is_empty());
    }

    /// Uses with a complete or partial answer.
    pub fn answered(&self) -> i64 {
        self.whole + self.partial
    }

    /// Whether all counts are zero.
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
pub fn amount(counts: &Counts, price: ClassPrice) -> i64 {
    let complete = i128::from(counts.whole) * i128::from(price.complete);
    let weighted = i128::from(counts.share) * i128::from(price.partial);
    let partial = weighted.saturating_add(MILLION / 2).div_euclid(MILLION);
    i64::try_from(complete.saturating_add(partial)).unwrap_or(i64::MAX)
}

/// Answered uses above a tenant's allowance.
pub fn uses_above_allowance(answered: i64, allowance: Option<u64>) -> i64 {
    allowance.map_or(0, |allowance| {
        (answered - i64::try_from(allowance).unwrap_or(i64::MAX)).max(0)
    })
}
