//! The retry budget: how many retries a window allows, and which classes get them.

mod support;

use cottonhill_decisions::{Action, Outcome, RequestId, RetryBudget, Settings};
use support::{
    class, complete_only_settings, first_attempts_ended, first_replica, sent_parts, settings,
    Harness, MS,
};

/// A budget of `minimum` retries per second regardless of traffic.
fn retries_per_second(minimum: f64) -> Option<RetryBudget> {
    Some(RetryBudget {
        minimum,
        ratio: 0.0,
        window: 1000 * MS,
    })
}

/// Number of times that a part is sent.
fn times_sent(actions: &[Action], part: RequestId) -> usize {
    sent_parts(actions)
        .iter()
        .filter(|sent| sent.part == part)
        .count()
}

#[test]
fn limits_retries_until_budget_window_has_passed() {
    let one_retry = Settings {
        retry_budget: retries_per_second(1.0),
        ..complete_only_settings()
    };
    let mut harness = Harness::new(one_retry, 3);
    let (first, actions) = harness.send_query(0, 0, &[1.0]);
    let replica = first_replica(&actions);
    let retried = harness.end_attempt(10, first + 1, 0, replica, Outcome::Error);
    assert_eq!(sent_parts(&retried).len(), 1);
    harness.end_attempt(15, first + 1, 1, first_replica(&retried), Outcome::Ok);
    let (second, actions) = harness.send_query(20, 0, &[1.0]);
    harness.end_attempt(30, second + 1, 0, first_replica(&actions), Outcome::Error);
    assert_eq!(times_sent(&harness.run_timers(40, 1010), second + 1), 0);
    assert_eq!(times_sent(&harness.run_timers(1020, 1100), second + 1), 1);
}

/// Retries for queries that allow partial answers must not use up the budget of queries that need every part.
#[test]
fn reserves_half_of_budget_for_classes_that_need_every_part() {
    let four_retries = Settings {
        retry_budget: retries_per_second(4.0),
        max_parts_per_call: None,
        ..settings(vec![class(2000, 0.5), class(2000, 1.0)])
    };
    let mut harness = Harness::new(four_retries, 20);
    let retries = [0, 1].map(|class| {
        let at_ms = 100 * u64::from(class);
        let (_, actions) = harness.send_query(at_ms, class, &[0.1; 10]);
        let failed = first_attempts_ended(&sent_parts(&actions), Outcome::Error);
        sent_parts(&harness.process(at_ms + 20, &failed)).len()
    });
    assert_eq!(retries, [2, 2]);
}
