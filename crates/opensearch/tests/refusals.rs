//! What clients of both fronts are told about a query of which parts may have run, on loopback sockets: a refusal promises
//! that nothing has run, so that the client may repeat the query, and the usage record agrees.

use cottonhill_mixer::protocol::query_json::{Idempotency, QuerySchema};
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::settings;
use cottonhill_mixer::transport::{
    self, Addresses, Clock, Control, FrontendStarter, Integrations, Recorder,
};
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::{FrontSettings, Index, TenantSource};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Duration};

const MS: fn(u64) -> Duration = Duration::from_millis;
const DESCRIPTORS: usize = 256;
const WATERMARK_INTERVAL_NS: u64 = 1_000_000_000;
/// A limit on the test's clock for a test that hangs.
const TIME_LIMIT: Duration = Duration::from_secs(600);
/// Each with a minimum coverage of 0.6.
const CLASSES: [(&str, Idempotency); 3] = [
    ("read_like", Idempotency::Idempotent),
    ("idempotency_key", Idempotency::IdempotencyKey),
    ("non_idempotent", Idempotency::NonIdempotent),
];
/// The text of the queries under which shard 0 does not answer as it should.
const FAULT: &str = "faulty";
/// The answers of all shards to a search may have this size.
const MAX_ANSWER_BYTES: usize = 4096;
const TIMES_SENT: usize = 3;

/// What shard 0 does after it has run a part of a faulty query.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Reset,
    Close,
    ErrorStatus,
    Truncated,
    Malformed,
    Hang,
    /// It hangs, and the mixer shuts down.
    HangAtShutdown,
    /// An answer whose value is an error of the search.
    ErrorBody,
    /// As `ErrorBody`, and the client accepts no partial answer.
    ErrorBodyOfAll,
    TooLargeBody,
}

const ALL_ENDS: [End; 10] = [
    End::Reset,
    End::Close,
    End::ErrorStatus,
    End::Truncated,
    End::Malformed,
    End::Hang,
    End::HangAtShutdown,
    End::ErrorBody,
    End::ErrorBodyOfAll,
    End::TooLargeBody,
];

/// How a client sends a query.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    NativeQuery,
    Search,
    Count,
    MultiSearch,
}

const ALL_REQUESTS: [Request; 4] = [
    Request::NativeQuery,
    Request::Search,
    Request::Count,
    Request::MultiSearch,
];

fn settings_text() -> String {
    let mut text = String::from("classes.count=3\n");
    for (number, (name, _)) in CLASSES.iter().enumerate() {
        let key = format!("classes.{number}.");
        text += &format!(
            "{key}name={name}\n{key}aim_ns=300000000\n{key}give_up_ns=600000000\n{key}semantics={name}\n\
{key}late_value=0.9\n{key}dedup_window_ns=600000000\n"
        );
    }
    text + "extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0,1.0\n\
extra.least_share=0.6,0.6,0.6\nextra.partial_earns=0.9,0.9,0.9\nextra.second_step=0,0,0\nreplicas_of_me=1\n\
tick_ns=5000000\nlimits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\n\
limits.streams_per_conn=4\nlimits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\n\
limits.open_cap=60\nlimits.max_retry_after_ns=50000000\nguarantees.stop_sending_within_ns=250000000\n"
}

// ---- The leaf server ------------------------------------------------------------------------------------

/// The parts that have run: text and shard.
type Runs = Rc<RefCell<Vec<(String, u32)>>>;

struct Part {
    id: String,
    shard: u32,
    text: String,
}

fn parse_call(mut frame: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = frame.iter().position(|byte| *byte == b'\n') {
        let line: Vec<&str> = std::str::from_utf8(&frame[..end])
            .unwrap()
            .split(' ')
            .collect();
        let length: usize = line[3].parse().unwrap();
        let text = &frame[end + 1..end + 1 + length];
        parts.push(Part {
            id: line[0].to_string(),
            shard: line[1].parse().unwrap(),
            text: String::from_utf8(text.to_vec()).unwrap(),
        });
        frame = &frame[end + 1 + length..];
    }
    parts
}

async fn serve_leaf(listener: TcpListener, end: End, runs: Runs) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(answer_calls(stream, end, runs.clone()));
    }
}

async fn answer_calls(mut stream: TcpStream, end: End, runs: Runs) {
    while let Ok(length) = stream.read_u32().await {
        let mut frame = vec![0; length as usize];
        if stream.read_exact(&mut frame).await.is_err() || frame[0] != b'Q' {
            continue;
        }
        for part in parse_call(&frame[1..]) {
            runs.borrow_mut().push((part.text.clone(), part.shard));
            if !answer_part(&mut stream, &part, end).await {
                return;
            }
        }
    }
}

/// Answers a part as `end` says. Returns false if the connection is to be closed.
async fn answer_part(stream: &mut TcpStream, part: &Part, end: End) -> bool {
    let found = r#"{"hits":{"total":{"value":1,"relation":"eq"},"hits":[{"_id":"a","_score":1.0,"_source":{}}]}}"#;
    let failed = r#"{"error":{"type":"query_shard_exception","reason":"bad field"},"status":400}"#;
    let is_faulty = part.shard == 0 && part.text.contains(FAULT);
    let padding = " ".repeat(2 * MAX_ANSWER_BYTES);
    let (status, value) = match end {
        End::ErrorBody | End::ErrorBodyOfAll if is_faulty => ("ok", failed.to_string()),
        End::TooLargeBody if is_faulty => ("ok", found.to_string() + &padding),
        End::ErrorStatus if is_faulty => ("err", String::new()),
        _ => ("ok", found.to_string()),
    };
    let text = format!("A{} {status} 1 -\n{value}", part.id);
    let mut frame = (text.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(text.as_bytes());
    let mut keeps_connection = true;
    if is_faulty {
        match end {
            End::Reset => {
                #[allow(deprecated)] // Blocks only for a linger time above zero.
                stream.set_linger(Some(Duration::ZERO)).unwrap();
                return false;
            }
            End::Close => return false,
            End::Hang | End::HangAtShutdown => return true,
            End::Truncated => {
                frame.truncate(frame.len() / 2);
                keeps_connection = false;
            }
            End::Malformed => frame[4] = b'?',
            End::ErrorStatus | End::ErrorBody | End::ErrorBodyOfAll | End::TooLargeBody => {}
        }
    }
    stream.write_all(&frame).await.is_ok() && keeps_connection
}

async fn serve_discovery(listener: TcpListener, leaf: SocketAddr) {
    let update = format!(
        "{{\"index\":3,\"snapshot\":true,\"endpoints\":[{{\"name\":\"s-1\",\"address\":\"{leaf}\",\"group\":0,\
\"status\":\"up\"}}]}}\n"
    );
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response = format!("{head}{:x}\r\n{update}\r\n", update.len());
    let mut watches = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(response.as_bytes()).await.unwrap();
        watches.push(stream);
    }
}

// ---- The mixer ------------------------------------------------------------------------------------------

/// A usage log in memory.
struct MemoryRecorder {
    outcomes: Rc<RefCell<Vec<QueryOutcome>>>,
    written: watch::Sender<u64>,
}

impl Recorder for MemoryRecorder {
    fn record(&mut self, usage: UsageRecord) -> bool {
        self.outcomes.borrow_mut().push(usage.outcome);
        self.written.send_replace(usage.sequence);
        true
    }
    fn record_watermark(&mut self, _: Watermark) {}
    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_write_delay(&self) -> Duration {
        MS(5)
    }
    fn count_unrecorded_reply(&mut self) {}
    fn close(&mut self) {}
}

/// A mixer with both fronts and one leaf server.
struct Fixture {
    native: SocketAddr,
    search: SocketAddr,
    control: mpsc::Sender<Control>,
    runs: Runs,
    outcomes: Rc<RefCell<Vec<QueryOutcome>>>,
    last_request: Cell<u64>,
}

fn front_settings(listen: SocketAddr) -> FrontSettings {
    let mut indices = BTreeMap::new();
    for (class, _) in CLASSES {
        for (name, shard_count) in [("halves", 2), ("quarters", 4)] {
            let shards = (0..shard_count).map(|shard| (shard, 1.0 / f64::from(shard_count)));
            let index = Index {
                class: class.to_string(),
                shards: shards.collect(),
            };
            indices.insert(format!("{class}-{name}"), index);
        }
    }
    FrontSettings {
        listen,
        max_connections: 16,
        max_body_bytes: 65_536,
        max_answer_bytes: MAX_ANSWER_BYTES,
        idle_timeout: MS(60_000),
        cluster: "cottonhill".into(),
        tenant_header: "x-tenant-id".into(),
        default_tenant: None,
        tenant_source: TenantSource::Header,
        tls: None,
        trusted_proxies: Default::default(),
        tenant_networks: Default::default(),
        indices,
    }
}

async fn local_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

impl Fixture {
    async fn start(end: End) -> Fixture {
        let (runs, outcomes) = (Runs::default(), Rc::default());
        let (discovery, discovery_address) = local_listener().await;
        let (leaf, leaf_address) = local_listener().await;
        let (listener, native) = local_listener().await;
        let (search_listener, search) = local_listener().await;
        spawn_local(serve_discovery(discovery, leaf_address));
        spawn_local(serve_leaf(leaf, end, Rc::clone(&runs)));
        let mixer_settings = settings::parse_mixer(&settings_text()).unwrap();
        let schema = QuerySchema {
            classes: mixer_settings.classes.clone(),
            default_timeouts: mixer_settings.deadlines.clone(),
            idempotencies: CLASSES.map(|(_, idempotency)| idempotency).to_vec(),
            minimum_coverages: mixer_settings.minimum_coverages.clone(),
            shards: mixer_settings.shards,
            ..QuerySchema::default()
        };
        let clock = Clock::start();
        let mut reducer = Reducer::new(
            clock.now(),
            mixer_settings,
            settings::parse_decisions(&settings_text()).unwrap(),
            7,
            &Default::default(),
            DESCRIPTORS,
        );
        reducer.enable_usage_recording(WATERMARK_INTERVAL_NS);
        let start_front: FrontendStarter = Box::new(move |queries, guard| {
            front::start(
                front_settings(search),
                None,
                search_listener,
                queries,
                guard,
            );
        });
        let recorder = MemoryRecorder {
            outcomes: Rc::clone(&outcomes),
            written: watch::channel(0).0,
        };
        let addresses = Addresses {
            discovery: discovery_address,
            peer_listen: None,
            peers: Vec::new(),
            peers_all: None,
        };
        let integrations = Integrations {
            recorder: Some(Box::new(recorder)),
            frontends: vec![start_front],
        };
        let (control, controls) = mpsc::channel(1);
        spawn_local(transport::serve(
            reducer,
            clock,
            schema,
            listener,
            addresses,
            controls,
            integrations,
        ));
        Fixture {
            native,
            search,
            control,
            runs,
            outcomes,
            last_request: Cell::new(0),
        }
    }

    /// Sends a query and returns its status; that of the item for a multi-search.
    async fn send(&self, request: Request, class: &str, text: &str, end: End) -> u16 {
        self.last_request.set(self.last_request.get() + 1);
        let number = self.last_request.get();
        let (index, parameter) = match end {
            End::ErrorBodyOfAll => ("quarters", "?allow_partial_search_results=false"),
            _ => ("halves", ""),
        };
        let search = format!(r#"{{"query":{{"match":{{"title":"{text}"}}}}}}"#);
        let (address, path, body) = match request {
            Request::NativeQuery => {
                let shards = r#"[{"shard":0,"weight":0.5},{"shard":1,"weight":0.5}]"#;
                let body = format!(r#"{{"shards":{shards},"q":"{text}"}}"#);
                (self.native, format!("/{class}"), body)
            }
            Request::Search => (
                self.search,
                format!("/{class}-{index}/_search{parameter}"),
                search,
            ),
            Request::Count => (
                self.search,
                format!("/{class}-{index}/_count{parameter}"),
                search,
            ),
            Request::MultiSearch => {
                let body = format!("{{}}\n{search}\n");
                (
                    self.search,
                    format!("/{class}-{index}/_msearch{parameter}"),
                    body,
                )
            }
        };
        let length = body.len();
        let message = format!(
            "POST {path} HTTP/1.1\r\nHost: mixer\r\nX-Request-ID: r{number}\r\nContent-Length: {length}\r\n\
Connection: close\r\n\r\n{body}"
        );
        let response = exchange(address, &message).await.unwrap();
        let status: u16 = response.split(' ').nth(1).unwrap().parse().unwrap();
        if request != Request::MultiSearch || status != 200 {
            return status;
        }
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        let body: serde_json::Value = serde_json::from_str(body).unwrap();
        body["responses"][0]["status"].as_u64().unwrap() as u16
    }

    /// How many times shard 0 has run a part of the faulty query.
    fn faulty_runs(&self) -> usize {
        let runs = self.runs.borrow();
        runs.iter()
            .filter(|(text, shard)| *shard == 0 && text.contains(FAULT))
            .count()
    }
}

/// Sends a request on a new connection and reads until its end.
async fn exchange(address: SocketAddr, message: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(message.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response)
}

/// Runs a test on a clock that advances when nothing can run.
fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        timeout(TIME_LIMIT, test)
            .await
            .expect("the test ends within its time limit");
    });
}

async fn check_end(request: Request, class: &str, idempotency: Idempotency, end: End) {
    let context = format!("{request:?} of class {class}, {end:?}");
    let fixture = Fixture::start(end).await;
    while fixture.send(request, class, "sound", End::Reset).await != 200 {
        sleep(MS(1)).await;
    }
    // As a client does, the query is repeated only after a refusal.
    for time in 0..TIMES_SENT {
        fixture.outcomes.borrow_mut().clear();
        let runs_before = fixture.faulty_runs();
        if end == End::HangAtShutdown && time == 0 {
            let control = fixture.control.clone();
            spawn_local(async move { control.send(Control::Terminate).await });
        }
        let status = fixture.send(request, class, FAULT, end).await;
        let refused = matches!(status, 429 | 503);
        let may_have_run = fixture.faulty_runs() > runs_before;
        assert!(
            time > 0 || may_have_run,
            "{context}: nothing has run: {status}"
        );
        let outcomes = fixture.outcomes.borrow().clone();
        assert_eq!(outcomes.len(), 1, "{context}: {outcomes:?}");
        assert_eq!(
            refused,
            outcomes[0] == QueryOutcome::Rejected,
            "{context}: the client got {status}, recorded is {outcomes:?}"
        );
        if idempotency == Idempotency::NonIdempotent {
            assert!(
                !refused || !may_have_run,
                "{context}: refused with {status}"
            );
        }
        if !refused || end == End::HangAtShutdown {
            break;
        }
        sleep(MS(300)).await;
    }
    if idempotency == Idempotency::NonIdempotent {
        assert_eq!(fixture.faulty_runs(), 1, "{context}");
    }
}

/// Guards against a refusal of a query whose parts have run (review case 8): the search front told a client to repeat a
/// search that may not run twice, and each part ran twice.
#[test]
fn no_query_is_refused_whose_parts_may_have_run_and_may_not_run_twice() {
    for (class, idempotency) in CLASSES.into_iter().rev() {
        for request in ALL_REQUESTS {
            for end in ALL_ENDS {
                run(check_end(request, class, idempotency, end));
            }
        }
    }
}

/// Guards against a status that makes client libraries repeat a search by themselves although it may not run twice.
#[test]
fn a_failed_search_has_a_status_that_libraries_repeat_only_if_it_may_run_twice() {
    for (class, idempotency) in CLASSES {
        for request in [Request::Search, Request::Count, Request::MultiSearch] {
            for end in [End::ErrorBody, End::ErrorBodyOfAll, End::Hang] {
                run(async move {
                    let fixture = Fixture::start(end).await;
                    while fixture.send(request, class, "sound", End::Reset).await != 200 {
                        sleep(MS(1)).await;
                    }
                    let status = fixture.send(request, class, FAULT, end).await;
                    let expected = match (end, idempotency) {
                        // Rejected by the coordinator, as it may run again.
                        (End::Hang, Idempotency::Idempotent | Idempotency::IdempotencyKey) => 429,
                        (_, Idempotency::Idempotent) => 504,
                        _ => 500,
                    };
                    assert_eq!(status, expected, "{request:?} of class {class}, {end:?}");
                });
            }
        }
    }
}
