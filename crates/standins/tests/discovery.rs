//! The stand-in discovery server: content of its lists, traffic counts, and going offline and online.

use cottonhill_standins::cluster::http_get;
use cottonhill_standins::discovery::{Discovery, EndpointTable};
use serde_json::{json, Value};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const LARGEST_LIST: usize = 110_000;

fn entry(number: usize, status: &str) -> Value {
    json!({"name": format!("s-{number}"), "address": "127.0.0.1:9", "group": 0, "status": status})
}

fn parsed(text: &[u8]) -> Value {
    serde_json::from_slice(text).unwrap()
}

fn names(list: &Value) -> Vec<&str> {
    list["endpoints"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["name"].as_str().unwrap())
        .collect()
}

#[test]
fn a_snapshot_has_the_last_state_of_each_name_in_the_order_of_changes() {
    let mut table = EndpointTable::default();
    table.update((0..4).map(|number| entry(number, "up")).collect());
    table.update(vec![entry(1, "draining"), entry(2, "removed")]);
    let snapshot = table.snapshot();
    let list = parsed(&snapshot.text);
    assert_eq!(
        (list["index"].as_u64(), list["snapshot"].as_bool()),
        (Some(6), Some(true))
    );
    assert_eq!(names(&list), ["s-0", "s-3", "s-1"]);
    assert_eq!(list["endpoints"][2]["status"], "draining");
    assert!(snapshot.snapshot && snapshot.version == 6);
}

#[test]
fn a_watcher_receives_the_changes_since_its_version_or_a_snapshot() {
    let mut table = EndpointTable::default();
    table.update((0..4).map(|number| entry(number, "up")).collect());
    let changes = table.message_since(Some(2));
    let list = parsed(&changes.text);
    assert_eq!(
        (names(&list), list["snapshot"].as_bool()),
        (vec!["s-2", "s-3"], Some(false))
    );
    assert!(
        names(&parsed(&table.message_since(Some(4)).text)).is_empty(),
        "no new changes"
    );
    assert!(
        table.message_since(Some(5)).snapshot,
        "a version of another discovery"
    );
    assert!(table.message_since(None).snapshot);
    table.set_indented(true);
    let indented = table.message_since(Some(2)).text;
    assert!(indented.iter().filter(|byte| **byte == b'\n').count() > 10);
    assert_eq!(parsed(&indented), list);
}

#[test]
fn a_message_is_rendered_once_per_version_and_a_delta_has_only_the_changes() {
    let mut table = EndpointTable::default();
    table.update(
        (0..LARGEST_LIST)
            .map(|number| entry(number, "up"))
            .collect(),
    );
    let (first, second) = (table.snapshot().text, table.snapshot().text);
    assert_eq!(first.as_ptr(), second.as_ptr(), "shared");
    assert_eq!(names(&parsed(&first)).len(), LARGEST_LIST);
    table.update(vec![entry(7, "draining")]);
    let change = table.message_since(Some(LARGEST_LIST as u64)).text;
    assert!(change.len() < 200, "{} bytes", change.len());
    assert_eq!(
        change.as_ptr(),
        table.message_since(Some(LARGEST_LIST as u64)).text.as_ptr(),
        "shared"
    );
    assert_eq!(names(&parsed(&table.snapshot().text)).last(), Some(&"s-7"));
}

#[test]
fn changes_that_are_no_longer_retained_are_replaced_by_a_snapshot() {
    let mut table = EndpointTable::default();
    for _ in 0..3 {
        table.update(
            (0..LARGEST_LIST)
                .map(|number| entry(number, "up"))
                .collect(),
        );
    }
    assert!(table.message_since(Some(1)).snapshot);
    let last = table.version() - 1;
    assert!(!table.message_since(Some(last)).snapshot);
    table.clear_history();
    assert!(table.message_since(Some(last)).snapshot);
    assert!(
        !table.message_since(Some(last + 1)).snapshot,
        "an up-to-date watcher needs no snapshot"
    );
}

#[tokio::test]
async fn traffic_is_counted_by_kind() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    discovery.update(vec![entry(0, "up")]);
    let (_, list) = http_get(discovery.address, "/api/targets").await.unwrap();
    let traffic = discovery.traffic();
    assert_eq!(
        (
            traffic.connections,
            traffic.list_requests,
            traffic.watch_requests
        ),
        (1, 1, 0)
    );
    assert_eq!(
        (traffic.snapshot_messages, traffic.snapshot_bytes),
        (1, list.len() as u64)
    );
    assert!(traffic.bytes_sent > traffic.snapshot_bytes);

    let mut watch = TcpStream::connect(discovery.address).await.unwrap();
    watch
        .write_all(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut watch, "\"index\":1").await;
    discovery.update(vec![entry(1, "up")]);
    read_until(&mut watch, "\"index\":2").await;
    let since = discovery.traffic().since(&traffic);
    assert_eq!(
        (since.connections, since.list_requests, since.watch_requests),
        (1, 0, 1)
    );
    assert_eq!(
        (since.snapshot_messages, since.delta_messages),
        (0, 2),
        "the first delta has no entries"
    );
}

async fn read_until(watch: &mut TcpStream, expected: &str) {
    let mut text = String::new();
    while !text.contains(expected) {
        let mut buffer = [0; 1024];
        let read = timeout(Duration::from_secs(10), watch.read(&mut buffer))
            .await
            .unwrap()
            .unwrap();
        assert!(read > 0, "the watch was closed after {text}");
        text += &String::from_utf8_lossy(&buffer[..read]);
    }
}

#[tokio::test]
async fn an_offline_discovery_returns_at_the_same_address_with_the_same_list() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    discovery.update(vec![entry(0, "up")]);
    let mut watch = TcpStream::connect(discovery.address).await.unwrap();
    watch
        .write_all(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut watch, "\"index\":1").await;
    discovery.set_offline(true);
    let closed = timeout(Duration::from_secs(10), async {
        while !matches!(watch.read(&mut [0; 1024]).await, Ok(0) | Err(_)) {}
    });
    assert!(closed.await.is_ok(), "open connections are closed");
    assert!(TcpStream::connect(discovery.address).await.is_err());
    discovery.set_offline(false);
    let list_after_return = timeout(Duration::from_secs(10), async {
        loop {
            if let Some((_, list)) = http_get(discovery.address, "/api/targets").await {
                return list;
            }
        }
    });
    assert_eq!(names(&parsed(&list_after_return.await.unwrap())), ["s-0"]);
}

#[tokio::test]
async fn periodic_updates_are_made_at_their_rate() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    let mut number = 0;
    let next = || {
        number += 1;
        vec![entry(number, "up")]
    };
    discovery
        .update_periodically(100.0, Duration::from_millis(95), next)
        .await;
    assert_eq!(
        discovery.version(),
        10,
        "one update at 0 ms and one every 10 ms after that"
    );
    discovery
        .update_periodically(0.0, Duration::from_secs(1), Vec::new)
        .await;
    assert_eq!(discovery.version(), 10);
}
