//! Reads from a client's connection while its request is served.

use super::buffer_pool::BUFFER_BYTES;
use crate::protocol::http::{Request, RequestError, ServerCodec};
use futures_util::StreamExt;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Bytes read at once behind a pipelined request.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// A client's connection, as requests and responses.
pub(super) type HttpConnection = Framed<TcpStream, ServerCodec>;

/// A request as it arrived, or why it is rejected.
pub(super) type IncomingRequest = Result<Request, RequestError>;

/// What arrived behind the request that is being served.
pub(super) enum ReadAhead {
    /// The next request.
    Request(IncomingRequest),
    /// Bytes behind a pipelined request.
    Buffered,
    /// More bytes than the connection's buffer takes; they are discarded.
    Overflow,
    /// The client closed the connection.
    Closed,
}

/// Reads on while a request is served, even behind a pipelined one: nothing else detects that the client closes.
///
/// Bytes behind a pipelined request are buffered up to the size of the connection's buffer. Cancel safe.
pub(super) async fn read_ahead(
    http: &mut HttpConnection,
    has_pipelined: bool,
) -> io::Result<ReadAhead> {
    if has_pipelined {
        return poll_fn(|cx| poll_buffer_ahead(http, cx)).await;
    }
    let received = http.next().await.transpose()?;
    Ok(received.map_or(ReadAhead::Closed, ReadAhead::Request))
}

fn poll_buffer_ahead(
    http: &mut HttpConnection,
    cx: &mut Context<'_>,
) -> Poll<io::Result<ReadAhead>> {
    // On the stack, so that it does not enlarge the many tasks that wait here. The read yields to other tasks now and
    // then, however much arrives.
    let mut bytes = [0; READ_AHEAD_BYTES];
    let mut bytes = ReadBuf::new(&mut bytes);
    ready!(Pin::new(http.get_mut()).poll_read(cx, &mut bytes))?;
    let buffer = http.read_buffer_mut();
    Poll::Ready(Ok(if bytes.filled().is_empty() {
        ReadAhead::Closed
    } else if buffer.len() + bytes.filled().len() > BUFFER_BYTES {
        ReadAhead::Overflow
    } else {
        buffer.extend_from_slice(bytes.filled());
        ReadAhead::Buffered
    }))
}
