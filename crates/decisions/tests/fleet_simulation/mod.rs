//! A simulated fleet: many coordinators side by side with uneven load, one replica that is replaced by a new one, and
//! what they send to that one together, over any window, against what the settings allow it.

use crate::support::{MS, START};
use cottonhill_decisions::{
    Action, Class, Coordinator, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport,
    Outcome, ReplicaId, RequestId, Settings,
};
use std::collections::{BTreeMap, VecDeque};

/// Time between two batches of each coordinator, ms.
const STEP_MS: u64 = 10;
/// Parts a second that one warm replica can serve.
const CAPACITY_PER_SECOND: f64 = 60.0;
const REPLICAS: u64 = 8;
const LATENCY_MS: u64 = 50;
/// How long the fleet is observed after the replacement, ms.
const OBSERVED_MS: u64 = 6_000;
/// Where clients come in bursts, the time between two of them, ms.
const BURST_INTERVAL_MS: u64 = 200;
const INITIAL_CAPACITY: f64 = 0.25;
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The replica that is replaced, and the one in its place, which is warming up.
const REPLACED: ReplicaId = ReplicaId(1);
const WARMING: ReplicaId = ReplicaId(100);

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub coordinators: u32,
    pub seed: u64,
    /// What clients ask for, as a fraction of what all replicas can serve.
    pub demand: f64,
    /// The fleet's rate limit, as a fraction of what all replicas can serve; 0 where not stated.
    pub rate_limit: f64,
    /// How long all coordinators have run before one replica is replaced.
    pub warm_up_ms: u64,
    /// Whether clients come in bursts that all coordinators see at once.
    pub bursts: bool,
    /// From the replacement on, the shard of the warming replica is queried so many times as often.
    pub hot_shard_factor: f64,
}

impl Fleet {
    fn settings(&self) -> Settings {
        Settings {
            classes: vec![Class {
                latency_objective: 2000 * MS,
                deadline: 4000 * MS,
                completeness_threshold: 1.0,
                minimum_coverage: 1.0,
                ..Class::default()
            }],
            cells: 2,
            replication_factor: 1,
            max_parts_per_call: Some(1),
            fleet_size: self.coordinators,
            batch_interval: 5 * MS,
            max_attempts: Some(4),
            cancellation_enabled: true,
            hedging_enabled: true,
            max_retry_after: 500 * MS,
            slow_start_initial_capacity: Some(INITIAL_CAPACITY),
            slow_start_duration: 6000 * MS,
            overload_multiple: Some(OVERLOAD_MULTIPLE),
            overload_window: 1500 * MS,
            fleet_rate_limit: self.rate_limit * CAPACITY_PER_SECOND * REPLICAS as f64,
            ..Settings::default()
        }
    }

    /// Queries that reach the whole fleet in the step that begins at this time.
    fn queries_in_step(&self, at_ms: u64) -> f64 {
        let mean = self.demand * CAPACITY_PER_SECOND * REPLICAS as f64 * STEP_MS as f64 / 1000.0;
        match (self.bursts, at_ms % BURST_INTERVAL_MS) {
            (false, _) => mean,
            (true, 0) => mean * BURST_INTERVAL_MS as f64 / STEP_MS as f64,
            (true, _) => 0.0,
        }
    }
}

/// The window in which the warming replica gets most, against its budget.
#[derive(Clone, Copy, Debug)]
pub struct WorstWindow {
    /// By how much the budget is exceeded, in what is put down to chance; up to 1 is chance.
    pub excess: f64,
    pub parts: usize,
    pub budget: f64,
}

pub fn find_worst_window(fleet: Fleet) -> WorstWindow {
    let settings = fleet.settings();
    let window_ms = settings.overload_window / MS;
    let slow_start_ms = settings.slow_start_duration / MS;
    let sent_ms = Simulation::new(fleet).run();
    let mut worst = WorstWindow {
        excess: f64::MIN,
        parts: 0,
        budget: 0.0,
    };
    for end_ms in (STEP_MS..slow_start_ms).step_by(STEP_MS as usize) {
        let begin_ms = (end_ms + STEP_MS).saturating_sub(window_ms);
        let window = begin_ms..=end_ms;
        let parts = sent_ms.iter().filter(|at| window.contains(at)).count();
        // Its capacity grows evenly; the one at the middle of the window is the mean.
        let middle_ms = (end_ms as f64 - window_ms as f64 / 2.0).max(0.0);
        let warmth = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * middle_ms / slow_start_ms as f64;
        let budget = OVERLOAD_MULTIPLE * warmth * CAPACITY_PER_SECOND * window_ms as f64 / 1000.0;
        let excess = (parts as f64 - budget) / (2.0 * budget.sqrt() + 2.0);
        if excess > worst.excess {
            worst = WorstWindow {
                excess,
                parts,
                budget,
            };
        }
    }
    worst
}

/// An attempt that is going to be answered.
struct Answer {
    due_ms: u64,
    coordinator: usize,
    part: RequestId,
    attempt: u8,
    replica: ReplicaId,
}

struct Simulation {
    fleet: Fleet,
    random: fastrand::Rng,
    coordinators: Vec<Coordinator>,
    /// Each coordinator's share of the queries: some see several times the mean.
    weights: Vec<f64>,
    answers: VecDeque<Answer>,
    /// Attempts made so far, by part: each ends under its own number.
    attempts: BTreeMap<RequestId, u8>,
    last_id: RequestId,
    /// When parts were sent to the warming replica, ms after its start.
    sent_to_warming_ms: Vec<u64>,
}

impl Simulation {
    fn new(fleet: Fleet) -> Simulation {
        let mut random = fastrand::Rng::with_seed(fleet.seed);
        let settings = fleet.settings();
        let coordinators: Vec<Coordinator> = (0..fleet.coordinators)
            .map(|i| Coordinator::new(settings.clone(), fleet.seed * 7919 + u64::from(i)))
            .collect();
        let weights = coordinators
            .iter()
            .map(|_| [0.4, 0.6, 1.0, 2.5][random.usize(..4)])
            .collect();
        Simulation {
            fleet,
            random,
            coordinators,
            weights,
            answers: VecDeque::new(),
            attempts: BTreeMap::new(),
            last_id: 0,
            sent_to_warming_ms: Vec::new(),
        }
    }

    /// When parts were sent to the warming replica, ms after its start.
    fn run(mut self) -> Vec<u64> {
        self.send_initial_snapshot();
        for at_ms in (0..self.fleet.warm_up_ms + OBSERVED_MS).step_by(STEP_MS as usize) {
            self.step(at_ms);
        }
        self.sent_to_warming_ms
    }

    /// One replica in cell 0, the rest in cell 1: no other holds the shard of the one that is replaced.
    fn send_initial_snapshot(&mut self) {
        let endpoints: Vec<Endpoint> = (1..=REPLICAS)
            .map(|r| endpoint(ReplicaId(r), u16::from(r > 1), EndpointStatus::Ready, 0))
            .collect();
        let update = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints,
        };
        for coordinator in &mut self.coordinators {
            coordinator.process_batch(START, std::slice::from_ref(&update), &mut Vec::new());
        }
    }

    fn step(&mut self, at_ms: u64) {
        let mut events: Vec<Vec<Event>> = vec![Vec::new(); self.coordinators.len()];
        if at_ms == self.fleet.warm_up_ms {
            let replacement = replacement(at_ms);
            for events in &mut events {
                events.push(replacement.clone());
            }
        }
        self.add_answers(at_ms, &mut events);
        self.add_queries(at_ms, &mut events);
        for (coordinator, mut events) in events.into_iter().enumerate() {
            if events.is_empty() {
                events.push(Event::TimerFired { token: 0 });
            }
            self.process(at_ms, coordinator, &events);
        }
    }

    fn add_answers(&mut self, at_ms: u64, events: &mut [Vec<Event>]) {
        while let Some(answer) = self.answers.pop_front_if(|answer| answer.due_ms <= at_ms) {
            events[answer.coordinator].push(Event::AttemptEnded {
                part: answer.part,
                attempt: answer.attempt,
                replica: answer.replica,
                outcome: Outcome::Ok,
                report: LoadReport::new(),
            });
        }
    }

    fn add_queries(&mut self, at_ms: u64, events: &mut [Vec<Event>]) {
        let queries = self.fleet.queries_in_step(at_ms);
        let total_weight: f64 = self.weights.iter().sum();
        let replaced = at_ms >= self.fleet.warm_up_ms;
        let hot_shard_factor = if replaced {
            self.fleet.hot_shard_factor
        } else {
            1.0
        };
        let hot_fraction = hot_shard_factor / REPLICAS as f64;
        let other_fraction = 1.0 - 1.0 / REPLICAS as f64;
        for (coordinator, events) in events.iter_mut().enumerate() {
            let mean = queries * self.weights[coordinator] / total_weight;
            let to_others = self.round_randomly(mean * other_fraction);
            let to_hot = self.round_randomly(mean * hot_fraction);
            for i in 0..to_others + to_hot {
                let shard = u32::from(i < to_others);
                self.add_query(shard, events);
            }
        }
    }

    /// A whole number that is this one on average.
    fn round_randomly(&mut self, mean: f64) -> u64 {
        mean.floor() as u64 + u64::from(self.random.f64() < mean.fract())
    }

    fn add_query(&mut self, shard: u32, events: &mut Vec<Event>) {
        self.last_id += 2;
        let (id, group) = (self.last_id, self.last_id as u32);
        events.push(Event::QueryReceived {
            id,
            group,
            class: 0,
            tenant: 0,
            client_timeout: 4000 * MS,
            network_delay: 0,
            work: None,
            client_retry: false,
        });
        events.push(Event::PartReceived {
            id: id + 1,
            group,
            shard,
            weight: 1.0,
        });
    }

    fn process(&mut self, at_ms: u64, coordinator: usize, events: &[Event]) {
        let mut actions = Vec::new();
        self.coordinators[coordinator].process_batch(START + at_ms * MS, events, &mut actions);
        for action in actions {
            let Action::Send { part, replica, .. } = action else {
                continue;
            };
            let next_attempt = self.attempts.entry(part).or_default();
            self.answers.push_back(Answer {
                due_ms: at_ms + LATENCY_MS,
                coordinator,
                part,
                attempt: *next_attempt,
                replica,
            });
            *next_attempt += 1;
            if replica == WARMING {
                self.sent_to_warming_ms.push(at_ms - self.fleet.warm_up_ms);
            }
        }
    }
}

/// The warming replica takes the place of the one that is replaced.
fn replacement(at_ms: u64) -> Event {
    let started_at = START + at_ms * MS - MS;
    Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Delta,
        endpoints: vec![
            endpoint(REPLACED, 0, EndpointStatus::Removed, 0),
            endpoint(WARMING, 0, EndpointStatus::Ready, started_at),
        ],
    }
}

fn endpoint(replica: ReplicaId, cell: u16, status: EndpointStatus, started_at: u64) -> Endpoint {
    Endpoint {
        replica,
        cell,
        zone: 0,
        started_at,
        status,
    }
}
