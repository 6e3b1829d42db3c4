//! Races in the reducer while endpoints drain or discovery is switched: two events in one batch, in either order.

mod harness;

use cottonhill_mixer::reducer::Input;
use harness::{address, deployments, discovery_switched, listed, Harness, MS};

/// The events in this order, or swapped.
fn ordered<T>(first: T, second: T, swapped: bool) -> [T; 2] {
    if swapped {
        [second, first]
    } else {
        [first, second]
    }
}

/// A reload switches discovery at the moment at which the old address announces a drain. The new address lags behind
/// and still lists the endpoint as up; the drain must nevertheless take effect.
#[test]
fn drain_racing_discovery_switch_takes_effect_in_either_order() {
    for settings_text in deployments() {
        for swapped in [false, true] {
            check_drain_racing_discovery_switch(&settings_text, swapped);
        }
    }
}

fn check_drain_racing_discovery_switch(settings_text: &str, swapped: bool) {
    let mut harness = Harness::with_settings(settings_text, 2);
    harness.announce_status(&address(1), "draining");
    let drain = harness.next_update(false, &[listed(1, "draining")]);
    let drain = Input::EndpointsUpdated(drain);
    harness.apply_batch(ordered(drain, discovery_switched(), swapped));
    assert_eq!(
        harness.watches.len(),
        1,
        "one watch is requested at the new address"
    );
    if !settings_text.contains("on_request") {
        assert_eq!(
            harness.watches,
            [None],
            "a snapshot is requested, as versions of two discovery addresses are not comparable"
        );
        harness.send_snapshot(&[listed(1, "up"), listed(2, "up")]);
    }
    let client = harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    let called = harness.called_addresses();
    assert!(
        called.iter().all(|called| *called == address(2)),
        "swapped {swapped}: {called:?}"
    );
    harness.answer_all_parts();
    assert!(harness.is_answered_completely(client));
}

/// A connection opens at the moment at which its endpoint is announced as draining or removed. A call that was passed
/// to the socket before the update was applied is allowed; no call may follow it.
#[test]
fn connection_opened_as_its_endpoint_drains_gets_no_call_after_update() {
    for settings_text in deployments() {
        for status in ["draining", "removed"] {
            for swapped in [false, true] {
                check_connection_opened_as_endpoint_drains(&settings_text, status, swapped);
            }
        }
    }
}

fn check_connection_opened_as_endpoint_drains(settings_text: &str, status: &str, swapped: bool) {
    let mut harness = Harness::with_settings(settings_text, 1);
    let client = harness.send_query(1, &[0.5, 0.5]);
    let connection = harness.first_connection();
    let opened = harness.connection_opened_input(connection);
    let update = harness.next_update(false, &[listed(1, status)]);
    let update = Input::EndpointsUpdated(update);
    harness.apply_batch(ordered(update, opened, swapped));
    harness.announce_status(&address(1), status);
    let calls_in_batch = harness.call_count();
    assert_eq!(calls_in_batch > 0, swapped, "{status}");
    harness.advance_ms(3000);
    assert_eq!(
        harness.call_count(),
        calls_in_batch,
        "{status}, swapped {swapped}"
    );
    harness.advance_ms(4000);
    assert_eq!(harness.replies[&client].len(), 1);
}

/// A connection opens in the same batch in which its connect timeout expires.
#[test]
fn connection_opened_at_connect_timeout_is_used_or_closed() {
    for settings_text in deployments() {
        for swapped in [false, true] {
            check_connection_opened_at_timeout(&settings_text, swapped);
        }
    }
}

fn check_connection_opened_at_timeout(settings_text: &str, swapped: bool) {
    let mut harness = Harness::with_settings(settings_text, 1);
    let client = harness.send_query(1, &[1.0]);
    let connection = harness.first_connection();
    let connect_timeout_ms = if settings_text.contains("connect_timeout_ns=80000000\n") {
        80
    } else {
        250
    };
    harness.now += connect_timeout_ms * MS;
    let opened = harness.connection_opened_input(connection);
    harness.apply_batch(ordered(opened, Input::ProcessBatch, swapped));
    assert_eq!(
        harness.connections.contains_key(&connection),
        !swapped,
        "kept if the opening is processed before the timeout, else closed"
    );
    harness.serve_all();
    harness.advance_ms(7000);
    assert_eq!(harness.replies[&client].len(), 1);
    assert_eq!(harness.reducer.counters().faults, Default::default());
}
