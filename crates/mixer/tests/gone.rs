//! Clients that have gone: nothing begins for them later than a tenth of a second, wherever their query was; and
//! repeats that have waited past the time in which they are dropped where they go.

mod bed;

use bed::{deployments, Bed, SETTINGS};
use cottonhill_mixer::protocol::leaf::End;
use cottonhill_mixer::protocol::query::Reply;
use cottonhill_mixer::routing::{ClientId, Input, LinkId};

/// An attempt for a client that has gone may not begin later than this.
const GONE: u64 = 100;

fn only_link(bed: &Bed) -> LinkId {
    let mut links = bed.links.keys();
    let link = *links.next().expect("a connection");
    assert_eq!(links.next(), None);
    link
}

fn leaves(bed: &mut Bed, client: ClientId) {
    bed.left.insert(client);
    bed.put(Input::ClientClosed { client });
}

#[test]
fn nothing_begins_for_who_left_while_the_first_list_was_waited_for() {
    for text in deployments() {
        let mut bed = Bed::unheard(&text, 2, 1024);
        let client = bed.ask(1, &[0.5, 0.5]);
        leaves(&mut bed, client);
        bed.pass(1500);
        bed.open_all();
        bed.pass(1500);
        assert_eq!(bed.calls().len(), 0);
        assert_eq!(bed.state.counters().answered.client_gone, 1);
    }
}

#[test]
fn nothing_begins_for_who_asks_and_leaves_in_one_moment() {
    for text in deployments() {
        let mut bed = Bed::with(&text, 1);
        let served = bed.ask(1, &[1.0]);
        bed.open_all();
        bed.answer_all();
        assert!(bed.reply(served).is_some());
        let client = bed.connect();
        let before = bed.calls().len();
        let asked = bed.asked(client, 1, &[1.0]);
        bed.batch([asked, Input::ClientClosed { client }]);
        bed.pass(1000);
        assert_eq!(
            bed.calls().len(),
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
        let mut bed = Bed::with(text, 1);
        let client = bed.ask(1, &[0.5, 0.5]);
        let link = only_link(&bed);
        bed.left.insert(client);
        let (gone, opened) = (Input::ClientClosed { client }, Input::LinkOpened { link });
        bed.links.get_mut(&link).unwrap().1 = true;
        match (first, apart) {
            (true, 0) => bed.batch([gone, opened]),
            (false, 0) => bed.batch([opened, gone]),
            (true, ms) => {
                bed.put(gone);
                bed.pass(ms);
                if bed.links.contains_key(&link) {
                    bed.put(opened);
                }
            }
            (false, _) => {
                bed.put(opened);
                assert!(!bed.calls().is_empty(), "the client was there");
                bed.put(gone);
                continue;
            }
        }
        // In one moment a call that the socket was given before the client was seen to leave is in time.
        let at_once = bed.calls().len();
        bed.pass(1000);
        assert_eq!(bed.calls().len(), at_once, "{first} {apart}");
        assert!(!first || at_once == 0, "{first} {apart}: {:?}", bed.frames);
    }
}

#[test]
fn a_call_at_a_full_socket_does_not_begin_for_who_left() {
    for text in deployments() {
        for overtaken in [false, true] {
            let mut bed = Bed::with(&text, 1);
            bed.stuck = true;
            let client = bed.ask(1, &[1.0]);
            bed.open_all();
            let link = only_link(&bed);
            if overtaken {
                // The attempt was given up before its client left; its frame is still at the socket.
                bed.pass(90);
            }
            leaves(&mut bed, client);
            bed.pass(GONE - 1);
            assert!(
                !bed.links.contains_key(&link),
                "it may go out at any moment"
            );
            assert_eq!(bed.state.counters().connections.stuck, 1);
        }
    }
}

#[test]
fn a_call_that_the_socket_took_in_time_keeps_its_connection() {
    let mut bed = Bed::new(1);
    bed.stuck = true;
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    let link = only_link(&bed);
    leaves(&mut bed, client);
    bed.pass(30);
    bed.begin(link);
    bed.pass(1000);
    assert!(bed.links.contains_key(&link));
    assert_eq!(bed.state.counters().connections.stuck, 0);
}

#[test]
fn no_further_attempt_begins_for_who_left() {
    for text in deployments() {
        let mut bed = Bed::with(&text, 3);
        let client = bed.ask(0, &[1.0]);
        bed.open_all();
        let link = only_link(&bed);
        // One attempt has failed and the next waits for a connection, as the client leaves.
        bed.answer(link, End::Busy);
        leaves(&mut bed, client);
        let before = bed.calls().len();
        bed.pass(GONE);
        bed.open_all();
        bed.pass(1000);
        bed.open_all();
        assert_eq!(bed.calls().len(), before);
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
        let mut bed = Bed::with(&keyed(), 2);
        let client = bed.ask(0, &[1.0]);
        bed.open_all();
        let first = only_link(&bed);
        bed.break_off(first);
        assert_eq!(bed.calls().len(), 1, "it may have run");
        assert_eq!(
            bed.links.len(),
            1,
            "and is asked for again, at a connection that has yet to come up"
        );
        bed.pass(opens_after);
        bed.open_all();
        assert_eq!(bed.calls().len() > 1, goes, "after {opens_after} ms");
        bed.pass(6000);
        assert_eq!(
            bed.replies[&client].len(),
            1,
            "and its client is told all the same"
        );
    }
}

#[test]
fn a_repeat_whose_earlier_attempts_never_ran_has_no_window() {
    let mut bed = Bed::with(&keyed(), 2);
    bed.ask(0, &[1.0]);
    bed.open_all();
    let first = only_link(&bed);
    bed.answer(first, End::Busy);
    bed.pass(150);
    bed.open_all();
    assert_eq!(bed.calls().len(), 2, "turned away is not run");
}

#[test]
fn a_repeat_that_its_socket_has_not_taken_by_the_end_of_its_window_goes_with_its_connection() {
    let mut bed = Bed::with(&keyed(), 2);
    bed.ask(0, &[1.0]);
    bed.open_all();
    let first = only_link(&bed);
    bed.break_off(first);
    bed.stuck = true;
    bed.pass(50);
    bed.open_all();
    let second = only_link(&bed);
    assert_eq!(bed.calls().len(), 2);
    bed.pass(51);
    assert!(!bed.links.contains_key(&second));
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
            let mut bed = Bed::with(&text, 1);
            let before = bed.connect();
            bed.ask_on(before, class, &[0.7, 0.3], 6000);
            bed.open_all();
            bed.put(Input::Terminate);
            bed.pass(700);
            let during = bed.connect();
            bed.ask_on(during, class, &[0.7, 0.3], 6000);
            bed.pass(longest + 700 - 50 - 700);
            for client in [before, during] {
                assert_eq!(bed.replies[&client].len(), 1, "class {class} of {text}");
                assert!(
                    !matches!(bed.reply(client), Some(Reply::Answer { .. })),
                    "nothing was answered there"
                );
            }
            assert!(bed.exited);
            assert_eq!(bed.state.counters().faults, Default::default());
        }
    }
}

#[test]
fn few_descriptors_are_shared_out_so_that_the_rest_keeps_its_own() {
    for descriptors in [64, 100, 187, 1024] {
        let mut bed = Bed::wide(512, descriptors);
        let clients = bed.state.most_clients();
        let asked: Vec<Input> = (1..=512)
            .flat_map(|client| bed.opened_and_asked(client, client as u32 - 1))
            .collect();
        bed.batch(asked);
        let (links, own) = (bed.links.len(), 20);
        assert!(
            clients + links + own <= descriptors,
            "{descriptors}: {clients} clients, {links} leaf servers"
        );
        assert!(
            clients >= descriptors / 3 && links >= descriptors / 5,
            "{descriptors}: {clients}, {links}"
        );
    }
}
