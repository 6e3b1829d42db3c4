//! Random steps on one connection to a leaf server, compared with a model of its states; and random steps on the
//! complete reducer, checked against its invariants.

mod harness;

use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, PartStatus};
use cottonhill_mixer::reducer::leaf_connection::{
    AnswerTarget, AttemptId, CallAttempt, InterruptedAttempt, LeafConnection, QueuedFrame,
};
use cottonhill_mixer::reducer::ConnectionId;
use harness::{Harness, MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

type Checked = Result<(), TestCaseError>;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    }
}

// ---- One connection compared with its model -------------------------------------------------------------

#[derive(Clone, Debug)]
enum Step {
    QueueCall,
    Open,
    TakeFrame,
    CompleteWrite,
    /// An answer to the attempt with this index arrives.
    Answer(usize),
    /// The attempt with this index is cancelled.
    CancelAttempt(usize),
    QueueProbe,
    AnswerProbe,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::QueueCall),
        1 => Just(Step::Open),
        4 => Just(Step::TakeFrame),
        4 => Just(Step::CompleteWrite),
        2 => (0usize..8).prop_map(Step::Answer),
        2 => (0usize..8).prop_map(Step::CancelAttempt),
        1 => Just(Step::QueueProbe),
        1 => Just(Step::AnswerProbe),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Waiting,
    Writing,
    Written,
}

/// The model: the state of each attempt, and the frames that are not written yet, in order.
#[derive(Default)]
struct Model {
    is_open: bool,
    attempts: BTreeMap<AttemptId, AttemptState>,
    queued_frames: VecDeque<QueuedFrame>,
    writing: Option<QueuedFrame>,
    written_probes: VecDeque<u64>,
}

impl Model {
    /// The attempt with this index, modulo the number of attempts.
    fn attempt_at(&self, index: usize) -> Option<AttemptId> {
        let attempts = self.attempts.len();
        if attempts == 0 {
            return None;
        }
        self.attempts.keys().nth(index % attempts).copied()
    }

    fn attempts_in(&self, state: AttemptState) -> Vec<AttemptId> {
        self.attempts
            .iter()
            .filter(|(_, other)| **other == state)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    fn is_idle(&self) -> bool {
        self.attempts.is_empty()
            && self.queued_frames.is_empty()
            && self.written_probes.is_empty()
            && self.writing.is_none()
    }
}

/// The id of an attempt's part on the wire.
fn wire_id(attempt: AttemptId) -> Rc<str> {
    format!("q.{}", attempt.part).into()
}

fn call(attempt: AttemptId) -> QueuedFrame {
    let wire_id = wire_id(attempt);
    QueuedFrame::Call(vec![CallAttempt { attempt, wire_id }])
}

/// A connection and its model. The same steps are applied to both.
struct Comparison {
    connection: LeafConnection,
    model: Model,
}

impl Comparison {
    fn new() -> Comparison {
        Comparison {
            connection: LeafConnection::new(0),
            model: Model::default(),
        }
    }

    /// Applies the step with this number.
    fn apply(&mut self, number: u64, step: Step) -> Checked {
        let now = number * MS;
        match step {
            Step::QueueCall => self.queue_call(AttemptId {
                part: number,
                number: 0,
            }),
            Step::Open => {
                self.connection.on_connected(now);
                self.model.is_open = true;
            }
            Step::TakeFrame => self.take_frame(now)?,
            Step::CompleteWrite => self.complete_write(),
            Step::Answer(index) => {
                if let Some(attempt) = self.model.attempt_at(index) {
                    self.answer(attempt)?;
                }
            }
            Step::CancelAttempt(index) => {
                if let Some(attempt) = self.model.attempt_at(index) {
                    self.cancel_attempt(attempt, now)?;
                }
            }
            Step::QueueProbe => {
                self.connection.queue_probe(number);
                self.model
                    .queued_frames
                    .push_back(QueuedFrame::Probe(number));
            }
            Step::AnswerProbe => {
                let expected = self.model.written_probes.pop_front();
                prop_assert_eq!(self.connection.on_probe_answer(), expected);
            }
        }
        Ok(())
    }

    fn queue_call(&mut self, attempt: AttemptId) {
        self.connection
            .queue_attempt(attempt, wire_id(attempt), false, 1);
        self.model.attempts.insert(attempt, AttemptState::Waiting);
        self.model.queued_frames.push_back(call(attempt));
    }

    fn take_frame(&mut self, now: u64) -> Checked {
        let model = &mut self.model;
        let is_due = model.is_open && model.writing.is_none();
        let expected = if is_due {
            model.queued_frames.pop_front()
        } else {
            None
        };
        prop_assert_eq!(self.connection.next_frame(now), expected.clone());
        if let Some(QueuedFrame::Call(parts)) = &expected {
            model
                .attempts
                .insert(parts[0].attempt, AttemptState::Writing);
        }
        if expected.is_some() {
            model.writing = expected;
        }
        Ok(())
    }

    fn complete_write(&mut self) {
        self.connection.on_frame_written();
        match self.model.writing.take() {
            Some(QueuedFrame::Call(parts)) => {
                if let Some(state) = self.model.attempts.get_mut(&parts[0].attempt) {
                    *state = AttemptState::Written;
                }
            }
            Some(QueuedFrame::Probe(probe)) => self.model.written_probes.push_back(probe),
            _ => {}
        }
    }

    fn answer(&mut self, attempt: AttemptId) -> Checked {
        let id = wire_id(attempt);
        let is_written = self.model.attempts[&attempt] == AttemptState::Written;
        let expected = if is_written {
            AnswerTarget::InFlight(attempt)
        } else {
            AnswerTarget::Unknown
        };
        prop_assert_eq!(self.connection.on_answer(&id), expected);
        let never_sent = self.connection.on_answer("never.asked");
        prop_assert_eq!(never_sent, AnswerTarget::Unknown);
        if is_written {
            let duplicate = self.connection.on_answer(&id);
            prop_assert_eq!(duplicate, AnswerTarget::Finished, "a duplicate");
            self.model.attempts.remove(&attempt);
        }
        Ok(())
    }

    fn cancel_attempt(&mut self, attempt: AttemptId, now: u64) -> Checked {
        let id = wire_id(attempt);
        let may_have_run = self.model.attempts.remove(&attempt) != Some(AttemptState::Waiting);
        prop_assert_eq!(
            self.connection.cancel_attempt(attempt, now, MS),
            may_have_run
        );
        let may_have_run_again = self.connection.cancel_attempt(attempt, now, MS);
        prop_assert!(!may_have_run_again, "a second cancellation has no effect");
        let expected = if may_have_run {
            AnswerTarget::Finished
        } else {
            AnswerTarget::Unknown
        };
        let target = self.connection.on_answer(&id);
        prop_assert_eq!(
            target,
            expected,
            "the answer may arrive after the cancellation"
        );
        let queued_frames = &mut self.model.queued_frames;
        if may_have_run {
            queued_frames.push_back(QueuedFrame::Cancel(id));
        } else {
            queued_frames.retain(|frame| *frame != call(attempt));
        }
        Ok(())
    }

    fn check_state(&mut self) -> Checked {
        let connection = &mut self.connection;
        let waiting = self.model.attempts_in(AttemptState::Waiting);
        let written = self.model.attempts_in(AttemptState::Written);
        prop_assert_eq!(
            connection.attempt_for_malformed_answer(None).is_some(),
            !written.is_empty()
        );
        for attempt in &written {
            let failed = connection.attempt_for_malformed_answer(Some(&wire_id(*attempt)));
            prop_assert_eq!(failed, Some(*attempt));
        }
        prop_assert_eq!(connection.written_attempts().len(), written.len());
        prop_assert_eq!(connection.unsent_attempts(), waiting);
        prop_assert_eq!(connection.is_idle(), self.model.is_idle());
        Ok(())
    }

    /// Ends the connection and checks that each of its attempts is reported as interrupted.
    fn check_end(self) -> Checked {
        let mut ended = self.connection.into_interrupted().attempts;
        ended.sort();
        let expected: Vec<InterruptedAttempt> = self
            .model
            .attempts
            .iter()
            .map(|(attempt, state)| InterruptedAttempt {
                attempt: *attempt,
                may_have_run: *state == AttemptState::Written,
            })
            .collect();
        prop_assert_eq!(ended, expected);
        Ok(())
    }
}

// ---- The complete reducer -------------------------------------------------------------------------------

/// Applies a random step; `random_value` selects the connection, the replica or the client, and the parameters of the
/// step.
fn apply_random_step(harness: &mut Harness, kind: u8, random_value: u64, duration_ms: u64) {
    const PART_STATUSES: [PartStatus; 4] = [
        PartStatus::Ok,
        PartStatus::Ok,
        PartStatus::Error,
        PartStatus::Busy,
    ];
    let connections: Vec<ConnectionId> = harness.connections.keys().copied().collect();
    let connection = connections
        .get(random_value as usize % connections.len().max(1))
        .copied();
    match (kind, connection) {
        (0..=2, _) => {
            harness.send_query((random_value % 3) as u16 % 2, &[0.5, 0.3, 0.2]);
        }
        (3..=4, Some(connection)) => harness.open_connection(connection),
        (5..=6, Some(connection)) => {
            harness.answer_oldest_part(connection, PART_STATUSES[random_value as usize % 4]);
        }
        (7, Some(connection)) => harness.reset_connection(connection),
        (8, _) => {
            let status = ["up", "draining", "removed"][random_value as usize / 4 % 3];
            harness.update_started_endpoint(1 + random_value % 4, status);
        }
        (9, _) => harness.disconnect_random_client(random_value),
        (10, Some(connection)) => {
            harness.send_malformed_frame(connection, random_value.is_multiple_of(2))
        }
        _ => harness.advance_ms(duration_ms),
    }
}

fn check_every_query_and_attempt_ended(harness: &Harness) -> Checked {
    for (client, replies) in &harness.replies {
        let disconnected = harness.disconnected_clients.contains(client);
        prop_assert!(
            replies.len() == 1 || disconnected && replies.is_empty(),
            "client {client}: {replies:?}"
        );
    }
    let counters = harness.reducer.counters().clone();
    let outcomes = &counters.attempt_outcomes;
    let with_known_outcome = outcomes.ok
        + outcomes.error
        + outcomes.rejected
        + outcomes.connect_failed
        + outcomes.not_sent;
    let ended =
        with_known_outcome + outcomes.timed_out + outcomes.connection_reset + outcomes.cancelled;
    prop_assert_eq!(ended, counters.sent.attempts, "each attempt ends once");
    prop_assert_eq!(&counters.faults, &Default::default());
    let is_empty_call =
        |frame: &LeafRequest| matches!(frame, LeafRequest::Call(parts) if parts.is_empty());
    prop_assert!(harness
        .frames
        .iter()
        .all(|sent| !is_empty_call(&sent.frame)));
    Ok(())
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn leaf_connection_matches_model(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut comparison = Comparison::new();
        for (number, step) in steps.into_iter().enumerate() {
            comparison.apply(number as u64, step)?;
            comparison.check_state()?;
        }
        comparison.check_end()?;
    }

    #[test]
    fn every_query_and_attempt_ends_once(
        steps in prop::collection::vec((0u8..12, any::<u64>(), 1u64..400), 1..80),
    ) {
        let mut harness = Harness::new(4);
        for (kind, random_value, duration_ms) in steps {
            apply_random_step(&mut harness, kind, random_value, duration_ms);
        }
        harness.advance_ms(20_000);
        check_every_query_and_attempt_ended(&harness)?;
    }
}
