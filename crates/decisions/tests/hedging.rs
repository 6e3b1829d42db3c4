//! Hedged requests: a part whose attempt is slow is also sent to another replica.

mod support;

use cottonhill_decisions::{EndpointUpdateKind, Event, Outcome, ReplicaId, Settings};
use support::{
    attempt_ended, class, complete_only_settings, final_replies, first_replica, is_logged,
    ready_endpoint, sent_parts, settings, unbatched_settings, FinalReply, Harness, SentPart,
};

#[test]
fn suspects_unresponsive_replica_and_hedges_to_another() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let unresponsive = first_replica(&actions);
    let actions = harness.run_timers(10, 400);
    let hedges = sent_parts(&actions);
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].replica, unresponsive);
    assert!(is_logged(&actions, "suspected"));
    for i in 0..10 {
        let (_, actions) = harness.send_query(410 + i, 0, &[1.0]);
        assert_ne!(first_replica(&actions), unresponsive);
    }
    let after_answer = harness.end_attempt(950, id + 1, 0, unresponsive, Outcome::Ok);
    assert_eq!(final_replies(&after_answer)[0], FinalReply::Complete);
}

#[test]
fn limits_hedges_when_all_replicas_are_slow() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    for i in 0..40 {
        harness.send_query(i * 5, 0, &[1.0]);
    }
    let hedges = sent_parts(&harness.run_timers(210, 1900)).len();
    assert!(hedges <= 8, "{hedges} hedged requests for 40 parts");
}

#[test]
fn hedges_lost_part_while_its_replica_answers_others() {
    let mut harness = Harness::new(complete_only_settings(), 1);
    harness.serve_query(0, 100);
    let (id, _) = harness.send_query(200, 0, &[0.5, 0.5]);
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![ready_endpoint(2)]);
    harness.end_attempt(300, id + 1, 0, ReplicaId(1), Outcome::Ok);
    let hedges = sent_parts(&harness.run_timers(310, 900));
    let expected = SentPart {
        part: id + 2,
        replica: ReplicaId(2),
    };
    assert_eq!(hedges, [expected]);
    let (_, actions) = harness.send_query(910, 0, &[1.0]);
    assert_eq!(
        sent_parts(&actions).len(),
        1,
        "the lost call does not delay other queries"
    );
}

/// The first attempt is lost without an error and is cancelled when the hedged request is answered, so that no event
/// reports the loss.
#[test]
fn counts_unanswered_attempt_cancelled_after_hedge_as_failure() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    for i in 0..10 {
        harness.serve_query(i * 200, 100);
    }
    let (id, actions) = harness.send_query(3000, 0, &[1.0]);
    let lossy = first_replica(&actions);
    let hedged = first_replica(&harness.run_timers(3010, 3900));
    harness.end_attempt(4000, id + 1, 1, hedged, Outcome::Ok);
    assert_ne!(hedged, lossy);
    for at_ms in [6000, 6500, 7000] {
        assert_eq!(harness.serve_query(at_ms, 150), hedged);
    }
}

/// A query with many lost parts and no other traffic: hedging must not stop when the arrivals of its parts are older
/// than the retention time of 2 s.
#[test]
fn keeps_hedging_long_query_without_other_traffic() {
    let unbatched = Settings {
        max_parts_per_call: None,
        ..settings(vec![class(4000, 1.0)])
    };
    let mut harness = Harness::new(unbatched, 200);
    let (id, actions) = harness.send_query(0, 0, &[0.01; 100]);
    for sent in sent_parts(&actions).into_iter().skip(30) {
        harness.end_attempt(300, sent.part, 0, sent.replica, Outcome::Ok);
    }
    let sent = sent_parts(&harness.run_timers(310, 3900));
    let hedges = sent.iter().filter(|sent| sent.part > id).count();
    assert!(hedges > 15, "{hedges} hedged requests for 30 lost parts");
}

/// The one of a part's two attempts that is answered. The other one is cancelled.
#[derive(Clone, Copy)]
enum Winner {
    FirstAttempt,
    Hedge,
}

/// Number of hedged requests for the last of 12 queries if the same attempt wins for all hedged parts.
fn hedges_of_last_query(winner: Winner) -> usize {
    let mut harness = Harness::new(unbatched_settings(), 24);
    for i in 0..40 {
        harness.serve_query(i * 20, 100);
    }
    let mut hedges = Vec::new();
    for round in 1..=12 {
        let at_ms = round * 3000;
        let first_attempts = sent_parts(&harness.send_query(at_ms, 0, &[0.1; 10]).1);
        hedges = sent_parts(&harness.run_timers(at_ms + 10, at_ms + 900));
        let outcomes = race_outcomes(&first_attempts, &hedges, winner);
        harness.process(at_ms + 910, &outcomes);
    }
    hedges.len()
}

fn race_outcomes(first_attempts: &[SentPart], hedges: &[SentPart], winner: Winner) -> Vec<Event> {
    let mut events = Vec::new();
    for first in first_attempts {
        let part = first.part;
        let Some(hedge) = hedges.iter().find(|hedge| hedge.part == part) else {
            events.push(attempt_ended(part, 0, first.replica, Outcome::Ok));
            continue;
        };
        let end_first = |outcome| attempt_ended(part, 0, first.replica, outcome);
        let end_hedge = |outcome| attempt_ended(part, 1, hedge.replica, outcome);
        events.extend(match winner {
            Winner::FirstAttempt => [end_first(Outcome::Ok), end_hedge(Outcome::Cancelled)],
            Winner::Hedge => [end_hedge(Outcome::Ok), end_first(Outcome::Cancelled)],
        });
    }
    events
}

/// If all replicas are slow, first attempts are answered before their hedged requests, which then double the load
/// without benefit.
#[test]
fn sends_fewer_hedged_requests_while_first_attempts_win() {
    let after_wins = hedges_of_last_query(Winner::Hedge);
    let after_losses = hedges_of_last_query(Winner::FirstAttempt);
    assert!(after_wins > after_losses, "{after_wins} and {after_losses}");
}
