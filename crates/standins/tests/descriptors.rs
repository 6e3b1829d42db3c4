//! Idle clients fill the descriptors while discovery is down, on real processes that may hold few: its return is heard,
//! servers that leave get nothing new, and queries are served.

mod load;

use cottonhill_standins::installation::{Installation, Plan, GRACE};
use load::Load;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const DESCRIPTORS: usize = 64;
/// Beyond the grace: what a busy machine may take to run the mixers.
const SLACK: Duration = Duration::from_millis(1_500);
const MS: fn(u64) -> Duration = Duration::from_millis;

fn held(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .count()
}

/// A client that is served once, if it is let in, and then rests.
async fn rest(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let _ = stream.write_all(b"GET /-/stats HTTP/1.1\r\n\r\n").await;
    let _ = timeout(MS(20), stream.read(&mut [0; 4096])).await;
    stream
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_clients_that_fill_the_descriptors_do_not_cost_the_watch_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let plan = Plan {
        seed: 29,
        fleet: 300,
        sockets: DESCRIPTORS,
        slots: 32,
        ..Plan::default()
    };
    let mut it = Installation::start(folder.path(), plan).await.unwrap();
    let load = Load::start(&it);
    sleep(MS(300)).await;

    it.discovery.set_down(true);
    let mut idle = Vec::new();
    for round in 0..6 {
        for mixer in &it.mixers {
            for _ in 0..10 + 20 * usize::from(round == 0) {
                idle.push(rest(mixer.address).await);
            }
        }
        sleep(MS(500)).await;
        for mixer in &it.mixers {
            let held = held(mixer.process.as_ref().unwrap().id());
            assert!(held <= DESCRIPTORS, "{held} descriptors");
            assert!(
                round > 0 || held > DESCRIPTORS / 3,
                "the clients are there: {held}"
            );
        }
    }
    let leaving = it.drain_zone(0);
    it.discovery.set_down(false);
    sleep(GRACE + SLACK).await;
    let parts = || -> u64 {
        leaving
            .iter()
            .map(|seen| seen.parts.load(Ordering::SeqCst))
            .sum()
    };
    let (before, all) = (parts(), it.parts_seen());
    for mixer in &it.mixers {
        for _ in 0..10 {
            idle.push(rest(mixer.address).await);
        }
    }
    sleep(MS(800)).await;
    assert_eq!(parts() - before, 0, "parts came to servers that leave");
    assert!(
        it.parts_seen() > all + 100,
        "the others are asked meanwhile"
    );
    for mixer in &it.mixers {
        let log = std::fs::read_to_string(&mixer.log).unwrap();
        assert!(
            !log.contains("Too many open files"),
            "{}: {log}",
            mixer.name
        );
    }
    for at in 0..it.mixers.len() {
        load.serving[at].store(false, Ordering::SeqCst);
        assert!(
            tokio::task::block_in_place(|| it.stop_mixer(at, MS(6_000))),
            "mixer {at} ends well"
        );
    }
    drop(idle);
    load.end().await.check(500, 80);
}
