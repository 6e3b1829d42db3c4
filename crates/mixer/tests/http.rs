//! Decoding and encoding of HTTP: requests of clients, the responses to them, and the responses of discovery.

mod decoding;

use bytes::BytesMut;
use cottonhill_mixer::protocol::http::{
    Request, RequestError, Response, ServerCodec, WatchCodec, WatchRejected, MAX_HEAD_BYTES,
};
use cottonhill_mixer::protocol::query_json::{
    self, ClientRequest, Hit, Idempotency, QueryRequest, QuerySchema, Reply,
};
use decoding::decode_in_pieces;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder};

/// A query of two parts, on shards 3 and 2.
const QUERY: &str =
    "{\"shards\":[{\"shard\":3,\"weight\":0.5,\"cost\":9000},{\"shard\":2,\"weight\":0.5}],\
\"q\":\"c41e77d0\"}";

const CHUNKED_HEAD: &str = "POST /checkout HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const MAX_BODY_BYTES: usize = 65_536;

fn schema() -> QuerySchema {
    QuerySchema {
        classes: vec!["checkout".to_string()],
        tenants: vec!["acme".into()],
        default_timeouts: vec![5_000_000_000],
        idempotencies: vec![Idempotency::Idempotent],
        minimum_coverages: vec![0.6],
        shards: 4,
    }
}

fn post(path: &str, extra_headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-ID: 9b1f\r\nX-Tenant-Id: acme\r\nX-Timeout: 480m\r\n\
{extra_headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A request with a well-formed query.
fn post_query(extra_headers: &str) -> String {
    post("/checkout", extra_headers, QUERY)
}

fn decode_request(text: &str) -> Result<Request, RequestError> {
    decode_in_pieces(&mut ServerCodec::default(), text.as_bytes(), &[1000]).remove(0)
}

fn parse_request(text: &str) -> Result<ClientRequest, RequestError> {
    let request = decode_request(text)?;
    query_json::parse(&request, &schema())
}

fn error_status(text: &str) -> u16 {
    parse_request(text).unwrap_err().status
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn decodes_request_split_at_any_byte(piece_sizes in prop::collection::vec(1usize..40, 1..8)) {
        let chunked = format!(
            "{CHUNKED_HEAD}5;x=y\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            &QUERY[..5], QUERY.len() - 5, &QUERY[5..]
        );
        let text = post_query("") + &chunked;
        let requests = decode_in_pieces(&mut ServerCodec::default(), text.as_bytes(), &piece_sizes);
        prop_assert_eq!(requests.len(), 2);
        for request in requests {
            prop_assert_eq!(&request.unwrap().body[..], QUERY.as_bytes());
        }
    }
}

fn parse_query(text: &str) -> QueryRequest {
    match parse_request(text) {
        Ok(ClientRequest::Query(query)) => query,
        other => panic!("{other:?}"),
    }
}

#[test]
fn parses_query_with_all_its_fields() {
    let extra_headers = "X-Retried: 1\r\nIdempotency-Key: k 1\r\n";
    let query = parse_query(&post("/checkout?x=1", extra_headers, QUERY));
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
fn maps_invalid_requests_to_status_codes() {
    assert_eq!(error_status("nonsense\r\n\r\n"), 400);
    check_invalid_bodies();
    check_invalid_headers();
    assert_eq!(error_status(&post("/elsewhere", "", QUERY)), 404);
    assert_eq!(error_status("GET /checkout HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(error_status("POST /-/ready HTTP/1.1\r\n\r\n"), 405);
    check_too_large_requests();
}

fn check_invalid_bodies() {
    let body_status = |body: &str| error_status(&post("/checkout", "", body));
    assert_eq!(body_status("{}"), 400);
    assert_eq!(body_status(&QUERY.replace(":3", ":9")), 400);
    assert_eq!(body_status(&QUERY.replace(":3", ":2")), 400);
    for weight in ["0.6", "1.5", "-0.5", "1e999"] {
        let body = QUERY.replacen("0.5", weight, 1);
        assert_eq!(body_status(&body), 400, "{weight}");
    }
}

fn check_invalid_headers() {
    for timeout in [
        "480", "m", "-480m", "nanm", "infm", "4e3m", "0x1m", "1.2.3m",
    ] {
        let request = post_query("").replace("480m", timeout);
        assert_eq!(error_status(&request), 400, "{timeout}");
    }
    assert_eq!(error_status(&post_query("").replace("9b1f", "9b 1f")), 400);
    for key in [String::new(), "k".repeat(129)] {
        let request = post_query(&format!("Idempotency-Key: {key}\r\n"));
        assert_eq!(error_status(&request), 400, "{key}");
    }
    assert_eq!(error_status(&post_query("").replace("acme", "nobody")), 400);
    assert_eq!(error_status(&post_query("Content-Length: 3\r\n")), 400);
    assert_eq!(
        error_status(&post_query("Transfer-Encoding: chunked\r\n")),
        400
    );
}

fn check_too_large_requests() {
    let large_body = format!(
        "POST /checkout HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        MAX_BODY_BYTES + 1
    );
    assert_eq!(error_status(&large_body), 413);
    let full_chunk = format!("10000\r\n{}\r\n1\r\n", "x".repeat(MAX_BODY_BYTES));
    let chunked = CHUNKED_HEAD.to_string() + &full_chunk + "x";
    assert_eq!(error_status(&chunked), 413);
    let large_head = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD_BYTES));
    assert_eq!(error_status(&large_head), 431);
}

#[test]
fn keeps_connection_alive_unless_request_implies_close() {
    let keeps_alive = |text: &str| decode_request(text).unwrap().keep_alive;
    assert!(keeps_alive(&post_query("")));
    assert!(!keeps_alive(&post_query("Connection: close\r\n")));
    assert!(!keeps_alive("GET / HTTP/1.0\r\n\r\n"));
}

fn encode(response: Response) -> String {
    let mut bytes = BytesMut::new();
    ServerCodec::default().encode(response, &mut bytes).unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[test]
fn renders_retry_after_completeness_and_allowed_method() {
    let rejected = Reply::Rejected {
        retry_after: Some(500_000_001),
    };
    let rejected = encode(query_json::render(&rejected, false));
    assert!(
        rejected.starts_with("HTTP/1.1 503 ") && rejected.contains("Retry-After: 0.501\r\n"),
        "{rejected}"
    );
    let partial = Reply::Answer {
        complete: false,
        hits: vec![Hit {
            shard: 3,
            doc: "5be2\"".into(),
        }],
    };
    let partial = encode(query_json::render(&partial, true));
    assert!(partial.contains("Connection: close\r\n"));
    assert!(partial
        .ends_with("\r\n\r\n{\"complete\":false,\"hits\":[{\"shard\":3,\"doc\":\"5be2\\\"\"}]}"));
    let wrong_method = Reply::InvalidRequest(RequestError {
        status: 405,
        reason: "POST",
    });
    let wrong_method = encode(query_json::render(&wrong_method, false));
    assert!(wrong_method.contains("Allow: POST\r\n"));
}

/// The decoded Retry-After of a watch that discovery rejects with this header.
fn retry_after_of_rejected_watch(header: &str) -> Option<Duration> {
    let response = format!("HTTP/1.1 503 Busy\r\n{header}Content-Length: 0\r\n\r\n");
    let error = WatchCodec::default()
        .decode(&mut BytesMut::from(response.as_str()))
        .expect_err("a rejected watch");
    let rejected = error
        .get_ref()
        .and_then(|cause| cause.downcast_ref::<WatchRejected>())
        .expect("the cause is a WatchRejected");
    assert_eq!(rejected.status, 503);
    rejected.retry_after
}

/// An overloaded discovery states when to retry, in seconds. A missing header or one in another form is not an error.
#[test]
fn rejected_watch_carries_retry_after() {
    assert_eq!(
        retry_after_of_rejected_watch("Retry-After: 1.5\r\n"),
        Some(Duration::from_millis(1500))
    );
    for header in [
        "",
        "Retry-After: Wed, 02 Dec 2026 07:28:00 GMT\r\n",
        "Retry-After: -1\r\n",
        "Retry-After: inf\r\n",
    ] {
        assert_eq!(retry_after_of_rejected_watch(header), None, "{header}");
    }
}
