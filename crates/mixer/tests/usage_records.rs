//! The reducer's output to the ledger: one usage record for each ended query, and watermarks that no later record
//! contradicts.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest};
use cottonhill_mixer::reducer::usage::{
    is_client_key, key_from_content, key_from_idempotency_key, QueryOutcome, Watermark,
};
use cottonhill_mixer::reducer::{ClientId, Input};
use harness::{query_request, Harness, MS, START};

const QUERY_TEXT: &[u8] = b"text";
/// The delay of the watermark behind the clock, in nanoseconds.
const WATERMARK_DELAY: u64 = 100 * MS;

fn recording_harness(replicas: u64) -> Harness {
    let mut harness = Harness::new(replicas);
    harness.reducer.enable_usage_recording(WATERMARK_DELAY);
    harness
}

/// A query of two parts; marked as a client's retry if it has an idempotency key.
fn two_part_query(request_id: &str, timeout_ms: u64, key: Option<&str>) -> QueryRequest {
    let part = |shard| PartRequest {
        shard,
        weight: 0.5,
        work: None,
    };
    QueryRequest {
        timeout: timeout_ms * MS,
        client_retry: key.is_some(),
        idempotency_key: key.map(str::to_string),
        parts: vec![part(0), part(1)],
        text: bytes::Bytes::from_static(QUERY_TEXT),
        ..query_request(request_id)
    }
}

fn send_two_part_query(
    harness: &mut Harness,
    request_id: &str,
    timeout_ms: u64,
    key: Option<&str>,
) -> ClientId {
    let client = harness.connect_client();
    harness.send_request(client, two_part_query(request_id, timeout_ms, key));
    client
}

#[test]
fn records_each_query_once_with_its_outcome() {
    let mut harness = recording_harness(2);
    harness.send_query(1, &[0.5, 0.5]);
    harness.serve_all();
    // The client disconnects before the answer.
    let client = harness.send_query(1, &[1.0]);
    harness.apply(Input::ClientClosed { client });
    // Queries that are rejected before any decision: one with a timeout that is too short, and those over the limit of
    // open parts.
    send_two_part_query(&mut harness, "late", 1, None);
    let queries: Vec<ClientId> = (0..30)
        .map(|_| harness.send_query(1, &[0.5, 0.5]))
        .collect();
    let rejected = harness
        .usage_records
        .iter()
        .filter(|record| record.outcome == QueryOutcome::Rejected)
        .count();
    assert_eq!(
        rejected,
        1 + 10,
        "at most 20 queries of two parts each may be open"
    );
    // The open queries fail or are rejected when they time out, and each of them has a record.
    harness.advance_ms(7000);
    assert_eq!(harness.usage_records.len(), 3 + queries.len());
    let first = &harness.usage_records[0];
    assert_eq!(
        (first.outcome, first.parts, first.attempts, first.arrived_at),
        (QueryOutcome::Complete, 2, 2, START)
    );
    assert_eq!(
        harness.usage_records[1].outcome,
        QueryOutcome::ClientDisconnected
    );
    check_sequence_and_counters(&harness);
}

fn check_sequence_and_counters(harness: &Harness) {
    let sequence: Vec<u64> = harness
        .usage_records
        .iter()
        .map(|record| record.sequence)
        .collect();
    let records = sequence.len() as u64;
    assert_eq!(
        sequence,
        (1..=records).collect::<Vec<_>>(),
        "sequence numbers without gaps"
    );
    let counters = harness.reducer.counters();
    assert_eq!(counters.usage_records, records);
    assert_eq!(
        counters.usage_records_by_class.values().sum::<u64>(),
        counters.usage_records
    );
    assert_eq!(
        counters.usage_records_by_class.keys().collect::<Vec<_>>(),
        ["all lookup"]
    );
}

#[test]
fn records_coverage_of_partial_answer() {
    let mut harness = recording_harness(1);
    harness.send_query(0, &[0.7, 0.2, 0.1]);
    harness.open_all_connections();
    let connection = harness.first_connection();
    harness.answer_oldest_part(connection, PartStatus::Ok);
    harness.advance_ms(5000);
    assert_eq!(harness.usage_records.len(), 1);
    assert_eq!(
        harness.usage_records[0].outcome,
        QueryOutcome::Partial(700_000),
        "{:?}",
        harness.usage_records[0]
    );
}

fn last_watermark(harness: &Harness) -> &Watermark {
    harness.watermarks.last().expect("a watermark")
}

/// No record may follow a watermark that covers the record's arrival time: a query that was received before the
/// watermark but processed after it is recorded with the watermark's time, and an open query blocks the watermark.
#[test]
fn no_record_contradicts_earlier_watermark() {
    let mut harness = recording_harness(1);
    harness.advance_ms(150);
    let client = harness.send_query(1, &[1.0]);
    let received_at = harness.now;
    harness.advance_ms(1000);
    let blocked_watermark = last_watermark(&harness);
    assert_eq!(
        (
            blocked_watermark.complete_until,
            blocked_watermark.sequence,
            blocked_watermark.last
        ),
        (received_at, 0, false),
        "an open query blocks the watermark"
    );
    harness.serve_all();
    assert!(harness.last_reply(client).is_some());
    harness.advance_ms(200);
    let complete_until = last_watermark(&harness).complete_until;
    assert!(complete_until > received_at && last_watermark(&harness).sequence == 1);
    send_query_received_before_watermark(&mut harness);
    harness.serve_all();
    assert_eq!(harness.usage_records[1].arrived_at, complete_until);
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(7000);
    assert!(
        harness.has_exited && last_watermark(&harness).last,
        "the last watermark is marked as such"
    );
}

/// Sends a query that was received before the last watermark and is processed only now.
fn send_query_received_before_watermark(harness: &mut Harness) {
    let client = harness.connect_client();
    let query = QueryRequest {
        text: bytes::Bytes::from_static(QUERY_TEXT),
        ..query_request("waited")
    };
    harness.apply(Input::RequestReceived {
        client,
        received_at: harness.now - 190 * MS,
        request: Ok(ClientRequest::Query(query)),
    });
}

#[test]
fn records_nothing_when_ledger_is_off() {
    let mut harness = Harness::new(1);
    harness.send_query(1, &[1.0]);
    harness.serve_all();
    harness.advance_ms(1000);
    assert_eq!(harness.usage_records.len(), 0);
    assert_eq!(harness.watermarks.len(), 0);
    assert_eq!(harness.reducer.counters().usage_records, 0);
}

#[test]
fn client_retries_share_a_key_and_other_queries_do_not() {
    let mut harness = recording_harness(1);
    send_two_part_query(&mut harness, "a", 1, None);
    send_two_part_query(&mut harness, "b", 1, None);
    send_two_part_query(&mut harness, "c", 1, Some("k"));
    let keys: Vec<u64> = harness
        .usage_records
        .iter()
        .map(|record| record.key)
        .collect();
    let parts = [(1, 0.5), (0, 0.5)];
    assert_eq!(
        keys[0],
        key_from_content("lookup", parts.into_iter(), QUERY_TEXT),
        "the key does not depend on the order of the parts"
    );
    assert_eq!(
        (keys[0], keys[2]),
        (keys[1], key_from_idempotency_key("lookup", "k"))
    );
    assert!(
        is_client_key(keys[2])
            && !is_client_key(keys[0])
            && harness.usage_records[2].key_from_client
    );
    let other_keys = [
        key_from_content("report", parts.into_iter(), QUERY_TEXT),
        key_from_content("lookup", parts.into_iter(), b"test"),
        key_from_content("lookup", [(1, 0.5), (2, 0.5)].into_iter(), QUERY_TEXT),
        key_from_idempotency_key("lookup", "K"),
    ];
    assert!(other_keys.iter().all(|other| !keys.contains(other)));
}
