//! Retries with an idempotency key: none is sent after the window in which leaf servers deduplicate it.

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
fn retry_queued_until_idempotency_window_ends_is_never_sent() {
    for (opens_after_ms, is_sent) in [(90, true), (110, false)] {
        let mut harness = Harness::with_settings(&keyed_settings(), 2);
        let client = harness.send_query(0, &[1.0]);
        harness.open_all_connections();
        let first = harness.only_connection();
        harness.reset_connection(first);
        assert_eq!(
            harness.call_count(),
            1,
            "the first attempt may have executed"
        );
        assert_eq!(
            harness.connections.len(),
            1,
            "the retry waits for a connection to open"
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
            "the client gets exactly one reply in either case"
        );
    }
}

#[test]
fn rejected_attempt_does_not_start_idempotency_window() {
    let mut harness = Harness::with_settings(&keyed_settings(), 2);
    harness.send_query(0, &[1.0]);
    harness.open_all_connections();
    let first = harness.only_connection();
    harness.answer_oldest_part(first, PartStatus::Busy);
    harness.advance_ms(150);
    harness.open_all_connections();
    assert_eq!(
        harness.call_count(),
        2,
        "a rejected attempt has not executed"
    );
}

#[test]
fn retry_stalled_until_idempotency_window_ends_closes_its_connection() {
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
