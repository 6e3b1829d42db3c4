//! Stand-in leaf server that answers each part after a random service time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// Longest accepted frame in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// A text of this prefix and a number asks for a value of that many bytes, each of which takes six in JSON.
pub const LARGE_VALUE_PREFIX: &str = "large:";

/// Counters of a leaf server.
#[derive(Debug, Default)]
pub struct LeafStats {
    pub connections: AtomicU64,
    pub parts: AtomicU64,
    pub cancelled: AtomicU64,
    /// Parts refused because the server was at its concurrency limit.
    pub busy: AtomicU64,
    in_flight: AtomicUsize,
    /// Whether the server hangs: it reads, and answers nothing.
    hangs: AtomicBool,
    /// Whether the last byte of large answers is never sent.
    truncates: AtomicBool,
}

/// A leaf server that runs until it is dropped. Its connections then break at once, as those of a killed process do.
pub struct LeafServer {
    pub address: SocketAddr,
    pub stats: Arc<LeafStats>,
    task: AbortHandle,
}

impl Drop for LeafServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LeafServer {
    /// Makes the server hang from now on: it answers neither open nor further parts, nor any probe.
    pub fn hang(&self) {
        self.stats.hangs.store(true, Ordering::Relaxed);
    }

    /// Makes the server withhold the last byte of large answers from now on.
    pub fn truncate_large_answers(&self) {
        self.stats.truncates.store(true, Ordering::Relaxed);
    }

    /// Serves on a free port. A part takes between 0.5 and 1.5 times `service_time`; parts beyond `concurrency` at
    /// once are refused as busy.
    ///
    /// # Errors
    /// No port is available.
    pub async fn start(
        ip: IpAddr,
        service_time: Duration,
        concurrency: usize,
        seed: u64,
    ) -> io::Result<LeafServer> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let stats = Arc::<LeafStats>::default();
        let task = tokio::spawn(accept(
            listener,
            (service_time, concurrency),
            seed,
            stats.clone(),
        ))
        .abort_handle();
        Ok(LeafServer {
            address,
            stats,
            task,
        })
    }
}

async fn accept(
    listener: TcpListener,
    capacity: (Duration, usize),
    seed: u64,
    stats: Arc<LeafStats>,
) {
    // The set is dropped with this task, so no connection outlives the server.
    let mut connections = JoinSet::new();
    for n in 0u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        stats.connections.fetch_add(1, Ordering::Relaxed);
        let random = StdRng::seed_from_u64(seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        connections.spawn(serve(stream, capacity, random, stats.clone()));
        while connections.try_join_next().is_some() {}
    }
}

fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = ((payload.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(payload);
    bytes
}

async fn read_frame(read: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let length = read.read_u32().await.ok()? as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return None;
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

async fn serve(
    stream: TcpStream,
    (service_time, concurrency): (Duration, usize),
    mut random: StdRng,
    stats: Arc<LeafStats>,
) {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (answers, mut ready) = mpsc::channel::<Vec<u8>>(1024);
    let mut parts = JoinSet::new();
    let writer_stats = stats.clone();
    parts.spawn(async move {
        while let Some(bytes) = ready.recv().await {
            if writer_stats.hangs.load(Ordering::Relaxed) {
                continue;
            }
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    while let Some(frame_in) = read_frame(&mut read).await {
        match frame_in[0] {
            b'Q' => {
                let Some(requested) = read_parts(&frame_in[1..]) else {
                    let _ = answers
                        .send(frame(b'E', b"a call that can't be read"))
                        .await;
                    return;
                };
                for (id, shard, text) in requested {
                    stats.parts.fetch_add(1, Ordering::Relaxed);
                    let delay = service_time.mul_f64(random.random_range(0.5..1.5));
                    let (answers, stats) = (answers.clone(), stats.clone());
                    if stats.in_flight.fetch_add(1, Ordering::Relaxed) >= concurrency {
                        stats.in_flight.fetch_sub(1, Ordering::Relaxed);
                        stats.busy.fetch_add(1, Ordering::Relaxed);
                        let _ = answers
                            .send(frame(b'A', format!("{id} busy - -\n").as_bytes()))
                            .await;
                        continue;
                    }
                    parts.spawn(async move {
                        tokio::time::sleep(delay).await;
                        stats.in_flight.fetch_sub(1, Ordering::Relaxed);
                        let line = format!("{id} ok 1 -\n{}", expected_value(shard, &text));
                        let mut answer = frame(b'A', line.as_bytes());
                        if text.starts_with(LARGE_VALUE_PREFIX)
                            && stats.truncates.load(Ordering::Relaxed)
                        {
                            answer.pop();
                        }
                        let _ = answers.send(answer).await;
                    });
                }
            }
            b'X' => {
                stats.cancelled.fetch_add(1, Ordering::Relaxed);
            }
            b'P' => {
                let _ = answers.send(frame(b'P', b"ok")).await;
            }
            b'L' => {
                let _ = answers.send(frame(b'L', b"-")).await;
            }
            _ => return,
        }
        while parts.try_join_next().is_some() {}
    }
}

/// Value that a shard returns for a query text, so that a client can check every answer. A text that starts with `{` is
/// a search in JSON, and the value is its result.
pub fn expected_value(shard: u32, text: &str) -> String {
    let size = text.strip_prefix(LARGE_VALUE_PREFIX);
    if let Some(size) = size.and_then(|size| size.parse().ok()) {
        return "\u{1}".repeat(size);
    }
    if text.starts_with('{') {
        let search = serde_json::from_str(text).unwrap_or_default();
        return crate::search::response_text(shard, &search);
    }
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in shard.to_le_bytes().into_iter().chain(text.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

fn read_parts(mut rest: &[u8]) -> Option<Vec<(String, u32, String)>> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, shard, _, length] = fields[..] else {
            return None;
        };
        let length: usize = length.parse().ok()?;
        let text = rest.get(end + 1..end + 1 + length)?;
        parts.push((
            id.to_string(),
            shard.parse().ok()?,
            String::from_utf8(text.to_vec()).ok()?,
        ));
        rest = &rest[end + 1 + length..];
    }
    Some(parts)
}
