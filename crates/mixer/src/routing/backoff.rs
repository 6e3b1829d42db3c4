//! When to ask again for what could not be had. What one mixer asks too often is a trifle; hundreds that lost
//! their list at the same instant and ask in step keep the one service that could help them from helping any.

use fastrand::Rng;
use std::time::Duration;

/// What the one that is asked has for each mixer, if all fail at one moment: the first wait spreads over as many
/// of these as there are mixers, if there is room for that.
const EACH: Duration = Duration::from_millis(50);

/// The waits between the tries at one thing.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    /// No wait exceeds it, however often the tries fail.
    most: Duration,
    again: bool,
    random: Rng,
}

impl Backoff {
    /// For one of so many `mixers`; they must have different seeds, or they would wait alike.
    pub fn new(seed: u64, mixers: u32, most: Duration) -> Backoff {
        let first = EACH.saturating_mul(mixers.max(1)).min(most);
        Backoff { first, longest: first, most, again: false, random: Rng::with_seed(seed) }
    }

    /// How long to wait after a try that has ended, `room` at the most; `had` says that it brought what was asked
    /// for, so that the next failure is a first one, `retry_after` what the other end asked for at the least. The first
    /// wait is anything from none up, so that what failed for all at one moment is not asked for by all at another;
    /// later ones are never short, so that the asking becomes less. Whoever was turned away together was told the
    /// same: half of the room stays to spread in, whatever that was.
    pub fn after(&mut self, had: bool, retry_after: Option<Duration>, room: Duration) -> Duration {
        if had {
            (self.longest, self.again) = (self.first, false);
        }
        let asked = retry_after.unwrap_or_default().min(room / 2);
        let longest = (asked + self.longest).min(room);
        let least = asked.max(if self.again { longest / 2 } else { Duration::ZERO });
        self.again = true;
        self.longest = (self.longest * 2).min(self.most);
        least + longest.saturating_sub(least).mul_f64(self.random.f64())
    }
}
