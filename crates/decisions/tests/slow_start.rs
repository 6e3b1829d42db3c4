//! The ramp of a cold replica holds for the fleet: many modules side by side, with uneven load, and what they send to
//! one cold replica together, over any window, against what the settings allow it.

use cottonhill_decisions::Coordinator;
use cottonhill_decisions::{
    Action, Class, Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport, Outcome,
    ReplicaId, Settings,
};
use std::collections::{BTreeMap, VecDeque};

const MS: u64 = 1_000_000;
const START: u64 = 100_000 * MS;
const STEP: u64 = 10;
/// What one warm replica can do in a second.
const CAPACITY: f64 = 60.0;
const REPLICAS: u64 = 8;
const COLD: ReplicaId = ReplicaId(100);

#[derive(Clone, Copy, Debug)]
struct Fleet {
    modules: u32,
    seed: u64,
    /// Of what all replicas can do, the share that clients ask for, and the one that the tenants' allowances tell of.
    load: f64,
    told: f64,
    /// How long all modules have run before one replica is replaced.
    warm_up: u64,
    /// Whether clients come in bursts that all modules see at once.
    bursts: bool,
    /// From the replacement on the shard of the cold replica is asked for so many times as often.
    hot: f64,
}

fn settings(fleet: Fleet) -> Settings {
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
        fleet_size: fleet.modules,
        batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_enabled: true,
        hedging_enabled: true,
        max_retry_after: 500 * MS,
        slow_start_initial_capacity: Some(0.25),
        slow_start_duration: 6000 * MS,
        overload_multiple: Some(2.0),
        overload_window: 1500 * MS,
        fleet_rate_limit: fleet.told * CAPACITY * REPLICAS as f64,
        ..Settings::default()
    }
}

fn member(replica: ReplicaId, cell: u16, status: EndpointStatus, started: u64) -> Endpoint {
    Endpoint {
        replica,
        cell,
        zone: 0,
        started,
        status,
    }
}

/// When parts went to the cold replica, in ms after its start.
fn sent_to_the_cold_one(fleet: Fleet) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(fleet.seed);
    let all = settings(fleet);
    let mut modules: Vec<Coordinator> = (0..fleet.modules)
        .map(|i| Coordinator::new(all.clone(), fleet.seed * 7919 + u64::from(i)))
        .collect();
    // Some see several times the mean.
    let weights: Vec<f64> = modules
        .iter()
        .map(|_| [0.4, 0.6, 1.0, 2.5][random.usize(..4)])
        .collect();
    let total: f64 = weights.iter().sum();
    let rate = fleet.load * CAPACITY * REPLICAS as f64 * STEP as f64 / 1000.0;
    let mut due: VecDeque<(u64, usize, u64, u8, ReplicaId)> = VecDeque::new();
    // Attempts made so far, by part: each ends under its own number.
    let mut attempts: BTreeMap<u64, u8> = BTreeMap::new();
    // One replica in cell 0, the rest in cell 1: nobody else holds the shard of the one that is replaced.
    let list: Vec<Endpoint> = (1..=REPLICAS)
        .map(|r| member(ReplicaId(r), u16::from(r > 1), EndpointStatus::Ready, 0))
        .collect();
    for module in &mut modules {
        module.process_batch(
            START,
            &[Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Snapshot,
                endpoints: list.clone(),
            }],
            &mut Vec::new(),
        );
    }
    let (mut next, mut sent) = (0u64, Vec::new());
    let start = fleet.warm_up;
    for ms in (0..start + 6_000).step_by(STEP as usize) {
        let now = START + ms * MS;
        let mut events: Vec<Vec<Event>> = modules.iter().map(|_| Vec::new()).collect();
        if ms == start {
            let endpoints = vec![
                member(ReplicaId(1), 0, EndpointStatus::Gone, 0),
                member(COLD, 0, EndpointStatus::Ready, now - MS),
            ];
            events.iter_mut().for_each(|e| {
                e.push(Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Delta,
                    endpoints: endpoints.clone(),
                });
            });
        }
        while due.front().is_some_and(|(at, ..)| *at <= ms) {
            let (_, i, part, attempt, replica) = due.pop_front().unwrap();
            let report = LoadReport::new();
            events[i].push(Event::AttemptEnded {
                part,
                attempt,
                replica,
                outcome: Outcome::Ok,
                report,
            });
        }
        // Bursts: nothing for 200 ms, then all of it.
        let rate = match (fleet.bursts, ms % 200) {
            (false, _) => rate,
            (true, 0) => rate * 200.0 / STEP as f64,
            (true, _) => 0.0,
        };
        for (i, weight) in weights.iter().enumerate() {
            let mut asked =
                |mean: f64| mean.floor() as u64 + u64::from(random.f64() < mean.fract());
            let cold = if ms >= start { fleet.hot } else { 1.0 } / REPLICAS as f64;
            let others = asked(rate * weight / total * (1.0 - 1.0 / REPLICAS as f64));
            for n in 0..others + asked(rate * weight / total * cold) {
                next += 2;
                let (id, group) = (next, next as u32);
                let shard = u32::from(n < others);
                let client_timeout = 4000 * MS;
                events[i].push(Event::QueryReceived {
                    id,
                    group,
                    class: 0,
                    tenant: 0,
                    client_timeout,
                    network_delay: 0,
                    work: None,
                    client_retry: false,
                });
                events[i].push(Event::PartReceived {
                    id: id + 1,
                    group,
                    shard,
                    weight: 1.0,
                });
            }
        }
        for (i, module) in modules.iter_mut().enumerate() {
            let mut actions = Vec::new();
            if events[i].is_empty() {
                events[i].push(Event::TimerFired { token: 0 });
            }
            module.process_batch(now, &events[i], &mut actions);
            for action in actions {
                if let Action::Send { part, replica, .. } = action {
                    let attempt = attempts.entry(part).or_default();
                    due.push_back((ms + 50, i, part, *attempt, replica));
                    *attempt += 1;
                    if replica == COLD {
                        sent.push(ms - start);
                    }
                }
            }
        }
    }
    sent
}

/// By how much the worst window exceeds its budget, in what is put down to chance; up to 1 is chance.
fn worst(fleet: Fleet) -> (f64, usize, f64) {
    let all = settings(fleet);
    let (span, cold) = (all.overload_window / MS, all.slow_start_duration / MS);
    let sent = sent_to_the_cold_one(fleet);
    let (from, multiple) = (
        all.slow_start_initial_capacity.unwrap(),
        all.overload_multiple.unwrap(),
    );
    let mut worst = (f64::MIN, 0, 0.0);
    for end in (STEP..cold).step_by(STEP as usize) {
        let since = (end + STEP).saturating_sub(span);
        let count = sent.iter().filter(|at| (since..=end).contains(at)).count();
        // What it can do grows evenly; the middle of the window is its mean.
        let warmth = from + (1.0 - from) * (end as f64 - span as f64 / 2.0).max(0.0) / cold as f64;
        let budget = multiple * warmth * CAPACITY * span as f64 / 1000.0;
        let over = (count as f64 - budget) / (2.0 * budget.sqrt() + 2.0);
        if over > worst.0 {
            worst = (over, count, budget);
        }
    }
    worst
}

#[test]
fn a_fleet_keeps_to_what_a_cold_replica_bears_over_any_window() {
    let mut failed = Vec::new();
    for modules in [20, 30, 300] {
        for (load, told, warm_up, bursts) in [
            // Nothing is told: the guide is what was answered, up to all that the replicas can do.
            (1.0, 0.0, 24_000, false),
            (1.0, 0.0, 24_000, true),
            (0.6, 0.94, 24_000, false),
            (0.6, 0.94, 24_000, true),
            // All have just started.
            (0.9, 0.94, 100, true),
            (0.9, 0.94, 100, false),
        ] {
            for seed in 1..=2 {
                let fleet = Fleet {
                    modules,
                    seed,
                    load,
                    told,
                    warm_up,
                    bursts,
                    hot: 10.0,
                };
                let (over, count, budget) = worst(fleet);
                eprintln!(
                    "{fleet:?}: {count} parts where {budget:.0} are allowed, {over:.2} of what is chance"
                );
                if over > 1.0 {
                    failed.push(format!(
                        "{fleet:?}: {count} parts where {budget:.0} are allowed"
                    ));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
