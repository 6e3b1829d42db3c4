//! Reading from a client's connection while its request is being served.

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

/// Maximum number of bytes read at once after a pipelined request.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// A client's connection, framed into requests and responses.
pub(super) type HttpConnection = Framed<TcpStream, ServerCodec>;

/// A received request, or the reason why it is rejected.
pub(super) type IncomingRequest = Result<Request, RequestError>;

/// Input that arrived after the request that is being served.
pub(super) enum ReadAhead {
    /// The next request.
    Request(IncomingRequest),
    /// Bytes after a pipelined request; they are buffered.
    Buffered,
    /// More bytes than fit in the connection's buffer; they are discarded.
    Overflow,
    /// The client closed the connection.
    Closed,
}

/// Reads further input while a request is being served, even after a pipelined request: only reading detects that the
/// client closes the connection.
///
/// Bytes after a pipelined request are buffered up to the size of the connection's buffer. Cancel safe.
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
    // On the stack, since a buffer in the future would enlarge every waiting task. Tokio's cooperative scheduling makes
    // the read yield to other tasks even under continuous input.
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
