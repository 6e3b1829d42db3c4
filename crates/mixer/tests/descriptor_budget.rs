//! The descriptor budget: how it is shared out, and which idle clients are closed when it runs out.

mod harness;

use cottonhill_mixer::reducer::{ClientId, Effect, Input};
use harness::{Harness, START};

/// Descriptors that the mixer keeps for itself: its listener, discovery and others.
const OWN_DESCRIPTORS: usize = 20;

#[test]
fn shares_few_descriptors_between_clients_and_leaf_servers() {
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
fn idle_clients_are_closed_one_for_each_client_over_the_limit() {
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
        "of 1,024 descriptors 460 are for clients, and two are closed for each that is too many"
    );
}

/// Clients that connect by hundreds and send nothing are closed before those that have sent queries, even if these
/// have been idle for longer.
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

/// Some clients send one query and keep their connection for good.
#[test]
fn clients_idle_for_two_seconds_are_closed_before_the_limit_is_reached() {
    let mut harness = Harness::new(1);
    let early: Vec<ClientId> = (0..300).map(|_| serve_one_query(&mut harness)).collect();
    assert!(harness.closed_clients.is_empty());
    harness.advance_ms(2000);
    let late: Vec<ClientId> = (0..150).map(|_| serve_one_query(&mut harness)).collect();
    let is_closed = |client: &ClientId| harness.closed_clients.contains(client);
    assert!(
        early[..70].iter().all(is_closed),
        "down to half of the limit"
    );
    assert!(!late.iter().any(is_closed));
}
