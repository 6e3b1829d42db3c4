//! Disconnected clients: regardless of the state of their query, no attempt starts later than 100 ms after the
//! disconnect.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::Input;
use harness::clients::query_request;
use harness::{deployments, Harness};

/// No attempt for a client may start later than this after the client has disconnected.
const MAX_START_AFTER_DISCONNECT_MS: u64 = 100;

#[test]
fn disconnect_before_first_endpoint_update_sends_nothing() {
    for settings_text in deployments() {
        let mut harness = Harness::with_cached_list(&settings_text, 2, 1024);
        let client = harness.send_query(1, &[0.5, 0.5]);
        harness.disconnect_client(client);
        harness.advance_ms(1500);
        harness.open_all_connections();
        harness.advance_ms(1500);
        assert_eq!(harness.call_count(), 0);
        assert_eq!(harness.reducer.counters().replies.client_disconnected, 1);
    }
}

#[test]
fn disconnect_in_same_batch_as_request_sends_nothing() {
    for settings_text in deployments() {
        let mut harness = Harness::with_settings(&settings_text, 1);
        let served = harness.send_query(1, &[1.0]);
        harness.serve_all();
        assert!(harness.last_reply(served).is_some());
        let client = harness.connect_client();
        let calls_before = harness.call_count();
        let query = harness.query_input(client, 1, &[1.0]);
        harness.apply_batch([query, Input::ClientClosed { client }]);
        harness.advance_ms(1000);
        assert_eq!(
            harness.call_count(),
            calls_before,
            "no call for a disconnected client, though the connection is open and has free streams"
        );
    }
}

/// The order in which the client disconnects and the connection to the leaf server opens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    /// Both in one batch, the disconnect first.
    DisconnectThenOpen,
    /// Both in one batch, the opening first.
    OpenThenDisconnect,
    /// The opening later than [`MAX_START_AFTER_DISCONNECT_MS`] after the disconnect.
    OpenLongAfterDisconnect,
    /// The disconnect in the batch after that of the opening.
    DisconnectAfterOpen,
}

const ORDERS: [Order; 4] = [
    Order::DisconnectThenOpen,
    Order::OpenThenDisconnect,
    Order::OpenLongAfterDisconnect,
    Order::DisconnectAfterOpen,
];

#[test]
fn disconnect_while_leaf_connection_opens_sends_nothing() {
    for settings_text in deployments() {
        for order in ORDERS {
            check_disconnect_while_connection_opens(&settings_text, order);
        }
    }
}

fn check_disconnect_while_connection_opens(settings_text: &str, order: Order) {
    let mut harness = Harness::with_settings(settings_text, 1);
    let client = harness.send_query(1, &[0.5, 0.5]);
    let connection = harness.only_connection();
    harness.disconnected_clients.insert(client);
    let disconnected = Input::ClientClosed { client };
    let opened = harness.connection_opened_input(connection);
    match order {
        Order::DisconnectThenOpen => harness.apply_batch([disconnected, opened]),
        Order::OpenThenDisconnect => harness.apply_batch([opened, disconnected]),
        Order::OpenLongAfterDisconnect => {
            harness.apply(disconnected);
            harness.advance_ms(MAX_START_AFTER_DISCONNECT_MS + 1);
            if harness.connections.contains_key(&connection) {
                harness.apply(opened);
            }
        }
        Order::DisconnectAfterOpen => {
            harness.apply(opened);
            assert!(harness.call_count() > 0, "the client was still connected");
            harness.apply(disconnected);
            return;
        }
    }
    // In one batch, a call that was passed to the socket before the disconnect was processed is allowed.
    let calls_in_batch = harness.call_count();
    harness.advance_ms(1000);
    assert_eq!(harness.call_count(), calls_in_batch, "{order:?}");
    let may_call = order == Order::OpenThenDisconnect;
    assert!(
        may_call || calls_in_batch == 0,
        "{order:?}: {:?}",
        harness.frames
    );
}

#[test]
fn disconnect_closes_connection_with_stalled_call() {
    for settings_text in deployments() {
        for attempt_timed_out in [false, true] {
            let mut harness = Harness::with_settings(&settings_text, 1);
            harness.writes_stalled = true;
            let client = harness.send_query(1, &[1.0]);
            harness.open_all_connections();
            let connection = harness.only_connection();
            if attempt_timed_out {
                // The attempt is cancelled before its client disconnects; its frame was passed to the socket and is
                // not written yet.
                harness.advance_ms(90);
            }
            harness.disconnect_client(client);
            harness.advance_ms(MAX_START_AFTER_DISCONNECT_MS - 1);
            assert!(
                !harness.connections.contains_key(&connection),
                "the first byte of the call might be written at any moment"
            );
            assert_eq!(harness.reducer.counters().connections.write_stalled, 1);
        }
    }
}

#[test]
fn connection_is_kept_when_call_is_written_in_time() {
    let mut harness = Harness::new(1);
    harness.writes_stalled = true;
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let connection = harness.only_connection();
    harness.disconnect_client(client);
    harness.advance_ms(30);
    harness.complete_write(connection);
    harness.advance_ms(1000);
    assert!(harness.connections.contains_key(&connection));
    assert_eq!(harness.reducer.counters().connections.write_stalled, 0);
}

#[test]
fn disconnect_between_attempts_prevents_retry() {
    for settings_text in deployments() {
        let mut harness = Harness::with_settings(&settings_text, 3);
        let client = harness.send_query(0, &[1.0]);
        harness.open_all_connections();
        let connection = harness.only_connection();
        // When the client disconnects, one attempt has failed and the next one waits for a connection.
        harness.answer_oldest_part(connection, PartStatus::Busy);
        harness.disconnect_client(client);
        let calls_before = harness.call_count();
        harness.advance_ms(MAX_START_AFTER_DISCONNECT_MS);
        harness.open_all_connections();
        harness.advance_ms(1000);
        harness.open_all_connections();
        assert_eq!(harness.call_count(), calls_before);
    }
}

/// Guards against an id that ran twice: its client sent it, left, and sent it again while the first run was possible.
#[test]
fn request_id_of_a_client_that_left_is_rejected_while_its_query_may_run() {
    for settings_text in deployments() {
        let mut harness = Harness::with_settings(&settings_text, 2);
        let first = harness.connect_client();
        harness.send_request(first, query_request("again"));
        harness.open_all_connections();
        let calls = harness.call_count();
        assert!(calls > 0, "the query was sent");
        harness.disconnect_client(first);
        for wait_ms in [0, 1000, 3000] {
            harness.advance_ms(wait_ms);
            let second = harness.connect_client();
            harness.send_request(second, query_request("again"));
            let reply = harness.last_reply(second).expect("a reply at once");
            let Reply::InvalidRequest(error) = reply else {
                panic!("{reply:?}");
            };
            assert_eq!(error.status, 409);
            assert_eq!(harness.call_count(), calls);
        }
        harness.advance_ms(60_000);
        let last = harness.connect_client();
        harness.send_request(last, query_request("again"));
        harness.open_all_connections();
        assert!(
            harness.call_count() > calls,
            "the id is forgotten in the end"
        );
    }
}

/// A client resends a request once, on a new connection, if the mixer closes the first one without having sent it on.
#[test]
fn request_id_of_a_query_that_was_not_sent_may_come_again() {
    for settings_text in deployments() {
        let mut harness = Harness::with_settings(&settings_text, 2);
        let first = harness.connect_client();
        harness.send_request(first, query_request("again"));
        harness.disconnect_client(first);
        assert_eq!(harness.call_count(), 0, "the connection is not open yet");
        let second = harness.connect_client();
        harness.send_request(second, query_request("again"));
        harness.open_all_connections();
        assert!(harness.call_count() > 0);
    }
}
