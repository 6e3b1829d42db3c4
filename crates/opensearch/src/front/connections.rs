//! The open connections of the front and what each is doing. Decides which requests are admitted, when a connection is
//! overdue, and which connections are closed for new ones. It uses no sockets and reads no clock.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A request must be complete within this time of its first byte; the first request of a connection, within this time
/// of the connection being accepted. A request that is not gets an error.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A response must be written within this time, or its connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// While requests are refused, a response must be written within this time.
const WRITE_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(250);
/// How long a new connection that is being closed is read, in case its first request is in the socket already.
const FIRST_BYTE_WAIT: Duration = Duration::from_millis(10);
/// How long a new connection may take to send its first request, and any request to arrive completely, before the
/// connection is closed in preference to others.
const REQUEST_GRACE: Duration = Duration::from_millis(250);
/// Connections beyond the connection limit. Admitted requests never hold them, so that while all others are in use a new
/// client can still connect and be refused.
const REFUSAL_CONNECTIONS: usize = 16;

/// Identifies a connection. Ids are not reused.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// No byte of the first request has arrived since the connection was accepted.
    Opened { since: Instant },
    /// No byte of the next request has arrived.
    Idle { since: Instant },
    /// A part of a request has arrived. The first request of a connection counts from when that was accepted.
    Receiving { since: Instant },
    /// A complete request is being served or refused.
    Serving,
    /// A response is being written.
    Responding { since: Instant },
}

/// Whether a complete request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// As many requests as the connection limit allows are being served.
    Refused,
}

/// The order in which connections are closed for new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClosePriority {
    /// It has not sent a byte within [`REQUEST_GRACE`], or its request was refused and the client does not read the
    /// response, which would else have been written at once.
    Unused,
    /// It has been served before.
    BetweenRequests,
    /// Its request has not arrived completely within [`REQUEST_GRACE`]. It is refused before the connection is closed.
    Incomplete,
    /// Its first request, or the rest of a request, may be on the way. Closed only if all refusal connections are in use,
    /// too.
    New,
}

#[derive(Debug)]
struct Connection {
    activity: Activity,
    /// Whether its open request counts towards the connection limit.
    is_admitted: bool,
    /// Whether bytes have arrived after a complete request, before the response to it was written.
    has_bytes_ahead: bool,
    /// Whether it was selected for closing.
    is_closing: bool,
}

impl Connection {
    /// Whether a response has been waiting for its client for [`WRITE_TIMEOUT_AT_LIMIT`].
    fn is_unread(&self, now: Instant) -> bool {
        match self.activity {
            Activity::Responding { since } => now.duration_since(since) >= WRITE_TIMEOUT_AT_LIMIT,
            Activity::Opened { .. }
            | Activity::Idle { .. }
            | Activity::Receiving { .. }
            | Activity::Serving => false,
        }
    }

    /// The priority for closing and the time of its last activity; `None` while its admitted request is open.
    fn close_priority(&self, now: Instant) -> Option<(ClosePriority, Instant)> {
        match self.activity {
            Activity::Opened { since } | Activity::Receiving { since }
                if now.duration_since(since) < REQUEST_GRACE =>
            {
                Some((ClosePriority::New, since))
            }
            Activity::Opened { since } => Some((ClosePriority::Unused, since)),
            Activity::Idle { since } => Some((ClosePriority::BetweenRequests, since)),
            Activity::Receiving { since } => Some((ClosePriority::Incomplete, since)),
            Activity::Responding { since } if !self.is_admitted => {
                Some((ClosePriority::Unused, since))
            }
            Activity::Serving | Activity::Responding { .. } => None,
        }
    }
}

/// The open connections by id.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    idle_timeout: Duration,
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: ConnectionId,
    /// Whether each connection is closed as soon as no request is open on it.
    is_draining: bool,
}

impl ConnectionTable {
    /// Creates an empty table. At most `max_connections` requests are served at the same time, and as many connections
    /// stay open; a connection without a request for `idle_timeout` is overdue.
    pub fn new(max_connections: usize, idle_timeout: Duration) -> ConnectionTable {
        ConnectionTable {
            max_connections,
            idle_timeout,
            connections: BTreeMap::new(),
            last_id: 0,
            is_draining: false,
        }
    }

    /// Number of connections, including those that are being closed.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether no further connection may be accepted until one has ended.
    pub fn is_full(&self) -> bool {
        self.len() > self.max_connections + REFUSAL_CONNECTIONS
    }

    /// From now on, closes each connection as soon as no request is open on it.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Adds a connection that was accepted.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        self.last_id += 1;
        let connection = Connection {
            activity: Activity::Opened { since: now },
            is_admitted: false,
            has_bytes_ahead: false,
            is_closing: false,
        };
        self.connections.insert(self.last_id, connection);
        self.last_id
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Notes that bytes have arrived.
    pub fn on_bytes_received(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.activity {
            Activity::Idle { .. } => connection.activity = Activity::Receiving { since: now },
            Activity::Opened { since } => connection.activity = Activity::Receiving { since },
            Activity::Receiving { .. } => {}
            Activity::Serving | Activity::Responding { .. } => connection.has_bytes_ahead = true,
        }
    }

    /// Notes that a request is complete, and decides whether it is served. Its connection stays open until the response
    /// is written. A connection holds one place, also if its client sends requests ahead.
    pub fn on_request_received(&mut self, id: ConnectionId) -> Admission {
        let has_free_place = self.open_requests() < self.max_connections;
        let Some(connection) = self.connections.get_mut(&id) else {
            return Admission::Refused;
        };
        connection.activity = Activity::Serving;
        connection.is_admitted |= has_free_place;
        if connection.is_admitted {
            Admission::Admitted
        } else {
            Admission::Refused
        }
    }

    /// Number of admitted requests whose response is not written yet.
    pub fn open_requests(&self) -> usize {
        let connections = self.connections.values();
        connections
            .filter(|connection| connection.is_admitted)
            .count()
    }

    /// Notes that the response to a request, complete or not, is about to be written.
    pub fn on_response_ready(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.activity = Activity::Responding { since: now };
        }
    }

    /// Notes that everything to be written has been passed to the socket.
    pub fn on_flushed(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if matches!(connection.activity, Activity::Responding { .. }) {
            connection.is_admitted = false;
            connection.activity = if std::mem::take(&mut connection.has_bytes_ahead) {
                Activity::Receiving { since: now }
            } else {
                Activity::Idle { since: now }
            };
        }
    }

    /// When the connection has to be closed unless its activity changes. `None` while a request is being served, since
    /// the query's deadline limits that.
    pub fn deadline(&self, id: ConnectionId) -> Option<Instant> {
        let connection = self.connections.get(&id)?;
        let is_closing = self.is_draining || connection.is_closing;
        match connection.activity {
            Activity::Opened { since } if is_closing => Some(since + FIRST_BYTE_WAIT),
            Activity::Idle { since } if is_closing => Some(since),
            Activity::Receiving { since } if connection.is_closing => Some(since),
            Activity::Idle { since } => Some(since + self.idle_timeout),
            Activity::Opened { since } | Activity::Receiving { since } => {
                Some(since + REQUEST_TIMEOUT)
            }
            Activity::Serving => None,
            Activity::Responding { since } => Some(since + WRITE_TIMEOUT),
        }
    }

    /// Whether a part of a request has arrived on the connection.
    pub fn is_receiving(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| matches!(connection.activity, Activity::Receiving { .. }))
    }

    /// Whether a response is being written on the connection.
    pub fn is_responding(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| matches!(connection.activity, Activity::Responding { .. }))
    }

    /// Whether the connection was selected for closing.
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.is_closing)
    }

    /// Whether the response to the open request is the last one: the connection is being closed, and no byte has arrived
    /// behind the request.
    pub fn closes_after_response(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| {
            (self.is_draining || connection.is_closing) && !connection.has_bytes_ahead
        })
    }

    /// Whether an admitted request is open on the connection, so that it may be closed for another one only after the
    /// response. False if the client has not read the response in time.
    pub fn has_admitted_request(&self, id: ConnectionId, now: Instant) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.is_admitted && !connection.is_unread(now))
    }

    /// Selects the connections to close after a request was refused: those whose clients do not read the responses to
    /// admitted requests. Each is selected once.
    pub fn select_unread(&mut self, now: Instant) -> Vec<ConnectionId> {
        let mut selected = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.is_unread(now) && !connection.is_closing {
                connection.is_closing = true;
                selected.push(*id);
            }
        }
        selected
    }

    /// Selects the connections to close: as many as exceed the connection limit, of those without an admitted request
    /// other than `newest`: first those that have sent nothing in time, then those between requests, then those of which
    /// a part of a request has arrived, each the longest without activity first, and new ones only if the refusal
    /// connections are in use. Each is selected once.
    pub fn select_for_closing(
        &mut self,
        now: Instant,
        newest: Option<ConnectionId>,
    ) -> Vec<ConnectionId> {
        let open = self.connections.values();
        let staying = open.filter(|connection| !connection.is_closing).count();
        let excess = staying.saturating_sub(self.max_connections);
        let candidates = self
            .connections
            .iter()
            .filter(|(id, connection)| Some(**id) != newest && !connection.is_closing)
            .filter_map(|(id, connection)| Some((connection.close_priority(now)?, *id)));
        let (mut new, mut others): (Vec<_>, Vec<_>) =
            candidates.partition(|((priority, _), _)| *priority == ClosePriority::New);
        others.sort_unstable();
        others.truncate(excess);
        // New connections may use the refusal connections.
        new.sort_unstable();
        new.truncate((excess - others.len()).saturating_sub(REFUSAL_CONNECTIONS));
        let selected: Vec<ConnectionId> = others.into_iter().chain(new).map(|(_, id)| id).collect();
        for id in &selected {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.is_closing = true;
            }
        }
        selected
    }
}
