//! The limit on open parts: queries over the limit are rejected immediately, and ended parts no longer count.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::reducer::ClientId;
use harness::Harness;

/// The weights of a query of five parts; the limit is 60 parts.
const FIVE_PARTS: [f64; 5] = [0.2; 5];

fn send_queries(harness: &mut Harness, count: usize) -> Vec<ClientId> {
    (0..count)
        .map(|_| harness.send_query(1, &FIVE_PARTS))
        .collect()
}

#[test]
fn rejects_query_over_open_part_limit_with_retry_after() {
    let mut harness = Harness::new(1);
    let clients = send_queries(&mut harness, 20);
    let rejected = clients
        .iter()
        .filter(|client| harness.is_rejected_with_retry_after(**client))
        .count();
    assert_eq!(
        harness.reducer.counters().requests.over_limit,
        10,
        "ten queries of five parts fill the limit of 60"
    );
    assert!(rejected >= 10);
}

#[test]
fn answered_parts_do_not_count_towards_open_part_limit() {
    let mut harness = Harness::new(3);
    send_queries(&mut harness, 10);
    harness.open_all_connections();
    let connection = *harness.in_flight.keys().next().unwrap();
    harness.answer_oldest_part(connection, PartStatus::Ok);
    let client = harness.send_query(1, &FIVE_PARTS);
    assert_eq!(
        harness.last_reply(client),
        None,
        "59 parts are open of at most 60"
    );
    let client = harness.send_query(1, &FIVE_PARTS);
    assert!(harness.is_rejected_with_retry_after(client));
}

/// Sends a query whose client disconnects after `answered_parts` of its parts were answered.
fn send_abandoned_query(harness: &mut Harness, answered_parts: usize) {
    let client = harness.send_query(1, &FIVE_PARTS);
    harness.open_all_connections();
    let connection = harness
        .in_flight
        .iter()
        .find(|(_, in_flight)| in_flight.len() >= answered_parts)
        .map(|(connection, _)| *connection)
        .expect("parts are in flight");
    for _ in 0..answered_parts {
        harness.answer_oldest_part(connection, PartStatus::Ok);
    }
    harness.disconnect_client(client);
}

#[test]
fn ended_queries_do_not_count_towards_open_part_limit() {
    let mut harness = Harness::new(3);
    let answered = harness.send_query(1, &FIVE_PARTS);
    harness.serve_all();
    assert!(harness.is_answered_completely(answered));
    for answered_parts in 0..3 {
        send_abandoned_query(&mut harness, answered_parts);
    }
    let rejected: Vec<bool> = send_queries(&mut harness, 12)
        .iter()
        .map(|client| harness.is_rejected_with_retry_after(*client))
        .collect();
    assert_eq!(
        rejected,
        [[false; 10].as_slice(), &[true; 2]].concat(),
        "ten queries of five parts fill the limit of 60"
    );
}
