//! Counts of the requests, messages and bytes that discovery has served since its start.

use super::table::Message;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of discovery. Message bytes count the JSON text only; `bytes_sent` counts all bytes written
/// to sockets, including HTTP headers and chunk framing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Requests for the complete list.
    pub list_requests: u64,
    /// Requests for a watch.
    pub watch_requests: u64,
    /// Complete lists sent, as the answer to a list request or on a watch.
    pub snapshot_messages: u64,
    pub snapshot_bytes: u64,
    /// Delta messages sent, including those without entries.
    pub delta_messages: u64,
    pub delta_bytes: u64,
    /// Heartbeats sent on watches without changes.
    pub heartbeats: u64,
    /// All bytes written to sockets.
    pub bytes_sent: u64,
}

impl Traffic {
    /// Difference from earlier counts of the same discovery.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            connections: self.connections - earlier.connections,
            list_requests: self.list_requests - earlier.list_requests,
            watch_requests: self.watch_requests - earlier.watch_requests,
            snapshot_messages: self.snapshot_messages - earlier.snapshot_messages,
            snapshot_bytes: self.snapshot_bytes - earlier.snapshot_bytes,
            delta_messages: self.delta_messages - earlier.delta_messages,
            delta_bytes: self.delta_bytes - earlier.delta_bytes,
            heartbeats: self.heartbeats - earlier.heartbeats,
            bytes_sent: self.bytes_sent - earlier.bytes_sent,
        }
    }

    /// Requests for the list and for watches.
    pub fn requests(&self) -> u64 {
        self.list_requests + self.watch_requests
    }
}

/// Atomic counters behind [`Traffic`].
#[derive(Debug, Default)]
pub(super) struct Counters {
    connections: AtomicU64,
    list_requests: AtomicU64,
    watch_requests: AtomicU64,
    snapshot_messages: AtomicU64,
    snapshot_bytes: AtomicU64,
    delta_messages: AtomicU64,
    delta_bytes: AtomicU64,
    heartbeats: AtomicU64,
    bytes_sent: AtomicU64,
}

impl Counters {
    /// Counts a connection and returns its number, starting at 0.
    pub fn add_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst)
    }

    pub fn add_request(&self, watch: bool) {
        let requests = if watch {
            &self.watch_requests
        } else {
            &self.list_requests
        };
        requests.fetch_add(1, Ordering::SeqCst);
    }

    pub fn add_message(&self, message: &Message) {
        let (messages, bytes) = match message.snapshot {
            true => (&self.snapshot_messages, &self.snapshot_bytes),
            false => (&self.delta_messages, &self.delta_bytes),
        };
        messages.fetch_add(1, Ordering::SeqCst);
        bytes.fetch_add(message.text.len() as u64, Ordering::SeqCst);
    }

    pub fn add_heartbeat(&self) {
        self.heartbeats.fetch_add(1, Ordering::SeqCst);
    }

    pub fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::SeqCst);
    }

    pub fn totals(&self) -> Traffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        Traffic {
            connections: load(&self.connections),
            list_requests: load(&self.list_requests),
            watch_requests: load(&self.watch_requests),
            snapshot_messages: load(&self.snapshot_messages),
            snapshot_bytes: load(&self.snapshot_bytes),
            delta_messages: load(&self.delta_messages),
            delta_bytes: load(&self.delta_bytes),
            heartbeats: load(&self.heartbeats),
            bytes_sent: load(&self.bytes_sent),
        }
    }
}
