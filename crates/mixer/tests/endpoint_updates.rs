//! Lists at the size to plan for, and lists that are wrong: what is in force stays, the fault is logged and counted.

mod captured_logs;
mod harness;
mod loopback;

use bytes::BytesMut;
use captured_logs::Logs;
use cottonhill_mixer::config::Config;
use cottonhill_mixer::protocol::endpoint_updates::{
    self, EndpointUpdate, JsonObjectSplitter, Status, UpdateError, MAX_ENTRIES, MAX_UPDATE_BYTES,
};
use cottonhill_mixer::protocol::http::WatchCodec;
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::replicas::{Replicas, LATE_UPDATE_WINDOW};
use cottonhill_mixer::reducer::Input;
use harness::Harness;
use loopback::{query, reply, Around};
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Decoder;

const DESCRIPTORS: usize = 40;
const PLANNED: usize = 110_000;

// ---- The size to plan for -----------------------------------------------------------------------------

/// An entry of the size that is measured, 132 bytes with the comma after it.
fn entry(server: usize) -> String {
    let (group, [_, a, b, c]) = (server / 3, (server as u32).to_be_bytes());
    format!(
        "{{\"name\":\"s-{server:08x}\",\"address\":\"10.{a}.{b}.{c}:7070\",\"zone\":\"north\",\"type\":\"m2\",\
\"group\":{group},\"status\":\"up\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

fn whole(entries: impl Iterator<Item = String>) -> String {
    let entries: Vec<String> = entries.collect();
    format!(
        "{{\"index\":43,\"snapshot\":true,\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

#[test]
fn the_list_to_plan_for_is_read_and_applied() {
    let text = whole((0..PLANNED).map(entry));
    assert!(
        (14_300_000..14_700_000).contains(&text.len()),
        "{} bytes",
        text.len()
    );
    let most = endpoint_updates::max_update_bytes(64_000_000);
    assert!(
        text.len() <= most,
        "accepted where the process may use 64 MB: {most}"
    );
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let (mut codec, mut buffer, mut objects) = (WatchCodec::new(most), BytesMut::new(), Vec::new());
    for piece in answer.as_bytes().chunks(16 * 1024) {
        buffer.extend_from_slice(piece);
        objects.extend(
            codec
                .decode(&mut buffer)
                .unwrap()
                .filter(|object| !object.is_empty()),
        );
    }
    assert_eq!(objects.len(), 1);
    let listing = endpoint_updates::parse(&objects[0]).unwrap().unwrap();
    let mut replicas = Replicas::new(vec!["north".into()]);
    assert_eq!(replicas.apply_update(0, listing).endpoints.len(), PLANNED);
    assert_eq!(replicas.len(), PLANNED);
}

#[test]
fn a_large_object_is_kept_by_nothing_but_itself() {
    let list = whole((0..1000).map(entry));
    for after in ["", "\n", "\n{\"index\":44"] {
        let mut objects = JsonObjectSplitter::default();
        objects
            .buffer()
            .extend_from_slice((list.clone() + after).as_bytes());
        let object = objects.next_object().expect("a whole list");
        assert_eq!(object.len(), list.len());
        assert!(
            object.is_unique(),
            "its memory goes with it, {} bytes after it or not",
            after.len()
        );
        objects.buffer().extend_from_slice(b"}");
        let next = objects.next_object().expect("what follows is read on");
        assert_eq!(next, after.trim().to_string() + "}");
    }
}

#[test]
fn the_bound_has_room_for_the_planned_list_indented_and_grown() {
    let list: Value = serde_json::from_str(&whole((0..1000).map(entry))).unwrap();
    let indented = serde_json::to_string_pretty(&list)
        .unwrap()
        .len()
        .div_ceil(1000);
    assert!(
        indented * PLANNED <= MAX_UPDATE_BYTES,
        "{indented} bytes an entry"
    );
    assert!(
        indented * MAX_ENTRIES <= MAX_UPDATE_BYTES,
        "and as many as are accepted at all"
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
        "never less than lists had before there was a limit"
    );
}

#[test]
fn the_memory_limit_is_read_from_the_configuration() {
    let config = |limits: Value| {
        let settings = json!({
            "classes": [{"name": "a", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
            "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
                "partial_earns": [0.9], "second_step": [0]},
            "replicas_of_me": 1, "tick_ns": 5, "localities": ["n", "s"],
        });
        let file = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": "8c1f", "limits": limits, "settings": settings});
        Config::parse(&file.to_string()).unwrap()
    };
    assert_eq!(
        config(json!({"sockets": 9, "memory_mb": 128})).memory_limit,
        Some(128_000_000)
    );
    assert_eq!(
        config(json!({"sockets": 9, "memory_mb": 48.5})).memory_limit,
        Some(48_500_000)
    );
    for stated in [
        json!({"sockets": 9}),
        json!({"sockets": 9, "memory_mb": "all"}),
        Value::Null,
    ] {
        assert_eq!(config(stated.clone()).memory_limit, None, "{stated}");
    }
}

#[test]
fn an_entry_is_read_alike_whatever_is_around_it() {
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
    let read = |text: &str| endpoint_updates::parse(text.as_bytes()).unwrap().unwrap();
    let want = read(plain);
    assert_eq!(
        (&*want.entries[0].name, &*want.entries[0].zone),
        ("s-1", "a")
    );
    assert_eq!(
        SocketAddr::from(want.entries[1].address.as_ref().unwrap()),
        "[::1]:70".parse().unwrap()
    );
    assert_eq!(read(last_first), want);
    let value: Value = serde_json::from_str(plain).unwrap();
    assert_eq!(read(&serde_json::to_string_pretty(&value).unwrap()), want);
    assert_eq!(
        serde_json::from_value::<EndpointUpdate>(value).unwrap(),
        want
    );
}

// ---- Entries that are wrong ---------------------------------------------------------------------------

#[test]
fn entries_that_cannot_be_used_are_counted_and_the_first_are_logged() {
    let logs = Logs::collect();
    let bad = (0..40).map(|n| format!("{{\"name\":\"s-{n}\",\"group\":-1,\"status\":\"up\"}}"));
    let listing = endpoint_updates::parse(whole(bad).as_bytes())
        .unwrap()
        .unwrap();
    assert_eq!((listing.entries.len(), listing.invalid_entries), (40, 40));
    assert!(listing
        .entries
        .iter()
        .all(|e| e.status == Status::Draining && e.address.is_none()));
    assert_eq!(
        logs.with("WARN", &["index=43", "invalid entry in endpoint update"])
            .len(),
        16
    );
    logs.assert_one(
        "WARN",
        &[
            "index=43",
            "more=24",
            "further invalid entries in endpoint update",
        ],
    );
    let mut harness = Harness::new(1);
    let change = harness.change(false, &[]);
    let Input::EndpointsUpdated(change) = change else {
        panic!("{change:?}")
    };
    harness.put(Input::EndpointsUpdated(EndpointUpdate {
        entries: listing.entries,
        invalid_entries: 40,
        ..change
    }));
    assert_eq!(harness.state.counters().update_faults.invalid_entries, 40);
}

#[test]
fn what_is_up_without_a_usable_address_is_logged_with_what_was_stated() {
    let logs = Logs::collect();
    let text = r#"{"index":43,"snapshot":true,"endpoints":[{"name":"s-1","address":"here","group":3,"status":"up"}]}"#;
    assert_eq!(
        endpoint_updates::parse(text.as_bytes())
            .unwrap()
            .unwrap()
            .invalid_entries,
        1
    );
    logs.assert_one("WARN", &["index=43", "s-1", "\"here\" is no IP:PORT"]);
}

#[test]
fn of_a_name_listed_twice_the_last_entry_holds() {
    for snapshot in [false, true] {
        for (first, last, served) in [("up", "draining", false), ("draining", "up", true)] {
            let logs = Logs::collect();
            let mut harness = Harness::new(1);
            harness.told(&harness::address(1), last);
            harness.listed(snapshot, &[(1, first, 0), (1, last, 0)]);
            assert_eq!(harness.state.counters().update_faults.duplicate_entries, 1);
            logs.assert_one("WARN", &["index=2", "s-1", "duplicate endpoint in update"]);
            let client = harness.ask(1, &[1.0]);
            harness.open_all();
            harness.answer_all();
            let whole = matches!(
                harness.reply(client),
                Some(Reply::Answer { complete: true, .. })
            );
            assert_eq!(whole, served, "{first}, then {last}, whole: {snapshot}");
        }
    }
}

/// A change of a server that is not listed, a query, and what is kept of it all after a while.
fn kept_after(status: Option<&str>) -> usize {
    let mut harness = Harness::new(1);
    let change: Vec<_> = status.iter().map(|status| (9, *status, 0)).collect();
    harness.listed(false, &change);
    assert_eq!(
        harness.state.counters().update_faults.unknown_removals,
        u64::from(status.is_some())
    );
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    assert!(
        matches!(
            harness.reply(client),
            Some(Reply::Answer { complete: true, .. })
        ),
        "{status:?}"
    );
    assert_eq!(
        harness.connections.len(),
        1,
        "no connection to the unknown one"
    );
    let change: Vec<_> = status.iter().map(|_| (9, "removed", 0)).collect();
    harness.listed(false, &change);
    harness.pass(LATE_UPDATE_WINDOW / 1_000_000 + 1);
    harness.listed(false, &[]);
    harness.pass(60_000);
    assert_eq!(
        harness.state.counters().update_faults.unknown_removals,
        u64::from(status.is_some()),
        "known by the second change"
    );
    harness.state.retained_entries()
}

#[test]
fn a_change_that_takes_away_an_unknown_server_changes_nothing() {
    let without = kept_after(None);
    for status in ["removed", "draining"] {
        let logs = Logs::collect();
        assert_eq!(kept_after(Some(status)), without);
        logs.assert_one(
            "INFO",
            &["index=2", "s-9", "in_force=1", "removes an unlisted server"],
        );
    }
    let mut harness = Harness::new(1);
    harness.listed(true, &[(1, "up", 0), (2, "draining", 0)]);
    assert_eq!(
        harness.state.counters().update_faults.unknown_removals,
        0,
        "a whole list names who drains"
    );
}

#[test]
fn what_was_announced_as_removed_of_an_unknown_server_holds_where_discovery_moves() {
    let mut harness = Harness::new(1);
    harness.listed(false, &[(9, "removed", 0)]);
    harness.told(&harness::address(9), "removed");
    harness.put(Input::ConfigReloaded {
        discovery: Some("127.0.0.1:8501".parse().unwrap()),
    });
    harness.listed(true, &[(9, "up", 0)]);
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.pass(300);
    assert!(
        harness.connections.is_empty()
            && !matches!(harness.reply(client), Some(Reply::Answer { .. }))
    );
}

// ---- Messages that are refused ------------------------------------------------------------------------

#[test]
fn a_list_over_the_bound_of_entries_is_refused_by_their_number() {
    let text = whole((0..MAX_ENTRIES + 2).map(|_| "{}".to_string()));
    let refused = endpoint_updates::parse(text.as_bytes()).unwrap_err();
    assert_eq!(
        refused,
        UpdateError::TooManyEntries {
            version: 43,
            entries: MAX_ENTRIES + 2
        }
    );
    assert!(refused.is_too_large());
    assert_eq!(
        refused.to_string(),
        "131074 entries in version 43, 131072 at most are accepted"
    );
}

/// One connection of a watch that the test plays: what the mixer asked for, and the stream to answer on.
async fn asked(listener: &TcpListener) -> (String, TcpStream) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).unwrap();
    (head.split(" HTTP").next().unwrap().to_string(), stream)
}

async fn stats(mixer: SocketAddr) -> Value {
    let mut stream = TcpStream::connect(mixer).await.unwrap();
    stream
        .write_all(b"GET /-/stats HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    serde_json::from_str(&reply(&mut stream).await.1).unwrap()
}

/// Answers each part with its own id.
async fn leaf(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            while let Ok(length) = stream.read_u32().await {
                let mut frame = vec![0; length as usize];
                stream.read_exact(&mut frame).await.unwrap();
                let text = String::from_utf8(frame).unwrap();
                let id = text[1..].split(' ').next().unwrap().to_string();
                let answer = format!("A{id} ok 1 -\n{id}");
                stream.write_u32(answer.len() as u32).await.unwrap();
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        });
    }
}

async fn is_served(mixer: SocketAddr, name: &str) -> bool {
    let mut stream = TcpStream::connect(mixer).await.unwrap();
    stream.write_all(query(name, "").as_bytes()).await.unwrap();
    reply(&mut stream).await.0.starts_with("HTTP/1.1 200")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Runs `test` against a mixer that has the list of version 3 in force, from a whole list over the watch that is
/// given to it. The process may use 20 MB, so a message may take 5 MB.
fn with_list_in_force<F: Future<Output = ()>>(test: impl FnOnce(Around, TcpStream, Logs) -> F) {
    loopback::run_within(
        Some(20_000_000),
        false,
        harness::SETTINGS,
        DESCRIPTORS,
        |mut around| async move {
            let logs = Logs::collect();
            let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let leaf_at = std::mem::replace(&mut around.leaf, free);
            let (request, mut watch) = asked(&around.discovery).await;
            assert_eq!(request, "GET /api/targets?watch=1&from=0");
            watch
                .write_all(loopback::list(3, leaf_at.local_addr().unwrap(), "up").as_bytes())
                .await
                .unwrap();
            tokio::task::spawn_local(leaf(leaf_at));
            while stats(around.mixer).await["list"] != 3 {
                tokio::task::yield_now().await;
            }
            test(around, watch, logs).await;
        },
    );
}

/// Sends what has to be refused on the watch, and checks that the list in force stays, that the fault is counted and
/// that the whole list is asked for next and taken.
fn is_refused(bad: String, fault: &'static str, words: &'static [&'static str]) {
    with_list_in_force(|around, mut watch, logs| async move {
        // The mixer may end the connection before all is written.
        let _ = watch.write_all(bad.as_bytes()).await;
        let (request, mut next) = asked(&around.discovery).await;
        assert_eq!(request, "GET /api/targets", "the whole list comes first");
        let found = stats(around.mixer).await;
        assert_eq!(
            (&found["list"], &found["lists"]),
            (&json!(3), &json!(1)),
            "{fault}"
        );
        let mut counted = json!({"over_bound": 0, "unreadable": 0, "went_back": 0, "whole_went_back": 0,
            "unusable": 0, "repeated": 0, "unknown": 0});
        counted[fault] = 1.into();
        assert_eq!(found["bad_lists"], counted);
        assert!(
            is_served(around.mixer, "kept").await,
            "the list in force stays"
        );
        logs.assert_one("WARN", words);
        let free = around.leaf.local_addr().unwrap();
        next.write_all(loopback::list(2, free, "up").as_bytes())
            .await
            .unwrap();
        let (request, _open) = asked(&around.discovery).await;
        assert_eq!(
            request, "GET /api/targets?watch=1&from=2",
            "a whole list is right whatever its version"
        );
        assert_eq!(stats(around.mixer).await["list"], 2);
    });
}

#[test]
fn a_list_over_the_bound_of_bytes_is_refused() {
    let endless = format!(
        "{{\"index\":4,\"snapshot\":true,\"endpoints\":[{}",
        "1,".repeat(2_500_000)
    );
    let words = &[
        "TooLarge",
        "in_force=3",
        "over 5000000 bytes, the most that is accepted",
    ];
    is_refused(chunk(&endless), "over_bound", words);
}

#[test]
fn changes_whose_version_goes_back_are_refused() {
    let words = &[
        "VersionRegressed",
        "changes up to version 2",
        "3 or later is valid",
    ];
    let drains = json!({"name": "s-1", "address": "127.0.0.1:1", "group": 0, "status": "removed"});
    let changes = json!({"index": 2, "snapshot": false, "endpoints": [drains]});
    is_refused(chunk(&format!("{changes}\n")), "went_back", words);
}

#[test]
fn changes_that_go_back_behind_later_ones_of_the_same_watch_are_refused() {
    with_list_in_force(|around, mut watch, _logs| async move {
        let changes = |index: u64| {
            chunk(&format!(
                "{}\n",
                json!({"index": index, "snapshot": false, "endpoints": []})
            ))
        };
        watch
            .write_all((changes(9) + &changes(9) + &changes(8)).as_bytes())
            .await
            .unwrap();
        let (request, _next) = asked(&around.discovery).await;
        assert_eq!(request, "GET /api/targets");
        let found = stats(around.mixer).await;
        assert_eq!(
            (&found["list"], &found["bad_lists"]["went_back"]),
            (&json!(9), &json!(1))
        );
    });
}

#[test]
fn a_message_that_cannot_be_read_is_refused() {
    is_refused(
        chunk("{\"index\":4,\n\"snapshot\":true]\n"),
        "unreadable",
        &["Malformed", "line 2 column 16"],
    );
    let nobody = json!({"index": 4, "snapshot": false, "endpoints": [{"group": 1}]});
    is_refused(
        chunk(&format!("{nobody}\n")),
        "unreadable",
        &["Malformed", "entry 0 of version 4 names nobody"],
    );
}

#[test]
fn a_whole_list_of_an_earlier_version_is_taken_and_counted() {
    with_list_in_force(|around, mut watch, logs| async move {
        let whole = json!({"index": 1, "snapshot": true, "endpoints": []});
        watch
            .write_all(chunk(&format!("{whole}\n")).as_bytes())
            .await
            .unwrap();
        while stats(around.mixer).await["list"] != 1 {
            tokio::task::yield_now().await;
        }
        let found = stats(around.mixer).await;
        assert_eq!(
            (
                &found["bad_lists"]["whole_went_back"],
                &found["watches"]["ended"]
            ),
            (&json!(1), &json!(0))
        );
        logs.assert_one(
            "INFO",
            &[
                "index=1",
                "in_force=3",
                "snapshot with a lower version accepted",
            ],
        );
        assert!(
            !is_served(around.mixer, "gone").await,
            "whom it leaves out is gone at once"
        );
    });
}
