//! Servers that leave: what is told is obeyed at once, whatever waits, and whatever discovery does meanwhile.

mod bed;

use bed::{deployments, Bed, GRACE, MS, SETTINGS};
use cottonhill_mixer::protocol::leaf::End;
use cottonhill_mixer::protocol::query::{Asked, Reply};
use cottonhill_mixer::routing::Input;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ready(bed: &mut Bed) -> bool {
    let client = bed.connect();
    bed.put(Input::Asked {
        client,
        arrived: bed.now,
        asked: Ok(Asked::Ready),
    });
    bed.reply(client) == Some(&Reply::Ready(true))
}

fn whole(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Answer { whole: true, .. }))
}

#[test]
fn a_new_process_sends_nothing_on_an_old_list_before_it_has_heard_what_holds() {
    for text in deployments() {
        let mut bed = Bed::unheard(&text, 2, 1024);
        assert!(!ready(&mut bed));
        let client = bed.ask(1, &[0.5, 0.5]);
        bed.pass(10);
        assert!(bed.links.is_empty() && bed.reply(client).is_none());
        bed.list(1, "draining", 0);
        bed.open_all();
        assert!(ready(&mut bed));
        assert_eq!(
            bed.called(),
            vec![bed::address(2); 2],
            "at once, and not to the one that leaves"
        );
        bed.answer_all();
        assert!(whole(bed.reply(client)));
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
    let mut bed = Bed::unheard(text, 2, 1024);
    let (client, late) = (bed.ask(1, &[0.5, 0.5]), bed.connect());
    bed.ask_on(late, 1, &[1.0], 300);
    bed.pass(999);
    assert!(!ready(&mut bed) && bed.links.is_empty());
    assert_eq!(
        bed.replies[&late].len(),
        1,
        "answered in its time all the same"
    );
    bed.pass(2);
    assert!(ready(&mut bed));
    bed.open_all();
    bed.answer_all();
    assert!(whole(bed.reply(client)));
    assert_eq!(bed.state.counters().watches.unheard, 1);
}

#[test]
fn a_discovery_that_is_behind_the_one_before_brings_nothing_back_that_leaves() {
    let mut bed = Bed::new(4);
    bed.list(1, "draining", 0);
    bed.list(2, "removed", 0);
    bed.put(Input::Reloaded {
        discovery: Some("127.0.0.1:8501".parse().unwrap()),
    });
    assert_eq!(
        bed.watches,
        [None],
        "versions are each discovery's own: the whole list comes first"
    );
    let all = [(1, "up", 0), (2, "up", 0), (3, "up", 0), (4, "up", 0)];
    bed.listed(true, &all);
    bed.listed(false, &all[..2]);
    bed.ask(1, &[0.2; 5]);
    bed.open_all();
    bed.answer_all();
    assert!(
        bed.links
            .values()
            .all(|(at, _)| *at != bed::address(1) && *at != bed::address(2)),
        "{:?}",
        bed.links
    );
    bed.told(&bed::address(2), "up");
    bed.listed(false, &[(2, "up", bed.now)]);
    bed.pass(5990);
    assert_eq!(bed.watches.len(), 1);
    bed.pass(20);
    assert_eq!(
        bed.watches,
        [None, None],
        "its last word is asked for once it must have it"
    );
    bed.told(&bed::address(1), "up");
    bed.listed(true, &all[..1]);
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    assert!(
        whole(bed.reply(client)),
        "by then it is believed: {:?}",
        bed.reply(client)
    );
}

#[test]
fn a_call_that_its_socket_never_began_goes_elsewhere_in_time() {
    let mut bed = Bed::new(2);
    bed.stuck = true;
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    let stuck = bed.frames[0].0;
    let leaves = if bed.links[&stuck].0 == bed::address(1) {
        1
    } else {
        2
    };
    bed.list(leaves, "draining", 0);
    bed.pass(GRACE / MS);
    assert!(
        !bed.links.contains_key(&stuck),
        "it may go out at any moment"
    );
    bed.stuck = false;
    bed.open_all();
    bed.answer_all();
    assert!(whole(bed.reply(client)), "{:?}", bed.reply(client));
    assert_eq!(bed.state.counters().connections.stuck, 1);
}

#[test]
fn what_waits_for_an_address_that_its_replica_has_left_goes_to_the_new_one() {
    let mut bed = Bed::new(1);
    let client = bed.ask(1, &[1.0]);
    let old = *bed.links.keys().next().unwrap();
    bed.move_to(1, 1001);
    bed.list(1, "up", 0);
    bed.move_to(1, 1001);
    bed.open(old);
    bed.open_all();
    assert!(!bed.links.contains_key(&old), "nothing is to be had there");
    bed.answer_all();
    bed.pass(500);
    bed.open_all();
    bed.answer_all();
    assert!(whole(bed.reply(client)), "{:?}", bed.reply(client));
}

#[test]
fn more_leaf_servers_than_descriptors_can_all_be_asked() {
    let mut bed = Bed::wide(1024, 64);
    for shard in 0..1024 {
        let client = bed.connect();
        bed.ask_part(client, 1, shard);
        bed.open_all();
        bed.answer_all();
        assert!(
            whole(bed.reply(client)),
            "shard {shard}: {:?}",
            bed.reply(client)
        );
    }
    assert!(bed.links.len() <= 64 * 4 / 10);
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

    /// `Bed::begin` checks each first byte against what was told, `Bed::perform` each connection and each frame.
    #[test]
    fn no_first_byte_goes_out_later_than_the_grace_after_a_list_was_taken(
        steps in prop::collection::vec((0u8..14, any::<u64>(), 1u64..300), 1..80),
    ) {
        let mut bed = Bed::new(4);
        bed.stuck = true;
        for (kind, dice, ms) in steps {
            let links: Vec<u64> = bed.links.keys().copied().collect();
            let link = links.get(dice as usize % links.len().max(1)).copied();
            let replica = 1 + dice % 4;
            match (kind, link) {
                (0..=2, _) => drop(bed.ask((dice % 2) as u16, &[0.5, 0.3, 0.2])),
                (3, Some(link)) => bed.open(link),
                (4..=6, Some(link)) => bed.begin(link),
                (7, Some(link)) => bed.answer(link, [End::Ok, End::Busy][dice as usize % 2]),
                (8, Some(link)) => bed.break_off(link),
                (9, _) => bed.list(replica, ["draining", "removed"][dice as usize / 4 % 2], 0),
                (10, _) => bed.list(replica, "up", bed.now),
                (11, _) => bed.move_to(replica, replica + 1000 * (dice / 4 % 2)),
                _ => bed.pass(ms),
            }
        }
        bed.stuck = false;
        bed.pass(20_000);
        for (client, replies) in &bed.replies {
            prop_assert_eq!(replies.len(), 1, "client {}: {:?}", client, replies);
        }
        prop_assert_eq!(&bed.state.counters().faults, &Default::default());
    }
}
