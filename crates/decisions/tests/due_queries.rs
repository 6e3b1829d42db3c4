//! Compares a coordinator that processes only due queries with one that processes every open query in every batch.

mod random_events;
mod support;

use cottonhill_decisions::{Action, Coordinator};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use random_events::Script;
use std::collections::BTreeMap;

const BATCHES: usize = 600;
const ACTION_KINDS: [&str; 9] = [
    "send", "cancel", "complete", "partial", "reject", "fail", "probe", "close", "cutoff",
];

/// Number of actions of each kind.
type ActionCounts = BTreeMap<&'static str, u64>;

/// The actions and cost of both coordinators in one random deployment.
struct Comparison {
    actions: ActionCounts,
    /// Number of queries processed by the coordinator that processes only due queries.
    due_processed: u64,
    /// Number of queries processed by the coordinator that processes all queries.
    all_processed: u64,
}

/// Runs one random deployment with both coordinators and checks that their actions are equal.
fn compare_coordinators(seed: u64) -> Comparison {
    let mut script = Script::new(seed);
    let mut due_only = Coordinator::new(script.settings(), seed);
    let mut all_queries = Coordinator::new(script.settings(), seed);
    all_queries.process_all_queries();
    let mut actions = Vec::new();
    let mut counts = ActionCounts::new();
    for batch in 0..BATCHES {
        let (now, events) = script.next_batch(&actions);
        let mut expected = Vec::new();
        actions.clear();
        due_only.process_batch(now, &events, &mut actions);
        all_queries.process_batch(now, &events, &mut expected);
        assert_eq!(
            actions, expected,
            "seed {seed}, batch {batch}: actions of due queries only differ from those of all queries"
        );
        assert_eq!(
            due_only.retained_entries(),
            all_queries.retained_entries(),
            "seed {seed}, batch {batch}"
        );
        for action in &actions {
            *counts.entry(action_kind(action)).or_default() += 1;
        }
    }
    Comparison {
        actions: counts,
        due_processed: due_only.queries_processed(),
        all_processed: all_queries.queries_processed(),
    }
}

fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Cancel { .. } => "cancel",
        Action::Answer { complete: true, .. } => "complete",
        Action::Answer {
            complete: false, ..
        } => "partial",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        Action::Probe { .. } => "probe",
        Action::CloseIdleConnections { .. } => "close",
        Action::Log(line) if line.starts_with("weight cutoff raised") => "cutoff",
        _ => "other",
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000, rng_seed: RngSeed::Fixed(32), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn processing_due_queries_matches_processing_all_queries(seed in any::<u64>()) {
        compare_coordinators(seed);
    }
}

/// The comparison is only meaningful if the random deployments produce every kind of action.
#[test]
fn random_deployments_produce_every_kind_of_action_and_few_due_queries() {
    let mut actions = ActionCounts::new();
    let (mut due_processed, mut all_processed) = (0, 0);
    for seed in 0..60 {
        let comparison = compare_coordinators(seed);
        for (kind, count) in comparison.actions {
            *actions.entry(kind).or_default() += count;
        }
        due_processed += comparison.due_processed;
        all_processed += comparison.all_processed;
    }
    for kind in ACTION_KINDS {
        assert!(
            actions.get(kind).is_some_and(|count| *count > 50),
            "{kind}: {actions:?}"
        );
    }
    assert!(
        2 * due_processed < all_processed,
        "{due_processed} of {all_processed}"
    );
}
