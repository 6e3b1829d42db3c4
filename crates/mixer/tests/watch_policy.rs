//! The time within which a mixer has a current endpoint list after a failure of discovery, and the resulting request
//! rate at a discovery service that all mixers share.

use cottonhill_mixer::reducer::watch_policy::{WatchEnd, WatchMode, WatchPolicy, STALENESS_BOUND};
use std::time::Duration;

const FLEET_SIZES: [u32; 8] = [1, 3, 100, 279, 320, 350, 777, 1024];
/// The connection is refused immediately.
const REFUSED: WatchEnd = WatchEnd {
    duration: Duration::ZERO,
    received_any: false,
    timed_out: false,
    answer_time: None,
    retry_after: None,
};
/// A watch is reset after a minute.
const RESET: WatchEnd = WatchEnd {
    duration: Duration::from_secs(60),
    received_any: true,
    timed_out: false,
    answer_time: None,
    retry_after: None,
};
/// A watch stalls after a minute and times out.
const SILENT: WatchEnd = WatchEnd {
    timed_out: true,
    ..RESET
};
/// The time to connect to a recovered discovery and receive its response.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// The longest delay of a retry that leaves [`RECOVERY_TIME`] within the staleness bound.
const MAX_DELAY: Duration = Duration::from_millis(4_500);
const HALF_OF_MAX_DELAY: Duration = Duration::from_millis(2_250);
/// Durations of a discovery failure.
const TWO_MINUTES: Duration = Duration::from_secs(120);
const ONE_MINUTE: Duration = Duration::from_secs(60);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How a request to discovery fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Refused or reset immediately.
    Refused,
    /// Rejected with this Retry-After.
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

/// The start times of consecutive failing requests after a watch was reset at time 0. `failure` is called with the
/// number of the request, starting at 1.
fn request_times(
    mut policy: WatchPolicy,
    failure: impl Fn(usize) -> Failure,
    until: Duration,
) -> Vec<Duration> {
    let mut started_at = policy.next_delay(RESET);
    let mut times = Vec::new();
    while started_at < until {
        times.push(started_at);
        let end = watch_end(&policy, failure(times.len()));
        started_at += end.duration + policy.next_delay(end);
    }
    times
}

/// Checks the worst case: discovery recovers right after the start of a request that still fails, and the next request
/// succeeds.
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
    // Different failures in sequence.
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

/// The maximum number of requests of a fleet in one second, while all requests fail from 0 s on. Only seconds that
/// start at `from_second` or later are counted.
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

/// The staleness bound limits how far the retries of a fleet can be spread to protect the shared discovery service:
/// they must be spread over all of the time that the bound leaves. [Acceptance](../../../docs/design/acceptance.md) has
/// the figures of 300 mixers.
#[test]
fn fleet_spreads_retries_after_simultaneous_loss_of_discovery() {
    for mixers in [100u32, 300, 350, 1024] {
        for failure in [
            Failure::Refused,
            Failure::Rejected(Duration::from_secs(60)),
            Failure::Unanswered,
        ] {
            let at_first = max_requests_per_second(mixers, failure, 0);
            let later = max_requests_per_second(mixers, failure, 5);
            eprintln!("{mixers} mixers, {failure:?}: at most {at_first} requests per second, {later} after 5 s");
            // A delay is 3.4 s on average and at most 4.5 s, so one second contains 0.30 requests per mixer. The limit
            // allows for random variation.
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
        "a small fleet does not overload discovery either"
    );
}

#[test]
fn small_fleet_reconnects_quickly_and_large_fleet_backs_off() {
    let mut small_fleet = WatchPolicy::new(poll(None), 1, 3);
    assert!(
        small_fleet.next_delay(RESET) <= ms(150),
        "three mixers do not overload discovery, so they retry almost immediately"
    );
    let mut large_fleet = WatchPolicy::new(poll(None), 1, 100);
    for _ in 0..10 {
        large_fleet.next_delay(REFUSED);
    }
    for _ in 0..50 {
        assert!(
            large_fleet.next_delay(REFUSED) >= HALF_OF_MAX_DELAY,
            "after repeated failures, at least half of the maximum delay"
        );
    }
    let short_delays = (0..50)
        .map(|seed| WatchPolicy::new(poll(None), seed, 100).next_delay(RESET))
        .filter(|delay| *delay < HALF_OF_MAX_DELAY)
        .count();
    assert!(
        (15..=35).contains(&short_delays),
        "after the first failure, the delay is random from zero up: {short_delays} of 50 are short"
    );
}

/// The delays of 50 mixers of a fleet of 100 after a rejection with this Retry-After.
fn delays_after_rejection(retry_after: Duration) -> Vec<Duration> {
    let rejected = WatchEnd {
        retry_after: Some(retry_after),
        ..REFUSED
    };
    (0..50)
        .map(|seed| WatchPolicy::new(poll(None), seed, 100).next_delay(rejected))
        .collect()
}

fn differ_by_more_than_a_second(delays: &[Duration]) -> bool {
    *delays.iter().max().unwrap() > *delays.iter().min().unwrap() + ms(1_000)
}

#[test]
fn honors_retry_after_within_staleness_bound() {
    let delays = delays_after_rejection(ms(2_000));
    assert!(
        delays
            .iter()
            .all(|delay| (ms(2_000)..=MAX_DELAY).contains(delay)),
        "{delays:?}"
    );
    assert!(
        differ_by_more_than_a_second(&delays),
        "the requests are spread over time: {delays:?}"
    );
    let delays = delays_after_rejection(ms(86_400_000));
    assert!(delays.iter().all(|delay| *delay <= MAX_DELAY), "{delays:?}");
    assert!(differ_by_more_than_a_second(&delays), "{delays:?}");
}

/// The minimum delay after a refused connection.
const MIN_DELAY_AFTER_REFUSAL: Duration = Duration::from_millis(25);

#[test]
fn push_watch_reconnects_within_drain_grace() {
    for drain_grace in [ms(250), ms(2_000)] {
        for mixers in FLEET_SIZES {
            check_push_watch_reconnects(drain_grace, mixers);
        }
    }
    for drain_grace in [Duration::ZERO, ms(3_600_000)] {
        let delay = WatchPolicy::new(push(drain_grace), 1, 3).next_delay(REFUSED);
        assert!(
            (MIN_DELAY_AFTER_REFUSAL..=ms(500)).contains(&delay),
            "drain grace of {drain_grace:?}: {delay:?}"
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
        let delay = policy.next_delay(REFUSED);
        assert!(
            delay <= drain_grace / 4,
            "{mixers} mixers: {delay:?} of {drain_grace:?}"
        );
        assert!(
            delay >= MIN_DELAY_AFTER_REFUSAL,
            "an agent that refuses connections is not overloaded: {delay:?}"
        );
        assert!(
            delay + policy.connect_timeout() < drain_grace,
            "a recovered agent is reached within the drain grace"
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
                    let delay = policy.next_delay(SILENT);
                    let answered_after = policy.heartbeat_timeout() + delay + RECOVERY_TIME;
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
