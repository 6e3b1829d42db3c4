//! The reducer: answers to queries and rejections, the choice of endpoints, and the size of the retained state.

mod harness;

use cottonhill_mixer::protocol::http::RequestError;
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::{Input, WatchId};
use harness::{query_request, Harness, MS, START};

const NEW_ADDRESS: &str = "127.0.0.9:7070";

#[test]
fn answers_query_completely_with_values_as_received() {
    let mut harness = Harness::new(2);
    let client = harness.send_query(1, &[0.5, 0.5]);
    harness.serve_all();
    let Some(Reply::Answer {
        complete: true,
        hits,
    }) = harness.last_reply(client)
    else {
        panic!("{:?}", harness.last_reply(client))
    };
    assert_eq!(hits[1].doc, "doc q1.1");
    assert_eq!(hits.len(), 2);
}

#[test]
fn rejects_query_immediately_with_retry_after_if_no_endpoint_is_listed() {
    let mut harness = Harness::new(1);
    harness.update_endpoint(1, "removed");
    let client = harness.send_query(1, &[1.0]);
    assert!(
        harness.is_rejected_with_retry_after(client),
        "{:?}",
        harness.last_reply(client)
    );
    assert_eq!(harness.replies[&client][0].sent_at, START);
}

#[test]
fn rejects_query_with_too_short_timeout_and_sends_nothing() {
    let mut harness = Harness::new(1);
    let client = harness.connect_client();
    harness.send_query_from(client, 1, &[1.0], 5);
    assert!(harness.is_rejected_with_retry_after(client));
    assert!(harness.connections.is_empty());
}

#[test]
fn ends_every_query_before_its_client_timeout() {
    let mut harness = Harness::new(2);
    let client = harness.send_query(0, &[0.5, 0.5]);
    harness.advance_ms(10_000);
    assert!(harness.replies[&client][0].sent_at < START + 5000 * MS);
    assert_eq!(harness.reducer.counters().faults.deadline_reached, 0);
}

#[test]
fn rejects_second_query_with_request_id_of_open_one() {
    let mut harness = Harness::new(1);
    let client = harness.send_query(1, &[1.0]);
    let same_request_id = format!("q{client}");
    let other = harness.connect_client();
    harness.send_request(other, query_request(&same_request_id));
    assert!(matches!(
        harness.last_reply(other),
        Some(Reply::InvalidRequest(RequestError { status: 409, .. }))
    ));
    harness.open_all_connections();
    assert_eq!(
        harness.called_parts(),
        1,
        "the parts of both queries would have the same ids"
    );
    harness.answer_all_parts();
    harness.send_request(other, query_request(&same_request_id));
    assert_eq!(
        harness.called_parts(),
        2,
        "the id is free again once the first query has ended"
    );
}

/// Each replica, client and query has a new name; the retained state must not grow with those that have ended.
#[test]
fn retained_state_does_not_grow_with_ended_replicas_clients_and_queries() {
    let mut harness = Harness::new(1);
    let mut retained_entries = Vec::new();
    let mut replica = 1;
    for _ in 0..4 {
        for _ in 0..100 {
            replica += 1;
            harness.update_endpoint(replica, "up");
            harness.update_endpoint(replica - 1, "removed");
            let client = harness.send_query(1, &[0.5, 0.5]);
            harness.serve_all();
            harness.advance_ms(150);
            harness.disconnect_client(client);
        }
        retained_entries.push(harness.reducer.retained_entries());
    }
    assert!(
        retained_entries[1..]
            .iter()
            .all(|entries| *entries <= retained_entries[0] + 5),
        "{retained_entries:?}"
    );
    assert_eq!(harness.reducer.counters().replies.complete, 400);
}

/// A snapshot with only replica 2, at this address.
fn snapshot_of_replica_2(address: &str) -> Input {
    let entry = serde_json::json!({"name": "s-2", "address": address, "group": 0, "status": "up"});
    let update = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [entry]});
    Input::EndpointsUpdated {
        watch: WatchId::FIRST,
        update: serde_json::from_value(update).expect("a well-formed update"),
    }
}

#[test]
fn snapshot_replaces_cached_endpoint_list() {
    let mut harness = Harness::new(2);
    harness.apply(snapshot_of_replica_2(&harness::address(2)));
    harness.send_query(1, &[0.5, 0.5]);
    assert!(
        harness
            .connections
            .values()
            .all(|socket| socket.address == harness::address(2)),
        "{:?}",
        harness.connections
    );
    assert_eq!(harness.reducer.endpoint_list_version(), 9);
}

#[test]
fn replica_whose_address_changed_is_called_at_new_address() {
    let mut harness = Harness::new(2);
    harness.send_query(1, &[0.5, 0.5]);
    harness.serve_all();
    harness.announce_status(NEW_ADDRESS, "up");
    harness.apply(snapshot_of_replica_2(NEW_ADDRESS));
    let frames_before = harness.frames.len();
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let addresses: Vec<&str> = harness.frames[frames_before..]
        .iter()
        .map(|sent| harness.connections[&sent.connection].address.as_str())
        .collect();
    assert_eq!(addresses, [NEW_ADDRESS]);
}
