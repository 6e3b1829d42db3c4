//! Clients of one listener of a mixer do not keep another listener from serving its clients, with real processes and a
//! low descriptor limit.

mod search_client;

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use search_client::{exchange, multi_search_text};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

const MS: fn(u64) -> Duration = Duration::from_millis;
const DESCRIPTOR_LIMIT: usize = 128;

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
