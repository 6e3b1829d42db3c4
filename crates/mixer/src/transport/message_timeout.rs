//! Reading messages that have to be complete in time.

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Duration, Instant};
use tokio_util::codec::{Decoder, Framed};

/// Reads the next message of a connection; `None` at its end.
///
/// A message has to be complete within `time_limit` of its first byte, however many bytes arrive on the way.
/// `started_at` is when the message that is being read started. It is kept between calls, so this is cancel safe.
///
/// # Errors
/// [`Elapsed`] if the message was not complete in time.
pub async fn next_message<C: Decoder>(
    connection: &mut Framed<TcpStream, C>,
    started_at: &mut Option<Instant>,
    time_limit: Duration,
) -> Result<Option<Result<C::Item, C::Error>>, Elapsed> {
    let start = match *started_at {
        Some(start) => start,
        None => {
            if connection.read_buffer().is_empty() {
                // An error recurs at the read that follows.
                let _ = connection.get_ref().readable().await;
            }
            *started_at.insert(Instant::now())
        }
    };
    let message = timeout_at(start + time_limit, connection.next()).await?;
    *started_at = None;
    Ok(message)
}
