//! The connections to leaf servers.

use super::input::ConnectionId;
use super::leaf_connection::{AttemptId, ConnectionPhase, LeafConnection};
use cottonhill_decisions::{Nanos, ReplicaId, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The connections to leaf servers by id, each with its replica.
#[derive(Debug, Default)]
pub(super) struct LeafConnections {
    connections: BTreeMap<ConnectionId, (ReplicaId, LeafConnection)>,
    /// Connections that may have a frame to write.
    to_flush: BTreeSet<ConnectionId>,
    /// Connections whose last queued call was queued in this batch, so that attempts can still join it.
    with_joinable_call: BTreeSet<ConnectionId>,
}

impl LeafConnections {
    /// Number of connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection that starts to connect now.
    pub(super) fn insert(&mut self, id: ConnectionId, replica: ReplicaId, now: Nanos) {
        self.connections
            .insert(id, (replica, LeafConnection::new(now)));
    }

    /// Removes a connection that has ended, with its replica.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<(ReplicaId, LeafConnection)> {
        self.connections.remove(&id)
    }

    /// The connection with this id, if it has not ended.
    pub(super) fn get(&self, id: ConnectionId) -> Option<&LeafConnection> {
        self.connections.get(&id).map(|(_, connection)| connection)
    }

    /// The connection with this id, if it has not ended, for changes.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut LeafConnection> {
        self.connections
            .get_mut(&id)
            .map(|(_, connection)| connection)
    }

    /// The replica of a connection.
    pub(super) fn replica(&self, id: ConnectionId) -> Option<ReplicaId> {
        self.connections.get(&id).map(|(replica, _)| *replica)
    }

    /// Whether the connection exists and is idle.
    pub(super) fn is_idle(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(LeafConnection::is_idle)
    }

    /// The attempts of a connection that have not been passed to its socket.
    pub(super) fn unsent_attempts(&self, id: ConnectionId) -> Vec<AttemptId> {
        self.get(id)
            .map(LeafConnection::unsent_attempts)
            .unwrap_or_default()
    }

    /// Queues an attempt. Attempts queued in one batch are combined into calls of up to `max_parts_per_call` parts.
    pub(super) fn queue_attempt(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        wire_id: Rc<str>,
        max_parts_per_call: usize,
    ) {
        let Some((_, connection)) = self.connections.get_mut(&id) else {
            return;
        };
        let join_last_call = !self.with_joinable_call.insert(id);
        connection.queue_attempt(attempt, wire_id, join_last_call, max_parts_per_call);
    }

    /// Ends the batch: attempts queued later start a new call.
    pub(super) fn end_batch(&mut self) {
        self.with_joinable_call.clear();
    }

    /// Schedules a flush of a connection, which may have a frame to write.
    pub(super) fn schedule_flush(&mut self, id: ConnectionId) {
        self.to_flush.insert(id);
    }

    /// Removes and returns the next connection that is scheduled for a flush.
    pub(super) fn pop_to_flush(&mut self) -> Option<ConnectionId> {
        self.to_flush.pop_first()
    }

    /// The open connection that has been idle for longest.
    pub(super) fn longest_idle(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, (_, connection))| {
                connection.phase() == ConnectionPhase::Open && connection.is_idle()
            })
            .min_by_key(|(_, (_, connection))| connection.idle_since)
            .map(|(id, _)| *id)
    }

    /// The connections that are writing a call with any of these parts, each with the time at which the call was passed
    /// to its socket.
    pub(super) fn writing_any_part(&self, parts: &[RequestId]) -> Vec<(ConnectionId, Nanos)> {
        let writing_since = |connection: &LeafConnection| {
            let since = connection.writing_call_since()?;
            let writes_any = parts.iter().any(|part| connection.is_writing(*part));
            writes_any.then_some(since)
        };
        self.connections
            .iter()
            .filter_map(|(id, (_, connection))| Some((*id, writing_since(connection)?)))
            .collect()
    }
}
