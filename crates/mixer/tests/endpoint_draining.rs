//! Servers that leave: what is told is obeyed at once, whatever waits, and whatever discovery does meanwhile.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::PartStatus;
use cottonhill_mixer::protocol::query_json::{ClientRequest, Reply};
use cottonhill_mixer::reducer::Input;
use harness::{deployments, Harness, GRACE, MS, SETTINGS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ready(harness: &mut Harness) -> bool {
    let client = harness.connect();
    harness.put(Input::RequestReceived {
        client,
        received_at: harness.now,
        request: Ok(ClientRequest::Ready),
    });
    harness.reply(client) == Some(&Reply::Ready(true))
}

fn whole(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Answer { complete: true, .. }))
}

#[test]
fn a_new_process_sends_nothing_on_an_old_list_before_it_has_heard_what_holds() {
    for text in deployments() {
        let mut harness = Harness::unheard(&text, 2, 1024);
        assert!(!ready(&mut harness));
        let client = harness.ask(1, &[0.5, 0.5]);
        harness.pass(10);
        assert!(harness.connections.is_empty() && harness.reply(client).is_none());
        harness.list(1, "draining", 0);
        harness.open_all();
        assert!(ready(&mut harness));
        assert_eq!(
            harness.called(),
            vec![harness::address(2); 2],
            "at once, and not to the one that leaves"
        );
        harness.answer_all();
        assert!(whole(harness.reply(client)));
    }
}

#[test]
fn where_discovery_is_silent_a_new_process_serves_from_the_list_it_held() {
    for text in [
        SETTINGS.to_string(),
        SETTINGS.to_string() + "discovery=on_request\n",
    ] {
        serves_from_what_it_held(&text);
    }
}

fn serves_from_what_it_held(text: &str) {
    let mut harness = Harness::unheard(text, 2, 1024);
    let (client, late) = (harness.ask(1, &[0.5, 0.5]), harness.connect());
    harness.ask_on(late, 1, &[1.0], 300);
    harness.pass(999);
    assert!(!ready(&mut harness) && harness.connections.is_empty());
    assert_eq!(
        harness.replies[&late].len(),
        1,
        "answered in its time all the same"
    );
    harness.pass(2);
    assert!(ready(&mut harness));
    harness.open_all();
    harness.answer_all();
    assert!(whole(harness.reply(client)));
    assert_eq!(harness.state.counters().watches.startup_timeouts, 1);
}

#[test]
fn a_discovery_that_is_behind_the_one_before_brings_nothing_back_that_leaves() {
    let mut harness = Harness::new(4);
    harness.list(1, "draining", 0);
    harness.list(2, "removed", 0);
    harness.put(Input::ConfigReloaded {
        discovery: Some("127.0.0.1:8501".parse().unwrap()),
    });
    assert_eq!(
        harness.watches,
        [None],
        "versions are each discovery's own: the whole list comes first"
    );
    let all = [(1, "up", 0), (2, "up", 0), (3, "up", 0), (4, "up", 0)];
    harness.listed(true, &all);
    harness.listed(false, &all[..2]);
    harness.ask(1, &[0.2; 5]);
    harness.open_all();
    harness.answer_all();
    assert!(
        harness
            .connections
            .values()
            .all(|(at, _)| *at != harness::address(1) && *at != harness::address(2)),
        "{:?}",
        harness.connections
    );
    harness.told(&harness::address(2), "up");
    harness.listed(false, &[(2, "up", harness.now)]);
    harness.pass(5990);
    assert_eq!(harness.watches.len(), 1);
    harness.pass(20);
    assert_eq!(
        harness.watches,
        [None, None],
        "its last word is asked for once it must have it"
    );
    harness.told(&harness::address(1), "up");
    harness.listed(true, &all[..1]);
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    harness.answer_all();
    assert!(
        whole(harness.reply(client)),
        "by then it is believed: {:?}",
        harness.reply(client)
    );
}

#[test]
fn a_call_that_its_socket_never_began_goes_elsewhere_in_time() {
    let mut harness = Harness::new(2);
    harness.stuck = true;
    let client = harness.ask(1, &[1.0]);
    harness.open_all();
    let stuck = harness.frames[0].0;
    let leaves = if harness.connections[&stuck].0 == harness::address(1) {
        1
    } else {
        2
    };
    harness.list(leaves, "draining", 0);
    harness.pass(GRACE / MS);
    assert!(
        !harness.connections.contains_key(&stuck),
        "it may go out at any moment"
    );
    harness.stuck = false;
    harness.open_all();
    harness.answer_all();
    assert!(whole(harness.reply(client)), "{:?}", harness.reply(client));
    assert_eq!(harness.state.counters().connections.write_stalled, 1);
}

#[test]
fn what_waits_for_an_address_that_its_replica_has_left_goes_to_the_new_one() {
    let mut harness = Harness::new(1);
    let client = harness.ask(1, &[1.0]);
    let old = *harness.connections.keys().next().unwrap();
    harness.move_to(1, 1001);
    harness.list(1, "up", 0);
    harness.move_to(1, 1001);
    harness.open(old);
    harness.open_all();
    assert!(
        !harness.connections.contains_key(&old),
        "nothing is to be had there"
    );
    harness.answer_all();
    harness.pass(500);
    harness.open_all();
    harness.answer_all();
    assert!(whole(harness.reply(client)), "{:?}", harness.reply(client));
}

#[test]
fn more_leaf_servers_than_descriptors_can_all_be_asked() {
    let mut harness = Harness::wide(1024, 64);
    for shard in 0..1024 {
        let client = harness.connect();
        harness.ask_part(client, 1, shard);
        harness.open_all();
        harness.answer_all();
        assert!(
            whole(harness.reply(client)),
            "shard {shard}: {:?}",
            harness.reply(client)
        );
    }
    assert!(harness.connections.len() <= 64 * 4 / 10);
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// `Harness::begin` checks each first byte against what was told, `Harness::perform` each connection and each frame.
    #[test]
    fn no_first_byte_goes_out_later_than_the_grace_after_a_list_was_taken(
        steps in prop::collection::vec((0u8..14, any::<u64>(), 1u64..300), 1..80),
    ) {
        let mut harness = Harness::new(4);
        harness.stuck = true;
        for (kind, dice, ms) in steps {
            let connections: Vec<u64> = harness.connections.keys().copied().collect();
            let connection = connections.get(dice as usize % connections.len().max(1)).copied();
            let replica = 1 + dice % 4;
            match (kind, connection) {
                (0..=2, _) => drop(harness.ask((dice % 2) as u16, &[0.5, 0.3, 0.2])),
                (3, Some(connection)) => harness.open(connection),
                (4..=6, Some(connection)) => harness.begin(connection),
                (7, Some(connection)) => harness.answer(connection, [PartStatus::Ok, PartStatus::Busy][dice as usize % 2]),
                (8, Some(connection)) => harness.break_off(connection),
                (9, _) => harness.list(replica, ["draining", "removed"][dice as usize / 4 % 2], 0),
                (10, _) => harness.list(replica, "up", harness.now),
                (11, _) => harness.move_to(replica, replica + 1000 * (dice / 4 % 2)),
                _ => harness.pass(ms),
            }
        }
        harness.stuck = false;
        harness.pass(20_000);
        for (client, replies) in &harness.replies {
            prop_assert_eq!(replies.len(), 1, "client {}: {:?}", client, replies);
        }
        prop_assert_eq!(&harness.state.counters().faults, &Default::default());
    }
}
