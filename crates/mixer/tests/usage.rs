//! The ledger's hook in the reducer: one record for each query that ends, and marks that keep their word.

mod bed;

use bed::{Bed, MS, START};
use cottonhill_mixer::protocol::leaf::End;
use cottonhill_mixer::protocol::query::{Asked, AskedPart, Query};
use cottonhill_mixer::routing::usage::{is_client_key, key_of_client, key_of_query, Outcome};
use cottonhill_mixer::routing::Input;

fn recording(replicas: u64) -> Bed {
    let mut bed = Bed::new(replicas);
    bed.state.record_usage(100 * MS);
    bed
}

fn ask(bed: &mut Bed, name: &str, timeout_ms: u64, key: Option<&str>) -> u64 {
    let client = bed.connect();
    let part = |shard| AskedPart {
        shard,
        weight: 0.5,
        work: None,
    };
    let query = Query {
        name: name.into(),
        class: 1,
        tenant: 0,
        timeout: timeout_ms * MS,
        repeat: key.is_some(),
        idempotency_key: key.map(str::to_string),
        parts: vec![part(0), part(1)],
        text: bytes::Bytes::from_static(b"text"),
    };
    bed.put(Input::Asked {
        client,
        arrived: bed.now,
        asked: Ok(Asked::Query(query)),
    });
    client
}

#[test]
fn each_end_of_a_query_is_one_record_that_says_how_it_ended() {
    let mut bed = recording(2);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    // Left before the answer.
    let client = bed.ask(1, &[1.0]);
    bed.put(Input::ClientClosed { client });
    // Refused before any decision: no time left, and too much open.
    ask(&mut bed, "late", 1, None);
    let many: Vec<u64> = (0..30).map(|_| bed.ask(1, &[0.5, 0.5])).collect();
    let over = bed
        .records
        .iter()
        .filter(|it| it.outcome == Outcome::Refused)
        .count();
    assert_eq!(
        over,
        1 + 10,
        "20 queries of two parts each are all that may be open"
    );
    // Failed or refused once their time is up: none is left without a record.
    bed.pass(7000);
    assert_eq!(bed.records.len(), 3 + many.len());
    let first = &bed.records[0];
    assert_eq!(
        (first.outcome, first.parts, first.attempts, first.arrived),
        (Outcome::Whole, 2, 2, START)
    );
    assert_eq!(bed.records[1].outcome, Outcome::Left);
    let numbers: Vec<u64> = bed.records.iter().map(|it| it.sequence).collect();
    assert_eq!(
        numbers,
        (1..=numbers.len() as u64).collect::<Vec<_>>(),
        "without a gap"
    );
    let counters = bed.state.counters();
    assert_eq!(counters.recorded, numbers.len() as u64);
    assert_eq!(
        counters.recorded_of.values().sum::<u64>(),
        counters.recorded
    );
    assert_eq!(
        counters.recorded_of.keys().collect::<Vec<_>>(),
        ["all lookup"]
    );
}

#[test]
fn a_partial_answer_tells_its_share() {
    let mut bed = recording(1);
    bed.ask(0, &[0.7, 0.2, 0.1]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    bed.answer(link, End::Ok);
    bed.pass(5000);
    assert_eq!(bed.records.len(), 1);
    assert_eq!(
        bed.records[0].outcome,
        Outcome::Partial(700_000),
        "{:?}",
        bed.records[0]
    );
}

/// What a mark calls complete stays so: whatever arrives later counts as later, and what is open holds it back.
#[test]
fn a_mark_is_never_belied() {
    let mut bed = recording(1);
    bed.pass(150);
    let early = bed.ask(1, &[1.0]);
    let asked = bed.now;
    bed.pass(1000);
    let held = bed.marks.last().unwrap();
    assert_eq!(
        (held.complete, held.sequence, held.end),
        (asked, 0, false),
        "an open query holds it back"
    );
    bed.open_all();
    bed.answer_all();
    assert!(bed.reply(early).is_some());
    bed.pass(200);
    let (complete, now) = (bed.marks.last().unwrap().complete, bed.now);
    assert!(complete > asked && bed.marks.last().unwrap().sequence == 1);
    // It waited for its turn since before the mark.
    let client = bed.connect();
    let part = AskedPart {
        shard: 0,
        weight: 1.0,
        work: None,
    };
    let query = Query {
        name: "waited".into(),
        class: 1,
        tenant: 0,
        timeout: 5000 * MS,
        repeat: false,
        idempotency_key: None,
        parts: vec![part],
        text: bytes::Bytes::from_static(b"text"),
    };
    bed.put(Input::Asked {
        client,
        arrived: now - 190 * MS,
        asked: Ok(Asked::Query(query)),
    });
    bed.open_all();
    bed.answer_all();
    assert_eq!(bed.records[1].arrived, complete);
    bed.put(Input::Terminate);
    bed.pass(7000);
    assert!(
        bed.exited && bed.marks.last().unwrap().end,
        "the last mark says that nothing follows"
    );
}

#[test]
fn nothing_is_recorded_where_the_ledger_is_off() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    bed.pass(1000);
    assert_eq!(
        (
            bed.records.len(),
            bed.marks.len(),
            bed.state.counters().recorded
        ),
        (0, 0, 0)
    );
}

#[test]
fn tries_of_one_use_have_one_key_and_others_another() {
    let mut bed = recording(1);
    ask(&mut bed, "a", 1, None);
    ask(&mut bed, "b", 1, None);
    ask(&mut bed, "c", 1, Some("k"));
    let keys: Vec<u64> = bed.records.iter().map(|it| it.key).collect();
    let parts = [(1, 0.5), (0, 0.5)];
    assert_eq!(
        keys[0],
        key_of_query("lookup", parts.into_iter(), b"text"),
        "parts in any order"
    );
    assert_eq!((keys[0], keys[2]), (keys[1], key_of_client("lookup", "k")));
    assert!(is_client_key(keys[2]) && !is_client_key(keys[0]) && bed.records[2].keyed);
    let others = [
        key_of_query("report", parts.into_iter(), b"text"),
        key_of_query("lookup", parts.into_iter(), b"test"),
        key_of_query("lookup", [(1, 0.5), (2, 0.5)].into_iter(), b"text"),
        key_of_client("lookup", "K"),
    ];
    assert!(others.iter().all(|other| !keys.contains(other)));
}
