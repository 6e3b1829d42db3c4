//! Completion of queries: complete and partial answers, rejections, and the end after a client disconnect.

mod support;

use cottonhill_decisions::{Action, Event, Outcome, Settings};
use support::{
    attempt_ended, class, complete_only_settings, final_replies, first_replica, group_of,
    sent_parts, settings, FinalReply, Harness, Query, SentPart, MS,
};

#[test]
fn ends_each_query_once_before_its_deadline() {
    for late_weight_fraction in [0.0, 0.3] {
        let mut query_class = class(2000, 1.0);
        query_class.late_weight_fraction = late_weight_fraction;
        let mut harness = Harness::new(settings(vec![query_class]), 3);
        harness.send_query(0, 0, &[0.5, 0.5]);
        let actions = harness.run_timers(0, 7000);
        assert_eq!(final_replies(&actions), [FinalReply::Rejected]);
        let without_time = Query {
            client_timeout: 1,
            ..Query::new(0, &[1.0])
        };
        let (_, actions) = harness.submit(7000, without_time);
        assert_eq!(
            final_replies(&actions).len(),
            1,
            "a client that does not wait"
        );
    }
}

#[test]
fn cancels_attempts_and_sends_nothing_after_client_disconnect() {
    let mut harness = Harness::new(complete_only_settings(), 3);
    let (id, actions) = harness.send_query(0, 0, &[1.0]);
    let SentPart { part, replica } = sent_parts(&actions)[0];
    let lost = Event::AttemptEnded {
        part,
        attempt: 0,
        replica,
        outcome: Outcome::ConnectionReset,
        report: vec![],
    };
    let after = harness.process(50, &[lost, Event::ClientDisconnected { id }]);
    assert!(sent_parts(&after).is_empty() && final_replies(&after).is_empty());
    let (id, _) = harness.send_query(60, 0, &[1.0]);
    let after = harness.disconnect_client(100, id);
    let cancel = Action::Cancel {
        part: id + 1,
        attempt: 0,
    };
    assert!(
        after.contains(&cancel),
        "the attempt in flight is cancelled"
    );
}

#[test]
fn counts_each_part_once_and_never_answers_below_minimum_coverage() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = harness.send_query(0, 0, &[0.5, 0.5]);
    let replica = first_replica(&actions);
    harness.end_attempt(100, id + 1, 0, replica, Outcome::Ok);
    let duplicate = harness.end_attempt(110, id + 1, 0, replica, Outcome::Ok);
    assert!(final_replies(&duplicate).is_empty());
    let actions = harness.run_timers(120, 6000);
    assert_eq!(final_replies(&actions), [FinalReply::Rejected]);
}

#[test]
fn sends_partial_answer_just_before_latency_objective() {
    let mut harness = Harness::new(settings(vec![class(2000, 0.6)]), 3);
    let (id, actions) = harness.send_query(0, 0, &[0.7, 0.3]);
    harness.end_attempt(100, id + 1, 0, first_replica(&actions), Outcome::Ok);
    assert!(final_replies(&harness.run_timers(110, 1900)).is_empty());
    let actions = harness.run_timers(1910, 1995);
    assert_eq!(final_replies(&actions), [FinalReply::Partial]);
}

#[test]
fn answers_at_completeness_threshold_and_cancels_remaining_parts() {
    let mut query_class = class(2000, 1.0);
    query_class.completeness_threshold = 0.5;
    query_class.minimum_coverage = 0.5;
    let mut harness = Harness::new(settings(vec![query_class]), 3);
    let (id, actions) = harness.send_query(0, 0, &[0.5, 0.5]);
    let after = harness.end_attempt(100, id + 1, 0, first_replica(&actions), Outcome::Ok);
    assert_eq!(final_replies(&after), [FinalReply::Complete]);
    assert!(after.contains(&Action::Cancel {
        part: id + 2,
        attempt: 0
    }));
}

#[test]
fn second_phase_is_complete_only_if_first_phase_was() {
    for (answered_parts, expected) in [(2, FinalReply::Complete), (1, FinalReply::Partial)] {
        let mut query_class = class(2000, 0.4);
        query_class.second_phase_parts = 1;
        let mut harness = Harness::new(settings(vec![query_class]), 3);
        let (id, actions) = harness.send_query(0, 0, &[0.5, 0.5]);
        let replica = first_replica(&actions);
        for part in 1..=answered_parts {
            harness.end_attempt(100, id + part, 0, replica, Outcome::Ok);
        }
        let first_phase_end = harness.run_timers(110, 1000);
        assert!(
            answered_parts == 2 || final_replies(&first_phase_end) == [FinalReply::Partial],
            "half of the latency objective is reserved for the second phase"
        );
        let second_phase_part = Event::PartReceived {
            id: id + 50,
            group: group_of(id),
            shard: 0,
            weight: 1.0,
        };
        let actions = harness.process(1010, &[second_phase_part]);
        let SentPart { part, replica } = sent_parts(&actions)[0];
        let after = harness.end_attempt(1100, part, 0, replica, Outcome::Ok);
        assert_eq!(final_replies(&after), [expected]);
    }
}

#[test]
fn rejects_two_phase_query_without_time_to_answer() {
    let mut query_class = class(2000, 0.4);
    query_class.second_phase_parts = 1;
    let mut harness = Harness::new(settings(vec![query_class]), 3);
    let delayed_query = Query {
        client_timeout: 3000 * MS,
        network_delay: 1995 * MS,
        ..Query::new(0, &[0.5, 0.5])
    };
    let (_, actions) = harness.submit(0, delayed_query);
    let all_actions = [actions, harness.run_timers(10, 3000)].concat();
    assert_eq!(
        final_replies(&all_actions),
        [FinalReply::Rejected],
        "no time remains for an answer"
    );
}

/// The query is rejected as soon as one part can no longer be answered, although another is still in flight.
#[test]
fn rejects_query_once_it_can_no_longer_be_complete() {
    let single_attempt = Settings {
        max_attempts: Some(1),
        ..complete_only_settings()
    };
    let mut harness = Harness::new(single_attempt, 4);
    let (id, actions) = harness.send_query(0, 0, &[0.5, 0.5]);
    let replica = first_replica(&actions);
    let after = harness.end_attempt(20, id + 1, 0, replica, Outcome::ConnectFailed);
    assert_eq!(final_replies(&after), [FinalReply::Rejected]);
}

/// Time at which a query with this network delay is answered partially, in ms after its arrival.
fn partial_answer_at_ms(network_delay_ms: u64) -> Option<u64> {
    let mut harness = Harness::new(settings(vec![class(600, 0.5)]), 2);
    let query = Query {
        client_timeout: 1600 * MS,
        network_delay: network_delay_ms * MS,
        ..Query::new(0, &[0.5, 0.5])
    };
    let (_, actions) = harness.submit(0, query);
    let first = sent_parts(&actions)[0];
    let answered = attempt_ended(first.part, 0, first.replica, Outcome::Ok);
    harness.process(50, &[answered]);
    (6..80)
        .map(|tick| tick * 10)
        .find(|at_ms| final_replies(&harness.fire_timer(*at_ms)).contains(&FinalReply::Partial))
}

/// The client measures the latency from the time when it sends the query. The transit times of the query and the answer
/// are therefore subtracted from the latency objective, as they are from the client's timeout.
#[test]
fn partial_answer_leaves_time_for_network_delay() {
    let without_delay_ms = partial_answer_at_ms(0).expect("in time");
    let with_delay_ms = partial_answer_at_ms(40).expect("in time");
    assert!(
        with_delay_ms <= 560,
        "{with_delay_ms} ms of an objective that ends after 560"
    );
    assert_eq!(without_delay_ms - with_delay_ms, 40);
}
