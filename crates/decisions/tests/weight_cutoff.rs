//! The weight cutoff: during overload, the lightest parts are not sent.

mod support;

use cottonhill_decisions::{Action, Outcome};
use support::{class, is_logged, parts_sent_after, sent_parts, settings, Harness, SentPart};

const CUTOFF_RAISED: &str = "cutoff raised from zero";
const CUTOFF_RESET: &str = "cutoff reset";

/// Sends 10 queries within 10 ms, none of whose parts are answered.
fn send_unanswered_queries(harness: &mut Harness, from_ms: u64) {
    for i in 0..10 {
        harness.send_query(from_ms + i, 0, &[0.6, 0.3, 0.1]);
    }
}

/// Sends 10 queries whose parts are all in flight until just before the latency objective.
fn overload(harness: &mut Harness, from_ms: u64) {
    send_unanswered_queries(harness, from_ms);
    harness.run_timers(from_ms + 10, from_ms + 1900);
}

#[test]
fn raises_cutoff_during_overload_and_skips_lightest_part() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
    let (_, before) = harness.send_query(0, 1, &[0.6, 0.39, 0.01]);
    assert_eq!(sent_parts(&before).len(), 3, "the cutoff is zero");
    send_unanswered_queries(&mut harness, 10);
    let overloaded = harness.run_timers(20, 1750);
    assert!(is_logged(&overloaded, CUTOFF_RAISED));
    let (id, after) = harness.send_query(1760, 1, &[0.6, 0.39, 0.01]);
    assert_eq!(parts_sent_after(&after, id), [id + 1, id + 2]);
}

#[test]
fn cutoff_respects_minimum_coverage_and_complete_answers() {
    let classes = vec![class(2000, 0.5), class(90_000, 0.995), class(90_000, 1.0)];
    let mut harness = Harness::new(settings(classes), 3);
    overload(&mut harness, 0);
    for class in [1, 2] {
        let at_ms = 1900 + u64::from(class) * 10;
        let (id, actions) = harness.send_query(at_ms, class, &[0.6, 0.39, 0.01]);
        assert_eq!(parts_sent_after(&actions, id), [id + 1, id + 2, id + 3]);
    }
}

/// A stepwise decrease would skip light parts although the capacity for them is available again.
#[test]
fn resets_cutoff_in_one_step_from_any_level() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5)]), 3);
    // The parts are overdue at 1.6 s and 2.3 s. The overload lasts until 3.3 s and raises the cutoff by two steps.
    for from_ms in [0, 700] {
        send_unanswered_queries(&mut harness, from_ms);
        harness.run_timers(from_ms + 10, from_ms + 690);
    }
    let overloaded = harness.run_timers(1400, 3500);
    assert!(is_logged(&overloaded, CUTOFF_RAISED) && !is_logged(&overloaded, CUTOFF_RESET));
    harness.send_query(3510, 0, &[1.0]);
    let after: Vec<Action> = (36..=60)
        .flat_map(|tick| harness.fire_timer(tick * 100))
        .collect();
    assert!(
        is_logged(&after, "cutoff reset to zero"),
        "reset within 3 s after the overload"
    );
}

#[test]
fn resets_cutoff_after_overload_subsides() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5)]), 3);
    overload(&mut harness, 0);
    let (_, keep_alive) = harness.send_query(1950, 0, &[1.0]);
    assert!(!keep_alive.is_empty());
    let mut after = Vec::new();
    for second in 2..20 {
        after.extend(harness.fire_timer(second * 1000));
    }
    assert!(is_logged(&after, "cutoff reset to zero"));
}

#[test]
fn single_overdue_part_does_not_raise_cutoff() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5)]), 3);
    harness.send_query(0, 0, &[0.6, 0.3, 0.1]);
    let actions = harness.run_timers(10, 1900);
    assert!(!is_logged(&actions, CUTOFF_RAISED));
}

/// One second of overload must not skip all of 100 light parts that the minimum coverage allows to skip.
#[test]
fn cutoff_step_skips_at_most_a_quarter_of_skippable_parts() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5), class(90_000, 0.6)]), 3);
    overload(&mut harness, 0);
    let (id, actions) = harness.send_query(1900, 1, &[0.01; 100]);
    let sent = parts_sent_after(&actions, id).len();
    assert!(
        (80..100).contains(&sent),
        "{sent} of 100 parts sent after the first steps"
    );
}

/// A coordinator that has just started may fail to connect because of slow handshakes, which does not signal overload.
#[test]
fn failed_connections_to_uncontacted_replicas_do_not_raise_cutoff() {
    for replicas_have_answered in [false, true] {
        let mut harness = Harness::new(settings(vec![class(2000, 0.5), class(90_000, 0.5)]), 3);
        let mut at_ms = 0;
        while replicas_have_answered && at_ms < 3000 {
            harness.serve_query(at_ms, 100);
            at_ms += 200;
        }
        let mut actions = Vec::new();
        for i in 0..12 {
            let sent_at_ms = at_ms + i * 10;
            let (_, sent) = harness.send_query(sent_at_ms, 0, &[1.0]);
            let SentPart { part, replica } = sent_parts(&sent)[0];
            let outcome = Outcome::ConnectFailed;
            actions.extend(harness.end_attempt(sent_at_ms + 5, part, 0, replica, outcome));
        }
        assert_eq!(is_logged(&actions, CUTOFF_RAISED), replicas_have_answered);
    }
}
