//! Builders and a harness shared by the tests of the coordinator: settings, endpoints, events and one coordinator that
//! is driven batch by batch.

#![allow(dead_code)] // Each test file uses its own part of it.

use cottonhill_decisions::{
    Action, Class, Coordinator, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Nanos,
    Outcome, ReplicaId, RequestId, Settings,
};

/// One millisecond, ns.
pub const MS: Nanos = 1_000_000;
/// When a test begins, on the coordinator's clock.
pub const START: Nanos = 100_000 * MS;
/// How long a client waits unless a test states something else.
const DEFAULT_CLIENT_TIMEOUT: Nanos = 6000 * MS;
/// Ids between two queries: a query's id is followed by those of its parts.
const IDS_PER_QUERY: u64 = 100;
const SEED: u64 = 7;

/// A class that needs all parts for a complete answer.
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

/// One cell, and everything allowed.
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
        max_retry_after: 1000 * MS,
        ..Settings::default()
    }
}

/// One class that needs every part, with a latency objective of 2 s.
pub fn complete_only_settings() -> Settings {
    settings(vec![class(2000, 1.0)])
}

/// One class that needs every part, and clients that mark their retries.
pub fn marked_retry_settings() -> Settings {
    Settings {
        client_retries_marked: true,
        ..complete_only_settings()
    }
}

/// One class that needs every part, each part sent in a call of its own.
pub fn unbatched_settings() -> Settings {
    Settings {
        max_parts_per_call: None,
        ..complete_only_settings()
    }
}

/// An endpoint that is ready and has long been running.
pub fn ready_endpoint(replica: u64) -> Endpoint {
    Endpoint {
        replica: ReplicaId(replica),
        cell: 0,
        zone: 0,
        started_at: 0,
        status: EndpointStatus::Ready,
    }
}

/// A part that was sent, and where.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentPart {
    pub part: RequestId,
    pub replica: ReplicaId,
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalReply {
    Complete,
    Partial,
    Rejected,
    Failed,
}

/// A coordinator under test and its clock. Times are milliseconds after [`START`].
pub struct Harness {
    pub coordinator: Coordinator,
    pub now: Nanos,
    next_query: u64,
}

impl Harness {
    /// With a cached list of so many ready replicas, numbered from 1.
    pub fn new(settings: Settings, replicas: u64) -> Harness {
        let mut harness = Harness::without_endpoints(settings, SEED);
        harness.update_endpoints(
            EndpointUpdateKind::CachedSnapshot,
            (1..=replicas).map(ready_endpoint).collect(),
        );
        harness
    }

    /// With this snapshot of the endpoint list.
    pub fn with_endpoints(settings: Settings, endpoints: Vec<Endpoint>) -> Harness {
        let mut harness = Harness::new(settings, 0);
        harness.update_endpoints(EndpointUpdateKind::Snapshot, endpoints);
        harness
    }

    /// Before any endpoint update.
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

    /// Sends a query in a batch of its own; its id, after which its parts are numbered, and the actions.
    pub fn submit(&mut self, at_ms: u64, query: Query) -> (RequestId, Vec<Action>) {
        let id = self.next_query * IDS_PER_QUERY;
        self.next_query += 1;
        (id, self.process(at_ms, &query.events(id)))
    }

    /// Sends a query with parts of these weights, whose client waits for long.
    pub fn send_query(
        &mut self,
        at_ms: u64,
        class: u16,
        weights: &[f64],
    ) -> (RequestId, Vec<Action>) {
        self.submit(at_ms, Query::new(class, weights))
    }

    /// Sends a query of class 0 with one part, whose client waits for so long.
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

    /// The same, marked as a client's retry.
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

    /// Sends a query of one part that is answered after `latency_ms`; the replica that answered.
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

    /// Fires the timer every 10 ms from one time to another, both included; all actions.
    pub fn run_timers(&mut self, from_ms: u64, to_ms: u64) -> Vec<Action> {
        (from_ms / 10..=to_ms / 10)
            .flat_map(|tick| self.fire_timer(tick * 10))
            .collect()
    }
}

/// A query as its client sends it.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    pub class: u16,
    /// Weights of its parts, which search the shards 0, 1, ...
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

/// The group that ties the parts of a query to it.
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

/// All these first attempts end alike.
pub fn first_attempts_ended(sent: &[SentPart], outcome: Outcome) -> Vec<Event> {
    sent.iter()
        .map(|sent| attempt_ended(sent.part, 0, sent.replica, outcome))
        .collect()
}

/// The parts that are sent, in order.
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

/// Of the parts that are sent, those that are numbered after this query: its own and those of later ones.
pub fn parts_sent_after(actions: &[Action], query: RequestId) -> Vec<RequestId> {
    sent_parts(actions)
        .into_iter()
        .map(|sent| sent.part)
        .filter(|part| *part > query)
        .collect()
}

/// How queries ended, in order.
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

/// Whether a line is logged that contains this text.
pub fn is_logged(actions: &[Action], text: &str) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Log(line) if line.contains(text)))
}
