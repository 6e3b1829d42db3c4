//! The queued frames of one connection, and the one that is being written.

use super::{AttemptId, CallAttempt, ProbeId, QueuedFrame};
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::VecDeque;

/// The frames of one connection, in the order in which they are written. One frame at a time is passed to the socket:
/// only a frame that is still queued can be dropped.
#[derive(Debug)]
pub(super) struct FrameQueue {
    queued: VecDeque<QueuedFrame>,
    /// The frame that is being written to the socket.
    writing: Option<QueuedFrame>,
    /// When the last frame was passed to the socket.
    write_started_at: Nanos,
}

impl FrameQueue {
    /// Creates an empty queue.
    pub(super) fn new(now: Nanos) -> FrameQueue {
        FrameQueue {
            queued: VecDeque::new(),
            writing: None,
            write_started_at: now,
        }
    }

    /// Whether no frame is queued or being written.
    pub(super) fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.writing.is_none()
    }

    /// Queues a frame.
    pub(super) fn push(&mut self, frame: QueuedFrame) {
        self.queued.push_back(frame);
    }

    /// Queues an attempt: in the last frame of the queue, if `join_last_call` is set and that is a call with fewer than
    /// `max_parts_per_call` parts, else in a new call.
    pub(super) fn push_attempt(
        &mut self,
        entry: CallAttempt,
        join_last_call: bool,
        max_parts_per_call: usize,
    ) {
        match self.queued.back_mut() {
            Some(QueuedFrame::Call(call)) if join_last_call && call.len() < max_parts_per_call => {
                call.push(entry);
            }
            _ => self.push(QueuedFrame::Call(vec![entry])),
        }
    }

    /// Starts to write the next frame and returns it; `None` if none is queued or one is being written.
    pub(super) fn start_write(&mut self, now: Nanos) -> Option<QueuedFrame> {
        if self.writing.is_some() {
            return None;
        }
        self.writing = self.queued.pop_front();
        self.write_started_at = now;
        self.writing.clone()
    }

    /// Returns the frame that was being written, which the socket has accepted completely.
    pub(super) fn finish_write(&mut self) -> Option<QueuedFrame> {
        self.writing.take()
    }

    /// The probes that are queued or being written.
    pub(super) fn probes(&self) -> impl Iterator<Item = ProbeId> + '_ {
        self.queued
            .iter()
            .chain(&self.writing)
            .filter_map(|frame| match frame {
                QueuedFrame::Probe(probe) => Some(*probe),
                _ => None,
            })
    }

    /// Removes a queued probe.
    pub(super) fn remove_queued_probe(&mut self, probe: ProbeId) {
        self.queued
            .retain(|frame| *frame != QueuedFrame::Probe(probe));
    }

    /// Removes an attempt from the queued calls; returns whether it was in one.
    pub(super) fn remove_queued_attempt(&mut self, attempt: AttemptId) -> bool {
        let mut was_queued = false;
        for frame in &mut self.queued {
            if let QueuedFrame::Call(call) = frame {
                let before = call.len();
                call.retain(|entry| entry.attempt != attempt);
                was_queued |= call.len() < before;
            }
        }
        self.queued
            .retain(|frame| !matches!(frame, QueuedFrame::Call(call) if call.is_empty()));
        was_queued
    }

    /// The queued attempts, in the order in which they would be written.
    pub(super) fn queued_attempts(&self) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for frame in &self.queued {
            if let QueuedFrame::Call(call) = frame {
                attempts.extend(call.iter().map(|entry| entry.attempt));
            }
        }
        attempts
    }

    /// Whether a call with this part is being written.
    pub(super) fn is_writing(&self, part: RequestId) -> bool {
        match &self.writing {
            Some(QueuedFrame::Call(call)) => call.iter().any(|entry| entry.attempt.part == part),
            _ => false,
        }
    }

    /// When the call that is being written was passed to the socket; `None` if no call is being written.
    pub(super) fn writing_call_since(&self) -> Option<Nanos> {
        matches!(self.writing, Some(QueuedFrame::Call(_))).then_some(self.write_started_at)
    }
}
