//! Polling for the endpoint list if the discovery service does not push it.

mod support;

use cottonhill_decisions::{Action, DiscoveryMode, EndpointUpdateKind, Event, Settings};
use support::{complete_only_settings, ready_endpoint, Harness, MS};

const MAX_LIST_STALENESS_MS: u64 = 20_000;

fn subscribes(actions: &[Action]) -> bool {
    actions.contains(&Action::SubscribeEndpoints { enabled: true })
}

fn sets_timer(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::SetTimer { .. }))
}

/// Time of the coordinator's next subscription after `after_ms`, in steps of 10 ms.
fn next_subscription_ms(harness: &mut Harness, after_ms: u64) -> u64 {
    (after_ms / 10 + 1..)
        .map(|tick| tick * 10)
        .find(|at_ms| subscribes(&harness.fire_timer(*at_ms)))
        .expect("the coordinator subscribes again")
}

/// If all coordinators repeated failed requests immediately, the discovery service would remain overloaded.
#[test]
fn polls_again_after_failure_with_growing_backoff() {
    let polling = Settings {
        discovery_mode: DiscoveryMode::Poll,
        max_list_staleness: MAX_LIST_STALENESS_MS * MS,
        ..complete_only_settings()
    };
    let mut harness = Harness::without_endpoints(polling, 1);
    assert!(subscribes(&harness.process(0, &[])));
    assert!(!subscribes(&harness.process(10, &[])));
    let mut subscribed_at_ms = 0;
    for failure in 0..4 {
        let failed_at_ms = subscribed_at_ms + 20;
        let failed = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::RequestFailed,
            endpoints: vec![],
        };
        let actions = harness.process(failed_at_ms, &[failed]);
        assert!(
            sets_timer(&actions) && !subscribes(&actions),
            "sets a timer instead of an immediate request, even if no query is open"
        );
        subscribed_at_ms = next_subscription_ms(&mut harness, failed_at_ms);
        let backoff_ms = subscribed_at_ms - failed_at_ms;
        assert!(
            backoff_ms >= 500 << failure,
            "the minimum backoff doubles with each failure"
        );
        assert!(
            backoff_ms <= MAX_LIST_STALENESS_MS,
            "the list is requested within its maximum staleness"
        );
    }
    harness.update_endpoints(EndpointUpdateKind::Delta, vec![ready_endpoint(1)]);
    assert!(
        (0..300).all(|i| !subscribes(&harness.fire_timer(subscribed_at_ms + 100 + i * 100))),
        "no further subscription after an update"
    );
}
