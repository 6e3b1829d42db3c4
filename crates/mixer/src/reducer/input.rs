//! The inputs of the reducer: everything that happens to the mixer.

use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf_frames::LeafResponse;
use crate::protocol::query_json::ClientRequest;
use cottonhill_decisions::Nanos;
use std::net::SocketAddr;

/// Identifies a client's connection. No id is ever used twice.
pub type ClientId = u64;

/// Identifies a connection to a leaf server. No id is ever used twice.
pub type ConnectionId = u64;

/// What happens to the watch on discovery, beside the updates that it delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A watch or a snapshot was requested.
    Requested,
    /// A heartbeat arrived.
    Heartbeat,
    /// The watch ended.
    Ended {
        /// It timed out: no connection, update or heartbeat in time.
        timed_out: bool,
    },
    /// An update was rejected; the endpoint list stays as it is and a snapshot is requested.
    UpdateRejected(UpdateFault),
    /// A snapshot with a lower version than the one before was applied.
    VersionRegressed,
}

/// Why an endpoint update was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// Larger than any update that is accepted.
    TooLarge,
    /// It can't be parsed, or it changes an endpoint without naming it.
    Malformed,
    /// A delta whose version is lower than the current one.
    VersionRegressed,
}

/// One input. [`super::Reducer::apply`] is the only way to change the reducer's state.
#[derive(Debug)]
pub enum Input {
    /// A client connected.
    ClientOpened {
        /// The connection.
        client: ClientId,
    },
    /// A request arrived, well-formed or not.
    RequestReceived {
        /// The connection.
        client: ClientId,
        /// When its last byte arrived.
        received_at: Nanos,
        /// The request, or why it can't be served.
        request: Result<ClientRequest, RequestError>,
    },
    /// A client's connection ended.
    ClientClosed {
        /// The connection.
        client: ClientId,
    },
    /// A connection to a leaf server was established.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
    },
    /// The socket took the last byte of the frame that it was given.
    FrameWritten {
        /// The connection.
        connection: ConnectionId,
    },
    /// A leaf server sent a frame.
    FrameReceived {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: LeafResponse,
    },
    /// A connection to a leaf server was refused, reset or closed.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// Discovery sent an update of the endpoint list.
    EndpointsUpdated(EndpointUpdate),
    /// Something else happened to the watch on discovery.
    Watch(WatchEvent),
    /// Another mixer sent a datagram.
    DatagramReceived {
        /// The sender's number.
        from: u32,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// The configuration was read again.
    ConfigReloaded {
        /// Discovery's address; `None` if the configuration is invalid.
        discovery: Option<SocketAddr>,
    },
    /// The operator requested a graceful shutdown.
    ShutdownRequested,
    /// The listener is closed, and all connections that it had were accepted.
    ListenerClosed,
    /// All inputs that were ready have been applied: fire the timers that are due and decide.
    ProcessBatch,
}
