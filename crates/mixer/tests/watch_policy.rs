//! How soon a mixer is back on the endpoint list after discovery failed it, and what that asks of a discovery that all
//! mixers share.

use cottonhill_mixer::reducer::watch_policy::{WatchEnd, WatchMode, WatchPolicy, STALENESS_BOUND};
use std::time::Duration;

const FLEET_SIZES: [u32; 8] = [1, 3, 100, 279, 320, 350, 777, 1024];
/// The connection is refused at once.
const REFUSED: WatchEnd = WatchEnd {
    duration: Duration::ZERO,
    received_any: false,
    timed_out: false,
    retry_after: None,
};
/// A watch that has served for a minute is reset.
const RESET: WatchEnd = WatchEnd {
    duration: Duration::from_secs(60),
    received_any: true,
    timed_out: false,
    retry_after: None,
};
/// A watch that has served for a minute falls silent.
const SILENT: WatchEnd = WatchEnd {
    timed_out: true,
    ..RESET
};
/// To connect and to be answered, where nothing is wrong any more.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// The longest wait before a retry that leaves time to recover within the staleness bound.
const MAX_WAIT: Duration = Duration::from_millis(4_500);
const HALF_OF_MAX_WAIT: Duration = Duration::from_millis(2_250);
/// For how long discovery fails.
const TWO_MINUTES: Duration = Duration::from_secs(120);
const ONE_MINUTE: Duration = Duration::from_secs(60);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a request to discovery fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// At once: refused or reset.
    Refused,
    /// Rejected, with this Retry-After.
    Rejected(Duration),
    /// The connection never opens.
    NoConnection,
    /// The request is never answered.
    Unanswered,
}

const FAILURES: [Failure; 6] = [
    Failure::Refused,
    Failure::Rejected(Duration::ZERO),
    Failure::Rejected(Duration::from_secs(2)),
    Failure::Rejected(Duration::from_secs(60)),
    Failure::NoConnection,
    Failure::Unanswered,
];

fn watch_end(policy: &WatchPolicy, failure: Failure) -> WatchEnd {
    match failure {
        Failure::Refused => REFUSED,
        Failure::Rejected(retry_after) => WatchEnd {
            retry_after: Some(retry_after),
            ..REFUSED
        },
        Failure::NoConnection => WatchEnd {
            duration: policy.connect_timeout(),
            timed_out: true,
            ..REFUSED
        },
        Failure::Unanswered => WatchEnd {
            duration: policy.connect_timeout() + policy.answer_timeout(),
            timed_out: true,
            ..REFUSED
        },
    }
}

fn poll(max_staleness: Option<Duration>) -> WatchMode {
    WatchMode::Poll { max_staleness }
}

fn push(drain_grace: Duration) -> WatchMode {
    WatchMode::Push { drain_grace }
}

/// The times at which requests begin that fail one after another, after a watch was reset at 0. `failure` is given the
/// number of the request, from 1.
fn request_times(
    mut policy: WatchPolicy,
    failure: impl Fn(usize) -> Failure,
    until: Duration,
) -> Vec<Duration> {
    let mut at = policy.next_delay(RESET);
    let mut times = Vec::new();
    while at < until {
        times.push(at);
        let end = watch_end(&policy, failure(times.len()));
        at += end.duration + policy.next_delay(end);
    }
    times
}

/// Discovery comes back right after a request began that fails all the same: the next one succeeds.
fn assert_recovers_in_time(times: &[Duration], context: &str) {
    let failed = [Duration::ZERO].into_iter().chain(times.iter().copied());
    for (failed_at, next) in failed.zip(times) {
        let recovery = *next + RECOVERY_TIME - failed_at;
        assert!(
            recovery <= STALENESS_BOUND,
            "{context}: {recovery:?} after {failed_at:?}"
        );
    }
}

#[test]
fn polling_retries_within_staleness_bound_after_any_failure() {
    for mixers in FLEET_SIZES {
        for failure in FAILURES {
            for seed in 0..20 {
                let policy = WatchPolicy::new(poll(None), seed, mixers);
                let times = request_times(policy, |_| failure, TWO_MINUTES);
                assert_recovers_in_time(&times, &format!("{mixers} mixers, {failure:?}"));
            }
        }
    }
    // One after another in any order.
    for seed in 0..200u64 {
        let mixed = |n: usize| FAILURES[(seed as usize + n * 5 + n / 3) % FAILURES.len()];
        let policy = WatchPolicy::new(poll(Some(ms(10_000))), seed, 300);
        let times = request_times(policy, mixed, TWO_MINUTES);
        assert!(
            times
                .windows(2)
                .all(|pair| pair[1] - pair[0] + RECOVERY_TIME <= STALENESS_BOUND),
            "{times:?}"
        );
    }
}

/// The most requests of a fleet in one second, while they fail from 0 s on, counted from the second given on.
fn max_requests_per_second(mixers: u32, failure: Failure, from_second: u64) -> usize {
    let times_ms: Vec<u64> = (0..u64::from(mixers))
        .map(|seed| WatchPolicy::new(poll(Some(ms(10_000))), seed, mixers))
        .flat_map(|policy| request_times(policy, |_| failure, ONE_MINUTE))
        .map(|at| at.as_millis() as u64)
        .collect();
    (10 * from_second..590)
        .map(|tenth| {
            let second = tenth * 100..tenth * 100 + 1000;
            times_ms.iter().filter(|at| second.contains(at)).count()
        })
        .max()
        .unwrap()
}

/// The staleness bound pulls against a service that all share: the requests are spread over all of the time that it
/// leaves and no further. [The figures](../../../docs/design/acceptance.md) of 300 mixers.
#[test]
fn fleet_spreads_polls_after_losing_discovery_together() {
    for mixers in [100u32, 300, 350, 1024] {
        for failure in [
            Failure::Refused,
            Failure::Rejected(Duration::from_secs(60)),
            Failure::Unanswered,
        ] {
            let at_first = max_requests_per_second(mixers, failure, 0);
            let later = max_requests_per_second(mixers, failure, 5);
            eprintln!("{mixers} mixers, {failure:?}: {at_first} requests in a second at first, {later} later");
            // A wait is 3.4 s on average, 4.5 s at the most, so a second sees 0.30 of them; the rest is chance.
            let mean = 0.3 * f64::from(mixers);
            let limit = (1.15 * mean + 4.0 * mean.sqrt()) as usize;
            assert!(
                at_first <= limit && later <= limit,
                "{mixers} mixers, {failure:?}: {at_first}, {later}"
            );
        }
    }
    assert!(
        max_requests_per_second(3, Failure::Refused, 0) <= 3 * 14,
        "a small fleet does not hammer it either"
    );
}

#[test]
fn small_fleet_reconnects_soon_and_backs_off_on_failures() {
    let mut small_fleet = WatchPolicy::new(poll(None), 1, 3);
    assert!(
        small_fleet.next_delay(RESET) <= ms(150),
        "three do not overload anything"
    );
    let mut large_fleet = WatchPolicy::new(poll(None), 1, 100);
    for _ in 0..10 {
        large_fleet.next_delay(REFUSED);
    }
    for _ in 0..50 {
        assert!(
            large_fleet.next_delay(REFUSED) >= HALF_OF_MAX_WAIT,
            "half of the time there is, at the least"
        );
    }
    let soon = (0..50)
        .map(|seed| WatchPolicy::new(poll(None), seed, 100).next_delay(RESET))
        .filter(|delay| *delay < HALF_OF_MAX_WAIT)
        .count();
    assert!(
        (15..=35).contains(&soon),
        "anything from none up where it is the first failure"
    );
}

/// The waits of 50 mixers of a fleet of 100 after a rejection with this Retry-After.
fn waits_after_rejection(retry_after: Duration) -> Vec<Duration> {
    let rejected = WatchEnd {
        retry_after: Some(retry_after),
        ..REFUSED
    };
    (0..50)
        .map(|seed| WatchPolicy::new(poll(None), seed, 100).next_delay(rejected))
        .collect()
}

fn are_spread_by_a_second(waits: &[Duration]) -> bool {
    *waits.iter().max().unwrap() > *waits.iter().min().unwrap() + ms(1_000)
}

#[test]
fn honors_retry_after_within_staleness_bound() {
    let waits = waits_after_rejection(ms(2_000));
    assert!(
        waits
            .iter()
            .all(|wait| (ms(2_000)..=MAX_WAIT).contains(wait)),
        "{waits:?}"
    );
    assert!(are_spread_by_a_second(&waits), "and not all at once");
    let waits = waits_after_rejection(ms(86_400_000));
    assert!(waits.iter().all(|wait| *wait <= MAX_WAIT), "{waits:?}");
    assert!(are_spread_by_a_second(&waits), "{waits:?}");
}

/// The least wait after a refused connection.
const MIN_REFUSED_WAIT: Duration = Duration::from_millis(25);

#[test]
fn push_watch_reconnects_within_drain_grace() {
    for drain_grace in [ms(250), ms(2_000)] {
        for mixers in FLEET_SIZES {
            check_push_watch_reconnects(drain_grace, mixers);
        }
    }
    for drain_grace in [Duration::ZERO, ms(3_600_000)] {
        let wait = WatchPolicy::new(push(drain_grace), 1, 3).next_delay(REFUSED);
        assert!(
            (MIN_REFUSED_WAIT..=ms(500)).contains(&wait),
            "grace of {drain_grace:?}: {wait:?}"
        );
    }
}

fn check_push_watch_reconnects(drain_grace: Duration, mixers: u32) {
    let mut policy = WatchPolicy::new(push(drain_grace), 1, mixers);
    let reset_with_retry_after = WatchEnd {
        retry_after: Some(ms(60_000)),
        ..RESET
    };
    for end in [RESET, SILENT, RESET, reset_with_retry_after] {
        assert_eq!(
            policy.next_delay(end),
            Duration::ZERO,
            "{mixers} mixers, {end:?}"
        );
    }
    for _ in 0..50 {
        let wait = policy.next_delay(REFUSED);
        assert!(
            wait <= drain_grace / 4,
            "{mixers} mixers: {wait:?} of {drain_grace:?}"
        );
        assert!(
            wait >= MIN_REFUSED_WAIT,
            "an agent that refuses at once is not hammered: {wait:?}"
        );
        assert!(
            wait + policy.connect_timeout() < drain_grace,
            "and found again in time when it returns"
        );
    }
}

#[test]
fn heartbeat_timeout_leaves_time_for_next_watch() {
    for mode in [push(ms(250)), poll(None)] {
        for mixers in FLEET_SIZES {
            for seed in 0..20 {
                let mut policy = WatchPolicy::new(mode, seed, mixers);
                for _ in 0..3 {
                    let wait = policy.next_delay(SILENT);
                    let answered_after = policy.heartbeat_timeout() + wait + RECOVERY_TIME;
                    assert!(
                        answered_after <= STALENESS_BOUND,
                        "{mode:?}, {mixers} mixers: answered after {answered_after:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn polls_within_configured_max_staleness() {
    for max_staleness in [ms(500), ms(2_000), ms(10_000)] {
        for mixers in FLEET_SIZES {
            for seed in 0..20 {
                check_polls_within(max_staleness, mixers, seed);
            }
        }
    }
}

fn check_polls_within(max_staleness: Duration, mixers: u32, seed: u64) {
    let new_policy = || WatchPolicy::new(poll(Some(max_staleness)), seed, mixers);
    let policy = new_policy();
    assert!(
        policy.connect_timeout() + policy.answer_timeout() <= max_staleness,
        "{mixers} mixers"
    );
    for failure in FAILURES {
        let times = request_times(new_policy(), |_| failure, ONE_MINUTE);
        assert!(times[0] <= max_staleness, "{mixers} mixers");
        assert!(
            times
                .windows(2)
                .all(|pair| pair[1] - pair[0] <= max_staleness),
            "{mixers} mixers, {failure:?}"
        );
    }
}
