//! A seeded soak of real mixers at the least memory: series of SIGKILL, SIGTERM followed by SIGKILL at the earliest moment,
//! hostile clients of changing kinds, and sound clients that use their open connections until these end.
//!
//! `SOAK_SEEDS` is the number of seeds and `SOAK_FIRST_SEED` the first one; each takes some 10 s.

mod hostile_clients;

use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use hostile_clients::Behavior;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

const DEFAULT_SEEDS: u64 = 3;
const DEFAULT_FIRST_SEED: u64 = 4900;
const MEMORY_LIMIT_MB: u64 = 32;
const DESCRIPTOR_LIMITS: [usize; 2] = [1024, 256];
const MIXERS: usize = 3;
const SOUND_CLIENTS: usize = 9;
const MAX_HOSTILE_CLIENTS: usize = 600;
/// For requests, clients hold at most a third of the descriptors.
const MAX_QUERIES_DIVISOR: usize = 3;
const ROUNDS: usize = 3;
const MS: fn(u64) -> Duration = Duration::from_millis;
/// The longest client timeout and 0.7 s: SIGKILL comes at the earliest this long after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(1500 + 700);
const RESENDS: usize = 5;
const RESEND_DELAY: Duration = Duration::from_millis(20);
const NEW_CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The kills of a series follow each other in this time.
const KILL_INTERVALS_MS: std::ops::Range<u64> = 250..1200;
/// A final answer may be late by 0.5 s; the rest is for a busy machine.
const EXTRA_WAIT: Duration = Duration::from_millis(500 + 500);

const BEHAVIORS: [Behavior; 9] = [
    Behavior::HalfBody,
    Behavior::SlowBody,
    Behavior::TinyChunks,
    Behavior::ManyFields,
    Behavior::EndlessHead,
    Behavior::LargeQueries,
    Behavior::UnreadLargeValues,
    Behavior::TruncatedLargeValues,
    Behavior::DisconnectsAfterLargeQuery,
];

/// What the test knows about a mixer while clients use it.
#[derive(Debug, Default)]
struct MixerState {
    /// Whether the process runs.
    is_up: AtomicBool,
    /// Whether clients open connections: not from some time after SIGTERM on.
    accepts_new: AtomicBool,
    /// How often it was killed without a request to end, or after the earliest moment.
    kills: AtomicU64,
}

impl MixerState {
    fn set_running(&self, is_running: bool) {
        self.is_up.store(is_running, Ordering::SeqCst);
        self.accepts_new.store(is_running, Ordering::SeqCst);
    }
}

/// The outcomes of the sound clients' queries.
#[derive(Debug, Default)]
struct Outcomes {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// On a mixer that was killed meanwhile.
    killed: AtomicU64,
    /// Sent as an open connection ended during a shutdown; the client would go to another mixer.
    moved: AtomicU64,
    /// Without a final answer, though the mixer was not killed.
    lost: AtomicU64,
}

/// Sends queries on one connection after another until `stop`, each connection as long as it stays open.
async fn sound_client(
    number: usize,
    mixer: SocketAddr,
    state: Arc<MixerState>,
    outcomes: Arc<Outcomes>,
    stop: Arc<AtomicBool>,
) {
    let mut connection = Connection::new(mixer);
    for query_number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        sleep(MS(15)).await;
        let may_connect = || state.accepts_new.load(Ordering::SeqCst);
        if !connection.is_open() && !may_connect() {
            continue;
        }
        let class = CLASSES[query_number % CLASSES.len()];
        let query = Query {
            class: class.0.into(),
            tenant: TENANTS[number % TENANTS.len()].into(),
            parts: consecutive_parts(query_number as u32, 4, SHARDS),
            text: "sound".into(),
            key: None,
        };
        let id = format!("sound-{number}-{query_number}");
        let attempt = Attempt {
            id: &id,
            retry: false,
            timeout: MS(class.2),
            extra_wait: EXTRA_WAIT,
        };
        let kills = state.kills.load(Ordering::SeqCst);
        let (was_open, sent_at) = (connection.is_open(), Instant::now());
        let mut outcome = connection.send_query(&query, &attempt).await;
        // Closed between two requests, or shut unread while others fill the descriptors: sent again with the same id,
        // which is rejected if it has been sent on.
        for _ in 0..RESENDS {
            if outcome == AttemptOutcome::ConnectionLost && may_connect() {
                sleep(RESEND_DELAY).await;
                outcome = connection.send_query(&query, &attempt).await;
            }
        }
        let was_killed =
            state.kills.load(Ordering::SeqCst) != kills || !state.is_up.load(Ordering::SeqCst);
        let counter = match outcome {
            AttemptOutcome::Answer(..) => &outcomes.served,
            AttemptOutcome::Refused(_) => &outcomes.refused,
            AttemptOutcome::Failed(status) if status != 409 => &outcomes.failed,
            _ if was_killed => &outcomes.killed,
            AttemptOutcome::ConnectionLost if !may_connect() => &outcomes.moved,
            // 409: the first one was read, and its connection closed without an answer.
            _ => {
                let elapsed = sent_at.elapsed();
                eprintln!(
                    "lost: {id} at {mixer} after {elapsed:?}, was open: {was_open}: {outcome:?}"
                );
                &outcomes.lost
            }
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

struct Soak {
    seed: u64,
    descriptors: usize,
    random: StdRng,
    cluster: LocalCluster,
    states: Vec<Arc<MixerState>>,
    peak_kib: u64,
}

impl Soak {
    /// Checks that the mixer's process has not ended by itself, and its memory.
    fn check_process(&mut self, mixer: usize) {
        let seed = self.seed;
        let process = self.cluster.mixers[mixer].process.as_mut().unwrap();
        assert!(
            process.is_running(),
            "seed {seed}: mixer {mixer} has ended by itself"
        );
        let (_, peak_kib) = process.resource_usage().unwrap();
        self.peak_kib = self.peak_kib.max(peak_kib);
        assert!(
            peak_kib * 1024 <= MEMORY_LIMIT_MB * 1_000_000,
            "seed {seed}: mixer {mixer} peaked at {peak_kib} KiB"
        );
    }

    async fn restart(&mut self, mixer: usize) {
        sleep(RESTART_DELAY).await;
        self.cluster.start_mixer(mixer).await.unwrap();
        self.states[mixer].set_running(true);
    }

    async fn kill(&mut self, mixer: usize) {
        self.check_process(mixer);
        self.states[mixer].set_running(false);
        self.states[mixer].kills.fetch_add(1, Ordering::SeqCst);
        self.cluster.kill_mixer(mixer);
    }

    async fn kill_in_series(&mut self, mixer: usize) {
        for _ in 0..3 {
            let wait = self.random.random_range(KILL_INTERVALS_MS);
            sleep(MS(wait)).await;
            self.kill(mixer).await;
            self.restart(mixer).await;
        }
    }

    /// SIGTERM; clients send until their connections end; SIGKILL at the earliest moment if the process is still there.
    async fn terminate(&mut self, mixer: usize) {
        self.check_process(mixer);
        let process = self.cluster.mixers[mixer].process.as_ref().unwrap();
        process.signal("-TERM").unwrap();
        sleep(NEW_CONNECTIONS_AFTER_SIGTERM).await;
        self.states[mixer]
            .accepts_new
            .store(false, Ordering::SeqCst);
        let exited = async {
            loop {
                sleep(MS(10)).await;
                let process = self.cluster.mixers[mixer].process.as_mut().unwrap();
                if !process.is_running() {
                    return;
                }
            }
        };
        let limit = EARLIEST_KILL - NEW_CONNECTIONS_AFTER_SIGTERM;
        let has_exited = tokio::time::timeout(limit, exited).await.is_ok();
        self.states[mixer].set_running(false);
        if !has_exited {
            self.states[mixer].kills.fetch_add(1, Ordering::SeqCst);
        }
        self.cluster.kill_mixer(mixer);
        self.restart(mixer).await;
    }

    async fn play_round(&mut self) {
        let mixer = self.random.random_range(0..MIXERS);
        let target = self.random.random_range(0..MIXERS);
        let behavior = BEHAVIORS[self.random.random_range(0..BEHAVIORS.len())];
        let mut count = self.random.random_range(50..=MAX_HOSTILE_CLIENTS);
        if behavior.sends_queries() {
            count = count.min(self.descriptors / MAX_QUERIES_DIVISOR);
        }
        let address = self.cluster.mixers[target].address;
        if behavior == Behavior::TruncatedLargeValues {
            self.cluster.truncate_large_answers(0);
        }
        let hostile = hostile_clients::start(address, behavior, count);
        eprintln!("seed {}: {count} clients, {behavior:?}, at mixer {target} ({address}); signals at {mixer}", self.seed);
        if self.random.random_bool(0.5) {
            self.kill_in_series(mixer).await;
        } else {
            self.terminate(mixer).await;
        }
        sleep(MS(self.random.random_range(200..1000))).await;
        drop(hostile);
        for mixer in 0..MIXERS {
            self.check_process(mixer);
        }
    }
}

async fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let directory = tempfile::tempdir().unwrap();
    let config = ClusterConfig {
        seed,
        descriptor_limit: DESCRIPTOR_LIMITS[random.random_range(0..DESCRIPTOR_LIMITS.len())],
        memory_limit_mb: Some(MEMORY_LIMIT_MB),
        leaf_concurrency: 256,
        ..ClusterConfig::default()
    };
    let descriptors = config.descriptor_limit;
    let cluster = LocalCluster::start(directory.path(), config).await.unwrap();
    let states: Vec<Arc<MixerState>> = (0..MIXERS).map(|_| Arc::default()).collect();
    let (outcomes, stop) = (Arc::<Outcomes>::default(), Arc::<AtomicBool>::default());
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..SOUND_CLIENTS {
        let mixer = number % MIXERS;
        states[mixer].set_running(true);
        clients.push(tokio::spawn(sound_client(
            number,
            cluster.mixers[mixer].address,
            states[mixer].clone(),
            outcomes.clone(),
            stop.clone(),
        )));
    }
    let mut soak = Soak {
        seed,
        descriptors,
        random,
        cluster,
        states,
        peak_kib: 0,
    };
    for _ in 0..ROUNDS {
        soak.play_round().await;
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.await.unwrap();
    }
    eprintln!(
        "seed {seed}: {descriptors} descriptors, peak {} KiB, {outcomes:?}",
        soak.peak_kib
    );
    assert_eq!(
        outcomes.lost.load(Ordering::SeqCst),
        0,
        "seed {seed}: lost queries"
    );
    assert!(
        outcomes.served.load(Ordering::SeqCst) > 0,
        "seed {seed}: none served"
    );
}

fn number_from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_and_signals_neither_end_a_mixer_nor_lose_queries() {
    let first = number_from_environment("SOAK_FIRST_SEED", DEFAULT_FIRST_SEED);
    let seeds = number_from_environment("SOAK_SEEDS", DEFAULT_SEEDS);
    for seed in first..first + seeds {
        play(seed).await;
    }
}
