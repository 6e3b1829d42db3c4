//! Rolling restart with real processes and continuous load: each mixer in turn is stopped by SIGTERM and started again,
//! discovery moves to another address (SIGHUP), and a zone's leaf servers are replaced. Clients send nothing new to a
//! mixer that is about to stop, as a load balancer that reads its readiness does; queries that are in flight there must
//! still be answered.

mod load;

use cottonhill_standins::cluster::{ClusterConfig, LocalCluster};
use load::Load;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_answers_every_query_once_and_serves_90_percent() {
    let directory = tempfile::tempdir().unwrap();
    let config = ClusterConfig {
        seed: 21,
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await.unwrap();
    let load = Load::start(&cluster);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let first_discovery = cluster.discovery.address;
    for index in 0..cluster.mixers.len() {
        load.serving[index].store(false, Ordering::SeqCst);
        let exited =
            tokio::task::block_in_place(|| cluster.stop_mixer(index, Duration::from_secs(5)));
        assert!(
            exited,
            "mixer {index} exits successfully within 5 s of SIGTERM"
        );
        cluster.start_mixer(index).await.unwrap();
        load.serving[index].store(true, Ordering::SeqCst);
        match index {
            0 => cluster.move_discovery().await.unwrap(),
            1 => cluster.restore_zone(2, true).await.unwrap(),
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let result = load.stop().await;
    assert_ne!(
        cluster.discovery.address, first_discovery,
        "discovery moved"
    );
    for mixer in &cluster.mixers {
        let log = std::fs::read_to_string(&mixer.log).unwrap();
        assert!(
            log.contains("configuration reloaded"),
            "{} reloaded its configuration: {log}",
            mixer.name
        );
    }
    result.check(300, 90);
}
