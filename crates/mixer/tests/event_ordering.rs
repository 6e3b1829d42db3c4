//! Two events that meet on a connection, on real sockets of the loopback. Discovery and the leaf server are played by
//! the test, which holds its bytes, its accept or its close until it lets go: no sleep decides.

mod harness;
mod loopback;

use cottonhill_mixer::transport::Control;
use harness::SETTINGS;
use loopback::{list, query, reply, Around};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Duration, Instant};

/// No test takes as long; it bounds one that would hang.
const BOUND: Duration = Duration::from_secs(30);

/// How discovery answers who asks it now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answers {
    List(&'static str),
    /// Nothing, until it is told to.
    Holds,
    /// Nothing, ever.
    Never,
    Resets,
    TurnsAway,
}

/// A mixer, and what the test plays around it.
struct Stage {
    mixer: SocketAddr,
    control: mpsc::Sender<Control>,
    leaf: TcpListener,
    answers: Rc<Cell<Answers>>,
    changed: Rc<Notify>,
    /// Calls that discovery has had.
    asked: Rc<Cell<usize>>,
    watches: Rc<RefCell<Vec<TcpStream>>>,
    /// Calls that are never answered.
    held: Rc<RefCell<Vec<TcpStream>>>,
}

async fn discovery(listener: TcpListener, leaf: SocketAddr, stage: Rc<Stage>) {
    for index in 1.. {
        let (mut stream, _) = listener.accept().await.unwrap();
        stage.asked.set(index);
        while stage.answers.get() == Answers::Holds {
            stage.changed.notified().await;
        }
        match stage.answers.get() {
            Answers::List(status) => {
                if stream
                    .write_all(list(index, leaf, status).as_bytes())
                    .await
                    .is_ok()
                {
                    stage.watches.borrow_mut().push(stream);
                }
            }
            Answers::TurnsAway => {
                let text = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Answers::Never => stage.held.borrow_mut().push(stream),
            Answers::Resets | Answers::Holds => {}
        }
    }
}

/// Plays `test` against a mixer, as `loopback::run` has it.
fn play<F: Future<Output = ()>>(
    paused: bool,
    text: &str,
    answers: Answers,
    test: impl FnOnce(Rc<Stage>) -> F,
) {
    loopback::run(paused, text, 1024, |around| async move {
        // The mixer may come to its end while the test goes on.
        let Around {
            mixer,
            control,
            discovery: at,
            leaf,
            serving: _,
        } = around;
        let leaf_at = leaf.local_addr().unwrap();
        let stage = Rc::new(Stage {
            mixer,
            control,
            leaf,
            answers: Rc::new(Cell::new(answers)),
            changed: Rc::default(),
            asked: Rc::default(),
            watches: Rc::default(),
            held: Rc::default(),
        });
        tokio::task::spawn_local(discovery(at, leaf_at, stage.clone()));
        let bound = if paused { 100 * BOUND } else { BOUND };
        timeout(bound, test(stage)).await.expect("in time");
    });
}

impl Stage {
    fn answer(&self, answers: Answers) {
        self.answers.set(answers);
        self.changed.notify_waiters();
    }

    async fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.mixer).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    async fn get(&self, path: &str) -> (String, String) {
        let mut stream = self.client().await;
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
            .await
            .unwrap();
        reply(&mut stream).await
    }

    async fn ready(&self) {
        while !self.get("/-/ready").await.0.starts_with("HTTP/1.1 200") {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until this counter of the mixer stands there.
    async fn counted(&self, counter: &str, at: u64) {
        loop {
            let stats: serde_json::Value =
                serde_json::from_str(&self.get("/-/stats").await.1).unwrap();
            if stats.pointer(counter).and_then(serde_json::Value::as_u64) == Some(at) {
                return;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    async fn leaf(&self) -> TcpStream {
        let stream = self.leaf.accept().await.unwrap().0;
        stream.set_nodelay(true).unwrap();
        stream
    }
}

/// The next frame at a leaf server: of a call the id of its first part.
async fn called(stream: &mut TcpStream) -> String {
    loop {
        let length = stream.read_u32().await.expect("a frame");
        let mut frame = vec![0; length as usize];
        stream.read_exact(&mut frame).await.unwrap();
        let text = String::from_utf8(frame).unwrap();
        if let Some(call) = text.strip_prefix('Q') {
            return call.split(' ').next().unwrap().to_string();
        }
    }
}

fn answered(id: &str, value: &str) -> Vec<u8> {
    let text = format!("A{id} ok 1 -\n{value}");
    let mut frame = (text.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(text.as_bytes());
    frame
}

#[test]
fn a_reply_arrives_whole_with_unread_bytes_behind_it() {
    play(false, SETTINGS, Answers::List("up"), |stage| async move {
        stage.ready().await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut client = socket.connect(stage.mixer).await.unwrap();
        client
            .write_all(query("one", "Connection: close\r\n").as_bytes())
            .await
            .unwrap();
        let mut leaf = stage.leaf().await;
        assert_eq!(called(&mut leaf).await, "one.3");
        let value = "v".repeat(60_000);
        leaf.write_all(&answered("one.3", &value)).await.unwrap();
        // The reply has begun and waits for its reader: nothing of this is read before its end.
        let mut all = vec![0; 12];
        client.read_exact(&mut all).await.unwrap();
        client
            .write_all((query("two", "") + &"x".repeat(1_000)).as_bytes())
            .await
            .unwrap();
        client
            .read_to_end(&mut all)
            .await
            .expect("an end, not a reset");
        let all = String::from_utf8(all).unwrap();
        assert!(
            all.starts_with("HTTP/1.1 200") && all.ends_with("\"}]}"),
            "{} bytes",
            all.len()
        );
        assert!(all.contains(&value));
    });
}

/// Sent early, whole or more than is kept, and then the end.
#[test]
fn nothing_begins_for_a_client_that_had_sent_more_and_then_left() {
    for more in [0, 100, 100_000] {
        play(false, SETTINGS, Answers::Holds, |stage| async move {
            let mut client = stage.client().await;
            client
                .write_all((query("one", "") + &query("two", "")).as_bytes())
                .await
                .unwrap();
            client.write_all(&vec![b'x'; more]).await.unwrap();
            drop(client);
            // Before the first list: nothing was sent on yet.
            stage.counted("/answered/client_gone", 1).await;
            stage.answer(Answers::List("up"));
            stage.ready().await;
            let mut other = stage.client().await;
            other
                .write_all(query("three", "").as_bytes())
                .await
                .unwrap();
            let mut leaf = stage.leaf().await;
            assert_eq!(
                called(&mut leaf).await,
                "three.3",
                "with {more} bytes behind"
            );
            leaf.write_all(&answered("three.3", "doc")).await.unwrap();
            assert!(reply(&mut other).await.0.starts_with("HTTP/1.1 200"));
        });
    }
}

#[test]
fn requests_sent_early_are_served_in_their_turn() {
    play(false, SETTINGS, Answers::List("up"), |stage| async move {
        stage.ready().await;
        let mut client = stage.client().await;
        client.write_all(query("one", "").as_bytes()).await.unwrap();
        let mut leaf = stage.leaf().await;
        assert_eq!(called(&mut leaf).await, "one.3");
        for name in ["two", "three", "four"] {
            for byte in query(name, "").as_bytes().chunks(7) {
                client.write_all(byte).await.unwrap();
                tokio::task::yield_now().await;
            }
        }
        for name in ["one", "two", "three", "four"] {
            let id = format!("{name}.3");
            assert!(name == "one" || called(&mut leaf).await == id);
            leaf.write_all(&answered(&id, name)).await.unwrap();
            assert!(reply(&mut client)
                .await
                .1
                .contains(&format!("\"doc\":\"{name}\"")));
        }
    });
}

#[test]
fn a_request_that_crosses_the_end_of_an_idle_connection_is_neither_sent_on_nor_reset() {
    play(true, SETTINGS, Answers::List("up"), |stage| async move {
        stage.ready().await;
        let mut idle = stage.client().await;
        idle.write_all(b"GET /-/ready HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        reply(&mut idle).await;
        let mut half = stage.client().await;
        half.write_all(&query("half", "").as_bytes()[..40])
            .await
            .unwrap();
        stage.control.send(Control::Terminate).await.unwrap();
        for client in [&mut idle, &mut half] {
            assert_eq!(client.read(&mut [0]).await.expect("an end, not a reset"), 0);
        }
        for _ in 0..20 {
            idle.write_all(query("late", "").as_bytes())
                .await
                .expect("not reset");
            half.write_all(b"xxxx").await.expect("not reset");
            tokio::task::yield_now().await;
        }
        drop((idle, half));
        let called = timeout(Duration::from_secs(5), stage.leaf.accept()).await;
        assert!(called.is_err(), "nothing of it was sent on");
    });
}

/// What is cut short, however it then ends, is no answer; and a part that may have run is not sent again.
#[test]
fn an_answer_cut_at_any_byte_is_never_passed_on_nor_its_part_sent_again_where_that_is_forbidden() {
    let text = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    let whole = answered("cut.3", "document").len();
    for (cut, end) in (1..whole).flat_map(|cut| ["end", "reset", "hang"].map(|end| (cut, end))) {
        play(true, &text, Answers::List("up"), |stage| async move {
            stage.ready().await;
            let mut client = stage.client().await;
            client.write_all(query("cut", "").as_bytes()).await.unwrap();
            let mut leaf = stage.leaf().await;
            assert_eq!(called(&mut leaf).await, "cut.3");
            leaf.write_all(&answered("cut.3", "document")[..cut])
                .await
                .unwrap();
            let kept = match end {
                "end" => {
                    leaf.shutdown().await.unwrap();
                    Some(leaf)
                }
                "reset" => {
                    leaf.set_zero_linger().unwrap();
                    None
                }
                _ => Some(leaf),
            };
            let reply = reply(&mut client).await;
            assert!(
                reply.0.starts_with("HTTP/1.1 504"),
                "cut at {cut}, then {end}: {reply:?}"
            );
            let again = timeout(Duration::from_secs(5), stage.leaf.accept()).await;
            assert!(again.is_err(), "cut at {cut}, then {end}: sent again");
            drop(kept);
        });
    }
}

/// A discovery that all share fails for a minute, in one way, and is back with a server that drains: the mixer has that
/// within 6 s, as one of three or of three hundred.
#[test]
fn an_asked_discovery_is_heard_again_in_time_whichever_way_it_failed() {
    for (mixers, failing) in [3, 300].into_iter().flat_map(|mixers| {
        [Answers::Resets, Answers::TurnsAway, Answers::Never].map(|failing| (mixers, failing))
    }) {
        let text = SETTINGS.replace("replicas_of_me=1", &format!("replicas_of_me={mixers}"));
        let text = text + "discovery=on_request\nguarantees.ask_within_ns=30000000000\n";
        play(true, &text, Answers::List("up"), |stage| async move {
            stage.ready().await;
            stage.answer(failing);
            stage.watches.borrow_mut().clear();
            sleep(Duration::from_secs(60)).await;
            // It is back right after a call that fails all the same.
            let asked = stage.asked.get();
            while stage.asked.get() == asked {
                sleep(Duration::from_millis(1)).await;
            }
            let back = Instant::now();
            stage.answer(Answers::List("draining"));
            while stage.watches.borrow().is_empty() {
                sleep(Duration::from_millis(10)).await;
            }
            // The drain is in force once the list's version is this one.
            while !stage
                .get("/-/stats")
                .await
                .1
                .contains(&format!("\"list\": {}", stage.asked.get()))
            {
                sleep(Duration::from_millis(10)).await;
            }
            let took = back.elapsed();
            assert!(
                took <= Duration::from_secs(6),
                "{failing:?}, one of {mixers}: {took:?}"
            );
            assert!(
                asked <= 60,
                "{failing:?}, one of {mixers}: {asked} calls in a minute"
            );
        });
    }
}
