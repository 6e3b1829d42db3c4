//! Slow start: the number of parts that a replica receives while it is warming up, from one coordinator and from a
//! fleet.

mod fleet_simulation;
mod support;

use cottonhill_decisions::{
    Action, Endpoint, EndpointStatus, EndpointUpdateKind, Outcome, ReplicaId, RetryBudget, Settings,
};
use fleet_simulation::{find_worst_window, Fleet};
use support::{complete_only_settings, ready_endpoint, sent_parts, Harness, MS, START};

/// A replica starts with a fifth of its capacity, reaches full capacity after 10 s, and fails at four times its current
/// capacity.
fn slow_start_settings() -> Settings {
    Settings {
        fleet_size: 1,
        slow_start_initial_capacity: Some(0.2),
        slow_start_duration: 10_000 * MS,
        overload_multiple: Some(4.0),
        overload_window: 1000 * MS,
        ..complete_only_settings()
    }
}

/// A replica that starts just before the test.
fn warming_endpoint() -> Endpoint {
    Endpoint {
        started_at: START - MS,
        ..ready_endpoint(1)
    }
}

/// A second replica, which starts just before 10 s after the start of the test.
fn later_warming_endpoint() -> Endpoint {
    Endpoint {
        started_at: START + 9_990 * MS,
        ..ready_endpoint(2)
    }
}

fn parts_sent_to(actions: &[Action], replica: ReplicaId) -> usize {
    sent_parts(actions)
        .iter()
        .filter(|sent| sent.replica == replica)
        .count()
}

#[test]
fn limits_burst_to_warming_replica() {
    let mut harness = Harness::with_endpoints(slow_start_settings(), vec![warming_endpoint()]);
    let burst: usize = (0..50)
        .map(|at_ms| sent_parts(&harness.send_query(at_ms, 0, &[0.5, 0.5]).1).len())
        .sum();
    assert!(
        burst <= 3,
        "{burst} parts sent to a warming replica within 50 ms"
    );
}

#[test]
fn slow_start_limit_recovers_with_time() {
    let mut harness = Harness::with_endpoints(slow_start_settings(), vec![warming_endpoint()]);
    let (_, first) = harness.send_query(0, 0, &[1.0]);
    assert_eq!(sent_parts(&first).len(), 1);
    let (_, second) = harness.send_query(10, 0, &[1.0]);
    assert_eq!(sent_parts(&second).len(), 0);
    assert!(
        !sent_parts(&harness.run_timers(1020, 1500)).is_empty(),
        "the limit allows more without a further query"
    );
}

/// If each of many coordinators sent one part per window, they would overload a warming replica together.
#[test]
fn coordinators_share_capacity_of_warming_replica() {
    let fleet_of_fifty = Settings {
        fleet_size: 50,
        ..slow_start_settings()
    };
    let mut parts = 0;
    for seed in 0..50 {
        let mut harness = Harness::without_endpoints(fleet_of_fifty.clone(), seed);
        harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![warming_endpoint()]);
        let (_, actions) = harness.send_query(0, 0, &[1.0]);
        parts += sent_parts(&actions).len();
    }
    assert!(
        parts <= 5,
        "{parts} simultaneous parts from 50 coordinators that have just started"
    );
}

/// The retry budget retains times for longer than the overload window. The limit of a warming replica must not include
/// the older ones.
#[test]
fn long_retry_budget_window_does_not_raise_slow_start_limit() {
    let long_budget = Settings {
        retry_budget: Some(RetryBudget {
            minimum: 10.0,
            ratio: 0.2,
            window: 10_000 * MS,
        }),
        ..slow_start_settings()
    };
    let mut harness = Harness::new(long_budget, 1);
    for i in 0..100 {
        harness.serve_query(i * 100, 50);
    }
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![later_warming_endpoint()]);
    let to_warming: usize = (0..40)
        .map(|i| parts_sent_to(&harness.send_query(10_000 + i, 0, &[1.0]).1, ReplicaId(2)))
        .sum();
    assert!(
        (1..=6).contains(&to_warming),
        "{to_warming} parts for a replica that sustains about 4"
    );
}

/// Sends a query every 20 ms for one second, each of which is answered after `latency_ms` if that is `Some`. Returns
/// the number of parts sent on the arrival of each query.
fn parts_sent_in_a_second(
    harness: &mut Harness,
    from_ms: u64,
    latency_ms: Option<u64>,
) -> Vec<usize> {
    let mut parts = Vec::new();
    for at_ms in (0..50).map(|i| from_ms + i * 20) {
        let (id, actions) = harness.send_query(at_ms, 0, &[1.0]);
        let sent = sent_parts(&actions);
        parts.push(sent.len());
        if let (Some(latency_ms), Some(first)) = (latency_ms, sent.first()) {
            harness.end_attempt(at_ms + latency_ms, id + 1, 0, first.replica, Outcome::Ok);
        }
    }
    parts
}

/// Number of parts that the only replica receives in its first second.
fn parts_sent_to_warming_replica(fleet_rate_limit: f64, latency_ms: Option<u64>) -> usize {
    let settings = Settings {
        fleet_rate_limit,
        ..slow_start_settings()
    };
    let mut harness = Harness::with_endpoints(settings, vec![warming_endpoint()]);
    parts_sent_in_a_second(&mut harness, 0, latency_ms)
        .iter()
        .sum()
}

/// A coordinator that has just started or sends few parts to each of many replicas has observed too little load to
/// derive a limit from. Without the rate limit, warming replicas would be idle while the others are overloaded.
#[test]
fn slow_start_limit_follows_fleet_rate_limit() {
    assert!(parts_sent_to_warming_replica(0.0, None) <= 3);
    // 50 queries per second are admitted. At a fifth of its capacity the replica sustains 10 of them, and fails at 40.
    let with_rate_limit = parts_sent_to_warming_replica(50.0, None);
    assert!((15..=40).contains(&with_rate_limit), "{with_rate_limit}");
    assert!(parts_sent_to_warming_replica(25.0, None) < with_rate_limit);
}

#[test]
fn fast_answers_raise_limit_of_warming_replica() {
    let unanswered = parts_sent_to_warming_replica(25.0, None);
    let answered = parts_sent_to_warming_replica(25.0, Some(10));
    assert!(
        answered > unanswered + unanswered / 4,
        "{answered} and {unanswered}"
    );
    assert!(answered <= 40, "{answered}");
}

/// The answered load is one that all replicas sustain, and the limit already applies the full overload multiple to it.
/// A higher limit would overload the warming replica.
#[test]
fn fast_answers_do_not_raise_limit_derived_from_answered_load() {
    let mut harness = Harness::new(slow_start_settings(), 1);
    for i in 0..100 {
        harness.serve_query(i * 100, 50);
    }
    let removed = Endpoint {
        status: EndpointStatus::Removed,
        ..ready_endpoint(1)
    };
    let replacement = vec![removed, later_warming_endpoint()];
    harness.update_endpoints(EndpointUpdateKind::Delta, replacement);
    let parts = parts_sent_in_a_second(&mut harness, 10_000, Some(10));
    let admitted = parts.iter().filter(|parts| **parts > 0).count();
    assert!(
        (4..=13).contains(&admitted),
        "{admitted} queries for a replica that sustains about 10"
    );
}

#[test]
fn fleet_stays_within_capacity_of_warming_replica_over_any_window() {
    let mut failed = Vec::new();
    for fleet in simulated_fleets() {
        let worst = find_worst_window(fleet);
        let summary = format!(
            "{fleet:?}: {} parts, {:.0} allowed",
            worst.parts, worst.budget
        );
        eprintln!(
            "{summary}, {:.2} of the random variation allowed",
            worst.excess
        );
        if worst.excess > 1.0 {
            failed.push(summary);
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

fn simulated_fleets() -> Vec<Fleet> {
    let mut fleets = Vec::new();
    for coordinators in [20, 30, 300] {
        for (demand, rate_limit, warm_up_ms, bursts) in [
            // Without a rate limit, the limit is derived from the answered load, up to the full capacity of the
            // replicas.
            (1.0, 0.0, 24_000, false),
            (1.0, 0.0, 24_000, true),
            (0.6, 0.94, 24_000, false),
            (0.6, 0.94, 24_000, true),
            // All coordinators have just started.
            (0.9, 0.94, 100, true),
            (0.9, 0.94, 100, false),
        ] {
            for seed in 1..=2 {
                fleets.push(Fleet {
                    coordinators,
                    seed,
                    demand,
                    rate_limit,
                    warm_up_ms,
                    bursts,
                    hot_shard_factor: 10.0,
                });
            }
        }
    }
    fleets
}
