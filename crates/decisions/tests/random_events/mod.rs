//! Random deployments and random events: lists, queries, parts, outcomes and departures that follow from what a
//! coordinator has asked for. The same seed and actions give the same batches.

use cottonhill_decisions::{
    Action, Class, DiscoveryMode, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Idempotency,
    LoadReport, Outcome, ReplicaId, RequestId, RetryBudget, Settings,
};
use std::collections::{BTreeMap, BTreeSet};

const MS: u64 = 1_000_000;
/// Most queries that are open at once.
const MOST_OPEN: usize = 40;

/// Settings of a random deployment; times are multiples of 5 ms, so that batches fall on the edges of its rules.
pub fn settings(random: &mut fastrand::Rng) -> Settings {
    let classes = (0..random.u32(1..=3)).map(|_| class(random)).collect();
    let cold = random.bool();
    let cells = random.u32(1..=8);
    Settings {
        classes,
        cells,
        replication_factor: random.u32(1..=cells + 1),
        zone: 0,
        cross_zone_cost: *pick(random, &[0.0, 0.1, 0.5]),
        max_parts_per_call: *pick(random, &[None, Some(1), Some(4), Some(16)]),
        fleet_size: *pick(random, &[1, 2, 20]),
        batch_interval: *pick(random, &[1, 5]) * MS,
        max_attempts: *pick(random, &[None, Some(1), Some(2), Some(4)]),
        cancellation_enabled: random.bool(),
        client_retries_marked: random.bool(),
        hedging_enabled: random.u32(..4) > 0,
        probing_enabled: random.bool(),
        max_retry_after: *pick(random, &[0, 500 * MS]),
        slow_start_initial_capacity: cold.then_some(0.25),
        slow_start_duration: if cold { 3000 * MS } else { 0 },
        overload_multiple: cold.then_some(2.0),
        overload_window: if cold { 500 * MS } else { 0 },
        retry_budget: random.bool().then(|| RetryBudget {
            minimum: f64::from(random.u32(..10)),
            ratio: *pick(random, &[0.0, 0.1, 0.5]),
            window: *pick(random, &[500, 5000]) * MS,
        }),
        fleet_rate_limit: *pick(random, &[0.0, 200.0]),
        connection_idle_timeout: *pick(random, &[0, 5000]) * MS,
        discovery_mode: if random.bool() {
            DiscoveryMode::Poll
        } else {
            DiscoveryMode::Push
        },
        max_list_staleness: 2000 * MS,
    }
}

fn class(random: &mut fastrand::Rng) -> Class {
    let aim = *pick(random, &[200, 1000, 2000]) * MS;
    Class {
        latency_objective: aim,
        objective_per_expected_work: random.bool().then_some(2.0),
        deadline: aim * random.u64(1..=3),
        idempotency: *pick(
            random,
            &[
                Idempotency::Idempotent,
                Idempotency::Idempotent,
                Idempotency::IdempotencyKey,
                Idempotency::NonIdempotent,
            ],
        ),
        idempotency_window: *pick(random, &[0, 300]) * MS,
        priority_weight: random.bool().then(|| f64::from(random.u32(1..5))),
        late_weight_fraction: *pick(random, &[0.0, 0.0, 0.3, 0.95]),
        completeness_threshold: *pick(random, &[1.0, 0.9]),
        minimum_coverage: *pick(random, &[0.0, 0.5, 0.8, 1.0]),
        partial_answer_value: 0.9,
        second_phase_parts: *pick(random, &[0, 0, 3]),
    }
}

fn pick<'a, T>(random: &mut fastrand::Rng, from: &'a [T]) -> &'a T {
    &from[random.usize(..from.len())]
}

/// A random line of the list, of few replicas, so that they go, return, restart and move.
pub fn member(random: &mut fastrand::Rng, now: u64, cells: u32, replicas: u64) -> Endpoint {
    Endpoint {
        replica: ReplicaId(random.u64(1..=replicas)),
        cell: random.u16(..cells as u16 + 2),
        zone: random.u16(..3),
        started: if random.u32(..3) == 0 {
            now.saturating_sub(random.u64(..4000) * MS)
        } else {
            0
        },
        status: *pick(
            random,
            &[
                EndpointStatus::Ready,
                EndpointStatus::Ready,
                EndpointStatus::Ready,
                EndpointStatus::Draining,
                EndpointStatus::Gone,
            ],
        ),
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    id: RequestId,
    group: u32,
}

/// What happens to one coordinator, batch by batch.
pub struct Script {
    random: fastrand::Rng,
    settings: Settings,
    replicas: u64,
    now: u64,
    last: u64,
    open: Vec<OpenQuery>,
    /// Outcomes to come, by time.
    due: BTreeMap<(u64, u64), Event>,
    /// Attempts made of each part.
    attempts: BTreeMap<RequestId, u8>,
    /// Replicas that never answer, that break every call, and that turn everything away.
    silent: BTreeSet<ReplicaId>,
    breaking: BTreeSet<ReplicaId>,
    full: BTreeSet<ReplicaId>,
    /// Queries a batch, in hundredths.
    load: u32,
    /// Batches between two changes of how a replica behaves, and between two lists.
    calm: u32,
}

impl Script {
    pub fn new(seed: u64) -> Script {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut random);
        let replicas = random.u64(1..=24);
        let load = *pick(&mut random, &[3, 10, 30]);
        let calm = *pick(&mut random, &[10, 60, 400]);
        let start = *pick(&mut random, &[0, 100_000 * MS]);
        Script {
            random,
            settings,
            replicas,
            now: start,
            last: 0,
            open: Vec::new(),
            due: BTreeMap::new(),
            attempts: BTreeMap::new(),
            silent: BTreeSet::new(),
            breaking: BTreeSet::new(),
            full: BTreeSet::new(),
            load,
            calm,
        }
    }

    pub fn settings(&self) -> Settings {
        self.settings.clone()
    }

    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The next batch, after these actions of the last one.
    pub fn batch(&mut self, actions: &[Action]) -> (u64, Vec<Event>) {
        for action in actions {
            self.follow(action);
        }
        self.now += match self.random.u32(..20) {
            0 => 0,
            1 => 1,
            2 => 5 * MS - 1,
            3 => self.random.u64(..100) * 5 * MS,
            4..8 => 25 * MS,
            _ => 5 * MS,
        };
        let mut events = Vec::new();
        if self.last == 0 {
            let endpoints = (0..3 * self.replicas).map(|_| self.member()).collect();
            events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            });
            self.number();
        }
        while let Some(entry) = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            events.push(entry.remove());
        }
        self.moods();
        self.lists(&mut events);
        self.queries(&mut events);
        self.departures(&mut events);
        (self.now, events)
    }

    fn member(&mut self) -> Endpoint {
        member(
            &mut self.random,
            self.now,
            self.settings.cells,
            self.replicas,
        )
    }

    /// Now and then replicas fall silent, break or fill up, and recover.
    fn moods(&mut self) {
        if self.random.u32(..self.calm) > 0 {
            return;
        }
        let replica = ReplicaId(self.random.u64(1..=self.replicas));
        for mood in [&mut self.silent, &mut self.breaking, &mut self.full] {
            mood.remove(&replica);
        }
        match self.random.u32(..5) {
            0 => self.silent.insert(replica),
            1 => self.breaking.insert(replica),
            2 => self.full.insert(replica),
            _ => false,
        };
    }

    fn lists(&mut self, events: &mut Vec<Event>) {
        if self.random.u32(..self.calm) > 0 {
            return;
        }
        let kind = match self.random.u32(..8) {
            0 => EndpointUpdateKind::Snapshot,
            1 => EndpointUpdateKind::CachedSnapshot,
            2 => EndpointUpdateKind::RequestFailed,
            _ => EndpointUpdateKind::Delta,
        };
        let most = match kind {
            EndpointUpdateKind::RequestFailed => 0,
            EndpointUpdateKind::Delta => 4,
            _ => 2 * self.replicas,
        };
        let endpoints = (0..self.random.u64(..=most))
            .map(|_| self.member())
            .collect();
        events.push(Event::EndpointsUpdated { kind, endpoints });
    }

    fn queries(&mut self, events: &mut Vec<Event>) {
        while self.open.len() < MOST_OPEN && self.random.u32(..100) < self.load {
            let class = self.random.usize(..self.settings.classes.len());
            let deadline = self.settings.classes[class].deadline;
            let query = OpenQuery {
                id: self.number(),
                group: self.last as u32,
            };
            events.push(Event::QueryReceived {
                id: query.id,
                group: query.group,
                class: class as u16,
                tenant: self.random.u32(..2),
                client_timeout: if self.random.u32(..10) == 0 {
                    deadline / 4
                } else {
                    deadline
                },
                network_delay: self.random.u64(..3) * 20 * MS,
                work: self.random.bool().then_some(50 * MS),
                client_retry: self.random.u32(..8) == 0,
            });
            self.open.push(query);
            if self.random.u32(..20) > 0 {
                self.parts(query.group, events);
            }
        }
        // Further parts of a query that is open, in a later batch.
        if !self.open.is_empty() && self.random.u32(..40) == 0 {
            let group = self.open[self.random.usize(..self.open.len())].group;
            self.parts(group, events);
        }
    }

    fn parts(&mut self, group: u32, events: &mut Vec<Event>) {
        let count = self.random.u32(1..=8);
        for _ in 0..count {
            let shard = self.random.u32(..2 * self.settings.cells + 1);
            let weight = if self.random.bool() {
                1.0 / f64::from(count)
            } else {
                self.random.f64() * 0.3
            };
            events.push(Event::PartReceived {
                id: self.number(),
                group,
                shard,
                weight,
            });
        }
    }

    fn departures(&mut self, events: &mut Vec<Event>) {
        if !self.open.is_empty() && self.random.u32(..30) == 0 {
            let gone = self.open.swap_remove(self.random.usize(..self.open.len()));
            events.push(Event::ClientDisconnected { id: gone.id });
        }
    }

    fn later(&mut self, after: u64, event: Event) {
        let number = self.number();
        self.due.insert((self.now + after, number), event);
    }

    fn follow(&mut self, action: &Action) {
        match *action {
            Action::Send {
                part,
                replica,
                expires_at,
            } => self.follow_send(part, replica, expires_at),
            Action::Cancel { part, attempt } if self.random.bool() => {
                let after = self.random.u64(..3) * 5 * MS;
                self.later(
                    after,
                    ended(part, attempt, ReplicaId(0), Outcome::Cancelled),
                );
            }
            Action::Probe { replica } => {
                let answers = !self.silent.contains(&replica) && self.random.u32(..4) > 0;
                let outcome = if answers {
                    Outcome::Ok
                } else {
                    Outcome::TimedOut
                };
                let latency = if answers { 5 * MS } else { 250 * MS };
                let report = LoadReport::new();
                self.later(
                    latency,
                    Event::ProbeEnded {
                        replica,
                        outcome,
                        latency,
                        report,
                    },
                );
            }
            Action::Answer { query, .. } => self.follow_answer(query),
            Action::Reject { query, .. } | Action::Fail { query } => {
                self.open.retain(|q| q.id != query)
            }
            _ => {}
        }
    }

    fn follow_send(&mut self, part: RequestId, replica: ReplicaId, until: u64) {
        let attempt = self.attempts.entry(part).or_default();
        let number = *attempt;
        *attempt += 1;
        let left = until.saturating_sub(self.now);
        let outcome = if self.silent.contains(&replica) {
            *pick(
                &mut self.random,
                &[Outcome::TimedOut, Outcome::ConnectFailed],
            )
        } else if self.breaking.contains(&replica) {
            Outcome::ConnectionReset
        } else if self.full.contains(&replica) {
            Outcome::Rejected
        } else if self.random.u32(..12) == 0 {
            *pick(
                &mut self.random,
                &[
                    Outcome::Error,
                    Outcome::NotSent,
                    Outcome::Rejected,
                    Outcome::TimedOut,
                ],
            )
        } else {
            Outcome::Ok
        };
        let after = match (outcome, self.random.u32(..10)) {
            (Outcome::TimedOut, _) => left,
            (_, 0) => self.random.u64(..400) * 5 * MS,
            (_, 1..4) => self.random.u64(..80) * 5 * MS,
            _ => self.random.u64(1..12) * 5 * MS,
        };
        if self.random.u32(..10) == 0 {
            self.later(
                after / 2,
                Event::StreamStarted {
                    part,
                    attempt: number,
                    replica,
                },
            );
        }
        self.later(after, ended(part, number, replica, outcome));
    }

    /// After the first of two steps the parts of the second may follow; a query without them ends by itself.
    fn follow_answer(&mut self, query: RequestId) {
        let Some(i) = self.open.iter().position(|q| q.id == query) else {
            return;
        };
        let two_steps = self
            .settings
            .classes
            .iter()
            .any(|class| class.second_phase_parts > 0);
        if !two_steps || self.random.u32(..4) == 0 {
            self.open.swap_remove(i);
            return;
        }
        let group = self.open[i].group;
        for _ in 0..self.random.u32(..4) {
            let shard = self.random.u32(..self.settings.cells);
            let id = self.number();
            self.later(
                5 * MS,
                Event::PartReceived {
                    id,
                    group,
                    shard,
                    weight: 0.3,
                },
            );
        }
    }
}

fn ended(part: RequestId, attempt: u8, replica: ReplicaId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        part,
        attempt,
        replica,
        outcome,
        report: LoadReport::new(),
    }
}
