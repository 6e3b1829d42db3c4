//! Batch processing: fires due timers, passes events to the coordinator and performs its actions.

use super::connection_handling::CloseReason;
use super::timers::Timer;
use super::{Effect, Reducer};
use crate::log_targets;
use cottonhill_decisions::{Action, Event, Nanos, Outcome, ReplicaId, RequestId};

/// Maximum size of a datagram to other mixers, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

impl Reducer {
    /// Fires the timers that are due, then lets the coordinator decide on the events since the previous batch.
    pub(super) fn process_batch(&mut self, now: Nanos) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire_timer(now, timer);
        }
        if !self.events.is_empty() && !self.lifecycle.is_awaiting_discovery() {
            self.decide(now);
        }
    }

    /// Passes the events of this batch to the coordinator and performs its actions.
    pub(super) fn decide(&mut self, now: Nanos) {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.coordinator.process_batch(now, &events, &mut actions);
        for action in actions {
            self.perform(now, action);
        }
        self.connections.end_batch();
    }

    fn fire_timer(&mut self, now: Nanos, timer: Timer) {
        match timer {
            Timer::Coordinator(token) => self.events.push(Event::TimerFired { token }),
            Timer::AttemptDeadline(attempt) => self.cancel_attempt(now, attempt, Outcome::TimedOut),
            Timer::ConnectTimeout(connection) => self.on_connect_timeout(now, connection),
            Timer::IdleTimeout(connection) => self.on_idle_timeout(now, connection),
            Timer::ProbeTimeout(probe) => self.end_probe(now, probe, Outcome::TimedOut, ""),
            Timer::QueryDeadline(query) => self.on_query_deadline(now, query),
            Timer::WatermarkDue => self.record_watermark(now),
            Timer::GracePeriodElapsed => self.begin_draining(),
            Timer::ShutdownDeadline => self.on_shutdown_deadline(now),
            Timer::LastResponsesDue => self.exit(),
            Timer::DiscoveryTimeout => self.on_discovery_timeout(now),
            Timer::DiscoveryCaughtUp(address) => self.replace_watch(address, None),
            Timer::WriteStalled(connection, write_started_at) => {
                self.on_write_stalled(now, connection, write_started_at);
            }
        }
    }

    /// Fails a query that the coordinator has not ended by its deadline, so that every accepted query gets a reply in
    /// time.
    fn on_query_deadline(&mut self, now: Nanos, id: RequestId) {
        self.counters.faults.deadline_reached += 1;
        tracing::error!(target: log_targets::BATCHES, id, "query failed: still open at its deadline");
        self.events.push(Event::ClientDisconnected { id });
        self.fail_query(now, id);
    }

    fn perform(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send {
                part,
                replica,
                expires_at,
            } => self.send_attempt(now, part, replica, expires_at),
            Action::Cancel { part, attempt } => self.cancel_part_attempt(now, part, attempt),
            Action::Answer { query, complete } => self.answer_query(now, query, complete),
            Action::Reject { query, retry_after } => self.reject_query(now, query, retry_after),
            Action::Fail { query } => self.fail_query(now, query),
            Action::SetTimer { token, delay } => {
                self.timers.set(now + delay, Timer::Coordinator(token));
            }
            // Not needed: the watch on discovery keeps the list current.
            Action::SubscribeEndpoints { .. } | Action::FetchEndpoints => {}
            Action::Probe { replica } => self.send_probe(now, replica),
            Action::CloseIdleConnections { replica } => self.close_idle_connections(now, replica),
            Action::SendDatagram { to, bytes } => self.send_datagram(to, bytes),
            Action::Log(text) => tracing::info!(target: log_targets::BATCHES, "{text}"),
        }
    }

    fn close_idle_connections(&mut self, now: Nanos, replica: ReplicaId) {
        for connection in self.replicas.connections(replica).to_vec() {
            if self.connections.is_idle(connection) {
                self.close_connection(now, connection, CloseReason::CoordinatorDecision);
            }
        }
    }

    fn send_datagram(&mut self, to: Option<u32>, bytes: Vec<u8>) {
        if self.settings.peer_messages_enabled && bytes.len() <= MAX_DATAGRAM_BYTES {
            self.counters.sent.datagrams += 1;
            self.effects.push(Effect::SendDatagram { to, bytes });
        } else {
            self.counters.faults.invalid_actions += 1;
        }
    }
}
