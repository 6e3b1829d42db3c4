//! Waits between retries: exponential backoff with jitter, and a first wait that grows with the number of mixers.
//! Hundreds of mixers that lost their list at the same instant and retried in step would overload the one service that
//! could help them.

use fastrand::Rng;
use std::time::Duration;

/// The time that the service has for each mixer if all fail at one moment: the first wait is spread over as many of
/// these as there are mixers, as far as the longest wait allows.
const TIME_PER_MIXER: Duration = Duration::from_millis(50);

/// The waits between the tries of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The upper bound of the wait after a first failure.
    first: Duration,
    /// The upper bound of the next wait.
    longest: Duration,
    /// No wait exceeds it, however often the tries fail.
    most: Duration,
    /// The last try has failed, too.
    again: bool,
    random: Rng,
}

impl Backoff {
    /// For one of `mixers` mixers, with waits of `most` at the most. The mixers must have different seeds, or they
    /// would wait alike.
    pub fn new(seed: u64, mixers: u32, most: Duration) -> Backoff {
        let first = TIME_PER_MIXER.saturating_mul(mixers.max(1)).min(most);
        Backoff {
            first,
            longest: first,
            most,
            again: false,
            random: Rng::with_seed(seed),
        }
    }

    /// How long to wait after a try that has ended, `room` at the most. `succeeded` says that it brought what was asked
    /// for, so that this failure counts as a first one; `retry_after` is the least wait that the service asked for.
    ///
    /// The first wait begins at zero, so that mixers which failed at one moment don't retry at another all together;
    /// later ones are at least half of their upper bound, so that retries become fewer. Mixers that were refused
    /// together got the same `retry_after`: half of `room` is left to spread their retries in, however long that is.
    pub fn after(
        &mut self,
        succeeded: bool,
        retry_after: Option<Duration>,
        room: Duration,
    ) -> Duration {
        if succeeded {
            (self.longest, self.again) = (self.first, false);
        }
        let asked = retry_after.unwrap_or_default().min(room / 2);
        let longest = (asked + self.longest).min(room);
        let least = asked.max(if self.again {
            longest / 2
        } else {
            Duration::ZERO
        });
        self.again = true;
        self.longest = (self.longest * 2).min(self.most);
        least + longest.saturating_sub(least).mul_f64(self.random.f64())
    }
}
