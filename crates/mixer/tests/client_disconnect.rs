//! Clients that have gone: nothing begins for them later than a tenth of a second, wherever their query was; and
//! repeats that have waited past the time in which they are dropped where they go.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::{ClientId, ConnectionId, Input};
use harness::{deployments, Harness, SETTINGS};

/// An attempt for a client that has gone may not begin later than this.
const GONE: u64 = 100;

fn only_link(harness: &Harness) -> ConnectionId {
    let mut connections = harness.connections.keys();
    let connection = *connections.next().expect("a connection");
    assert_eq!(connections.next(), None);
    connection
}

fn leaves(harness: &mut Harness, client: ClientId) {
    harness.left.insert(client);
    harness.put(Input::ClientClosed { client });
}

#[test]
fn nothing_begins_for_who_left_while_the_first_list_was_waited_for() {
    for text in deployments() {
        let mut harness = Harness::unheard(&text, 2, 1024);
        let client = harness.ask(1, &[0.5, 0.5]);
        leaves(&mut harness, client);
        harness.pass(1500);
        harness.open_all();
        harness.pass(1500);
        assert_eq!(harness.calls().len(), 0);
        assert_eq!(harness.state.counters().replies.client_disconnected, 1);
    }
}

#[test]
fn nothing_begins_for_who_asks_and_leaves_in_one_moment() {
    for text in deployments() {
        let mut harness = Harness::with(&text, 1);
        let served = harness.ask(1, &[1.0]);
        harness.open_all();
        harness.answer_all();
        assert!(harness.reply(served).is_some());
        let client = harness.connect();
        let before = harness.calls().len();
        let asked = harness.asked(client, 1, &[1.0]);
        harness.batch([asked, Input::ClientClosed { client }]);
        harness.pass(1000);
        assert_eq!(
            harness.calls().len(),
            before,
            "the connection is up and free, and nobody is there to be told"
        );
    }
}

/// A connection comes up as the client leaves: both orders, in one moment and one after the other.
#[test]
fn nothing_begins_for_who_left_while_a_connection_came_up() {
    for (text, first, apart) in deployments().iter().flat_map(|text| {
        [(true, 0), (false, 0), (true, GONE + 1), (false, GONE + 1)]
            .map(|(first, apart)| (text, first, apart))
    }) {
        let mut harness = Harness::with(text, 1);
        let client = harness.ask(1, &[0.5, 0.5]);
        let connection = only_link(&harness);
        harness.left.insert(client);
        let (gone, opened) = (
            Input::ClientClosed { client },
            Input::ConnectionOpened { connection },
        );
        harness.connections.get_mut(&connection).unwrap().1 = true;
        match (first, apart) {
            (true, 0) => harness.batch([gone, opened]),
            (false, 0) => harness.batch([opened, gone]),
            (true, ms) => {
                harness.put(gone);
                harness.pass(ms);
                if harness.connections.contains_key(&connection) {
                    harness.put(opened);
                }
            }
            (false, _) => {
                harness.put(opened);
                assert!(!harness.calls().is_empty(), "the client was there");
                harness.put(gone);
                continue;
            }
        }
        // In one moment a call that the socket was given before the client was seen to leave is in time.
        let at_once = harness.calls().len();
        harness.pass(1000);
        assert_eq!(harness.calls().len(), at_once, "{first} {apart}");
        assert!(
            !first || at_once == 0,
            "{first} {apart}: {:?}",
            harness.frames
        );
    }
}

#[test]
fn a_call_at_a_full_socket_does_not_begin_for_who_left() {
    for text in deployments() {
        for overtaken in [false, true] {
            let mut harness = Harness::with(&text, 1);
            harness.stuck = true;
            let client = harness.ask(1, &[1.0]);
            harness.open_all();
            let connection = only_link(&harness);
            if overtaken {
                // The attempt was given up before its client left; its frame is still at the socket.
                harness.pass(90);
            }
            leaves(&mut harness, client);
            harness.pass(GONE - 1);
            assert!(
                !harness.connections.contains_key(&connection),
                "it may go out at any moment"
            );
            assert_eq!(harness.state.counters().connections.write_stalled, 1);
        }
    }
}

#[test]
fn a_call_that_the_socket_took_in_time_keeps_its_connection() {
    let mut harness = Harness::new(1);
    harness.stuck = true;
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    let connection = only_link(&harness);
    leaves(&mut harness, client);
    harness.pass(30);
    harness.begin(connection);
    harness.pass(1000);
    assert!(harness.connections.contains_key(&connection));
    assert_eq!(harness.state.counters().connections.write_stalled, 0);
}

#[test]
fn no_further_attempt_begins_for_who_left() {
    for text in deployments() {
        let mut harness = Harness::with(&text, 3);
        let client = harness.ask(0, &[1.0]);
        harness.open_all();
        let connection = only_link(&harness);
        // One attempt has failed and the next waits for a connection, as the client leaves.
        harness.answer(connection, PartStatus::Busy);
        leaves(&mut harness, client);
        let before = harness.calls().len();
        harness.pass(GONE);
        harness.open_all();
        harness.pass(1000);
        harness.open_all();
        assert_eq!(harness.calls().len(), before);
    }
}

/// Class 0 may be repeated within 100 ms, where repeats are dropped.
fn keyed() -> String {
    let keyed = SETTINGS.replace(
        "classes.0.semantics=read_like",
        "classes.0.semantics=idempotency_key",
    );
    keyed + "classes.0.dedup_window_ns=100000000\n"
}

#[test]
fn a_repeat_that_waits_past_its_window_never_goes_out() {
    for (opens_after, goes) in [(90, true), (110, false)] {
        let mut harness = Harness::with(&keyed(), 2);
        let client = harness.ask(0, &[1.0]);
        harness.open_all();
        let first = only_link(&harness);
        harness.break_off(first);
        assert_eq!(harness.calls().len(), 1, "it may have run");
        assert_eq!(
            harness.connections.len(),
            1,
            "and is asked for again, at a connection that has yet to come up"
        );
        harness.pass(opens_after);
        harness.open_all();
        assert_eq!(harness.calls().len() > 1, goes, "after {opens_after} ms");
        harness.pass(6000);
        assert_eq!(
            harness.replies[&client].len(),
            1,
            "and its client is told all the same"
        );
    }
}

#[test]
fn a_repeat_whose_earlier_attempts_never_ran_has_no_window() {
    let mut harness = Harness::with(&keyed(), 2);
    harness.ask(0, &[1.0]);
    harness.open_all();
    let first = only_link(&harness);
    harness.answer(first, PartStatus::Busy);
    harness.pass(150);
    harness.open_all();
    assert_eq!(harness.calls().len(), 2, "turned away is not run");
}

#[test]
fn a_repeat_that_its_socket_has_not_taken_by_the_end_of_its_window_goes_with_its_connection() {
    let mut harness = Harness::with(&keyed(), 2);
    harness.ask(0, &[1.0]);
    harness.open_all();
    let first = only_link(&harness);
    harness.break_off(first);
    harness.stuck = true;
    harness.pass(50);
    harness.open_all();
    let second = only_link(&harness);
    assert_eq!(harness.calls().len(), 2);
    harness.pass(51);
    assert!(!harness.connections.contains_key(&second));
}

/// The kill follows 0.7 s after the longest deadline, which counts as 3 s where it is longer.
#[test]
fn everything_that_was_taken_is_answered_before_the_kill_after_a_planned_end() {
    for text in deployments() {
        // Late answers earn, so a query waits to the end of its time.
        let text = text + "classes.0.late_value=0.9\nclasses.1.late_value=0.9\n";
        let longest = if text.contains("_ns=600000000\n") {
            600
        } else {
            3000
        };
        for class in [0, 1] {
            let mut harness = Harness::with(&text, 1);
            let before = harness.connect();
            harness.ask_on(before, class, &[0.7, 0.3], 6000);
            harness.open_all();
            harness.put(Input::ShutdownRequested);
            harness.pass(700);
            let during = harness.connect();
            harness.ask_on(during, class, &[0.7, 0.3], 6000);
            harness.pass(longest + 700 - 50 - 700);
            for client in [before, during] {
                assert_eq!(harness.replies[&client].len(), 1, "class {class} of {text}");
                assert!(
                    !matches!(harness.reply(client), Some(Reply::Answer { .. })),
                    "nothing was answered there"
                );
            }
            assert!(harness.exited);
            assert_eq!(harness.state.counters().faults, Default::default());
        }
    }
}

#[test]
fn few_descriptors_are_shared_out_so_that_the_rest_keeps_its_own() {
    for descriptors in [64, 100, 187, 1024] {
        let mut harness = Harness::wide(512, descriptors);
        let clients = harness.state.max_clients();
        let asked: Vec<Input> = (1..=512)
            .flat_map(|client| harness.opened_and_asked(client, client as u32 - 1))
            .collect();
        harness.batch(asked);
        let (connections, own) = (harness.connections.len(), 20);
        assert!(
            clients + connections + own <= descriptors,
            "{descriptors}: {clients} clients, {connections} leaf servers"
        );
        assert!(
            clients >= descriptors / 3 && connections >= descriptors / 5,
            "{descriptors}: {clients}, {connections}"
        );
    }
}
