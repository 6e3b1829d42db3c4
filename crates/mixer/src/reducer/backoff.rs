//! Delays between retries: exponential backoff with jitter, and a first delay that grows with the number of mixers.
//! Hundreds of mixers that lost discovery at the same instant and retried in lockstep would overload the one service
//! that could help them.

use fastrand::Rng;
use std::time::Duration;

/// The time that the service has for each mixer if all fail at once: the first delay is spread over as many of these
/// as there are mixers, as far as the longest delay allows.
const FIRST_DELAY_PER_MIXER: Duration = Duration::from_millis(50);

/// The delays between the retries of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The upper bound of the delay after a first failure.
    first_bound: Duration,
    /// The upper bound of the next delay.
    next_bound: Duration,
    /// No delay exceeds it, however often the operation fails.
    max_delay: Duration,
    /// The operation before has failed, too.
    previous_failed: bool,
    random: Rng,
}

impl Backoff {
    /// For one of `mixers` mixers, with delays of `max_delay` at most. The mixers must have different seeds, or they
    /// would retry in lockstep.
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

    /// How long to wait after the operation has ended, `limit` at most. `succeeded` says that it had succeeded
    /// before it ended, so that its end counts as a first failure; `retry_after` is the least delay that the service
    /// requested.
    ///
    /// The first delay may be zero, so that mixers which failed at once don't all retry at once; later ones are at
    /// least half of their upper bound, so that retries become fewer. Mixers that were rejected together got the same
    /// `retry_after`: half of `limit` is reserved to spread their retries, however long that is.
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
