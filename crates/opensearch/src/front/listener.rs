//! The listener: accepts connections until the mixer shuts down, and then waits for those that are open.

use super::connection;
use super::connections::ConnectionTable;
use super::tracked_connection::OpenConnections;
use super::Context;
use crate::tls::Tls;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// At shutdown, the listener is closed once no connection has arrived for this time.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(10);

/// A listener with its open connections.
pub(super) struct Listener {
    context: Rc<Context>,
    tls: Option<Rc<Tls>>,
    listener: TcpListener,
    connections: Rc<OpenConnections>,
}

impl Listener {
    pub(super) fn new(
        context: Rc<Context>,
        tls: Option<Rc<Tls>>,
        listener: TcpListener,
    ) -> Listener {
        let front = &context.front;
        let table = ConnectionTable::new(front.max_connections, front.idle_timeout);
        Listener {
            connections: Rc::new(OpenConnections::new(table)),
            context,
            tls,
            listener,
        }
    }

    /// Serves until the mixer shuts down and all connections have ended.
    pub(super) async fn serve(self) {
        self.accept_until_shutdown().await;
        self.accept_backlog().await;
        let connections = self.connections.clone();
        drop(self);
        connections.wait_until_empty().await;
    }

    async fn accept_until_shutdown(&self) {
        let mut listener_closed = std::pin::pin!(self.context.queries.listener_closed());
        loop {
            // Cancel safe: a connection is removed from the backlog only when the accept completes.
            tokio::select! {
                biased;
                () = listener_closed.as_mut() => return,
                accepted = self.accept() => match accepted {
                    Ok((stream, peer)) => self.start_connection(stream, peer),
                    Err(error) => {
                        tracing::warn!(%error, "failed to accept a connection");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
    }

    /// Accepts the connections in the backlog: closing a listener resets them.
    async fn accept_backlog(&self) {
        while let Ok(Ok((stream, peer))) = timeout(LAST_ACCEPT_TIMEOUT, self.accept()).await {
            self.start_connection(stream, peer);
        }
    }

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        self.connections.wait_for_capacity().await;
        self.listener.accept().await
    }

    fn start_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let tracked = self.connections.open();
        let (context, tls) = (self.context.clone(), self.tls.clone());
        spawn_local(connection::serve(context, tls, stream, peer.ip(), tracked));
    }
}
