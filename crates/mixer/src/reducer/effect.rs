//! The effects of the reducer, which the transport performs.

use super::counters::Counters;
use super::input::{ClientId, ConnectionId};
use super::usage::{UsageRecord, Watermark};
use super::watches::WatchId;
use crate::protocol::leaf_frames::LeafRequest;
use crate::protocol::query_json::Reply;
use std::net::SocketAddr;

/// An effect that the transport performs.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Sends the reply to a client's request.
    Reply {
        /// The connection.
        client: ClientId,
        /// The reply.
        reply: Reply,
        /// Closes the connection after the reply.
        close: bool,
    },
    /// Closes a client's connection, unless a request was received on it. A request that has arrived in part gets a
    /// response before.
    CloseClient {
        /// The connection.
        client: ClientId,
        /// Skips the lingering close and refuses a request that has arrived in part: another connection needs the
        /// descriptor, or the process ends. Else such a request is received and served.
        immediate: bool,
    },
    /// Closes a client's connection while the client does not read its response.
    AbortResponse {
        /// The connection.
        client: ClientId,
    },
    /// Opens a connection to a leaf server.
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The leaf server.
        address: SocketAddr,
    },
    /// Writes a frame to a leaf server.
    WriteFrame {
        /// The connection.
        connection: ConnectionId,
        /// The frame.
        frame: LeafRequest,
    },
    /// Closes a connection to a leaf server.
    CloseConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Sends a datagram to other mixers.
    SendDatagram {
        /// The number of the receiving mixer; `None` for all other mixers.
        to: Option<u32>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Watches the endpoint list at this address, beside the watches that are running.
    WatchEndpoints {
        /// The new watch.
        watch: WatchId,
        /// Discovery's address.
        address: SocketAddr,
        /// The version from which the watch requests deltas; `None` requests a snapshot first.
        from_version: Option<u64>,
    },
    /// Stops a watch, if it is running.
    StopWatch {
        /// The watch.
        watch: WatchId,
    },
    /// Accepts the connections in the listener's backlog, then closes the listener.
    CloseListener,
    /// Has the frontends refuse the requests that have not arrived completely, since the process ends.
    RefuseIncompleteRequests,
    /// Records the usage of an ended query. Precedes the query's reply, which is sent after the record is written.
    RecordUsage(UsageRecord),
    /// Records the time up to which the usage log is complete.
    RecordWatermark(Watermark),
    /// Ends the process.
    Exit(Box<ExitReport>),
}

/// The state of the mixer when it exits.
#[derive(Debug, PartialEq)]
pub struct ExitReport {
    /// The counters since the start of the process.
    pub counters: Counters,
    /// The number of frontends that have not written all responses in time.
    pub open_frontends: usize,
}
