//! A whole mixer on real sockets of the loopback, and the words that its clients and discovery use there. What
//! discovery and the leaf server do is for each test to play.

#![allow(dead_code)] // Each test file uses its own part of it.

use cottonhill_mixer::protocol::query_json::QuerySchema;
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::settings;
use cottonhill_mixer::transport::{self, Addresses, Clock, Control};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A running mixer, and where it looks for discovery and finds its one leaf server.
pub struct Around {
    pub mixer: SocketAddr,
    pub serving: JoinHandle<io::Result<()>>,
    pub control: mpsc::Sender<Control>,
    pub discovery: TcpListener,
    pub leaf: TcpListener,
}

/// What it accepts has send buffers as small as there are, so that a large reply waits for its reader.
fn listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(1024).unwrap()
}

/// Runs `test` around a mixer with these settings and so many descriptors; where `paused`, on a clock that stands still
/// while anyone has something to do and else goes on to the next timer.
pub fn run<F: Future<Output = ()>>(
    paused: bool,
    text: &str,
    descriptors: usize,
    test: impl FnOnce(Around) -> F,
) {
    run_within(None, paused, text, descriptors, test);
}

/// The same where the process may use so many bytes of memory.
pub fn run_within<F: Future<Output = ()>>(
    memory: Option<usize>,
    paused: bool,
    text: &str,
    descriptors: usize,
    test: impl FnOnce(Around) -> F,
) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(paused).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (discovery, leaf, listener) = (listener(), listener(), listener());
        let (site, decisions) = (
            settings::parse_mixer(text).unwrap(),
            settings::parse_decisions(text).unwrap(),
        );
        let names = QuerySchema {
            classes: site.classes.clone(),
            default_timeouts: site.deadlines.clone(),
            shards: site.shards,
            ..QuerySchema::default()
        };
        let clock = Clock::start();
        let mut state = Reducer::new(
            clock.now(),
            site,
            decisions,
            7,
            &Default::default(),
            descriptors,
        );
        if let Some(memory) = memory {
            state.limit_memory(memory);
        }
        let at = discovery.local_addr().unwrap();
        let addresses = Addresses {
            discovery: at,
            peer_listen: None,
            peers: Vec::new(),
            peers_all: None,
        };
        let (control, controls) = mpsc::channel(1);
        let mixer = listener.local_addr().unwrap();
        let serving = transport::serve(
            state,
            clock,
            names,
            listener,
            addresses,
            controls,
            Default::default(),
        );
        let serving = tokio::task::spawn_local(serving);
        test(Around {
            mixer,
            serving,
            control,
            discovery,
            leaf,
        })
        .await;
    });
}

/// The beginning of a watch: its head, and the whole list of one leaf server.
pub fn list(index: usize, leaf: SocketAddr, status: &str) -> String {
    let line = format!(
        "{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{{\"name\":\"s-1\",\"address\":\"{leaf}\",\
\"group\":0,\"status\":\"{status}\"}}]}}\n"
    );
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{line}\r\n", line.len())
}

/// Reads one reply: its head and its body.
pub async fn reply(stream: &mut TcpStream) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a reply"));
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    (head, String::from_utf8(body).unwrap())
}

pub fn query(name: &str, extra: &str) -> String {
    let body = "{\"shards\":[{\"shard\":3,\"weight\":1.0}],\"q\":\"c41e\"}";
    let length = body.len();
    format!("POST /lookup HTTP/1.1\r\nX-Request-ID: {name}\r\n{extra}Content-Length: {length}\r\n\r\n{body}")
}
