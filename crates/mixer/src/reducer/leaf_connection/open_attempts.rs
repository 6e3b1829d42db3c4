//! The open attempts of one connection, and the attribution of answers to them.

use super::{AnswerTarget, AttemptId, CallAttempt, InterruptedAttempt};
use cottonhill_decisions::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The number of finished attempts whose wire ids are retained to recognize delayed answers. It is higher than the
/// number of answers that a leaf server has in flight.
const MAX_FINISHED_IDS: usize = 64;

/// An attempt that has neither ended nor been cancelled: queued or in flight.
#[derive(Clone, Debug)]
struct OpenAttempt {
    attempt: AttemptId,
    /// When its frame was passed to the socket; `None` while it is queued.
    write_started_at: Option<Nanos>,
    /// Whether the socket has accepted the last byte of its frame.
    written: bool,
}

/// An attempt that was removed.
pub(super) struct RemovedAttempt {
    /// The wire id of its part.
    pub(super) wire_id: Rc<str>,
    /// When its frame was passed to the socket; `None` if it is still queued.
    pub(super) write_started_at: Option<Nanos>,
}

/// The open attempts of one connection, and the ids of recently finished ones.
#[derive(Debug, Default)]
pub(super) struct OpenAttempts {
    /// The open attempts by their wire ids.
    attempts: BTreeMap<Rc<str>, OpenAttempt>,
    /// Wire ids of finished attempts that were passed to the socket, latest last.
    finished: VecDeque<Rc<str>>,
}

impl OpenAttempts {
    /// Number of open attempts.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is open.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether an open attempt has this wire id.
    pub(super) fn contains(&self, wire_id: &str) -> bool {
        self.attempts.contains_key(wire_id)
    }

    /// Adds an attempt whose frame is queued.
    pub(super) fn insert(&mut self, wire_id: Rc<str>, attempt: AttemptId) {
        let open = OpenAttempt {
            attempt,
            write_started_at: None,
            written: false,
        };
        self.attempts.insert(wire_id, open);
    }

    /// Notes that the call is passed to the socket.
    pub(super) fn on_write_started(&mut self, call: &[CallAttempt], now: Nanos) {
        self.update_call(call, |open| open.write_started_at = Some(now));
    }

    /// Notes that the socket has accepted the last byte of the call.
    pub(super) fn on_written(&mut self, call: &[CallAttempt]) {
        self.update_call(call, |open| open.written = true);
    }

    /// Applies a change to the attempts of a call that are still open.
    fn update_call(&mut self, call: &[CallAttempt], update: impl Fn(&mut OpenAttempt)) {
        for entry in call {
            match self.attempts.get_mut(&entry.wire_id) {
                Some(open) if open.attempt == entry.attempt => update(open),
                _ => {}
            }
        }
    }

    /// Ends the attempt that an answer refers to. An attempt that has not been written yet can't have been answered:
    /// such an answer refers to an earlier attempt with the same id.
    pub(super) fn on_answer(&mut self, wire_id: &str) -> AnswerTarget {
        match self.attempts.get_key_value(wire_id) {
            Some((wire_id, open)) if open.written => {
                let (wire_id, attempt) = (wire_id.clone(), open.attempt);
                self.attempts.remove(&wire_id);
                self.retain_finished_id(wire_id);
                AnswerTarget::InFlight(attempt)
            }
            _ if self.finished.iter().any(|finished| **finished == *wire_id) => {
                AnswerTarget::Finished
            }
            _ => AnswerTarget::Unknown,
        }
    }

    /// Retains the wire id of a finished attempt, since a delayed answer may still contain it.
    pub(super) fn retain_finished_id(&mut self, wire_id: Rc<str>) {
        if self.finished.len() == MAX_FINISHED_IDS {
            self.finished.pop_front();
        }
        self.finished.push_back(wire_id);
    }

    /// Removes an attempt.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<RemovedAttempt> {
        let wire_id = self.wire_id(attempt)?;
        let open = self.attempts.remove(&wire_id)?;
        Some(RemovedAttempt {
            wire_id,
            write_started_at: open.write_started_at,
        })
    }

    fn wire_id(&self, attempt: AttemptId) -> Option<Rc<str>> {
        self.attempts
            .iter()
            .find(|(_, open)| open.attempt == attempt)
            .map(|(wire_id, _)| wire_id.clone())
    }

    /// The attempt that a malformed answer is attributed to: the one that it names, else the one that has been in
    /// flight for longest.
    pub(super) fn attempt_for_malformed_answer(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        let named = wire_id
            .and_then(|wire_id| self.attempts.get(wire_id))
            .filter(|open| open.written);
        let longest_in_flight = || {
            self.written_open_attempts()
                .min_by_key(|open| (open.write_started_at, open.attempt))
        };
        named.or_else(longest_in_flight).map(|open| open.attempt)
    }

    /// The open attempts whose last byte the socket has accepted, in the order of their wire ids.
    pub(super) fn written(&self) -> Vec<AttemptId> {
        self.written_open_attempts()
            .map(|open| open.attempt)
            .collect()
    }

    fn written_open_attempts(&self) -> impl Iterator<Item = &OpenAttempt> {
        self.attempts.values().filter(|open| open.written)
    }

    /// The open attempts as interrupted attempts, in the order of their wire ids.
    pub(super) fn interrupted(&self) -> Vec<InterruptedAttempt> {
        self.attempts
            .values()
            .map(|open| InterruptedAttempt {
                attempt: open.attempt,
                may_have_run: open.written,
            })
            .collect()
    }
}
