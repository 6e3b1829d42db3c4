//! Calls to leaf servers, and their answers.

use super::{Harness, LeafSocket, SentFrame};
use bytes::Bytes;
use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, LeafResponse, PartStatus};
use cottonhill_mixer::reducer::{ConnectionId, Input};

impl Harness {
    pub fn first_connection(&self) -> ConnectionId {
        *self.connections.keys().next().expect("a connection")
    }

    pub fn only_connection(&self) -> ConnectionId {
        assert_eq!(self.connections.len(), 1, "{:?}", self.connections);
        self.first_connection()
    }

    /// The connections that calls were written to, in order.
    pub fn call_connections(&self) -> Vec<ConnectionId> {
        self.frames
            .iter()
            .filter(|sent| matches!(sent.frame, LeafRequest::Call(_)))
            .map(|sent| sent.connection)
            .collect()
    }

    /// The number of calls that were written.
    pub fn call_count(&self) -> usize {
        self.call_connections().len()
    }

    /// The number of parts in all calls that were written.
    pub fn called_parts(&self) -> usize {
        let parts = |sent: &SentFrame| match &sent.frame {
            LeafRequest::Call(parts) => parts.len(),
            _ => 0,
        };
        self.frames.iter().map(parts).sum()
    }

    /// The addresses that calls were written to, in order; an empty string if the connection is closed by now.
    pub fn called_addresses(&self) -> Vec<String> {
        let address = |connection| {
            let socket: Option<&LeafSocket> = self.connections.get(&connection);
            socket.map_or_else(String::new, |socket| socket.address.clone())
        };
        self.call_connections().into_iter().map(address).collect()
    }

    pub fn open_connection(&mut self, connection: ConnectionId) {
        if let Some(socket) = self.connections.get_mut(&connection) {
            if !socket.is_open {
                socket.is_open = true;
                self.apply(Input::ConnectionOpened { connection });
            }
        }
    }

    pub fn open_all_connections(&mut self) {
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for connection in connections {
            self.open_connection(connection);
        }
    }

    /// Opens the socket and returns the input that reports it to the reducer; the caller applies it.
    pub fn connection_opened_input(&mut self, connection: ConnectionId) -> Input {
        self.connections
            .get_mut(&connection)
            .expect("a connection")
            .is_open = true;
        Input::ConnectionOpened { connection }
    }

    pub fn reset_connection(&mut self, connection: ConnectionId) {
        self.remove_connection(connection);
        self.apply(Input::ConnectionClosed { connection });
    }

    pub(super) fn remove_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.in_flight.remove(&connection);
    }

    /// Answers the oldest part in flight on a connection, if there is any.
    pub fn answer_oldest_part(&mut self, connection: ConnectionId, status: PartStatus) {
        let in_flight = self.in_flight.entry(connection).or_default();
        if !in_flight.is_empty() {
            let id = in_flight.remove(0);
            self.answer_part(connection, &id, status);
        }
    }

    pub fn answer_part(&mut self, connection: ConnectionId, id: &str, status: PartStatus) {
        let frame = LeafResponse::Answer {
            id: id.to_string(),
            status,
            report: "-".into(),
            value: Bytes::from(format!("doc {id}")),
        };
        self.apply(Input::FrameReceived { connection, frame });
    }

    pub fn answer_all_parts(&mut self) {
        while let Some(connection) = self.first_connection_with_parts() {
            self.answer_oldest_part(connection, PartStatus::Ok);
        }
    }

    /// Opens all connections, then answers all parts in flight.
    pub fn serve_all(&mut self) {
        self.open_all_connections();
        self.answer_all_parts();
    }

    fn first_connection_with_parts(&self) -> Option<ConnectionId> {
        self.in_flight
            .iter()
            .find(|(_, in_flight)| !in_flight.is_empty())
            .map(|(connection, _)| *connection)
    }

    /// Receives a malformed frame from the leaf server, with or without the id of the oldest part in flight.
    pub fn send_malformed_frame(&mut self, connection: ConnectionId, with_id: bool) {
        let id = self
            .in_flight
            .get(&connection)
            .and_then(|in_flight| in_flight.first().cloned())
            .filter(|_| with_id);
        if self.connections[&connection].is_open {
            self.apply(Input::FrameReceived {
                connection,
                frame: LeafResponse::Malformed(id),
            });
        }
    }
}
