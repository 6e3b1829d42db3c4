//! Reading of messages with a time limit for each.

use std::io;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Duration, Instant};

/// Reads the messages of one connection.
pub(super) trait MessageReader {
    /// A message.
    type Message;

    /// Whether bytes of the next message have been read.
    fn has_buffered_bytes(&self) -> bool;

    /// The connection.
    fn stream(&self) -> &TcpStream;

    /// Reads the next message; `None` if the connection has ended. Cancel safe.
    async fn read_message(&mut self) -> io::Result<Option<Self::Message>>;
}

/// Reads the next message of a connection; `None` if the connection has ended.
///
/// A message must be complete within `time_limit` of its first byte; further bytes don't extend the limit. `started_at`
/// is when the first byte of the current message arrived. The caller keeps it between calls, so this is cancel safe.
///
/// # Errors
/// [`Elapsed`] if the message is not complete within the time limit.
pub(super) async fn next_message<R: MessageReader>(
    reader: &mut R,
    started_at: &mut Option<Instant>,
    time_limit: Duration,
) -> Result<io::Result<Option<R::Message>>, Elapsed> {
    let start = match *started_at {
        Some(start) => start,
        None => {
            if !reader.has_buffered_bytes() {
                // An error is ignored here because the following read returns it again.
                let _ = reader.stream().readable().await;
            }
            *started_at.insert(Instant::now())
        }
    };
    let message = timeout_at(start + time_limit, reader.read_message()).await?;
    *started_at = None;
    Ok(message)
}
