//! Delays between retries: exponential backoff with jitter, and a first delay that grows with the number of mixers.
//! Hundreds of mixers that lose discovery at the same instant and retry in lockstep would overload the service that
//! they all depend on.

use fastrand::Rng;
use std::time::Duration;

/// The range of the first delay, for each mixer of the fleet: if all fail at once, the service gets one request per
/// this duration on average. The longest delay caps the range.
const FIRST_DELAY_PER_MIXER: Duration = Duration::from_millis(50);

/// The delays between the retries of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The upper bound of the delay after a first failure.
    first_bound: Duration,
    /// The upper bound of the next delay.
    next_bound: Duration,
    /// The upper bound of every delay, regardless of the number of failures.
    max_delay: Duration,
    /// Whether the previous operation failed.
    previous_failed: bool,
    random: Rng,
}

impl Backoff {
    /// Creates the backoff for one of `mixers` mixers, with delays of at most `max_delay`. Each mixer must have a
    /// different seed, or they retry in lockstep.
    pub fn new(seed: u64, mixers: u32, max_delay: Duration) -> Backoff {
        let first_bound = FIRST_DELAY_PER_MIXER
            .saturating_mul(mixers.max(1))
            .min(max_delay);
        Backoff {
            first_bound,
            next_bound: first_bound,
            max_delay,
            previous_failed: false,
            random: Rng::with_seed(seed),
        }
    }

    /// The delay between the end of the operation and its retry, at most `limit`. `succeeded` is whether the operation
    /// had succeeded before it ended, so that its end counts as a first failure. `retry_after` is the minimum delay
    /// that the service requested.
    ///
    /// The first delay is drawn from the full range down to zero, which spreads the retries of mixers that failed at
    /// the same time. Later delays are at least half of their upper bound, so that the retry rate decreases. Mixers
    /// that were rejected together have the same `retry_after`: it is capped at half of `limit`, so that the other
    /// half spreads their retries.
    pub fn next_delay(
        &mut self,
        succeeded: bool,
        retry_after: Option<Duration>,
        limit: Duration,
    ) -> Duration {
        if succeeded {
            self.next_bound = self.first_bound;
            self.previous_failed = false;
        }
        let requested = retry_after.unwrap_or_default().min(limit / 2);
        let upper_bound = (requested + self.next_bound).min(limit);
        let lower_bound = if self.previous_failed {
            requested.max(upper_bound / 2)
        } else {
            requested
        };
        self.previous_failed = true;
        self.next_bound = (self.next_bound * 2).min(self.max_delay);
        let jitter_range = upper_bound.saturating_sub(lower_bound);
        lower_bound + jitter_range.mul_f64(self.random.f64())
    }
}
