//! Races between two events on a connection, on loopback sockets. The test implements discovery and the leaf server and
//! delays their bytes, accept or close, so that the order of the events does not depend on a sleep.

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

/// Time limits for a hanging test; no other test takes as long.
const REAL_TIME_LIMIT: Duration = Duration::from_secs(30);
const PAUSED_TIME_LIMIT: Duration = Duration::from_secs(3000);
/// How long the leaf server waits for a connection that must not be opened.
const NO_CONNECTION_WAIT: Duration = Duration::from_secs(5);
const DESCRIPTORS: usize = 1024;

/// How discovery responds to requests at present.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryMode {
    /// Responds with a snapshot in which the leaf server has this status.
    Snapshot(&'static str),
    /// Responds after the mode has changed, according to the new mode.
    Hold,
    /// Never responds.
    Silent,
    /// Closes the connection.
    Reset,
    /// Responds with status 503.
    Reject,
}

/// A mixer with the discovery and the leaf server of the test.
struct Fixture {
    mixer: SocketAddr,
    control: mpsc::Sender<Control>,
    leaf: TcpListener,
    discovery_mode: Cell<DiscoveryMode>,
    discovery_mode_changed: Notify,
    /// The number of requests that discovery has accepted.
    discovery_requests: Cell<usize>,
    /// The watches to which discovery has responded with a snapshot.
    watches: RefCell<Vec<TcpStream>>,
    /// The requests that never get a response, kept open.
    unanswered: RefCell<Vec<TcpStream>>,
}

/// Runs `test` with a mixer and this discovery mode.
fn run_against_mixer<F: Future<Output = ()>>(
    clock: TestClock,
    settings_text: &str,
    discovery_mode: DiscoveryMode,
    test: impl FnOnce(Rc<Fixture>) -> F,
) {
    let options = MixerOptions::new(settings_text, DESCRIPTORS, clock);
    let time_limit = match clock {
        TestClock::Real => REAL_TIME_LIMIT,
        TestClock::Paused => PAUSED_TIME_LIMIT,
    };
    loopback::run_mixer(options, |mixer| async move {
        // `serving` is not awaited: the mixer may exit before the test ends.
        let RunningMixer {
            address,
            control,
            discovery,
            leaf,
            serving: _,
        } = mixer;
        let fixture = Rc::new(Fixture {
            mixer: address,
            control,
            leaf,
            discovery_mode: Cell::new(discovery_mode),
            discovery_mode_changed: Notify::new(),
            discovery_requests: Cell::new(0),
            watches: RefCell::default(),
            unanswered: RefCell::default(),
        });
        tokio::task::spawn_local(serve_discovery(discovery, fixture.clone()));
        timeout(time_limit, test(fixture))
            .await
            .expect("the test ends within its time limit");
    });
}

async fn serve_discovery(listener: TcpListener, fixture: Rc<Fixture>) {
    let leaf = fixture.leaf.local_addr().unwrap();
    for request in 1.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        fixture.discovery_requests.set(request);
        while fixture.discovery_mode.get() == DiscoveryMode::Hold {
            fixture.discovery_mode_changed.notified().await;
        }
        match fixture.discovery_mode.get() {
            DiscoveryMode::Snapshot(status) => {
                let response = watch_response(request, leaf, status);
                if stream.write_all(response.as_bytes()).await.is_ok() {
                    fixture.watches.borrow_mut().push(stream);
                }
            }
            DiscoveryMode::Reject => {
                let response = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(response.as_bytes()).await;
            }
            DiscoveryMode::Silent => fixture.unanswered.borrow_mut().push(stream),
            DiscoveryMode::Reset | DiscoveryMode::Hold => {}
        }
    }
}

impl Fixture {
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

    /// Waits until a counter of the mixer's statistics has this value.
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

    /// Whether the mixer connects to the leaf server within [`NO_CONNECTION_WAIT`].
    async fn mixer_connects_to_leaf(&self) -> bool {
        let accepted = timeout(NO_CONNECTION_WAIT, self.leaf.accept()).await;
        accepted.is_ok()
    }
}

/// Reads frames at a leaf server up to the next call; returns the id of its first part.
async fn read_call(stream: &mut TcpStream) -> String {
    loop {
        let frame = read_frame(stream).await.expect("a complete frame");
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
        |fixture| async move {
            fixture.wait_until_ready().await;
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            let mut client = socket.connect(fixture.mixer).await.unwrap();
            send_text(&mut client, &query_text("one", "Connection: close\r\n")).await;
            let mut leaf = fixture.accept_at_leaf().await;
            assert_eq!(read_call(&mut leaf).await, "one.3");
            let value = "v".repeat(60_000);
            leaf.write_all(&answer_frame("one.3", &value))
                .await
                .unwrap();
            // The response has started and blocks until the client reads it. Until it is complete, the mixer does not
            // read the bytes that are sent here.
            let mut response = vec![0; 12];
            client.read_exact(&mut response).await.unwrap();
            let unread = query_text("two", "") + &"x".repeat(1_000);
            send_text(&mut client, &unread).await;
            client
                .read_to_end(&mut response)
                .await
                .expect("the connection is closed without a reset");
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

/// The client sends further bytes before the response, a complete request or more bytes than are buffered, and then
/// disconnects.
#[test]
fn sends_nothing_for_client_that_pipelined_and_disconnected() {
    for extra_bytes in [0, 100, 100_000] {
        run_against_mixer(
            TestClock::Real,
            SETTINGS,
            DiscoveryMode::Hold,
            |fixture| async move {
                let mut client = fixture.connect_client().await;
                let two_queries = query_text("one", "") + &query_text("two", "");
                send_text(&mut client, &two_queries).await;
                send_text(&mut client, &"x".repeat(extra_bytes)).await;
                drop(client);
                // No call was sent so far, as there was no endpoint update.
                fixture.wait_for_counter("/answered/client_gone", 1).await;
                fixture.set_discovery_mode(DiscoveryMode::Snapshot("up"));
                fixture.wait_until_ready().await;
                let mut other = fixture.connect_client().await;
                send_text(&mut other, &query_text("three", "")).await;
                let mut leaf = fixture.accept_at_leaf().await;
                assert_eq!(
                    read_call(&mut leaf).await,
                    "three.3",
                    "with {extra_bytes} extra bytes"
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
        |fixture| async move {
            fixture.wait_until_ready().await;
            let mut client = fixture.connect_client().await;
            send_text(&mut client, &query_text("one", "")).await;
            let mut leaf = fixture.accept_at_leaf().await;
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
        |fixture| async move {
            fixture.wait_until_ready().await;
            let mut idle = fixture.connect_client().await;
            send_text(&mut idle, "GET /-/ready HTTP/1.1\r\n\r\n").await;
            read_response(&mut idle).await;
            let mut incomplete = fixture.connect_client().await;
            send_text(&mut incomplete, &query_text("half", "")[..40]).await;
            fixture.control.send(Control::Terminate).await.unwrap();
            let at_end = "the connection is closed without a reset";
            assert_eq!(idle.read(&mut [0]).await.expect(at_end), 0);
            for _ in 0..20 {
                idle.write_all(query_text("late", "").as_bytes())
                    .await
                    .expect("the connection is not reset");
                incomplete
                    .write_all(b"xxxx")
                    .await
                    .expect("the connection is not reset");
                tokio::task::yield_now().await;
            }
            // A request that has begun is received on; it gets an error when its time is over.
            let refused = read_response(&mut incomplete).await;
            assert!(refused.has_status(408), "{refused:?}");
            assert_eq!(incomplete.read(&mut [0]).await.expect(at_end), 0);
            drop((idle, incomplete));
            assert!(
                !fixture.mixer_connects_to_leaf().await,
                "no part of the requests was forwarded"
            );
        },
    );
}

/// What happens to the connection after the last byte of a truncated answer.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Shutdown,
    Reset,
    /// The connection stays open.
    Hang,
}

/// A truncated answer must not be forwarded, regardless of how its connection ends. A part that may have executed must
/// not be sent again.
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
        |fixture| async move {
            fixture.wait_until_ready().await;
            let mut client = fixture.connect_client().await;
            send_text(&mut client, &query_text("cut", "")).await;
            let mut leaf = fixture.accept_at_leaf().await;
            assert_eq!(read_call(&mut leaf).await, "cut.3");
            let answer = answer_frame("cut.3", "document");
            leaf.write_all(&answer[..length]).await.unwrap();
            let open_leaf = match end {
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
                "truncated at {length}, then {end:?}: {response:?}"
            );
            assert!(
                !fixture.mixer_connects_to_leaf().await,
                "truncated at {length}, then {end:?}: sent again"
            );
            drop(open_leaf);
        },
    );
}

/// A discovery service that is shared by all mixers fails for a minute and then announces a draining endpoint. The
/// mixer must apply this within 6 s, in a fleet of 3 and of 300 mixers.
#[test]
fn recovers_within_6_s_after_any_failure_of_polled_discovery() {
    for mixers in [3, 300] {
        for failure in [
            DiscoveryMode::Reset,
            DiscoveryMode::Reject,
            DiscoveryMode::Silent,
        ] {
            check_recovers_after_failure(mixers, failure);
        }
    }
}

fn check_recovers_after_failure(mixers: u32, failure: DiscoveryMode) {
    let settings_text = SETTINGS.replace("replicas_of_me=1", &format!("replicas_of_me={mixers}"))
        + "discovery=on_request\nguarantees.ask_within_ns=30000000000\n";
    let discovery_mode = DiscoveryMode::Snapshot("up");
    run_against_mixer(
        TestClock::Paused,
        &settings_text,
        discovery_mode,
        |fixture| async move {
            fixture.wait_until_ready().await;
            fixture.set_discovery_mode(failure);
            fixture.watches.borrow_mut().clear();
            sleep(Duration::from_secs(60)).await;
            // Discovery recovers right after the start of a request that still fails, which is the worst case.
            let requests = fixture.discovery_requests.get();
            while fixture.discovery_requests.get() == requests {
                sleep(Duration::from_millis(1)).await;
            }
            let recovered_at = Instant::now();
            fixture.set_discovery_mode(DiscoveryMode::Snapshot("draining"));
            while fixture.watches.borrow().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            // The drain is in force when the endpoint list has the version of the last response.
            while !endpoint_list_has_version(&fixture, fixture.discovery_requests.get()).await {
                sleep(Duration::from_millis(10)).await;
            }
            let recovery_time = recovered_at.elapsed();
            assert!(
                recovery_time <= Duration::from_secs(6),
                "{failure:?}, {mixers} mixers: {recovery_time:?}"
            );
            assert!(
                requests <= 60,
                "{failure:?}, {mixers} mixers: {requests} requests in a minute"
            );
        },
    );
}

async fn endpoint_list_has_version(fixture: &Fixture, version: usize) -> bool {
    let stats: HttpResponse = http_get(fixture.mixer, "/-/stats").await;
    stats.body.contains(&format!("\"list\": {version}"))
}

/// Guards against requests that are sent on although their clients had left before they were read: the two events must
/// not reach different batches, however many clients there are.
#[test]
fn sends_nothing_for_clients_that_left_before_their_requests_were_read() {
    const CLIENTS: usize = 400;
    run_against_mixer(
        TestClock::Real,
        SETTINGS,
        DiscoveryMode::Snapshot("up"),
        |fixture| async move {
            fixture.wait_until_ready().await;
            // The mixer does not run meanwhile, since this blocks its thread. An odd number of inputs before the queries puts
            // the two events of one of them into different batches.
            let mut ready = std::net::TcpStream::connect(fixture.mixer).unwrap();
            std::io::Write::write_all(&mut ready, b"GET /-/ready HTTP/1.1\r\n\r\n").unwrap();
            for number in 0..CLIENTS {
                let mut client = std::net::TcpStream::connect(fixture.mixer).unwrap();
                let query = query_text(&format!("left{number}"), "");
                std::io::Write::write_all(&mut client, query.as_bytes()).unwrap();
            }
            assert!(
                !fixture.mixer_connects_to_leaf().await,
                "a query of a client that has left was sent on"
            );
        },
    );
}
