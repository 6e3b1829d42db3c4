//! The reducer with hand-made inputs: what the sockets owe their clients and leaf servers, one test a danger.

mod bed;

use bed::{Bed, MS, START};
use cottonhill_mixer::protocol::http::Rejection;
use cottonhill_mixer::protocol::leaf::{End, ToLeaf};
use cottonhill_mixer::protocol::query::{Asked, AskedPart, Query, Reply};
use cottonhill_mixer::routing::{Effect, Input};

fn calls(bed: &Bed) -> Vec<(u64, String)> {
    let call = |(link, frame): &(u64, ToLeaf)| match frame {
        ToLeaf::Call(parts) => parts.iter().map(|p| (*link, p.id.to_string())).collect(),
        _ => Vec::new(),
    };
    bed.frames.iter().flat_map(call).collect()
}

fn refused(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Refused { come_back: Some(after) }) if (1..=500 * MS).contains(after))
}

#[test]
fn a_query_is_answered_whole_with_the_values_as_given() {
    let mut bed = Bed::new(2);
    let client = bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    let Some(Reply::Answer { whole: true, hits }) = bed.reply(client) else {
        panic!("{:?}", bed.reply(client))
    };
    assert_eq!(hits[1].doc, "doc q1.1");
    assert_eq!(hits.len(), 2);
}

#[test]
fn parts_of_one_turn_reuse_a_connection_and_later_ones_too() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    bed.ask(1, &[1.0]);
    assert_eq!(
        (bed.links.len(), bed.state.counters().connections.opened),
        (1, 1)
    );
    assert_eq!(calls(&bed).len(), 3);
}

#[test]
fn a_full_connection_gets_a_second_beside_it() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.2; 5]);
    assert_eq!(bed.links.len(), 2, "four streams on one connection");
}

#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.pass(249);
    assert_eq!(bed.state.counters().ended.unreachable, 0);
    bed.pass(2);
    assert!(bed.state.counters().ended.unreachable >= 1);
    assert!(calls(&bed).is_empty());
}

#[test]
fn what_waits_for_a_connection_is_dropped_whole_when_its_replica_drains() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    let link = *bed.links.keys().next().unwrap();
    bed.list(1, "draining", 0);
    bed.open(link);
    bed.pass(3000);
    assert!(
        calls(&bed).is_empty(),
        "its first byte would break the rule"
    );
    assert_eq!(bed.state.counters().ended.not_sent, 1);
}

#[test]
fn a_frame_cut_off_before_its_end_never_ran_and_after_it_may_have() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    let link = *bed.links.keys().next().unwrap();
    bed.break_off(link);
    assert_eq!(
        (
            bed.state.counters().ended.unreachable,
            bed.state.counters().ended.broken
        ),
        (1, 0)
    );
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    bed.break_off(link);
    assert_eq!(
        (
            bed.state.counters().ended.unreachable,
            bed.state.counters().ended.broken
        ),
        (0, 1)
    );
}

#[test]
fn a_connection_that_swallowed_an_attempt_gets_nothing_more() {
    let mut bed = Bed::new(1);
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    let old = *bed.links.keys().next().unwrap();
    // The only replica answers nothing until the client gives up.
    bed.pass(6000);
    assert!(bed.reply(client).is_some());
    assert!(
        !bed.links.contains_key(&old),
        "closed, since nothing more is out on it"
    );
    bed.ask(1, &[1.0]);
    assert!(
        bed.links.keys().all(|link| *link > old),
        "a new one shows at once whether anyone is there"
    );
}

#[test]
fn a_frame_that_the_socket_never_takes_does_not_hold_its_connection_for_ever() {
    let mut bed = Bed::new(1);
    bed.stuck = true;
    bed.ask(1, &[1.0]);
    bed.open_all();
    let old = *bed.links.keys().next().unwrap();
    bed.pass(6000);
    assert!(
        !bed.links.contains_key(&old),
        "its machine has vanished with the buffer full"
    );
}

#[test]
fn what_expired_while_it_waited_does_not_go_out_when_the_socket_is_free_at_last() {
    let mut bed = Bed::new(1);
    bed.stuck = true;
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    let effects = bed
        .state
        .apply(START + 2100 * MS, Input::LinkWrote { link });
    assert_eq!(effects, [], "its time was the aim of 2 s");
    assert_eq!(bed.state.counters().ended.not_sent, 1);
}

#[test]
fn a_late_answer_to_what_was_given_up_is_ignored() {
    let mut bed = Bed::new(1);
    let first = bed.ask(1, &[1.0]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    bed.left.insert(first);
    bed.put(Input::ClientClosed { client: first });
    assert!(bed
        .frames
        .iter()
        .any(|(_, frame)| *frame == ToLeaf::GiveUp("q1.0".into())));
    bed.answer_to(link, "q1.0", End::Ok);
    assert_eq!(bed.state.counters().ended.ok, 0);
    assert!(bed.replies[&first].is_empty(), "nobody is there to be told");
}

#[test]
fn an_idle_connection_is_closed_before_its_other_end_does_so() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    bed.pass(26_000);
    assert_eq!(bed.links.len(), 1);
    bed.pass(3_000);
    assert!(bed.links.is_empty());
}

#[test]
fn over_the_cap_a_query_is_refused_at_once_with_advice() {
    let mut bed = Bed::new(1);
    let clients: Vec<u64> = (0..20).map(|_| bed.ask(1, &[0.2; 5])).collect();
    let at_once = clients
        .iter()
        .filter(|client| refused(bed.reply(**client)))
        .count();
    assert_eq!(
        bed.state.counters().taken.over_cap,
        10,
        "ten queries of five parts fill the cap of 60"
    );
    assert!(at_once >= 10);
}

#[test]
fn parts_that_are_in_leave_room_under_the_cap() {
    let mut bed = Bed::new(3);
    (0..10).for_each(|_| {
        bed.ask(1, &[0.2; 5]);
    });
    bed.open_all();
    let link = *bed.out.keys().next().unwrap();
    bed.answer(link, End::Ok);
    let client = bed.ask(1, &[0.2; 5]);
    assert_eq!(bed.reply(client), None, "59 are open, 60 may be");
    let client = bed.ask(1, &[0.2; 5]);
    assert!(refused(bed.reply(client)));
}

#[test]
fn queries_that_ended_in_any_way_leave_all_their_room_under_the_cap() {
    let mut bed = Bed::new(3);
    let answered = bed.ask(1, &[0.2; 5]);
    bed.open_all();
    bed.answer_all();
    assert!(matches!(
        bed.reply(answered),
        Some(Reply::Answer { whole: true, .. })
    ));
    for values in 0..3 {
        let gone = bed.ask(1, &[0.2; 5]);
        bed.open_all();
        let link = *bed
            .out
            .iter()
            .find(|(_, out)| out.len() >= values)
            .expect("parts are out")
            .0;
        (0..values).for_each(|_| bed.answer(link, End::Ok));
        bed.left.insert(gone);
        bed.put(Input::ClientClosed { client: gone });
    }
    let clients: Vec<u64> = (0..12).map(|_| bed.ask(1, &[0.2; 5])).collect();
    let at_once: Vec<bool> = clients
        .iter()
        .map(|client| refused(bed.reply(*client)))
        .collect();
    assert_eq!(
        at_once,
        [[false; 10].as_slice(), &[true; 2]].concat(),
        "ten queries of five parts fill the cap of 60"
    );
}

#[test]
fn what_is_given_up_is_refused_at_once_with_advice() {
    let mut bed = Bed::new(1);
    bed.list(1, "removed", 0);
    let client = bed.ask(1, &[1.0]);
    assert!(refused(bed.reply(client)), "{:?}", bed.reply(client));
    assert_eq!(bed.replies[&client][0].0, START);
}

#[test]
fn a_client_without_time_left_is_refused_and_nothing_is_sent() {
    let mut bed = Bed::new(1);
    let client = bed.connect();
    bed.ask_on(client, 1, &[1.0], 5);
    assert!(refused(bed.reply(client)));
    assert!(bed.links.is_empty());
}

#[test]
fn every_query_is_over_before_its_client_gives_up() {
    let mut bed = Bed::new(2);
    let client = bed.ask(0, &[0.5, 0.5]);
    bed.pass(10_000);
    assert!(bed.replies[&client][0].0 < START + 5000 * MS);
    assert_eq!(bed.state.counters().faults.last_moment, 0);
}

#[test]
fn not_ready_without_a_list_nor_once_told_to_end() {
    let ready = |bed: &mut Bed| {
        let client = bed.connect();
        bed.put(Input::Asked {
            client,
            arrived: bed.now,
            asked: Ok(Asked::Ready),
        });
        bed.reply(client) == Some(&Reply::Ready(true))
    };
    let mut bed = Bed::new(0);
    assert!(!ready(&mut bed));
    bed.list(1, "up", 0);
    assert!(ready(&mut bed));
    bed.put(Input::Terminate);
    assert!(!ready(&mut bed));
}

#[test]
fn many_idle_clients_at_once_each_make_room_for_one_more() {
    let mut bed = Bed::new(1);
    let opened = |client| bed.state.apply(START, Input::ClientOpened { client });
    let closed: Vec<Effect> = (1..=470).flat_map(opened).collect();
    let oldest: Vec<Effect> = (1..=20)
        .map(|client| Effect::CloseClient { client, room: true })
        .collect();
    assert_eq!(
        closed, oldest,
        "of 1,024 descriptors 460 are for clients, and two go for each that is too many"
    );
}

/// They come by hundreds and say nothing: the good clients' connections, though idle for longer, are left
/// alone.
#[test]
fn who_never_asked_goes_first_when_there_is_no_room() {
    let mut bed = Bed::new(1);
    let good = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    (0..2000).for_each(|_| {
        bed.connect();
    });
    assert!(bed.closed.len() > 1500 && !bed.closed.contains(&good));
}

/// Some clients ask once and keep their connection for good.
#[test]
fn clients_idle_for_two_seconds_make_room_before_it_runs_out() {
    let mut bed = Bed::new(1);
    let ask_once = |bed: &mut Bed| {
        let client = bed.ask(1, &[1.0]);
        bed.open_all();
        bed.answer_all();
        client
    };
    let early: Vec<u64> = (0..300).map(|_| ask_once(&mut bed)).collect();
    assert!(bed.closed.is_empty());
    bed.pass(2000);
    let late: Vec<u64> = (0..150).map(|_| ask_once(&mut bed)).collect();
    assert!(
        early[..70].iter().all(|client| bed.closed.contains(client)),
        "down to half of the room"
    );
    assert!(!late.iter().any(|client| bed.closed.contains(client)));
}

#[test]
fn a_second_query_under_the_id_of_an_open_one_is_turned_away() {
    let mut bed = Bed::new(1);
    let client = bed.ask(1, &[1.0]);
    let other = bed.connect();
    let ask_as = |bed: &mut Bed| {
        let part = AskedPart {
            shard: 0,
            weight: 1.0,
            work: None,
        };
        let query = Query {
            name: format!("q{client}"),
            class: 1,
            tenant: 0,
            timeout: 5000 * MS,
            repeat: false,
            idempotency_key: None,
            parts: vec![part],
            text: Default::default(),
        };
        bed.put(Input::Asked {
            client: other,
            arrived: bed.now,
            asked: Ok(Asked::Query(query)),
        });
        bed.reply(other).cloned()
    };
    assert!(matches!(
        ask_as(&mut bed),
        Some(Reply::Rejected(Rejection { status: 409, .. }))
    ));
    bed.open_all();
    assert_eq!(calls(&bed).len(), 1, "its parts would have the same names");
    bed.answer_all();
    ask_as(&mut bed);
    assert_eq!(calls(&bed).len(), 2, "the first is over");
}

#[test]
fn a_spoilt_answer_fails_its_attempt_and_frees_the_others_at_once() {
    for named in [true, false] {
        let mut bed = Bed::new(2);
        let client = bed.ask(1, &[0.25; 4]);
        bed.open_all();
        let link = *bed.out.iter().max_by_key(|(_, out)| out.len()).unwrap().0;
        let there = bed.out[&link].len() as u64;
        bed.spoil(link, named);
        let ended = bed.state.counters().ended.clone();
        assert_eq!(
            (ended.error, ended.cancelled, ended.broken),
            (1, there - 1, 0)
        );
        assert!(
            !bed.links.contains_key(&link),
            "where its next frame begins is not known"
        );
        bed.open_all();
        bed.answer_all();
        assert!(matches!(
            bed.reply(client),
            Some(Reply::Answer { whole: true, .. })
        ));
        assert_eq!(bed.now, START, "nothing was waited for");
    }
}

/// Its socket may have taken it to the last byte and not have said so yet: a part that may not run twice must not be
/// sent again for that.
#[test]
fn a_call_at_a_socket_that_we_close_may_have_run() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    bed.stuck = true;
    bed.ask(1, &[1.0]);
    bed.spoil(link, true);
    let ended = &bed.state.counters().ended;
    assert_eq!((ended.error, ended.broken, ended.unreachable), (1, 1, 0));
}

#[test]
fn an_answer_for_nothing_that_is_out_is_spoilt_but_a_copy_is_not() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    let link = *bed.links.keys().next().unwrap();
    bed.answer_to(link, "q1.1", End::Ok);
    bed.answer_to(link, "q1.1", End::Ok);
    assert_eq!(bed.state.counters().connections.spoilt, 0);
    bed.answer_to(link, "q9.0", End::Ok);
    assert_eq!(bed.state.counters().connections.spoilt, 1);
    assert_eq!(
        bed.state.counters().ended.error,
        1,
        "the one that was out has failed"
    );
}

/// Replicas, clients and queries of ever new names, all day long.
#[test]
fn what_is_held_does_not_grow_with_the_names_that_came_and_went() {
    let mut bed = Bed::new(1);
    let (mut held, mut replica) = (Vec::new(), 1);
    for _ in 0..4 {
        for _ in 0..100 {
            replica += 1;
            bed.list(replica, "up", 0);
            bed.list(replica - 1, "removed", 0);
            let client = bed.ask(1, &[0.5, 0.5]);
            bed.open_all();
            bed.answer_all();
            bed.pass(150);
            bed.left.insert(client);
            bed.put(Input::ClientClosed { client });
        }
        held.push(bed.state.held());
    }
    assert!(held[1..].iter().all(|now| *now <= held[0] + 5), "{held:?}");
    assert_eq!(bed.state.counters().answered.whole, 400);
}

#[test]
fn told_to_end_it_serves_on_then_closes_between_requests_and_finishes_what_it_took() {
    let mut bed = Bed::new(1);
    let idle = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    bed.put(Input::Terminate);
    bed.pass(700);
    assert!(
        bed.listening && bed.closed.is_empty(),
        "clients may still come for 0.7 s"
    );
    let late = bed.ask(1, &[1.0]);
    bed.pass(100);
    assert!(!bed.listening);
    assert_eq!(bed.closed, [idle]);
    assert!(!bed.exited, "a query is still open");
    bed.answer_all();
    assert!(matches!(
        bed.reply(late),
        Some(Reply::Answer { whole: true, .. })
    ));
    assert!(bed.exited);
}

#[test]
fn told_to_end_it_leaves_nothing_for_the_kill() {
    let mut bed = Bed::new(1);
    bed.put(Input::Terminate);
    bed.pass(690);
    let client = bed.connect();
    bed.ask_on(client, 1, &[1.0], 6000);
    bed.pass(5400);
    assert_eq!(
        bed.replies[&client].len(),
        1,
        "SIGKILL may come 6.7 s after SIGTERM"
    );
    assert!(bed.exited);
}

#[test]
fn a_client_accepted_as_the_listener_goes_does_not_hold_up_the_end() {
    let mut bed = Bed::new(1);
    bed.put(Input::Terminate);
    bed.pass(800);
    assert!(bed.exited);
    let mut bed = Bed::new(1);
    let busy = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.put(Input::Terminate);
    bed.pass(800);
    let idle = bed.connect();
    assert_eq!(bed.closed, [idle]);
    bed.answer_all();
    assert!(bed.exited && bed.replies[&busy].len() == 1);
}

/// The whole list: replica 2 alone, at this address.
fn only_the_second(address: &str) -> Input {
    let line = serde_json::json!({"name": "s-2", "address": address, "group": 0, "status": "up"});
    let whole = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [line]});
    Input::Listed(serde_json::from_value(whole).expect("a list"))
}

#[test]
fn a_remembered_list_may_be_old_and_a_whole_one_replaces_it() {
    let mut bed = Bed::new(2);
    bed.put(only_the_second(&bed::address(2)));
    bed.ask(1, &[0.5, 0.5]);
    assert!(
        bed.links
            .values()
            .all(|(address, _)| *address == bed::address(2)),
        "{:?}",
        bed.links
    );
    assert_eq!(bed.state.list_index(), 9);
}

#[test]
fn a_replica_that_has_moved_is_asked_at_its_new_address() {
    let mut bed = Bed::new(2);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    bed.told("127.0.0.9:7070", "up");
    bed.put(only_the_second("127.0.0.9:7070"));
    let before = bed.frames.len();
    bed.ask(1, &[1.0]);
    bed.open_all();
    let sent: Vec<&str> = bed.frames[before..]
        .iter()
        .map(|(link, _)| bed.links[link].0.as_str())
        .collect();
    assert_eq!(sent, ["127.0.0.9:7070"]);
}
