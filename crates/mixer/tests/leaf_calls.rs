//! Calls to leaf servers: the choice of the connection, the effect of connection losses and malformed answers on
//! attempts, and the closing of connections.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, PartStatus};
use cottonhill_mixer::reducer::Input;
use harness::{Harness, MS, START};

#[test]
fn parts_share_and_reuse_a_leaf_connection() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.serve_all();
    harness.send_query(1, &[1.0]);
    assert_eq!(harness.connections.len(), 1);
    assert_eq!(harness.reducer.counters().connections.opened, 1);
    assert_eq!(harness.called_parts(), 3);
}

#[test]
fn opens_second_connection_when_all_streams_are_used() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[0.2; 5]);
    assert_eq!(
        harness.connections.len(),
        2,
        "a connection has four streams"
    );
}

#[test]
fn connection_that_never_opens_times_out() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    harness.advance_ms(249);
    assert_eq!(
        harness.reducer.counters().attempt_outcomes.connect_failed,
        0
    );
    harness.advance_ms(2);
    assert!(harness.reducer.counters().attempt_outcomes.connect_failed >= 1);
    assert_eq!(harness.called_parts(), 0);
}

#[test]
fn queued_attempt_is_dropped_when_its_replica_drains() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    harness.update_endpoint(1, "draining");
    harness.open_connection(connection);
    harness.advance_ms(3000);
    assert_eq!(
        harness.called_parts(),
        0,
        "the first byte would follow the announcement of the drain"
    );
    assert_eq!(harness.reducer.counters().attempt_outcomes.not_sent, 1);
}

/// The numbers of attempts that ended with a failed connect and with a connection reset.
fn connect_failures_and_resets(harness: &Harness) -> (u64, u64) {
    let ended = &harness.reducer.counters().attempt_outcomes;
    (ended.connect_failed, ended.connection_reset)
}

#[test]
fn connection_loss_counts_as_connect_failure_before_write_and_as_reset_after() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    harness.reset_connection(connection);
    assert_eq!(connect_failures_and_resets(&harness), (1, 0));

    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.reset_connection(connection);
    assert_eq!(connect_failures_and_resets(&harness), (0, 1));
}

#[test]
fn connection_with_timed_out_attempt_is_not_reused() {
    let mut harness = Harness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let old = harness.first_connection();
    // The only replica does not answer before the client's timeout.
    harness.advance_ms(6000);
    assert!(harness.last_reply(client).is_some());
    assert!(
        !harness.connections.contains_key(&old),
        "closed, as no other part is in flight on it"
    );
    harness.send_query(1, &[1.0]);
    assert!(
        harness
            .connections
            .keys()
            .all(|connection| *connection > old),
        "a new connection shows immediately whether the replica is reachable"
    );
}

#[test]
fn connection_with_stalled_write_is_closed() {
    let mut harness = Harness::new(1);
    harness.writes_stalled = true;
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let old = harness.first_connection();
    harness.advance_ms(6000);
    assert!(
        !harness.connections.contains_key(&old),
        "the peer is unreachable while the send buffer is full"
    );
}

#[test]
fn expired_attempt_is_not_sent_when_socket_becomes_writable() {
    let mut harness = Harness::new(1);
    harness.writes_stalled = true;
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    let effects = harness
        .reducer
        .apply(START + 2100 * MS, Input::FrameWritten { connection });
    assert_eq!(
        effects,
        [],
        "the attempt expired at the latency objective of 2 s"
    );
    assert_eq!(harness.reducer.counters().attempt_outcomes.not_sent, 1);
}

#[test]
fn answer_to_cancelled_attempt_is_ignored() {
    let mut harness = Harness::new(1);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.disconnect_client(client);
    let cancel = LeafRequest::Cancel("q1.0".into());
    assert!(harness.frames.iter().any(|sent| sent.frame == cancel));
    harness.answer_part(connection, "q1.0", PartStatus::Ok);
    assert_eq!(harness.reducer.counters().attempt_outcomes.ok, 0);
    assert!(
        harness.replies[&client].is_empty(),
        "the client is disconnected"
    );
}

#[test]
fn idle_connection_is_closed_before_leaf_server_closes_it() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    harness.serve_all();
    harness.advance_ms(26_000);
    assert_eq!(harness.connections.len(), 1);
    harness.advance_ms(3_000);
    assert!(harness.connections.is_empty());
}

#[test]
fn malformed_answer_fails_its_attempt_and_others_are_retried_immediately() {
    for with_id in [true, false] {
        let mut harness = Harness::new(2);
        let client = harness.send_query(1, &[0.25; 4]);
        harness.open_all_connections();
        let connection = *harness
            .in_flight
            .iter()
            .max_by_key(|(_, in_flight)| in_flight.len())
            .unwrap()
            .0;
        let in_flight = harness.in_flight[&connection].len() as u64;
        harness.send_malformed_frame(connection, with_id);
        let ended = harness.reducer.counters().attempt_outcomes.clone();
        assert_eq!(
            (ended.error, ended.cancelled, ended.connection_reset),
            (1, in_flight - 1, 0)
        );
        assert!(
            !harness.connections.contains_key(&connection),
            "the start of the next frame is unknown"
        );
        harness.serve_all();
        assert!(harness.is_answered_completely(client));
        assert_eq!(harness.now, START, "the retries do not wait");
    }
}

/// When a connection is closed, its socket may have written a call completely without having reported it yet. The call
/// counts as possibly executed, so that a non-idempotent part is not retried.
#[test]
fn unreported_call_on_closed_connection_may_have_executed() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.writes_stalled = true;
    harness.send_query(1, &[1.0]);
    harness.send_malformed_frame(connection, true);
    let ended = &harness.reducer.counters().attempt_outcomes;
    assert_eq!(
        (ended.error, ended.connection_reset, ended.connect_failed),
        (1, 1, 0)
    );
}

#[test]
fn unexpected_answer_is_malformed_but_duplicate_is_not() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.answer_part(connection, "q1.1", PartStatus::Ok);
    harness.answer_part(connection, "q1.1", PartStatus::Ok);
    assert_eq!(harness.reducer.counters().connections.malformed, 0);
    harness.answer_part(connection, "q9.0", PartStatus::Ok);
    assert_eq!(harness.reducer.counters().connections.malformed, 1);
    assert_eq!(
        harness.reducer.counters().attempt_outcomes.error,
        1,
        "the part in flight has failed"
    );
}
