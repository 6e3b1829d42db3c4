//! Lost idle connections: idle connections are closed before use for as long as that reduces the losses.

mod support;

use cottonhill_decisions::{Action, Outcome, Settings};
use support::{complete_only_settings, first_replica, Harness, MS};

fn closes_idle_connections(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::CloseIdleConnections { .. }))
}

/// Simulates a network that drops idle connections without notification: attempts on them are reset although the
/// replica is healthy. With `new_connections_fail`, attempts on new connections are reset as well. Returns for each
/// query whether idle connections were closed before it was sent.
fn idle_connection_closes(queries: u64, new_connections_fail: bool) -> Vec<bool> {
    let settings = Settings {
        connection_idle_timeout: 15_000 * MS,
        ..complete_only_settings()
    };
    let mut harness = Harness::new(settings, 2);
    harness.serve_query(0, 50);
    harness.serve_query(10, 60);
    let mut closes = Vec::new();
    for at_ms in (1..=queries).map(|i| i * 4000) {
        let (id, mut actions) = harness.send_query(at_ms, 0, &[1.0]);
        let closed = closes_idle_connections(&actions);
        closes.push(closed);
        let mut attempt = 0;
        if new_connections_fail || !closed {
            let replica = first_replica(&actions);
            actions = harness.end_attempt(at_ms + 5, id + 1, 0, replica, Outcome::ConnectionReset);
            attempt = 1;
        }
        let replica = first_replica(&actions);
        harness.end_attempt(at_ms + 200, id + 1, attempt, replica, Outcome::Ok);
    }
    closes
}

fn count_closes(closes: &[bool]) -> usize {
    closes.iter().filter(|closed| **closed).count()
}

#[test]
fn closes_idle_connections_while_they_are_being_lost() {
    let closes = idle_connection_closes(40, false);
    assert!(
        !closes[..2].contains(&true),
        "one or two losses may be coincidence"
    );
    assert!(count_closes(&closes) > 20, "{closes:?}");
}

#[test]
fn stops_closing_idle_connections_if_it_does_not_reduce_losses() {
    let closes = idle_connection_closes(80, true);
    assert!(
        closes.contains(&true),
        "idle connections are closed at first"
    );
    assert!(count_closes(&closes) < 60, "{closes:?}");
}
