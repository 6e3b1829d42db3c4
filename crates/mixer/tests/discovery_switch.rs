//! Races in the reducer while endpoints drain or discovery is switched: two events in one batch, in either order.

mod harness;

use cottonhill_mixer::reducer::{Input, UpdateFault, WatchEvent, WatchId};
use harness::{address, deployments, discovery_switched, listed, Harness, MS, SETTINGS};

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
    let drain = harness.update_input(drain);
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
    let update = harness.update_input(update);
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

/// [`SETTINGS`] with one discovery service for all mixers.
fn polled() -> String {
    SETTINGS.to_string() + "discovery=on_request\nguarantees.ask_within_ns=10000000000\n"
}

/// Sends a query with one part, and returns the addresses that have been called since the last one.
fn called_by_next_query(harness: &mut Harness) -> Vec<String> {
    let called_before = harness.called_addresses().len();
    harness.send_query(0, &[1.0]);
    harness.open_all_connections();
    harness.answer_all_parts();
    harness.called_addresses()[called_before..].to_vec()
}

/// Guards against two watches of which the newer one delivers what was on its way while the older one delivered a drain:
/// the drain stays, as a delta and, after a reload, also as a snapshot.
#[test]
fn update_of_a_new_watch_does_not_undo_later_changes_of_the_replaced_one() {
    for snapshot in [false, true] {
        let mut harness = Harness::with_settings(&polled(), 2);
        harness.apply(discovery_switched());
        let on_its_way = harness.next_update(snapshot, &[listed(1, "up"), listed(2, "up")]);
        let drain = harness.next_update(false, &[listed(1, "draining")]);
        harness.apply(Input::EndpointsUpdated {
            watch: WatchId::FIRST,
            update: drain,
        });
        assert!(
            harness.stopped_watches.is_empty(),
            "the new one has not answered"
        );
        harness.apply_update(on_its_way);
        assert_eq!(harness.stopped_watches, [WatchId::FIRST]);
        for _ in 0..4 {
            let called = called_by_next_query(&mut harness);
            assert_eq!(called, [address(2)]);
        }
        // The new watch goes on with what the replaced one had delivered.
        harness.send_delta(&[listed(2, "draining")]);
        assert!(
            called_by_next_query(&mut harness).is_empty(),
            "both are draining"
        );
    }
}

/// Guards against an update that a watch had queued when it was stopped: it is older than the list in force.
#[test]
fn update_of_a_stopped_watch_is_ignored() {
    let mut harness = Harness::with_settings(SETTINGS, 2);
    harness.apply(discovery_switched());
    harness.send_snapshot(&[listed(1, "draining"), listed(2, "up")]);
    assert_eq!(harness.stopped_watches, [WatchId::FIRST]);
    let queued = harness.next_update(false, &[listed(2, "removed")]);
    harness.apply(Input::EndpointsUpdated {
        watch: WatchId::FIRST,
        update: queued,
    });
    assert_eq!(called_by_next_query(&mut harness), [address(2)]);
}

/// Guards against a reload that forgets that an update was rejected: the new watch asked for the changes since the version
/// before, got the same update again, and its changes were missing until yet another request.
#[test]
fn reload_after_a_rejected_update_requests_a_snapshot() {
    let mut harness = Harness::with_settings(&polled(), 2);
    let version = harness.reducer.endpoint_list_version();
    harness.apply(discovery_switched());
    assert_eq!(harness.watches, [Some(version)]);
    let watch = harness.watch;
    let event = WatchEvent::UpdateRejected(UpdateFault::Malformed);
    harness.apply(Input::Watch { watch, event });
    harness.apply(discovery_switched());
    assert_eq!(harness.watches[1..], [None]);
    // A delta has only a part of the changes.
    harness.send_delta(&[]);
    harness.apply(discovery_switched());
    assert_eq!(harness.watches[2..], [None]);
    harness.send_snapshot(&[listed(1, "up"), listed(2, "up")]);
    harness.apply(discovery_switched());
    assert_eq!(harness.watches[3..], [Some(version + 2)]);
}

/// Guards against descriptors that quick reloads take: a replaced watch goes on only while it has a connection, and few do.
#[test]
fn reloads_in_quick_succession_leave_few_watches() {
    let mut harness = Harness::with_settings(&polled(), 1);
    let mut watches = vec![WatchId::FIRST];
    for _ in 0..10 {
        harness.apply(discovery_switched());
        watches.push(harness.watch);
    }
    // The three oldest and the newest run on.
    assert_eq!(harness.stopped_watches, watches[3..10]);
    for watch in [watches[1], watches[10]] {
        let event = WatchEvent::Ended { timed_out: true };
        harness.apply(Input::Watch { watch, event });
    }
    let renewed = "the current one is renewed";
    assert_eq!(harness.stopped_watches[7..], [watches[1]], "{renewed}");
    harness.apply(discovery_switched());
    let unconnected = "it had no connection";
    assert_eq!(harness.stopped_watches[8..], [watches[10]], "{unconnected}");
    harness.send_delta(&[]);
    assert_eq!(harness.stopped_watches[9..], [watches[0], watches[2]]);
}
