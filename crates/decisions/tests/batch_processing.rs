//! Processing of batches: the actions are deterministic, and invalid events are tolerated.

mod support;

use cottonhill_decisions::{EndpointUpdateKind, Event, Outcome, ReplicaId};
use support::{class, final_replies, sent_parts, settings, FinalReply, Harness};

#[test]
fn same_events_produce_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(vec![class(2000, 0.5)]), 5);
        let mut all_actions = Vec::new();
        for i in 0..20 {
            all_actions.extend(harness.send_query(i * 30, 0, &[0.4, 0.3, 0.3]).1);
        }
        all_actions.extend(harness.run_timers(600, 2500));
        all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn tolerates_unknown_ids_and_invalid_values() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.5)]), 2);
    harness.end_attempt(0, 9, 3, ReplicaId(77), Outcome::Ok);
    let unknown_query_and_timer = [
        Event::ClientDisconnected { id: 5 },
        Event::TimerFired { token: 9 },
    ];
    harness.process(1, &unknown_query_and_timer);
    let part_of_unknown_query = Event::PartReceived {
        id: 3,
        group: 99,
        shard: 0,
        weight: 1.0,
    };
    harness.process(2, &[part_of_unknown_query]);
    let (_, actions) = harness.send_query(3, 0, &[f64::NAN, -1.0, 1.0]);
    assert_eq!(sent_parts(&actions).len(), 3);
    let (_, unknown_class) = harness.send_query(4, 9, &[1.0]);
    assert!(sent_parts(&unknown_class).is_empty());
    harness.update_endpoints(EndpointUpdateKind::Snapshot, vec![]);
    let (_, without_endpoints) = harness.send_query(5, 0, &[1.0]);
    assert_eq!(
        final_replies(&without_endpoints),
        [FinalReply::Rejected],
        "no replica holds the shard"
    );
    assert_eq!(final_replies(&harness.run_timers(10, 6000)).len(), 1);
}
