//! Endpoint updates of the planned size, and faulty updates: the fault is logged and counted, and after a rejected
//! update the current endpoint list stays in force.

mod captured_logs;
mod harness;
mod loopback;

use bytes::{Bytes, BytesMut};
use captured_logs::CapturedLogs;
use cottonhill_mixer::protocol::endpoint_updates::{
    self, EndpointUpdate, JsonObjectSplitter, Status, UpdateError, MAX_ENTRIES, MAX_UPDATE_BYTES,
};
use cottonhill_mixer::protocol::http::WatchCodec;
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::replicas::{Replicas, MAX_UPDATE_LAG};
use harness::{address, listed, Harness, ListedEndpoint, MS};
use loopback::{
    answer_frame, first_part_id, get_stats, http_chunk, query_text, read_frame, read_head,
    read_response, send_text, watch_response, MixerOptions, RunningMixer, TestClock,
};
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Decoder;

const DESCRIPTORS: usize = 40;
/// The number of endpoints in the largest fleet that is planned for.
const PLANNED_ENDPOINTS: usize = 110_000;
/// The memory limit of a process that has to accept the planned list, in bytes.
const PLANNED_MEMORY: usize = 64_000_000;
/// The memory limit of the mixer in the tests on sockets, in bytes: a quarter of it, 5 MB, is the limit for an update.
const MEMORY_LIMIT: usize = 20_000_000;

// ---- Updates of the planned size -------------------------------------------------------------------------

/// An entry of typical size: 132 bytes with the comma after it.
fn entry_text(server: usize) -> String {
    let (group, [_, a, b, c]) = (server / 3, (server as u32).to_be_bytes());
    format!(
        "{{\"name\":\"s-{server:08x}\",\"address\":\"10.{a}.{b}.{c}:7070\",\"zone\":\"north\",\"type\":\"m2\",\
\"group\":{group},\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

/// A snapshot of version 43 with these entries.
fn snapshot_text(entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<String> = entries.collect();
    format!(
        "{{\"index\":43,\"snapshot\":true,\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

fn snapshot_of(servers: usize) -> String {
    snapshot_text((0..servers).map(entry_text))
}

fn parse(text: &str) -> EndpointUpdate {
    endpoint_updates::parse(text.as_bytes()).unwrap().unwrap()
}

/// The JSON objects in a watch's response that is read in pieces of 16 KiB.
fn decode_objects(response: &str, max_update_bytes: usize) -> Vec<Bytes> {
    let mut codec = WatchCodec::new(max_update_bytes);
    let mut buffer = BytesMut::new();
    let mut objects = Vec::new();
    for piece in response.as_bytes().chunks(16 * 1024) {
        buffer.extend_from_slice(piece);
        let object = codec.decode(&mut buffer).unwrap();
        objects.extend(object.filter(|object| !object.is_empty()));
    }
    objects
}

#[test]
fn reads_and_applies_endpoint_list_of_planned_size() {
    let text = snapshot_of(PLANNED_ENDPOINTS);
    assert!(
        (14_300_000..14_700_000).contains(&text.len()),
        "{} bytes",
        text.len()
    );
    let max_update_bytes = endpoint_updates::max_update_bytes(PLANNED_MEMORY);
    assert!(
        text.len() <= max_update_bytes,
        "the limit under a memory limit of 64 MB is {max_update_bytes}"
    );
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let objects = decode_objects(&response, max_update_bytes);
    assert_eq!(objects.len(), 1);
    let update = endpoint_updates::parse(&objects[0]).unwrap().unwrap();
    let mut replicas = Replicas::new(vec!["north".into()]);
    assert_eq!(
        replicas.apply_update(0, update).endpoints.len(),
        PLANNED_ENDPOINTS
    );
    assert_eq!(replicas.len(), PLANNED_ENDPOINTS);
}

#[test]
fn large_object_does_not_share_its_buffer() {
    let snapshot = snapshot_of(1000);
    for after in ["", "\n", "\n{\"index\":44"] {
        let mut objects = JsonObjectSplitter::default();
        objects
            .buffer()
            .extend_from_slice((snapshot.clone() + after).as_bytes());
        let object = objects.next_object().expect("a complete snapshot");
        assert_eq!(object.len(), snapshot.len());
        assert!(
            object.is_unique(),
            "its buffer is not shared with the {} bytes after it",
            after.len()
        );
        objects.buffer().extend_from_slice(b"}");
        let next = objects.next_object().expect("the next object");
        assert_eq!(next, after.trim().to_string() + "}");
    }
}

#[test]
fn size_limit_accepts_indented_list_of_planned_and_maximum_size() {
    let snapshot: Value = serde_json::from_str(&snapshot_of(1000)).unwrap();
    let bytes_per_entry = serde_json::to_string_pretty(&snapshot)
        .unwrap()
        .len()
        .div_ceil(1000);
    assert!(
        bytes_per_entry * PLANNED_ENDPOINTS <= MAX_UPDATE_BYTES,
        "{bytes_per_entry} bytes an entry"
    );
    assert!(
        bytes_per_entry * MAX_ENTRIES <= MAX_UPDATE_BYTES,
        "{bytes_per_entry} bytes an entry, with as many entries as are accepted"
    );
    assert_eq!(
        endpoint_updates::max_update_bytes(48_000_000),
        12_000_000,
        "a quarter of the memory limit"
    );
    assert_eq!(
        endpoint_updates::max_update_bytes(usize::MAX),
        MAX_UPDATE_BYTES
    );
    assert_eq!(
        endpoint_updates::max_update_bytes(1),
        4096 * 1024,
        "at least 4 MiB regardless of the memory limit, as before that limit was introduced"
    );
}

#[test]
fn reads_entry_regardless_of_field_order_and_layout() {
    let plain = concat!(
        r#"{"index":43,"snapshot":true,"endpoints":["#,
        r#"{"name":"s-\u0031","address":"10.1.0.1:7070","zone":"a","group":3,"status":"up","since_ms":7},"#,
        r#"{"name":"s-2","address":"[::1]:70","group":3,"status":"draining"}]}"#,
    );
    let last_first = concat!(
        r#"{"endpoints":[{"status":"up","since_ms":7,"group":3,"x":{"name":[1e999]},"zone":"a","#,
        r#""address":"10.1.0.1:7070","name":"s-1"},"#,
        r#"{"status":"draining","group":3,"address":"[::1]:70","name":"s-2"}],"snapshot":true,"index":43}"#,
    );
    let expected = parse(plain);
    assert_eq!(
        (&*expected.entries[0].name, &*expected.entries[0].zone),
        ("s-1", "a")
    );
    assert_eq!(
        SocketAddr::from(expected.entries[1].address.as_ref().unwrap()),
        "[::1]:70".parse().unwrap()
    );
    assert_eq!(parse(last_first), expected);
    let value: Value = serde_json::from_str(plain).unwrap();
    assert_eq!(
        parse(&serde_json::to_string_pretty(&value).unwrap()),
        expected
    );
    assert_eq!(
        serde_json::from_value::<EndpointUpdate>(value).unwrap(),
        expected
    );
}

// ---- Faulty entries -------------------------------------------------------------------------------------

#[test]
fn counts_invalid_entries_and_logs_the_first_ones() {
    let logs = CapturedLogs::start();
    let invalid = (0..40).map(|n| format!("{{\"name\":\"s-{n}\",\"group\":-1,\"status\":\"up\"}}"));
    let update = parse(&snapshot_text(invalid));
    assert_eq!((update.entries.len(), update.invalid_entries), (40, 40));
    assert!(update
        .entries
        .iter()
        .all(|entry| entry.status == Status::Draining && entry.address.is_none()));
    let logged = logs.matching_lines("WARN", &[" version=43", "invalid entry in endpoint update"]);
    assert_eq!(logged.len(), 16);
    logs.assert_one_line(
        "WARN",
        &[
            " version=43",
            "unlogged=24",
            "further invalid entries in endpoint update not logged",
        ],
    );
    let mut harness = Harness::new(1);
    let next = harness.next_update(false, &[]);
    harness.apply_update(EndpointUpdate {
        entries: update.entries,
        invalid_entries: 40,
        ..next
    });
    assert_eq!(harness.reducer.counters().update_faults.invalid_entries, 40);
}

#[test]
fn logs_stated_address_of_entry_with_invalid_address() {
    let logs = CapturedLogs::start();
    let text = r#"{"index":43,"snapshot":true,"endpoints":[{"name":"s-1","address":"here","group":3,"status":"up"}]}"#;
    assert_eq!(parse(text).invalid_entries, 1);
    logs.assert_one_line("WARN", &[" version=43", "s-1", "\"here\" is not IP:PORT"]);
}

#[test]
fn last_of_duplicate_entries_wins() {
    for snapshot in [false, true] {
        for (first, last, is_served) in [("up", "draining", false), ("draining", "up", true)] {
            let logs = CapturedLogs::start();
            let mut harness = Harness::new(1);
            harness.announce_status(&address(1), last);
            harness.send_update(snapshot, &[listed(1, first), listed(1, last)]);
            assert_eq!(
                harness.reducer.counters().update_faults.duplicate_entries,
                1
            );
            logs.assert_one_line(
                "WARN",
                &[" version=2", "s-1", "duplicate endpoint in update"],
            );
            let client = harness.send_query(1, &[1.0]);
            harness.serve_all();
            assert_eq!(
                harness.is_answered_completely(client),
                is_served,
                "{first}, then {last}, snapshot: {snapshot}"
            );
        }
    }
}

/// Applies a delta that gives an unlisted replica this status, if any, serves a query, removes the replica again, and
/// returns the size of the retained state after 60 s.
fn retained_entries_after_update_of_unlisted(status: Option<&str>) -> usize {
    let unlisted = u64::from(status.is_some());
    let mut harness = Harness::new(1);
    let update: Vec<ListedEndpoint> = status.iter().map(|status| listed(9, status)).collect();
    harness.send_delta(&update);
    assert_eq!(
        harness.reducer.counters().update_faults.unlisted_removals,
        unlisted
    );
    let client = harness.send_query(1, &[1.0]);
    harness.serve_all();
    assert!(harness.is_answered_completely(client), "{status:?}");
    assert_eq!(
        harness.connections.len(),
        1,
        "no connection to the unlisted replica"
    );
    let removal: Vec<ListedEndpoint> = status.iter().map(|_| listed(9, "removed")).collect();
    harness.send_delta(&removal);
    harness.advance_ms(MAX_UPDATE_LAG / MS + 1);
    harness.send_delta(&[]);
    harness.advance_ms(60_000);
    assert_eq!(
        harness.reducer.counters().update_faults.unlisted_removals,
        unlisted,
        "the replica is known at the second update"
    );
    harness.reducer.retained_entries()
}

#[test]
fn removal_of_unlisted_endpoint_changes_nothing() {
    let without_update = retained_entries_after_update_of_unlisted(None);
    for status in ["removed", "draining"] {
        let logs = CapturedLogs::start();
        let after_update = retained_entries_after_update_of_unlisted(Some(status));
        assert_eq!(after_update, without_update);
        logs.assert_one_line(
            "INFO",
            &[
                " version=2",
                "s-9",
                "current_version=1",
                "announces an unlisted server as draining or removed",
            ],
        );
    }
    let mut harness = Harness::new(1);
    harness.send_snapshot(&[listed(1, "up"), listed(2, "draining")]);
    assert_eq!(
        harness.reducer.counters().update_faults.unlisted_removals,
        0,
        "a snapshot may list draining endpoints that were not listed before"
    );
}

#[test]
fn removal_of_unlisted_endpoint_is_retained_after_discovery_switch() {
    let mut harness = Harness::new(1);
    harness.send_delta(&[listed(9, "removed")]);
    harness.announce_status(&address(9), "removed");
    harness.switch_discovery();
    harness.send_snapshot(&[listed(9, "up")]);
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    harness.advance_ms(300);
    assert!(
        harness.connections.is_empty()
            && !matches!(harness.last_reply(client), Some(Reply::Answer { .. }))
    );
}

// ---- Rejected updates -----------------------------------------------------------------------------------

#[test]
fn rejects_update_with_too_many_entries() {
    let text = snapshot_text((0..MAX_ENTRIES + 2).map(|_| "{}".to_string()));
    let error = endpoint_updates::parse(text.as_bytes()).unwrap_err();
    assert_eq!(
        error,
        UpdateError::TooManyEntries {
            version: 43,
            entries: MAX_ENTRIES + 2
        }
    );
    assert!(error.is_too_large());
    assert_eq!(
        error.to_string(),
        "131074 entries in version 43, the limit is 131072"
    );
}

/// A request to discovery, and the stream for the response.
struct DiscoveryRequest {
    /// The method and the path of the request.
    line: String,
    stream: TcpStream,
}

impl DiscoveryRequest {
    async fn accept(listener: &TcpListener) -> DiscoveryRequest {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = read_head(&mut stream).await;
        let line = head.split(" HTTP").next().unwrap().to_string();
        DiscoveryRequest { line, stream }
    }
}

/// A leaf server that answers each part with its own id.
async fn serve_leaf(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            while let Ok(frame) = read_frame(&mut stream).await {
                let id = first_part_id(&frame);
                stream.write_all(&answer_frame(id, id)).await.unwrap();
            }
        });
    }
}

async fn query_is_answered(mixer: SocketAddr, request_id: &str) -> bool {
    let mut stream = TcpStream::connect(mixer).await.unwrap();
    send_text(&mut stream, &query_text(request_id, "")).await;
    read_response(&mut stream).await.has_status(200)
}

async fn wait_for_list_version(mixer: SocketAddr, version: u64) {
    while get_stats(mixer).await["list"] != version {
        tokio::task::yield_now().await;
    }
}

/// Runs `test` with a mixer that has applied a snapshot of version 3, and with the watch that sent it.
fn with_snapshot_applied<F: Future<Output = ()>>(
    test: impl FnOnce(RunningMixer, TcpStream, CapturedLogs) -> F,
) {
    let options = MixerOptions {
        memory_limit: Some(MEMORY_LIMIT),
        ..MixerOptions::new(harness::SETTINGS, DESCRIPTORS, TestClock::Real)
    };
    loopback::run_mixer(options, |mut mixer| async move {
        let logs = CapturedLogs::start();
        let unused_leaf = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let leaf = std::mem::replace(&mut mixer.leaf, unused_leaf);
        let mut watch = DiscoveryRequest::accept(&mixer.discovery).await;
        assert_eq!(watch.line, "GET /api/targets?watch=1&from=0");
        let snapshot = watch_response(3, leaf.local_addr().unwrap(), "up");
        send_text(&mut watch.stream, &snapshot).await;
        tokio::task::spawn_local(serve_leaf(leaf));
        wait_for_list_version(mixer.address, 3).await;
        test(mixer, watch.stream, logs).await;
    });
}

/// Sends an update that must be rejected on the watch. Checks that the current endpoint list stays in force, that the
/// fault is logged and counted, and that a snapshot is requested next and applied.
fn check_is_rejected(update: String, counter: &'static str, logged: &'static [&'static str]) {
    with_snapshot_applied(|mixer, mut watch, logs| async move {
        // The mixer may close the connection before the update is written completely.
        let _ = watch.write_all(update.as_bytes()).await;
        let mut next = DiscoveryRequest::accept(&mixer.discovery).await;
        assert_eq!(
            next.line, "GET /api/targets",
            "a snapshot is requested first"
        );
        check_only_fault_counted(&get_stats(mixer.address).await, counter);
        assert!(
            query_is_answered(mixer.address, "kept").await,
            "the current endpoint list stays in force"
        );
        logs.assert_one_line("WARN", logged);
        let unused_leaf = mixer.leaf.local_addr().unwrap();
        send_text(&mut next.stream, &watch_response(2, unused_leaf, "up")).await;
        let watch_after_snapshot = DiscoveryRequest::accept(&mixer.discovery).await;
        assert_eq!(
            watch_after_snapshot.line, "GET /api/targets?watch=1&from=2",
            "a snapshot is accepted regardless of its version"
        );
        assert_eq!(get_stats(mixer.address).await["list"], 2);
    });
}

/// Checks that version 3 is in force, that one update was applied, and that of the fault counters only this one is 1.
fn check_only_fault_counted(stats: &Value, counter: &str) {
    assert_eq!(
        (&stats["list"], &stats["lists"]),
        (&json!(3), &json!(1)),
        "{counter}"
    );
    let mut expected = json!({"over_bound": 0, "unreadable": 0, "went_back": 0, "whole_went_back": 0,
        "unusable": 0, "repeated": 0, "unknown": 0});
    expected[counter] = 1.into();
    assert_eq!(stats["bad_lists"], expected);
}

#[test]
fn rejects_update_with_too_many_bytes() {
    let endless = format!(
        "{{\"index\":4,\"snapshot\":true,\"endpoints\":[{}",
        "1,".repeat(2_500_000)
    );
    let logged = &[
        "TooLarge",
        "current_version=3",
        "endpoint update of over 5000000 bytes, which is the limit",
    ];
    check_is_rejected(http_chunk(&endless), "over_bound", logged);
}

#[test]
fn rejects_delta_with_lower_version_than_current_list() {
    let logged = &[
        "VersionRegressed",
        "delta to version 2",
        "older than the current version 3",
    ];
    let removal = json!({"name": "s-1", "address": "127.0.0.1:1", "group": 0, "status": "removed"});
    let delta = json!({"index": 2, "snapshot": false, "endpoints": [removal]});
    check_is_rejected(http_chunk(&format!("{delta}\n")), "went_back", logged);
}

/// A delta without entries, as a chunk of a watch's response.
fn empty_delta(version: u64) -> String {
    let delta = json!({"index": version, "snapshot": false, "endpoints": []});
    http_chunk(&format!("{delta}\n"))
}

#[test]
fn rejects_delta_older_than_previous_delta_of_same_watch() {
    with_snapshot_applied(|mixer, mut watch, _logs| async move {
        let deltas = empty_delta(9) + &empty_delta(9) + &empty_delta(8);
        send_text(&mut watch, &deltas).await;
        let next = DiscoveryRequest::accept(&mixer.discovery).await;
        assert_eq!(next.line, "GET /api/targets");
        let stats = get_stats(mixer.address).await;
        assert_eq!(
            (&stats["list"], &stats["bad_lists"]["went_back"]),
            (&json!(9), &json!(1))
        );
    });
}

#[test]
fn rejects_malformed_update() {
    check_is_rejected(
        http_chunk("{\"index\":4,\n\"snapshot\":true]\n"),
        "unreadable",
        &["Malformed", "line 2 column 16"],
    );
    let without_name = json!({"index": 4, "snapshot": false, "endpoints": [{"group": 1}]});
    check_is_rejected(
        http_chunk(&format!("{without_name}\n")),
        "unreadable",
        &["Malformed", "entry 0 of version 4 has no valid name"],
    );
}

#[test]
fn accepts_and_counts_snapshot_of_earlier_version() {
    with_snapshot_applied(|mixer, mut watch, logs| async move {
        let snapshot = json!({"index": 1, "snapshot": true, "endpoints": []});
        send_text(&mut watch, &http_chunk(&format!("{snapshot}\n"))).await;
        wait_for_list_version(mixer.address, 1).await;
        let stats = get_stats(mixer.address).await;
        assert_eq!(
            (
                &stats["bad_lists"]["whole_went_back"],
                &stats["watches"]["ended"]
            ),
            (&json!(1), &json!(0))
        );
        logs.assert_one_line(
            "INFO",
            &[
                " version=1",
                "current_version=3",
                "snapshot with a lower version accepted",
            ],
        );
        assert!(
            !query_is_answered(mixer.address, "gone").await,
            "an endpoint that the snapshot does not list is removed immediately"
        );
    });
}
