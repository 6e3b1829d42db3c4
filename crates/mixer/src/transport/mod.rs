//! Sockets, timers and buffers. This module passes events to the reducer as [`Input`]s and performs the [`Effect`]s
//! that the reducer returns; it makes no decisions itself.
//!
//! [`Input`]: crate::reducer::Input
//! [`Effect`]: crate::reducer::Effect

mod client_connection;
mod client_listener;
mod clock;
mod discovery_watch;
mod discovery_watches;
mod driver;
mod effects;
mod frame_reader;
mod frontend;
mod leaf_connection;
mod memory_pool;
mod message_timeout;
mod peers;
mod pending_replies;
mod query_client;
mod request_reader;
mod response_writer;
mod shared;

pub use clock::Clock;
pub use discovery_watch::watch_endpoints;
pub use driver::serve;
pub use frontend::{FrontendGuard, FrontendStarter};
pub use memory_pool::{MemoryPool, MemoryReservation};
pub use pending_replies::{ClientReply, PendingReplies, Recorder};
pub use query_client::QueryClient;
pub use shared::MAX_QUEUED_UPDATES;

use std::net::SocketAddr;

/// Addresses of discovery and of the other mixers.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address for receiving datagrams of other mixers; `None` disables receiving and sending.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the other mixers, indexed by mixer number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all other mixers.
    pub peers_all: Option<SocketAddr>,
}

/// A command from the operator to a running mixer.
pub enum Control {
    /// Shut down gracefully.
    Terminate,
    /// Replace the addresses by those of a new configuration; `None` if that is invalid.
    Reload(Option<Addresses>),
}

/// Optional components besides the frontend of the native protocol.
#[derive(Default)]
pub struct Integrations {
    /// Writes usage records; `None` if usage is not recorded.
    pub recorder: Option<Box<dyn Recorder>>,
    /// Frontends of other protocols.
    pub frontends: Vec<FrontendStarter>,
}
