//! What discovery has served, in counts since its start.

use super::table::Message;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start. Bytes of messages are those of the JSON text; `bytes_sent` are all bytes written to sockets,
/// with HTTP heads and chunk framing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections accepted.
    pub connections: u64,
    /// Requests for the whole list.
    pub list_calls: u64,
    /// Requests for a watch.
    pub watch_calls: u64,
    /// Whole lists sent, as an answer of their own or on a watch.
    pub whole_messages: u64,
    pub whole_bytes: u64,
    /// Messages of changes, those without an entry included.
    pub change_messages: u64,
    pub change_bytes: u64,
    /// Signs of life without news.
    pub heartbeats: u64,
    /// All bytes written to sockets.
    pub bytes_sent: u64,
}

impl Traffic {
    /// What came since an earlier count of the same discovery.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            connections: self.connections - before.connections,
            list_calls: self.list_calls - before.list_calls,
            watch_calls: self.watch_calls - before.watch_calls,
            whole_messages: self.whole_messages - before.whole_messages,
            whole_bytes: self.whole_bytes - before.whole_bytes,
            change_messages: self.change_messages - before.change_messages,
            change_bytes: self.change_bytes - before.change_bytes,
            heartbeats: self.heartbeats - before.heartbeats,
            bytes_sent: self.bytes_sent - before.bytes_sent,
        }
    }

    /// Requests of either kind.
    pub fn calls(&self) -> u64 {
        self.list_calls + self.watch_calls
    }
}

/// The same counts while they grow.
#[derive(Debug, Default)]
pub(super) struct Counters {
    connections: AtomicU64,
    list_calls: AtomicU64,
    watch_calls: AtomicU64,
    whole_messages: AtomicU64,
    whole_bytes: AtomicU64,
    change_messages: AtomicU64,
    change_bytes: AtomicU64,
    heartbeats: AtomicU64,
    bytes_sent: AtomicU64,
}

impl Counters {
    /// Counts a connection and returns its number, from 0 on.
    pub fn connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst)
    }

    pub fn call(&self, watch: bool) {
        let calls = if watch {
            &self.watch_calls
        } else {
            &self.list_calls
        };
        calls.fetch_add(1, Ordering::SeqCst);
    }

    pub fn message(&self, message: &Message) {
        let (messages, bytes) = match message.whole {
            true => (&self.whole_messages, &self.whole_bytes),
            false => (&self.change_messages, &self.change_bytes),
        };
        messages.fetch_add(1, Ordering::SeqCst);
        bytes.fetch_add(message.text.len() as u64, Ordering::SeqCst);
    }

    pub fn heartbeat(&self) {
        self.heartbeats.fetch_add(1, Ordering::SeqCst);
    }

    pub fn sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::SeqCst);
    }

    pub fn read(&self) -> Traffic {
        let of = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        Traffic {
            connections: of(&self.connections),
            list_calls: of(&self.list_calls),
            watch_calls: of(&self.watch_calls),
            whole_messages: of(&self.whole_messages),
            whole_bytes: of(&self.whole_bytes),
            change_messages: of(&self.change_messages),
            change_bytes: of(&self.change_bytes),
            heartbeats: of(&self.heartbeats),
            bytes_sent: of(&self.bytes_sent),
        }
    }
}
