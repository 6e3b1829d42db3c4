//! Retries under an idempotency key: none is sent after the window in which leaf servers deduplicate it.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use harness::{Harness, SETTINGS};

/// Class 0 has an idempotency key, and leaf servers deduplicate it for 100 ms.
fn keyed_settings() -> String {
    let keyed = SETTINGS.replace(
        "classes.0.semantics=read_like",
        "classes.0.semantics=idempotency_key",
    );
    keyed + "classes.0.dedup_window_ns=100000000\n"
}

#[test]
fn retry_waiting_past_idempotency_window_is_never_sent() {
    for (opens_after_ms, is_sent) in [(90, true), (110, false)] {
        let mut harness = Harness::with_settings(&keyed_settings(), 2);
        let client = harness.send_query(0, &[1.0]);
        harness.open_all_connections();
        let first = harness.only_connection();
        harness.reset_connection(first);
        assert_eq!(harness.call_count(), 1, "it may have executed");
        assert_eq!(
            harness.connections.len(),
            1,
            "and is retried on a connection that has yet to open"
        );
        harness.advance_ms(opens_after_ms);
        harness.open_all_connections();
        assert_eq!(
            harness.call_count() > 1,
            is_sent,
            "after {opens_after_ms} ms"
        );
        harness.advance_ms(6000);
        assert_eq!(
            harness.replies[&client].len(),
            1,
            "and its client is answered all the same"
        );
    }
}

#[test]
fn rejected_attempt_opens_no_idempotency_window() {
    let mut harness = Harness::with_settings(&keyed_settings(), 2);
    harness.send_query(0, &[1.0]);
    harness.open_all_connections();
    let first = harness.only_connection();
    harness.answer_oldest_part(first, PartStatus::Busy);
    harness.advance_ms(150);
    harness.open_all_connections();
    assert_eq!(harness.call_count(), 2, "what was rejected did not execute");
}

#[test]
fn retry_stalled_past_idempotency_window_closes_its_connection() {
    let mut harness = Harness::with_settings(&keyed_settings(), 2);
    harness.send_query(0, &[1.0]);
    harness.open_all_connections();
    let first = harness.only_connection();
    harness.reset_connection(first);
    harness.writes_stalled = true;
    harness.advance_ms(50);
    harness.open_all_connections();
    let second = harness.only_connection();
    assert_eq!(harness.call_count(), 2);
    harness.advance_ms(51);
    assert!(!harness.connections.contains_key(&second));
}
