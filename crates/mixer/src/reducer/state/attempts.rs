//! Attempts and probes, from the decision to the one end of each.

use super::{Attempt, Part, Reducer, IDLE_TENTHS, MS};
use crate::log_targets;
use crate::protocol::leaf_frames::{CallPart, LeafRequest};
use crate::reducer::leaf_connection::{AttemptId, Job};
use crate::reducer::probes::{Probe, ProbeId};
use crate::reducer::timers::Timer;
use crate::reducer::{ConnectionId, Effect};
use cottonhill_decisions::{
    EndpointStatus, Event, LoadReport, Nanos, Outcome, ReplicaId, RequestId,
};
use std::rc::Rc;

impl Reducer {
    pub(super) fn send(&mut self, now: Nanos, id: RequestId, replica: ReplicaId, until: Nanos) {
        let Some(part) = self.parts.get_mut(&id) else {
            self.counters.faults.stray += 1;
            tracing::error!(target: log_targets::ATTEMPTS, id, "a send for a part that is over");
            return;
        };
        let attempt = (id, part.attempts);
        part.attempts = part.attempts.saturating_add(1);
        let elsewhere = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.zone != self.site.zone);
        part.crossed = part.crossed.saturating_add(u8::from(elsewhere));
        let (wire, shard, text) = (part.wire.clone(), part.shard, part.text.clone());
        let deadline = self
            .queries
            .get(&part.query)
            .map_or(now, |query| query.deadline);
        let until = if until == 0 {
            deadline
        } else {
            until.min(deadline)
        };
        self.counters.sent.attempts += 1;
        self.counters.sent.further_attempts += u64::from(attempt.1 > 0);
        let ready = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.status == EndpointStatus::Ready);
        let allowed = usize::from(attempt.1) < self.site.max_attempts && until > now;
        if !ready || !allowed {
            return self.not_placed(attempt, replica, Outcome::NotSent);
        }
        let Some(connection) = self.link_for(now, replica, &wire) else {
            return self.not_placed(attempt, replica, Outcome::ConnectFailed);
        };
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.queue(
                attempt,
                wire,
                !self.joining.insert(connection),
                self.site.max_parts_per_call,
            );
        }
        self.pending.insert(connection);
        self.timers.set(until, Timer::AttemptDeadline(attempt));
        self.attempts.insert(
            attempt,
            Attempt {
                replica,
                connection,
                until,
                shard,
                text,
            },
        );
    }

    /// An attempt that found no connection; it ends like any other, or the module would wait for it.
    pub(super) fn not_placed(
        &mut self,
        (part, attempt): AttemptId,
        replica: ReplicaId,
        outcome: Outcome,
    ) {
        self.count(outcome);
        self.events.push(Event::AttemptEnded {
            part,
            attempt,
            replica,
            outcome,
            report: LoadReport::new(),
        });
    }

    /// The one end of an attempt that was placed.
    pub(super) fn ended(&mut self, id: AttemptId, outcome: Outcome, report: LoadReport) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.timers
            .cancel(attempt.until, Timer::AttemptDeadline(id));
        if let Some(part) = self
            .parts
            .get_mut(&id.0)
            .filter(|_| outcome.did_not_execute())
        {
            part.begun.retain(|(number, _)| *number != id.1);
        }
        self.count(outcome);
        let (replica, (part, attempt)) = (attempt.replica, id);
        tracing::debug!(
            target: log_targets::ATTEMPTS, part,
            attempt,
            replica = replica.0,
            ?outcome,
            "attempt ended"
        );
        self.events.push(Event::AttemptEnded {
            part,
            attempt,
            replica,
            outcome,
            report,
        });
    }

    pub(super) fn count(&mut self, outcome: Outcome) {
        let ended = &mut self.counters.ended;
        *match outcome {
            Outcome::Ok => &mut ended.ok,
            Outcome::Error => &mut ended.error,
            Outcome::Rejected => &mut ended.refused,
            Outcome::TimedOut => &mut ended.timed_out,
            Outcome::ConnectFailed => &mut ended.unreachable,
            Outcome::ConnectionReset => &mut ended.broken,
            Outcome::Cancelled => &mut ended.cancelled,
            Outcome::NotSent => &mut ended.not_sent,
        } += 1;
    }

    /// Ends an attempt from our side. One that never went out is known not to have run.
    pub(super) fn end_attempt(&mut self, now: Nanos, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let connection = attempt.connection;
        let mut outcome = outcome;
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            let before = it.is_silent();
            let went_out = it.drop_attempt(id, now, 2 * self.site.connect_timeout);
            if !went_out && outcome == Outcome::TimedOut {
                outcome = Outcome::NotSent;
            }
            self.counters.connections.silent += u64::from(it.is_silent() && !before);
        }
        self.pending.insert(connection);
        self.ended(id, outcome, LoadReport::new());
    }

    /// What has waited past its time must not go out, though its alarm has yet to ring: the socket may be
    /// free for it a moment before the turn. Nor may a repeat that has waited past the time in which repeats are
    /// dropped where it goes.
    pub(super) fn drop_expired(&mut self, now: Nanos, connection: ConnectionId) {
        let unsent = self
            .connections
            .get(&connection)
            .map(|(_, it)| it.unsent())
            .unwrap_or_default();
        for id in unsent {
            if self
                .attempts
                .get(&id)
                .is_some_and(|attempt| attempt.until <= now)
            {
                self.end_attempt(now, id, Outcome::TimedOut);
            } else if self.repeat_until(id.0).is_some_and(|until| until < now) {
                self.end_attempt(now, id, Outcome::NotSent);
            }
        }
    }

    /// Until when one more attempt at a part may begin, where an earlier one may have run and that is bounded.
    fn repeat_until(&self, part: RequestId) -> Option<Nanos> {
        let part = self.parts.get(&part)?;
        let first = part.begun.iter().map(|(_, at)| *at).min()?;
        Some(first.saturating_add(self.repeat_window(part)?))
    }

    fn repeat_window(&self, part: &Part) -> Option<Nanos> {
        self.repeat_windows
            .get(self.queries.get(&part.query)?.class)
            .copied()
            .flatten()
    }

    /// Notes that a call goes to its socket now. One that may not begin later than some time has to be taken by then.
    fn note_begun(&mut self, now: Nanos, connection: ConnectionId, job: &Job) {
        let Job::Call(call) = job else { return };
        for ((id, number), _) in call {
            if let Some(until) = self.repeat_until(*id) {
                self.timers
                    .set(until.max(now), Timer::WriteStalled(connection, now));
            }
            let bounded = self
                .parts
                .get(id)
                .and_then(|part| self.repeat_window(part))
                .is_some();
            if let Some(part) = self.parts.get_mut(id).filter(|_| bounded) {
                part.begun.push((*number, now));
            }
        }
    }

    /// Hands each connection with work its next frame, and closes those that have none and no future.
    pub(super) fn pump(&mut self, now: Nanos) {
        while let Some(connection) = self.pending.pop_first() {
            self.drop_expired(now, connection);
            let Some((id, it)) = self.connections.get_mut(&connection) else {
                continue;
            };
            let id = *id;
            if it.is_spent() {
                self.close_link(now, connection);
            } else if let Some(job) = it.take_next(now) {
                self.note_begun(now, connection, &job);
                match self.frame(now, id, job) {
                    Some(frame) => self.effects.push(Effect::WriteFrame { connection, frame }),
                    // Nothing was left of it: as if it were written, and on to the next.
                    None => {
                        if let Some((_, it)) = self.connections.get_mut(&connection) {
                            it.wrote();
                        }
                        self.pending.insert(connection);
                    }
                }
            } else if it.is_idle() {
                it.idle_since = now;
                // One that leads to where its replica no longer is has no future either.
                let wanted = self
                    .replicas
                    .get(id)
                    .filter(|r| r.status == EndpointStatus::Ready);
                if wanted.is_none() || !self.replicas.connections(id).contains(&connection) {
                    self.close_link(now, connection);
                } else {
                    let due = now + self.site.connection_idle_timeout / 10 * IDLE_TENTHS;
                    if it.idle_alarm.is_none() {
                        it.idle_alarm = Some(due);
                        self.timers.set(due, Timer::IdleTimeout(connection));
                    }
                }
            }
        }
    }

    pub(super) fn frame(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        job: Job,
    ) -> Option<LeafRequest> {
        match job {
            Job::Call(call) => {
                let part = |(id, wire): (AttemptId, Rc<str>)| {
                    let Attempt {
                        until, shard, text, ..
                    } = self.attempts.get(&id)?;
                    let timeout_ms = until.saturating_sub(now).div_ceil(MS);
                    Some(CallPart {
                        id: wire,
                        shard: *shard,
                        timeout_ms,
                        text: text.clone(),
                    })
                };
                let parts: Vec<CallPart> = call.into_iter().filter_map(part).collect();
                self.counters.sent.calls += u64::from(!parts.is_empty());
                tracing::debug!(
                    target: log_targets::ATTEMPTS, replica = replica.0,
                    parts = parts.len(),
                    index = self.replicas.index,
                    since_heard_ms = now.saturating_sub(self.heard) / MS,
                    "call written"
                );
                (!parts.is_empty()).then_some(LeafRequest::Call(parts))
            }
            Job::GiveUp(wire) => {
                self.counters.sent.give_ups += 1;
                Some(LeafRequest::Cancel(wire))
            }
            Job::Probe(_) => {
                self.counters.sent.probes += 1;
                Some(if self.site.load_report_fields.is_empty() {
                    LeafRequest::Probe
                } else {
                    LeafRequest::ProbeLoad
                })
            }
        }
    }

    pub(super) fn probe(&mut self, now: Nanos, replica: ReplicaId) {
        let listed = self
            .replicas
            .get(replica)
            .is_some_and(|r| r.status != EndpointStatus::Gone);
        let connection = if listed && self.site.probing_enabled {
            self.link_for(now, replica, "")
        } else {
            None
        };
        let Some(connection) = connection else {
            let (outcome, report) = (Outcome::NotSent, LoadReport::new());
            return self.events.push(Event::ProbeEnded {
                replica,
                outcome,
                latency: 0,
                report,
            });
        };
        let probe = self.id();
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.queue_probe(probe);
        }
        self.pending.insert(connection);
        self.timers
            .set(now + self.site.connect_timeout, Timer::ProbeTimeout(probe));
        self.probes.insert(
            probe,
            Probe {
                replica,
                connection,
                queued_at: now,
            },
        );
    }

    pub(super) fn probe_ended(
        &mut self,
        now: Nanos,
        probe: ProbeId,
        outcome: Outcome,
        report: &str,
    ) {
        let Some(Probe {
            replica,
            connection,
            queued_at,
        }) = self.probes.remove(&probe)
        else {
            return;
        };
        self.timers.cancel(
            queued_at + self.site.connect_timeout,
            Timer::ProbeTimeout(probe),
        );
        if let Some((_, it)) = self.connections.get_mut(&connection) {
            it.drop_probe(probe);
        }
        let report = self.report(report);
        self.events.push(Event::ProbeEnded {
            replica,
            outcome,
            latency: now.saturating_sub(queued_at),
            report,
        });
    }
}
