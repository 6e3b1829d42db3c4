//! Load shedding: parts of an overloaded shard are left out, and queries are rejected while the replicas do work for
//! nothing.

mod support;

use cottonhill_decisions::{Action, Endpoint, Outcome, ReplicaId, Settings};
use support::{
    attempt_ended, class, complete_only_settings, final_replies, first_attempts_ended,
    ready_endpoint, sent_parts, settings, FinalReply, Harness, SentPart,
};

/// Queries that are sent to see how many are admitted.
const SAMPLE_QUERIES: u64 = 40;

/// Sends a query whose client disconnects at once, and cancels its attempts; the actions that it led to.
fn send_abandoned_query(harness: &mut Harness, at_ms: u64, weights: &[f64]) -> Vec<Action> {
    let (id, actions) = harness.send_query(at_ms, 0, weights);
    harness.disconnect_client(at_ms, id);
    let cancelled = first_attempts_ended(&sent_parts(&actions), Outcome::Cancelled);
    harness.process(at_ms, &cancelled);
    actions
}

#[test]
fn leaves_out_parts_of_overloaded_shard_where_minimum_coverage_allows() {
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

/// How many of the sample queries, of 20 parts each, are admitted.
fn admitted_queries(harness: &mut Harness, from_ms: u64) -> usize {
    (0..SAMPLE_QUERIES)
        .map(|i| send_abandoned_query(harness, from_ms + i, &[0.05; 20]))
        .filter(|actions| !sent_parts(actions).is_empty())
        .count()
}

/// Parts that leaf servers accepted go on running when their query is given up. A hundred coordinators that each go on
/// sending while all replicas reject parts keep every queue full of work for nobody.
#[test]
fn sheds_load_while_replicas_reject_parts_and_recovers_with_answers() {
    let new_harness = || Harness::new(settings(vec![class(2000, 0.5)]), 4);
    let mut harness = new_harness();
    let (id, actions) = harness.send_query(0, 0, &[0.05; 20]);
    let rejected = first_attempts_ended(&sent_parts(&actions), Outcome::Rejected);
    let retries = sent_parts(&harness.process(2, &rejected));
    assert!(retries.len() > 10, "each part is tried at a second replica");
    assert_eq!(admitted_queries(&mut new_harness(), 0), 40);
    let rejected_again: Vec<_> = retries
        .iter()
        .map(|retry| attempt_ended(retry.part, 1, retry.replica, Outcome::Rejected))
        .collect();
    harness.process(4, &rejected_again);
    harness.disconnect_client(5, id);

    // The replicas' own backoff after a rejection is over by then.
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

/// How many of the sample queries, of one part each, are rejected.
fn rejected_queries(harness: &mut Harness, from_ms: u64) -> usize {
    (0..SAMPLE_QUERIES)
        .map(|i| send_abandoned_query(harness, from_ms + i, &[1.0]))
        .filter(|actions| final_replies(actions) == [FinalReply::Rejected])
        .count()
}

/// A query that is given up with parts in flight has cost their work for nothing; the next ones would too.
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
