//! Draining and removed endpoints: an announcement takes effect immediately, regardless of waiting queries and queued
//! or stalled calls, and also while discovery is silent or switched.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::reducer::ConnectionId;
use harness::{address, deployments, listed, Harness, ListedEndpoint, DRAIN_GRACE, MS, SETTINGS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn new_process_waits_for_first_endpoint_update_before_using_cached_list() {
    for settings_text in deployments() {
        let mut harness = Harness::with_cached_list(&settings_text, 2, 1024);
        assert!(!harness.is_ready());
        let client = harness.send_query(1, &[0.5, 0.5]);
        harness.advance_ms(10);
        assert!(harness.connections.is_empty() && harness.last_reply(client).is_none());
        harness.update_endpoint(1, "draining");
        harness.open_all_connections();
        assert!(harness.is_ready());
        assert_eq!(
            harness.called_addresses(),
            vec![address(2); 2],
            "called immediately, but not at the draining endpoint"
        );
        harness.answer_all_parts();
        assert!(harness.is_answered_completely(client));
    }
}

#[test]
fn new_process_serves_from_cached_list_when_discovery_is_silent() {
    let pushed = SETTINGS.to_string();
    let polled = SETTINGS.to_string() + "discovery=on_request\n";
    for settings_text in [pushed, polled] {
        check_serves_from_cached_list(&settings_text);
    }
}

fn check_serves_from_cached_list(settings_text: &str) {
    let mut harness = Harness::with_cached_list(settings_text, 2, 1024);
    let client = harness.send_query(1, &[0.5, 0.5]);
    let client_with_short_timeout = harness.connect_client();
    harness.send_query_from(client_with_short_timeout, 1, &[1.0], 300);
    harness.advance_ms(999);
    assert!(!harness.is_ready() && harness.connections.is_empty());
    assert_eq!(
        harness.replies[&client_with_short_timeout].len(),
        1,
        "answered within its timeout although no endpoint list is in force"
    );
    harness.advance_ms(2);
    assert!(harness.is_ready());
    harness.serve_all();
    assert!(harness.is_answered_completely(client));
    assert_eq!(harness.reducer.counters().watches.startup_timeouts, 1);
}

#[test]
fn stale_discovery_does_not_restore_draining_endpoints() {
    let mut harness = Harness::new(4);
    harness.update_endpoint(1, "draining");
    harness.update_endpoint(2, "removed");
    harness.switch_discovery();
    assert_eq!(
        harness.watches,
        [None],
        "a snapshot is requested first, as versions of two discovery addresses are not comparable"
    );
    let all_up = [1, 2, 3, 4].map(|replica| listed(replica, "up"));
    harness.send_snapshot(&all_up);
    harness.send_delta(&all_up[..2]);
    harness.send_query(1, &[0.2; 5]);
    harness.serve_all();
    let draining_addresses = [address(1), address(2)];
    assert!(
        harness
            .connections
            .values()
            .all(|socket| !draining_addresses.contains(&socket.address)),
        "{:?}",
        harness.connections
    );
    harness.announce_status(&address(2), "up");
    let restarted = ListedEndpoint {
        started: harness.now,
        ..listed(2, "up")
    };
    harness.send_delta(&[restarted]);
    harness.advance_ms(5990);
    assert_eq!(harness.watches.len(), 1);
    harness.advance_ms(20);
    assert_eq!(
        harness.watches,
        [None, None],
        "a snapshot is requested once discovery must have caught up"
    );
    harness.announce_status(&address(1), "up");
    harness.send_snapshot(&all_up[..1]);
    let client = harness.send_query(1, &[1.0]);
    harness.serve_all();
    assert!(
        harness.is_answered_completely(client),
        "the update is accepted once discovery has caught up: {:?}",
        harness.last_reply(client)
    );
}

#[test]
fn call_stalled_at_socket_of_draining_endpoint_is_retried_elsewhere() {
    let mut harness = Harness::new(2);
    harness.writes_stalled = true;
    let client = harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let stalled = harness.frames[0].connection;
    let draining = if harness.connections[&stalled].address == address(1) {
        1
    } else {
        2
    };
    harness.update_endpoint(draining, "draining");
    harness.advance_ms(DRAIN_GRACE / MS);
    assert!(
        !harness.connections.contains_key(&stalled),
        "the first byte of the call might be written at any moment"
    );
    harness.writes_stalled = false;
    harness.serve_all();
    assert!(
        harness.is_answered_completely(client),
        "{:?}",
        harness.last_reply(client)
    );
    assert_eq!(harness.reducer.counters().connections.write_stalled, 1);
}

#[test]
fn attempt_waiting_for_old_address_goes_to_new_address() {
    let mut harness = Harness::new(1);
    let client = harness.send_query(1, &[1.0]);
    let old = harness.first_connection();
    harness.move_endpoint(1, 1001);
    harness.update_endpoint(1, "up");
    harness.move_endpoint(1, 1001);
    harness.open_connection(old);
    harness.open_all_connections();
    assert!(
        !harness.connections.contains_key(&old),
        "the replica has left this address"
    );
    harness.answer_all_parts();
    harness.advance_ms(500);
    harness.serve_all();
    assert!(
        harness.is_answered_completely(client),
        "{:?}",
        harness.last_reply(client)
    );
}

#[test]
fn reaches_more_leaf_servers_than_descriptors() {
    let mut harness = Harness::with_one_replica_per_shard(1024, 64);
    for shard in 0..1024 {
        let client = harness.connect_client();
        harness.send_single_shard_query(client, shard);
        harness.serve_all();
        assert!(
            harness.is_answered_completely(client),
            "shard {shard}: {:?}",
            harness.last_reply(client)
        );
    }
    assert!(harness.connections.len() <= 64 * 4 / 10);
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Default::default()
    }
}

/// Applies a random step; `random_value` selects the connection and the replica, and the parameters of the step.
fn apply_random_step(harness: &mut Harness, kind: u8, random_value: u64, duration_ms: u64) {
    let connections: Vec<ConnectionId> = harness.connections.keys().copied().collect();
    let connection = connections
        .get(random_value as usize % connections.len().max(1))
        .copied();
    let replica = 1 + random_value % 4;
    match (kind, connection) {
        (0..=2, _) => {
            harness.send_query((random_value % 2) as u16, &[0.5, 0.3, 0.2]);
        }
        (3, Some(connection)) => harness.open_connection(connection),
        (4..=6, Some(connection)) => harness.complete_write(connection),
        (7, Some(connection)) => {
            let status = [PartStatus::Ok, PartStatus::Busy][random_value as usize % 2];
            harness.answer_oldest_part(connection, status);
        }
        (8, Some(connection)) => harness.reset_connection(connection),
        (9, _) => {
            let status = ["draining", "removed"][random_value as usize / 4 % 2];
            harness.update_endpoint(replica, status);
        }
        (10, _) => harness.update_started_endpoint(replica, "up"),
        (11, _) => harness.move_endpoint(replica, replica + 1000 * (random_value / 4 % 2)),
        _ => harness.advance_ms(duration_ms),
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// The harness checks each first byte against the announced statuses in `Harness::complete_write`, each connection
    /// in `Harness::connect_to_leaf` and each frame in `Harness::write_frame`.
    #[test]
    fn no_call_starts_after_drain_grace(
        steps in prop::collection::vec((0u8..14, any::<u64>(), 1u64..300), 1..80),
    ) {
        let mut harness = Harness::new(4);
        harness.writes_stalled = true;
        for (kind, random_value, duration_ms) in steps {
            apply_random_step(&mut harness, kind, random_value, duration_ms);
        }
        harness.writes_stalled = false;
        harness.advance_ms(20_000);
        for (client, replies) in &harness.replies {
            prop_assert_eq!(replies.len(), 1, "client {}: {:?}", client, replies);
        }
        prop_assert_eq!(&harness.reducer.counters().faults, &Default::default());
    }
}
