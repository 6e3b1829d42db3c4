//! The ledger's hook in the reducer: one record for each query that ends, and marks that keep their word.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest};
use cottonhill_mixer::reducer::usage::{is_client_key, key_of_client, key_of_query, QueryOutcome};
use cottonhill_mixer::reducer::Input;
use harness::{Harness, MS, START};

fn recording(replicas: u64) -> Harness {
    let mut harness = Harness::new(replicas);
    harness.state.record_usage(100 * MS);
    harness
}

fn ask(harness: &mut Harness, name: &str, timeout_ms: u64, key: Option<&str>) -> u64 {
    let client = harness.connect();
    let part = |shard| PartRequest {
        shard,
        weight: 0.5,
        work: None,
    };
    let query = QueryRequest {
        request_id: name.into(),
        class: 1,
        tenant: 0,
        timeout: timeout_ms * MS,
        client_retry: key.is_some(),
        idempotency_key: key.map(str::to_string),
        parts: vec![part(0), part(1)],
        text: bytes::Bytes::from_static(b"text"),
    };
    harness.put(Input::RequestReceived {
        client,
        received_at: harness.now,
        request: Ok(ClientRequest::Query(query)),
    });
    client
}

#[test]
fn each_end_of_a_query_is_one_record_that_says_how_it_ended() {
    let mut harness = recording(2);
    harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    harness.answer_all();
    // Left before the answer.
    let client = harness.ask(1, &[1.0]);
    harness.put(Input::ClientClosed { client });
    // Refused before any decision: no time left, and too much open.
    ask(&mut harness, "late", 1, None);
    let many: Vec<u64> = (0..30).map(|_| harness.ask(1, &[0.5, 0.5])).collect();
    let over = harness
        .records
        .iter()
        .filter(|it| it.outcome == QueryOutcome::Rejected)
        .count();
    assert_eq!(
        over,
        1 + 10,
        "20 queries of two parts each are all that may be open"
    );
    // Failed or refused once their time is up: none is left without a record.
    harness.pass(7000);
    assert_eq!(harness.records.len(), 3 + many.len());
    let first = &harness.records[0];
    assert_eq!(
        (first.outcome, first.parts, first.attempts, first.arrived),
        (QueryOutcome::Complete, 2, 2, START)
    );
    assert_eq!(harness.records[1].outcome, QueryOutcome::ClientDisconnected);
    let numbers: Vec<u64> = harness.records.iter().map(|it| it.sequence).collect();
    assert_eq!(
        numbers,
        (1..=numbers.len() as u64).collect::<Vec<_>>(),
        "without a gap"
    );
    let counters = harness.state.counters();
    assert_eq!(counters.usage_records, numbers.len() as u64);
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
fn a_partial_answer_tells_its_share() {
    let mut harness = recording(1);
    harness.ask(0, &[0.7, 0.2, 0.1]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    harness.answer(connection, PartStatus::Ok);
    harness.pass(5000);
    assert_eq!(harness.records.len(), 1);
    assert_eq!(
        harness.records[0].outcome,
        QueryOutcome::Partial(700_000),
        "{:?}",
        harness.records[0]
    );
}

/// What a mark calls complete stays so: whatever arrives later counts as later, and what is open holds it back.
#[test]
fn a_mark_is_never_belied() {
    let mut harness = recording(1);
    harness.pass(150);
    let early = harness.ask(1, &[1.0]);
    let asked = harness.now;
    harness.pass(1000);
    let held = harness.marks.last().unwrap();
    assert_eq!(
        (held.complete_until, held.sequence, held.last),
        (asked, 0, false),
        "an open query holds it back"
    );
    harness.open_all();
    harness.answer_all();
    assert!(harness.reply(early).is_some());
    harness.pass(200);
    let (complete, now) = (harness.marks.last().unwrap().complete_until, harness.now);
    assert!(complete > asked && harness.marks.last().unwrap().sequence == 1);
    // It waited for its turn since before the mark.
    let client = harness.connect();
    let part = PartRequest {
        shard: 0,
        weight: 1.0,
        work: None,
    };
    let query = QueryRequest {
        request_id: "waited".into(),
        class: 1,
        tenant: 0,
        timeout: 5000 * MS,
        client_retry: false,
        idempotency_key: None,
        parts: vec![part],
        text: bytes::Bytes::from_static(b"text"),
    };
    harness.put(Input::RequestReceived {
        client,
        received_at: now - 190 * MS,
        request: Ok(ClientRequest::Query(query)),
    });
    harness.open_all();
    harness.answer_all();
    assert_eq!(harness.records[1].arrived, complete);
    harness.put(Input::ShutdownRequested);
    harness.pass(7000);
    assert!(
        harness.exited && harness.marks.last().unwrap().last,
        "the last mark says that nothing follows"
    );
}

#[test]
fn nothing_is_recorded_where_the_ledger_is_off() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    harness.pass(1000);
    assert_eq!(
        (
            harness.records.len(),
            harness.marks.len(),
            harness.state.counters().usage_records
        ),
        (0, 0, 0)
    );
}

#[test]
fn tries_of_one_use_have_one_key_and_others_another() {
    let mut harness = recording(1);
    ask(&mut harness, "a", 1, None);
    ask(&mut harness, "b", 1, None);
    ask(&mut harness, "c", 1, Some("k"));
    let keys: Vec<u64> = harness.records.iter().map(|it| it.key).collect();
    let parts = [(1, 0.5), (0, 0.5)];
    assert_eq!(
        keys[0],
        key_of_query("lookup", parts.into_iter(), b"text"),
        "parts in any order"
    );
    assert_eq!((keys[0], keys[2]), (keys[1], key_of_client("lookup", "k")));
    assert!(
        is_client_key(keys[2]) && !is_client_key(keys[0]) && harness.records[2].key_from_client
    );
    let others = [
        key_of_query("report", parts.into_iter(), b"text"),
        key_of_query("lookup", parts.into_iter(), b"test"),
        key_of_query("lookup", [(1, 0.5), (2, 0.5)].into_iter(), b"text"),
        key_of_client("lookup", "K"),
    ];
    assert!(others.iter().all(|other| !keys.contains(other)));
}
