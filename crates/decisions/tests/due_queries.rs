//! A coordinator that tends queries when they are due, against one that tends every open query in every batch.

mod random_events;

use cottonhill_decisions::Action;
use cottonhill_decisions::Coordinator;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use random_events::Script;
use std::collections::BTreeMap;

const BATCHES: usize = 600;

/// Plays one random deployment at both; what was done, by kind, and how often each tended a query.
fn play(seed: u64) -> (BTreeMap<&'static str, u64>, u64, u64) {
    let mut script = Script::new(seed);
    let mut normal = Coordinator::new(script.settings(), seed);
    let mut thorough = Coordinator::new(script.settings(), seed);
    thorough.process_all_queries();
    let (mut actions, mut kinds) = (Vec::new(), BTreeMap::new());
    for batch in 0..BATCHES {
        let (now, events) = script.batch(&actions);
        let mut other = Vec::new();
        actions.clear();
        normal.process_batch(now, &events, &mut actions);
        thorough.process_batch(now, &events, &mut other);
        assert_eq!(
            actions, other,
            "seed {seed}, batch {batch}: due queries only against all queries"
        );
        assert_eq!(
            normal.retained_entries(),
            thorough.retained_entries(),
            "seed {seed}, batch {batch}"
        );
        for action in &actions {
            *kinds.entry(kind(action)).or_default() += 1;
        }
    }
    (
        kinds,
        normal.queries_processed(),
        thorough.queries_processed(),
    )
}

fn kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Cancel { .. } => "cancel",
        Action::Answer { complete: true, .. } => "whole",
        Action::Answer {
            complete: false, ..
        } => "partial",
        Action::Reject { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::Probe { .. } => "probe",
        Action::CloseIdleConnections { .. } => "close",
        Action::Log(text) if text.starts_with("weight cutoff raised") => "cutoff",
        _ => "other",
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000, rng_seed: RngSeed::Fixed(32), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn the_actions_are_those_of_one_that_tends_every_open_query_in_every_batch(seed in any::<u64>()) {
        play(seed);
    }
}

/// The comparison means little unless the random deployments meet everything that a coordinator does.
#[test]
fn the_random_deployments_meet_every_kind_of_action_and_the_due_ones_are_few() {
    let (mut all, mut due, mut every) = (BTreeMap::new(), 0, 0);
    for seed in 0..60 {
        let (kinds, normal, thorough) = play(seed);
        kinds
            .into_iter()
            .for_each(|(kind, count)| *all.entry(kind).or_default() += count);
        (due, every) = (due + normal, every + thorough);
    }
    for kind in [
        "send", "cancel", "whole", "partial", "refuse", "fail", "probe", "close", "cutoff",
    ] {
        assert!(
            all.get(kind).is_some_and(|count: &u64| *count > 50),
            "{kind}: {all:?}"
        );
    }
    assert!(2 * due < every, "{due} of {every}");
}
