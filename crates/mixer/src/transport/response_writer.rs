//! Writing of responses to clients, each for a limited time.

use super::client_connection::ClientCommand;
use super::shared::Shared;
use crate::protocol::http::{render_head, Response};
use bytes::{Buf, Bytes};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration};

/// A response must be written within this duration, or the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// While no further connection can be accepted, a response must be written within this duration.
const WRITE_TIMEOUT_AT_CAPACITY: Duration = Duration::from_millis(250);

/// Writes a response. Returns whether closing the connection was requested meanwhile, and whether immediately.
///
/// # Errors
/// `OutOfMemory` if the client does not read the response while other responses need the memory, `TimedOut` if the client
/// does not read it within [`WRITE_TIMEOUT`], or within [`WRITE_TIMEOUT_AT_CAPACITY`] if no further connection can be
/// accepted, and the errors of the socket.
pub(super) async fn write_response(
    shared: &Shared,
    stream: &mut TcpStream,
    commands: &mut mpsc::Receiver<ClientCommand>,
    response: Response,
) -> io::Result<Option<bool>> {
    let head = Bytes::from(render_head(&response));
    let mut bytes = head.chain(Bytes::from(response.body));
    let mut close_requested = None;
    tokio::select! {
        biased;
        sent = stream.write_all_buf(&mut bytes) => sent?,
        () = write_overdue(shared) => return Err(io::ErrorKind::TimedOut.into()),
        () = abort_requested(commands, &mut close_requested) => return Err(io::ErrorKind::OutOfMemory.into()),
    }
    Ok(close_requested)
}

/// Waits until the response that is being written has to be aborted. A request to close the connection is kept for later.
async fn abort_requested(
    commands: &mut mpsc::Receiver<ClientCommand>,
    close_requested: &mut Option<bool>,
) {
    loop {
        match commands.recv().await {
            Some(ClientCommand::AbortResponse) => return,
            Some(ClientCommand::Close { immediate }) => *close_requested = Some(immediate),
            // No further request is open.
            Some(ClientCommand::Reply { .. }) => {}
            None => std::future::pending().await,
        }
    }
}

/// Waits until a response that is being written from now on is overdue.
async fn write_overdue(shared: &Shared) {
    sleep(WRITE_TIMEOUT_AT_CAPACITY).await;
    let remaining = WRITE_TIMEOUT.saturating_sub(WRITE_TIMEOUT_AT_CAPACITY);
    let _ = timeout(remaining, shared.capacity_reached()).await;
}
