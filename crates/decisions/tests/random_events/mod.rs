//! Random deployments and random events: endpoint updates, queries, parts, outcomes and disconnects, some of which
//! depend on the actions of a coordinator. The same seed and actions result in the same batches.

use crate::support::MS;
use cottonhill_decisions::{
    Action, Class, DiscoveryMode, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Idempotency,
    LoadReport, Nanos, Outcome, ReplicaId, RequestId, RetryBudget, Settings,
};
use std::collections::{BTreeMap, BTreeSet};

const MAX_OPEN_QUERIES: usize = 40;

/// Settings of a random deployment. Durations are multiples of 5 ms, so that batches coincide with time limits.
fn settings(random: &mut fastrand::Rng) -> Settings {
    let classes = (0..random.u32(1..=3)).map(|_| class(random)).collect();
    let slow_start = random.bool();
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
        retry_after: *pick(random, &[0, 500 * MS]),
        slow_start_initial_capacity: slow_start.then_some(0.25),
        slow_start_duration: if slow_start { 3000 * MS } else { 0 },
        overload_multiple: slow_start.then_some(2.0),
        overload_window: if slow_start { 500 * MS } else { 0 },
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
    let latency_objective = *pick(random, &[200, 1000, 2000]) * MS;
    Class {
        latency_objective,
        objective_per_expected_work: random.bool().then_some(2.0),
        deadline: latency_objective * random.u64(1..=3),
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

/// A random entry of the endpoint list. The number of replicas is small, so that replicas are removed, added again,
/// restarted and moved to other cells.
fn endpoint(random: &mut fastrand::Rng, now: Nanos, cells: u32, replicas: u64) -> Endpoint {
    Endpoint {
        replica: ReplicaId(random.u64(1..=replicas)),
        cell: random.u16(..cells as u16 + 2),
        zone: random.u16(..3),
        started_at: if random.u32(..3) == 0 {
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
                EndpointStatus::Removed,
            ],
        ),
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    id: RequestId,
    group: u32,
}

/// Generates the events of one random deployment, batch by batch.
pub struct Script {
    random: fastrand::Rng,
    settings: Settings,
    replicas: u64,
    now: u64,
    last_id: RequestId,
    open_queries: Vec<OpenQuery>,
    /// Future events by time and order of scheduling.
    scheduled: BTreeMap<(Nanos, u64), Event>,
    /// Number of attempts of each part.
    attempts: BTreeMap<RequestId, u8>,
    /// Replicas that do not answer.
    unresponsive: BTreeSet<ReplicaId>,
    /// Replicas that reset the connection of each call.
    resetting: BTreeSet<ReplicaId>,
    /// Replicas that reject every part.
    rejecting: BTreeSet<ReplicaId>,
    /// Probability that a batch contains another query, in percent.
    load_percent: u32,
    /// Mean number of batches between two changes of a replica's behavior, and between two endpoint updates.
    change_interval: u32,
}

impl Script {
    pub fn new(seed: u64) -> Script {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut random);
        let replicas = random.u64(1..=24);
        let load_percent = *pick(&mut random, &[3, 10, 30]);
        let change_interval = *pick(&mut random, &[10, 60, 400]);
        let start = *pick(&mut random, &[0, 100_000 * MS]);
        Script {
            random,
            settings,
            replicas,
            now: start,
            last_id: 0,
            open_queries: Vec::new(),
            scheduled: BTreeMap::new(),
            attempts: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            resetting: BTreeSet::new(),
            rejecting: BTreeSet::new(),
            load_percent,
            change_interval,
        }
    }

    pub fn settings(&self) -> Settings {
        self.settings.clone()
    }

    fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        self.last_id
    }

    /// Generates the next batch, given the actions of the previous one.
    pub fn next_batch(&mut self, actions: &[Action]) -> (u64, Vec<Event>) {
        for action in actions {
            self.react_to(action);
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
        if self.last_id == 0 {
            let endpoints = (0..3 * self.replicas).map(|_| self.endpoint()).collect();
            events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints,
            });
            self.next_id();
        }
        while let Some(entry) = self
            .scheduled
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            events.push(entry.remove());
        }
        self.change_replica_behavior();
        self.add_endpoint_update(&mut events);
        self.add_queries(&mut events);
        self.add_client_disconnect(&mut events);
        (self.now, events)
    }

    fn endpoint(&mut self) -> Endpoint {
        endpoint(
            &mut self.random,
            self.now,
            self.settings.cells,
            self.replicas,
        )
    }

    /// Occasionally makes a replica unresponsive, lets it reset connections or reject parts, or lets it recover.
    fn change_replica_behavior(&mut self) {
        if self.random.u32(..self.change_interval) > 0 {
            return;
        }
        let replica = ReplicaId(self.random.u64(1..=self.replicas));
        for replicas in [
            &mut self.unresponsive,
            &mut self.resetting,
            &mut self.rejecting,
        ] {
            replicas.remove(&replica);
        }
        match self.random.u32(..5) {
            0 => self.unresponsive.insert(replica),
            1 => self.resetting.insert(replica),
            2 => self.rejecting.insert(replica),
            _ => false,
        };
    }

    fn add_endpoint_update(&mut self, events: &mut Vec<Event>) {
        if self.random.u32(..self.change_interval) > 0 {
            return;
        }
        let kind = match self.random.u32(..8) {
            0 => EndpointUpdateKind::Snapshot,
            1 => EndpointUpdateKind::CachedSnapshot,
            2 => EndpointUpdateKind::RequestFailed,
            _ => EndpointUpdateKind::Delta,
        };
        let max_entries = match kind {
            EndpointUpdateKind::RequestFailed => 0,
            EndpointUpdateKind::Delta => 4,
            _ => 2 * self.replicas,
        };
        let endpoints = (0..self.random.u64(..=max_entries))
            .map(|_| self.endpoint())
            .collect();
        events.push(Event::EndpointsUpdated { kind, endpoints });
    }

    fn add_queries(&mut self, events: &mut Vec<Event>) {
        while self.open_queries.len() < MAX_OPEN_QUERIES
            && self.random.u32(..100) < self.load_percent
        {
            let class = self.random.usize(..self.settings.classes.len());
            let deadline = self.settings.classes[class].deadline;
            let query = OpenQuery {
                id: self.next_id(),
                group: self.last_id as u32,
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
            self.open_queries.push(query);
            if self.random.u32(..20) > 0 {
                self.add_parts(query.group, events);
            }
        }
        // Adds parts to an open query in a later batch.
        if !self.open_queries.is_empty() && self.random.u32(..40) == 0 {
            let group = self.open_queries[self.random.usize(..self.open_queries.len())].group;
            self.add_parts(group, events);
        }
    }

    fn add_parts(&mut self, group: u32, events: &mut Vec<Event>) {
        let count = self.random.u32(1..=8);
        for _ in 0..count {
            let shard = self.random.u32(..2 * self.settings.cells + 1);
            let weight = if self.random.bool() {
                1.0 / f64::from(count)
            } else {
                self.random.f64() * 0.3
            };
            events.push(Event::PartReceived {
                id: self.next_id(),
                group,
                shard,
                weight,
            });
        }
    }

    fn add_client_disconnect(&mut self, events: &mut Vec<Event>) {
        if !self.open_queries.is_empty() && self.random.u32(..30) == 0 {
            let disconnected = self
                .open_queries
                .swap_remove(self.random.usize(..self.open_queries.len()));
            events.push(Event::ClientDisconnected {
                id: disconnected.id,
            });
        }
    }

    fn schedule(&mut self, after: Nanos, event: Event) {
        let order = self.next_id();
        self.scheduled.insert((self.now + after, order), event);
    }

    fn react_to(&mut self, action: &Action) {
        match *action {
            Action::Send {
                part,
                replica,
                expires_at,
            } => self.schedule_attempt_end(part, replica, expires_at),
            Action::Cancel { part, attempt } if self.random.bool() => {
                let after = self.random.u64(..3) * 5 * MS;
                self.schedule(
                    after,
                    attempt_ended(part, attempt, ReplicaId(0), Outcome::Cancelled),
                );
            }
            Action::Probe { replica } => self.schedule_probe_end(replica),
            Action::Answer { query, .. } => self.schedule_second_phase(query),
            Action::Reject { query, .. } | Action::Fail { query } => {
                self.open_queries.retain(|open| open.id != query)
            }
            _ => {}
        }
    }

    fn schedule_probe_end(&mut self, replica: ReplicaId) {
        let answers = !self.unresponsive.contains(&replica) && self.random.u32(..4) > 0;
        let (outcome, latency) = if answers {
            (Outcome::Ok, 5 * MS)
        } else {
            (Outcome::TimedOut, 250 * MS)
        };
        let probe_ended = Event::ProbeEnded {
            replica,
            outcome,
            latency,
            report: LoadReport::new(),
        };
        self.schedule(latency, probe_ended);
    }

    fn schedule_attempt_end(&mut self, part: RequestId, replica: ReplicaId, expires_at: Nanos) {
        let next_attempt = self.attempts.entry(part).or_default();
        let attempt = *next_attempt;
        *next_attempt += 1;
        let outcome = self.pick_outcome(replica);
        let after = match (outcome, self.random.u32(..10)) {
            (Outcome::TimedOut, _) => expires_at.saturating_sub(self.now),
            (_, 0) => self.random.u64(..400) * 5 * MS,
            (_, 1..4) => self.random.u64(..80) * 5 * MS,
            _ => self.random.u64(1..12) * 5 * MS,
        };
        if self.random.u32(..10) == 0 {
            let stream_started = Event::StreamStarted {
                part,
                attempt,
                replica,
            };
            self.schedule(after / 2, stream_started);
        }
        self.schedule(after, attempt_ended(part, attempt, replica, outcome));
    }

    fn pick_outcome(&mut self, replica: ReplicaId) -> Outcome {
        const UNRESPONSIVE_OUTCOMES: [Outcome; 2] = [Outcome::TimedOut, Outcome::ConnectFailed];
        const RARE_FAILURES: [Outcome; 4] = [
            Outcome::Error,
            Outcome::NotSent,
            Outcome::Rejected,
            Outcome::TimedOut,
        ];
        if self.unresponsive.contains(&replica) {
            *pick(&mut self.random, &UNRESPONSIVE_OUTCOMES)
        } else if self.resetting.contains(&replica) {
            Outcome::ConnectionReset
        } else if self.rejecting.contains(&replica) {
            Outcome::Rejected
        } else if self.random.u32(..12) == 0 {
            *pick(&mut self.random, &RARE_FAILURES)
        } else {
            Outcome::Ok
        }
    }

    /// Schedules the parts of the second phase for some of the queries. A query that receives no such parts ends
    /// without further events.
    fn schedule_second_phase(&mut self, query: RequestId) {
        let Some(i) = self.open_queries.iter().position(|open| open.id == query) else {
            return;
        };
        let has_two_phases = self
            .settings
            .classes
            .iter()
            .any(|class| class.second_phase_parts > 0);
        if !has_two_phases || self.random.u32(..4) == 0 {
            self.open_queries.swap_remove(i);
            return;
        }
        let group = self.open_queries[i].group;
        for _ in 0..self.random.u32(..4) {
            let shard = self.random.u32(..self.settings.cells);
            let id = self.next_id();
            self.schedule(
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

fn attempt_ended(part: RequestId, attempt: u8, replica: ReplicaId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        part,
        attempt,
        replica,
        outcome,
        report: LoadReport::new(),
    }
}
