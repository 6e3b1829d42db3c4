//! When to ask again for what could not be had. What one mixer asks too often is a trifle; a hundred that lost
//! their list at the same instant and ask in step keep the one service that could help them from helping any.

use fastrand::Rng;
use std::time::Duration;

/// What the one that is asked has for each mixer, if all fail at one moment: the first wait spreads over as many
/// of these as there are mixers.
const EACH: Duration = Duration::from_millis(50);
/// The longest wait after many failures, each of which doubles it, and the most that is granted to what the other
/// end asks for; where the first wait is as long already, the next is twice as long all the same.
const MOST: Duration = Duration::from_secs(16);

/// The waits between the tries at one thing.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    most: Duration,
    /// What no wait may exceed, whatever the other end asks for.
    allowed: Duration,
    again: bool,
    random: Rng,
}

impl Backoff {
    /// For one of so many `mixers`; they must have different seeds, or they would wait alike. Where something has to
    /// be had `within` a time, half of that is for the try itself; after one that failed it is four times as long.
    pub fn new(seed: u64, mixers: u32, within: Option<Duration>) -> Backoff {
        let allowed = within.map_or(Duration::MAX, |within| 2 * within);
        let first = EACH.saturating_mul(mixers.max(1)).min(allowed / 4);
        let most = MOST.max(first.saturating_mul(2)).min(allowed);
        Backoff { first, longest: first, most, allowed, again: false, random: Rng::with_seed(seed) }
    }

    /// How long to wait after a try that has ended; `had` says that it brought what was asked for, so that
    /// the next failure is a first one, `told` what the other end asked for at the least. How long a try took
    /// says nothing: an overbooked service lets its callers wait before it turns them away. The first wait is
    /// anything from none up, so that what failed for all at one moment is not asked for by all at another;
    /// later ones are never short, so that the asking becomes less.
    pub fn after(&mut self, had: bool, told: Option<Duration>) -> Duration {
        if had {
            (self.longest, self.again) = (self.first, false);
        }
        let least = if self.again { self.longest / 2 } else { Duration::ZERO };
        let wait = least + (self.longest - least).mul_f64(self.random.f64());
        self.again = true;
        self.longest = (self.longest * 2).min(self.most);
        // Spread past the told time too: whoever was turned away together was told the same.
        wait + told.unwrap_or_default().min(MOST).min(self.allowed - wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    /// The moments, in ms, at which mixers that failed together at 0 ask in the time that follows.
    fn asks(mixers: u32, until: Duration) -> Vec<u64> {
        let mut all = Vec::new();
        for seed in 0..u64::from(mixers) {
            let mut backoff = Backoff::new(seed, mixers, None);
            let mut at = backoff.after(false, None);
            while at < until {
                all.push(at.as_millis() as u64);
                at += backoff.after(false, None);
            }
        }
        all
    }

    #[test]
    fn a_hundred_that_failed_together_do_not_ask_together() {
        let asks = asks(100, MS(30_000));
        let most = (0..300).map(|i| asks.iter().filter(|at| **at / 100 == i).count()).max();
        assert!(most < Some(20), "{most:?} asks in one tenth of a second");
        let late = asks.iter().filter(|at| **at >= 20_000).count();
        assert!(late < 100 * 2, "{late} asks in the last 10 s: each waits 8 s at the least by then");
        assert!(late >= 50, "nobody gives up");
    }

    #[test]
    fn no_fleet_is_too_large_to_be_spread() {
        for mixers in [320, 350, 1024] {
            let asks = asks(mixers, EACH * mixers);
            let most =
                (0..=u64::from(mixers) / 20).map(|s| asks.iter().filter(|at| **at / 1000 == s).count()).max();
            assert!(most < Some(40), "{mixers} mixers: {most:?} asks in one second, of 20 on average");
        }
    }

    #[test]
    fn what_was_had_is_asked_for_again_soon() {
        let mut backoff = Backoff::new(1, 100, None);
        for _ in 0..10 {
            backoff.after(false, None);
        }
        assert!(backoff.after(false, None) >= MS(8_000));
        assert!(backoff.after(true, None) <= MS(5_000));
        let mut few = Backoff::new(1, 3, None);
        assert!(few.after(true, None) <= MS(150), "three do not overbook anything");
    }

    #[test]
    fn who_is_told_when_to_come_back_does_not_come_before_nor_wait_for_ever() {
        let waits: Vec<Duration> =
            (0..50).map(|seed| Backoff::new(seed, 100, None).after(false, Some(MS(2_000)))).collect();
        assert!(waits.iter().all(|wait| (MS(2_000)..=MS(7_000)).contains(wait)), "{waits:?}");
        assert!(waits.iter().max() > waits.iter().min(), "and not all at once");
        assert!(Backoff::new(1, 100, None).after(false, Some(Duration::from_secs(86_400))) <= MS(21_000));
    }
}
