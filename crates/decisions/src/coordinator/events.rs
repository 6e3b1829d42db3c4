//! Taking events in: lists, queries, parts and outcomes.

use super::admission::{SHED_DECAY, SHED_ON_REFUSAL};
use super::health::FADE_TARGETS;
use super::{Coordinator, SECOND};
use crate::query::Query;
use crate::replica_table::{Connection, Slot};
use crate::{
    Action, DiscoveryMode, Endpoint, EndpointUpdateKind, Event, Nanos, Outcome, ReplicaId,
    RequestId,
};
use std::collections::BTreeSet;

/// Share of a class's target latency by which two client timeouts may differ and count as the same: one in so many.
const TIMEOUT_TOLERANCE: Nanos = 100;
/// First tries by which the usual client timeout may lead, so that a change among the clients is seen soon.
const TIMEOUT_VOTES: u32 = 16;
/// Shares of the time within which the list has to be asked for: delay after one failed call, and at the most.
const LIST_RETRY_FIRST: f64 = 0.06;
const LIST_RETRY_MOST: f64 = 0.5;
/// Weight of one race between an attempt and its copy in the share that copies lose.
const RACE_SMOOTHING: f64 = 0.1;

impl Coordinator {
    pub(super) fn take(
        &mut self,
        event: &Event,
        with_new_parts: &mut BTreeSet<RequestId>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.take_list(*kind, endpoints),
            Event::QueryReceived { .. } => self.take_query(event),
            Event::PartReceived {
                id,
                group,
                shard,
                weight,
            } => {
                self.arrivals.push(self.now);
                let weight = if weight.is_finite() {
                    weight.max(0.0)
                } else {
                    0.0
                };
                with_new_parts.extend(self.queries.add_part(*id, *group, *shard, weight));
            }
            Event::AttemptEnded {
                part,
                attempt,
                outcome,
                ..
            } => self.take_outcome(*part, *attempt, *outcome),
            Event::ClientDisconnected { id } => {
                if let Some(query) = self.queries.take(*id) {
                    self.close(query, actions);
                    with_new_parts.remove(id);
                }
            }
            Event::StreamStarted { replica, .. } => self.take_probe(*replica, Outcome::Ok, 0),
            Event::ProbeEnded {
                replica,
                outcome,
                latency,
                ..
            } => self.take_probe(*replica, *outcome, *latency),
            Event::TimerFired { .. } | Event::DatagramReceived { .. } => {}
        }
    }

    /// The outcome of a probe; an answer that has begun is as good a sign.
    fn take_probe(&mut self, replica: ReplicaId, outcome: Outcome, latency: Nanos) {
        let Some(slot) = self.replicas.slot(replica) else {
            return;
        };
        match outcome {
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.note_outcome(
                    slot,
                    self.now.saturating_sub(latency),
                    Connection::InUse,
                    outcome,
                );
            }
            Outcome::Ok => self.note_alive(slot),
            _ => {}
        }
    }

    fn take_list(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        if kind == EndpointUpdateKind::RequestFailed {
            return self.schedule_list_request();
        }
        self.list_requests_failed = if kind == EndpointUpdateKind::CachedSnapshot {
            self.list_requests_failed
        } else {
            0
        };
        self.replicas
            .list(endpoints, kind != EndpointUpdateKind::Delta);
        let faded = (FADE_TARGETS * self.timing.shortest_target) as Nanos;
        self.replicas.forget_gone(self.now.saturating_sub(faded));
    }

    /// The list is one service for all: those that fail and ask again at once keep it so busy that most never
    /// get an answer, and go on without the list. Each waits, at a moment of its own, longer each time.
    fn schedule_list_request(&mut self) {
        if self.list_request_at.is_some() || self.settings.discovery_mode == DiscoveryMode::Push {
            return;
        }
        let within = (self.settings.max_list_staleness as f64)
            .max(FADE_TARGETS * self.timing.shortest_target);
        let most = (LIST_RETRY_FIRST * f64::from(1u32 << self.list_requests_failed.min(16)))
            .min(LIST_RETRY_MOST);
        self.list_request_at =
            Some(self.now + (within * most * (0.5 + self.random_draw())) as Nanos);
        self.list_requests_failed += 1;
    }

    fn take_query(&mut self, event: &Event) {
        let Event::QueryReceived {
            id,
            group,
            class,
            tenant,
            client_timeout: timeout,
            network_delay,
            work,
            client_retry,
        } = *event
        else {
            return;
        };
        self.arrivals.push(self.now);
        let class = class as usize;
        let spent = self.spent((class, tenant as usize), timeout, client_retry);
        let Some(kind) = self.settings.classes.get(class) else {
            return;
        };
        let stretch = kind.objective_per_expected_work.unwrap_or(0.0) * work.unwrap_or(0) as f64;
        let deadline = self.now + timeout;
        let target = (self.now + kind.latency_objective + stretch as Nanos)
            .saturating_sub(spent.max(network_delay));
        let query = Query {
            id,
            group,
            class,
            arrived: self.now,
            target: if target > self.now {
                target.min(deadline)
            } else {
                deadline
            },
            past_target: target <= self.now,
            gives_up_early: client_retry && spent == 0 && timeout < kind.latency_objective,
            deadline,
            step: 1,
            step_began: self.now,
            ..Query::default()
        };
        self.queries.open(query);
    }

    /// How much of its target latency a client_retry has spent: its timeout ends with the first try's deadline. First
    /// tries set by majority what is usual for a class and tenant, so that some clients do not mislead another's.
    fn spent(
        &mut self,
        (class, tenant): (usize, usize),
        timeout: Nanos,
        client_retry: bool,
    ) -> Nanos {
        let Some(kind) = self.settings.classes.get(class) else {
            return 0;
        };
        let tolerance = kind.latency_objective / TIMEOUT_TOLERANCE;
        let usual = self.client_timeouts.entry((class, tenant)).or_default();
        if !client_retry {
            usual.vote(timeout, tolerance, TIMEOUT_VOTES);
        }
        let first_try = self.settings.client_retries_marked && !client_retry;
        let unspent = first_try || usual.is_like(timeout, tolerance) || !usual.is_known();
        kind.deadline
            .saturating_sub(if unspent { kind.deadline } else { timeout })
    }

    fn take_outcome(&mut self, part: RequestId, number: u8, outcome: Outcome) {
        let Some(attempt) = self.in_flight.remove(&(part, number)) else {
            return;
        };
        // A failed connection is lost capacity where the replica was heard lately or attempts are rationed;
        // elsewhere it may just be slow to connect, and light parts dropped for that help nobody.
        let slot = self.replicas.slot(attempt.replica);
        let heard = |slot: Slot| self.replicas.at(slot).traffic().heard;
        let known = slot.is_some_and(|slot| self.news_age(heard(slot)) < 1.0);
        let pressing = known || self.settings.retry_budget.is_some();
        if let Some(slot) = slot {
            self.note_outcome(slot, attempt.sent, attempt.connection, outcome);
        }
        let Some(query) = self.queries.of_part_mut(part) else {
            return;
        };
        let Some(part) = query.parts.iter_mut().find(|p| p.id == part) else {
            return;
        };
        if let Some(attempt) = part.attempts.get_mut(number as usize) {
            attempt.end(outcome);
        }
        if outcome == Outcome::Ok && !part.landed && part.is_out() {
            let first = part.attempts.iter().take(number as usize).all(|a| !a.out);
            self.races_lost += RACE_SMOOTHING * (f64::from(u8::from(first)) - self.races_lost);
        }
        part.landed |= outcome == Outcome::Ok;
        let bad = outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed && pressing;
        if (part.landed || bad) && !part.counted {
            part.counted = true;
            self.judged.push(self.now, bad);
        }
        if outcome == Outcome::Rejected && number > 0 {
            self.shed_more(SHED_ON_REFUSAL);
        } else if outcome == Outcome::Ok {
            self.shed_share *= 1.0 - SHED_DECAY;
        }
    }

    /// Forgets verdicts, arrivals and further attempts that are past their windows.
    pub(super) fn forget_expired(&mut self) {
        let span = self
            .settings
            .retry_budget
            .as_ref()
            .map_or(0, |b| b.window)
            .max(2 * SECOND);
        let (window, span) = (
            self.now.saturating_sub(SECOND),
            self.now.saturating_sub(span),
        );
        self.judged.forget_before(window);
        self.arrivals.forget_before(span);
        self.further_attempts.forget_before(span);
    }
}
