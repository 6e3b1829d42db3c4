//! Connections to leaf servers: opening, selection, withdrawal of attempts, and closing.

use super::leaf_connection::ConnectionPhase;
use super::timers::Timer;
use super::{ConnectionId, Effect, Reducer, NANOS_PER_MS};
use crate::log_targets;
use cottonhill_decisions::{EndpointStatus, LoadReport, Nanos, Outcome, ReplicaId};

/// The fraction of the idle timeout, in tenths, after which the mixer closes a connection. The leaf server closes it at
/// the end of the timeout, and frames written after that are lost.
const IDLE_TIMEOUT_TENTHS: Nanos = 9;
/// Why the mixer closes a connection to a leaf server.
#[derive(Clone, Copy, Debug)]
pub(super) enum CloseReason {
    /// It was not established in time.
    ConnectTimeout,
    /// Its replica is not ready or has another address.
    ReplicaNotReady,
    /// It was idle for too long.
    IdleTimeout,
    /// Another connection needs its descriptor.
    Evicted,
    /// Its socket has not accepted a call in time.
    WriteStalled,
    /// The leaf server has not answered in time.
    Unresponsive,
    /// An answer was malformed, or to an attempt that was never sent.
    MalformedAnswer,
    /// The coordinator closes the idle connections of its replica.
    CoordinatorDecision,
}

/// The minimum time for a socket to write a call to a draining or removed replica, for settings with a short drain
/// grace or none.
const MIN_WRITE_TIMEOUT: Nanos = 25 * NANOS_PER_MS;

impl Reducer {
    pub(super) fn on_connection_opened(&mut self, now: Nanos, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.on_connected(now);
            self.connections.schedule_flush(id);
        }
    }

    pub(super) fn on_frame_written(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.on_frame_written();
            self.connections.schedule_flush(id);
        }
    }

    pub(super) fn on_connection_closed(&mut self, now: Nanos, id: ConnectionId) {
        tracing::debug!(target: log_targets::CONNECTIONS, connection = id, "leaf connection ended by the leaf server or the network");
        match self
            .connections
            .get(id)
            .map(|connection| connection.phase())
        {
            Some(ConnectionPhase::Connecting) => self.counters.connections.connect_failed += 1,
            Some(ConnectionPhase::Open) => self.counters.connections.lost += 1,
            None => {}
        }
        self.remove_connection(now, id);
    }

    pub(super) fn on_connect_timeout(&mut self, now: Nanos, id: ConnectionId) {
        let phase = self
            .connections
            .get(id)
            .map(|connection| connection.phase());
        if phase == Some(ConnectionPhase::Connecting) {
            self.counters.connections.connect_failed += 1;
            self.close_connection(now, id, CloseReason::ConnectTimeout);
        }
    }

    /// Closes an idle connection that will receive no new attempts, because its replica is not ready or has another
    /// address. Sets the idle timer of any other.
    pub(super) fn on_connection_idle(&mut self, now: Nanos, id: ConnectionId) {
        if !self.gets_new_attempts(id) {
            return self.close_connection(now, id, CloseReason::ReplicaNotReady);
        }
        let due = now + self.idle_close_delay();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.idle_timer.is_none() {
            connection.idle_timer = Some(due);
            self.timers.set(due, Timer::IdleTimeout(id));
        }
    }

    fn gets_new_attempts(&self, id: ConnectionId) -> bool {
        let Some(replica) = self.connections.replica(id) else {
            return false;
        };
        let is_ready = self
            .replicas
            .get(replica)
            .is_some_and(|replica| replica.status == EndpointStatus::Ready);
        is_ready && self.replicas.connections(replica).contains(&id)
    }

    /// How long a connection may be idle before it is closed.
    fn idle_close_delay(&self) -> Nanos {
        self.settings.connection_idle_timeout / 10 * IDLE_TIMEOUT_TENTHS
    }

    pub(super) fn on_idle_timeout(&mut self, now: Nanos, id: ConnectionId) {
        let idle_close_delay = self.idle_close_delay();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let due = connection.idle_since + idle_close_delay;
        if !connection.is_idle() {
            connection.idle_timer = None;
        } else if due > now {
            connection.idle_timer = Some(due);
            self.timers.set(due, Timer::IdleTimeout(id));
        } else {
            self.counters.connections.idle_timeouts += 1;
            self.close_connection(now, id, CloseReason::IdleTimeout);
        }
    }

    /// Withdraws the attempts that have not been passed to the socket. A call that has been passed to it is given a
    /// time limit, since the socket may not have written its first byte yet.
    pub(super) fn withdraw_unsent_attempts(&mut self, now: Nanos, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if let Some(write_started_at) = connection.writing_call_since() {
            // Half of the drain grace is for the socket to report the call as written, half for closing the connection.
            let due = now + (self.settings.drain_grace / 2).max(MIN_WRITE_TIMEOUT);
            self.timers
                .set(due, Timer::WriteStalled(id, write_started_at));
        }
        let unsent = connection.unsent_attempts();
        self.counters.watches.withdrawn_attempts += unsent.len() as u64;
        for attempt in unsent {
            self.cancel_attempt(now, attempt, Outcome::NotSent);
        }
        self.connections.schedule_flush(id);
    }

    /// Closes a connection that is still writing the call passed to its socket at `write_started_at`. The call must no
    /// longer start, because its replica is draining or removed, its client has disconnected, or the leaf server may no
    /// longer recognise a repeated attempt.
    pub(super) fn on_write_stalled(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        write_started_at: Nanos,
    ) {
        let writing_since = self
            .connections
            .get(id)
            .and_then(|connection| connection.writing_call_since());
        if writing_since != Some(write_started_at) {
            return;
        }
        self.counters.connections.write_stalled += 1;
        tracing::info!(
            target: log_targets::CONNECTIONS, connection = id,
            "call not written in time, connection closed"
        );
        self.close_connection(now, id, CloseReason::WriteStalled);
    }

    /// The oldest connection to the replica that has capacity, which keeps the number of used connections low; else a
    /// new one. `None` if none can be opened.
    pub(super) fn connection_for(
        &mut self,
        now: Nanos,
        replica: ReplicaId,
        wire_id: &str,
    ) -> Option<ConnectionId> {
        let max_streams = self.settings.max_streams_per_connection;
        for id in self.replicas.connections(replica) {
            if let Some(connection) = self.connections.get(*id) {
                if connection.has_capacity(max_streams, wire_id) {
                    return Some(*id);
                }
            }
        }
        self.open_connection(now, replica)
    }

    /// Opens a connection to a replica, if the descriptor budget allows it and the replica is known.
    fn open_connection(&mut self, now: Nanos, replica: ReplicaId) -> Option<ConnectionId> {
        let is_full = self.connections.len() >= self.descriptor_budget.max_leaf_connections();
        if is_full && !self.evict_idle_connection(now) {
            return None;
        }
        let id = self.ids.next_id();
        let address = self.replicas.add_connection(replica, id)?;
        self.effects.push(Effect::Connect {
            connection: id,
            address,
        });
        self.counters.connections.opened += 1;
        self.connections.insert(id, replica, now);
        self.timers.set(
            now + self.settings.connect_timeout,
            Timer::ConnectTimeout(id),
        );
        Some(id)
    }

    /// Closes the connection that has been idle for longest, since there may be more leaf servers than descriptors.
    /// Returns false if none is idle.
    fn evict_idle_connection(&mut self, now: Nanos) -> bool {
        let Some(id) = self.connections.longest_idle() else {
            return false;
        };
        self.counters.connections.evicted += 1;
        self.close_connection(now, id, CloseReason::Evicted);
        true
    }

    /// Closes a connection; its open attempts and probes end as if the connection had been lost. The socket may have
    /// accepted the last byte of a call without having reported it yet, so a call that is being written may run.
    pub(super) fn close_connection(&mut self, now: Nanos, id: ConnectionId, reason: CloseReason) {
        tracing::debug!(target: log_targets::CONNECTIONS, connection = id, ?reason, "leaf connection closed");
        if let Some(connection) = self.connections.get_mut(id) {
            if connection.writing_call_since().is_some() {
                connection.on_frame_written();
            }
        }
        self.effects
            .push(Effect::CloseConnection { connection: id });
        self.remove_connection(now, id);
    }

    /// Removes a connection that has ended, and ends its open attempts and probes. An attempt whose frame was not
    /// written completely ends with `ConnectFailed`, even if the connection was established; so does every probe.
    fn remove_connection(&mut self, now: Nanos, id: ConnectionId) {
        let Some((replica, connection)) = self.connections.remove(id) else {
            return;
        };
        if let Some(due) = connection.idle_timer {
            self.timers.cancel(due, Timer::IdleTimeout(id));
        }
        self.replicas.remove_connection(replica, id);
        let interrupted = connection.into_interrupted();
        for attempt in interrupted.attempts {
            let outcome = if attempt.may_have_run {
                Outcome::ConnectionReset
            } else {
                Outcome::ConnectFailed
            };
            self.end_attempt(attempt.attempt, outcome, LoadReport::new());
        }
        for probe in interrupted.probes {
            self.end_probe(now, probe, Outcome::ConnectFailed, "");
        }
    }
}
