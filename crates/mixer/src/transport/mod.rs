//! Sockets, timers and buffers. Events are passed to the reducer as [`Input`]s, and the [`Effect`]s that it returns
//! are performed; nothing is decided here.
//!
//! [`Input`]: crate::reducer::Input
//! [`Effect`]: crate::reducer::Effect

mod buffer_pool;
mod client_connection;
mod client_listener;
mod clock;
mod discovery_watch;
mod driver;
mod effects;
mod leaf_connection;
mod message_timeout;
mod peers;
mod pending_replies;
mod query_client;
mod read_ahead;
mod shared;

pub use clock::Clock;
pub use discovery_watch::watch_endpoints;
pub use driver::serve;
pub use pending_replies::{ClientReply, PendingReplies, Recorder};
pub use query_client::QueryClient;
pub use shared::MAX_QUEUED_UPDATES;

use std::net::SocketAddr;

/// The addresses of the services that the mixer uses.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Discovery.
    pub discovery: SocketAddr,
    /// Where datagrams of other mixers are received; `None` disables sending, too.
    pub peer_listen: Option<SocketAddr>,
    /// The other mixers, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other mixers.
    pub peers_all: Option<SocketAddr>,
}

/// A command from the operator to a running mixer.
pub enum Control {
    /// Shut down gracefully.
    Terminate,
    /// Use these addresses from now on; `None` if the new configuration is invalid.
    Reload(Option<Addresses>),
}

/// Starts a front of another protocol; called once queries can be sent.
pub type StartFront = Box<dyn FnOnce(QueryClient)>;

/// Optional services around the native front.
#[derive(Default)]
pub struct Integrations {
    /// Where usage records are written; `None` if usage is not recorded.
    pub recorder: Option<Box<dyn Recorder>>,
    /// Fronts of other protocols.
    pub fronts: Vec<StartFront>,
}
