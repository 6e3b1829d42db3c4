//! The reducer with hand-made inputs: what the sockets owe their clients and leaf servers, one test a danger.

mod harness;

use cottonhill_mixer::protocol::http::RequestError;
use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, PartStatus};
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::{Effect, Input};
use harness::{Harness, MS, START};

fn calls(harness: &Harness) -> Vec<(u64, String)> {
    let call = |(connection, frame): &(u64, LeafRequest)| match frame {
        LeafRequest::Call(parts) => parts
            .iter()
            .map(|p| (*connection, p.id.to_string()))
            .collect(),
        _ => Vec::new(),
    };
    harness.frames.iter().flat_map(call).collect()
}

fn refused(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Rejected { retry_after: Some(after) }) if (1..=500 * MS).contains(after))
}

#[test]
fn a_query_is_answered_whole_with_the_values_as_given() {
    let mut harness = Harness::new(2);
    let client = harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    harness.answer_all();
    let Some(Reply::Answer {
        complete: true,
        hits,
    }) = harness.reply(client)
    else {
        panic!("{:?}", harness.reply(client))
    };
    assert_eq!(hits[1].doc, "doc q1.1");
    assert_eq!(hits.len(), 2);
}

#[test]
fn parts_of_one_turn_reuse_a_connection_and_later_ones_too() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    harness.answer_all();
    harness.ask(1, &[1.0]);
    assert_eq!(
        (
            harness.connections.len(),
            harness.state.counters().connections.opened
        ),
        (1, 1)
    );
    assert_eq!(calls(&harness).len(), 3);
}

#[test]
fn a_full_connection_gets_a_second_beside_it() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[0.2; 5]);
    assert_eq!(
        harness.connections.len(),
        2,
        "four streams on one connection"
    );
}

#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    harness.pass(249);
    assert_eq!(harness.state.counters().attempt_outcomes.connect_failed, 0);
    harness.pass(2);
    assert!(harness.state.counters().attempt_outcomes.connect_failed >= 1);
    assert!(calls(&harness).is_empty());
}

#[test]
fn what_waits_for_a_connection_is_dropped_whole_when_its_replica_drains() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    let connection = *harness.connections.keys().next().unwrap();
    harness.list(1, "draining", 0);
    harness.open(connection);
    harness.pass(3000);
    assert!(
        calls(&harness).is_empty(),
        "its first byte would break the rule"
    );
    assert_eq!(harness.state.counters().attempt_outcomes.not_sent, 1);
}

#[test]
fn a_frame_cut_off_before_its_end_never_ran_and_after_it_may_have() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    let connection = *harness.connections.keys().next().unwrap();
    harness.break_off(connection);
    assert_eq!(
        (
            harness.state.counters().attempt_outcomes.connect_failed,
            harness.state.counters().attempt_outcomes.connection_reset
        ),
        (1, 0)
    );
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    harness.break_off(connection);
    assert_eq!(
        (
            harness.state.counters().attempt_outcomes.connect_failed,
            harness.state.counters().attempt_outcomes.connection_reset
        ),
        (0, 1)
    );
}

#[test]
fn a_connection_that_swallowed_an_attempt_gets_nothing_more() {
    let mut harness = Harness::new(1);
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    let old = *harness.connections.keys().next().unwrap();
    // The only replica answers nothing until the client gives up.
    harness.pass(6000);
    assert!(harness.reply(client).is_some());
    assert!(
        !harness.connections.contains_key(&old),
        "closed, since nothing more is out on it"
    );
    harness.ask(1, &[1.0]);
    assert!(
        harness
            .connections
            .keys()
            .all(|connection| *connection > old),
        "a new one shows at once whether anyone is there"
    );
}

#[test]
fn a_frame_that_the_socket_never_takes_does_not_hold_its_connection_for_ever() {
    let mut harness = Harness::new(1);
    harness.stuck = true;
    harness.ask(1, &[1.0]);
    harness.open_all();
    let old = *harness.connections.keys().next().unwrap();
    harness.pass(6000);
    assert!(
        !harness.connections.contains_key(&old),
        "its machine has vanished with the buffer full"
    );
}

#[test]
fn what_expired_while_it_waited_does_not_go_out_when_the_socket_is_free_at_last() {
    let mut harness = Harness::new(1);
    harness.stuck = true;
    harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    let effects = harness
        .state
        .apply(START + 2100 * MS, Input::FrameWritten { connection });
    assert_eq!(effects, [], "its time was the aim of 2 s");
    assert_eq!(harness.state.counters().attempt_outcomes.not_sent, 1);
}

#[test]
fn a_late_answer_to_what_was_given_up_is_ignored() {
    let mut harness = Harness::new(1);
    let first = harness.ask(1, &[1.0]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    harness.left.insert(first);
    harness.put(Input::ClientClosed { client: first });
    assert!(harness
        .frames
        .iter()
        .any(|(_, frame)| *frame == LeafRequest::Cancel("q1.0".into())));
    harness.answer_to(connection, "q1.0", PartStatus::Ok);
    assert_eq!(harness.state.counters().attempt_outcomes.ok, 0);
    assert!(
        harness.replies[&first].is_empty(),
        "nobody is there to be told"
    );
}

#[test]
fn an_idle_connection_is_closed_before_its_other_end_does_so() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    harness.pass(26_000);
    assert_eq!(harness.connections.len(), 1);
    harness.pass(3_000);
    assert!(harness.connections.is_empty());
}

#[test]
fn over_the_cap_a_query_is_refused_at_once_with_advice() {
    let mut harness = Harness::new(1);
    let clients: Vec<u64> = (0..20).map(|_| harness.ask(1, &[0.2; 5])).collect();
    let at_once = clients
        .iter()
        .filter(|client| refused(harness.reply(**client)))
        .count();
    assert_eq!(
        harness.state.counters().requests.over_limit,
        10,
        "ten queries of five parts fill the cap of 60"
    );
    assert!(at_once >= 10);
}

#[test]
fn parts_that_are_in_leave_room_under_the_cap() {
    let mut harness = Harness::new(3);
    (0..10).for_each(|_| {
        harness.ask(1, &[0.2; 5]);
    });
    harness.open_all();
    let connection = *harness.out.keys().next().unwrap();
    harness.answer(connection, PartStatus::Ok);
    let client = harness.ask(1, &[0.2; 5]);
    assert_eq!(harness.reply(client), None, "59 are open, 60 may be");
    let client = harness.ask(1, &[0.2; 5]);
    assert!(refused(harness.reply(client)));
}

#[test]
fn queries_that_ended_in_any_way_leave_all_their_room_under_the_cap() {
    let mut harness = Harness::new(3);
    let answered = harness.ask(1, &[0.2; 5]);
    harness.open_all();
    harness.answer_all();
    assert!(matches!(
        harness.reply(answered),
        Some(Reply::Answer { complete: true, .. })
    ));
    for values in 0..3 {
        let gone = harness.ask(1, &[0.2; 5]);
        harness.open_all();
        let connection = *harness
            .out
            .iter()
            .find(|(_, out)| out.len() >= values)
            .expect("parts are out")
            .0;
        (0..values).for_each(|_| harness.answer(connection, PartStatus::Ok));
        harness.left.insert(gone);
        harness.put(Input::ClientClosed { client: gone });
    }
    let clients: Vec<u64> = (0..12).map(|_| harness.ask(1, &[0.2; 5])).collect();
    let at_once: Vec<bool> = clients
        .iter()
        .map(|client| refused(harness.reply(*client)))
        .collect();
    assert_eq!(
        at_once,
        [[false; 10].as_slice(), &[true; 2]].concat(),
        "ten queries of five parts fill the cap of 60"
    );
}

#[test]
fn what_is_given_up_is_refused_at_once_with_advice() {
    let mut harness = Harness::new(1);
    harness.list(1, "removed", 0);
    let client = harness.ask(1, &[1.0]);
    assert!(
        refused(harness.reply(client)),
        "{:?}",
        harness.reply(client)
    );
    assert_eq!(harness.replies[&client][0].0, START);
}

#[test]
fn a_client_without_time_left_is_refused_and_nothing_is_sent() {
    let mut harness = Harness::new(1);
    let client = harness.connect();
    harness.ask_on(client, 1, &[1.0], 5);
    assert!(refused(harness.reply(client)));
    assert!(harness.connections.is_empty());
}

#[test]
fn every_query_is_over_before_its_client_gives_up() {
    let mut harness = Harness::new(2);
    let client = harness.ask(0, &[0.5, 0.5]);
    harness.pass(10_000);
    assert!(harness.replies[&client][0].0 < START + 5000 * MS);
    assert_eq!(harness.state.counters().faults.deadline_reached, 0);
}

#[test]
fn not_ready_without_a_list_nor_once_told_to_end() {
    let ready = |harness: &mut Harness| {
        let client = harness.connect();
        harness.put(Input::RequestReceived {
            client,
            received_at: harness.now,
            request: Ok(ClientRequest::Ready),
        });
        harness.reply(client) == Some(&Reply::Ready(true))
    };
    let mut harness = Harness::new(0);
    assert!(!ready(&mut harness));
    harness.list(1, "up", 0);
    assert!(ready(&mut harness));
    harness.put(Input::ShutdownRequested);
    assert!(!ready(&mut harness));
}

#[test]
fn many_idle_clients_at_once_each_make_room_for_one_more() {
    let mut harness = Harness::new(1);
    let opened = |client| harness.state.apply(START, Input::ClientOpened { client });
    let closed: Vec<Effect> = (1..=470).flat_map(opened).collect();
    let oldest: Vec<Effect> = (1..=20)
        .map(|client| Effect::CloseClient {
            client,
            immediate: true,
        })
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
    let mut harness = Harness::new(1);
    let good = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    (0..2000).for_each(|_| {
        harness.connect();
    });
    assert!(harness.closed.len() > 1500 && !harness.closed.contains(&good));
}

/// Some clients ask once and keep their connection for good.
#[test]
fn clients_idle_for_two_seconds_make_room_before_it_runs_out() {
    let mut harness = Harness::new(1);
    let ask_once = |harness: &mut Harness| {
        let client = harness.ask(1, &[1.0]);
        harness.open_all();
        harness.answer_all();
        client
    };
    let early: Vec<u64> = (0..300).map(|_| ask_once(&mut harness)).collect();
    assert!(harness.closed.is_empty());
    harness.pass(2000);
    let late: Vec<u64> = (0..150).map(|_| ask_once(&mut harness)).collect();
    assert!(
        early[..70]
            .iter()
            .all(|client| harness.closed.contains(client)),
        "down to half of the room"
    );
    assert!(!late.iter().any(|client| harness.closed.contains(client)));
}

#[test]
fn a_second_query_under_the_id_of_an_open_one_is_turned_away() {
    let mut harness = Harness::new(1);
    let client = harness.ask(1, &[1.0]);
    let other = harness.connect();
    let ask_as = |harness: &mut Harness| {
        let part = PartRequest {
            shard: 0,
            weight: 1.0,
            work: None,
        };
        let query = QueryRequest {
            request_id: format!("q{client}"),
            class: 1,
            tenant: 0,
            timeout: 5000 * MS,
            client_retry: false,
            idempotency_key: None,
            parts: vec![part],
            text: Default::default(),
        };
        harness.put(Input::RequestReceived {
            client: other,
            received_at: harness.now,
            request: Ok(ClientRequest::Query(query)),
        });
        harness.reply(other).cloned()
    };
    assert!(matches!(
        ask_as(&mut harness),
        Some(Reply::InvalidRequest(RequestError { status: 409, .. }))
    ));
    harness.open_all();
    assert_eq!(
        calls(&harness).len(),
        1,
        "its parts would have the same names"
    );
    harness.answer_all();
    ask_as(&mut harness);
    assert_eq!(calls(&harness).len(), 2, "the first is over");
}

#[test]
fn a_spoilt_answer_fails_its_attempt_and_frees_the_others_at_once() {
    for named in [true, false] {
        let mut harness = Harness::new(2);
        let client = harness.ask(1, &[0.25; 4]);
        harness.open_all();
        let connection = *harness
            .out
            .iter()
            .max_by_key(|(_, out)| out.len())
            .unwrap()
            .0;
        let there = harness.out[&connection].len() as u64;
        harness.spoil(connection, named);
        let ended = harness.state.counters().attempt_outcomes.clone();
        assert_eq!(
            (ended.error, ended.cancelled, ended.connection_reset),
            (1, there - 1, 0)
        );
        assert!(
            !harness.connections.contains_key(&connection),
            "where its next frame begins is not known"
        );
        harness.open_all();
        harness.answer_all();
        assert!(matches!(
            harness.reply(client),
            Some(Reply::Answer { complete: true, .. })
        ));
        assert_eq!(harness.now, START, "nothing was waited for");
    }
}

/// Its socket may have taken it to the last byte and not have said so yet: a part that may not run twice must not be
/// sent again for that.
#[test]
fn a_call_at_a_socket_that_we_close_may_have_run() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[1.0]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    harness.stuck = true;
    harness.ask(1, &[1.0]);
    harness.spoil(connection, true);
    let ended = &harness.state.counters().attempt_outcomes;
    assert_eq!(
        (ended.error, ended.connection_reset, ended.connect_failed),
        (1, 1, 0)
    );
}

#[test]
fn an_answer_for_nothing_that_is_out_is_spoilt_but_a_copy_is_not() {
    let mut harness = Harness::new(1);
    harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    let connection = *harness.connections.keys().next().unwrap();
    harness.answer_to(connection, "q1.1", PartStatus::Ok);
    harness.answer_to(connection, "q1.1", PartStatus::Ok);
    assert_eq!(harness.state.counters().connections.malformed, 0);
    harness.answer_to(connection, "q9.0", PartStatus::Ok);
    assert_eq!(harness.state.counters().connections.malformed, 1);
    assert_eq!(
        harness.state.counters().attempt_outcomes.error,
        1,
        "the one that was out has failed"
    );
}

/// Replicas, clients and queries of ever new names, all day long.
#[test]
fn what_is_held_does_not_grow_with_the_names_that_came_and_went() {
    let mut harness = Harness::new(1);
    let (mut held, mut replica) = (Vec::new(), 1);
    for _ in 0..4 {
        for _ in 0..100 {
            replica += 1;
            harness.list(replica, "up", 0);
            harness.list(replica - 1, "removed", 0);
            let client = harness.ask(1, &[0.5, 0.5]);
            harness.open_all();
            harness.answer_all();
            harness.pass(150);
            harness.left.insert(client);
            harness.put(Input::ClientClosed { client });
        }
        held.push(harness.state.retained_entries());
    }
    assert!(held[1..].iter().all(|now| *now <= held[0] + 5), "{held:?}");
    assert_eq!(harness.state.counters().replies.complete, 400);
}

#[test]
fn told_to_end_it_serves_on_then_closes_between_requests_and_finishes_what_it_took() {
    let mut harness = Harness::new(1);
    let idle = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    harness.put(Input::ShutdownRequested);
    harness.pass(700);
    assert!(
        harness.listening && harness.closed.is_empty(),
        "clients may still come for 0.7 s"
    );
    let late = harness.ask(1, &[1.0]);
    harness.pass(100);
    assert!(!harness.listening);
    assert_eq!(harness.closed, [idle]);
    assert!(!harness.exited, "a query is still open");
    harness.answer_all();
    assert!(matches!(
        harness.reply(late),
        Some(Reply::Answer { complete: true, .. })
    ));
    assert!(harness.exited);
}

#[test]
fn told_to_end_it_leaves_nothing_for_the_kill() {
    let mut harness = Harness::new(1);
    harness.put(Input::ShutdownRequested);
    harness.pass(690);
    let client = harness.connect();
    harness.ask_on(client, 1, &[1.0], 6000);
    harness.pass(5400);
    assert_eq!(
        harness.replies[&client].len(),
        1,
        "SIGKILL may come 6.7 s after SIGTERM"
    );
    assert!(harness.exited);
}

#[test]
fn a_client_accepted_as_the_listener_goes_does_not_hold_up_the_end() {
    let mut harness = Harness::new(1);
    harness.put(Input::ShutdownRequested);
    harness.pass(800);
    assert!(harness.exited);
    let mut harness = Harness::new(1);
    let busy = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.put(Input::ShutdownRequested);
    harness.pass(800);
    let idle = harness.connect();
    assert_eq!(harness.closed, [idle]);
    harness.answer_all();
    assert!(harness.exited && harness.replies[&busy].len() == 1);
}

/// The whole list: replica 2 alone, at this address.
fn only_the_second(address: &str) -> Input {
    let line = serde_json::json!({"name": "s-2", "address": address, "group": 0, "status": "up"});
    let whole = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [line]});
    Input::EndpointsUpdated(serde_json::from_value(whole).expect("a list"))
}

#[test]
fn a_remembered_list_may_be_old_and_a_whole_one_replaces_it() {
    let mut harness = Harness::new(2);
    harness.put(only_the_second(&harness::address(2)));
    harness.ask(1, &[0.5, 0.5]);
    assert!(
        harness
            .connections
            .values()
            .all(|(address, _)| *address == harness::address(2)),
        "{:?}",
        harness.connections
    );
    assert_eq!(harness.state.endpoint_list_version(), 9);
}

#[test]
fn a_replica_that_has_moved_is_asked_at_its_new_address() {
    let mut harness = Harness::new(2);
    harness.ask(1, &[0.5, 0.5]);
    harness.open_all();
    harness.answer_all();
    harness.told("127.0.0.9:7070", "up");
    harness.put(only_the_second("127.0.0.9:7070"));
    let before = harness.frames.len();
    harness.ask(1, &[1.0]);
    harness.open_all();
    let sent: Vec<&str> = harness.frames[before..]
        .iter()
        .map(|(connection, _)| harness.connections[connection].0.as_str())
        .collect();
    assert_eq!(sent, ["127.0.0.9:7070"]);
}
