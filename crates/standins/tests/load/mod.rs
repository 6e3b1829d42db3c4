//! Clients that keep asking real mixers while a test changes the world around them.

use cottonhill_standins::client::{spread, Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{Installation, CLASSES, SHARDS, TENANTS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

const CLIENTS: usize = 6;
/// Bounds each client, whatever the timing: the test is over long before.
const MOST_TRIES: usize = 20_000;

/// Tries by how they ended for the client.
type Tally = BTreeMap<&'static str, u64>;

async fn client(
    number: usize,
    mixers: Vec<SocketAddr>,
    serving: Arc<Vec<AtomicBool>>,
    over: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
) {
    for n in 0..MOST_TRIES {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let at = (number + n) % mixers.len();
        if !serving[at].load(Ordering::SeqCst) {
            // All may be down at once.
            tokio::time::sleep(Duration::from_millis(1)).await;
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
        *tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(ended)
            .or_default() += 1;
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
}

/// Clients at work, over a few mixers.
pub struct Load {
    /// Which mixers the clients turn to.
    pub serving: Arc<Vec<AtomicBool>>,
    over: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    clients: Vec<JoinHandle<()>>,
}

/// How all tries ended.
pub struct Tries(Tally);

impl Load {
    pub fn start(installation: &Installation) -> Load {
        let mixers: Vec<SocketAddr> = installation
            .mixers
            .iter()
            .map(|mixer| mixer.address)
            .collect();
        let serving: Arc<Vec<AtomicBool>> =
            Arc::new(mixers.iter().map(|_| AtomicBool::new(true)).collect());
        let (over, tally) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Tally::new())),
        );
        let clients = (0..CLIENTS)
            .map(|number| {
                let shared = (serving.clone(), over.clone(), tally.clone());
                tokio::spawn(client(number, mixers.clone(), shared.0, shared.1, shared.2))
            })
            .collect();
        Load {
            serving,
            over,
            tally,
            clients,
        }
    }

    pub async fn end(self) -> Tries {
        self.over.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.await.unwrap();
        }
        let tally = self
            .tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Tries(tally)
    }
}

impl Tries {
    /// Every try got its one final answer, and so many of a hundred were served.
    pub fn check(&self, least: u64, hundredths: u64) {
        let count = |ended: &str| self.0.get(ended).copied().unwrap_or(0);
        let tries: u64 = self.0.values().sum();
        let said = format!("{tries} tries: {:?}", self.0);
        eprintln!("{said}");
        assert!(
            tries >= least,
            "the clients asked throughout the change: {said}"
        );
        assert_eq!(
            count("lost") + count("timed out"),
            0,
            "every try got its one final answer: {said}"
        );
        let served = count("whole") + count("partial");
        assert!(
            served * 100 >= tries * hundredths,
            "nearly all were served through the change: {said}"
        );
    }
}
