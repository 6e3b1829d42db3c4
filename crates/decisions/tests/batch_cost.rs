//! What a batch costs, in operations: it depends on the parts of its queries and their holders, not on the size of
//! the fleet or on all that is open.

use cottonhill_decisions::Coordinator;
use cottonhill_decisions::{
    Action, Class, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport, Outcome,
    ReplicaId, Settings,
};

const MS: u64 = 1_000_000;
const START: u64 = 100_000 * MS;
const COPIES: u64 = 3;
const PARTS: u64 = 69;

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
        cells: replicas.div_ceil(COPIES) as u32,
        replication_factor: 1,
        fleet_size: 1,
        batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_enabled: true,
        hedging_enabled: true,
        probing_enabled: true,
        // So that the room of cold servers is worked out, too.
        slow_start_initial_capacity: Some(0.25),
        slow_start_duration: 6000 * MS,
        overload_multiple: Some(2.0),
        overload_window: 1500 * MS,
        ..Settings::default()
    }
}

fn member(replica: u64) -> Endpoint {
    // The third holder of each shard has just started.
    let started = if replica % COPIES == 2 { START - MS } else { 0 };
    let cell = (replica / COPIES) as u16;
    Endpoint {
        replica: ReplicaId(replica + 1),
        cell,
        zone: 0,
        started,
        status: EndpointStatus::Ready,
    }
}

struct Fleet {
    module: Coordinator,
    now: u64,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(replicas: u64) -> Fleet {
        let module = Coordinator::new(settings(replicas), 7);
        let mut fleet = Fleet {
            module,
            now: START,
            actions: Vec::new(),
        };
        fleet.batch(
            0,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints: (0..replicas).map(member).collect(),
            }],
        );
        fleet
    }

    /// Takes events so many milliseconds after the last ones; what that visited.
    fn batch(&mut self, after: u64, events: &[Event]) -> u64 {
        self.now += after * MS;
        self.actions.clear();
        let before = self.module.replicas_visited();
        self.module
            .process_batch(self.now, events, &mut self.actions);
        self.module.replicas_visited() - before
    }

    fn query(&mut self, id: u64) -> u64 {
        self.query_after(5, id)
    }

    fn query_after(&mut self, after: u64, id: u64) -> u64 {
        self.batch(after, &query(id))
    }

    /// The end of the parts sent last.
    fn outcomes(&self, outcome: Outcome) -> Vec<Event> {
        let ended = |action: &Action| match *action {
            Action::Send { part, replica, .. } => Some(Event::AttemptEnded {
                part,
                attempt: 0,
                replica,
                outcome,
                report: LoadReport::new(),
            }),
            _ => None,
        };
        self.actions.iter().filter_map(ended).collect()
    }
}

/// A query with its parts.
fn query(id: u64) -> Vec<Event> {
    let (group, client_timeout) = (id as u32, 6000 * MS);
    let mut events = vec![Event::QueryReceived {
        id,
        group,
        class: 0,
        tenant: 0,
        client_timeout,
        network_delay: 0,
        work: None,
        client_retry: false,
    }];
    let part = |i| Event::PartReceived {
        id: id + 1 + i,
        group,
        shard: i as u32,
        weight: 1.0 / PARTS as f64,
    };
    events.extend((0..PARTS).map(part));
    events
}

/// A query, the answers to its parts, one that fails, one that is silent, and a change of the list.
fn visits(replicas: u64) -> Vec<u64> {
    let mut fleet = Fleet::new(replicas);
    let mut visits = vec![fleet.query(1000)];
    let answers = fleet.outcomes(Outcome::Ok);
    visits.push(fleet.batch(60, &answers));
    visits.push(fleet.query(2000));
    let failures = fleet.outcomes(Outcome::ConnectionReset);
    visits.push(fleet.batch(60, &failures[..5]));
    visits.push(fleet.batch(400, &[]));
    let gone = Endpoint {
        status: EndpointStatus::Gone,
        ..member(0)
    };
    let new = Endpoint {
        replica: ReplicaId(replicas + 1),
        ..member(0)
    };
    visits.push(fleet.batch(
        5,
        &[Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: vec![gone, new],
        }],
    ));
    visits
}

#[test]
fn a_batch_visits_as_many_replicas_in_a_large_fleet_as_in_a_small_one() {
    let small = visits(300);
    assert!(small[0] >= PARTS * COPIES, "{small:?}");
    assert_eq!(small, visits(30_000));
}

/// How many queries are tended for a query and for each answer to its parts, beside so many that are open.
fn tended(open: u64) -> Vec<u64> {
    let mut fleet = Fleet::new(300);
    for i in 0..open {
        fleet.query_after(0, 1_000_000 + i * 1000);
    }
    let mut tended = Vec::new();
    let mut batch = |fleet: &mut Fleet, events: &[Event]| {
        let before = fleet.module.queries_processed();
        fleet.batch(5, events);
        tended.push(fleet.module.queries_processed() - before);
    };
    batch(&mut fleet, &query(1000));
    for answer in fleet.outcomes(Outcome::Ok) {
        batch(&mut fleet, &[answer]);
        if fleet.now > START + 100 * MS {
            // The others come to the time of their copies.
            break;
        }
    }
    batch(&mut fleet, &[]);
    tended
}

#[test]
fn a_batch_tends_no_more_queries_where_many_are_open() {
    let few = tended(8);
    assert!(
        few.len() > 10 && few[..few.len() - 1].iter().all(|count| *count == 1),
        "{few:?}"
    );
    assert_eq!(few[few.len() - 1], 0, "nothing happened");
    assert_eq!(few, tended(512));
}
