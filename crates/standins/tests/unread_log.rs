//! A mixer whose log is not read, with real processes: it serves all the same, and shuts down in time.

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

const PIPE_BYTES: usize = 64 * 1024;
/// Space for the first lines of the log.
const FREE_PIPE_BYTES: usize = 1024;
const REJECTED_REQUESTS: usize = 20_000;
const REQUESTS_AT_ONCE: usize = 20;
/// The longest class's timeout and the 0.5 s by which an answer may be late.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(1500 + 500);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1500 + 700);

/// Creates an almost full pipe as the log of a mixer, and keeps it open without reading it.
fn create_unread_log(path: &Path) -> File {
    let created = Command::new("mkfifo").arg(path).status().unwrap();
    assert!(created.success());
    let mut pipe = File::options().read(true).write(true).open(path).unwrap();
    pipe.write_all(&[b'x'; PIPE_BYTES - FREE_PIPE_BYTES])
        .unwrap();
    pipe
}

/// Sends queries that have no time left, as fast as they are answered.
async fn flood(mixer: SocketAddr) {
    let mut stream = TcpStream::connect(mixer).await.unwrap();
    let body = "{\"shards\":[{\"shard\":0,\"weight\":1}],\"q\":\"x\"}";
    for batch in 0..REJECTED_REQUESTS / REQUESTS_AT_ONCE {
        let mut requests = String::new();
        for number in 0..REQUESTS_AT_ONCE {
            requests += &format!(
                "POST /{} HTTP/1.1\r\nX-Request-ID: flood-{batch}-{number}\r\nX-Tenant-Id: {}\r\nX-Timeout: 0m\r\nContent-Length: {}\r\n\r\n{body}",
                CLASSES[0].0,
                TENANTS[0],
                body.len()
            );
        }
        stream.write_all(requests.as_bytes()).await.unwrap();
        let mut responses = 0;
        while responses < REQUESTS_AT_ONCE {
            let mut bytes = [0; 16 * 1024];
            let length = stream.read(&mut bytes).await.unwrap();
            assert!(length > 0, "the connection stays open");
            responses += String::from_utf8_lossy(&bytes[..length])
                .matches("HTTP/1.1 503")
                .count();
        }
    }
}

async fn query(mixer: SocketAddr, id: &str) -> AttemptOutcome {
    let query = Query {
        class: CLASSES[2].0.into(),
        tenant: TENANTS[0].into(),
        parts: consecutive_parts(0, 4, SHARDS),
        text: "sound".into(),
        key: None,
    };
    let attempt = Attempt {
        id,
        retry: false,
        timeout: Duration::from_millis(CLASSES[2].2),
        extra_wait: Duration::from_millis(500),
    };
    Connection::new(mixer).send_query(&query, &attempt).await
}

/// Guards against a client that fills the log by small requests on one connection until the write of a line blocks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unread_log_does_not_keep_a_mixer_from_serving() {
    let directory = tempfile::tempdir().unwrap();
    let _unread = create_unread_log(&directory.path().join("n0.log"));
    let mut cluster = LocalCluster::start(directory.path(), ClusterConfig::default())
        .await
        .unwrap();
    let mixer = cluster.mixers[0].address;
    let _ = timeout(Duration::from_secs(20), flood(mixer)).await;
    let started_at = Instant::now();
    let outcome = query(mixer, "after-the-flood").await;
    assert!(
        matches!(outcome, AttemptOutcome::Answer(true, _)),
        "{outcome:?}"
    );
    assert!(started_at.elapsed() < FINAL_ANSWER_TIMEOUT);
    assert!(
        tokio::task::block_in_place(|| cluster.stop_mixer(0, SHUTDOWN_TIMEOUT)),
        "the mixer exits before it may be killed"
    );
}
