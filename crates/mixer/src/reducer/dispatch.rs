//! Sends attempts and probes to leaf servers, in frames.

use super::attempts::Attempt;
use super::connection_handling::CloseReason;
use super::leaf_connection::{AttemptId, CallAttempt, QueuedFrame};
use super::probes::Probe;
use super::timers::Timer;
use super::{ConnectionId, Effect, Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::leaf_frames::{CallPart, LeafRequest};
use cottonhill_decisions::{
    EndpointStatus, Event, LoadReport, Nanos, Outcome, ReplicaId, RequestId,
};
use std::rc::Rc;

impl Reducer {
    /// Starts an attempt at a part. An `expires_at` of 0 means the deadline of the query.
    pub(super) fn send_attempt(
        &mut self,
        now: Nanos,
        part_id: RequestId,
        replica: ReplicaId,
        expires_at: Nanos,
    ) {
        let cross_zone = self.is_in_other_zone(replica);
        let Some(part) = self.queries.part_mut(part_id) else {
            self.counters.faults.invalid_actions += 1;
            tracing::error!(target: log_targets::ATTEMPTS, id = part_id, "attempt at an unknown part, not sent");
            return;
        };
        let id = AttemptId {
            part: part_id,
            number: part.add_attempt(cross_zone),
        };
        let (wire_id, shard, text) = (part.wire_id.clone(), part.shard, part.text.clone());
        let query = part.query;
        tracing::debug!(
            target: log_targets::ATTEMPTS, id = &*wire_id,
            attempt = id.number,
            replica = replica.0,
            last_outcome = ?part.last_outcome,
            "attempt started"
        );
        let expires_at = self.attempt_expiry(now, query, expires_at);
        self.counters.sent.attempts += 1;
        self.counters.sent.extra_attempts += u64::from(id.number > 0);
        let is_allowed = usize::from(id.number) < self.settings.max_attempts && expires_at > now;
        if !self.is_ready(replica) || !is_allowed {
            return self.end_unqueued_attempt(id, replica, Outcome::NotSent);
        }
        // No descriptor is free for a connection. Ends as a failed connect, since the attempt did not run.
        let Some(connection) = self.connection_for(now, replica, &wire_id) else {
            return self.end_unqueued_attempt(id, replica, Outcome::ConnectFailed);
        };
        let attempt = Attempt {
            replica,
            connection,
            expires_at,
            shard,
            text,
        };
        self.queue_attempt(id, wire_id, attempt);
    }

    /// Queues an attempt on its connection.
    fn queue_attempt(&mut self, id: AttemptId, wire_id: Rc<str>, attempt: Attempt) {
        let max_parts = self.settings.max_parts_per_call;
        self.connections
            .queue_attempt(attempt.connection, id, wire_id, max_parts);
        self.connections.schedule_flush(attempt.connection);
        self.timers
            .set(attempt.expires_at, Timer::AttemptDeadline(id));
        self.attempts.insert(id, attempt);
    }

    fn is_in_other_zone(&self, replica: ReplicaId) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|replica| replica.zone != self.settings.zone)
    }

    fn is_ready(&self, replica: ReplicaId) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|replica| replica.status == EndpointStatus::Ready)
    }

    /// When an attempt times out: at `expires_at` if that is set, but not after the query's deadline.
    fn attempt_expiry(&self, now: Nanos, query: RequestId, expires_at: Nanos) -> Nanos {
        let deadline = self.queries.get(query).map_or(now, |query| query.deadline);
        if expires_at == 0 {
            deadline
        } else {
            expires_at.min(deadline)
        }
    }

    /// Probes a replica that is ready or draining.
    pub(super) fn send_probe(&mut self, now: Nanos, replica: ReplicaId) {
        let is_listed = self
            .replicas
            .get(replica)
            .is_some_and(|replica| replica.status != EndpointStatus::Removed);
        let connection = if is_listed && self.settings.probing_enabled {
            self.connection_for(now, replica, "")
        } else {
            None
        };
        let Some(connection) = connection else {
            return self.events.push(Event::ProbeEnded {
                replica,
                outcome: Outcome::NotSent,
                latency: 0,
                report: LoadReport::new(),
            });
        };
        let id = self.ids.next_id();
        if let Some(connection) = self.connections.get_mut(connection) {
            connection.queue_probe(id);
        }
        self.connections.schedule_flush(connection);
        self.timers
            .set(now + self.settings.connect_timeout, Timer::ProbeTimeout(id));
        let probe = Probe {
            replica,
            connection,
            queued_at: now,
        };
        self.probes.insert(id, probe);
    }

    /// Writes the next frame of each connection that is scheduled for a flush, and closes unresponsive connections and
    /// idle ones that will receive no new attempts.
    pub(super) fn flush_connections(&mut self, now: Nanos) {
        while let Some(connection) = self.connections.pop_to_flush() {
            self.end_expired_attempts(now, connection);
            self.flush_connection(now, connection);
        }
    }

    fn flush_connection(&mut self, now: Nanos, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.is_unusable() {
            self.close_connection(now, id, CloseReason::Unresponsive);
        } else if let Some(frame) = connection.next_frame(now) {
            self.write_frame(now, id, frame);
        } else if connection.is_idle() {
            connection.idle_since = now;
            self.on_connection_idle(now, id);
        }
    }

    /// Ends the unsent attempts of a connection that must not be sent, whose timers may not have fired yet: those that
    /// have expired, and those whose part was first sent so long ago that the leaf server may not recognise the
    /// repetition.
    fn end_expired_attempts(&mut self, now: Nanos, connection: ConnectionId) {
        for id in self.connections.unsent_attempts(connection) {
            let start_deadline = self.queries.attempt_start_deadline(id.part);
            if self.has_expired(now, id) {
                self.cancel_attempt(now, id, Outcome::TimedOut);
            } else if start_deadline.is_some_and(|deadline| deadline < now) {
                self.cancel_attempt(now, id, Outcome::NotSent);
            }
        }
    }

    fn has_expired(&self, now: Nanos, id: AttemptId) -> bool {
        self.attempts
            .get(id)
            .is_some_and(|attempt| attempt.expires_at <= now)
    }

    fn write_frame(&mut self, now: Nanos, id: ConnectionId, frame: QueuedFrame) {
        let Some(replica) = self.connections.replica(id) else {
            return;
        };
        if let QueuedFrame::Call(call) = &frame {
            self.record_call_sent(now, id, call);
        }
        if let Some(frame) = self.encode_frame(now, replica, frame) {
            self.effects.push(Effect::WriteFrame {
                connection: id,
                frame,
            });
            return;
        }
        // All attempts of the call have ended. It counts as written, so that the next frame is written.
        if let Some(connection) = self.connections.get_mut(id) {
            connection.on_frame_written();
        }
        self.connections.schedule_flush(id);
    }

    /// Notes that a call is passed to its socket. If its attempts have a start deadline, the socket must have accepted
    /// the complete call by then.
    fn record_call_sent(&mut self, now: Nanos, connection: ConnectionId, call: &[CallAttempt]) {
        for CallAttempt { attempt, .. } in call {
            if let Some(deadline) = self.queries.attempt_start_deadline(attempt.part) {
                self.timers
                    .set(deadline.max(now), Timer::WriteStalled(connection, now));
            }
            self.queries
                .record_sent_attempt(attempt.part, attempt.number, now);
        }
    }

    /// Encodes a frame; `None` for a call whose attempts have all ended.
    fn encode_frame(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        frame: QueuedFrame,
    ) -> Option<LeafRequest> {
        match frame {
            QueuedFrame::Call(call) => self.encode_call(now, replica, call),
            QueuedFrame::Cancel(wire_id) => {
                self.counters.sent.cancellations += 1;
                Some(LeafRequest::Cancel(wire_id))
            }
            QueuedFrame::Probe(_) => {
                self.counters.sent.probes += 1;
                let reports_load = !self.settings.load_report_fields.is_empty();
                Some(if reports_load {
                    LeafRequest::ProbeLoad
                } else {
                    LeafRequest::Probe
                })
            }
        }
    }

    fn encode_call(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        call: Vec<CallAttempt>,
    ) -> Option<LeafRequest> {
        let mut parts = Vec::with_capacity(call.len());
        for CallAttempt { attempt, wire_id } in call {
            let text = self.attempts.take_text(attempt);
            let Some(attempt) = self.attempts.get(attempt) else {
                continue;
            };
            let remaining_time = attempt.expires_at.saturating_sub(now);
            parts.push(CallPart {
                id: wire_id,
                shard: attempt.shard,
                timeout_ms: remaining_time.div_ceil(NANOS_PER_MS),
                text,
            });
        }
        tracing::debug!(
            target: log_targets::ATTEMPTS, replica = replica.0,
            parts = parts.len(),
            version = self.replicas.version(),
            ms_since_last_message = self.discovery.ms_since_last_message(now),
            "call passed to socket"
        );
        if parts.is_empty() {
            return None;
        }
        self.counters.sent.calls += 1;
        Some(LeafRequest::Call(parts))
    }
}
