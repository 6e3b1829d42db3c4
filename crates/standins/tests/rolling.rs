//! A rolling change as operators make one, on real processes: each mixer in turn ended by SIGTERM and started again,
//! discovery moved by SIGHUP, a zone's leaf servers replaced, while clients keep asking. A client turns away from a
//! mixer once it has been told to end, as a load balancer that reads its readiness does; what it had sent there must
//! still be answered.

use cottonhill_standins::client::{spread, Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{Installation, Plan, CLASSES, SHARDS, TENANTS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const CLIENTS: usize = 6;
/// Bounds each client, whatever the timing: the change is over long before.
const MOST_TRIES: usize = 2_000;

/// Tries by how they ended for the client.
type Tally = BTreeMap<&'static str, u64>;

async fn client(
    number: usize, mixers: Vec<SocketAddr>, serving: Arc<Vec<AtomicBool>>, over: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
) {
    for n in 0..MOST_TRIES {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let at = (number + n) % mixers.len();
        if !serving[at].load(Ordering::SeqCst) {
            continue;
        }
        let class = CLASSES[n % CLASSES.len()];
        let width = 4 + (n as u32 % 4);
        let first = (number * 7 + n) as u32;
        let question = Question {
            class: class.0.into(),
            tenant: TENANTS[number % TENANTS.len()].into(),
            parts: spread(first, width, SHARDS),
            text: format!("q{number}-{n}"),
            key: None,
        };
        let id = format!("c{number}-{n}");
        let attempt = Attempt {
            id: &id,
            retry: false,
            wait: Duration::from_millis(class.2),
            grace: Duration::from_millis(1_000),
        };
        // A connection of its own for each try, so that none is written to as the mixer closes it.
        let got = Connection::new(mixers[at]).ask(&question, &attempt).await;
        let ended = match got {
            Got::Answer(true, _) => "whole",
            Got::Answer(false, _) => "partial",
            Got::Refused(_) => "refused",
            Got::Failed(_) => "failed",
            Got::Lost => "lost",
            Got::TimedOut => "timed out",
        };
        *tally.lock().unwrap_or_else(PoisonError::into_inner).entry(ended).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_change_answers_every_query_once_and_serves_nearly_all() {
    let folder = tempfile::tempdir().unwrap();
    let plan = Plan {
        seed: 21,
        work: Duration::from_millis(5),
        slots: 16,
        usage: false,
        search: false,
        ledger: String::new(),
    };
    let mut installation = Installation::start(folder.path(), plan).await.unwrap();
    let mixers: Vec<SocketAddr> = installation.mixers.iter().map(|mixer| mixer.address).collect();
    let serving: Arc<Vec<AtomicBool>> = Arc::new(mixers.iter().map(|_| AtomicBool::new(true)).collect());
    let (over, tally) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Tally::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let shared = (serving.clone(), over.clone(), tally.clone());
            tokio::spawn(client(number, mixers.clone(), shared.0, shared.1, shared.2))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let first_discovery = installation.discovery();
    for at in 0..mixers.len() {
        serving[at].store(false, Ordering::SeqCst);
        let ended = tokio::task::block_in_place(|| installation.stop_mixer(at, Duration::from_secs(5)));
        assert!(ended, "mixer {at} ends with success after SIGTERM, within 5 s");
        installation.start_mixer(at).await.unwrap();
        serving[at].store(true, Ordering::SeqCst);
        match at {
            0 => installation.move_discovery().await.unwrap(),
            1 => installation.restore_zone(2, true).await.unwrap(),
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.await.unwrap();
    }
    assert_ne!(installation.discovery(), first_discovery, "discovery moved");
    for mixer in &installation.mixers {
        let log = std::fs::read_to_string(&mixer.log).unwrap();
        assert!(
            log.contains("configuration read again"),
            "{} took up the new configuration: {log}",
            mixer.name
        );
    }
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let count = |ended: &str| tally.get(ended).copied().unwrap_or(0);
    let tries: u64 = tally.values().sum();
    let said = format!("{tries} tries: {tally:?}");
    eprintln!("{said}");
    assert!(tries >= 300, "the clients asked throughout the change: {said}");
    assert_eq!(count("lost") + count("timed out"), 0, "every try got its one final answer: {said}");
    let served = (count("whole") + count("partial")) as f64 / tries as f64;
    assert!(served >= 0.9, "nearly all were served through the change: {said}");
}
