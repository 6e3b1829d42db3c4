//! Load shedding: parts of an overloaded shard are skipped, and queries are rejected while replicas execute parts of
//! queries that end without an answer.

mod support;

use cottonhill_decisions::{Action, Endpoint, Outcome, ReplicaId, Settings};
use support::{
    attempt_ended, class, complete_only_settings, final_replies, first_attempts_ended,
    ready_endpoint, sent_parts, settings, FinalReply, Harness, SentPart,
};

/// Number of queries sent to measure the fraction that is admitted.
const SAMPLE_QUERIES: u64 = 40;

/// Sends a query whose client disconnects immediately, and ends its attempts as cancelled. Returns the actions of its
/// arrival.
fn send_abandoned_query(harness: &mut Harness, at_ms: u64, weights: &[f64]) -> Vec<Action> {
    let (id, actions) = harness.send_query(at_ms, 0, weights);
    harness.disconnect_client(at_ms, id);
    let cancelled = first_attempts_ended(&sent_parts(&actions), Outcome::Cancelled);
    harness.process(at_ms, &cancelled);
    actions
}

#[test]
fn skips_parts_of_overloaded_shard_if_minimum_coverage_allows() {
    let two_cells = Settings {
        cells: 2,
        ..settings(vec![class(2000, 0.5)])
    };
    let in_second_cell = Endpoint {
        cell: 1,
        ..ready_endpoint(2)
    };
    let mut harness = Harness::with_endpoints(two_cells, vec![ready_endpoint(1), in_second_cell]);
    let (id, _) = harness.send_query(0, 0, &[1.0]);
    harness.end_attempt(300, id + 1, 0, ReplicaId(1), Outcome::Ok);
    for i in 0..20 {
        harness.send_query(400 + i, 0, &[1.0]);
    }
    let (id, actions) = harness.send_query(450, 0, &[0.4, 0.6]);
    let part_of_other_shard = SentPart {
        part: id + 2,
        replica: ReplicaId(2),
    };
    assert_eq!(sent_parts(&actions), [part_of_other_shard]);
}

/// Number of sample queries, of 20 parts each, that are admitted.
fn admitted_queries(harness: &mut Harness, from_ms: u64) -> usize {
    (0..SAMPLE_QUERIES)
        .map(|i| send_abandoned_query(harness, from_ms + i, &[0.05; 20]))
        .filter(|actions| !sent_parts(actions).is_empty())
        .count()
}

/// Parts accepted by leaf servers keep running after their query has ended without an answer. If many coordinators keep
/// sending while all replicas reject parts, every queue stays full of such parts.
#[test]
fn sheds_load_while_replicas_reject_parts_and_recovers_with_answers() {
    let new_harness = || Harness::new(settings(vec![class(2000, 0.5)]), 4);
    let mut harness = new_harness();
    let (id, actions) = harness.send_query(0, 0, &[0.05; 20]);
    let rejected = first_attempts_ended(&sent_parts(&actions), Outcome::Rejected);
    let retries = sent_parts(&harness.process(2, &rejected));
    assert!(
        retries.len() > 10,
        "each part is retried on a second replica"
    );
    assert_eq!(admitted_queries(&mut new_harness(), 0), 40);
    let rejected_again: Vec<_> = retries
        .iter()
        .map(|retry| attempt_ended(retry.part, 1, retry.replica, Outcome::Rejected))
        .collect();
    harness.process(4, &rejected_again);
    harness.disconnect_client(5, id);

    // By this time the replicas no longer count as at capacity because of the rejections.
    let admitted = admitted_queries(&mut harness, 600);
    assert!(
        (1..=12).contains(&admitted),
        "{admitted} of 40 after two rejections of each part"
    );

    for i in 0..400 {
        let at_ms = 3000 + i * 100;
        let (id, actions) = harness.send_query(at_ms, 0, &[1.0]);
        if let Some(sent) = sent_parts(&actions).first() {
            harness.end_attempt(at_ms + 50, id + 1, 0, sent.replica, Outcome::Ok);
        }
    }
    assert_eq!(
        admitted_queries(&mut harness, 50_000),
        40,
        "answers end the load shedding"
    );
}

/// Number of sample queries, of one part each, that are rejected.
fn rejected_queries(harness: &mut Harness, from_ms: u64) -> usize {
    (0..SAMPLE_QUERIES)
        .map(|i| send_abandoned_query(harness, from_ms + i, &[1.0]))
        .filter(|actions| final_replies(actions) == [FinalReply::Rejected])
        .count()
}

/// A query that ends without an answer while parts are in flight has used capacity without a result, and the next
/// queries would as well.
#[test]
fn sheds_load_after_queries_time_out_with_parts_in_flight() {
    let mut harness = Harness::new(complete_only_settings(), 4);
    assert_eq!(rejected_queries(&mut harness, 0), 0);
    for at_ms in (1..=6).map(|i| i * 3_000) {
        let sent = sent_parts(&harness.send_query(at_ms, 0, &[1.0]).1);
        let hedges = sent_parts(&harness.run_timers(at_ms + 10, at_ms + 2_010));
        harness.process(
            at_ms + 2_010,
            &first_attempts_ended(&sent, Outcome::TimedOut),
        );
        let first_hedge: Vec<_> = hedges
            .iter()
            .take(1)
            .map(|hedge| attempt_ended(hedge.part, 1, hedge.replica, Outcome::TimedOut))
            .collect();
        harness.process(at_ms + 2_010, &first_hedge);
    }
    let rejected = rejected_queries(&mut harness, 40_000);
    assert!((20..40).contains(&rejected), "{rejected} of 40");
}
