//! Active health checks: after failures of many replicas, replicas that were not contacted are probed before they
//! receive parts.

mod support;

use cottonhill_decisions::{Action, Event, Outcome, ReplicaId, Settings};
use support::{first_attempts_ended, sent_parts, unbatched_settings, Harness, MS};

fn probed_replicas(actions: &[Action]) -> Vec<ReplicaId> {
    let probed = |action: &Action| match action {
        Action::Probe { replica } => Some(*replica),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

/// Failures of many replicas may be due to the coordinator's own network. Probes instead of parts determine which of
/// the replicas without contact are reachable.
#[test]
fn probes_uncontacted_replicas_once_after_many_failures() {
    for probing_enabled in [false, true] {
        let settings = Settings {
            probing_enabled,
            ..unbatched_settings()
        };
        let mut harness = Harness::new(settings, 20);
        let (_, actions) = harness.send_query(0, 0, &[0.25; 4]);
        let sent = sent_parts(&actions);
        let failures = first_attempts_ended(&sent, Outcome::ConnectFailed);
        let probed = probed_replicas(&harness.process(250, &failures));
        assert_eq!(probed.is_empty(), !probing_enabled);
        assert!(
            sent.iter().all(|failed| !probed.contains(&failed.replica)),
            "only replicas that were not contacted are probed"
        );
        assert!(
            probed_replicas(&harness.run_timers(260, 1000)).is_empty(),
            "the replicas are probed once"
        );
        let Some(&unreachable) = probed.first() else {
            continue;
        };
        let probe_timed_out = Event::ProbeEnded {
            replica: unreachable,
            outcome: Outcome::TimedOut,
            latency: 250 * MS,
            report: vec![],
        };
        harness.process(1010, &[probe_timed_out]);
        let (_, actions) = harness.send_query(1020, 0, &[0.1; 10]);
        assert!(sent_parts(&actions)
            .iter()
            .all(|sent| sent.replica != unreachable));
    }
}
