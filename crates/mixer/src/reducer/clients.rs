//! The connected clients.

use super::input::ClientId;
use super::NANOS_PER_MS;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::BTreeMap;

/// The minimum idle time before a client's connection is closed while the number of clients is below its limit.
const MIN_IDLE_TIME: Nanos = 2_000 * NANOS_PER_MS;
/// The maximum number of clients to close for each one that connects. More than one, so that an excess of clients
/// decreases.
const MAX_CLOSED_PER_CONNECT: usize = 2;

/// A client's connection, or the client of a frontend's query.
#[derive(Debug)]
pub(super) struct Client {
    /// Whether it is a connection, which holds a descriptor.
    is_connection: bool,
    /// The query that has not been replied to.
    pub(super) open_query: Option<RequestId>,
    /// When the last reply was sent; before that, when the client connected.
    last_active_at: Nanos,
    /// Whether it has sent a query that was accepted.
    sent_accepted_query: bool,
    /// Whether a part of its next request has arrived, and the rest has not.
    is_receiving: bool,
    /// Whether the transport has been requested to close it.
    close_requested: bool,
}

/// The connected clients by id.
#[derive(Debug, Default)]
pub(super) struct Clients {
    by_id: BTreeMap<ClientId, Client>,
    connection_count: usize,
}

impl Clients {
    /// Number of clients that are connections.
    pub(super) fn connection_count(&self) -> usize {
        self.connection_count
    }

    /// Number of clients.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no client is connected.
    pub(super) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Whether the client is connected.
    pub(super) fn contains(&self, id: ClientId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Whether the client is a connection.
    pub(super) fn is_connection(&self, id: ClientId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|client| client.is_connection)
    }

    /// Adds a client that has connected.
    pub(super) fn insert_connection(&mut self, id: ClientId, now: Nanos) {
        self.insert(id, now, true);
    }

    /// Adds the client of a frontend's query. It is never closed, since it holds no descriptor.
    pub(super) fn insert_frontend_client(&mut self, id: ClientId, now: Nanos) {
        self.insert(id, now, false);
    }

    fn insert(&mut self, id: ClientId, now: Nanos, is_connection: bool) {
        let client = Client {
            is_connection,
            open_query: None,
            last_active_at: now,
            sent_accepted_query: false,
            is_receiving: false,
            close_requested: false,
        };
        self.by_id.insert(id, client);
        self.connection_count += usize::from(is_connection);
    }

    /// Removes a client that has disconnected.
    pub(super) fn remove(&mut self, id: ClientId) -> Option<Client> {
        let client = self.by_id.remove(&id)?;
        self.connection_count -= usize::from(client.is_connection);
        Some(client)
    }

    /// Notes that a part of a request has arrived.
    pub(super) fn on_request_begun(&mut self, id: ClientId) {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.is_receiving = true;
        }
    }

    /// Notes that a request has arrived completely.
    pub(super) fn on_request_received(&mut self, id: ClientId) {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.is_receiving = false;
        }
    }

    /// Notes that a query of the client was accepted.
    pub(super) fn on_query_accepted(&mut self, id: ClientId, query: RequestId) {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.open_query = Some(query);
            client.sent_accepted_query = true;
        }
    }

    /// Notes that the client is sent a reply. Returns whether to close its connection after the reply; `None` if it has
    /// disconnected.
    pub(super) fn on_reply(&mut self, id: ClientId, now: Nanos) -> Option<bool> {
        let client = self.by_id.get_mut(&id)?;
        client.open_query = None;
        client.last_active_at = now;
        Some(client.close_requested)
    }

    /// The connections without an open query, in ascending order of their ids.
    pub(super) fn without_open_query(&self) -> impl Iterator<Item = ClientId> + '_ {
        self.by_id
            .iter()
            .filter(|(_, client)| client.is_connection && client.open_query.is_none())
            .map(|(id, _)| *id)
    }

    /// Selects up to [`MAX_CLOSED_PER_CONNECT`] clients to close after `newest` has connected, and marks them as
    /// closing.
    ///
    /// Above `limit` clients, every client without an open query is a candidate: first those that have never sent an
    /// accepted query, then those that have been idle for longest, and last those of which a part of a request has
    /// arrived. Up to `limit` clients, the candidates are those that have sent an accepted query, were idle for
    /// [`MIN_IDLE_TIME`] and have sent nothing since. A client is selected only once, since many may connect before it
    /// has disconnected.
    pub(super) fn select_for_closing(
        &mut self,
        now: Nanos,
        newest: ClientId,
        limit: usize,
    ) -> Vec<ClientId> {
        let over_limit = self.connection_count > limit;
        let may_close = |id: ClientId, client: &Client| {
            client.is_connection
                && client.open_query.is_none()
                && !client.close_requested
                && id != newest
                && (over_limit || client.is_long_idle(now))
        };
        let mut candidates: Vec<_> = self
            .by_id
            .iter()
            .filter(|(id, client)| may_close(**id, client))
            .map(|(id, client)| (client.close_order(), *id))
            .collect();
        candidates.sort_unstable();
        candidates.truncate(MAX_CLOSED_PER_CONNECT);
        let chosen: Vec<ClientId> = candidates.into_iter().map(|(_, id)| id).collect();
        for id in &chosen {
            if let Some(client) = self.by_id.get_mut(id) {
                client.close_requested = true;
            }
        }
        chosen
    }
}

impl Client {
    fn is_long_idle(&self, now: Nanos) -> bool {
        self.sent_accepted_query
            && !self.is_receiving
            && now.saturating_sub(self.last_active_at) >= MIN_IDLE_TIME
    }

    /// Clients with a lower value are closed before others.
    fn close_order(&self) -> impl Ord {
        (
            self.is_receiving,
            self.sent_accepted_query,
            self.last_active_at,
        )
    }
}
