//! Frames from leaf servers, and the end of attempts and probes.

use super::connection_handling::CloseReason;
use super::leaf_connection::{AnswerTarget, AttemptId};
use super::probes::ProbeId;
use super::timers::Timer;
use super::{ConnectionId, Reducer};
use crate::log_targets;
use crate::protocol::leaf_frames::{LeafResponse, PartStatus};
use cottonhill_decisions::{Event, LoadReport, Nanos, Outcome, ReplicaId, RequestId};

impl Reducer {
    pub(super) fn on_frame(&mut self, now: Nanos, id: ConnectionId, frame: LeafResponse) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.on_frame_received(now);
        self.connections.schedule_flush(id);
        match frame {
            LeafResponse::Answer {
                id: wire_id,
                status,
                report,
                value,
            } => self.on_answer(now, id, &wire_id, status, &report, &value),
            LeafResponse::AnswerWithoutValue(wire_id) => {
                self.on_answer_without_value(now, id, &wire_id);
            }
            LeafResponse::ProbeAnswer { ok, report } => {
                self.on_probe_answer(now, id, ok, &report);
            }
            LeafResponse::ProtocolError(reason) => {
                tracing::warn!(target: log_targets::CONNECTIONS, connection = id, reason, "leaf server reported a protocol error");
            }
            LeafResponse::Malformed(wire_id) => {
                self.on_malformed_answer(now, id, wire_id.as_deref());
            }
        }
    }

    fn on_answer(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        wire_id: &str,
        status: PartStatus,
        report: &str,
        value: &[u8],
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let attempt = match connection.on_answer(wire_id) {
            AnswerTarget::InFlight(attempt) => attempt,
            AnswerTarget::Finished => return,
            AnswerTarget::Unknown => return self.on_malformed_answer(now, id, None),
        };
        let outcome = match status {
            PartStatus::Ok => Outcome::Ok,
            PartStatus::Error => Outcome::Error,
            PartStatus::Busy => Outcome::Rejected,
        };
        if outcome == Outcome::Ok && !self.queries.record_value(attempt.part, value) {
            self.fail_query_of_dropped_value(now, attempt.part);
        }
        let report = parse_load_report(report, &self.settings.load_report_fields);
        self.end_attempt(attempt, outcome, report);
    }

    /// Handles an answer whose value was dropped while it was received.
    fn on_answer_without_value(&mut self, now: Nanos, id: ConnectionId, wire_id: &str) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match connection.on_answer(wire_id) {
            AnswerTarget::InFlight(attempt) => {
                self.fail_query_of_dropped_value(now, attempt.part);
                self.end_attempt(attempt, Outcome::Ok, LoadReport::new());
            }
            AnswerTarget::Finished => {}
            AnswerTarget::Unknown => self.on_malformed_answer(now, id, None),
        }
    }

    /// Fails the query of a value for which there is no memory. Neither its replica nor load is the reason, so the
    /// coordinator is notified that the query has ended, and not that an attempt has failed.
    fn fail_query_of_dropped_value(&mut self, now: Nanos, part: RequestId) {
        self.counters.memory.dropped_values += 1;
        let Some(query) = self.queries.part_mut(part).map(|part| part.query) else {
            return;
        };
        tracing::debug!(
            target: log_targets::ATTEMPTS, id = query,
            usage = ?self.queries.memory.usage(),
            "query failed: no memory for a value"
        );
        self.events.push(Event::ClientDisconnected { id: query });
        self.fail_query(now, query);
    }

    fn on_probe_answer(&mut self, now: Nanos, id: ConnectionId, ok: bool, report: &str) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if let Some(probe) = connection.on_probe_answer() {
            let outcome = if ok { Outcome::Ok } else { Outcome::Error };
            self.end_probe(now, probe, outcome, report);
        }
    }

    /// Handles an answer that can't be parsed or whose id matches no attempt. It is attributed to the attempt with its
    /// id or, if there is none, to the one that has been in flight for longest. That attempt fails, since the server is
    /// assumed to have run it. The answers to the other attempts can't be read either: these attempts are cancelled,
    /// and the connection is closed.
    fn on_malformed_answer(&mut self, now: Nanos, id: ConnectionId, wire_id: Option<&str>) {
        let (Some(connection), Some(replica)) =
            (self.connections.get(id), self.connections.replica(id))
        else {
            return;
        };
        self.counters.connections.malformed += 1;
        tracing::info!(
            target: log_targets::CONNECTIONS, connection = id,
            replica = replica.0,
            id = wire_id,
            "answer malformed or with an unknown id, connection closed"
        );
        let failed = connection.attempt_for_malformed_answer(wire_id);
        let in_flight = connection.written_attempts();
        if let Some(failed) = failed {
            self.end_attempt(failed, Outcome::Error, LoadReport::new());
        }
        for attempt in in_flight {
            if Some(attempt) != failed {
                self.end_attempt(attempt, Outcome::Cancelled, LoadReport::new());
            }
        }
        self.close_connection(now, id, CloseReason::MalformedAnswer);
    }

    /// Cancels an attempt at a part.
    pub(super) fn cancel_part_attempt(&mut self, now: Nanos, part: RequestId, number: u8) {
        self.cancel_attempt(now, AttemptId { part, number }, Outcome::Cancelled);
    }

    /// Ends an attempt before it is answered. An attempt that was not sent has not run, so its outcome is `NotSent`
    /// instead of `TimedOut`.
    pub(super) fn cancel_attempt(&mut self, now: Nanos, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let connection_id = attempt.connection;
        let response_timeout = 2 * self.settings.connect_timeout;
        let mut outcome = outcome;
        if let Some(connection) = self.connections.get_mut(connection_id) {
            let was_unresponsive = connection.is_unresponsive();
            let was_sent = connection.cancel_attempt(id, now, response_timeout);
            if !was_sent && outcome == Outcome::TimedOut {
                outcome = Outcome::NotSent;
            }
            let became_unresponsive = connection.is_unresponsive() && !was_unresponsive;
            self.counters.connections.unresponsive += u64::from(became_unresponsive);
        }
        self.connections.schedule_flush(connection_id);
        self.end_attempt(id, outcome, LoadReport::new());
    }

    /// Ends an attempt that was queued on a connection. Does nothing if it has ended already.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, report: LoadReport) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.timers
            .cancel(attempt.expires_at, Timer::AttemptDeadline(id));
        if outcome.did_not_execute() {
            if let Some(part) = self.queries.part_mut(id.part) {
                part.remove_sent_attempt(id.number);
            }
        }
        let replica = attempt.replica;
        tracing::debug!(
            target: log_targets::ATTEMPTS, part = id.part,
            attempt = id.number,
            replica = replica.0,
            ?outcome,
            "attempt ended"
        );
        self.report_attempt_ended(id, replica, outcome, report);
    }

    /// Ends an attempt that was not queued on a connection: with `NotSent` if it is not allowed, with `ConnectFailed`
    /// if no connection could be opened.
    pub(super) fn end_unqueued_attempt(
        &mut self,
        id: AttemptId,
        replica: ReplicaId,
        outcome: Outcome,
    ) {
        self.report_attempt_ended(id, replica, outcome, LoadReport::new());
    }

    /// Counts the outcome and reports it to the coordinator, which expects an end event for every attempt.
    fn report_attempt_ended(
        &mut self,
        id: AttemptId,
        replica: ReplicaId,
        outcome: Outcome,
        report: LoadReport,
    ) {
        self.counters.attempt_outcomes.count(outcome);
        if let Some(part) = self.queries.part_mut(id.part) {
            part.last_outcome = Some(outcome);
        }
        self.events.push(Event::AttemptEnded {
            part: id.part,
            attempt: id.number,
            replica,
            outcome,
            report,
        });
    }

    /// Ends a probe. Does nothing if it has ended already.
    pub(super) fn end_probe(&mut self, now: Nanos, id: ProbeId, outcome: Outcome, report: &str) {
        let Some(probe) = self.probes.remove(&id) else {
            return;
        };
        self.timers.cancel(
            probe.queued_at + self.settings.connect_timeout,
            Timer::ProbeTimeout(id),
        );
        if let Some(connection) = self.connections.get_mut(probe.connection) {
            connection.cancel_probe(id);
        }
        self.events.push(Event::ProbeEnded {
            replica: probe.replica,
            outcome,
            latency: now.saturating_sub(probe.queued_at),
            report: parse_load_report(report, &self.settings.load_report_fields),
        });
    }
}

/// Parses the values of these fields, in this order, from a load report such as `cpu=0.5,queue=3`. Empty if a value is
/// missing or not a finite number.
fn parse_load_report(text: &str, fields: &[String]) -> LoadReport {
    let mut report = LoadReport::new();
    for field in fields {
        let Some(value) = load_report_value(text, field) else {
            return LoadReport::new();
        };
        report.push(value);
    }
    report
}

fn load_report_value(text: &str, field: &str) -> Option<f32> {
    let mut pairs = text
        .split([',', ';'])
        .filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| key.trim() == field)?;
    let number: f32 = value.trim().parse().ok()?;
    number.is_finite().then_some(number)
}
