//! Joining, settling and adjustments against a naive model, under random retries, crashes, reordering and late records.

use cottonhill_ledger::join::{ClientAttempt, Joiner, Outcome, RecordId, Use};
use cottonhill_ledger::period::Period;
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::settle::{
    adjustments, close_decision, CarryForward, CloseDecision, JoinLimits, Lines, MemberProgress,
    PeriodSettler,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SKEW: i64 = 20;
const WINDOW: i64 = 100;
const HORIZON: i64 = 150;
const PERIOD: i64 = 400;
const BOUNDS: JoinLimits = JoinLimits {
    horizon_ms: HORIZON,
    skew_ms: SKEW,
};

fn attempt(arrived_ms: i64, sequence: u64) -> ClientAttempt {
    ClientAttempt {
        arrived_ms,
        member: 1,
        incarnation: 1,
        sequence,
        tenant: 1,
        class: 1,
        outcome: Outcome::Rejected,
        parts: 2,
        part_attempts: 3,
        cross_zone_attempts: 1,
        client_retry: false,
        key: 2,
        key_from_client: false,
        retry_window_ms: WINDOW,
        delivery_uncertain: false,
    }
}

fn join(mut attempts: Vec<ClientAttempt>) -> Vec<Use> {
    attempts.sort_by_key(ClientAttempt::id);
    let mut uses = Vec::new();
    let mut joiner = Joiner::new(SKEW, HORIZON);
    for attempt in attempts {
        joiner.push(attempt, &mut |joined| uses.push(joined));
    }
    joiner.finish(&mut |joined| uses.push(joined));
    uses.sort_by_key(|joined| joined.first().id());
    uses
}

/// The rule of [`cottonhill_ledger::join`] over all attempts at once, without streaming.
fn naive(mut attempts: Vec<ClientAttempt>) -> Vec<Vec<RecordId>> {
    attempts.sort_by_key(ClientAttempt::id);
    let mut uses: Vec<Vec<ClientAttempt>> = attempts
        .iter()
        .filter(|attempt| !attempt.client_retry && !attempt.key_from_client)
        .map(|attempt| vec![*attempt])
        .collect();
    for retry in attempts
        .iter()
        .filter(|attempt| attempt.client_retry || attempt.key_from_client)
    {
        let same = |attempt: &ClientAttempt| {
            (
                attempt.tenant,
                attempt.class,
                attempt.key,
                attempt.key_from_client,
            ) == (retry.tenant, retry.class, retry.key, retry.key_from_client)
        };
        let window = if retry.key_from_client {
            HORIZON
        } else {
            WINDOW
        };
        let fits = |joined: &&mut Vec<ClientAttempt>| {
            let (first, last) = (joined[0], joined[joined.len() - 1]);
            let open = retry.key_from_client
                || last.delivery_uncertain
                || !matches!(last.outcome, Outcome::Complete | Outcome::Partial(_));
            same(&first)
                && first.arrived_ms + window + SKEW >= retry.arrived_ms
                && last.arrived_ms <= retry.arrived_ms + SKEW
                && open
        };
        let rank = |joined: &&mut Vec<ClientAttempt>| {
            let last = joined[joined.len() - 1];
            let answered = !retry.key_from_client
                && matches!(last.outcome, Outcome::Complete | Outcome::Partial(_));
            (
                answered,
                last.arrived_ms > retry.arrived_ms,
                if retry.key_from_client {
                    joined[0].id()
                } else {
                    last.id()
                },
            )
        };
        match uses.iter_mut().filter(fits).min_by_key(rank) {
            Some(joined) => joined.push(*retry),
            None => uses.push(vec![*retry]),
        }
    }
    let mut ids: Vec<Vec<RecordId>> = uses
        .iter()
        .map(|joined| joined.iter().map(ClientAttempt::id).collect())
        .collect();
    ids.sort();
    ids
}

fn ids(uses: &[Use]) -> Vec<Vec<RecordId>> {
    let mut ids: Vec<Vec<RecordId>> = uses
        .iter()
        .map(|joined| joined.attempts.iter().map(ClientAttempt::id).collect())
        .collect();
    ids.sort();
    ids
}

fn attempts() -> impl Strategy<Value = Vec<ClientAttempt>> {
    let outcome = prop_oneof![
        Just(Outcome::Complete),
        (1u32..1_000_000).prop_map(Outcome::Partial),
        Just(Outcome::Rejected),
        Just(Outcome::Rejected),
        Just(Outcome::Failed),
        Just(Outcome::ClientDisconnected),
    ];
    let fields = (
        0i64..1600,
        1u32..4,
        1u32..3,
        1u64..4,
        any::<bool>(),
        outcome,
        0u8..8,
    );
    prop::collection::vec(fields, 0..60).prop_map(|all| {
        let make = |(n, (at, member, tenant, key, client_retry, outcome, choice)): (
            usize,
            (i64, u32, u32, u64, bool, _, u8),
        )| {
            let keyed = choice == 0;
            let key = key * 2 + u64::from(keyed);
            ClientAttempt {
                member,
                tenant,
                key,
                key_from_client: keyed,
                client_retry,
                outcome,
                delivery_uncertain: choice == 1,
                ..attempt(at, n as u64 + 1)
            }
        };
        all.into_iter().enumerate().map(make).collect()
    })
}

/// Settles one period like the store does; returns its lines and carry-forward.
fn settle(
    attempts: &[ClientAttempt],
    period: Period,
    before: &CarryForward,
) -> (Lines, CarryForward) {
    let (from, until) = BOUNDS.arrival_range(period);
    let mut seen: Vec<ClientAttempt> = attempts
        .iter()
        .filter(|attempt| (from..until).contains(&attempt.arrived_ms))
        .copied()
        .collect();
    seen.sort_by_key(ClientAttempt::id);
    let mut settler = PeriodSettler::new(period, BOUNDS, before.clone());
    seen.into_iter().for_each(|attempt| settler.push(attempt));
    let settled = settler.finish();
    (settled.lines, settled.carry_forward)
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
    fn streaming_joins_each_attempt_once_like_the_naive_model(attempts in attempts()) {
        let uses = join(attempts.clone());
        prop_assert_eq!(ids(&uses), naive(attempts.clone()));
        let all: BTreeSet<RecordId> = uses.iter().flat_map(|joined| joined.attempts.iter().map(ClientAttempt::id)).collect();
        prop_assert_eq!(all.len(), uses.iter().map(|joined| joined.attempts.len()).sum::<usize>());
        prop_assert_eq!(all.len(), attempts.len());
    }

    #[test]
    fn settling_period_by_period_equals_joining_all_attempts(attempts in attempts()) {
        let mut expected: BTreeMap<i64, Lines> = BTreeMap::new();
        for joined in join(attempts.clone()) {
            let (at, key) = (joined.first().arrived_ms, (joined.first().tenant, joined.first().class));
            expected.entry(at.div_euclid(PERIOD)).or_default().entry(key).or_default().add(&joined);
        }
        let mut carry_forward = CarryForward::default();
        for n in 0..4 {
            let (lines, next) = settle(&attempts, period(n), &carry_forward);
            prop_assert_eq!(lines, expected.remove(&n).unwrap_or_default(), "period {}", n);
            carry_forward = next;
        }
        prop_assert!(expected.is_empty());
    }

    /// Some records arrive after their period has closed: statements and adjustments together must equal the counts of
    /// all records, in any order.
    #[test]
    fn adjustments_account_for_late_records(attempts in attempts(), late in any::<u64>()) {
        let on_time: Vec<ClientAttempt> = attempts.iter().filter(|attempt| late >> (attempt.sequence % 64) & 1 == 0).copied().collect();
        let mut billed: Vec<Lines> = Vec::new();
        let mut carry_forward = CarryForward::default();
        for n in 0..4 {
            let (lines, next) = settle(&on_time, period(n), &carry_forward);
            billed.push(lines);
            carry_forward = next;
        }
        let mut carry_forward = CarryForward::default();
        for n in 0..4 {
            let (current, next) = settle(&attempts, period(n), &carry_forward);
            let adjusted = adjustments(&current, &billed[n as usize]);
            let both = billed[n as usize].values().chain(adjusted.values()).copied();
            prop_assert_eq!(total(both), total(current.values().copied()));
            carry_forward = next;
        }
    }
}

#[test]
fn retries_are_joined_one_to_one_and_in_order() {
    let retry = |at, sequence| ClientAttempt {
        client_retry: true,
        ..attempt(at, sequence)
    };
    let answered = |attempt: ClientAttempt| ClientAttempt {
        outcome: Outcome::Complete,
        ..attempt
    };
    // Two clients with the same request at the same time are two uses, each with its retry.
    let uses = join(vec![
        attempt(0, 1),
        attempt(0, 2),
        answered(retry(30, 3)),
        answered(retry(31, 4)),
    ]);
    assert_eq!(uses.len(), 2);
    assert!(uses
        .iter()
        .all(|joined| joined.outcome == Outcome::Complete && joined.attempts.len() == 2));
    assert!(
        !uses[0].ambiguous.is_empty(),
        "the retry had two candidates, which is reported"
    );
    // The first attempt never arrived: the retry is a use of its own.
    let uses = join(vec![answered(retry(30, 1))]);
    assert_eq!((uses.len(), uses[0].ambiguous.len()), (1, 0));
    // An answered attempt accepts no retry.
    let uses = join(vec![answered(attempt(0, 1)), answered(retry(30, 2))]);
    assert_eq!((uses.len(), uses[1].ambiguous.len()), (2, 1));
    // Unless its mixer crashed, so that delivery of the answer is uncertain.
    let crashed = ClientAttempt {
        delivery_uncertain: true,
        ..answered(attempt(0, 1))
    };
    assert_eq!(join(vec![crashed, answered(retry(30, 2))]).len(), 1);
    // After the class's give-up time a retry is not joined.
    assert_eq!(join(vec![attempt(0, 1), retry(WINDOW + SKEW, 2)]).len(), 1);
    assert_eq!(
        join(vec![attempt(0, 1), retry(WINDOW + SKEW + 1, 2)]).len(),
        2
    );
    // Clock skew: the retry seems to precede its first attempt.
    let uses = join(vec![attempt(100, 1), answered(retry(100 - SKEW, 2))]);
    assert_eq!((uses.len(), uses[0].first().arrived_ms), (1, 100));
    assert_eq!(
        join(vec![attempt(100, 1), answered(retry(99 - SKEW, 2))]).len(),
        2
    );
}

#[test]
fn a_key_from_the_client_joins_attempts_of_any_outcome() {
    let keyed = |at, sequence, outcome| ClientAttempt {
        key_from_client: true,
        key: 7,
        outcome,
        ..attempt(at, sequence)
    };
    let attempts = vec![
        keyed(0, 1, Outcome::Complete),
        keyed(40, 2, Outcome::Partial(700_000)),
        keyed(HORIZON, 3, Outcome::Rejected),
        ClientAttempt {
            tenant: 2,
            ..keyed(10, 4, Outcome::Complete)
        },
    ];
    let uses = join(attempts);
    assert_eq!(
        uses.iter()
            .map(|joined| (joined.attempts.len(), joined.outcome))
            .collect::<Vec<_>>(),
        [(3, Outcome::Complete), (1, Outcome::Complete)]
    );
}

#[test]
fn a_period_waits_for_its_members_until_the_grace_period_expires() {
    let progress = |member: &str, watermark_ms| MemberProgress {
        member: member.into(),
        watermark_ms,
    };
    let (_, until) = BOUNDS.arrival_range(period(0));
    let both = |b| [progress("a", Some(until)), progress("b", b)];
    let closes =
        |now, members: &[MemberProgress]| close_decision(period(0), BOUNDS, 1000, now, members);
    assert_eq!(closes(until, &both(Some(until))), CloseDecision::Complete);
    assert_eq!(
        closes(until, &both(Some(until - 1))),
        CloseDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 999, &both(None)),
        CloseDecision::Wait(vec!["b".into()])
    );
    assert_eq!(
        closes(until + 1000, &both(None)),
        CloseDecision::Incomplete(vec!["b".into()])
    );
    assert_eq!(
        closes(until - 1, &both(Some(until))),
        CloseDecision::Wait(vec![]),
        "a clock ahead closes no period early"
    );
}
