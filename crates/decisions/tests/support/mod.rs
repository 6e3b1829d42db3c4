//! Shared helpers of the coordinator tests: builders of settings, endpoints and events, and a harness that passes
//! batches to a coordinator.

#![allow(dead_code)] // Each test file uses some of the helpers.

use cottonhill_decisions::{
    Action, Class, Coordinator, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Nanos,
    Outcome, ReplicaId, RequestId, Settings,
};

/// One millisecond, ns.
pub const MS: Nanos = 1_000_000;
/// Start of each test on the coordinator's clock.
pub const START: Nanos = 100_000 * MS;
/// Client timeout unless a test specifies another one.
const DEFAULT_CLIENT_TIMEOUT: Nanos = 6000 * MS;
/// Distance between the ids of two queries. The ids of a query's parts follow the query's id.
const IDS_PER_QUERY: u64 = 100;
const SEED: u64 = 7;

/// A class in which a complete answer requires all parts.
pub fn class(latency_objective_ms: u64, minimum_coverage: f64) -> Class {
    Class {
        latency_objective: latency_objective_ms * MS,
        deadline: 3 * latency_objective_ms * MS,
        completeness_threshold: 1.0,
        minimum_coverage,
        partial_answer_value: 0.9,
        ..Class::default()
    }
}

/// Settings with one cell, up to four attempts, cancellation and hedging, and no other limits.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        classes,
        cells: 1,
        replication_factor: 1,
        max_parts_per_call: Some(16),
        fleet_size: 2,
        batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_enabled: true,
        hedging_enabled: true,
        retry_after: 1000 * MS,
        ..Settings::default()
    }
}

/// Settings with one class that requires every part and has a latency objective of 2 s.
pub fn complete_only_settings() -> Settings {
    settings(vec![class(2000, 1.0)])
}

/// Settings with one class that requires every part, and clients that mark their retries.
pub fn marked_retry_settings() -> Settings {
    Settings {
        client_retries_marked: true,
        ..complete_only_settings()
    }
}

/// Settings with one class that requires every part, and one part per call.
pub fn unbatched_settings() -> Settings {
    Settings {
        max_parts_per_call: None,
        ..complete_only_settings()
    }
}

/// A ready endpoint that started long ago.
pub fn ready_endpoint(replica: u64) -> Endpoint {
    Endpoint {
        replica: ReplicaId(replica),
        cell: 0,
        zone: 0,
        started_at: 0,
        status: EndpointStatus::Ready,
    }
}

/// A part that was sent, and the replica that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentPart {
    pub part: RequestId,
    pub replica: ReplicaId,
}

/// The outcome of a query for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalReply {
    Complete,
    Partial,
    Rejected,
    Failed,
}

/// A coordinator under test and its clock. All times are milliseconds after [`START`].
pub struct Harness {
    pub coordinator: Coordinator,
    pub now: Nanos,
    next_query: u64,
}

impl Harness {
    /// Starts with a cached endpoint list of `replicas` ready replicas, numbered from 1.
    pub fn new(settings: Settings, replicas: u64) -> Harness {
        let mut harness = Harness::without_endpoints(settings, SEED);
        harness.update_endpoints(
            EndpointUpdateKind::CachedSnapshot,
            (1..=replicas).map(ready_endpoint).collect(),
        );
        harness
    }

    /// Starts with `endpoints` as a snapshot of the endpoint list.
    pub fn with_endpoints(settings: Settings, endpoints: Vec<Endpoint>) -> Harness {
        let mut harness = Harness::new(settings, 0);
        harness.update_endpoints(EndpointUpdateKind::Snapshot, endpoints);
        harness
    }

    /// Starts without any endpoint update.
    pub fn without_endpoints(settings: Settings, seed: u64) -> Harness {
        Harness {
            coordinator: Coordinator::new(settings, seed),
            now: START,
            next_query: 1,
        }
    }

    pub fn now_ms(&self) -> u64 {
        (self.now - START) / MS
    }

    /// Processes one batch.
    pub fn process(&mut self, at_ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = START + at_ms * MS;
        let mut actions = Vec::new();
        self.coordinator
            .process_batch(self.now, events, &mut actions);
        actions
    }

    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        self.process(
            self.now_ms(),
            &[Event::EndpointsUpdated { kind, endpoints }],
        );
    }

    /// Sends a query in a separate batch. Returns its id and the actions; the ids of its parts follow its own.
    pub fn submit(&mut self, at_ms: u64, query: Query) -> (RequestId, Vec<Action>) {
        let id = self.next_query * IDS_PER_QUERY;
        self.next_query += 1;
        (id, self.process(at_ms, &query.events(id)))
    }

    /// Sends a query with parts of these weights and the default client timeout.
    pub fn send_query(
        &mut self,
        at_ms: u64,
        class: u16,
        weights: &[f64],
    ) -> (RequestId, Vec<Action>) {
        self.submit(at_ms, Query::new(class, weights))
    }

    /// Sends a query of class 0 with one part and this client timeout.
    pub fn send_query_with_timeout(
        &mut self,
        at_ms: u64,
        client_timeout_ms: u64,
    ) -> (RequestId, Vec<Action>) {
        self.submit(
            at_ms,
            Query {
                client_timeout: client_timeout_ms * MS,
                ..Query::new(0, &[1.0])
            },
        )
    }

    /// Sends a query of class 0 with one part and this client timeout, marked as a client's retry.
    pub fn send_client_retry(
        &mut self,
        at_ms: u64,
        client_timeout_ms: u64,
    ) -> (RequestId, Vec<Action>) {
        self.submit(
            at_ms,
            Query {
                client_timeout: client_timeout_ms * MS,
                client_retry: true,
                ..Query::new(0, &[1.0])
            },
        )
    }

    /// Sends a query of one part that is answered after `latency_ms`. Returns the replica that answered.
    pub fn serve_query(&mut self, at_ms: u64, latency_ms: u64) -> ReplicaId {
        let (id, actions) = self.send_query(at_ms, 0, &[1.0]);
        let replica = first_replica(&actions);
        self.end_attempt(at_ms + latency_ms, id + 1, 0, replica, Outcome::Ok);
        replica
    }

    pub fn end_attempt(
        &mut self,
        at_ms: u64,
        part: RequestId,
        attempt: u8,
        replica: ReplicaId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.process(at_ms, &[attempt_ended(part, attempt, replica, outcome)])
    }

    pub fn disconnect_client(&mut self, at_ms: u64, query: RequestId) -> Vec<Action> {
        self.process(at_ms, &[Event::ClientDisconnected { id: query }])
    }

    pub fn fire_timer(&mut self, at_ms: u64) -> Vec<Action> {
        self.process(at_ms, &[Event::TimerFired { token: 0 }])
    }

    /// Fires the timer every 10 ms from `from_ms` to `to_ms`, inclusive. Returns all actions.
    pub fn run_timers(&mut self, from_ms: u64, to_ms: u64) -> Vec<Action> {
        (from_ms / 10..=to_ms / 10)
            .flat_map(|tick| self.fire_timer(tick * 10))
            .collect()
    }
}

/// A query sent by a client.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    pub class: u16,
    /// Weights of the query's parts, which search the shards 0, 1, ...
    pub weights: &'a [f64],
    pub client_timeout: Nanos,
    pub network_delay: Nanos,
    pub client_retry: bool,
}

impl Query<'_> {
    pub fn new(class: u16, weights: &[f64]) -> Query<'_> {
        Query {
            class,
            weights,
            client_timeout: DEFAULT_CLIENT_TIMEOUT,
            network_delay: 0,
            client_retry: false,
        }
    }

    fn events(&self, id: RequestId) -> Vec<Event> {
        let group = group_of(id);
        let mut events = vec![Event::QueryReceived {
            id,
            group,
            class: self.class,
            tenant: 0,
            client_timeout: self.client_timeout,
            network_delay: self.network_delay,
            work: None,
            client_retry: self.client_retry,
        }];
        let parts = self.weights.iter().zip(0..);
        events.extend(parts.map(|(weight, shard)| Event::PartReceived {
            id: id + 1 + u64::from(shard),
            group,
            shard,
            weight: *weight,
        }));
        events
    }
}

/// The group number that a query shares with its parts.
pub fn group_of(query: RequestId) -> u32 {
    (query / IDS_PER_QUERY) as u32
}

pub fn attempt_ended(part: RequestId, attempt: u8, replica: ReplicaId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        part,
        attempt,
        replica,
        outcome,
        report: vec![f32::NAN],
    }
}

/// Events that end the first attempts of these parts with the same outcome.
pub fn first_attempts_ended(sent: &[SentPart], outcome: Outcome) -> Vec<Event> {
    sent.iter()
        .map(|sent| attempt_ended(sent.part, 0, sent.replica, outcome))
        .collect()
}

/// The parts that are sent, in the order of the actions.
pub fn sent_parts(actions: &[Action]) -> Vec<SentPart> {
    let sent_part = |action: &Action| match action {
        Action::Send { part, replica, .. } => Some(SentPart {
            part: *part,
            replica: *replica,
        }),
        _ => None,
    };
    actions.iter().filter_map(sent_part).collect()
}

/// The replica that the first part is sent to.
pub fn first_replica(actions: &[Action]) -> ReplicaId {
    sent_parts(actions)[0].replica
}

/// The sent parts with ids above that of this query: its own parts and those of later queries.
pub fn parts_sent_after(actions: &[Action], query: RequestId) -> Vec<RequestId> {
    sent_parts(actions)
        .into_iter()
        .map(|sent| sent.part)
        .filter(|part| *part > query)
        .collect()
}

/// The final replies to queries, in the order of the actions.
pub fn final_replies(actions: &[Action]) -> Vec<FinalReply> {
    let final_reply = |action: &Action| match action {
        Action::Answer { complete: true, .. } => Some(FinalReply::Complete),
        Action::Answer {
            complete: false, ..
        } => Some(FinalReply::Partial),
        Action::Reject { .. } => Some(FinalReply::Rejected),
        Action::Fail { .. } => Some(FinalReply::Failed),
        _ => None,
    };
    actions.iter().filter_map(final_reply).collect()
}

/// Whether a log line contains this text.
pub fn is_logged(actions: &[Action], text: &str) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Log(line) if line.contains(text)))
}
