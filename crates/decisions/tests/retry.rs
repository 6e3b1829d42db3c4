//! Retries: no retry of a non-idempotent part that may have executed, no more attempts than allowed, and no retry of a
//! query of death.

mod support;

use cottonhill_decisions::{EndpointUpdateKind, Idempotency, Outcome, RetryBudget, Settings};
use support::{
    class, complete_only_settings, final_replies, first_attempts_ended, first_replica, sent_parts,
    settings, unbatched_settings, FinalReply, Harness, MS,
};

#[test]
fn fails_non_idempotent_part_that_may_have_executed() {
    let mut query_class = class(2000, 1.0);
    query_class.idempotency = Idempotency::NonIdempotent;
    let mut harness = Harness::new(settings(vec![query_class]), 3);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let replica = first_replica(&actions);
    let retried = harness.end_attempt(10, id + 1, 0, replica, Outcome::ConnectFailed);
    assert_eq!(
        sent_parts(&retried).len(),
        1,
        "the part did not execute, so it is sent again"
    );
    let replica = first_replica(&retried);
    let lost = harness.end_attempt(20, id + 1, 1, replica, Outcome::ConnectionReset);
    assert!(sent_parts(&lost).is_empty());
    assert_eq!(final_replies(&lost), [FinalReply::Failed]);
}

#[test]
fn retries_keyed_part_only_within_idempotency_window() {
    for (failed_at_ms, retries) in [(300, 1), (900, 0)] {
        let mut query_class = class(2000, 1.0);
        query_class.idempotency = Idempotency::IdempotencyKey;
        query_class.idempotency_window = 500 * MS;
        let without_hedging = Settings {
            hedging_enabled: false,
            ..settings(vec![query_class])
        };
        let mut harness = Harness::new(without_hedging, 3);
        let (id, actions) = harness.send_query(0, 0, &[1.0]);
        let replica = first_replica(&actions);
        let outcome = Outcome::ConnectionReset;
        let after = harness.end_attempt(failed_at_ms, id + 1, 0, replica, outcome);
        assert_eq!(sent_parts(&after).len(), retries);
    }
}

#[test]
fn stops_at_max_attempts() {
    let two_attempts = Settings {
        max_attempts: Some(2),
        ..complete_only_settings()
    };
    let mut harness = Harness::new(two_attempts, 3);
    let (id, mut actions) = harness.send_query(0, 0, &[1.0]);
    for attempt in 0..2 {
        let replica = first_replica(&actions);
        let at_ms = 10 + u64::from(attempt);
        actions = harness.end_attempt(at_ms, id + 1, attempt, replica, Outcome::Error);
    }
    assert!(sent_parts(&actions).is_empty());
    assert_eq!(
        final_replies(&actions),
        [FinalReply::Rejected],
        "rejected immediately"
    );
}

/// A query of death crashes each replica that executes it. With unlimited retries it would crash the entire fleet.
#[test]
fn does_not_retry_query_of_death() {
    let mut harness = Harness::new(unbatched_settings(), 12);
    let (_, actions) = harness.send_query(0, 0, &[0.25; 4]);
    let sent = sent_parts(&actions);
    let after = harness.process(10, &first_attempts_ended(&sent, Outcome::ConnectionReset));
    assert!(
        sent_parts(&after).is_empty(),
        "no part is sent to another replica"
    );
    assert_eq!(final_replies(&after), [FinalReply::Rejected], "immediately");
}

#[test]
fn retries_query_whose_replicas_failed_for_other_reasons() {
    let mut harness = Harness::new(unbatched_settings(), 12);
    let (_, actions) = harness.send_query(0, 0, &[0.2; 5]);
    let sent = sent_parts(&actions);
    let resets = first_attempts_ended(&sent[..4], Outcome::ConnectionReset);
    let after_resets = harness.process(10, &resets);
    assert!(
        sent_parts(&after_resets).is_empty() && final_replies(&after_resets).is_empty(),
        "neither retried nor rejected while a part may still be answered"
    );
    let after_answer = harness.process(150, &first_attempts_ended(&sent[4..], Outcome::Ok));
    assert_eq!(
        sent_parts(&after_answer).len(),
        4,
        "retried, since the answer shows that it is not a query of death"
    );
}

/// A retry may be impossible because the retry budget is exhausted until the latency objective or because no replica is
/// available. Waiting for it would only delay the rejection.
#[test]
fn rejects_query_immediately_if_its_retry_cannot_be_sent() {
    let without_budget = Settings {
        retry_budget: Some(RetryBudget {
            minimum: 0.0,
            ratio: 0.0,
            window: 10_000 * MS,
        }),
        ..complete_only_settings()
    };
    let mut harness = Harness::new(without_budget, 4);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let replica = first_replica(&actions);
    let after = harness.end_attempt(20, id + 1, 0, replica, Outcome::ConnectFailed);
    assert_eq!(
        final_replies(&after),
        [FinalReply::Rejected],
        "no retry budget"
    );

    let mut harness = Harness::new(complete_only_settings(), 1);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let replica = first_replica(&actions);
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    let after = harness.end_attempt(20, id + 1, 0, replica, Outcome::ConnectFailed);
    assert_eq!(final_replies(&after), [FinalReply::Rejected], "no replica");
}
