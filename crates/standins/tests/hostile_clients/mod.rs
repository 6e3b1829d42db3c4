//! Clients that make a mixer hold as much data as they can, over raw sockets. Each connects again when the mixer closes
//! its connection.

#![allow(dead_code)] // Each test file uses a different part.

use cottonhill_standins::cluster::{CLASSES, SHARDS, TENANTS};
use cottonhill_standins::leaf::LARGE_VALUE_PREFIX;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Nearly the largest body that the protocol allows.
const LARGE_TEXT_BYTES: usize = 63 * 1024;
/// The largest value that a leaf server may return.
const LARGE_VALUE_BYTES: usize = 64_000;
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
const SLOW_PIECE_BYTES: usize = 3000;
const SLOW_PIECE_DELAY: Duration = Duration::from_millis(60);
/// Longer than the mixer waits for a client to read.
const UNREAD_TIME: Duration = Duration::from_secs(6);

/// What a client does on each of its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Stops before the end of a large body.
    HalfBody,
    /// Writes a large body in small pieces and stops before its end.
    SlowBody,
    /// Writes a large body in chunks of one byte and stops before its end.
    TinyChunks,
    /// Sends a head of many short fields and stops in the middle of a large body.
    ManyFields,
    /// Sends a head that never ends.
    EndlessHead,
    /// Sends two complete large queries at once and reads the responses.
    LargeQueries,
    /// Asks for large values and does not read them.
    UnreadLargeValues,
    /// Asks for large values and reads the responses; some leaf servers do not complete the frames of their values.
    TruncatedLargeValues,
    /// Sends a large query and disconnects, again and again.
    DisconnectsAfterLargeQuery,
}

impl Behavior {
    /// Whether its requests are valid and complete, so that each takes the place of a query.
    pub fn sends_queries(self) -> bool {
        matches!(
            self,
            Behavior::LargeQueries
                | Behavior::UnreadLargeValues
                | Behavior::TruncatedLargeValues
                | Behavior::DisconnectsAfterLargeQuery
        )
    }
}

/// Starts `count` clients of one kind; dropping the set ends them.
pub fn start(address: SocketAddr, behavior: Behavior, count: usize) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for _ in 0..count {
        clients.spawn(async move {
            loop {
                let _ = use_connection(address, behavior).await;
                sleep(RECONNECT_DELAY).await;
            }
        });
    }
    clients
}

async fn use_connection(address: SocketAddr, behavior: Behavior) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    if behavior == Behavior::UnreadLargeValues {
        socket.set_recv_buffer_size(1)?;
    }
    let mut stream = socket.connect(address).await?;
    let large_query = query(&"x".repeat(LARGE_TEXT_BYTES), "");
    let half = &large_query.as_bytes()[..large_query.len() - 100];
    match behavior {
        Behavior::HalfBody => stream.write_all(half).await?,
        Behavior::SlowBody => {
            for piece in half.chunks(SLOW_PIECE_BYTES) {
                stream.write_all(piece).await?;
                sleep(SLOW_PIECE_DELAY).await;
            }
        }
        Behavior::TinyChunks => {
            let head = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
            let chunks = "1\r\nx\r\n".repeat(LARGE_TEXT_BYTES);
            stream
                .write_all((head.to_string() + &chunks).as_bytes())
                .await?;
        }
        Behavior::ManyFields => {
            let fields: String = (0..55).map(|n| format!("A{n}: {n}\r\n")).collect();
            let request = query(&"x".repeat(LARGE_TEXT_BYTES), &fields);
            stream
                .write_all(&request.as_bytes()[..request.len() - 100])
                .await?;
        }
        Behavior::EndlessHead => {
            let fields = "a:b\r\n".repeat(1600);
            stream
                .write_all(format!("POST /x HTTP/1.1\r\n{fields}").as_bytes())
                .await?;
        }
        Behavior::LargeQueries => {
            let second = query(&"y".repeat(LARGE_TEXT_BYTES), "");
            stream.write_all(large_query.as_bytes()).await?;
            stream.write_all(second.as_bytes()).await?;
        }
        Behavior::UnreadLargeValues => {
            let text = format!("{LARGE_VALUE_PREFIX}{LARGE_VALUE_BYTES}");
            stream.write_all(query(&text, "").as_bytes()).await?;
            sleep(UNREAD_TIME).await;
            return Ok(());
        }
        Behavior::TruncatedLargeValues => {
            let text = format!("{LARGE_VALUE_PREFIX}{LARGE_VALUE_BYTES}");
            stream.write_all(query(&text, "").as_bytes()).await?;
        }
        Behavior::DisconnectsAfterLargeQuery => {
            stream.write_all(large_query.as_bytes()).await?;
            return Ok(());
        }
    }
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// A query with a new id over all shards.
fn query(text: &str, fields: &str) -> String {
    static QUERIES: AtomicU64 = AtomicU64::new(0);
    let id = QUERIES.fetch_add(1, Ordering::Relaxed);
    let weight = 1.0 / f64::from(SHARDS);
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("{{\"shard\":{shard},\"weight\":{weight}}}"))
        .collect();
    let body = format!("{{\"shards\":[{}],\"q\":\"{text}\"}}", shards.join(","));
    format!(
        "POST /{} HTTP/1.1\r\nX-Request-ID: hostile-{id}\r\nX-Tenant-Id: {}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        CLASSES[2].0,
        TENANTS[0],
        body.len()
    )
}
