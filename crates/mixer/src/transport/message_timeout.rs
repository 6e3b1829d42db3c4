//! Reading of messages with a time limit for each.

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// Reads the next message of a connection; `None` if the connection has ended.
///
/// A message must be complete within `time_limit` of its first byte; further bytes don't extend the limit. `started_at`
/// is when the first byte of the current message arrived. The caller keeps it between calls, so this is cancel safe.
///
/// # Errors
/// [`Elapsed`] if the message is not complete within the time limit.
pub async fn next_message<C: Decoder>(
    connection: &mut Framed<TcpStream, C>,
    started_at: &mut Option<Instant>,
    time_limit: Duration,
) -> Result<Option<Result<C::Item, C::Error>>, Elapsed> {
    let start = match *started_at {
        Some(start) => start,
        None => {
            if connection.read_buffer().is_empty() {
                // An error is ignored here because the following read returns it again.
                let _ = connection.get_ref().readable().await;
            }
            *started_at.insert(Instant::now())
        }
    };
    let message = timeout_at(start + time_limit, connection.next()).await?;
    *started_at = None;
    Ok(message)
}
