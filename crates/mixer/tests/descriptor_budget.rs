//! The descriptor budget: its division between clients and leaf servers, and the choice of idle clients that are closed
//! when it is exhausted.

mod harness;

use cottonhill_mixer::reducer::{ClientId, Effect, Input};
use harness::{Harness, START};

/// Descriptors reserved for the mixer's listener, discovery and others.
const OWN_DESCRIPTORS: usize = 20;

#[test]
fn divides_descriptors_between_clients_and_leaf_servers() {
    for descriptors in [64, 100, 187, 1024] {
        let mut harness = Harness::with_one_replica_per_shard(512, descriptors);
        let clients = harness.reducer.max_clients();
        let queries: Vec<Input> = (1..=512)
            .flat_map(|client| harness.new_client_inputs(client, client as u32 - 1))
            .collect();
        harness.apply_batch(queries);
        let connections = harness.connections.len();
        assert!(
            clients + connections + OWN_DESCRIPTORS <= descriptors,
            "{descriptors}: {clients} clients, {connections} leaf servers"
        );
        assert!(
            clients >= descriptors / 3 && connections >= descriptors / 5,
            "{descriptors}: {clients}, {connections}"
        );
    }
}

#[test]
fn two_idle_clients_are_closed_for_each_client_over_the_limit() {
    let mut harness = Harness::new(1);
    let connect = |client| harness.reducer.apply(START, Input::ClientOpened { client });
    let effects: Vec<Effect> = (1..=470).flat_map(connect).collect();
    let oldest_closed: Vec<Effect> = (1..=20)
        .map(|client| Effect::CloseClient {
            client,
            immediate: true,
        })
        .collect();
    assert_eq!(
        effects, oldest_closed,
        "460 of 1,024 descriptors are for clients, and two clients are closed for each one over the limit"
    );
}

/// Clients that connect in large numbers and send nothing are closed before clients that have sent queries, even if the
/// latter have been idle for longer.
#[test]
fn clients_without_a_request_are_closed_first() {
    let mut harness = Harness::new(1);
    let served = harness.send_query(1, &[1.0]);
    harness.serve_all();
    for _ in 0..2000 {
        harness.connect_client();
    }
    assert!(harness.closed_clients.len() > 1500 && !harness.closed_clients.contains(&served));
}

fn serve_one_query(harness: &mut Harness) -> ClientId {
    let client = harness.send_query(1, &[1.0]);
    harness.serve_all();
    client
}

/// Clients may send one query and then keep an idle connection open.
#[test]
fn clients_idle_for_two_seconds_are_closed_before_the_limit_is_reached() {
    let mut harness = Harness::new(1);
    let older: Vec<ClientId> = (0..300).map(|_| serve_one_query(&mut harness)).collect();
    assert!(harness.closed_clients.is_empty());
    harness.advance_ms(2000);
    let newer: Vec<ClientId> = (0..150).map(|_| serve_one_query(&mut harness)).collect();
    let is_closed = |client: &ClientId| harness.closed_clients.contains(client);
    assert!(
        older[..70].iter().all(is_closed),
        "down to half of the limit"
    );
    assert!(!newer.iter().any(is_closed));
}

/// Guards against queries of a frontend that count as connections: they took the place of connections, and closed idle
/// ones.
#[test]
fn queries_of_a_frontend_hold_no_descriptor() {
    let mut harness = Harness::new(1);
    for _ in 0..470 {
        harness.send_frontend_query(1, &[1.0]);
    }
    let effects = harness
        .reducer
        .apply(START, Input::ClientOpened { client: 1_000 });
    assert_eq!(effects, []);
    for client in 1_001..1_300 {
        harness.apply(Input::ClientOpened { client });
    }
    harness.apply(Input::ShutdownRequested);
    harness.advance_ms(800);
    let closed = &harness.closed_clients;
    assert!(closed.iter().all(|client| *client >= 1_000), "{closed:?}");
}
