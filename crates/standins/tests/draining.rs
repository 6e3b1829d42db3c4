//! Draining of leaf servers during failures of discovery, with real processes: after `STOP_SENDING_WITHIN`, counted from the
//! time at which a mixer is notified or at the latest has to notice the failure, draining servers receive no new parts,
//! and every query receives its one final answer.

mod load;

use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, STOP_SENDING_WITHIN};
use cottonhill_standins::leaf::LeafStats;
use load::Load;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Allowed in addition to `STOP_SENDING_WITHIN` for delays of the mixers on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(1_500);
const MS: fn(u64) -> Duration = Duration::from_millis;

fn parts_received(stats: &[Arc<LeafStats>]) -> u64 {
    stats
        .iter()
        .map(|stats| stats.parts.load(Ordering::SeqCst))
        .sum()
}

/// Asserts that the draining servers receive no parts once `STOP_SENDING_WITHIN` after `notified` is over while the others do, then
/// restores their zone.
async fn check_drained(
    case: &str,
    cluster: &mut LocalCluster,
    zone: usize,
    draining: &[Arc<LeafStats>],
    notified: Instant,
) {
    sleep_until(notified + STOP_SENDING_WITHIN + SCHEDULING_SLACK).await;
    let (before, all) = (parts_received(draining), cluster.parts_received());
    sleep(MS(800)).await;
    assert_eq!(
        parts_received(draining) - before,
        0,
        "{case}: draining servers received parts"
    );
    assert!(
        cluster.parts_received() > all + 100,
        "{case}: the other servers received too few parts"
    );
    cluster.restore_zone(zone, true).await.unwrap();
    sleep(MS(300)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn draining_servers_receive_nothing_new_despite_discovery_failures() {
    let directory = tempfile::tempdir().unwrap();
    // A full fleet, in which a delay that is spread over all mixers would be long.
    let config = ClusterConfig {
        seed: 25,
        fleet_size: 350,
        leaf_concurrency: 32,
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await.unwrap();
    let load = Load::start(&cluster);
    sleep(MS(300)).await;

    cluster.discovery.reset_connections();
    sleep(MS(300)).await;
    let draining = cluster.drain_zone(0);
    check_drained(
        "all connections were reset before",
        &mut cluster,
        0,
        &draining,
        Instant::now(),
    )
    .await;

    let silent = Instant::now();
    cluster.discovery.silence_watches();
    sleep(MS(1_000)).await;
    let draining = cluster.drain_zone(1);
    check_drained(
        "all watches were silenced",
        &mut cluster,
        1,
        &draining,
        silent + MS(6_000),
    )
    .await;

    // Longer than the timeout of a watch, so that each mixer has reconnected meanwhile.
    cluster.discovery.set_unresponsive(true);
    sleep(MS(5_000)).await;
    let draining = cluster.drain_zone(2);
    cluster.discovery.set_unresponsive(false);
    check_drained(
        "discovery was unresponsive before",
        &mut cluster,
        2,
        &draining,
        Instant::now(),
    )
    .await;

    cluster.discovery.set_indented(true);
    let entry = |i: usize| {
        json!({"name": format!("far-{i}"), "address": "127.0.0.1:9", "zone": "far", "type": "m", "group": 0,
            "status": "draining", "weight": 1.0, "since_ms": 0})
    };
    cluster.discovery.update((0..1024).map(entry).collect());
    let draining = cluster.drain_zone(0);
    check_drained(
        "lists are large and indented",
        &mut cluster,
        0,
        &draining,
        Instant::now(),
    )
    .await;

    cluster.save_endpoint_list().unwrap();
    let draining = cluster.drain_zone(1);
    for index in 0..cluster.mixers.len() {
        load.serving[index].store(false, Ordering::SeqCst);
        assert!(
            tokio::task::block_in_place(|| cluster.stop_mixer(index, MS(5_000))),
            "mixer {index} exits successfully"
        );
    }
    let before = parts_received(&draining);
    for index in 0..cluster.mixers.len() {
        cluster.start_mixer(index).await.unwrap();
        load.serving[index].store(true, Ordering::SeqCst);
    }
    sleep(MS(800)).await;
    assert_eq!(
        parts_received(&draining) - before,
        0,
        "restarted mixers, which begin with the saved list, sent parts to draining servers"
    );
    check_drained(
        "mixers were restarted",
        &mut cluster,
        1,
        &draining,
        Instant::now(),
    )
    .await;

    let moved = Instant::now();
    cluster.move_discovery().await.unwrap();
    let draining = cluster.drain_zone(2);
    check_drained(
        "discovery moved",
        &mut cluster,
        2,
        &draining,
        moved + MS(4_000),
    )
    .await;

    let connections = cluster.discovery.accepted_connections();
    assert!(
        connections <= 30,
        "no mixer reconnects in a busy loop: {connections} connections to the last discovery"
    );
    load.stop().await.check(1_000, 90);
}
