//! Codecs and messages as bytes: split anywhere, malformed, too large.

use bytes::{Bytes, BytesMut};
use cottonhill_mixer::config::Config;
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointUpdate};
use cottonhill_mixer::protocol::http;
use cottonhill_mixer::protocol::http::{
    Request, RequestError, Response, ServerCodec, WatchCodec, WatchRejected,
};
use cottonhill_mixer::protocol::leaf_frames::{
    CallPart, LeafCodec, LeafRequest, LeafResponse, PartStatus,
};
use cottonhill_mixer::protocol::query_json::{self, ClientRequest, QuerySchema, Reply};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder};

const QUERY: &str =
    "{\"shards\":[{\"shard\":3,\"weight\":0.5,\"cost\":9000},{\"shard\":2,\"weight\":0.5}],\
\"q\":\"c41e77d0\"}";

const CHUNKED: &str = "POST /checkout HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

fn names() -> QuerySchema {
    let classes = vec!["checkout".to_string()];
    QuerySchema {
        classes,
        tenants: vec!["acme".into()],
        default_timeouts: vec![5_000_000_000],
        minimum_coverages: vec![0.6],
        shards: 4,
    }
}

fn post(path: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f\r\nX-Tenant-Id: acme\r\nX-Timeout: 480m\r\n\
{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Feeds bytes in pieces of these sizes, over and over, and gathers what comes out.
fn feed<D: Decoder<Error = std::io::Error>>(
    codec: &mut D,
    bytes: &[u8],
    sizes: &[usize],
) -> Vec<D::Item> {
    let (mut found, mut buffer, mut rest) = (Vec::new(), BytesMut::new(), bytes);
    for size in sizes.iter().cycle() {
        let (now, later) = rest.split_at((*size).clamp(1, rest.len().max(1)).min(rest.len()));
        buffer.extend_from_slice(now);
        while let Some(item) = codec.decode(&mut buffer).expect("no i/o error") {
            found.push(item);
        }
        rest = later;
        if rest.is_empty() {
            break;
        }
    }
    found
}

fn one(text: &str) -> Result<Request, RequestError> {
    feed(&mut ServerCodec::default(), text.as_bytes(), &[1000]).remove(0)
}

fn asked(text: &str) -> Result<ClientRequest, u16> {
    one(text)
        .and_then(|request| query_json::parse(&request, &names()))
        .map_err(|rejection| rejection.status)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn a_request_split_anywhere_is_the_same_request(sizes in prop::collection::vec(1usize..40, 1..8)) {
        let chunked = format!(
            "{CHUNKED}5;x=y\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            &QUERY[..5], QUERY.len() - 5, &QUERY[5..]
        );
        let text = post("/checkout", "", QUERY) + &chunked;
        let found = feed(&mut ServerCodec::default(), text.as_bytes(), &sizes);
        prop_assert_eq!(found.len(), 2);
        for request in found {
            prop_assert_eq!(&request.unwrap().body[..], QUERY.as_bytes());
        }
    }

    #[test]
    fn no_bytes_from_outside_break_a_codec(
        start in 0usize..4,
        noise in prop::collection::vec(any::<u8>(), 0..200),
        sizes in prop::collection::vec(1usize..40, 1..4),
    ) {
        let starts = ["", "POST /checkout HTTP/1.1\r\n", CHUNKED,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}"];
        let bytes = [starts[start].as_bytes(), &noise].concat();
        feed(&mut ServerCodec::default(), &bytes, &sizes);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = WatchCodec::default().decode(&mut buffer) {}
        let frame = [&(noise.len() as u32).to_be_bytes()[..], b"A", &noise].concat();
        let mut buffer = BytesMut::from(&frame[..]);
        let mut codec = LeafCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = endpoint_updates::parse(&noise);
    }
}

#[test]
fn a_query_is_read_as_sent() {
    let headers = "X-Retried: 1\r\nIdempotency-Key: k 1\r\n";
    let Ok(ClientRequest::Query(query)) = asked(&post("/checkout?x=1", headers, QUERY)) else {
        panic!()
    };
    assert_eq!(query.idempotency_key.as_deref(), Some("k 1"));
    assert_eq!(
        (query.request_id.as_str(), query.class, query.tenant),
        ("9b1f", 0, 0)
    );
    assert_eq!((query.timeout, query.client_retry), (480_000_000, true));
    assert_eq!(
        (query.parts[0].shard, query.parts[0].work),
        (3, Some(9_000_000))
    );
    assert_eq!(&query.text[..], b"c41e77d0");
}

#[test]
fn bad_requests_are_told_apart() {
    let status = |text: &str| asked(text).unwrap_err();
    assert_eq!(status("nonsense\r\n\r\n"), 400);
    assert_eq!(status(&post("/checkout", "", "{}")), 400);
    assert_eq!(
        status(&post("/checkout", "", &QUERY.replace(":3", ":9"))),
        400
    );
    assert_eq!(
        status(&post("/checkout", "", &QUERY.replace(":3", ":2"))),
        400
    );
    for weight in ["0.6", "1.5", "-0.5", "1e999"] {
        assert_eq!(
            status(&post("/checkout", "", &QUERY.replacen("0.5", weight, 1))),
            400,
            "{weight}"
        );
    }
    for timeout in [
        "480", "m", "-480m", "nanm", "infm", "4e3m", "0x1m", "1.2.3m",
    ] {
        assert_eq!(
            status(&post("/checkout", "", QUERY).replace("480m", timeout)),
            400,
            "{timeout}"
        );
    }
    assert_eq!(
        status(&post("/checkout", "", QUERY).replace("9b1f", "9b 1f")),
        400
    );
    for key in [String::new(), "k".repeat(129)] {
        assert_eq!(
            status(&post(
                "/checkout",
                &format!("Idempotency-Key: {key}\r\n"),
                QUERY
            )),
            400,
            "{key}"
        );
    }
    assert_eq!(
        status(&post("/checkout", "", QUERY).replace("acme", "nobody")),
        400
    );
    assert_eq!(
        status(&post("/checkout", "Content-Length: 3\r\n", QUERY)),
        400
    );
    assert_eq!(
        status(&post("/checkout", "Transfer-Encoding: chunked\r\n", QUERY)),
        400
    );
    assert_eq!(status(&post("/elsewhere", "", QUERY)), 404);
    assert_eq!(status("GET /checkout HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(status("POST /-/ready HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(
        status("POST /checkout HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
        413
    );
    let chunk = format!("10000\r\n{}\r\n1\r\n", "x".repeat(65536));
    assert_eq!(status(&(CHUNKED.to_string() + &chunk + "x")), 413);
    assert_eq!(
        status(&format!(
            "GET / HTTP/1.1\r\nA: {}",
            "x".repeat(http::MAX_HEAD_BYTES)
        )),
        431
    );
}

#[test]
fn a_connection_is_kept_unless_a_side_says_otherwise() {
    assert!(one(&post("/checkout", "", QUERY)).unwrap().keep_alive);
    assert!(
        !one(&post("/checkout", "Connection: close\r\n", QUERY))
            .unwrap()
            .keep_alive
    );
    assert!(!one("GET / HTTP/1.0\r\n\r\n").unwrap().keep_alive);
}

fn written(response: Response) -> String {
    let mut out = BytesMut::new();
    ServerCodec::default().encode(response, &mut out).unwrap();
    String::from_utf8(out.to_vec()).unwrap()
}

#[test]
fn replies_say_when_to_come_back_and_whether_they_are_whole() {
    let refused = written(query_json::render(
        &Reply::Rejected {
            retry_after: Some(500_000_001),
        },
        false,
    ));
    assert!(
        refused.starts_with("HTTP/1.1 503 ") && refused.contains("Retry-After: 0.501\r\n"),
        "{refused}"
    );
    let hits = vec![query_json::Hit {
        shard: 3,
        doc: "5be2\"".into(),
    }];
    let answer = written(query_json::render(
        &Reply::Answer {
            complete: false,
            hits,
        },
        true,
    ));
    assert!(answer.contains("Connection: close\r\n"));
    assert!(answer
        .ends_with("\r\n\r\n{\"complete\":false,\"hits\":[{\"shard\":3,\"doc\":\"5be2\\\"\"}]}"));
    let allowed = written(query_json::render(
        &Reply::InvalidRequest(RequestError {
            status: 405,
            reason: "POST",
        }),
        false,
    ));
    assert!(allowed.contains("Allow: POST\r\n"));
}

#[test]
fn frames_are_as_the_protocol_states() {
    let part = |id: &str, shard| CallPart {
        id: id.into(),
        shard,
        timeout_ms: 240,
        text: Bytes::from("c41e77d0"),
    };
    let mut out = BytesMut::new();
    let mut codec = LeafCodec::default();
    codec
        .encode(
            LeafRequest::Call(vec![part("9b1f.3", 3), part("9b1f.9", 9)]),
            &mut out,
        )
        .unwrap();
    assert_eq!(
        &out[..],
        b"\0\0\0\x33Q9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0"
    );
    out.clear();
    codec
        .encode(LeafRequest::Cancel("9b1f.3".into()), &mut out)
        .unwrap();
    assert_eq!(&out[..], b"\0\0\0\x07X9b1f.3");
    let answers = b"\0\0\0\x16A9b1f.3 ok 1840 -\n5be2\0\0\0\x03Pok\0\0\0\x11A9b1f.9 busy 0 -\n";
    for sizes in [[1], [7], [100]] {
        let found = feed(&mut LeafCodec::default(), answers, &sizes);
        let (id, report, value) = ("9b1f.3".to_string(), "-".to_string(), Bytes::from("5be2"));
        assert_eq!(
            found[0],
            LeafResponse::Answer {
                id,
                status: PartStatus::Ok,
                report,
                value
            }
        );
        assert_eq!(
            found[1],
            LeafResponse::ProbeAnswer {
                ok: true,
                report: "ok".into()
            }
        );
        assert!(matches!(
            &found[2],
            LeafResponse::Answer {
                status: PartStatus::Busy,
                ..
            }
        ));
    }
}

/// A frame with a length as it is.
fn frame(text: &str) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat()
}

#[test]
fn an_answer_counts_only_if_all_of_it_is_right() {
    let read = |bytes: &[u8]| feed(&mut LeafCodec::default(), bytes, &[9]);
    let spoilt = |id: Option<&str>| vec![LeafResponse::Malformed(id.map(str::to_string))];
    for text in [
        "A9b1f.3  1840 -\n5be2",
        "A9b1f.3 ? 1 -\n5be2",
        "A9b1f.3 ok x -\n5be2",
        "A9b1f.3 ok 1 -\n",
        "A9b1f.3 ok 1840 -",
        "A9b1f.3 ok 1\n5be2",
    ] {
        assert_eq!(read(&frame(text)), spoilt(Some("9b1f.3")), "{text}");
    }
    // A letter or length that no frame has is seen before the rest has come.
    for start in [
        "\0\0\0\x36\x01",
        "\0\0\0\0A",
        "xxxx",
        "\x03\0\0\0A9",
        "\0\0\x10\0P",
    ] {
        assert_eq!(read(start.as_bytes()), spoilt(None), "{start:?}");
    }
    let noise = [
        frame("A9b1f.3 ok 1840 nan\n5be2"),
        b"\x8f\x9cx noise".to_vec(),
        frame("Pok"),
    ]
    .concat();
    let found = read(&noise);
    assert!(
        matches!(&found[0], LeafResponse::Answer { status: PartStatus::Ok, report, .. } if report == "nan")
    );
    assert_eq!(found[1..], spoilt(None), "nothing is read after it");
    let mut codec = LeafCodec::default();
    assert_eq!(
        codec.abandon_frame(b"\0\0\0\x36A9b1f.3 o"),
        spoilt(Some("9b1f.3"))[0]
    );
    assert_eq!(
        codec.abandon_frame(b"\0\0\0\x36A9b1f"),
        spoilt(None)[0],
        "the id may go on"
    );
}

/// A watch's answer: each text in one chunk.
fn watched(texts: &[&str]) -> Vec<u8> {
    let chunks: String = texts
        .iter()
        .map(|text| format!("{:x}\r\n{text}\r\n", text.len()))
        .collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

/// The lists in a watch's answer that comes in pieces of these sizes.
fn lists(answer: &[u8], sizes: &[usize]) -> Vec<EndpointUpdate> {
    let objects = feed(&mut WatchCodec::default(), answer, sizes);
    objects
        .iter()
        .filter_map(|object| endpoint_updates::parse(object).unwrap())
        .collect()
}

/// A whole list of so many servers, the even ones leaving.
fn large(servers: usize) -> serde_json::Value {
    let entry = |i: usize| {
        serde_json::json!({"name": format!("s-{{\"[{i:08x}\\"), "address": format!("10.1.{}.{}:7070", i / 256, i % 256),
            "zone": "a", "type": "m2", "group": i, "status": if i.is_multiple_of(2) { "draining" } else { "up" },
            "weight": 1.0, "since_ms": 1_700_000_000_000u64})
    };
    let endpoints: Vec<_> = (0..servers).map(entry).collect();
    serde_json::json!({"index": 43, "snapshot": true, "endpoints": endpoints})
}

#[test]
fn lists_are_read_however_they_are_laid_out_and_cut() {
    let (first, second) = (
        large(3),
        serde_json::json!({"index": 44, "snapshot": false, "endpoints": []}),
    );
    let indented = serde_json::to_string_pretty(&first).unwrap() + "\n";
    let plain = first.to_string() + "\n";
    let want: Vec<EndpointUpdate> = [&first, &second]
        .map(|list| serde_json::from_value(list.clone()).unwrap())
        .into();
    for (name, answer) in [
        (
            "a line each, with signs of life",
            watched(&["\n", &plain, "\n\n", &(second.to_string() + "\n")]),
        ),
        (
            "indented",
            watched(&[
                "\n",
                &indented,
                &serde_json::to_string_pretty(&second).unwrap(),
            ]),
        ),
        (
            "both in one chunk",
            watched(&[&(indented.clone() + &second.to_string())]),
        ),
        ("one over many chunks", {
            let cut: Vec<String> = indented.chars().map(String::from).collect();
            let mut texts: Vec<&str> = cut.iter().map(String::as_str).collect();
            let second = second.to_string();
            texts.push(&second);
            watched(&texts)
        }),
    ] {
        for sizes in [&[1][..], &[9], &[3, 100], &[100_000]] {
            assert_eq!(
                lists(&answer, sizes),
                want,
                "{name}, in pieces of {sizes:?}"
            );
        }
        for cut in 1..answer.len() {
            assert_eq!(
                lists(&answer, &[cut, answer.len()]),
                want,
                "{name}, cut at {cut}"
            );
        }
    }
    for text in [
        large(1024).to_string(),
        serde_json::to_string_pretty(&large(1024)).unwrap(),
    ] {
        let found = lists(&watched(&[&text]), &[16 * 1024]);
        assert_eq!(found[0].entries.len(), 1024, "{} bytes", text.len());
    }
    assert!(WatchCodec::default()
        .decode(&mut BytesMut::from("HTTP/1.1 503 No\r\n\r\n"))
        .is_err());
}

#[test]
fn what_spoils_an_object_is_named_and_what_spoils_an_entry_costs_that_entry() {
    let read = |text: &str| match lists_or_why(text) {
        Ok(lists) => {
            format!(
                "{:?}",
                lists[0]
                    .entries
                    .iter()
                    .map(|e| (&*e.name, e.status))
                    .collect::<Vec<_>>()
            )
        }
        Err(why) => why,
    };
    let list = |snapshot: bool, entry: &str| {
        let good = r#"{"name":"s-1","address":"10.1.0.1:7070","group":3,"status":"up"}"#;
        format!("{{\"index\":43,\"snapshot\":{snapshot},\"endpoints\":[{good},{entry}]}}\n")
    };
    for entry in [
        r#"{"name":"s-2","address":"10.1.0.2:7070","group":70000,"status":"up"}"#,
        r#"{"name":"s-2","address":"10.1.0.2:7070","group":3,"status":"starting"}"#,
        r#"{"name":"s-2","group":3,"status":"up"}"#,
    ] {
        let want = r#"[("s-1", Up), ("s-2", Draining)]"#;
        assert_eq!(
            (read(&list(true, entry)), read(&list(false, entry))),
            (want.into(), want.into()),
            "{entry}"
        );
    }
    let nameless = r#"{"address":"10.1.0.2:7070","group":3,"status":"draining"}"#;
    assert_eq!(
        read(&list(true, nameless)),
        r#"[("s-1", Up)]"#,
        "a whole list is right without it"
    );
    assert!(read(&list(false, nameless)).contains("entry 1 of version 43 names nobody"));
    for (text, why) in [
        ("{\"index\":43,\n\"snapshot\":true]\n", "line 2 column 16"),
        (
            "{\"index\":-1,\"snapshot\":true,\"endpoints\":[]}",
            "column 11",
        ),
        ("nothing like it", "line 1 column 1"),
    ] {
        assert!(read(text).contains(why), "{text}: {}", read(text));
    }
    let endless = "{\"index\":43,\"endpoints\":[".to_string()
        + &"1,".repeat(endpoint_updates::MAX_UPDATE_BYTES / 2);
    assert!(read(&endless).contains("over 33554432 bytes"));
}

fn lists_or_why(text: &str) -> Result<Vec<EndpointUpdate>, String> {
    let (mut codec, mut bytes, mut lists) = (
        WatchCodec::default(),
        BytesMut::from(&watched(&[text])[..]),
        vec![],
    );
    while let Some(object) = codec.decode(&mut bytes).map_err(|e| e.to_string())? {
        lists.extend(endpoint_updates::parse(&object).map_err(|e| e.to_string())?);
    }
    Ok(lists)
}

#[test]
fn settings_as_json_mean_the_same_as_on_the_wire() {
    let settings = serde_json::json!({
        "classes": [{"name": "a b", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5, "localities": ["n", "s"],
    });
    let config = |settings: &serde_json::Value| {
        let file = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "8c1f30d27a5be964", "settings": settings});
        Config::parse(&file.to_string())
    };
    let read = config(&settings).unwrap();
    assert_eq!(
        (
            read.mixer_settings.zones.len(),
            read.mixer_settings.classes[0].as_str()
        ),
        (2, "a_b")
    );
    assert_eq!(
        (read.settings.classes[0].minimum_coverage, read.seed),
        (0.6, 0x8c1f_30d2_7a5b_e964)
    );
    let mut broken = settings.clone();
    broken["tick_ns"] = 0.into();
    assert!(config(&broken).unwrap_err().to_string().contains("tick_ns"));
    broken["extra"]["second_step"][0] = 3.into();
    assert!(config(&broken).is_err());
}

/// An overbooked discovery says when to come back; what it says in another form, or not at all, is no error.
#[test]
fn a_watch_that_is_turned_away_says_for_how_long() {
    let turned_away = |head: &str| {
        let mut bytes = BytesMut::from(
            format!("HTTP/1.1 503 Busy\r\n{head}Content-Length: 0\r\n\r\n").as_str(),
        );
        let error = WatchCodec::default()
            .decode(&mut bytes)
            .expect_err("no watch");
        let why = error
            .get_ref()
            .and_then(|e| e.downcast_ref::<WatchRejected>())
            .expect("turned away");
        assert_eq!(why.status, 503);
        why.retry_after
    };
    assert_eq!(
        turned_away("Retry-After: 1.5\r\n"),
        Some(Duration::from_millis(1500))
    );
    for says_nothing in [
        "",
        "Retry-After: Wed, 02 Dec 2026 07:28:00 GMT\r\n",
        "Retry-After: -1\r\n",
        "Retry-After: inf\r\n",
    ] {
        assert_eq!(turned_away(says_nothing), None, "{says_nothing}");
    }
}
