//! Idle clients exhaust the file descriptors while discovery is unresponsive, with real processes and a low descriptor
//! limit: mixers still receive the updates once discovery responds again, draining servers receive no new parts, and
//! queries are served.

mod load;

use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, STOP_SENDING_WITHIN};
use load::Load;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const DESCRIPTOR_LIMIT: usize = 64;
/// Allowed in addition to `STOP_SENDING_WITHIN` for delays of the mixers on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(1_500);
const MS: fn(u64) -> Duration = Duration::from_millis;

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .count()
}

/// Opens a connection that sends one request and then stays idle. It may not be accepted.
async fn connect_idle(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(b"GET /-/stats HTTP/1.1\r\n\r\n").await;
    let _ = timeout(MS(20), stream.read(&mut [0; 4096])).await;
    stream
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_clients_that_exhaust_the_descriptors_do_not_prevent_the_discovery_watch() {
    let directory = tempfile::tempdir().unwrap();
    let config = ClusterConfig {
        seed: 29,
        fleet_size: 300,
        descriptor_limit: DESCRIPTOR_LIMIT,
        leaf_concurrency: 32,
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await.unwrap();
    let load = Load::start(&cluster);
    sleep(MS(300)).await;

    cluster.discovery.set_unresponsive(true);
    let mut idle = Vec::new();
    for round in 0..6 {
        for mixer in &cluster.mixers {
            for _ in 0..10 + 20 * usize::from(round == 0) {
                idle.push(connect_idle(mixer.address).await);
            }
        }
        sleep(MS(500)).await;
        for mixer in &cluster.mixers {
            let open = open_descriptors(mixer.process.as_ref().unwrap().id());
            assert!(open <= DESCRIPTOR_LIMIT, "{open} descriptors");
            assert!(
                round > 0 || open > DESCRIPTOR_LIMIT / 3,
                "the clients' connections are open: {open} descriptors"
            );
        }
    }
    let draining = cluster.drain_zone(0);
    cluster.discovery.set_unresponsive(false);
    sleep(STOP_SENDING_WITHIN + SCHEDULING_SLACK).await;
    let parts = || -> u64 {
        draining
            .iter()
            .map(|stats| stats.parts.load(Ordering::SeqCst))
            .sum()
    };
    let (before, all) = (parts(), cluster.parts_received());
    for mixer in &cluster.mixers {
        for _ in 0..10 {
            idle.push(connect_idle(mixer.address).await);
        }
    }
    sleep(MS(800)).await;
    assert_eq!(parts() - before, 0, "draining servers received parts");
    assert!(
        cluster.parts_received() > all + 100,
        "the other servers received too few parts"
    );
    for mixer in &cluster.mixers {
        let log = std::fs::read_to_string(&mixer.log).unwrap();
        assert!(
            !log.contains("Too many open files"),
            "{}: {log}",
            mixer.name
        );
    }
    for index in 0..cluster.mixers.len() {
        load.serving[index].store(false, Ordering::SeqCst);
        assert!(
            tokio::task::block_in_place(|| cluster.stop_mixer(index, MS(6_000))),
            "mixer {index} exits successfully"
        );
    }
    drop(idle);
    load.stop().await.check(500, 80);
}
