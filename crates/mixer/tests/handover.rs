//! Two events that meet in the reducer as leaf servers are handed over: both orders, in one batch.

mod bed;

use bed::{address, deployments, Bed, MS};
use cottonhill_mixer::protocol::query::Reply;
use cottonhill_mixer::routing::Input;

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
        let mut bed = Bed::with(text, 2);
        bed.told(&address(1), "draining");
        let drain = bed.change(false, &[(1, "draining", 0)]);
        let reload = Input::Reloaded {
            discovery: Some("127.0.0.1:8501".parse().unwrap()),
        };
        bed.batch(both(drain, reload, swapped));
        assert_eq!(bed.watches.len(), 1, "turned to once");
        if !text.contains("on_request") {
            assert_eq!(bed.watches, [None], "versions are each discovery's own");
            bed.listed(true, &[(1, "up", 0), (2, "up", 0)]);
        }
        let client = bed.ask(1, &[0.5, 0.5]);
        bed.open_all();
        assert!(
            bed.called().iter().all(|at| *at == address(2)),
            "swapped {swapped}: {:?}",
            bed.called()
        );
        bed.answer_all();
        assert!(matches!(
            bed.reply(client),
            Some(Reply::Answer { whole: true, .. })
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
        let mut bed = Bed::with(text, 1);
        let client = bed.ask(1, &[0.5, 0.5]);
        let link = *bed.links.keys().next().unwrap();
        bed.links.get_mut(&link).unwrap().1 = true;
        let leaves = bed.change(false, &[(1, status, 0)]);
        bed.batch(both(leaves, Input::LinkOpened { link }, swapped));
        bed.told(&address(1), status);
        let at_once = bed.calls().len();
        assert_eq!(at_once > 0, swapped, "{status}");
        bed.pass(3000);
        let calls = bed.calls().len();
        assert_eq!(calls, at_once, "{status}, swapped {swapped}");
        bed.pass(4000);
        assert_eq!(bed.replies[&client].len(), 1);
    }
}

/// A connection that comes up in the very turn in which it is given up.
#[test]
fn a_connection_that_comes_up_as_it_is_given_up_serves_or_is_closed() {
    for (text, swapped) in deployments()
        .iter()
        .flat_map(|text| [(text, false), (text, true)])
    {
        let mut bed = Bed::with(text, 1);
        let client = bed.ask(1, &[1.0]);
        let link = *bed.links.keys().next().unwrap();
        let timeout = if text.contains("connect_timeout_ns=80000000\n") {
            80
        } else {
            250
        };
        bed.now += timeout * MS;
        bed.links.get_mut(&link).unwrap().1 = true;
        bed.batch(both(Input::LinkOpened { link }, Input::Turn, swapped));
        assert_eq!(
            bed.links.contains_key(&link),
            !swapped,
            "open in time, or closed and gone"
        );
        bed.open_all();
        bed.answer_all();
        bed.pass(7000);
        assert_eq!(bed.replies[&client].len(), 1);
        assert_eq!(bed.state.counters().faults, Default::default());
    }
}
