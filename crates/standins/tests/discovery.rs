//! The stand-in discovery by itself: what its lists hold, what it counts, and how it goes away and returns.

use cottonhill_standins::discovery::{Discovery, Table};
use cottonhill_standins::installation::get;
use serde_json::{json, Value};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const LARGEST: usize = 110_000;

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
fn a_whole_list_holds_the_last_state_of_each_name_in_the_order_of_changes() {
    let mut table = Table::default();
    table.change((0..4).map(|number| entry(number, "up")).collect());
    table.change(vec![entry(1, "draining"), entry(2, "removed")]);
    let whole = table.whole();
    let list = parsed(&whole.text);
    assert_eq!(
        (list["index"].as_u64(), list["snapshot"].as_bool()),
        (Some(6), Some(true))
    );
    assert_eq!(names(&list), ["s-0", "s-3", "s-1"]);
    assert_eq!(list["endpoints"][2]["status"], "draining");
    assert!(whole.whole && whole.version == 6);
}

#[test]
fn a_watcher_hears_the_changes_since_its_version_and_all_where_there_are_none() {
    let mut table = Table::default();
    table.change((0..4).map(|number| entry(number, "up")).collect());
    let changes = table.since(Some(2));
    let list = parsed(&changes.text);
    assert_eq!(
        (names(&list), list["snapshot"].as_bool()),
        (vec!["s-2", "s-3"], Some(false))
    );
    assert!(
        names(&parsed(&table.since(Some(4)).text)).is_empty(),
        "nothing new"
    );
    assert!(table.since(Some(5)).whole, "a version of another discovery");
    assert!(table.since(None).whole);
    table.set_indented(true);
    let indented = table.since(Some(2)).text;
    assert!(indented.iter().filter(|byte| **byte == b'\n').count() > 10);
    assert_eq!(parsed(&indented), list);
}

#[test]
fn a_message_is_rendered_once_a_version_and_a_small_change_stays_small() {
    let mut table = Table::default();
    table.change((0..LARGEST).map(|number| entry(number, "up")).collect());
    let (first, second) = (table.whole().text, table.whole().text);
    assert_eq!(first.as_ptr(), second.as_ptr(), "shared");
    assert_eq!(names(&parsed(&first)).len(), LARGEST);
    table.change(vec![entry(7, "draining")]);
    let change = table.since(Some(LARGEST as u64)).text;
    assert!(change.len() < 200, "{} bytes", change.len());
    assert_eq!(
        change.as_ptr(),
        table.since(Some(LARGEST as u64)).text.as_ptr(),
        "shared"
    );
    assert_eq!(names(&parsed(&table.whole().text)).last(), Some(&"s-7"));
}

#[test]
fn changes_that_are_kept_no_longer_are_replaced_by_the_whole_list() {
    let mut table = Table::default();
    for _ in 0..3 {
        table.change((0..LARGEST).map(|number| entry(number, "up")).collect());
    }
    assert!(table.since(Some(1)).whole);
    let last = table.version() - 1;
    assert!(!table.since(Some(last)).whole);
    table.forget_changes();
    assert!(table.since(Some(last)).whole);
    assert!(
        !table.since(Some(last + 1)).whole,
        "who is up to date needs none"
    );
}

#[tokio::test]
async fn traffic_is_counted_by_kind() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    discovery.tell(vec![entry(0, "up")]);
    let (_, list) = get(discovery.address, "/api/targets").await.unwrap();
    let traffic = discovery.traffic();
    assert_eq!(
        (traffic.connections, traffic.list_calls, traffic.watch_calls),
        (1, 1, 0)
    );
    assert_eq!(
        (traffic.whole_messages, traffic.whole_bytes),
        (1, list.len() as u64)
    );
    assert!(traffic.bytes_sent > traffic.whole_bytes);

    let mut watch = TcpStream::connect(discovery.address).await.unwrap();
    watch
        .write_all(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut watch, "\"index\":1").await;
    discovery.tell(vec![entry(1, "up")]);
    read_until(&mut watch, "\"index\":2").await;
    let since = discovery.traffic().since(&traffic);
    assert_eq!(
        (since.connections, since.list_calls, since.watch_calls),
        (1, 0, 1)
    );
    assert_eq!(
        (since.whole_messages, since.change_messages),
        (0, 2),
        "the first holds nothing new"
    );
}

async fn read_until(watch: &mut TcpStream, what: &str) {
    let mut text = String::new();
    while !text.contains(what) {
        let mut piece = [0; 1024];
        let read = timeout(Duration::from_secs(10), watch.read(&mut piece))
            .await
            .unwrap()
            .unwrap();
        assert!(read > 0, "ended after {text}");
        text += &String::from_utf8_lossy(&piece[..read]);
    }
}

#[tokio::test]
async fn an_absent_discovery_returns_at_its_address_with_its_list() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    discovery.tell(vec![entry(0, "up")]);
    let mut watch = TcpStream::connect(discovery.address).await.unwrap();
    watch
        .write_all(b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        .await
        .unwrap();
    read_until(&mut watch, "\"index\":1").await;
    discovery.set_absent(true);
    let ended = timeout(Duration::from_secs(10), async {
        while !matches!(watch.read(&mut [0; 1024]).await, Ok(0) | Err(_)) {}
    });
    assert!(ended.await.is_ok(), "its connections end");
    assert!(TcpStream::connect(discovery.address).await.is_err());
    discovery.set_absent(false);
    let again = timeout(Duration::from_secs(10), async {
        loop {
            if let Some((_, list)) = get(discovery.address, "/api/targets").await {
                return list;
            }
        }
    });
    assert_eq!(names(&parsed(&again.await.unwrap())), ["s-0"]);
}

#[tokio::test]
async fn steady_changes_come_at_their_rate() {
    let discovery = Discovery::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
    let mut number = 0;
    let next = || {
        number += 1;
        vec![entry(number, "up")]
    };
    discovery
        .tell_steadily(100.0, Duration::from_millis(95), next)
        .await;
    assert_eq!(
        discovery.version(),
        10,
        "one at 0 ms and each 10 ms from then on"
    );
    discovery
        .tell_steadily(0.0, Duration::from_secs(1), Vec::new)
        .await;
    assert_eq!(discovery.version(), 10);
}
