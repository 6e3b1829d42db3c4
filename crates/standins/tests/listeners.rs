//! Clients of one listener of a mixer do not keep another listener from serving its clients, with real processes and a
//! low descriptor limit.

mod search_client;

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use search_client::{exchange, multi_search_text};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;
const DESCRIPTOR_LIMIT: usize = 128;
const QUERIES: usize = 10;
/// A client that sends no complete request is owed an error or a close within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Fails the test if it hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_cluster(directory: &tempfile::TempDir, service_time: Duration) -> LocalCluster {
    let config = ClusterConfig {
        seed: 46,
        opensearch: true,
        usage_log: true,
        descriptor_limit: DESCRIPTOR_LIMIT,
        service_time,
        leaf_concurrency: 4096,
        ..ClusterConfig::default()
    };
    LocalCluster::start(directory.path(), config).await.unwrap()
}

/// Sends queries to the query front, each on a new connection, and asserts that each gets its final answer in time.
async fn check_queries_are_answered(address: SocketAddr, count: usize) {
    let (class, _, timeout_ms, _) = CLASSES[0];
    for number in 0..count {
        let query = Query {
            class: class.into(),
            tenant: TENANTS[0].into(),
            parts: consecutive_parts(0, 4, SHARDS),
            text: "q".into(),
            key: None,
        };
        let attempt = Attempt {
            id: &format!("q{number}"),
            retry: false,
            timeout: MS(timeout_ms),
            extra_wait: MS(500),
        };
        let outcome = Connection::new(address).send_query(&query, &attempt).await;
        let is_final = matches!(
            outcome,
            AttemptOutcome::Answer(..) | AttemptOutcome::Refused(_) | AttemptOutcome::Failed(_)
        );
        assert!(is_final, "query {number}: {outcome:?}");
    }
}

/// Guards against searches that count as connections of the query front: many of them kept it from accepting any.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn searches_do_not_keep_the_query_front_from_accepting_connections() {
    let directory = tempfile::tempdir().unwrap();
    let cluster = start_cluster(&directory, MS(400)).await;
    let mixer = &cluster.mixers[0];
    let address = mixer.search_address;
    let mut searches = JoinSet::new();
    for _ in 0..30 {
        searches.spawn(async move {
            let request = multi_search_text(CLASSES[2].0, 48, 10);
            loop {
                let mut stream = TcpStream::connect(address).await.unwrap();
                exchange(&mut stream, &request, MS(5_000)).await;
            }
        });
    }
    sleep(MS(300)).await;
    check_queries_are_answered(mixer.address, 10).await;
}

/// Guards against connections to the usage log's listener that say nothing and stay: they used up the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connections_to_the_usage_log_do_not_use_up_the_descriptors() {
    let directory = tempfile::tempdir().unwrap();
    let mut cluster = start_cluster(&directory, MS(5)).await;
    let address = cluster.mixers[0].usage_address;
    let mut silent = Vec::new();
    for _ in 0..2 * DESCRIPTOR_LIMIT {
        if let Ok(Ok(stream)) = timeout(MS(20), TcpStream::connect(address)).await {
            silent.push(stream);
        }
    }
    check_queries_are_answered(cluster.mixers[0].address, QUERIES).await;
    let log = std::fs::read_to_string(&cluster.mixers[0].log).unwrap();
    assert!(!log.contains("Too many open files"), "{log}");
    // The settlement gets in all the same, while further silent connections arrive.
    cluster.start_settlement().unwrap();
    let collected_at = Instant::now() + HANG_TIMEOUT;
    while collected_records(&cluster) < QUERIES as u64 {
        assert!(Instant::now() < collected_at, "records are not collected");
        if let Ok(Ok(stream)) = timeout(MS(20), TcpStream::connect(address)).await {
            silent.push(stream);
        }
        sleep(MS(50)).await;
    }
    for mut stream in silent {
        let until_closed = async { while stream.read(&mut [0; 64]).await.is_ok_and(|n| n > 0) {} };
        let closed = timeout(BAD_CLIENT_TIMEOUT, until_closed).await;
        assert!(closed.is_ok(), "a silent connection is still open");
    }
}

/// The number of records of the first mixer that the settlement has stored.
fn collected_records(cluster: &LocalCluster) -> u64 {
    let output = cluster
        .ledger_command(&["status", "--format", "json"])
        .output()
        .unwrap();
    let rows: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let first_mixer = rows
        .as_array()
        .and_then(|rows| rows.iter().find(|row| row["member"] == "n0"));
    first_mixer.map_or(0, |row| row["records"].as_u64().unwrap_or_default())
}
