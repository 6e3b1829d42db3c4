//! Leaf servers that leave while discovery fares badly, on real processes: from the grace after a mixer was told, or
//! counts as told, nothing new comes to them, and every query gets its one final answer.

mod load;

use cottonhill_standins::installation::{Installation, Plan, GRACE};
use cottonhill_standins::leaf::Seen;
use load::Load;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Beyond the grace: what a busy machine may take to run the mixers.
const SLACK: Duration = Duration::from_millis(1_500);
const MS: fn(u64) -> Duration = Duration::from_millis;

fn parts(seen: &[Arc<Seen>]) -> u64 {
    seen.iter()
        .map(|seen| seen.parts.load(Ordering::SeqCst))
        .sum()
}

/// Once the grace after `told` is over nothing new comes to those that leave, while others are asked. Then their
/// zone gets new ones.
async fn obeyed(
    case: &str,
    installation: &mut Installation,
    zone: usize,
    leaving: &[Arc<Seen>],
    told: Instant,
) {
    sleep_until(told + GRACE + SLACK).await;
    let (before, all) = (parts(leaving), installation.parts_seen());
    sleep(MS(800)).await;
    assert_eq!(
        parts(leaving) - before,
        0,
        "{case}: parts came to servers that leave"
    );
    assert!(
        installation.parts_seen() > all + 100,
        "{case}: the others are asked meanwhile"
    );
    installation.restore_zone(zone, true).await.unwrap();
    sleep(MS(300)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_new_goes_to_who_leaves_however_discovery_fares() {
    let folder = tempfile::tempdir().unwrap();
    // As in a full fleet, where a wait shared out among all mixers would be long.
    let plan = Plan {
        seed: 25,
        fleet: 350,
        slots: 32,
        ..Plan::default()
    };
    let mut it = Installation::start(folder.path(), plan).await.unwrap();
    let load = Load::start(&it);
    sleep(MS(300)).await;

    it.discovery.reset();
    sleep(MS(300)).await;
    let leaving = it.drain_zone(0);
    obeyed(
        "all watches were reset before",
        &mut it,
        0,
        &leaving,
        Instant::now(),
    )
    .await;

    let silent = Instant::now();
    it.discovery.fall_silent();
    sleep(MS(1_000)).await;
    let leaving = it.drain_zone(1);
    obeyed(
        "all watches fell silent",
        &mut it,
        1,
        &leaving,
        silent + MS(6_000),
    )
    .await;

    // Longer than a watch is waited for: each has asked again meanwhile.
    it.discovery.set_down(true);
    sleep(MS(5_000)).await;
    let leaving = it.drain_zone(2);
    it.discovery.set_down(false);
    obeyed(
        "discovery was down and is back",
        &mut it,
        2,
        &leaving,
        Instant::now(),
    )
    .await;

    it.discovery.set_indented(true);
    let entry = |i: usize| {
        json!({"name": format!("far-{i}"), "address": "127.0.0.1:9", "zone": "far", "type": "m", "group": 0,
            "status": "draining", "weight": 1.0, "since_ms": 0})
    };
    it.discovery.tell((0..1024).map(entry).collect());
    let leaving = it.drain_zone(0);
    obeyed(
        "lists are large and indented",
        &mut it,
        0,
        &leaving,
        Instant::now(),
    )
    .await;

    it.remember().unwrap();
    let leaving = it.drain_zone(1);
    for at in 0..it.mixers.len() {
        load.serving[at].store(false, Ordering::SeqCst);
        assert!(
            tokio::task::block_in_place(|| it.stop_mixer(at, MS(5_000))),
            "mixer {at} ends well"
        );
    }
    let before = parts(&leaving);
    for at in 0..it.mixers.len() {
        it.start_mixer(at).await.unwrap();
        load.serving[at].store(true, Ordering::SeqCst);
    }
    sleep(MS(800)).await;
    assert_eq!(
        parts(&leaving) - before,
        0,
        "a new process asks who leaves, from the list it held"
    );
    obeyed("new processes", &mut it, 1, &leaving, Instant::now()).await;

    let moved = Instant::now();
    it.move_discovery().await.unwrap();
    let leaving = it.drain_zone(2);
    obeyed("discovery moved", &mut it, 2, &leaving, moved + MS(4_000)).await;

    let asked = it.discovery.accepted();
    assert!(
        asked <= 30,
        "nobody asks in a busy loop: {asked} connections to the last discovery"
    );
    load.end().await.check(1_000, 90);
}
