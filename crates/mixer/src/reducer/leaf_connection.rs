//! The state of one connection to a leaf server: the frames that wait to be written, the attempts in flight, and what
//! may be written next. It never touches a socket. Whatever happens, each attempt leaves it exactly once.
//!
//! Times are Unix nanoseconds by the mixer's clock ([`Nanos`]).

use cottonhill_decisions::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// One attempt at a part, by the part's id and the attempt's number.
pub type AttemptId = (u64, u8);

/// One frame to write. Parts are named by their ids on the wire.
#[derive(Clone, Debug, PartialEq)]
pub enum Job {
    /// Attempts at parts, sent together.
    Call(Vec<(AttemptId, Rc<str>)>),
    /// Cancels an attempt that was written or is being written.
    GiveUp(Rc<str>),
    /// A probe, by its number.
    Probe(u64),
}

/// How far the connection has come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The connect is under way; nothing can be written.
    Connecting,
    /// Frames can be written.
    Open,
}

/// Finished ids that are remembered, since a late answer may still name them: more than a leaf server has answers
/// under way.
const MOST_FINISHED: usize = 64;

/// The attempt, if any, that the id of an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// An attempt in flight, which the answer ends.
    Attempt(AttemptId),
    /// An attempt that was answered or cancelled before: a duplicate, or an answer that crossed the cancellation.
    Over,
    /// Nothing that was ever written here: the answer is corrupt.
    Unknown,
}

/// An attempt that has neither ended nor been cancelled: waiting, or in flight.
#[derive(Clone, Debug)]
struct OpenAttempt {
    attempt: AttemptId,
    /// When its frame was handed to the socket.
    handed_over: Option<Nanos>,
    /// The socket has taken the last byte of its frame.
    written: bool,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: Phase,
    waiting: VecDeque<Job>,
    /// The frame that the socket has and has not yet taken whole.
    writing: Option<Job>,
    /// When the last frame was handed to the socket.
    handed_over: Nanos,
    /// The open attempts by their ids on the wire.
    attempts: BTreeMap<Rc<str>, OpenAttempt>,
    /// Probes written, in order. Answers carry no id, so a probe that was given up keeps its place as `None`.
    probes: VecDeque<Option<u64>>,
    /// Finished ids that were written here, latest last.
    finished: VecDeque<Rc<str>>,
    /// When the last frame was received; before that, when the connection was opened.
    last_received: Nanos,
    /// It left an attempt unanswered: nothing new goes out on it until a frame is received.
    silent: bool,
    /// Since when nothing is open or waiting.
    pub idle_since: Nanos,
    /// When the alarm rings that checks for idleness: one at a time, however often the connection falls idle.
    pub idle_alarm: Option<Nanos>,
}

impl LeafConnection {
    /// A connection whose connect begins now.
    pub fn new(now: Nanos) -> LeafConnection {
        LeafConnection {
            phase: Phase::Connecting,
            waiting: VecDeque::new(),
            writing: None,
            handed_over: now,
            attempts: BTreeMap::new(),
            probes: VecDeque::new(),
            finished: VecDeque::new(),
            last_received: now,
            silent: false,
            idle_since: now,
            idle_alarm: None,
        }
    }

    /// How far the connection has come up.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether one more attempt under this wire id may go out on it: fewer than `streams` attempts and probes are open,
    /// and none of this id, as their answers could not be distinguished.
    pub fn has_room(&self, streams: usize, wire: &str) -> bool {
        !self.silent && self.load() < streams && !self.attempts.contains_key(wire)
    }

    /// Attempts and probes that are open.
    fn load(&self) -> usize {
        let probes = self
            .waiting
            .iter()
            .chain(&self.writing)
            .filter(|job| matches!(job, Job::Probe(_)));
        self.attempts.len() + self.probes.len() + probes.count()
    }

    /// Nothing is open, waiting or half written.
    pub fn is_idle(&self) -> bool {
        self.load() == 0 && self.waiting.is_empty() && self.writing.is_none()
    }

    /// Whether it left an attempt unanswered and nothing was received since; see [`LeafConnection::drop_attempt`].
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Silent, and no attempt is open that might still be answered. What waits are cancellations, which closing the
    /// connection implies; a frame that the socket can't get rid of would wait for ever.
    pub fn is_spent(&self) -> bool {
        self.silent && self.attempts.is_empty()
    }

    /// Queues an attempt. With `join` it is added to the last waiting call, if that has fewer than `call_parts` parts.
    pub fn queue(&mut self, attempt: AttemptId, wire: Rc<str>, join: bool, call_parts: usize) {
        self.attempts.insert(
            wire.clone(),
            OpenAttempt {
                attempt,
                handed_over: None,
                written: false,
            },
        );
        match self.waiting.back_mut() {
            Some(Job::Call(call)) if join && call.len() < call_parts => call.push((attempt, wire)),
            _ => self.waiting.push_back(Job::Call(vec![(attempt, wire)])),
        }
    }

    /// Queues a probe.
    pub fn queue_probe(&mut self, probe: u64) {
        self.waiting.push_back(Job::Probe(probe));
    }

    /// The connect has succeeded.
    pub fn opened(&mut self, now: Nanos) {
        self.phase = Phase::Open;
        self.last_received = now;
    }

    /// The next frame for the socket, none until [`LeafConnection::wrote`] reports the one before: what waits here can still be
    /// dropped whole.
    pub fn take_next(&mut self, now: Nanos) -> Option<Job> {
        if self.phase != Phase::Open || self.writing.is_some() {
            return None;
        }
        (self.writing, self.handed_over) = (self.waiting.pop_front(), now);
        self.mark(|open| open.handed_over = Some(now));
        self.writing.clone()
    }

    /// Applies a change to the attempts of the frame that the socket has.
    fn mark(&mut self, mark: impl Fn(&mut OpenAttempt)) {
        let Some(Job::Call(call)) = &self.writing else {
            return;
        };
        for (attempt, wire) in call {
            if let Some(open) = self
                .attempts
                .get_mut(wire)
                .filter(|open| open.attempt == *attempt)
            {
                mark(open);
            }
        }
    }

    /// The socket has taken the last byte of the frame: from now on its parts may run.
    pub fn wrote(&mut self) {
        self.mark(|open| open.written = true);
        if let Some(Job::Probe(probe)) = self.writing.take() {
            self.probes.push_back(Some(probe));
        }
    }

    /// A frame was received, so the connection is not silent.
    pub fn hear(&mut self, now: Nanos) {
        (self.last_received, self.silent) = (now, false);
    }

    /// Ends the attempt that an answer is for. An attempt that has not been written yet can't have been answered: such
    /// an answer is for an earlier attempt of the same id.
    pub fn answered(&mut self, wire: &str) -> Answered {
        match self
            .attempts
            .get_key_value(wire)
            .filter(|(_, open)| open.written)
        {
            Some((wire, open)) => {
                let (wire, attempt) = (wire.clone(), open.attempt);
                self.attempts.remove(&wire);
                self.note_finished(wire);
                Answered::Attempt(attempt)
            }
            None if self.finished.iter().any(|finished| **finished == *wire) => Answered::Over,
            None => Answered::Unknown,
        }
    }

    fn note_finished(&mut self, wire: Rc<str>) {
        if self.finished.len() == MOST_FINISHED {
            self.finished.pop_front();
        }
        self.finished.push_back(wire);
    }

    /// The attempt that a corrupt answer is attributed to: the one it names, else the one longest in flight.
    pub fn spoilt(&mut self, wire: Option<&str>) -> Option<AttemptId> {
        let written = |open: &&OpenAttempt| open.written;
        let named = wire
            .and_then(|wire| self.attempts.get(wire))
            .filter(written);
        let oldest = || {
            self.attempts
                .values()
                .filter(written)
                .min_by_key(|open| (open.handed_over, open.attempt))
        };
        named.or_else(oldest).map(|open| open.attempt)
    }

    /// The attempts whose last byte the socket has taken.
    pub fn written(&self) -> Vec<AttemptId> {
        self.attempts
            .values()
            .filter(|open| open.written)
            .map(|open| open.attempt)
            .collect()
    }

    /// The probe that an answer is for; `None` where it was given up, or none was sent.
    pub fn probed(&mut self) -> Option<u64> {
        self.probes.pop_front().flatten()
    }

    /// Gives a probe up. Its answer, should it come, is not mistaken for the next one's.
    pub fn drop_probe(&mut self, probe: u64) {
        self.waiting.retain(|job| *job != Job::Probe(probe));
        if let Some(kept) = self.probes.iter_mut().find(|kept| **kept == Some(probe)) {
            *kept = None;
        }
    }

    /// Gives an attempt up; true if it may have run. One that waits is dropped whole and never goes out; one that the
    /// socket has is followed by a frame that cancels it. If nothing was received for `silence_timeout` nanoseconds
    /// since it was handed to the socket, the connection is silent.
    pub fn drop_attempt(&mut self, attempt: AttemptId, now: Nanos, silence_timeout: Nanos) -> bool {
        let Some(wire) = self.wire_of(attempt) else {
            return false;
        };
        let Some(open) = self.attempts.remove(&wire) else {
            return false;
        };
        let mut was_waiting = false;
        for job in &mut self.waiting {
            if let Job::Call(call) = job {
                let before = call.len();
                call.retain(|(waiting, _)| *waiting != attempt);
                was_waiting |= call.len() < before;
            }
        }
        self.waiting
            .retain(|job| !matches!(job, Job::Call(call) if call.is_empty()));
        if was_waiting {
            return false;
        }
        self.note_finished(wire.clone());
        self.waiting.push_back(Job::GiveUp(wire));
        if let Some(handed_over) = open.handed_over {
            self.silent |= self.last_received <= handed_over
                && now.saturating_sub(handed_over) >= silence_timeout;
        }
        true
    }

    fn wire_of(&self, attempt: AttemptId) -> Option<Rc<str>> {
        self.attempts
            .iter()
            .find(|(_, open)| open.attempt == attempt)
            .map(|(wire, _)| wire.clone())
    }

    /// The attempts that have not gone to the socket yet.
    pub fn unsent(&self) -> Vec<AttemptId> {
        let calls = self.waiting.iter().filter_map(|job| match job {
            Job::Call(call) => Some(call),
            _ => None,
        });
        calls.flatten().map(|(attempt, _)| *attempt).collect()
    }

    /// Whether the socket has a call with this part that it has not taken whole.
    pub fn is_writing(&self, part: u64) -> bool {
        matches!(&self.writing, Some(Job::Call(call)) if call.iter().any(|((id, _), _)| *id == part))
    }

    /// When the call was handed to the socket that it has not taken whole, if it has one. Attempts of it that were
    /// given up meanwhile still go out with it.
    pub fn call_given(&self) -> Option<Nanos> {
        matches!(self.writing, Some(Job::Call(_))).then_some(self.handed_over)
    }

    /// The connection has ended: all attempts on it, each with whether it may have run, and all probes.
    pub fn end(self) -> (Vec<(AttemptId, bool)>, Vec<u64>) {
        let attempts = self
            .attempts
            .values()
            .map(|open| (open.attempt, open.written))
            .collect();
        let queued = self
            .waiting
            .iter()
            .chain(&self.writing)
            .filter_map(|job| match job {
                Job::Probe(probe) => Some(*probe),
                _ => None,
            });
        let probes = self
            .probes
            .iter()
            .flatten()
            .copied()
            .chain(queued)
            .collect();
        (attempts, probes)
    }
}
