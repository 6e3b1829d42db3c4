//! The cost of a batch in operations: it depends on the parts of the batch's queries and on their holders, not on the
//! size of the fleet or the number of open queries.

mod support;

use cottonhill_decisions::{
    Action, Class, Coordinator, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport,
    Outcome, ReplicaId, RequestId, Settings,
};
use support::{MS, START};

const REPLICAS_PER_SHARD: u64 = 3;
const PARTS_PER_QUERY: u64 = 69;

fn settings(replicas: u64) -> Settings {
    let class = Class {
        latency_objective: 2000 * MS,
        deadline: 6000 * MS,
        completeness_threshold: 1.0,
        minimum_coverage: 1.0,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        cells: replicas.div_ceil(REPLICAS_PER_SHARD) as u32,
        replication_factor: 1,
        fleet_size: 1,
        batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_enabled: true,
        hedging_enabled: true,
        probing_enabled: true,
        // Enables slow start, so that its cost is included.
        slow_start_initial_capacity: Some(0.25),
        slow_start_duration: 6000 * MS,
        overload_multiple: Some(2.0),
        overload_window: 1500 * MS,
        ..Settings::default()
    }
}

fn endpoint(index: u64) -> Endpoint {
    // The third holder of each shard has just started.
    let has_just_started = index % REPLICAS_PER_SHARD == 2;
    Endpoint {
        replica: ReplicaId(index + 1),
        cell: (index / REPLICAS_PER_SHARD) as u16,
        zone: 0,
        started_at: if has_just_started { START - MS } else { 0 },
        status: EndpointStatus::Ready,
    }
}

/// One coordinator of a fleet of leaf servers, and the actions of its last batch.
struct Harness {
    coordinator: Coordinator,
    now: u64,
    actions: Vec<Action>,
}

impl Harness {
    fn new(replicas: u64) -> Harness {
        let mut harness = Harness {
            coordinator: Coordinator::new(settings(replicas), 7),
            now: START,
            actions: Vec::new(),
        };
        let snapshot = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            endpoints: (0..replicas).map(endpoint).collect(),
        };
        harness.process(0, &[snapshot]);
        harness
    }

    /// Processes a batch `after_ms` after the previous one. Returns the number of replicas visited.
    fn process(&mut self, after_ms: u64, events: &[Event]) -> u64 {
        self.now += after_ms * MS;
        self.actions.clear();
        let before = self.coordinator.replicas_visited();
        self.coordinator
            .process_batch(self.now, events, &mut self.actions);
        self.coordinator.replicas_visited() - before
    }

    fn send_query(&mut self, id: RequestId) -> u64 {
        self.process(5, &query(id))
    }

    /// Processes a batch 5 ms after the previous one. Returns the number of queries processed.
    fn queries_processed_by(&mut self, events: &[Event]) -> u64 {
        let before = self.coordinator.queries_processed();
        self.process(5, events);
        self.coordinator.queries_processed() - before
    }

    /// Events that end the parts sent in the last batch with the same outcome.
    fn outcomes(&self, outcome: Outcome) -> Vec<Event> {
        let attempt_ended = |action: &Action| match *action {
            Action::Send { part, replica, .. } => Some(Event::AttemptEnded {
                part,
                attempt: 0,
                replica,
                outcome,
                report: LoadReport::new(),
            }),
            _ => None,
        };
        self.actions.iter().filter_map(attempt_ended).collect()
    }
}

/// A query with its parts.
fn query(id: RequestId) -> Vec<Event> {
    let group = id as u32;
    let mut events = vec![Event::QueryReceived {
        id,
        group,
        class: 0,
        tenant: 0,
        client_timeout: 6000 * MS,
        network_delay: 0,
        work: None,
        client_retry: false,
    }];
    let part = |index| Event::PartReceived {
        id: id + 1 + index,
        group,
        shard: index as u32,
        weight: 1.0 / PARTS_PER_QUERY as f64,
    };
    events.extend((0..PARTS_PER_QUERY).map(part));
    events
}

/// The number of replicas visited in each batch: for a query, the answers to its parts, a second query, the failure of
/// some of its parts, the hedging of the others, and an endpoint update.
fn replicas_visited(replicas: u64) -> Vec<u64> {
    let mut harness = Harness::new(replicas);
    let mut visited = vec![harness.send_query(1000)];
    let answers = harness.outcomes(Outcome::Ok);
    visited.push(harness.process(60, &answers));
    visited.push(harness.send_query(2000));
    let failures = harness.outcomes(Outcome::ConnectionReset);
    visited.push(harness.process(60, &failures[..5]));
    visited.push(harness.process(400, &[]));
    let removed = Endpoint {
        status: EndpointStatus::Removed,
        ..endpoint(0)
    };
    let added = Endpoint {
        replica: ReplicaId(replicas + 1),
        ..endpoint(0)
    };
    let update = Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Delta,
        endpoints: vec![removed, added],
    };
    visited.push(harness.process(5, &[update]));
    visited
}

#[test]
fn replicas_visited_per_batch_do_not_grow_with_fleet_size() {
    let small_fleet = replicas_visited(300);
    assert!(
        small_fleet[0] >= PARTS_PER_QUERY * REPLICAS_PER_SHARD,
        "{small_fleet:?}"
    );
    assert_eq!(small_fleet, replicas_visited(30_000));
}

/// The number of queries processed in each batch while `open_queries` other queries are open: for a query, for each
/// answer to its parts, and for an empty batch.
fn queries_processed(open_queries: u64) -> Vec<u64> {
    let mut harness = Harness::new(300);
    for i in 0..open_queries {
        harness.process(0, &query(1_000_000 + i * 1000));
    }
    let mut processed = vec![harness.queries_processed_by(&query(1000))];
    for answer in harness.outcomes(Outcome::Ok) {
        processed.push(harness.queries_processed_by(&[answer]));
        if harness.now > START + 100 * MS {
            // The other open queries are hedged soon after this.
            break;
        }
    }
    processed.push(harness.queries_processed_by(&[]));
    processed
}

#[test]
fn queries_processed_per_batch_do_not_grow_with_open_queries() {
    let few_open = queries_processed(8);
    assert!(
        few_open.len() > 10
            && few_open[..few_open.len() - 1]
                .iter()
                .all(|count| *count == 1),
        "{few_open:?}"
    );
    assert_eq!(
        few_open[few_open.len() - 1],
        0,
        "a batch without events processes no query"
    );
    assert_eq!(few_open, queries_processed(512));
}
