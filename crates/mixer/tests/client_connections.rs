//! The whole mixer on real sockets of the loopback, with a leaf server and discovery played by the test.

mod harness;
mod loopback;

use loopback::{query, reply, Around};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Duration, Instant};

/// Few: a test can fill the room that clients have.
const DESCRIPTORS: usize = 40;

/// Discovery: ends the first watch without a word, answers each later one with the list and leaves it open.
async fn discovery(listener: TcpListener, leaf: SocketAddr) {
    let mut open = Vec::new();
    drop(listener.accept().await);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(loopback::list(3, leaf, "up").as_bytes())
            .await
            .unwrap();
        open.push(stream);
    }
}

/// A leaf server: answers each part with its own id as the value; on its first connection, one whose id
/// begins with `cut` only to the middle.
async fn leaf(listener: TcpListener) {
    for first in [true].into_iter().chain(std::iter::repeat(false)) {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(answer_parts(stream, first));
    }
}

async fn answer_parts(mut stream: TcpStream, first: bool) {
    loop {
        let Ok(length) = stream.read_u32().await else {
            return;
        };
        let mut frame = vec![0; length as usize];
        stream.read_exact(&mut frame).await.unwrap();
        let text = String::from_utf8(frame).unwrap();
        let id = text[1..].split(' ').next().unwrap().to_string();
        let answer = format!("A{id} ok 1 -\n{id}");
        stream.write_u32(answer.len() as u32).await.unwrap();
        let cut = if first && id.starts_with("cut") {
            answer.len() / 2
        } else {
            answer.len()
        };
        stream.write_all(&answer.as_bytes()[..cut]).await.unwrap();
    }
}

/// Runs `client` against a mixer at its address.
fn against<F: Future<Output = ()>>(client: impl FnOnce(SocketAddr) -> F) {
    run(false, harness::SETTINGS, client);
}

/// The same on a clock that stands still while anyone has something to do, and else goes on to the next
/// timer.
fn against_at_once<F: Future<Output = ()>>(client: impl FnOnce(SocketAddr) -> F) {
    run(true, harness::SETTINGS, client);
}

fn run<F: Future<Output = ()>>(paused: bool, text: &str, client: impl FnOnce(SocketAddr) -> F) {
    loopback::run(paused, text, DESCRIPTORS, |around| async move {
        let Around {
            mixer,
            serving,
            control: _control,
            discovery: at,
            leaf: leaf_at,
        } = around;
        tokio::task::spawn_local(discovery(at, leaf_at.local_addr().unwrap()));
        tokio::task::spawn_local(leaf(leaf_at));
        tokio::select! {
            ended = serving => panic!("the mixer ended: {ended:?}"),
            () = client(mixer) => {}
        }
    });
}

/// Waits until the mixer holds a list; a clock that stands still has to be moved on for that.
async fn ready(at: SocketAddr, on: Duration) {
    loop {
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(b"GET /-/ready HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        if reply(&mut stream).await.0.starts_with("HTTP/1.1 200") {
            return;
        }
        tokio::task::yield_now().await;
        sleep(on).await;
    }
}

#[test]
fn queries_are_served_over_one_kept_connection_and_split_at_any_byte() {
    against(|at| async move {
        ready(at, Duration::ZERO).await;
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for byte in query("a1", "").bytes() {
            stream.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let whole = "{\"complete\":true,\"hits\":[{\"shard\":3,\"doc\":\"NAME.3\"}]}";
        assert_eq!(reply(&mut stream).await.1, whole.replace("NAME", "a1"));
        // The next two arrive together: each still gets its own answer, in order.
        let both = query("a2", "") + &query("a3", "Connection: close\r\n");
        stream.write_all(both.as_bytes()).await.unwrap();
        assert_eq!(reply(&mut stream).await.1, whole.replace("NAME", "a2"));
        assert_eq!(reply(&mut stream).await.1, whole.replace("NAME", "a3"));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0, "closed, as asked");
    });
}

#[test]
fn a_body_that_is_too_large_is_refused_and_not_reset() {
    against(|at| async move {
        let mut stream = TcpStream::connect(at).await.unwrap();
        let head = "POST /lookup HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
        let body = "x".repeat(1_000_000);
        stream
            .write_all((head.to_string() + &body).as_bytes())
            .await
            .unwrap();
        assert!(reply(&mut stream).await.0.starts_with("HTTP/1.1 413"));
    });
}

#[test]
fn a_bad_request_is_named_and_the_next_client_served() {
    against(|at| async move {
        ready(at, Duration::ZERO).await;
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(b"\0\0\0 what is this\r\n\r\n")
            .await
            .unwrap();
        assert!(reply(&mut stream).await.0.starts_with("HTTP/1.1 400"));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(query("b1", "").as_bytes()).await.unwrap();
        assert!(reply(&mut stream).await.0.starts_with("HTTP/1.1 200"));
        stream
            .write_all(b"GET /-/stats HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        let stats: serde_json::Value = serde_json::from_str(&reply(&mut stream).await.1).unwrap();
        assert_eq!(
            (&stats["taken"]["queries"], &stats["taken"]["rejected"]),
            (&1.into(), &1.into())
        );
    });
}

#[test]
fn who_says_nothing_or_never_ends_a_request_is_told_or_closed_in_time() {
    against_at_once(|at| async move {
        ready(at, Duration::from_millis(1)).await;
        let begun = Instant::now();
        let mut silent = TcpStream::connect(at).await.unwrap();
        assert_eq!(silent.read(&mut [0]).await.unwrap(), 0);
        assert!(
            (2000..2500).contains(&begun.elapsed().as_millis()),
            "{:?}",
            begun.elapsed()
        );
        // No byte buys more time, on a new connection or on one that was served before.
        let begun = Instant::now();
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(query("slow", "").as_bytes())
            .await
            .unwrap();
        assert!(reply(&mut stream).await.0.starts_with("HTTP/1.1 200"));
        let (mut reading, mut writing) = stream.into_split();
        let slow = async {
            for byte in b"POST /lookup HTTP/1.1\r\nContent-Length: 900\r\n\r\n"
                .iter()
                .chain(&[b'{'; 900])
            {
                sleep(Duration::from_millis(200)).await;
                if writing.write_all(&[*byte]).await.is_err() {
                    break;
                }
            }
        };
        let mut told = [0; 12];
        tokio::select! {
            read = reading.read_exact(&mut told) => drop(read.unwrap()),
            () = slow => panic!("never told"),
        }
        assert_eq!(&told, b"HTTP/1.1 408");
        assert!(
            (2000..3000).contains(&begun.elapsed().as_millis()),
            "{:?}",
            begun.elapsed()
        );
    });
}

#[test]
fn half_requests_do_not_hold_the_places_of_good_clients() {
    against_at_once(|at| async move {
        ready(at, Duration::from_millis(1)).await;
        let begun = Instant::now();
        let mut halves = Vec::new();
        for _ in 0..2 * DESCRIPTORS {
            let mut half = TcpStream::connect(at).await.unwrap();
            // It may have been closed by now, which is as well.
            let _ = half
                .write_all(b"POST /lookup HTTP/1.1\r\nContent-Length: 90\r\n\r\n{")
                .await;
            halves.push(half);
        }
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(query("good", "").as_bytes())
            .await
            .unwrap();
        assert!(reply(&mut stream).await.0.starts_with("HTTP/1.1 200"));
        assert!(begun.elapsed().as_millis() < 1000, "{:?}", begun.elapsed());
    });
}

#[test]
fn half_an_answer_is_not_waited_for() {
    against_at_once(|at| async move {
        ready(at, Duration::from_millis(1)).await;
        let begun = Instant::now();
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream
            .write_all(query("cut1", "").as_bytes())
            .await
            .unwrap();
        let found = reply(&mut stream).await;
        assert!(found.1.contains("\"doc\":\"cut1.3\""), "{found:?}");
        assert!(begun.elapsed().as_millis() < 300, "{:?}", begun.elapsed());
    });
}

/// The first watch ends without a word. Where the list is pushed it is in force all the same.
#[test]
fn one_of_three_hundred_has_its_pushed_list_again_within_the_grace() {
    let settings = harness::SETTINGS.replace("replicas_of_me=1", "replicas_of_me=300");
    let settings = settings + "discovery=pushed\nguarantees.stop_sending_within_ns=250000000\n";
    run(true, &settings, |at| async move {
        let begun = Instant::now();
        ready(at, Duration::from_millis(1)).await;
        assert!(
            begun.elapsed() < Duration::from_millis(250),
            "{:?}",
            begun.elapsed()
        );
    });
}
