//! A complete mixer on loopback sockets, with helpers for its clients, discovery and leaf servers. Each test implements
//! the behavior of discovery and of the leaf server.

#![allow(dead_code)] // Each test file uses a different part.

use cottonhill_mixer::protocol::query_json::QuerySchema;
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::settings;
use cottonhill_mixer::transport::{self, Addresses, Clock, Control, Integrations, Recorder};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// The smallest size that the system allows, so that a large response blocks until the client reads it.
const SEND_BUFFER_BYTES: u32 = 4096;
const LISTEN_BACKLOG: u32 = 1024;
const SEED: u64 = 7;
const WATERMARK_INTERVAL_NS: u64 = 1_000_000_000;

/// The clock of the test's runtime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TestClock {
    Real,
    /// Advances to the next timer when no task can run, and only then.
    Paused,
}

/// Options of a mixer under test.
#[derive(Clone, Copy, Debug)]
pub struct MixerOptions<'a> {
    pub settings_text: &'a str,
    pub descriptors: usize,
    pub clock: TestClock,
    /// The memory limit of the process in bytes, if it has one.
    pub memory_limit: Option<usize>,
    /// Creates the writer of usage records; usage is not recorded if unset.
    pub recorder: Option<fn() -> Box<dyn Recorder>>,
}

impl MixerOptions<'_> {
    pub fn new(settings_text: &str, descriptors: usize, clock: TestClock) -> MixerOptions<'_> {
        MixerOptions {
            settings_text,
            descriptors,
            clock,
            memory_limit: None,
            recorder: None,
        }
    }
}

/// A running mixer, the listener of its discovery and that of its one leaf server.
pub struct RunningMixer {
    pub address: SocketAddr,
    pub serving: JoinHandle<io::Result<()>>,
    pub control: mpsc::Sender<Control>,
    pub discovery: TcpListener,
    pub leaf: TcpListener,
}

/// Runs `test` with a new mixer.
pub fn run_mixer<F: Future<Output = ()>>(
    options: MixerOptions,
    test: impl FnOnce(RunningMixer) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(options.clock == TestClock::Paused)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        test(start_mixer(options)).await;
    });
}

fn start_mixer(options: MixerOptions) -> RunningMixer {
    let (discovery, leaf, listener) = (listener(), listener(), listener());
    let mixer_settings = settings::parse_mixer(options.settings_text).unwrap();
    let decision_settings = settings::parse_decisions(options.settings_text).unwrap();
    let schema = QuerySchema {
        classes: mixer_settings.classes.clone(),
        default_timeouts: mixer_settings.deadlines.clone(),
        shards: mixer_settings.shards,
        ..QuerySchema::default()
    };
    let clock = Clock::start();
    let mut reducer = Reducer::new(
        clock.now(),
        mixer_settings,
        decision_settings,
        SEED,
        &Default::default(),
        options.descriptors,
    );
    if let Some(memory_limit) = options.memory_limit {
        reducer.limit_memory(memory_limit);
    }
    if options.recorder.is_some() {
        reducer.enable_usage_recording(WATERMARK_INTERVAL_NS);
    }
    let integrations = Integrations {
        recorder: options.recorder.map(|create| create()),
        ..Integrations::default()
    };
    let addresses = Addresses {
        discovery: discovery.local_addr().unwrap(),
        peer_listen: None,
        peers: Vec::new(),
        peers_all: None,
    };
    let (control, controls) = mpsc::channel(1);
    let address = listener.local_addr().unwrap();
    let serving = tokio::task::spawn_local(transport::serve(
        reducer,
        clock,
        schema,
        listener,
        addresses,
        controls,
        integrations,
    ));
    RunningMixer {
        address,
        serving,
        control,
        discovery,
        leaf,
    }
}

fn listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(LISTEN_BACKLOG).unwrap()
}

// ---- Clients --------------------------------------------------------------------------------------------

/// An HTTP response as read by the client.
#[derive(Debug)]
pub struct HttpResponse {
    pub head: String,
    pub body: String,
}

impl HttpResponse {
    pub fn has_status(&self, status: u16) -> bool {
        self.head.starts_with(&format!("HTTP/1.1 {status}"))
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

pub async fn send_text(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads one response with a Content-Length.
pub async fn read_response(stream: &mut TcpStream) -> HttpResponse {
    let head = read_head(stream).await;
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .unwrap()
        .split('\r')
        .next()
        .unwrap();
    let mut body = vec![0; length.parse().unwrap()];
    stream.read_exact(&mut body).await.unwrap();
    let body = String::from_utf8(body).unwrap();
    HttpResponse { head, body }
}

/// Reads the head of a request or response.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("the complete head"));
    }
    String::from_utf8(head).unwrap()
}

pub async fn http_get(mixer: SocketAddr, path: &str) -> HttpResponse {
    let mut stream = TcpStream::connect(mixer).await.unwrap();
    send_text(&mut stream, &format!("GET {path} HTTP/1.1\r\n\r\n")).await;
    read_response(&mut stream).await
}

pub async fn get_stats(mixer: SocketAddr) -> serde_json::Value {
    http_get(mixer, "/-/stats").await.json()
}

/// A query of the class `lookup` with one part, on shard 3.
pub fn query_text(request_id: &str, extra_headers: &str) -> String {
    let body = "{\"shards\":[{\"shard\":3,\"weight\":1.0}],\"q\":\"c41e\"}";
    let length = body.len();
    format!(
        "POST /lookup HTTP/1.1\r\nX-Request-ID: {request_id}\r\n{extra_headers}\
Content-Length: {length}\r\n\r\n{body}"
    )
}

// ---- Leaf servers ---------------------------------------------------------------------------------------

/// Reads the next frame at a leaf server; returns it without its length.
pub async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<String> {
    let length = stream.read_u32().await?;
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await?;
    Ok(String::from_utf8(frame).expect("a text frame"))
}

/// The id of the first part of a call or cancellation.
pub fn first_part_id(frame: &str) -> &str {
    frame[1..].split(' ').next().unwrap()
}

/// The frame of a leaf server's answer to a part, including its length.
pub fn answer_frame(id: &str, value: &str) -> Vec<u8> {
    let text = format!("A{id} ok 1 -\n{value}");
    let mut frame = (text.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(text.as_bytes());
    frame
}

// ---- Discovery ------------------------------------------------------------------------------------------

/// The start of a watch's response: the head, and a snapshot with one leaf server.
pub fn watch_response(version: usize, leaf: SocketAddr, status: &str) -> String {
    let update = format!(
        "{{\"index\":{version},\"snapshot\":true,\"endpoints\":[{{\"name\":\"s-1\",\"address\":\"{leaf}\",\
\"group\":0,\"status\":\"{status}\"}}]}}\n"
    );
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{}", http_chunk(&update))
}

pub fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
