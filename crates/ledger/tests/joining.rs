//! Joining, settling and adjusting against a naive model, under random retries, deaths, reorderings and late
//! arrivals.

use cottonhill_ledger::join::{Id, Joiner, Outcome, Try, Use};
use cottonhill_ledger::period::Period;
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::settle::{
    adjustments, closing, Bounds, Closing, Known, Lines, Over, Settling,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SKEW: i64 = 20;
const WINDOW: i64 = 100;
const HORIZON: i64 = 150;
const PERIOD: i64 = 400;
const BOUNDS: Bounds = Bounds {
    horizon: HORIZON,
    skew: SKEW,
};

fn one(at: i64, sequence: u64) -> Try {
    Try {
        at,
        member: 1,
        incarnation: 1,
        sequence,
        tenant: 1,
        class: 1,
        outcome: Outcome::Refused,
        parts: 2,
        attempts: 3,
        crossed: 1,
        repeat: false,
        key: 2,
        keyed: false,
        window: WINDOW,
        doubtful: false,
    }
}

fn join(mut tries: Vec<Try>) -> Vec<Use> {
    tries.sort_by_key(Try::id);
    let mut uses = Vec::new();
    let mut joiner = Joiner::new(SKEW, HORIZON);
    for it in tries {
        joiner.take(it, &mut |it| uses.push(it));
    }
    joiner.finish(&mut |it| uses.push(it));
    uses.sort_by_key(|it| it.first().id());
    uses
}

/// The rule as it is stated, over everything at once: no streaming, nothing closed early.
fn naive(mut tries: Vec<Try>) -> Vec<Vec<Id>> {
    tries.sort_by_key(Try::id);
    let mut uses: Vec<Vec<Try>> = tries
        .iter()
        .filter(|it| !it.repeat && !it.keyed)
        .map(|it| vec![*it])
        .collect();
    for retry in tries.iter().filter(|it| it.repeat || it.keyed) {
        let same = |it: &Try| {
            (it.tenant, it.class, it.key, it.keyed)
                == (retry.tenant, retry.class, retry.key, retry.keyed)
        };
        let window = if retry.keyed { HORIZON } else { WINDOW };
        let fits = |it: &&mut Vec<Try>| {
            let (first, last) = (it[0], it[it.len() - 1]);
            let open = retry.keyed
                || last.doubtful
                || !matches!(last.outcome, Outcome::Whole | Outcome::Partial(_));
            same(&first)
                && first.at + window + SKEW >= retry.at
                && last.at <= retry.at + SKEW
                && open
        };
        let rank = |it: &&mut Vec<Try>| {
            let last = it[it.len() - 1];
            let answered =
                !retry.keyed && matches!(last.outcome, Outcome::Whole | Outcome::Partial(_));
            (
                answered,
                last.at > retry.at,
                if retry.keyed { it[0].id() } else { last.id() },
            )
        };
        match uses.iter_mut().filter(fits).min_by_key(rank) {
            Some(it) => it.push(*retry),
            None => uses.push(vec![*retry]),
        }
    }
    let mut ids: Vec<Vec<Id>> = uses
        .iter()
        .map(|it| it.iter().map(Try::id).collect())
        .collect();
    ids.sort();
    ids
}

fn ids(uses: &[Use]) -> Vec<Vec<Id>> {
    let mut ids: Vec<Vec<Id>> = uses
        .iter()
        .map(|it| it.tries.iter().map(Try::id).collect())
        .collect();
    ids.sort();
    ids
}

fn tries() -> impl Strategy<Value = Vec<Try>> {
    let outcome = prop_oneof![
        Just(Outcome::Whole),
        (1u32..1_000_000).prop_map(Outcome::Partial),
        Just(Outcome::Refused),
        Just(Outcome::Refused),
        Just(Outcome::Failed),
        Just(Outcome::Left),
    ];
    let it = (
        0i64..1600,
        1u32..4,
        1u32..3,
        1u64..4,
        any::<bool>(),
        outcome,
        0u8..8,
    );
    prop::collection::vec(it, 0..60).prop_map(|all| {
        let make = |(n, (at, member, tenant, key, repeat, outcome, dice)): (
            usize,
            (i64, u32, u32, u64, bool, _, u8),
        )| {
            let keyed = dice == 0;
            let key = key * 2 + u64::from(keyed);
            Try {
                member,
                tenant,
                key,
                keyed,
                repeat,
                outcome,
                doubtful: dice == 1,
                ..one(at, n as u64 + 1)
            }
        };
        all.into_iter().enumerate().map(make).collect()
    })
}

/// Settles one period after the other, as the store does.
fn settle(tries: &[Try], period: Period, before: &Over) -> (Lines, Over) {
    let (from, until) = BOUNDS.seen(period);
    let mut seen: Vec<Try> = tries
        .iter()
        .filter(|it| (from..until).contains(&it.at))
        .copied()
        .collect();
    seen.sort_by_key(Try::id);
    let mut settling = Settling::new(period, BOUNDS, before.clone());
    seen.into_iter().for_each(|it| settling.take(it));
    let settled = settling.finish();
    (settled.lines, settled.over)
}

fn period(n: i64) -> Period {
    Period {
        start: n * PERIOD,
        end: (n + 1) * PERIOD,
    }
}

fn total(lines: impl IntoIterator<Item = Counts>) -> Counts {
    let mut sum = Counts::default();
    lines.into_iter().for_each(|counts| sum += counts);
    sum
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn streaming_joins_as_the_rule_says_each_try_once(tries in tries()) {
        let uses = join(tries.clone());
        prop_assert_eq!(ids(&uses), naive(tries.clone()));
        let all: BTreeSet<Id> = uses.iter().flat_map(|it| it.tries.iter().map(Try::id)).collect();
        prop_assert_eq!(all.len(), uses.iter().map(|it| it.tries.len()).sum::<usize>());
        prop_assert_eq!(all.len(), tries.len());
    }

    #[test]
    fn periods_one_by_one_come_to_what_all_together_do(tries in tries()) {
        let mut expected: BTreeMap<i64, Lines> = BTreeMap::new();
        for it in join(tries.clone()) {
            let (at, key) = (it.first().at, (it.first().tenant, it.first().class));
            expected.entry(at.div_euclid(PERIOD)).or_default().entry(key).or_default().add(&it);
        }
        let mut carried = Over::default();
        for n in 0..4 {
            let (lines, next) = settle(&tries, period(n), &carried);
            prop_assert_eq!(lines, expected.remove(&n).unwrap_or_default(), "period {}", n);
            carried = next;
        }
        prop_assert!(expected.is_empty());
    }

    /// Some records come only after the periods were closed: statements and adjustments together come to what all
    /// records do, whatever the order.
    #[test]
    fn late_records_are_made_good_by_adjustments(tries in tries(), late in any::<u64>()) {
        let early: Vec<Try> = tries.iter().filter(|it| late >> (it.sequence % 64) & 1 == 0).copied().collect();
        let mut said: Vec<Lines> = Vec::new();
        let mut carried = Over::default();
        for n in 0..4 {
            let (lines, next) = settle(&early, period(n), &carried);
            said.push(lines);
            carried = next;
        }
        let mut carried = Over::default();
        for n in 0..4 {
            let (now, next) = settle(&tries, period(n), &carried);
            let adjusted = adjustments(&now, &said[n as usize]);
            let both = said[n as usize].values().chain(adjusted.values()).copied();
            prop_assert_eq!(total(both), total(now.values().copied()));
            carried = next;
        }
    }
}

#[test]
fn retries_are_joined_one_to_one_and_in_order() {
    let retry = |at, sequence| Try {
        repeat: true,
        ..one(at, sequence)
    };
    let whole = |it: Try| Try {
        outcome: Outcome::Whole,
        ..it
    };
    // Two clients with the same text at the same moment are two uses, each with its retry.
    let uses = join(vec![
        one(0, 1),
        one(0, 2),
        whole(retry(30, 3)),
        whole(retry(31, 4)),
    ]);
    assert_eq!(uses.len(), 2);
    assert!(uses
        .iter()
        .all(|it| it.outcome == Outcome::Whole && it.tries.len() == 2));
    assert!(
        !uses[0].ambiguous.is_empty(),
        "there were two to join, and that is told"
    );
    // Its first try never arrived: a use of its own.
    let uses = join(vec![whole(retry(30, 1))]);
    assert_eq!((uses.len(), uses[0].ambiguous.len()), (1, 0));
    // An answered one has had its retries.
    let uses = join(vec![whole(one(0, 1)), whole(retry(30, 2))]);
    assert_eq!((uses.len(), uses[1].ambiguous.len()), (2, 1));
    // Unless its mixer died before the answer can have left for certain.
    let died = Try {
        doubtful: true,
        ..whole(one(0, 1))
    };
    assert_eq!(join(vec![died, whole(retry(30, 2))]).len(), 1);
    // Past the class's give-up time it is no retry of that.
    assert_eq!(join(vec![one(0, 1), retry(WINDOW + SKEW, 2)]).len(), 1);
    assert_eq!(join(vec![one(0, 1), retry(WINDOW + SKEW + 1, 2)]).len(), 2);
    // A clock that is behind: the retry seems to come before its first try.
    let uses = join(vec![one(100, 1), whole(retry(100 - SKEW, 2))]);
    assert_eq!((uses.len(), uses[0].first().at), (1, 100));
    assert_eq!(join(vec![one(100, 1), whole(retry(99 - SKEW, 2))]).len(), 2);
}

#[test]
fn a_key_of_the_clients_own_joins_whatever_became_of_the_tries() {
    let keyed = |at, sequence, outcome| Try {
        keyed: true,
        key: 7,
        outcome,
        ..one(at, sequence)
    };
    let tries = vec![
        keyed(0, 1, Outcome::Whole),
        keyed(40, 2, Outcome::Partial(700_000)),
        keyed(HORIZON, 3, Outcome::Refused),
        Try {
            tenant: 2,
            ..keyed(10, 4, Outcome::Whole)
        },
    ];
    let uses = join(tries);
    assert_eq!(
        uses.iter()
            .map(|it| (it.tries.len(), it.outcome))
            .collect::<Vec<_>>(),
        [(3, Outcome::Whole), (1, Outcome::Whole)]
    );
}

#[test]
fn a_period_waits_for_its_members_until_the_grace_is_over() {
    let known = |member: &str, complete| Known {
        member: member.into(),
        complete,
    };
    let (_, until) = BOUNDS.seen(period(0));
    let both = |b| [known("a", Some(until)), known("b", b)];
    let closes = |now, members: &[Known]| closing(period(0), BOUNDS, 1000, now, members);
    assert_eq!(closes(until, &both(Some(until))), Closing::Whole);
    assert_eq!(
        closes(until, &both(Some(until - 1))),
        Closing::Waits(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 999, &both(None)),
        Closing::Waits(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 1000, &both(None)),
        Closing::Without(vec!["b".into()])
    );
    assert_eq!(
        closes(until - 1, &both(Some(until))),
        Closing::Waits(vec![]),
        "a clock ahead closes nothing early"
    );
}
