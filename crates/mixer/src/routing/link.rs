//! The states of one connection to a leaf server. It holds what waits to be written and what is out, and says
//! what may be written next; it never touches a socket. Whatever happens, each attempt leaves it once.

use crate::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// One attempt at a part, by the part's id and the attempt's number.
pub type AttemptId = (u64, u8);

/// What is written as one frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Job {
    Call(Vec<(AttemptId, Rc<str>)>),
    GiveUp(Rc<str>),
    Probe(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Connecting,
    Open,
}

/// Ids that are over and may yet be heard of: more than a leaf server has answers under way.
const MOST_OVER: usize = 64;

/// What an answer's id stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    Attempt(AttemptId),
    /// Answered or given up before: a copy, or an answer that crossed our words.
    Over,
    /// Nothing that was ever written here: the answer is spoilt.
    Unknown,
}

/// An attempt on the connection: since when the socket has its frame, and whether it took the last byte.
#[derive(Clone, Debug)]
struct Out {
    attempt: AttemptId,
    given: Option<Nanos>,
    written: bool,
}

#[derive(Debug)]
pub struct Link {
    phase: Phase,
    waiting: VecDeque<Job>,
    /// The frame that the socket has and has not yet taken whole, and since when.
    writing: Option<Job>,
    given: Nanos,
    out: BTreeMap<Rc<str>, Out>,
    /// Probes written, in order; answers carry no id, so one that is given up keeps its place as none.
    probes: VecDeque<Option<u64>>,
    /// Ids written here that are over, latest last.
    over: VecDeque<Rc<str>>,
    heard: Nanos,
    /// It swallowed an attempt: nothing new goes out on it until it is heard again.
    silent: bool,
    /// Since when nothing is out or waiting, and when the alarm rings that looks at it: one at a time,
    /// however often the connection falls idle.
    pub idle_since: Nanos,
    pub idle_alarm: Option<Nanos>,
}

impl Link {
    pub fn new(now: Nanos) -> Link {
        Link {
            phase: Phase::Connecting,
            waiting: VecDeque::new(),
            writing: None,
            given: now,
            out: BTreeMap::new(),
            probes: VecDeque::new(),
            over: VecDeque::new(),
            heard: now,
            silent: false,
            idle_since: now,
            idle_alarm: None,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether one more attempt under this wire id may go out on it. Two of one id can't be told apart.
    pub fn has_room(&self, streams: usize, wire: &str) -> bool {
        !self.silent && self.load() < streams && !self.out.contains_key(wire)
    }

    fn load(&self) -> usize {
        let probes = self.waiting.iter().chain(&self.writing).filter(|job| matches!(job, Job::Probe(_)));
        self.out.len() + self.probes.len() + probes.count()
    }

    /// Nothing is out, waiting or half written.
    pub fn is_idle(&self) -> bool {
        self.load() == 0 && self.waiting.is_empty() && self.writing.is_none()
    }

    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Silent, and nothing is out that might still be answered. What waits are words that give attempts up,
    /// which the end of the connection says as well; a frame that the socket can't get rid of waits for ever.
    pub fn is_spent(&self) -> bool {
        self.silent && self.out.is_empty()
    }

    /// Queues an attempt; it joins the last call that waits, if that has room and holds only this turn's.
    pub fn queue(&mut self, attempt: AttemptId, wire: Rc<str>, join: bool, call_parts: usize) {
        self.out.insert(wire.clone(), Out { attempt, given: None, written: false });
        match self.waiting.back_mut() {
            Some(Job::Call(call)) if join && call.len() < call_parts => call.push((attempt, wire)),
            _ => self.waiting.push_back(Job::Call(vec![(attempt, wire)])),
        }
    }

    pub fn queue_probe(&mut self, probe: u64) {
        self.waiting.push_back(Job::Probe(probe));
    }

    pub fn opened(&mut self, now: Nanos) {
        self.phase = Phase::Open;
        self.heard = now;
    }

    /// The next frame for the socket, one at a time: what waits here can still be dropped whole.
    pub fn take_next(&mut self, now: Nanos) -> Option<Job> {
        if self.phase != Phase::Open || self.writing.is_some() {
            return None;
        }
        (self.writing, self.given) = (self.waiting.pop_front(), now);
        self.mark(|out| out.given = Some(now));
        self.writing.clone()
    }

    /// Marks the attempts of the frame that the socket has.
    fn mark(&mut self, mark: impl Fn(&mut Out)) {
        let Some(Job::Call(call)) = &self.writing else { return };
        for (attempt, wire) in call {
            if let Some(out) = self.out.get_mut(wire).filter(|out| out.attempt == *attempt) {
                mark(out);
            }
        }
    }

    /// The socket has taken the last byte of the frame: from here on its parts may run.
    pub fn wrote(&mut self) {
        self.mark(|out| out.written = true);
        if let Some(Job::Probe(probe)) = self.writing.take() {
            self.probes.push_back(Some(probe));
        }
    }

    /// A sign of life; a connection that is heard is no longer held to swallow attempts.
    pub fn hear(&mut self, now: Nanos) {
        (self.heard, self.silent) = (now, false);
    }

    /// The attempt that an answer is for. What has not been written yet can't have been answered: that is an
    /// earlier attempt's answer under the same id.
    pub fn answered(&mut self, wire: &str) -> Answered {
        match self.out.get_key_value(wire).filter(|(_, out)| out.written) {
            Some((wire, out)) => {
                let (wire, attempt) = (wire.clone(), out.attempt);
                self.out.remove(&wire);
                self.note_over(wire);
                Answered::Attempt(attempt)
            }
            None if self.over.iter().any(|over| **over == *wire) => Answered::Over,
            None => Answered::Unknown,
        }
    }

    fn note_over(&mut self, wire: Rc<str>) {
        if self.over.len() == MOST_OVER {
            self.over.pop_front();
        }
        self.over.push_back(wire);
    }

    /// What a spoilt answer is held to have been for: the attempt it names, else the longest out.
    pub fn spoilt(&mut self, wire: Option<&str>) -> Option<AttemptId> {
        let written = |out: &&Out| out.written;
        let named = wire.and_then(|wire| self.out.get(wire)).filter(written);
        let oldest = || self.out.values().filter(written).min_by_key(|out| (out.given, out.attempt));
        named.or_else(oldest).map(|out| out.attempt)
    }

    /// The attempts whose last byte the socket has taken.
    pub fn written(&self) -> Vec<AttemptId> {
        self.out.values().filter(|out| out.written).map(|out| out.attempt).collect()
    }

    /// The probe that an answer is for; none where it was given up, or none was asked.
    pub fn probed(&mut self) -> Option<u64> {
        self.probes.pop_front().flatten()
    }

    /// Gives a probe up; its answer, should it come, is not mistaken for the next one's.
    pub fn drop_probe(&mut self, probe: u64) {
        self.waiting.retain(|job| *job != Job::Probe(probe));
        if let Some(kept) = self.probes.iter_mut().find(|kept| **kept == Some(probe)) {
            *kept = None;
        }
    }

    /// Gives an attempt up. What waits is dropped whole and never goes out; what the socket has is followed
    /// by a frame that says so. True if it may have run. After `patience` without a sound since the socket
    /// has it, the connection is held to swallow attempts.
    pub fn drop_attempt(&mut self, attempt: AttemptId, now: Nanos, patience: Nanos) -> bool {
        let Some(wire) = self.wire_of(attempt) else { return false };
        let Some(out) = self.out.remove(&wire) else { return false };
        let mut waited = false;
        for job in &mut self.waiting {
            if let Job::Call(call) = job {
                let before = call.len();
                call.retain(|(a, _)| *a != attempt);
                waited |= call.len() < before;
            }
        }
        self.waiting.retain(|job| !matches!(job, Job::Call(call) if call.is_empty()));
        if waited {
            return false;
        }
        self.note_over(wire.clone());
        self.waiting.push_back(Job::GiveUp(wire));
        if let Some(given) = out.given {
            self.silent |= self.heard <= given && now.saturating_sub(given) >= patience;
        }
        true
    }

    fn wire_of(&self, attempt: AttemptId) -> Option<Rc<str>> {
        self.out.iter().find(|(_, out)| out.attempt == attempt).map(|(wire, _)| wire.clone())
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

    /// Since when the socket has a call that it has not taken whole; what was given up meanwhile goes out with it.
    pub fn call_given(&self) -> Option<Nanos> {
        matches!(self.writing, Some(Job::Call(_))).then_some(self.given)
    }

    /// The connection is over: all attempts on it, with whether they may have run, and all probes.
    pub fn end(self) -> (Vec<(AttemptId, bool)>, Vec<u64>) {
        let attempts = self.out.values().map(|out| (out.attempt, out.written)).collect();
        let queued = self.waiting.iter().chain(&self.writing).filter_map(|job| match job {
            Job::Probe(probe) => Some(*probe),
            _ => None,
        });
        let probes = self.probes.iter().flatten().copied().chain(queued).collect();
        (attempts, probes)
    }
}
