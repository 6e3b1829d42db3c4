//! Failed replicas: the time for which they are avoided or ejected, and their use if no other replica is available.

mod support;

use cottonhill_decisions::{Outcome, ReplicaId, Settings};
use support::{complete_only_settings, first_replica, sent_parts, Harness};

#[test]
fn uses_unresponsive_replica_if_no_other_is_available() {
    let mut harness = Harness::new(complete_only_settings(), 1);
    harness.send_query(0, 0, &[1.0]);
    harness.run_timers(10, 900);
    let (_, actions) = harness.send_query(910, 0, &[1.0]);
    assert_eq!(sent_parts(&actions).len(), 1);
}

#[test]
fn avoids_replica_briefly_after_rejection() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let rejecting = first_replica(&actions);
    harness.end_attempt(1, id + 1, 0, rejecting, Outcome::Rejected);
    for i in 0..10 {
        let (_, actions) = harness.send_query(10 + i, 0, &[1.0]);
        assert_ne!(first_replica(&actions), rejecting);
    }
}

/// Resets the connection to replica 1 and returns the time until it receives the next part, ms. Replica 2 answers every
/// part with an error.
fn ejection_ms_after_reset(harness: &mut Harness) -> u64 {
    let mut reset_at_ms = None;
    for _ in 0..400 {
        let at_ms = harness.now_ms() + 50;
        let (id, actions) = harness.send_query(at_ms, 0, &[1.0]);
        let replica = first_replica(&actions);
        if replica != ReplicaId(1) {
            harness.end_attempt(at_ms + 1, id + 1, 0, replica, Outcome::Error);
        } else if let Some(reset_at_ms) = reset_at_ms {
            harness.end_attempt(at_ms + 10, id + 1, 0, replica, Outcome::Ok);
            return at_ms - reset_at_ms;
        } else {
            reset_at_ms = Some(at_ms);
            harness.end_attempt(at_ms + 1, id + 1, 0, replica, Outcome::ConnectionReset);
        }
    }
    panic!("replica 1 was never used again");
}

#[test]
fn ejects_replica_after_each_connection_reset() {
    let single_attempt = Settings {
        max_attempts: Some(1),
        ..complete_only_settings()
    };
    let mut harness = Harness::new(single_attempt, 2);
    let first_ms = ejection_ms_after_reset(&mut harness);
    let second_ms = ejection_ms_after_reset(&mut harness);
    assert!(
        first_ms >= 1000 && second_ms >= 1000,
        "ejected for {first_ms} ms, then for {second_ms} ms"
    );
}

/// With few queries, the estimate of a replica that failed and never answered must not return to the mean too soon.
#[test]
fn avoids_failed_replica_that_never_answered() {
    let mut harness = Harness::new(complete_only_settings(), 2);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let failed = first_replica(&actions);
    let retried = harness.end_attempt(250, id + 1, 0, failed, Outcome::ConnectFailed);
    harness.end_attempt(1000, id + 1, 1, first_replica(&retried), Outcome::Ok);
    for at_ms in [6000, 7000, 8000] {
        assert_ne!(harness.serve_query(at_ms, 700), failed);
    }
}
