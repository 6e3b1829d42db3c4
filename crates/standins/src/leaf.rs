//! A leaf server: answers each part after a while, until it is killed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// The longest frame that is read.
const MOST_FRAME: usize = 1 << 20;

/// What a leaf server has seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub connections: AtomicU64,
    pub parts: AtomicU64,
    pub given_up: AtomicU64,
    /// Turned away, as more was under way than it takes.
    pub busy: AtomicU64,
    under_way: AtomicUsize,
}

/// A leaf server that runs until it is dropped; then its connections break at once, as a dead process's do.
pub struct Leaf {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
    task: AbortHandle,
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Leaf {
    /// Serves on a free port; a part takes between half of and one and a half times `work`, and of more than `slots`
    /// at once the rest is turned away.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(ip: IpAddr, work: Duration, slots: usize, seed: u64) -> io::Result<Leaf> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let seen = Arc::<Seen>::default();
        let task = tokio::spawn(accept(listener, (work, slots), seed, seen.clone())).abort_handle();
        Ok(Leaf {
            address,
            seen,
            task,
        })
    }
}

async fn accept(listener: TcpListener, power: (Duration, usize), seed: u64, seen: Arc<Seen>) {
    // Ends with this task: what is accepted lives no longer than the server.
    let mut connections = JoinSet::new();
    for n in 0u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        seen.connections.fetch_add(1, Ordering::Relaxed);
        let random = StdRng::seed_from_u64(seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        connections.spawn(serve(stream, power, random, seen.clone()));
        while connections.try_join_next().is_some() {}
    }
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

async fn read_frame(read: &mut OwnedReadHalf) -> Option<Vec<u8>> {
    let length = read.read_u32().await.ok()? as usize;
    if length == 0 || length > MOST_FRAME {
        return None;
    }
    let mut frame = vec![0; length];
    read.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

async fn serve(
    stream: TcpStream,
    (work, slots): (Duration, usize),
    mut random: StdRng,
    seen: Arc<Seen>,
) {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    let (answers, mut ready) = mpsc::channel::<Vec<u8>>(1024);
    let mut parts = JoinSet::new();
    parts.spawn(async move {
        while let Some(bytes) = ready.recv().await {
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    while let Some(frame_in) = read_frame(&mut read).await {
        match frame_in[0] {
            b'Q' => {
                let Some(asked) = read_parts(&frame_in[1..]) else {
                    let _ = answers
                        .send(frame(b'E', b"a call that can't be read"))
                        .await;
                    return;
                };
                for (id, shard, text) in asked {
                    seen.parts.fetch_add(1, Ordering::Relaxed);
                    let wait = work.mul_f64(random.random_range(0.5..1.5));
                    let (answers, seen) = (answers.clone(), seen.clone());
                    if seen.under_way.fetch_add(1, Ordering::Relaxed) >= slots {
                        seen.under_way.fetch_sub(1, Ordering::Relaxed);
                        seen.busy.fetch_add(1, Ordering::Relaxed);
                        let _ = answers
                            .send(frame(b'A', format!("{id} busy - -\n").as_bytes()))
                            .await;
                        continue;
                    }
                    parts.spawn(async move {
                        tokio::time::sleep(wait).await;
                        seen.under_way.fetch_sub(1, Ordering::Relaxed);
                        let line = format!("{id} ok 1 -\n{}", value(shard, &text));
                        let _ = answers.send(frame(b'A', line.as_bytes())).await;
                    });
                }
            }
            b'X' => {
                seen.given_up.fetch_add(1, Ordering::Relaxed);
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

/// The value that a shard holds for a text: anyone can tell whether an answer is what it ought to be. A text that is a
/// search is searched for.
pub fn value(shard: u32, text: &str) -> String {
    if text.starts_with('{') {
        let search = serde_json::from_str(text).unwrap_or_default();
        return crate::search::words(shard, &search);
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
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, _, length] = words[..] else {
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
