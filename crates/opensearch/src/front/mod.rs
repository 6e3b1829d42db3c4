//! The HTTP/1.1 listener. Each search becomes one query to the reducer and one response.

mod connection;
pub mod connections;
mod listener;
mod multi;
mod parameters;
mod refusal;
mod request;
mod request_memory;
mod response_body;
mod route;
mod search;
mod shard_query;
mod tracked_connection;
mod tracked_stream;

use crate::index::FrontSettings;
use crate::tls::Tls;
use cottonhill_mixer::transport::{FrontendGuard, QueryClient};
use listener::Listener;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;

/// The state that all connections of the front share.
struct Context {
    front: FrontSettings,
    queries: QueryClient,
    /// A random id of this process, the prefix of its request ids: leaf servers must never see the same request id from
    /// two mixers or from two runs of one.
    instance_id: String,
    last_request_number: Cell<u64>,
}

/// Serves on `listener` until the mixer shuts down; `guard` keeps it from exiting before all requests are answered. Has
/// to be called within the mixer's `LocalSet`.
pub fn start(
    front: FrontSettings,
    tls: Option<Rc<Tls>>,
    listener: TcpListener,
    queries: QueryClient,
    guard: FrontendGuard,
) {
    let context = Rc::new(Context {
        front,
        queries,
        instance_id: format!("os{:016x}", rand::random::<u64>()),
        last_request_number: Cell::new(0),
    });
    tokio::task::spawn_local(async move {
        Listener::new(context, tls, listener).serve().await;
        drop(guard);
    });
}
