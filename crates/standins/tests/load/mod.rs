//! Clients that send queries to real mixers continuously while a test changes the cluster.

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{LocalCluster, CLASSES, SHARDS, TENANTS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

const CLIENTS: usize = 6;
/// Upper bound of the attempts of each client, far above the number in any test.
const MAX_ATTEMPTS: usize = 20_000;

/// Number of attempts by outcome.
type OutcomeCounts = BTreeMap<&'static str, u64>;

async fn client(
    number: usize,
    mixers: Vec<SocketAddr>,
    serving: Arc<Vec<AtomicBool>>,
    stopping: Arc<AtomicBool>,
    outcomes: Arc<Mutex<OutcomeCounts>>,
) {
    for n in 0..MAX_ATTEMPTS {
        if stopping.load(Ordering::SeqCst) {
            return;
        }
        let index = (number + n) % mixers.len();
        if !serving[index].load(Ordering::SeqCst) {
            // All mixers may be stopped at once.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        }
        let class = CLASSES[n % CLASSES.len()];
        let count = 4 + (n as u32 % 4);
        let first = (number * 7 + n) as u32;
        let query = Query {
            class: class.0.into(),
            tenant: TENANTS[number % TENANTS.len()].into(),
            parts: consecutive_parts(first, count, SHARDS),
            text: format!("q{number}-{n}"),
            key: None,
        };
        let id = format!("c{number}-{n}");
        let attempt = Attempt {
            id: &id,
            retry: false,
            timeout: Duration::from_millis(class.2),
            extra_wait: Duration::from_millis(1_000),
        };
        // Each attempt has its own connection, so that none is written to while the mixer closes it.
        let outcome = Connection::new(mixers[index])
            .send_query(&query, &attempt)
            .await;
        let outcome = match outcome {
            AttemptOutcome::Answer(true, _) => "complete",
            AttemptOutcome::Answer(false, _) => "partial",
            AttemptOutcome::Refused(_) => "refused",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::ConnectionLost => "connection lost",
            AttemptOutcome::TimedOut => "timed out",
        };
        *outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(outcome)
            .or_default() += 1;
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}

/// Running clients of a few mixers.
pub struct Load {
    /// Whether the clients send queries to each mixer.
    pub serving: Arc<Vec<AtomicBool>>,
    stopping: Arc<AtomicBool>,
    outcomes: Arc<Mutex<OutcomeCounts>>,
    clients: Vec<JoinHandle<()>>,
}

/// Outcomes of all attempts.
pub struct LoadResult(OutcomeCounts);

impl Load {
    /// Starts the clients.
    pub fn start(cluster: &LocalCluster) -> Load {
        let mixers: Vec<SocketAddr> = cluster.mixers.iter().map(|mixer| mixer.address).collect();
        let serving: Arc<Vec<AtomicBool>> =
            Arc::new(mixers.iter().map(|_| AtomicBool::new(true)).collect());
        let (stopping, outcomes) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(OutcomeCounts::new())),
        );
        let clients = (0..CLIENTS)
            .map(|number| {
                let shared = (serving.clone(), stopping.clone(), outcomes.clone());
                tokio::spawn(client(number, mixers.clone(), shared.0, shared.1, shared.2))
            })
            .collect();
        Load {
            serving,
            stopping,
            outcomes,
            clients,
        }
    }

    /// Stops the clients and returns their outcomes.
    pub async fn stop(self) -> LoadResult {
        self.stopping.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.await.unwrap();
        }
        let outcomes = self
            .outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        LoadResult(outcomes)
    }
}

impl LoadResult {
    /// Asserts that at least `min_attempts` were made, that each received its one final answer, and that at least
    /// `min_served_percent` of them were served.
    pub fn check(&self, min_attempts: u64, min_served_percent: u64) {
        let count = |outcome: &str| self.0.get(outcome).copied().unwrap_or(0);
        let attempts: u64 = self.0.values().sum();
        let summary = format!("{attempts} attempts: {:?}", self.0);
        eprintln!("{summary}");
        assert!(
            attempts >= min_attempts,
            "the clients made at least {min_attempts} attempts: {summary}"
        );
        assert_eq!(
            count("connection lost") + count("timed out"),
            0,
            "every attempt received its one final answer: {summary}"
        );
        let served = count("complete") + count("partial");
        assert!(
            served * 100 >= attempts * min_served_percent,
            "at least {min_served_percent} % of the attempts were served: {summary}"
        );
    }
}
