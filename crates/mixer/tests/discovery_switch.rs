//! Two events that meet in the reducer as leaf servers are handed over: both orders, in one batch.

mod harness;

use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::Input;
use harness::{address, deployments, Harness, MS};

fn both<T>(first: T, second: T, swapped: bool) -> [T; 2] {
    if swapped {
        [second, first]
    } else {
        [first, second]
    }
}

/// SIGHUP and a list of the discovery before it, which tells of a drain; the next one is behind and has yet to hear.
#[test]
fn a_drain_told_as_discovery_moves_holds_in_either_order() {
    for (text, swapped) in deployments()
        .iter()
        .flat_map(|text| [(text, false), (text, true)])
    {
        let mut harness = Harness::with(text, 2);
        harness.told(&address(1), "draining");
        let drain = harness.change(false, &[(1, "draining", 0)]);
        let reload = Input::ConfigReloaded {
            discovery: Some("127.0.0.1:8501".parse().unwrap()),
        };
        harness.batch(both(drain, reload, swapped));
        assert_eq!(harness.watches.len(), 1, "turned to once");
        if !text.contains("on_request") {
            assert_eq!(harness.watches, [None], "versions are each discovery's own");
            harness.listed(true, &[(1, "up", 0), (2, "up", 0)]);
        }
        let client = harness.ask(1, &[0.5, 0.5]);
        harness.open_all();
        assert!(
            harness.called().iter().all(|at| *at == address(2)),
            "swapped {swapped}: {:?}",
            harness.called()
        );
        harness.answer_all();
        assert!(matches!(
            harness.reply(client),
            Some(Reply::Answer { complete: true, .. })
        ));
    }
}

/// A connection comes up in the moment in which its server is told leaving: a call that its socket was given before the
/// list was taken is in time, one after it is not.
#[test]
fn a_connection_that_comes_up_as_its_server_leaves_gets_nothing_after_the_list() {
    for (text, swapped, status) in deployments().iter().flat_map(|text| {
        [
            (false, "draining"),
            (true, "draining"),
            (false, "removed"),
            (true, "removed"),
        ]
        .map(|(s, st)| (text, s, st))
    }) {
        let mut harness = Harness::with(text, 1);
        let client = harness.ask(1, &[0.5, 0.5]);
        let connection = *harness.connections.keys().next().unwrap();
        harness.connections.get_mut(&connection).unwrap().1 = true;
        let leaves = harness.change(false, &[(1, status, 0)]);
        harness.batch(both(
            leaves,
            Input::ConnectionOpened { connection },
            swapped,
        ));
        harness.told(&address(1), status);
        let at_once = harness.calls().len();
        assert_eq!(at_once > 0, swapped, "{status}");
        harness.pass(3000);
        let calls = harness.calls().len();
        assert_eq!(calls, at_once, "{status}, swapped {swapped}");
        harness.pass(4000);
        assert_eq!(harness.replies[&client].len(), 1);
    }
}

/// A connection that comes up in the very turn in which it is given up.
#[test]
fn a_connection_that_comes_up_as_it_is_given_up_serves_or_is_closed() {
    for (text, swapped) in deployments()
        .iter()
        .flat_map(|text| [(text, false), (text, true)])
    {
        let mut harness = Harness::with(text, 1);
        let client = harness.ask(1, &[1.0]);
        let connection = *harness.connections.keys().next().unwrap();
        let timeout = if text.contains("connect_timeout_ns=80000000\n") {
            80
        } else {
            250
        };
        harness.now += timeout * MS;
        harness.connections.get_mut(&connection).unwrap().1 = true;
        harness.batch(both(
            Input::ConnectionOpened { connection },
            Input::ProcessBatch,
            swapped,
        ));
        assert_eq!(
            harness.connections.contains_key(&connection),
            !swapped,
            "open in time, or closed and gone"
        );
        harness.open_all();
        harness.answer_all();
        harness.pass(7000);
        assert_eq!(harness.replies[&client].len(), 1);
        assert_eq!(harness.state.counters().faults, Default::default());
    }
}
