//! Shutdown of mixers with open requests of both frontends, with real processes: every request that was sent completely
//! gets its final answer, and the process ends before it could be killed.

mod search_client;

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use search_client::{exchange, multi_search_text, search_text, Outcome};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Searches of one multi-search, several times as many as run at the same time.
const SEARCHES: usize = 24;
/// SIGKILL follows SIGTERM after the longest client timeout and 0.7 s.
const SIGKILL_AFTER: Duration = Duration::from_millis(1500 + 700);
/// Cells that together hold all replicas of some shards.
const HANGING_CELLS: [usize; 2] = [0, 1];
const ALL_CELLS: [usize; 4] = [0, 1, 2, 3];
/// By how much an answer may be late.
const LATE_ANSWER: Duration = Duration::from_millis(500);

/// A cluster whose leaf servers take `service_time` for each part.
async fn start_cluster(directory: &tempfile::TempDir, service_time: Duration) -> LocalCluster {
    let config = ClusterConfig {
        seed: 45,
        opensearch: true,
        service_time,
        leaf_concurrency: 4096,
        ..ClusterConfig::default()
    };
    LocalCluster::start(directory.path(), config).await.unwrap()
}

/// Requests of clients, with their kinds and outcomes.
struct Requests {
    address: SocketAddr,
    search_address: SocketAddr,
    tasks: JoinSet<(String, Outcome)>,
}

impl Requests {
    fn new(cluster: &LocalCluster) -> Requests {
        Requests {
            address: cluster.mixers[0].address,
            search_address: cluster.mixers[0].search_address,
            tasks: JoinSet::new(),
        }
    }

    /// Sends one request to the search front on a new connection.
    fn send_to_search_front(&mut self, kind: &str, class: usize, request: String) {
        let (kind, address) = (
            format!("{kind} of class {}", CLASSES[class].0),
            self.search_address,
        );
        let limit = MS(CLASSES[class].2) + LATE_ANSWER;
        self.tasks.spawn(async move {
            let outcome = match TcpStream::connect(address).await {
                Ok(mut stream) => exchange(&mut stream, &request, limit).await,
                Err(_) => Outcome::Closed,
            };
            (kind, outcome)
        });
    }

    /// Sends one query to the query front on a new connection.
    fn send_to_query_front(&mut self, kind: &str, class: usize) {
        let (name, _, timeout_ms, _) = CLASSES[class];
        let kind = format!("{kind} of class {name}");
        let query = Query {
            class: name.into(),
            tenant: TENANTS[0].into(),
            parts: consecutive_parts(0, 4, SHARDS),
            text: "q".into(),
            key: None,
        };
        let (id, address) = (format!("{kind}-{}", self.tasks.len()), self.address);
        self.tasks.spawn(async move {
            let attempt = Attempt {
                id: &id.replace(' ', "-"),
                retry: false,
                timeout: MS(timeout_ms),
                extra_wait: LATE_ANSWER,
            };
            let outcome = match Connection::new(address).send_query(&query, &attempt).await {
                AttemptOutcome::Answer(..) => Outcome::Answered(200, String::new()),
                AttemptOutcome::Refused(_) => Outcome::Answered(503, String::new()),
                AttemptOutcome::Failed(status) => Outcome::Answered(status, String::new()),
                AttemptOutcome::ConnectionLost => Outcome::Closed,
                AttemptOutcome::TimedOut => Outcome::TimedOut,
            };
            (kind, outcome)
        });
    }

    /// Sends a request of each kind and class.
    fn send_all_kinds(&mut self, when: &str) {
        for (class, (name, ..)) in CLASSES.iter().enumerate() {
            self.send_to_query_front(&format!("{when} query"), class);
            self.send_to_search_front(&format!("{when} search"), class, search_text(name));
            self.send_to_search_front(
                &format!("{when} multi-search"),
                class,
                multi_search_text(name, SEARCHES, 10),
            );
        }
    }

    /// Waits for all requests and asserts that each got a final answer.
    async fn check_all_answered(mut self) {
        while let Some(done) = self.tasks.join_next().await {
            let (kind, outcome) = done.unwrap();
            let Outcome::Answered(status, body) = outcome else {
                panic!("{kind}: {outcome:?}");
            };
            if status == 200 && kind.contains("multi-search") {
                let body: serde_json::Value = serde_json::from_str(&body).unwrap();
                assert_eq!(
                    body["responses"].as_array().unwrap().len(),
                    SEARCHES,
                    "{kind}"
                );
            }
        }
    }
}

/// Stops the first mixer by SIGTERM and asserts that it ends in time. Returns how long that took.
fn stop_in_time(cluster: &mut LocalCluster) -> Duration {
    let started_at = Instant::now();
    let stopped = tokio::task::block_in_place(|| cluster.stop_mixer(0, SIGKILL_AFTER));
    let log = std::fs::read_to_string(&cluster.mixers[0].log).unwrap();
    assert!(stopped, "not ended by itself before SIGKILL: {log}");
    assert!(log.contains("shutdown complete"), "{log}");
    started_at.elapsed()
}

/// Sends searches until the mixer has answered some of each class, so that it has latency estimates.
async fn warm_up(cluster: &LocalCluster) {
    for _ in 0..10 {
        let mut requests = Requests::new(cluster);
        requests.send_all_kinds("warm-up");
        requests.check_all_answered().await;
    }
}

/// Guards against an exit while a multi-search has answered some of its searches and not started the next: no shard of
/// two cells is answered, so that the running searches end in one batch, and the client got no byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_multi_search_is_answered_although_its_mixer_shuts_down_while_leaf_servers_hang() {
    let directory = tempfile::tempdir().unwrap();
    let mut cluster = start_cluster(&directory, MS(5)).await;
    warm_up(&cluster).await;
    cluster.hang_cells(&HANGING_CELLS);
    let mut requests = Requests::new(&cluster);
    let class = CLASSES[0].0;
    requests.send_to_search_front("multi-search", 0, multi_search_text(class, SEARCHES, 10));
    sleep(MS(20)).await;
    stop_in_time(&mut cluster);
    requests.check_all_answered().await;
}

/// Guards against an exit at the shutdown deadline, at which all open queries fail, before a multi-search has its
/// response: it was sent so late that its time ends after the deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_multi_search_is_answered_at_the_shutdown_deadline() {
    let directory = tempfile::tempdir().unwrap();
    let mut cluster = start_cluster(&directory, MS(5)).await;
    warm_up(&cluster).await;
    let process = cluster.mixers[0].process.as_ref().unwrap();
    process.signal("-TERM").unwrap();
    sleep(MS(680)).await;
    cluster.hang_cells(&ALL_CELLS);
    let mut requests = Requests::new(&cluster);
    let (class, request) = (CLASSES.len() - 1, CLASSES[CLASSES.len() - 1].0);
    requests.send_to_search_front(
        "multi-search",
        class,
        multi_search_text(request, SEARCHES, 10),
    );
    sleep(MS(20)).await;
    stop_in_time(&mut cluster);
    requests.check_all_answered().await;
}

/// Guards against a shutdown that loses requests of any frontend, sent before SIGTERM, within the grace period or just
/// before its end, while half of the leaf servers hang and while all are slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_of_all_frontends_are_answered_through_a_shutdown() {
    for (service_time, hanging_cells) in [
        (MS(5), &HANGING_CELLS[..]),
        (MS(5), &ALL_CELLS[..]),
        (MS(400), &[]),
    ] {
        let directory = tempfile::tempdir().unwrap();
        let mut cluster = start_cluster(&directory, service_time).await;
        warm_up(&cluster).await;
        cluster.hang_cells(hanging_cells);
        let mut requests = Requests::new(&cluster);
        requests.send_all_kinds("early");
        sleep(MS(200)).await;
        let process = cluster.mixers[0].process.as_ref().unwrap();
        process.signal("-TERM").unwrap();
        for (when, delay) in [("first", 0), ("middle", 350), ("last", 330)] {
            sleep(MS(delay)).await;
            requests.send_all_kinds(when);
        }
        // The second SIGTERM changes nothing.
        stop_in_time(&mut cluster);
        requests.check_all_answered().await;
    }
}

/// Guards against connections that delay the exit: silent ones and idle ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_without_a_request_do_not_delay_the_exit() {
    let directory = tempfile::tempdir().unwrap();
    let mut cluster = start_cluster(&directory, MS(5)).await;
    let address = cluster.mixers[0].search_address;
    let search = search_text(CLASSES[0].0);
    let mut silent = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    let outcome = exchange(&mut idle, &search, MS(1_400)).await;
    assert_eq!(outcome.status(), Some(200));
    let elapsed = stop_in_time(&mut cluster);
    assert!(elapsed < MS(1_500), "grace period and more: {elapsed:?}");
    for stream in [&mut silent, &mut idle] {
        let _ = stream.shutdown().await;
    }
}

/// A request has this time from its first byte, the first one of a connection from the accept.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection with a part of a request.
struct BegunRequest {
    stream: TcpStream,
    /// Not before the time of the request has begun.
    begun_at: Instant,
    text: String,
    cut: usize,
    kind: &'static str,
}

/// Sends a part of a search on a new connection and on one that has been served, for each number of bytes in `cuts`.
async fn begin_requests(address: SocketAddr, cuts: Range<usize>) -> Vec<BegunRequest> {
    let text = search_text(CLASSES[0].0);
    let mut begun = Vec::new();
    // New connections are opened last, since the time of their requests begins then.
    for kind in ["served", "new"] {
        for cut in cuts.clone() {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            if kind == "served" {
                let outcome = exchange(&mut stream, &text, MS(1_400)).await;
                assert!(outcome.status().is_some(), "{outcome:?}");
            }
            begun.push(BegunRequest {
                stream,
                begun_at: Instant::now(),
                text: text.clone(),
                cut,
                kind,
            });
        }
    }
    for request in &mut begun {
        let part = &request.text.as_bytes()[..request.cut];
        if request.kind == "served" {
            request.begun_at = Instant::now();
        }
        request.stream.write_all(part).await.unwrap();
    }
    begun
}

/// Guards against a shutdown that drops the searches that are being written (review case 6, at the other front), cut at
/// every byte: each gets its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_search_that_is_being_written_at_the_shutdown_is_answered_whichever_byte_it_is_cut_at() {
    let length = search_text(CLASSES[0].0).len();
    // No more connections at once than the front keeps open without closing some for others.
    for start in (1..length).step_by(30) {
        let directory = tempfile::tempdir().unwrap();
        let mut cluster = start_cluster(&directory, MS(5)).await;
        let address = cluster.mixers[0].search_address;
        let begun = begin_requests(address, start..length.min(start + 30)).await;
        let finish = tokio::spawn(async move {
            sleep(MS(1_100)).await;
            let mut outcomes = Vec::new();
            for mut request in begun {
                let rest = &request.text[request.cut..];
                let outcome = exchange(&mut request.stream, rest, MS(1_400)).await;
                let is_late = request.begun_at.elapsed() >= REQUEST_TIMEOUT;
                outcomes.push((request.cut, request.kind, outcome, is_late));
            }
            outcomes
        });
        stop_in_time(&mut cluster);
        let outcomes = finish.await.unwrap();
        let late = outcomes.iter().filter(|(.., is_late)| *is_late).count();
        assert!(
            late < outcomes.len() / 2,
            "the test itself is too slow: {late}"
        );
        for (cut, kind, outcome, is_late) in outcomes {
            let status = outcome.status();
            // A search may be refused, as at any time, and one that this test has sent too late gets an error.
            assert!(
                matches!(status, Some(200 | 429)) || is_late && status == Some(408),
                "{kind} connection, cut at {cut}: {outcome:?}"
            );
        }
    }
}

/// Guards against an exit that leaves a request without a response which never becomes complete, cut in its head or in its
/// body: it is refused when its time is over, or at the shutdown deadline if that comes first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_search_that_stays_incomplete_through_the_shutdown_gets_an_error_before_the_exit() {
    let length = search_text(CLASSES[0].0).len();
    // The deadline is 2.1 s after SIGTERM.
    for (begins_after, expected_statuses) in [(MS(0), &[408, 429][..]), (MS(500), &[429])] {
        let directory = tempfile::tempdir().unwrap();
        let mut cluster = start_cluster(&directory, MS(5)).await;
        let address = cluster.mixers[0].search_address;
        let process = cluster.mixers[0].process.as_ref().unwrap();
        process.signal("-TERM").unwrap();
        let ending_at = Instant::now() + SIGKILL_AFTER;
        sleep(begins_after).await;
        let mut begun = begin_requests(address, 1..2).await;
        begun.extend(begin_requests(address, length - 20..length - 19).await);
        let read = tokio::spawn(async move {
            let mut outcomes = Vec::new();
            for mut request in begun {
                let outcome = exchange(&mut request.stream, "", MS(2_500)).await;
                outcomes.push((request.cut, request.kind, outcome));
            }
            outcomes
        });
        let remaining = ending_at.duration_since(Instant::now());
        let stopped = tokio::task::block_in_place(|| cluster.stop_mixer(0, remaining));
        for (cut, kind, outcome) in read.await.unwrap() {
            let context = format!("{kind} connection, cut at {cut}, after {begins_after:?}");
            let status = outcome.status();
            assert!(
                status.is_some_and(|status| expected_statuses.contains(&status)),
                "{context}: {outcome:?}"
            );
        }
        assert!(stopped, "not ended by itself before SIGKILL");
    }
}
