//! How soon a mixer is back on the list after discovery failed it, and what that asks of a discovery that all share.

use cottonhill_mixer::reducer::watch_policy::{WatchEnd, WatchMode, WatchPolicy, STALENESS_BOUND};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const SIZES: [u32; 8] = [1, 3, 100, 279, 320, 350, 777, 1024];
const REFUSED: WatchEnd = WatchEnd {
    duration: Duration::ZERO,
    received: false,
    silent: false,
    retry_after: None,
};
const RESET: WatchEnd = WatchEnd {
    duration: Duration::from_secs(60),
    received: true,
    silent: false,
    retry_after: None,
};
const SILENT: WatchEnd = WatchEnd {
    silent: true,
    ..RESET
};
/// To connect and to be answered, where nothing is wrong any more.
const ANSWERED: Duration = Duration::from_millis(1_500);

/// How a try fails.
#[derive(Clone, Copy, Debug)]
enum Failing {
    /// At once: refused or reset.
    Refused,
    /// Turned away, with so long to wait.
    TurnedAway(Duration),
    /// The connection never comes up.
    NoConnection,
    /// The call is never answered.
    Unanswered,
}

const FAILING: [Failing; 6] = [
    Failing::Refused,
    Failing::TurnedAway(Duration::ZERO),
    Failing::TurnedAway(Duration::from_secs(2)),
    Failing::TurnedAway(Duration::from_secs(60)),
    Failing::NoConnection,
    Failing::Unanswered,
];

fn failed(watching: &WatchPolicy, failing: Failing) -> WatchEnd {
    match failing {
        Failing::Refused => REFUSED,
        Failing::TurnedAway(told) => WatchEnd {
            retry_after: Some(told),
            ..REFUSED
        },
        Failing::NoConnection => WatchEnd {
            duration: watching.connect_timeout(),
            silent: true,
            ..REFUSED
        },
        Failing::Unanswered => WatchEnd {
            duration: watching.connect_timeout() + watching.answer_timeout(),
            silent: true,
            ..REFUSED
        },
    }
}

/// The moments at which tries begin that all fail one way after a watch was reset at 0.
fn tries(
    way: WatchMode,
    seed: u64,
    mixers: u32,
    failing: impl Fn(usize) -> Failing,
    until: Duration,
) -> Vec<Duration> {
    let mut watching = WatchPolicy::new(way, seed, mixers);
    let mut at = watching.next_delay(RESET);
    let mut all = Vec::new();
    while at < until {
        all.push(at);
        let ended = failed(&watching, failing(all.len()));
        at += ended.duration + watching.next_delay(ended);
    }
    all
}

#[test]
fn whichever_calls_fail_an_asked_service_is_asked_again_in_time_for_what_counts_as_told() {
    for (mixers, failing) in SIZES
        .into_iter()
        .flat_map(|mixers| FAILING.map(|failing| (mixers, failing)))
    {
        for seed in 0..20 {
            let all = tries(
                WatchMode::Poll {
                    max_staleness: None,
                },
                seed,
                mixers,
                |_| failing,
                MS(120_000),
            );
            // Discovery comes back right after a try began that will fail all the same: the next one succeeds.
            let first = [Duration::ZERO].into_iter().chain(all.iter().copied());
            for (before, next) in first.zip(&all) {
                let told = *next + ANSWERED - before;
                assert!(
                    told <= STALENESS_BOUND,
                    "{mixers} mixers, {failing:?}: {told:?} after {before:?}"
                );
            }
        }
    }
    // One after another in any order.
    for seed in 0..200u64 {
        let mixed = |n: usize| FAILING[(seed as usize + n * 5 + n / 3) % FAILING.len()];
        let all = tries(
            WatchMode::Poll {
                max_staleness: Some(MS(10_000)),
            },
            seed,
            300,
            mixed,
            MS(120_000),
        );
        assert!(
            all.windows(2)
                .all(|pair| pair[1] - pair[0] + ANSWERED <= STALENESS_BOUND),
            "{all:?}"
        );
    }
}

/// The most that a fleet asks in one second while its calls fail from 0 on, from the second given on.
fn most_a_second(mixers: u32, failing: Failing, from: u64) -> usize {
    let way = WatchMode::Poll {
        max_staleness: Some(MS(10_000)),
    };
    let all =
        (0..u64::from(mixers)).flat_map(|seed| tries(way, seed, mixers, |_| failing, MS(60_000)));
    let all: Vec<u64> = all.map(|at| at.as_millis() as u64).collect();
    (10 * from..590)
        .map(|i| {
            all.iter()
                .filter(|at| (i * 100..i * 100 + 1000).contains(*at))
                .count()
        })
        .max()
        .unwrap()
}

/// The bound on what counts as told pulls against a service that all share: the calls are spread over all of the
/// time that it leaves and no further. [The figures](../../../docs/design/acceptance.md) of 300 mixers.
#[test]
fn a_fleet_that_lost_an_asked_discovery_together_does_not_ask_together() {
    for mixers in [100u32, 300, 350, 1024] {
        for failing in [
            Failing::Refused,
            Failing::TurnedAway(Duration::from_secs(60)),
            Failing::Unanswered,
        ] {
            let (at_first, later) = (
                most_a_second(mixers, failing, 0),
                most_a_second(mixers, failing, 5),
            );
            eprintln!("{mixers} mixers, {failing:?}: {at_first} calls in a second at first, {later} later");
            // A wait is 3.4 s on average, 4.5 s at the most, so a second sees 0.30 of them; the rest is chance.
            let mean = 0.3 * f64::from(mixers);
            let most = (1.15 * mean + 4.0 * mean.sqrt()) as usize;
            assert!(
                at_first <= most && later <= most,
                "{mixers} mixers, {failing:?}: {at_first}, {later}"
            );
        }
    }
    assert!(
        most_a_second(3, Failing::Refused, 0) <= 3 * 14,
        "few do not hammer it either"
    );
}

#[test]
fn few_that_lost_a_watch_have_it_again_soon_and_ask_less_as_they_fail() {
    let mut few = WatchPolicy::new(
        WatchMode::Poll {
            max_staleness: None,
        },
        1,
        3,
    );
    assert!(
        few.next_delay(RESET) <= MS(150),
        "three do not overbook anything"
    );
    let mut many = WatchPolicy::new(
        WatchMode::Poll {
            max_staleness: None,
        },
        1,
        100,
    );
    for _ in 0..10 {
        many.next_delay(REFUSED);
    }
    for _ in 0..50 {
        assert!(
            many.next_delay(REFUSED) >= MS(2_250),
            "half of the time there is, at the least"
        );
    }
    let soon = (0..50).filter(|seed| {
        WatchPolicy::new(
            WatchMode::Poll {
                max_staleness: None,
            },
            *seed,
            100,
        )
        .next_delay(RESET)
            < MS(2_250)
    });
    assert!(
        (15..=35).contains(&soon.count()),
        "anything from none up where it is the first failure"
    );
}

#[test]
fn who_is_told_when_to_come_back_does_not_come_before_nor_past_what_counts_as_told() {
    let after = |told: u64| -> Vec<Duration> {
        let ended = WatchEnd {
            retry_after: Some(MS(told)),
            ..REFUSED
        };
        (0..50)
            .map(|seed| {
                WatchPolicy::new(
                    WatchMode::Poll {
                        max_staleness: None,
                    },
                    seed,
                    100,
                )
                .next_delay(ended)
            })
            .collect()
    };
    let waits = after(2_000);
    assert!(
        waits
            .iter()
            .all(|wait| (MS(2_000)..=MS(4_500)).contains(wait)),
        "{waits:?}"
    );
    assert!(
        *waits.iter().max().unwrap() > *waits.iter().min().unwrap() + MS(1_000),
        "and not all at once"
    );
    let waits = after(86_400_000);
    assert!(waits.iter().all(|wait| *wait <= MS(4_500)), "{waits:?}");
    assert!(
        *waits.iter().max().unwrap() > *waits.iter().min().unwrap() + MS(1_000),
        "{waits:?}"
    );
}

#[test]
fn a_pushed_list_is_watched_again_within_the_grace_whatever_the_fleet_and_the_failures() {
    let least = MS(25);
    for grace in [MS(250), MS(2_000)] {
        for mixers in SIZES {
            let mut watching = WatchPolicy::new(WatchMode::Push { drain_grace: grace }, 1, mixers);
            for ended in [
                RESET,
                SILENT,
                RESET,
                WatchEnd {
                    retry_after: Some(MS(60_000)),
                    ..RESET
                },
            ] {
                assert_eq!(
                    watching.next_delay(ended),
                    Duration::ZERO,
                    "{mixers} mixers, {ended:?}"
                );
            }
            for _ in 0..50 {
                let wait = watching.next_delay(REFUSED);
                assert!(wait <= grace / 4, "{mixers} mixers: {wait:?} of {grace:?}");
                assert!(
                    wait >= least,
                    "an agent that refuses at once is not hammered: {wait:?}"
                );
                assert!(
                    wait + watching.connect_timeout() < grace,
                    "and found again in time when it returns"
                );
            }
        }
    }
    for grace in [Duration::ZERO, MS(3_600_000)] {
        let wait =
            WatchPolicy::new(WatchMode::Push { drain_grace: grace }, 1, 3).next_delay(REFUSED);
        assert!(
            (least..=MS(500)).contains(&wait),
            "grace of {grace:?}: {wait:?}"
        );
    }
}

#[test]
fn silence_leaves_time_for_the_next_watch_either_way() {
    for way in [
        WatchMode::Push {
            drain_grace: MS(250),
        },
        WatchMode::Poll {
            max_staleness: None,
        },
    ] {
        for mixers in SIZES {
            for seed in 0..20 {
                let mut watching = WatchPolicy::new(way, seed, mixers);
                for _ in 0..3 {
                    let wait = watching.next_delay(SILENT);
                    let answered = watching.silence_timeout() + wait + ANSWERED;
                    assert!(
                        answered <= STALENESS_BOUND,
                        "{way:?}, {mixers} mixers: answered after {answered:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn an_asked_service_is_asked_within_what_the_settings_allow() {
    for within in [MS(500), MS(2_000), MS(10_000)] {
        for (mixers, seed) in SIZES
            .into_iter()
            .flat_map(|mixers| (0..20).map(move |seed| (mixers, seed)))
        {
            let watching = WatchPolicy::new(
                WatchMode::Poll {
                    max_staleness: Some(within),
                },
                seed,
                mixers,
            );
            assert!(
                watching.connect_timeout() + watching.answer_timeout() <= within,
                "{mixers} mixers"
            );
            for failing in FAILING {
                let all = tries(
                    WatchMode::Poll {
                        max_staleness: Some(within),
                    },
                    seed,
                    mixers,
                    |_| failing,
                    MS(60_000),
                );
                assert!(all[0] <= within, "{mixers} mixers");
                assert!(
                    all.windows(2).all(|pair| pair[1] - pair[0] <= within),
                    "{mixers} mixers, {failing:?}"
                );
            }
        }
    }
}
