//! Replica choice: calls shared by parts, expected latency, draining endpoints and zones.

mod support;

use cottonhill_decisions::{
    Endpoint, EndpointStatus, EndpointUpdateKind, Outcome, ReplicaId, Settings,
};
use std::collections::BTreeSet;
use support::{
    complete_only_settings, first_replica, ready_endpoint, sent_parts, unbatched_settings, Harness,
};

#[test]
fn batches_parts_of_a_query_into_one_call() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    let (_, actions) = harness.send_query(0, 0, &[0.25; 4]);
    let sent = sent_parts(&actions);
    assert_eq!(sent.len(), 4);
    assert!(sent.iter().all(|part| part.replica == sent[0].replica));
}

#[test]
fn spreads_parts_over_replicas_without_call_batching() {
    let mut harness = Harness::new(unbatched_settings(), 3);
    let (_, actions) = harness.send_query(0, 0, &[1.0 / 3.0; 3]);
    let replicas: BTreeSet<ReplicaId> = sent_parts(&actions)
        .into_iter()
        .map(|sent| sent.replica)
        .collect();
    assert_eq!(replicas.len(), 3);
}

#[test]
fn chooses_replica_with_lowest_latency_times_calls_in_flight() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    let slow = harness.serve_query(0, 400);
    let fast = ReplicaId(3 - slow.0);
    let mut at_ms = 500;
    for _ in 0..20 {
        let (id, actions) = harness.send_query(at_ms, 0, &[1.0]);
        let replica = first_replica(&actions);
        let latency_ms = if replica == fast { 100 } else { 450 };
        harness.end_attempt(at_ms + latency_ms, id + 1, 0, replica, Outcome::Ok);
        at_ms += 500;
    }
    let (_, actions) = harness.send_query(at_ms + 500, 0, &[1.0]);
    assert_eq!(first_replica(&actions), fast);
}

#[test]
fn sends_no_new_parts_to_draining_replica() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    let draining = Endpoint {
        status: EndpointStatus::Draining,
        ..ready_endpoint(1)
    };
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![draining]);
    for i in 0..20 {
        let (_, actions) = harness.send_query(i * 20, 0, &[1.0]);
        assert!(sent_parts(&actions)
            .iter()
            .all(|sent| sent.replica == ReplicaId(2)));
    }
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    let (_, actions) = harness.send_query(500, 0, &[1.0]);
    assert!(
        sent_parts(&actions).is_empty(),
        "no part is sent with an empty endpoint list"
    );
}

/// Each part sent to another zone has a fixed cost. It is higher than that of a short queue at the replica in the own
/// zone and lower than that of a long one.
#[test]
fn prefers_replica_in_own_zone_while_its_queue_is_short() {
    let settings = Settings {
        zone: 1,
        cross_zone_cost: 0.04,
        ..unbatched_settings()
    };
    let in_own_zone = Endpoint {
        zone: 1,
        ..ready_endpoint(2)
    };
    let endpoints = vec![ready_endpoint(1), in_own_zone, ready_endpoint(3)];
    let mut harness = Harness::with_endpoints(settings, endpoints);
    let (_, actions) = harness.send_query(0, 0, &[0.4, 0.3, 0.3]);
    let sent_to_own_zone: Vec<bool> = sent_parts(&actions)
        .iter()
        .map(|sent| sent.replica == ReplicaId(2))
        .collect();
    assert_eq!(
        sent_to_own_zone,
        [true, true, false],
        "one part in the queue costs less than another zone, two cost more"
    );
}
