//! Listening sockets.

use crate::error::RuntimeError;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Binds a listening socket.
///
/// # Errors
/// The address can't be bound; the error names it.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, RuntimeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RuntimeError::Listen { address, source })
}
