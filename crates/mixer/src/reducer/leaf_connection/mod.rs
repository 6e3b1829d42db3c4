//! The state of one connection to a leaf server: the queue of frames to write, the open attempts and probes, and
//! whether the connection is usable. It uses no socket. Each attempt ends exactly once in every case.
//!
//! Times are Unix nanoseconds by the mixer's clock ([`Nanos`]).

mod frame_queue;
mod open_attempts;

use super::probes::ProbeId;
use cottonhill_decisions::{Nanos, RequestId};
use frame_queue::FrameQueue;
use open_attempts::OpenAttempts;
use std::collections::VecDeque;
use std::rc::Rc;

/// Identifies an attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: RequestId,
    /// The number of the attempt at its part, from 0.
    pub number: u8,
}

/// An attempt in a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The wire id of its part.
    pub wire_id: Rc<str>,
}

/// A frame to write.
#[derive(Clone, Debug, PartialEq)]
pub enum QueuedFrame {
    /// Attempts that are sent together.
    Call(Vec<CallAttempt>),
    /// Cancels the attempt with this wire id, which was passed to the socket earlier.
    Cancel(Rc<str>),
    /// A probe.
    Probe(ProbeId),
}

/// The phase of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The connection is being established; no frames can be written.
    Connecting,
    /// Frames can be written.
    Open,
}

/// What the id in an answer refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTarget {
    /// An attempt in flight, which ends with the answer.
    InFlight(AttemptId),
    /// An attempt that was answered or cancelled before: the answer is a duplicate, or was sent before the cancellation
    /// was received.
    Finished,
    /// No attempt that was written on this connection: the answer is corrupt.
    Unknown,
}

/// The open attempts and probes of a connection that has ended.
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
    /// Its frame was written completely, so it may have run.
    pub may_have_run: bool,
}

/// The state of one connection to a leaf server.
#[derive(Debug)]
pub struct LeafConnection {
    phase: ConnectionPhase,
    queue: FrameQueue,
    attempts: OpenAttempts,
    /// The written probes in order. Answers to probes carry no id, so a cancelled probe is kept as `None`.
    probes: VecDeque<Option<ProbeId>>,
    /// When the last frame was received; before the first one, when the connection was opened.
    last_received_at: Nanos,
    /// An attempt was cancelled after the response timeout, and nothing was received since it was sent: no new attempt
    /// or probe is queued until a frame is received.
    unresponsive: bool,
    /// When the connection last became idle.
    pub idle_since: Nanos,
    /// The due time of the timer that checks for idleness. At most one is set at a time, regardless of how often the
    /// connection becomes idle.
    pub idle_timer: Option<Nanos>,
}

impl LeafConnection {
    /// A connection that starts to connect now.
    pub fn new(now: Nanos) -> LeafConnection {
        LeafConnection {
            phase: ConnectionPhase::Connecting,
            queue: FrameQueue::new(now),
            attempts: OpenAttempts::default(),
            probes: VecDeque::new(),
            last_received_at: now,
            unresponsive: false,
            idle_since: now,
            idle_timer: None,
        }
    }

    /// The phase of the connection.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Whether another attempt with this wire id may be sent on it: fewer than `max_streams` attempts and probes are
    /// open, and no attempt with this id, since their answers could not be distinguished.
    pub fn has_capacity(&self, max_streams: usize, wire_id: &str) -> bool {
        !self.unresponsive && self.open_streams() < max_streams && !self.attempts.contains(wire_id)
    }

    /// Number of open attempts and probes.
    fn open_streams(&self) -> usize {
        self.attempts.len() + self.probes.len() + self.queue.probes().count()
    }

    /// Whether no attempt or probe is open, and no frame is queued or being written.
    pub fn is_idle(&self) -> bool {
        self.open_streams() == 0 && self.queue.is_empty()
    }

    /// Whether an attempt was not answered within the response timeout and nothing was received since; see
    /// [`LeafConnection::cancel_attempt`].
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether the connection is unresponsive and has no open attempt that might still be answered. Such a
    /// connection may be closed although frames are queued: closing it also cancels its attempts at the leaf server,
    /// and its socket might never accept the frames.
    pub fn is_unusable(&self) -> bool {
        self.unresponsive && self.attempts.is_empty()
    }

    /// Queues an attempt: in the last frame of the queue, if `join_last_call` is set and that is a call with fewer than
    /// `max_parts_per_call` parts, else in a new call.
    pub fn queue_attempt(
        &mut self,
        attempt: AttemptId,
        wire_id: Rc<str>,
        join_last_call: bool,
        max_parts_per_call: usize,
    ) {
        self.attempts.insert(wire_id.clone(), attempt);
        let entry = CallAttempt { attempt, wire_id };
        self.queue
            .push_attempt(entry, join_last_call, max_parts_per_call);
    }

    /// Queues a probe.
    pub fn queue_probe(&mut self, probe: ProbeId) {
        self.queue.push(QueuedFrame::Probe(probe));
    }

    /// Notes that the connection is established.
    pub fn on_connected(&mut self, now: Nanos) {
        self.phase = ConnectionPhase::Open;
        self.last_received_at = now;
    }

    /// Starts to write the next frame and returns it. `None` until [`LeafConnection::on_frame_written`] reports the
    /// previous one: only a frame that is still queued can be dropped.
    pub fn next_frame(&mut self, now: Nanos) -> Option<QueuedFrame> {
        if self.phase != ConnectionPhase::Open {
            return None;
        }
        let frame = self.queue.start_write(now)?;
        if let QueuedFrame::Call(call) = &frame {
            self.attempts.on_write_started(call, now);
        }
        Some(frame)
    }

    /// Notes that the socket has accepted the last byte of the frame: from now on its parts may run.
    pub fn on_frame_written(&mut self) {
        match self.queue.finish_write() {
            Some(QueuedFrame::Call(call)) => self.attempts.on_written(&call),
            Some(QueuedFrame::Probe(probe)) => self.probes.push_back(Some(probe)),
            Some(QueuedFrame::Cancel(_)) | None => {}
        }
    }

    /// Notes that a frame was received, so the connection is responsive.
    pub fn on_frame_received(&mut self, now: Nanos) {
        self.last_received_at = now;
        self.unresponsive = false;
    }

    /// Ends the attempt that an answer refers to. An attempt that has not been written yet can't have been answered:
    /// such an answer refers to an earlier attempt with the same id.
    pub fn on_answer(&mut self, wire_id: &str) -> AnswerTarget {
        self.attempts.on_answer(wire_id)
    }

    /// The attempt that a malformed answer is attributed to: the one that it names, else the one that has been in
    /// flight for longest.
    pub fn attempt_for_malformed_answer(&self, wire_id: Option<&str>) -> Option<AttemptId> {
        self.attempts.attempt_for_malformed_answer(wire_id)
    }

    /// The open attempts whose last byte the socket has accepted, in the order of their wire ids.
    pub fn written_attempts(&self) -> Vec<AttemptId> {
        self.attempts.written()
    }

    /// The probe that an answer refers to; `None` if it was cancelled, or none was sent.
    pub fn on_probe_answer(&mut self) -> Option<ProbeId> {
        self.probes.pop_front().flatten()
    }

    /// Cancels a probe. If its answer is still received, it is not attributed to the next probe.
    pub fn cancel_probe(&mut self, probe: ProbeId) {
        self.queue.remove_queued_probe(probe);
        for written in &mut self.probes {
            if *written == Some(probe) {
                *written = None;
            }
        }
    }

    /// Cancels an attempt; returns whether it may have run. A queued attempt is dropped and never sent; one whose frame
    /// was passed to the socket is followed by a cancellation frame. If at least `response_timeout` nanoseconds have
    /// passed since then and nothing was received, the connection becomes unresponsive.
    pub fn cancel_attempt(
        &mut self,
        attempt: AttemptId,
        now: Nanos,
        response_timeout: Nanos,
    ) -> bool {
        let Some(removed) = self.attempts.remove(attempt) else {
            return false;
        };
        if self.queue.remove_queued_attempt(attempt) {
            return false;
        }
        self.attempts.retain_finished_id(removed.wire_id.clone());
        self.queue.push(QueuedFrame::Cancel(removed.wire_id));
        if let Some(write_started_at) = removed.write_started_at {
            let nothing_received = self.last_received_at <= write_started_at;
            self.unresponsive |=
                nothing_received && now.saturating_sub(write_started_at) >= response_timeout;
        }
        true
    }

    /// The attempts that have not been passed to the socket, in queue order.
    pub fn unsent_attempts(&self) -> Vec<AttemptId> {
        self.queue.queued_attempts()
    }

    /// Whether a call with this part is being written.
    pub fn is_writing(&self, part: RequestId) -> bool {
        self.queue.is_writing(part)
    }

    /// When the call that is being written was passed to the socket; `None` if no call is being written. Attempts of
    /// the call that were cancelled since then are still sent with it.
    pub fn writing_call_since(&self) -> Option<Nanos> {
        self.queue.writing_call_since()
    }

    /// Consumes the connection, which has ended, and returns its open attempts and probes.
    pub fn into_interrupted(self) -> Interrupted {
        let written_probes = self.probes.iter().flatten().copied();
        Interrupted {
            attempts: self.attempts.interrupted(),
            probes: written_probes.chain(self.queue.probes()).collect(),
        }
    }
}
