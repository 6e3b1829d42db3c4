//! The state of one connection to a leaf server: the frames that wait to be written, the attempts in flight, and what
//! may be written next. It never touches a socket. Whatever happens, each attempt leaves it exactly once.
//!
//! Times are Unix nanoseconds by the mixer's clock ([`Nanos`]).

use super::probes::ProbeId;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Identifies an attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// The attempts at a part are numbered from 0.
    pub number: u8,
}

/// An attempt in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The id of its part in the frame.
    pub wire_id: Rc<str>,
}

/// A frame to write.
#[derive(Clone, Debug, PartialEq)]
pub enum QueuedFrame {
    /// Attempts that are sent together.
    Call(Vec<CallAttempt>),
    /// Cancels the attempt with this wire id, which was handed to the socket before.
    Cancel(Rc<str>),
    /// A probe.
    Probe(ProbeId),
}

/// The phase of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The connect is under way; nothing can be written.
    Connecting,
    /// Frames can be written.
    Open,
}

/// How many ids of finished attempts are remembered, since a late answer may still name them: more than a leaf server
/// has answers under way.
const MAX_FINISHED_IDS: usize = 64;

/// What the id in an answer refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTarget {
    /// An attempt in flight, which the answer ends.
    InFlight(AttemptId),
    /// An attempt that was answered or cancelled before: the answer is a duplicate, or crossed the cancellation.
    Finished,
    /// Nothing that was ever written here: the answer is corrupt.
    Unknown,
}

/// What was under way on a connection that has ended.
#[derive(Debug, Default)]
pub struct Interrupted {
    /// Its open attempts.
    pub attempts: Vec<InterruptedAttempt>,
    /// Its open probes.
    pub probes: Vec<ProbeId>,
}

/// An attempt whose connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InterruptedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its frame was written, so it may have run.
    pub may_have_run: bool,
}

/// An attempt that has neither ended nor been cancelled: waiting, or in flight.
#[derive(Clone, Debug)]
struct OpenAttempt {
    attempt: AttemptId,
    /// When its frame was handed to the socket; `None` while it waits.
    write_started_at: Option<Nanos>,
    /// The socket has taken the last byte of its frame.
    written: bool,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: ConnectionPhase,
    waiting: VecDeque<QueuedFrame>,
    /// The frame that is being written to the socket.
    writing: Option<QueuedFrame>,
    /// When the last frame was handed to the socket.
    write_started_at: Nanos,
    /// The open attempts by their wire ids.
    attempts: BTreeMap<Rc<str>, OpenAttempt>,
    /// Probes written, in order. Answers carry no id, so a cancelled probe keeps its place as `None`.
    probes: VecDeque<Option<ProbeId>>,
    /// Wire ids of finished attempts that were written here, latest last.
    finished: VecDeque<Rc<str>>,
    /// When the last frame was received; before that, when the connection was opened.
    last_received_at: Nanos,
    /// An attempt was cancelled after it had been unanswered for too long: no new attempt or probe is queued until a
    /// frame is received.
    silent: bool,
    /// Since when nothing is open or waiting.
    pub idle_since: Nanos,
    /// When the timer fires that checks for idleness: one at a time, however often the connection falls idle.
    pub idle_timer: Option<Nanos>,
}

impl LeafConnection {
    /// A connection whose connect begins now.
    pub fn new(now: Nanos) -> LeafConnection {
        LeafConnection {
            phase: ConnectionPhase::Connecting,
            waiting: VecDeque::new(),
            writing: None,
            write_started_at: now,
            attempts: BTreeMap::new(),
            probes: VecDeque::new(),
            finished: VecDeque::new(),
            last_received_at: now,
            silent: false,
            idle_since: now,
            idle_timer: None,
        }
    }

    /// The phase of the connection.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Whether one more attempt with this wire id may go out on it: fewer than `max_streams` attempts and probes are
    /// open, and none with this id, as their answers could not be distinguished.
    pub fn has_capacity(&self, max_streams: usize, wire_id: &str) -> bool {
        !self.silent && self.open_streams() < max_streams && !self.attempts.contains_key(wire_id)
    }

    /// Attempts and probes that are open.
    fn open_streams(&self) -> usize {
        self.attempts.len() + self.probes.len() + self.unwritten_probes().count()
    }

    /// Probes that wait or are being written.
    fn unwritten_probes(&self) -> impl Iterator<Item = ProbeId> + '_ {
        self.waiting
            .iter()
            .chain(&self.writing)
            .filter_map(|frame| match frame {
                QueuedFrame::Probe(probe) => Some(*probe),
                _ => None,
            })
    }

    /// Nothing is open, waiting or being written.
    pub fn is_idle(&self) -> bool {
        self.open_streams() == 0 && self.waiting.is_empty() && self.writing.is_none()
    }

    /// Whether an attempt was unanswered for too long and nothing was received since; see
    /// [`LeafConnection::cancel_attempt`].
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Silent, and no attempt is open that might still be answered. What waits are cancellations, which closing the
    /// connection implies; a frame that the socket can't write would wait for ever.
    pub fn is_unusable(&self) -> bool {
        self.silent && self.attempts.is_empty()
    }

    /// Queues an attempt. With `join_last_call` it is added to the last waiting call, if that has fewer than
    /// `max_parts_per_call` parts.
    pub fn queue_attempt(
        &mut self,
        attempt: AttemptId,
        wire_id: Rc<str>,
        join_last_call: bool,
        max_parts_per_call: usize,
    ) {
        let open = OpenAttempt {
            attempt,
            write_started_at: None,
            written: false,
        };
        self.attempts.insert(wire_id.clone(), open);
        let entry = CallAttempt { attempt, wire_id };
        match self.waiting.back_mut() {
            Some(QueuedFrame::Call(call)) if join_last_call && call.len() < max_parts_per_call => {
                call.push(entry);
            }
            _ => self.waiting.push_back(QueuedFrame::Call(vec![entry])),
        }
    }

    /// Queues a probe.
    pub fn queue_probe(&mut self, probe: ProbeId) {
        self.waiting.push_back(QueuedFrame::Probe(probe));
    }

    /// The connect has succeeded.
    pub fn on_connected(&mut self, now: Nanos) {
        self.phase = ConnectionPhase::Open;
        self.last_received_at = now;
    }

    /// The next frame for the socket; `None` until [`LeafConnection::on_frame_written`] reports the one before, since
    /// a frame that waits here can still be dropped.
    pub fn next_frame(&mut self, now: Nanos) -> Option<QueuedFrame> {
        if self.phase != ConnectionPhase::Open || self.writing.is_some() {
            return None;
        }
        self.writing = self.waiting.pop_front();
        self.write_started_at = now;
        self.update_writing_attempts(|open| open.write_started_at = Some(now));
        self.writing.clone()
    }

    /// Applies a change to the open attempts of the frame that the socket has.
    fn update_writing_attempts(&mut self, update: impl Fn(&mut OpenAttempt)) {
        let Some(QueuedFrame::Call(call)) = &self.writing else {
            return;
        };
        for entry in call {
            match self.attempts.get_mut(&entry.wire_id) {
                Some(open) if open.attempt == entry.attempt => update(open),
                _ => {}
            }
        }
    }

    /// The socket has taken the last byte of the frame: from now on its parts may run.
    pub fn on_frame_written(&mut self) {
        self.update_writing_attempts(|open| open.written = true);
        if let Some(QueuedFrame::Probe(probe)) = self.writing.take() {
            self.probes.push_back(Some(probe));
        }
    }

    /// A frame was received, so the connection is not silent.
    pub fn on_frame_received(&mut self, now: Nanos) {
        self.last_received_at = now;
        self.silent = false;
    }

    /// Ends the attempt that an answer is for. An attempt that has not been written yet can't have been answered: such
    /// an answer is for an earlier attempt of the same id.
    pub fn on_answer(&mut self, wire_id: &str) -> AnswerTarget {
        match self.attempts.get_key_value(wire_id) {
            Some((wire_id, open)) if open.written => {
                let (wire_id, attempt) = (wire_id.clone(), open.attempt);
                self.attempts.remove(&wire_id);
                self.remember_finished(wire_id);
                AnswerTarget::InFlight(attempt)
            }
            _ if self.finished.iter().any(|finished| **finished == *wire_id) => {
                AnswerTarget::Finished
            }
            _ => AnswerTarget::Unknown,
        }
    }

    fn remember_finished(&mut self, wire_id: Rc<str>) {
        if self.finished.len() == MAX_FINISHED_IDS {
            self.finished.pop_front();
        }
        self.finished.push_back(wire_id);
    }

    /// The attempt that a malformed answer is attributed to: the one that it names, else the one that has been in
    /// flight for longest.
    pub fn attempt_of_malformed_answer(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        let named = wire_id
            .and_then(|wire_id| self.attempts.get(wire_id))
            .filter(|open| open.written);
        let longest_in_flight = || {
            self.written_open_attempts()
                .min_by_key(|open| (open.write_started_at, open.attempt))
        };
        named.or_else(longest_in_flight).map(|open| open.attempt)
    }

    /// The open attempts whose last byte the socket has taken, in the order of their wire ids.
    pub fn written_attempts(&self) -> Vec<AttemptId> {
        self.written_open_attempts()
            .map(|open| open.attempt)
            .collect()
    }

    fn written_open_attempts(&self) -> impl Iterator<Item = &OpenAttempt> {
        self.attempts.values().filter(|open| open.written)
    }

    /// The probe that an answer is for; `None` if it was cancelled, or none was sent.
    pub fn on_probe_answer(&mut self) -> Option<ProbeId> {
        self.probes.pop_front().flatten()
    }

    /// Cancels a probe. Its answer, should it come, is not mistaken for the next one's.
    pub fn cancel_probe(&mut self, probe: ProbeId) {
        self.waiting
            .retain(|frame| *frame != QueuedFrame::Probe(probe));
        for written in &mut self.probes {
            if *written == Some(probe) {
                *written = None;
            }
        }
    }

    /// Cancels an attempt; true if it may have run. One that waits is dropped and never sent; one that the
    /// socket has is followed by a frame that cancels it. If nothing was received for `silence_timeout` nanoseconds
    /// since it was handed to the socket, the connection is silent.
    pub fn cancel_attempt(
        &mut self,
        attempt: AttemptId,
        now: Nanos,
        silence_timeout: Nanos,
    ) -> bool {
        let Some(wire_id) = self.wire_id(attempt) else {
            return false;
        };
        let Some(open) = self.attempts.remove(&wire_id) else {
            return false;
        };
        if self.remove_waiting(attempt) {
            return false;
        }
        self.remember_finished(wire_id.clone());
        self.waiting.push_back(QueuedFrame::Cancel(wire_id));
        if let Some(write_started_at) = open.write_started_at {
            let nothing_received = self.last_received_at <= write_started_at;
            self.silent |=
                nothing_received && now.saturating_sub(write_started_at) >= silence_timeout;
        }
        true
    }

    /// Removes an attempt from the frames that wait; true if it was in one.
    fn remove_waiting(&mut self, attempt: AttemptId) -> bool {
        let mut was_waiting = false;
        for frame in &mut self.waiting {
            if let QueuedFrame::Call(call) = frame {
                let before = call.len();
                call.retain(|entry| entry.attempt != attempt);
                was_waiting |= call.len() < before;
            }
        }
        self.waiting
            .retain(|frame| !matches!(frame, QueuedFrame::Call(call) if call.is_empty()));
        was_waiting
    }

    fn wire_id(&self, attempt: AttemptId) -> Option<Rc<str>> {
        self.attempts
            .iter()
            .find(|(_, open)| open.attempt == attempt)
            .map(|(wire_id, _)| wire_id.clone())
    }

    /// The attempts that have not been handed to the socket, in the order in which they would be.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        for frame in &self.waiting {
            if let QueuedFrame::Call(call) = frame {
                unsent.extend(call.iter().map(|entry| entry.attempt));
            }
        }
        unsent
    }

    /// Whether a call with this part is being written.
    pub fn is_writing(&self, part: RequestId) -> bool {
        match &self.writing {
            Some(QueuedFrame::Call(call)) => call.iter().any(|entry| entry.attempt.part == part),
            _ => false,
        }
    }

    /// When the call that is being written was handed to the socket, if one is. Attempts of it that were
    /// cancelled meanwhile still go out with it.
    pub fn writing_call_since(&self) -> Option<Nanos> {
        matches!(self.writing, Some(QueuedFrame::Call(_))).then_some(self.write_started_at)
    }

    /// The connection has ended: what was under way on it.
    pub fn into_interrupted(self) -> Interrupted {
        let interrupted = |open: &OpenAttempt| InterruptedAttempt {
            attempt: open.attempt,
            may_have_run: open.written,
        };
        let written_probes = self.probes.iter().flatten().copied();
        Interrupted {
            attempts: self.attempts.values().map(interrupted).collect(),
            probes: written_probes.chain(self.unwritten_probes()).collect(),
        }
    }
}
