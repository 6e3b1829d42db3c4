//! A rolling change as operators make one, on real processes: each mixer in turn ended by SIGTERM and started again,
//! discovery moved by SIGHUP, a zone's leaf servers replaced, while clients keep asking. A client turns away from a
//! mixer once it has been told to end, as a load balancer that reads its readiness does; what it had sent there must
//! still be answered.

mod load;

use cottonhill_standins::installation::{Installation, Plan};
use load::Load;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_change_answers_every_query_once_and_serves_nearly_all() {
    let folder = tempfile::tempdir().unwrap();
    let plan = Plan {
        seed: 21,
        ..Plan::default()
    };
    let mut installation = Installation::start(folder.path(), plan).await.unwrap();
    let load = Load::start(&installation);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let first_discovery = installation.discovery.address;
    for at in 0..installation.mixers.len() {
        load.serving[at].store(false, Ordering::SeqCst);
        let ended =
            tokio::task::block_in_place(|| installation.stop_mixer(at, Duration::from_secs(5)));
        assert!(
            ended,
            "mixer {at} ends with success after SIGTERM, within 5 s"
        );
        installation.start_mixer(at).await.unwrap();
        load.serving[at].store(true, Ordering::SeqCst);
        match at {
            0 => installation.move_discovery().await.unwrap(),
            1 => installation.restore_zone(2, true).await.unwrap(),
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let tries = load.end().await;
    assert_ne!(
        installation.discovery.address, first_discovery,
        "discovery moved"
    );
    for mixer in &installation.mixers {
        let log = std::fs::read_to_string(&mixer.log).unwrap();
        assert!(
            log.contains("configuration reloaded"),
            "{} took up the new configuration: {log}",
            mixer.name
        );
    }
    tries.check(300, 90);
}
