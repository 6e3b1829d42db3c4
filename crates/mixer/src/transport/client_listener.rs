//! The listener for clients of the native protocol.

use super::client_connection::serve_client;
use super::shared::{ClientKind, Shared};
use crate::log_targets;
use crate::reducer::Input;
use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// Delay after a failed accept (such as when no descriptors are left) before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// On shutdown, the listener is closed once no connection has arrived for this duration.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(10);

/// Accepts connections until shutdown, keeping at most `max_clients` open.
///
/// Connections that are in the backlog at shutdown are also accepted, never more than `max_clients` at a time: closing
/// a listener resets the connections in its backlog.
pub async fn listen(shared: Shared, listener: TcpListener, max_clients: usize) {
    accept_until_shutdown(&shared, &listener, max_clients).await;
    accept_backlog(&shared, &listener, max_clients).await;
    drop(listener);
    shared.send_input(Input::ListenerClosed).await;
}

async fn accept_until_shutdown(shared: &Shared, listener: &TcpListener, max_clients: usize) {
    let mut listener_closed = shared.listener_closed.subscribe();
    loop {
        // Cancel safe: a connection is removed from the backlog only when the accept completes.
        tokio::select! {
            biased;
            _ = listener_closed.wait_for(|closed| *closed) => return,
            accepted = accept_with_capacity(shared, listener, max_clients) => match accepted {
                Ok(stream) => start_client(shared, stream).await,
                Err(e) => {
                    tracing::warn!(target: log_targets::CLIENT_CONNECTIONS, "accepting a client connection failed: {e}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

async fn accept_backlog(shared: &Shared, listener: &TcpListener, max_clients: usize) {
    loop {
        // Idle clients are being closed.
        shared.wait_for_client_capacity(max_clients).await;
        let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await else {
            return;
        };
        start_client(shared, stream).await;
    }
}

async fn accept_with_capacity(
    shared: &Shared,
    listener: &TcpListener,
    max_clients: usize,
) -> io::Result<TcpStream> {
    shared.wait_for_client_capacity(max_clients).await;
    let (stream, _) = listener.accept().await?;
    Ok(stream)
}

/// Registers a client and starts its task. The reducer is notified of the client before the task runs.
async fn start_client(shared: &Shared, stream: TcpStream) {
    let (client, commands) = shared.register_client(ClientKind::Connection);
    shared.send_input(Input::ClientOpened { client }).await;
    tokio::task::spawn_local(serve_client(shared.clone(), client, stream, commands));
}
