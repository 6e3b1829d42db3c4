//! Client connections of a complete mixer on loopback sockets. The test implements the leaf server and discovery.

mod harness;
mod loopback;

use harness::SETTINGS;
use loopback::{
    answer_frame, first_part_id, http_get, query_text, read_frame, read_response, send_text,
    watch_response, MixerOptions, RunningMixer, TestClock,
};
use std::future::Future;
use std::net::SocketAddr;
use std::ops::Range;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, Duration, Instant};

/// Few enough that a test can exhaust those for clients.
const DESCRIPTORS: usize = 40;
/// The client timeout of the class `lookup` in the settings.
const LOOKUP_TIMEOUT_MS: u128 = 6_000;
/// The size of the length before a frame, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

/// Discovery: closes the first watch without a response; responds to each later watch with a snapshot and keeps it
/// open.
async fn serve_discovery(listener: TcpListener, leaf: SocketAddr) {
    let mut open_watches = Vec::new();
    drop(listener.accept().await);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        send_text(&mut stream, &watch_response(3, leaf, "up")).await;
        open_watches.push(stream);
    }
}

/// A leaf server: answers each part with the part's id as the value. On the first connection, the answers to parts
/// whose id starts with `cut` are truncated to half of their frame.
async fn serve_leaf(listener: TcpListener) {
    let mut is_first = true;
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(answer_parts(stream, is_first));
        is_first = false;
    }
}

async fn answer_parts(mut stream: TcpStream, is_first_connection: bool) {
    while let Ok(frame) = read_frame(&mut stream).await {
        let id = first_part_id(&frame);
        let answer = answer_frame(id, id);
        let length = if is_first_connection && id.starts_with("cut") {
            FRAME_HEADER_BYTES + (answer.len() - FRAME_HEADER_BYTES) / 2
        } else {
            answer.len()
        };
        stream.write_all(&answer[..length]).await.unwrap();
    }
}

/// Runs `client` with the address of a mixer.
fn run_against_mixer<F: Future<Output = ()>>(
    clock: TestClock,
    settings_text: &str,
    client: impl FnOnce(SocketAddr) -> F,
) {
    let options = MixerOptions::new(settings_text, DESCRIPTORS, clock);
    loopback::run_mixer(options, |mixer| async move {
        let RunningMixer {
            address,
            serving,
            control: _control,
            discovery,
            leaf,
        } = mixer;
        let leaf_address = leaf.local_addr().unwrap();
        tokio::task::spawn_local(serve_discovery(discovery, leaf_address));
        tokio::task::spawn_local(serve_leaf(leaf));
        tokio::select! {
            ended = serving => panic!("the mixer ended: {ended:?}"),
            () = client(address) => {}
        }
    });
}

/// Waits until the mixer has an endpoint list. With a paused clock, `poll_interval` must be above zero for the clock to
/// advance.
async fn wait_until_ready(mixer: SocketAddr, poll_interval: Duration) {
    while !http_get(mixer, "/-/ready").await.has_status(200) {
        tokio::task::yield_now().await;
        sleep(poll_interval).await;
    }
}

async fn connect(mixer: SocketAddr) -> TcpStream {
    TcpStream::connect(mixer).await.unwrap()
}

fn assert_elapsed_ms(since: Instant, expected_ms: Range<u128>) {
    let elapsed = since.elapsed();
    assert!(expected_ms.contains(&elapsed.as_millis()), "{elapsed:?}");
}

#[test]
fn serves_queries_on_one_connection_split_at_any_byte() {
    run_against_mixer(TestClock::Real, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::ZERO).await;
        let mut stream = connect(mixer).await;
        stream.set_nodelay(true).unwrap();
        for byte in query_text("a1", "").bytes() {
            stream.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let expected_body = |request_id: &str| {
            format!("{{\"complete\":true,\"hits\":[{{\"shard\":3,\"doc\":\"{request_id}.3\"}}]}}")
        };
        assert_eq!(read_response(&mut stream).await.body, expected_body("a1"));
        // Two queries that arrive together each get their own answer, in order.
        let two_queries = query_text("a2", "") + &query_text("a3", "Connection: close\r\n");
        send_text(&mut stream, &two_queries).await;
        assert_eq!(read_response(&mut stream).await.body, expected_body("a2"));
        assert_eq!(read_response(&mut stream).await.body, expected_body("a3"));
        assert_eq!(
            stream.read(&mut [0]).await.unwrap(),
            0,
            "closed, as requested by the last request"
        );
    });
}

#[test]
fn rejects_too_large_body_without_reset() {
    run_against_mixer(TestClock::Real, SETTINGS, |mixer| async move {
        let mut stream = connect(mixer).await;
        let head = "POST /lookup HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
        let request = head.to_string() + &"x".repeat(1_000_000);
        send_text(&mut stream, &request).await;
        assert!(read_response(&mut stream).await.has_status(413));
    });
}

#[test]
fn rejects_bad_request_and_serves_next_client() {
    run_against_mixer(TestClock::Real, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::ZERO).await;
        let mut stream = connect(mixer).await;
        send_text(&mut stream, "\0\0\0 what is this\r\n\r\n").await;
        assert!(read_response(&mut stream).await.has_status(400));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        let mut stream = connect(mixer).await;
        send_text(&mut stream, &query_text("b1", "")).await;
        assert!(read_response(&mut stream).await.has_status(200));
        send_text(&mut stream, "GET /-/stats HTTP/1.1\r\n\r\n").await;
        let stats = read_response(&mut stream).await.json();
        assert_eq!(
            (&stats["taken"]["queries"], &stats["taken"]["rejected"]),
            (&1.into(), &1.into())
        );
    });
}

#[test]
fn closes_silent_client_and_times_out_slow_request() {
    run_against_mixer(TestClock::Paused, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut silent = connect(mixer).await;
        assert_eq!(silent.read(&mut [0]).await.unwrap(), 0);
        assert_elapsed_ms(started, 2000..2500);
        // Further bytes do not extend the time limit of a request, neither on a new connection nor on one that was
        // served before.
        let started = Instant::now();
        let mut stream = connect(mixer).await;
        send_text(&mut stream, &query_text("slow", "")).await;
        assert!(read_response(&mut stream).await.has_status(200));
        let (mut reading, mut writing) = stream.into_split();
        let send_slowly = async {
            let head = b"POST /lookup HTTP/1.1\r\nContent-Length: 900\r\n\r\n";
            for byte in head.iter().chain(&[b'{'; 900]) {
                sleep(Duration::from_millis(200)).await;
                if writing.write_all(&[*byte]).await.is_err() {
                    break;
                }
            }
        };
        let mut status_line = [0; 12];
        tokio::select! {
            read = reading.read_exact(&mut status_line) => drop(read.unwrap()),
            () = send_slowly => panic!("no response to the slow request"),
        }
        assert_eq!(&status_line, b"HTTP/1.1 408");
        assert_elapsed_ms(started, 2000..3000);
    });
}

#[test]
fn incomplete_requests_do_not_block_other_clients() {
    run_against_mixer(TestClock::Paused, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut incomplete_requests = Vec::new();
        for _ in 0..2 * DESCRIPTORS {
            let mut stream = connect(mixer).await;
            // The mixer may have closed the connection already, which is allowed.
            let _ = stream
                .write_all(b"POST /lookup HTTP/1.1\r\nContent-Length: 90\r\n\r\n{")
                .await;
            incomplete_requests.push(stream);
        }
        let mut stream = connect(mixer).await;
        send_text(&mut stream, &query_text("good", "")).await;
        assert!(read_response(&mut stream).await.has_status(200));
        assert_elapsed_ms(started, 0..1000);
    });
}

/// Sends as many requests as the mixer reads ahead, and reads no response. Connects again when the mixer closes the connection.
async fn flood_without_reading(mixer: SocketAddr) {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(1).unwrap();
        let mut stream = socket.connect(mixer).await.unwrap();
        let requests = "GET /-/stats HTTP/1.1\r\n\r\n".repeat(600);
        let _ = stream.write_all(requests.as_bytes()).await;
        let _ = stream.ready(Interest::ERROR).await;
    }
}

/// Guards against clients that keep their places by not reading responses: they kept the mixer from accepting others.
#[test]
fn clients_that_do_not_read_do_not_block_other_clients() {
    run_against_mixer(TestClock::Real, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::ZERO).await;
        for _ in 0..2 * DESCRIPTORS {
            tokio::task::spawn_local(flood_without_reading(mixer));
        }
        sleep(Duration::from_millis(1_000)).await;
        for number in 0..5 {
            let started = Instant::now();
            let mut stream = connect(mixer).await;
            send_text(&mut stream, &query_text(&format!("good{number}"), "")).await;
            assert!(read_response(&mut stream).await.has_status(200));
            assert_elapsed_ms(started, 0..LOOKUP_TIMEOUT_MS);
        }
    });
}

#[test]
fn does_not_wait_for_truncated_answer() {
    run_against_mixer(TestClock::Paused, SETTINGS, |mixer| async move {
        wait_until_ready(mixer, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut stream = connect(mixer).await;
        send_text(&mut stream, &query_text("cut1", "")).await;
        let response = read_response(&mut stream).await;
        assert!(response.body.contains("\"doc\":\"cut1.3\""), "{response:?}");
        assert_elapsed_ms(started, 0..300);
    });
}

/// Discovery closes the first watch without a response. With pushed updates, the endpoint list is nevertheless in force
/// within the drain grace.
#[test]
fn reconnects_to_pushed_discovery_within_drain_grace() {
    let settings_text = SETTINGS.replace("replicas_of_me=1", "replicas_of_me=300")
        + "discovery=pushed\nguarantees.stop_sending_within_ns=250000000\n";
    run_against_mixer(TestClock::Paused, &settings_text, |mixer| async move {
        let started = Instant::now();
        wait_until_ready(mixer, Duration::from_millis(1)).await;
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(250), "{elapsed:?}");
    });
}
