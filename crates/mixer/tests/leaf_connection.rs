//! A model of the states of one connection to a leaf server, against which random steps are checked; and the
//! whole reducer under random steps, against the promises that the sockets must keep.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, PartStatus};
use cottonhill_mixer::reducer::leaf_connection::{
    AnswerTarget, AttemptId, CallAttempt, InterruptedAttempt, LeafConnection, QueuedFrame,
};
use harness::{Harness, MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Queue,
    Open,
    Take,
    Wrote,
    Answer(usize),
    Drop(usize),
    Probe,
    Probed,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Queue),
        1 => Just(Step::Open),
        4 => Just(Step::Take),
        4 => Just(Step::Wrote),
        2 => (0usize..8).prop_map(Step::Answer),
        2 => (0usize..8).prop_map(Step::Drop),
        1 => Just(Step::Probe),
        1 => Just(Step::Probed),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Waiting,
    Writing,
    Written,
}

/// The plain model: where each attempt is, and the frames that have yet to go out, in order.
#[derive(Default)]
struct Model {
    open: bool,
    stages: BTreeMap<AttemptId, Stage>,
    frames: VecDeque<QueuedFrame>,
    writing: Option<QueuedFrame>,
    probes: VecDeque<u64>,
}

impl Model {
    fn nth(&self, n: usize) -> Option<AttemptId> {
        (!self.stages.is_empty()).then(|| *self.stages.keys().nth(n % self.stages.len()).unwrap())
    }
}

fn wire(attempt: AttemptId) -> std::rc::Rc<str> {
    format!("q.{}", attempt.part).into()
}

fn call(attempt: AttemptId) -> QueuedFrame {
    let wire_id = wire(attempt);
    QueuedFrame::Call(vec![CallAttempt { attempt, wire_id }])
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn a_connection_keeps_to_its_model(steps in prop::collection::vec(step(), 1..60)) {
        let (mut connection, mut model) = (LeafConnection::new(0), Model::default());
        for (n, step) in steps.into_iter().enumerate() {
            let now = n as u64 * MS;
            match step {
                Step::Queue => {
                    let attempt = AttemptId { part: n as u64, number: 0 };
                    connection.queue_attempt(attempt, wire(attempt), false, 1);
                    model.stages.insert(attempt, Stage::Waiting);
                    model.frames.push_back(call(attempt));
                }
                Step::Open => {
                    connection.on_connected(now);
                    model.open = true;
                }
                Step::Take => {
                    let due = model.open && model.writing.is_none();
                    let expected = if due { model.frames.pop_front() } else { None };
                    prop_assert_eq!(connection.next_frame(now), expected.clone());
                    if let Some(QueuedFrame::Call(call)) = &expected {
                        model.stages.insert(call[0].attempt, Stage::Writing);
                    }
                    model.writing = expected.or(model.writing);
                }
                Step::Wrote => {
                    connection.on_frame_written();
                    match model.writing.take() {
                        Some(QueuedFrame::Call(call)) => {
                            model.stages.entry(call[0].attempt).and_modify(|stage| *stage = Stage::Written);
                        }
                        Some(QueuedFrame::Probe(probe)) => model.probes.push_back(probe),
                        _ => {}
                    }
                }
                Step::Answer(k) => {
                    let Some(attempt) = model.nth(k) else { continue };
                    let written = model.stages[&attempt] == Stage::Written;
                    let expected = if written { AnswerTarget::InFlight(attempt) } else { AnswerTarget::Unknown };
                    prop_assert_eq!(connection.on_answer(&wire(attempt)), expected);
                    prop_assert_eq!(connection.on_answer("never.asked"), AnswerTarget::Unknown);
                    if written {
                        prop_assert_eq!(connection.on_answer(&wire(attempt)), AnswerTarget::Finished, "a copy");
                        model.stages.remove(&attempt);
                    }
                }
                Step::Drop(k) => {
                    let Some(attempt) = model.nth(k) else { continue };
                    let went_out = model.stages.remove(&attempt) != Some(Stage::Waiting);
                    prop_assert_eq!(connection.cancel_attempt(attempt, now, MS), went_out);
                    prop_assert!(!connection.cancel_attempt(attempt, now, MS), "it is over");
                    let heard = if went_out { AnswerTarget::Finished } else { AnswerTarget::Unknown };
                    prop_assert_eq!(connection.on_answer(&wire(attempt)), heard, "its answer may cross our words");
                    if went_out {
                        model.frames.push_back(QueuedFrame::Cancel(wire(attempt)));
                    } else {
                        model.frames.retain(|job| *job != call(attempt));
                    }
                }
                Step::Probe => {
                    connection.queue_probe(n as u64);
                    model.frames.push_back(QueuedFrame::Probe(n as u64));
                }
                Step::Probed => prop_assert_eq!(connection.on_probe_answer(), model.probes.pop_front()),
            }
            let waiting = model.stages.iter().filter(|(_, stage)| **stage == Stage::Waiting);
            let written = model.stages.iter().filter(|(_, stage)| **stage == Stage::Written);
            let written: Vec<AttemptId> = written.map(|(attempt, _)| *attempt).collect();
            prop_assert_eq!(connection.attempt_of_malformed_answer(None).is_some(), !written.is_empty());
            for attempt in &written {
                prop_assert_eq!(connection.attempt_of_malformed_answer(Some(&wire(*attempt))), Some(*attempt));
            }
            prop_assert_eq!(connection.written_attempts().len(), written.len());
            prop_assert_eq!(connection.unsent_attempts(), waiting.map(|(attempt, _)| *attempt).collect::<Vec<_>>());
            let busy = !(model.stages.is_empty() && model.frames.is_empty() && model.probes.is_empty());
            prop_assert_eq!(connection.is_idle(), !busy && model.writing.is_none());
        }
        let mut ended = connection.into_interrupted().attempts;
        ended.sort();
        let left = model.stages.iter().map(|(attempt, stage)| InterruptedAttempt {
            attempt: *attempt,
            may_have_run: *stage == Stage::Written,
        });
        prop_assert_eq!(ended, left.collect::<Vec<_>>());
    }

    #[test]
    fn every_query_ends_once_and_every_attempt_ends_once(
        steps in prop::collection::vec((0u8..12, any::<u64>(), 1u64..400), 1..80),
    ) {
        let (ends, standings) = ([PartStatus::Ok, PartStatus::Ok, PartStatus::Error, PartStatus::Busy], ["up", "draining", "removed"]);
        let mut harness = Harness::new(4);
        for (kind, dice, ms) in steps {
            let connections: Vec<u64> = harness.connections.keys().copied().collect();
            let connection = connections.get(dice as usize % connections.len().max(1)).copied();
            match (kind, connection) {
                (0..=2, _) => drop(harness.ask((dice % 3) as u16 % 2, &[0.5, 0.3, 0.2])),
                (3..=4, Some(connection)) => harness.open(connection),
                (5..=6, Some(connection)) => harness.answer(connection, ends[dice as usize % 4]),
                (7, Some(connection)) => harness.break_off(connection),
                (8, _) => harness.list(1 + dice % 4, standings[dice as usize / 4 % 3], harness.now),
                (9, _) => harness.leave(dice),
                (10, Some(connection)) => harness.spoil(connection, dice % 2 == 0),
                _ => harness.pass(ms),
            }
        }
        harness.pass(20_000);
        for (client, replies) in &harness.replies {
            let gone = harness.left.contains(client);
            prop_assert!(replies.len() == 1 || gone && replies.is_empty(), "client {client}: {replies:?}");
        }
        let counters = harness.state.counters().clone();
        let e = &counters.attempt_outcomes;
        let known = e.ok + e.error + e.rejected + e.connect_failed + e.not_sent;
        let ended = known + e.timed_out + e.connection_reset + e.cancelled;
        prop_assert_eq!(ended, counters.sent.attempts, "each attempt ends once");
        prop_assert_eq!(&counters.faults, &Default::default());
        prop_assert!(harness.frames.iter().all(|(_, f)| !matches!(f, LeafRequest::Call(parts) if parts.is_empty())));
    }
}
