//! Admission: queries and client retries that cannot meet their latency objective are rejected.

mod support;

use cottonhill_decisions::Action;
use support::{
    complete_only_settings, final_replies, marked_retry_settings, sent_parts, FinalReply, Harness,
    MS,
};

fn is_rejected(actions: &[Action]) -> bool {
    final_replies(actions).contains(&FinalReply::Rejected)
}

#[test]
fn rejects_query_that_cannot_meet_latency_objective_with_retry_after() {
    let mut harness = Harness::new(complete_only_settings(), 1);
    harness.serve_query(0, 300);
    for i in 0..20 {
        harness.send_query(400 + i, 0, &[1.0]);
    }
    let (query, actions) = harness.send_query(450, 0, &[1.0]);
    assert!(actions.contains(&Action::Reject {
        query,
        retry_after: Some(1000 * MS)
    }));
    assert!(sent_parts(&actions).is_empty());
}

#[test]
fn rejects_client_retry_whose_latency_objective_has_passed() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    for at_ms in 0..5 {
        harness.send_query_with_timeout(at_ms, 6000);
    }
    let (_, retry_after_objective) = harness.send_query_with_timeout(10, 3000);
    assert_eq!(
        final_replies(&retry_after_objective),
        [FinalReply::Rejected]
    );
    let (_, retry_before_objective) = harness.send_query_with_timeout(20, 5000);
    assert_eq!(sent_parts(&retry_before_objective).len(), 1);
}

#[test]
fn longer_timeout_of_client_retry_does_not_turn_first_requests_into_retries() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    harness.send_query_with_timeout(0, 5000);
    harness.send_client_retry(1, 5900);
    harness.send_query_with_timeout(2, 5000);
    let actions = harness.run_timers(10, 1850);
    assert!(
        final_replies(&actions).is_empty(),
        "no query ends before its latency objective"
    );
}

/// If clients with a short timeout retry immediately, the long timeouts of other clients must not be mistaken for those
/// of retries after the latency objective.
#[test]
fn short_timeouts_of_one_client_do_not_reject_another() {
    let mut harness = Harness::new(marked_retry_settings(), 3);
    for i in 0..10 {
        harness.send_query_with_timeout(i * 10, 800);
    }
    let (_, long_timeout) = harness.send_query_with_timeout(200, 6000);
    assert!(!is_rejected(&long_timeout));
    let (_, short_timeout) = harness.send_query_with_timeout(210, 700);
    assert!(
        !is_rejected(&short_timeout),
        "no time of a first request has elapsed before it is sent"
    );
}

/// Clients may disconnect before the mean latency of a part and retry immediately. Their queries cannot be answered in
/// time and would only delay others.
#[test]
fn rejects_query_whose_timeout_is_below_mean_part_latency() {
    let mut harness = Harness::new(marked_retry_settings(), 3);
    for i in 0..20 {
        harness.serve_query(i * 500, 450);
    }
    let (_, too_short) = harness.send_query_with_timeout(10_000, 300);
    assert_eq!(final_replies(&too_short), [FinalReply::Rejected]);
    let (_, long_enough) = harness.send_query_with_timeout(10_010, 600);
    assert_eq!(sent_parts(&long_enough).len(), 1);
}

/// With few queries, an overload observed several seconds ago must not lead to the rejection of new queries.
#[test]
fn past_overload_does_not_reject_later_query() {
    let mut harness = Harness::new(complete_only_settings(), 1);
    harness.serve_query(0, 1500);
    let (_, immediate) = harness.send_query(1510, 0, &[1.0]);
    assert_eq!(final_replies(&immediate), [FinalReply::Rejected]);
    let (_, later) = harness.send_query(6000, 0, &[1.0]);
    assert_eq!(sent_parts(&later).len(), 1);
}

/// A client's retry with a timeout below the latency objective has no more time than the failed first request.
#[test]
fn rejects_client_retry_whose_timeout_is_too_short() {
    let mut harness = Harness::new(marked_retry_settings(), 3);
    let (_, first_request) = harness.send_query_with_timeout(0, 900);
    assert_eq!(sent_parts(&first_request).len(), 1);
    let (_, short_retry) = harness.send_client_retry(910, 900);
    assert!(sent_parts(&short_retry).is_empty() && is_rejected(&short_retry));

    let mut harness = Harness::new(marked_retry_settings(), 3);
    harness.send_query_with_timeout(0, 2500);
    let (_, long_retry) = harness.send_client_retry(910, 2500);
    assert!(!is_rejected(&long_retry));
}

/// The expected latency is the mean: a query with enough time for it is not rejected because of some slow answers.
#[test]
fn admits_query_with_time_for_mean_latency() {
    let mut harness = Harness::new(marked_retry_settings(), 4);
    for i in 0..60 {
        let latency_ms = if i % 2 == 0 { 50 } else { 150 };
        harness.serve_query(i * 200, latency_ms);
    }
    let (_, actions) = harness.send_query_with_timeout(13_000, 180);
    assert_eq!(sent_parts(&actions).len(), 1, "{actions:?}");
}
