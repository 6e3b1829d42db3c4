//! The inputs of the reducer: every external event that it reacts to.

use super::resource_usage::TransportMemory;
use super::watches::WatchId;
use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::protocol::http::RequestError;
use crate::protocol::leaf_frames::LeafResponse;
use crate::protocol::query_json::ClientRequest;
use cottonhill_decisions::Nanos;
use std::net::SocketAddr;

/// Identifies a client's connection. Ids are not reused.
pub type ClientId = u64;

/// Identifies a connection to a leaf server. Ids are not reused.
pub type ConnectionId = u64;

/// An event of a watch on discovery, other than an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A watch or a snapshot was requested.
    Requested,
    /// A heartbeat arrived.
    Heartbeat,
    /// The watch ended.
    Ended {
        /// Whether it timed out: no connection was established, or no update or heartbeat was received, in time.
        timed_out: bool,
    },
    /// An update was rejected: the endpoint list is unchanged and a snapshot is requested.
    UpdateRejected(UpdateFault),
    /// A snapshot with a lower version than the current list was applied.
    VersionRegressed,
}

/// Why an endpoint update was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateFault {
    /// It exceeds the size limit.
    TooLarge,
    /// It can't be parsed, or it is a delta and an entry has no valid endpoint name.
    Malformed,
    /// It is a delta with a lower version than the current list.
    VersionRegressed,
}

/// An input of [`super::Reducer::apply`].
#[derive(Debug)]
pub enum Input {
    /// A client connected.
    ClientOpened {
        /// The connection.
        client: ClientId,
    },
    /// A frontend registered a client for one query. The client holds no connection of its own.
    FrontendClientOpened {
        /// The client.
        client: ClientId,
    },
    /// A part of a request has arrived, and the rest has not. The client's connection is closed for others only after
    /// those without such a request. Not sent for a request that arrives at once.
    RequestBegun {
        /// The connection.
        client: ClientId,
    },
    /// A request was received, valid or not.
    RequestReceived {
        /// The connection.
        client: ClientId,
        /// When its last byte was received.
        received_at: Nanos,
        /// The request, or the reason why it is invalid.
        request: Result<ClientRequest, RequestError>,
    },
    /// The memory that the transport holds; precedes a request for the statistics.
    TransportMemory(TransportMemory),
    /// The response to a client, larger than
    /// [`LARGE_RESPONSE_BYTES`](crate::protocol::query_json::LARGE_RESPONSE_BYTES), is written or dropped.
    ResponseWritten {
        /// The connection.
        client: ClientId,
    },
    /// A client disconnected.
    ClientClosed {
        /// The connection.
        client: ClientId,
    },
    /// A connection to a leaf server was established.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
    },
    /// The socket has accepted the last byte of the frame of [`super::Effect::WriteFrame`].
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
    /// A connection to a leaf server could not be established, was reset or was closed.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// Discovery sent an update of the endpoint list.
    EndpointsUpdated {
        /// The watch that received it.
        watch: WatchId,
        /// The update.
        update: EndpointUpdate,
    },
    /// A watch on discovery had an event other than an update.
    Watch {
        /// The watch.
        watch: WatchId,
        /// The event.
        event: WatchEvent,
    },
    /// Another mixer sent a datagram.
    DatagramReceived {
        /// The number of the sending mixer.
        from: u32,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// The configuration was reloaded.
    ConfigReloaded {
        /// Discovery's address; `None` if the configuration is invalid.
        discovery: Option<SocketAddr>,
    },
    /// The operator requested a graceful shutdown.
    ShutdownRequested,
    /// The listener is closed, and the connections in its backlog were accepted.
    ListenerClosed,
    /// A frontend has closed its listener, answered all requests and closed its connections.
    FrontendClosed,
    /// All pending inputs have been applied: the timers that are due fire, and the coordinator decides.
    ProcessBatch,
}
