//! Which queries start: those that can meet their latency objective, and no client retry that comes too late for it.

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
    let (_, late_retry) = harness.send_query_with_timeout(10, 3000);
    assert_eq!(final_replies(&late_retry), [FinalReply::Rejected]);
    let (_, early_retry) = harness.send_query_with_timeout(20, 5000);
    assert_eq!(sent_parts(&early_retry).len(), 1);
}

#[test]
fn longer_timeout_of_client_retry_does_not_make_first_tries_retries() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    harness.send_query_with_timeout(0, 5000);
    harness.send_client_retry(1, 5900);
    harness.send_query_with_timeout(2, 5000);
    let actions = harness.run_timers(10, 1850);
    assert!(
        final_replies(&actions).is_empty(),
        "none is given up before its latency objective"
    );
}

/// Clients that give up early and retry at once must not make other clients' queries look like late retries.
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
        "a first try always has its time left"
    );
}

/// Clients that leave before a usual part is answered and retry at once: their work would only delay others.
#[test]
fn rejects_query_whose_timeout_is_below_usual_part_latency() {
    let mut harness = Harness::new(marked_retry_settings(), 3);
    for i in 0..20 {
        harness.serve_query(i * 500, 450);
    }
    let (_, too_short) = harness.send_query_with_timeout(10_000, 300);
    assert_eq!(final_replies(&too_short), [FinalReply::Rejected]);
    let (_, long_enough) = harness.send_query_with_timeout(10_010, 600);
    assert_eq!(sent_parts(&long_enough).len(), 1);
}

/// Where queries are rare, an overload seen seconds ago must not reject what comes now.
#[test]
fn past_overload_does_not_reject_later_query() {
    let mut harness = Harness::new(complete_only_settings(), 1);
    harness.serve_query(0, 1500);
    let (_, at_once) = harness.send_query(1510, 0, &[1.0]);
    assert_eq!(final_replies(&at_once), [FinalReply::Rejected]);
    let (_, later) = harness.send_query(6000, 0, &[1.0]);
    assert_eq!(sent_parts(&later).len(), 1);
}

/// Client retries that give up before the latency objective have no more time than the try that failed.
#[test]
fn rejects_client_retry_whose_timeout_is_too_short() {
    let mut harness = Harness::new(marked_retry_settings(), 3);
    let (_, first_try) = harness.send_query_with_timeout(0, 900);
    assert_eq!(sent_parts(&first_try).len(), 1);
    let (_, hasty_retry) = harness.send_client_retry(910, 900);
    assert!(sent_parts(&hasty_retry).is_empty() && is_rejected(&hasty_retry));

    let mut harness = Harness::new(marked_retry_settings(), 3);
    harness.send_query_with_timeout(0, 2500);
    let (_, patient_retry) = harness.send_client_retry(910, 2500);
    assert!(!is_rejected(&patient_retry));
}

/// The latency to expect is the mean: a query with time for that is not rejected for a few slow answers.
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
