//! Two events that meet on a connection, on real sockets of the loopback. Discovery and the leaf server are played by
//! the test, which holds back its bytes, its accept or its close: the order of events does not depend on a sleep.

mod harness;
mod loopback;

use cottonhill_mixer::transport::Control;
use harness::{non_idempotent_settings, SETTINGS};
use loopback::{
    answer_frame, first_part_id, get_stats, http_get, query_text, read_frame, read_response,
    send_text, watch_response, HttpResponse, MixerOptions, RunningMixer, TestClock,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Duration, Instant};

/// No test takes as long; it bounds one that would hang.
const REAL_TIME_LIMIT: Duration = Duration::from_secs(30);
const PAUSED_TIME_LIMIT: Duration = Duration::from_secs(3000);
/// For how long the leaf server waits for a connection that must not come.
const NO_CONNECTION_WAIT: Duration = Duration::from_secs(5);
const DESCRIPTORS: usize = 1024;

/// How discovery answers requests at present.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryMode {
    /// With a snapshot in which the leaf server has this status.
    Snapshot(&'static str),
    /// Not before the mode changes.
    Hold,
    /// Never.
    Silent,
    Reset,
    /// With a 503.
    Reject,
}

/// A mixer, and what the test plays around it.
struct Stage {
    mixer: SocketAddr,
    control: mpsc::Sender<Control>,
    leaf: TcpListener,
    discovery_mode: Cell<DiscoveryMode>,
    discovery_mode_changed: Notify,
    /// Requests that discovery has had.
    discovery_requests: Cell<usize>,
    /// Watches that discovery has answered with a snapshot.
    watches: RefCell<Vec<TcpStream>>,
    /// Requests that are never answered.
    unanswered: RefCell<Vec<TcpStream>>,
}

/// Runs `test` against a mixer.
fn run_against_mixer<F: Future<Output = ()>>(
    clock: TestClock,
    settings_text: &str,
    discovery_mode: DiscoveryMode,
    test: impl FnOnce(Rc<Stage>) -> F,
) {
    let options = MixerOptions::new(settings_text, DESCRIPTORS, clock);
    let time_limit = match clock {
        TestClock::Real => REAL_TIME_LIMIT,
        TestClock::Paused => PAUSED_TIME_LIMIT,
    };
    loopback::run_mixer(options, |mixer| async move {
        // The mixer may exit while the test goes on.
        let RunningMixer {
            address,
            control,
            discovery,
            leaf,
            serving: _,
        } = mixer;
        let stage = Rc::new(Stage {
            mixer: address,
            control,
            leaf,
            discovery_mode: Cell::new(discovery_mode),
            discovery_mode_changed: Notify::new(),
            discovery_requests: Cell::new(0),
            watches: RefCell::default(),
            unanswered: RefCell::default(),
        });
        tokio::task::spawn_local(serve_discovery(discovery, stage.clone()));
        timeout(time_limit, test(stage)).await.expect("in time");
    });
}

async fn serve_discovery(listener: TcpListener, stage: Rc<Stage>) {
    let leaf = stage.leaf.local_addr().unwrap();
    for request in 1.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        stage.discovery_requests.set(request);
        while stage.discovery_mode.get() == DiscoveryMode::Hold {
            stage.discovery_mode_changed.notified().await;
        }
        match stage.discovery_mode.get() {
            DiscoveryMode::Snapshot(status) => {
                let response = watch_response(request, leaf, status);
                if stream.write_all(response.as_bytes()).await.is_ok() {
                    stage.watches.borrow_mut().push(stream);
                }
            }
            DiscoveryMode::Reject => {
                let response = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(response.as_bytes()).await;
            }
            DiscoveryMode::Silent => stage.unanswered.borrow_mut().push(stream),
            DiscoveryMode::Reset | DiscoveryMode::Hold => {}
        }
    }
}

impl Stage {
    fn set_discovery_mode(&self, mode: DiscoveryMode) {
        self.discovery_mode.set(mode);
        self.discovery_mode_changed.notify_waiters();
    }

    async fn connect_client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.mixer).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    async fn wait_until_ready(&self) {
        while !http_get(self.mixer, "/-/ready").await.has_status(200) {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until a counter of the mixer has this value.
    async fn wait_for_counter(&self, counter: &str, value: u64) {
        loop {
            let stats = get_stats(self.mixer).await;
            if stats.pointer(counter).and_then(serde_json::Value::as_u64) == Some(value) {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn accept_at_leaf(&self) -> TcpStream {
        let (stream, _) = self.leaf.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Whether the mixer connects to the leaf server within some seconds.
    async fn mixer_connects_to_leaf(&self) -> bool {
        let accepted = timeout(NO_CONNECTION_WAIT, self.leaf.accept()).await;
        accepted.is_ok()
    }
}

/// The id of the first part of the next call at a leaf server.
async fn read_call(stream: &mut TcpStream) -> String {
    loop {
        let frame = read_frame(stream).await.expect("a frame");
        if frame.starts_with('Q') {
            return first_part_id(&frame).to_string();
        }
    }
}

#[test]
fn closing_response_arrives_complete_despite_unread_request_bytes() {
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Real,
        SETTINGS,
        discovery_mode,
        |stage| async move {
            stage.wait_until_ready().await;
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            let mut client = socket.connect(stage.mixer).await.unwrap();
            send_text(&mut client, &query_text("one", "Connection: close\r\n")).await;
            let mut leaf = stage.accept_at_leaf().await;
            assert_eq!(read_call(&mut leaf).await, "one.3");
            let value = "v".repeat(60_000);
            leaf.write_all(&answer_frame("one.3", &value))
                .await
                .unwrap();
            // The response has begun and waits for its reader: nothing of this is read before its end.
            let mut response = vec![0; 12];
            client.read_exact(&mut response).await.unwrap();
            let unread = query_text("two", "") + &"x".repeat(1_000);
            send_text(&mut client, &unread).await;
            client
                .read_to_end(&mut response)
                .await
                .expect("an end, not a reset");
            let response = String::from_utf8(response).unwrap();
            assert!(
                response.starts_with("HTTP/1.1 200") && response.ends_with("\"}]}"),
                "{} bytes",
                response.len()
            );
            assert!(response.contains(&value));
        },
    );
}

/// The client sends further bytes early, a whole request or more than is kept, and then closes.
#[test]
fn sends_nothing_for_client_that_pipelined_and_disconnected() {
    for extra_bytes in [0, 100, 100_000] {
        run_against_mixer(
            TestClock::Real,
            SETTINGS,
            DiscoveryMode::Hold,
            |stage| async move {
                let mut client = stage.connect_client().await;
                let two_queries = query_text("one", "") + &query_text("two", "");
                send_text(&mut client, &two_queries).await;
                send_text(&mut client, &"x".repeat(extra_bytes)).await;
                drop(client);
                // Before the first endpoint update nothing was sent.
                stage.wait_for_counter("/answered/client_gone", 1).await;
                stage.set_discovery_mode(DiscoveryMode::Snapshot("up"));
                stage.wait_until_ready().await;
                let mut other = stage.connect_client().await;
                send_text(&mut other, &query_text("three", "")).await;
                let mut leaf = stage.accept_at_leaf().await;
                assert_eq!(
                    read_call(&mut leaf).await,
                    "three.3",
                    "with {extra_bytes} bytes behind"
                );
                leaf.write_all(&answer_frame("three.3", "doc"))
                    .await
                    .unwrap();
                assert!(read_response(&mut other).await.has_status(200));
            },
        );
    }
}

#[test]
fn serves_pipelined_requests_in_order() {
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Real,
        SETTINGS,
        discovery_mode,
        |stage| async move {
            stage.wait_until_ready().await;
            let mut client = stage.connect_client().await;
            send_text(&mut client, &query_text("one", "")).await;
            let mut leaf = stage.accept_at_leaf().await;
            assert_eq!(read_call(&mut leaf).await, "one.3");
            for request_id in ["two", "three", "four"] {
                for bytes in query_text(request_id, "").as_bytes().chunks(7) {
                    client.write_all(bytes).await.unwrap();
                    tokio::task::yield_now().await;
                }
            }
            for request_id in ["one", "two", "three", "four"] {
                let part = format!("{request_id}.3");
                assert!(request_id == "one" || read_call(&mut leaf).await == part);
                let answer = answer_frame(&part, request_id);
                leaf.write_all(&answer).await.unwrap();
                let response = read_response(&mut client).await;
                assert!(response.body.contains(&format!("\"doc\":\"{request_id}\"")));
            }
        },
    );
}

#[test]
fn request_racing_idle_close_is_neither_forwarded_nor_reset() {
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Paused,
        SETTINGS,
        discovery_mode,
        |stage| async move {
            stage.wait_until_ready().await;
            let mut idle = stage.connect_client().await;
            send_text(&mut idle, "GET /-/ready HTTP/1.1\r\n\r\n").await;
            read_response(&mut idle).await;
            let mut incomplete = stage.connect_client().await;
            send_text(&mut incomplete, &query_text("half", "")[..40]).await;
            stage.control.send(Control::Terminate).await.unwrap();
            for client in [&mut idle, &mut incomplete] {
                assert_eq!(client.read(&mut [0]).await.expect("an end, not a reset"), 0);
            }
            for _ in 0..20 {
                idle.write_all(query_text("late", "").as_bytes())
                    .await
                    .expect("not reset");
                incomplete.write_all(b"xxxx").await.expect("not reset");
                tokio::task::yield_now().await;
            }
            drop((idle, incomplete));
            assert!(
                !stage.mixer_connects_to_leaf().await,
                "nothing of it was forwarded"
            );
        },
    );
}

/// What happens to an answer's connection after its last byte.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Shutdown,
    Reset,
    /// It stays open.
    Hang,
}

/// What is cut short, however it then ends, is no answer; and a part that may have executed is not sent again.
#[test]
fn truncated_answer_is_neither_forwarded_nor_retried_for_non_idempotent_class() {
    let complete_length = answer_frame("cut.3", "document").len();
    for length in 1..complete_length {
        for end in [
            ConnectionEnd::Shutdown,
            ConnectionEnd::Reset,
            ConnectionEnd::Hang,
        ] {
            check_truncated_answer(length, end);
        }
    }
}

fn check_truncated_answer(length: usize, end: ConnectionEnd) {
    let settings_text = non_idempotent_settings();
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Paused,
        &settings_text,
        discovery_mode,
        |stage| async move {
            stage.wait_until_ready().await;
            let mut client = stage.connect_client().await;
            send_text(&mut client, &query_text("cut", "")).await;
            let mut leaf = stage.accept_at_leaf().await;
            assert_eq!(read_call(&mut leaf).await, "cut.3");
            let answer = answer_frame("cut.3", "document");
            leaf.write_all(&answer[..length]).await.unwrap();
            let kept_open = match end {
                ConnectionEnd::Shutdown => {
                    leaf.shutdown().await.unwrap();
                    Some(leaf)
                }
                ConnectionEnd::Reset => {
                    leaf.set_zero_linger().unwrap();
                    None
                }
                ConnectionEnd::Hang => Some(leaf),
            };
            let response = read_response(&mut client).await;
            assert!(
                response.has_status(504),
                "cut at {length}, then {end:?}: {response:?}"
            );
            assert!(
                !stage.mixer_connects_to_leaf().await,
                "cut at {length}, then {end:?}: sent again"
            );
            drop(kept_open);
        },
    );
}

/// A discovery that all share fails for a minute, in one way, and is back with an endpoint that drains: the mixer has
/// that within 6 s, as one of three or of three hundred.
#[test]
fn polled_discovery_recovers_in_time_after_any_failure() {
    for mixers in [3, 300] {
        for failure in [
            DiscoveryMode::Reset,
            DiscoveryMode::Reject,
            DiscoveryMode::Silent,
        ] {
            check_polled_discovery_recovers(mixers, failure);
        }
    }
}

fn check_polled_discovery_recovers(mixers: u32, failure: DiscoveryMode) {
    let settings_text = SETTINGS.replace("replicas_of_me=1", &format!("replicas_of_me={mixers}"))
        + "discovery=on_request\nguarantees.ask_within_ns=30000000000\n";
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Paused,
        &settings_text,
        discovery_mode,
        |stage| async move {
            stage.wait_until_ready().await;
            stage.set_discovery_mode(failure);
            stage.watches.borrow_mut().clear();
            sleep(Duration::from_secs(60)).await;
            // It is back right after a request that fails all the same.
            let requests = stage.discovery_requests.get();
            while stage.discovery_requests.get() == requests {
                sleep(Duration::from_millis(1)).await;
            }
            let back_since = Instant::now();
            stage.set_discovery_mode(DiscoveryMode::Snapshot("draining"));
            while stage.watches.borrow().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            // The drain is in force once the endpoint list has this version.
            while !stats_show_list_version(&stage, stage.discovery_requests.get()).await {
                sleep(Duration::from_millis(10)).await;
            }
            let recovery = back_since.elapsed();
            assert!(
                recovery <= Duration::from_secs(6),
                "{failure:?}, one of {mixers}: {recovery:?}"
            );
            assert!(
                requests <= 60,
                "{failure:?}, one of {mixers}: {requests} requests in a minute"
            );
        },
    );
}

async fn stats_show_list_version(stage: &Stage, version: usize) -> bool {
    let stats: HttpResponse = http_get(stage.mixer, "/-/stats").await;
    stats.body.contains(&format!("\"list\": {version}"))
}
