//! A simulated fleet: many coordinators with uneven load and one replica that is replaced by a new one. The total
//! number of parts sent to the new replica in any overload window is compared with the budget that follows from the
//! settings.

use crate::support::{MS, START};
use cottonhill_decisions::{
    Action, Class, Coordinator, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport,
    Outcome, ReplicaId, RequestId, Settings,
};
use std::collections::{BTreeMap, VecDeque};

/// Time between two batches of each coordinator, ms.
const STEP_MS: u64 = 10;
/// Number of parts per second that one warm replica can serve.
const CAPACITY_PER_SECOND: f64 = 60.0;
const REPLICAS: u64 = 8;
const LATENCY_MS: u64 = 50;
/// Duration of the simulation after the replacement, ms.
const OBSERVED_MS: u64 = 6_000;
/// Time between two bursts of queries, ms.
const BURST_INTERVAL_MS: u64 = 200;
const INITIAL_CAPACITY: f64 = 0.25;
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// The replica that is replaced, and its replacement, which is warming up.
const REPLACED: ReplicaId = ReplicaId(1);
const WARMING: ReplicaId = ReplicaId(100);

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub coordinators: u32,
    pub seed: u64,
    /// Query rate as a fraction of the capacity of all replicas.
    pub demand: f64,
    /// The fleet's rate limit as a fraction of the capacity of all replicas; 0 if not configured.
    pub rate_limit: f64,
    /// Time between the start of the coordinators and the replacement of one replica, ms.
    pub warm_up_ms: u64,
    /// Whether queries arrive in bursts, simultaneously at all coordinators.
    pub bursts: bool,
    /// Factor by which queries to the shard of the warming replica increase at the replacement.
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
            retry_after: 500 * MS,
            slow_start_initial_capacity: Some(INITIAL_CAPACITY),
            slow_start_duration: 6000 * MS,
            overload_multiple: Some(OVERLOAD_MULTIPLE),
            overload_window: 1500 * MS,
            fleet_rate_limit: self.rate_limit * CAPACITY_PER_SECOND * REPLICAS as f64,
            ..Settings::default()
        }
    }

    /// Mean number of queries that arrive at the entire fleet in the step that starts at `at_ms`.
    fn queries_in_step(&self, at_ms: u64) -> f64 {
        let mean = self.demand * CAPACITY_PER_SECOND * REPLICAS as f64 * STEP_MS as f64 / 1000.0;
        match (self.bursts, at_ms % BURST_INTERVAL_MS) {
            (false, _) => mean,
            (true, 0) => mean * BURST_INTERVAL_MS as f64 / STEP_MS as f64,
            (true, _) => 0.0,
        }
    }
}

/// The overload window with the highest excess of parts sent to the warming replica over its budget.
#[derive(Clone, Copy, Debug)]
pub struct WorstWindow {
    /// Number of parts above the budget, divided by the allowance for random variation. Values up to 1 are acceptable.
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
        let parts = sent_ms
            .iter()
            .filter(|sent_at| window.contains(sent_at))
            .count();
        // The capacity grows linearly, so that the value at the middle of the window is the mean.
        let middle_ms = (end_ms as f64 - window_ms as f64 / 2.0).max(0.0);
        let capacity_fraction =
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * middle_ms / slow_start_ms as f64;
        let budget =
            OVERLOAD_MULTIPLE * capacity_fraction * CAPACITY_PER_SECOND * window_ms as f64 / 1000.0;
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

/// The future answer to an attempt.
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
    /// Relative query rate of each coordinator; some receive several times as many queries as others.
    weights: Vec<f64>,
    answers: VecDeque<Answer>,
    /// Number of attempts so far by part, which is the number of the next attempt.
    attempts: BTreeMap<RequestId, u8>,
    last_id: RequestId,
    /// Times when parts were sent to the warming replica, ms after its start.
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

    /// Returns the times when parts were sent to the warming replica, ms after its start.
    fn run(mut self) -> Vec<u64> {
        self.send_initial_snapshot();
        for at_ms in (0..self.fleet.warm_up_ms + OBSERVED_MS).step_by(STEP_MS as usize) {
            self.step(at_ms);
        }
        self.sent_to_warming_ms
    }

    /// Sends a list with one replica in cell 0 and all others in cell 1, so that no other replica holds the shard of
    /// the replica that is replaced.
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

    /// Rounds up or down at random, such that the expected value is `mean`.
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

/// The endpoint update that replaces one replica by the warming one.
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
