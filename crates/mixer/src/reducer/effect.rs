//! The effects that the reducer asks the transport to perform.

use super::counters::Counters;
use super::input::{ClientId, ConnectionId};
use super::usage::{UsageRecord, Watermark};
use crate::protocol::leaf_frames::LeafRequest;
use crate::protocol::query_json::Reply;
use std::net::SocketAddr;

/// One effect.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Sends the reply to a client's request.
    Reply {
        /// The connection.
        client: ClientId,
        /// The reply.
        reply: Reply,
        /// Closes the connection after it.
        close: bool,
    },
    /// Closes a client's connection unless a request has arrived on it.
    CloseClient {
        /// The connection.
        client: ClientId,
        /// Skips the lingering close, since others need the descriptor.
        immediate: bool,
    },
    /// Opens a connection to a leaf server.
    Connect {
        /// The id that the connection gets.
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
        /// The receiver's number; all others if `None`.
        to: Option<u32>,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Watches the endpoint list at this address, in place of the watch before.
    WatchEndpoints {
        /// Discovery's address.
        address: SocketAddr,
        /// The version from which deltas are wanted; a snapshot first if `None`.
        from_version: Option<u64>,
    },
    /// Accepts the connections that wait at the listener, then closes it.
    CloseListener,
    /// Records the usage of a query that ended; comes before its reply, which waits for the record.
    RecordUsage(UsageRecord),
    /// Records up to when the usage log is complete.
    RecordWatermark(Watermark),
    /// Ends the process.
    Exit(Box<Counters>),
}
