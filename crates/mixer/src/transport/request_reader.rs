//! Reading of requests from a client's connection, within the memory for requests that are being received.
//!
//! A connection holds no buffer while it is idle, and up to [`FREE_BYTES`] of a request in any case. More than that is
//! reserved from the pool; while the pool is exhausted, the request that has held memory of it for longest is rejected.

use super::memory_pool::{EvictableHolder, MemoryPool, MemoryReservation};
use super::message_timeout::MessageReader;
use crate::protocol::http::{Request, RequestError, ServerCodec};
use bytes::BytesMut;
use std::future::{pending, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::error::Elapsed;
use tokio::time::{timeout, Duration};
use tokio_util::codec::Decoder;

/// The runtime polls all sockets within this time.
const POLL_SOCKET_WAIT: Duration = Duration::from_millis(1);
/// Space in the buffer for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Bytes that each connection may hold without a reservation: more than usual requests have.
const FREE_BYTES: usize = 8 * 1024;
/// Pieces of large requests that are decoded in one turn of the event loop.
pub(super) const PIECES_PER_TURN: usize = 16;
/// Maximum number of bytes buffered after a pipelined request.
const MAX_BYTES_AHEAD: usize = 16 * 1024;

/// A received request, or the reason why it is rejected, with its memory.
pub(super) struct ReceivedRequest {
    pub request: Result<Request, RequestError>,
    pub memory: MemoryReservation,
}

/// Input that arrived after the request that is being served.
pub(super) enum ReadAhead {
    /// The next request.
    Request(ReceivedRequest),
    /// Bytes after a pipelined request; they are buffered.
    Buffered,
    /// More bytes than may be buffered; they are discarded.
    Overflow,
    /// The client closed the connection.
    Closed,
}

/// Reads and decodes the requests of one connection.
pub(super) struct RequestReader {
    stream: TcpStream,
    codec: ServerCodec,
    buffer: BytesMut,
    turns: Rc<Semaphore>,
    pool: MemoryPool,
    /// The memory beyond [`FREE_BYTES`] of the request being read.
    memory: MemoryReservation,
    /// Set while memory is reserved.
    evictable: Option<EvictableHolder>,
    /// Called when a part of a request has arrived without the rest.
    on_request_begun: Box<dyn Fn()>,
    /// Whether that was called for the request being read.
    is_begun: bool,
}

/// Whether reading a request lets other tasks run between its pieces.
#[derive(Clone, Copy, PartialEq)]
enum Pace {
    Yielding,
    AtOnce,
}

/// The result of reading more bytes.
enum ReadMore {
    Bytes,
    End,
    OutOfMemory,
}

impl RequestReader {
    /// Reads from a connection within the memory of `pool`, and decodes the pieces of large requests in `turns`. Calls
    /// `on_request_begun` once for each request that does not arrive at once.
    pub(super) fn new(
        stream: TcpStream,
        pool: &MemoryPool,
        turns: &Rc<Semaphore>,
        on_request_begun: impl Fn() + 'static,
    ) -> RequestReader {
        RequestReader {
            stream,
            codec: ServerCodec::default(),
            buffer: BytesMut::new(),
            turns: turns.clone(),
            pool: pool.clone(),
            memory: pool.reservation(),
            evictable: None,
            on_request_begun: Box::new(on_request_begun),
            is_begun: false,
        }
    }

    pub(super) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Whether a request has been read in part.
    pub(super) fn has_partial_request(&self) -> bool {
        self.codec.has_partial_request() || !self.buffer.is_empty()
    }

    /// Abandons the request being read, for this reason, and frees its memory. All further input is discarded.
    pub(super) fn abandon_request(&mut self, reason: RequestError) -> ReceivedRequest {
        self.codec.abandon_request();
        self.buffer = BytesMut::new();
        self.finish_request(Err(reason))
    }

    /// Reads the next request; `None` if the client has closed the connection. Other connections are served between the
    /// pieces of a large request. Cancel safe.
    async fn read_request(&mut self) -> io::Result<Option<ReceivedRequest>> {
        self.read_request_at_pace(Pace::Yielding).await
    }

    /// Reads a request that has arrived; `None` if the client has closed the connection. Waits only for the runtime to
    /// notice what is in the socket.
    ///
    /// # Errors
    /// [`Elapsed`] if no complete request has arrived.
    pub(super) async fn read_arrived_request(
        &mut self,
    ) -> Result<io::Result<Option<ReceivedRequest>>, Elapsed> {
        timeout(POLL_SOCKET_WAIT, self.read_request_at_pace(Pace::AtOnce)).await
    }

    async fn read_request_at_pace(&mut self, pace: Pace) -> io::Result<Option<ReceivedRequest>> {
        loop {
            let decoded = if pace == Pace::Yielding && self.codec.has_partial_request() {
                self.decode_in_turn().await?
            } else {
                self.codec.decode(&mut self.buffer)?
            };
            if let Some(request) = decoded {
                return Ok(Some(self.finish_request(request)));
            }
            self.report_begun_request();
            match self.read_more().await? {
                ReadMore::Bytes => {}
                ReadMore::End => return Ok(None),
                ReadMore::OutOfMemory => {
                    return Ok(Some(self.abandon_request(RequestError::out_of_memory())));
                }
            }
        }
    }

    fn report_begun_request(&mut self) {
        if !self.is_begun && self.has_partial_request() {
            self.is_begun = true;
            (self.on_request_begun)();
        }
    }

    /// Decodes a further piece of a large request. Only a few pieces are decoded in one turn of the event loop, so that
    /// many large requests delay others by little. Cancel safe.
    async fn decode_in_turn(&mut self) -> io::Result<Option<Result<Request, RequestError>>> {
        // Never closed.
        let turn = self.turns.acquire().await.ok();
        let decoded = self.codec.decode(&mut self.buffer)?;
        if decoded.is_none() {
            yield_now().await;
        }
        drop(turn);
        Ok(decoded)
    }

    /// Passes the memory of a request on with it.
    fn finish_request(&mut self, request: Result<Request, RequestError>) -> ReceivedRequest {
        let mut memory = std::mem::replace(&mut self.memory, self.pool.reservation());
        let held_bytes = request.as_ref().map_or(0, Request::held_bytes);
        let reserved = memory.bytes();
        memory.try_resize(held_bytes.saturating_sub(FREE_BYTES).min(reserved));
        self.evictable = None;
        self.is_begun = false;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        ReceivedRequest { request, memory }
    }

    async fn read_more(&mut self) -> io::Result<ReadMore> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let RequestReader {
            stream,
            codec,
            buffer,
            memory,
            evictable,
            ..
        } = self;
        let read = async {
            if buffer.is_empty() {
                stream.readable().await?;
            }
            let held_bytes = codec.held_bytes() + buffer.capacity().max(buffer.len() + READ_BYTES);
            let reserved = held_bytes.saturating_sub(FREE_BYTES);
            if reserved > memory.bytes() && memory.resize_with_eviction(reserved).await.is_err() {
                return Ok(ReadMore::OutOfMemory);
            }
            buffer.reserve(READ_BYTES);
            let length = stream.read_buf(buffer).await?;
            Ok(if length == 0 {
                ReadMore::End
            } else {
                ReadMore::Bytes
            })
        };
        let evicted = async {
            match evictable.as_ref() {
                Some(holder) => holder.evicted().await,
                None => pending().await,
            }
        };
        let result = tokio::select! {
            biased;
            () = evicted => Ok(ReadMore::OutOfMemory),
            result = read => result,
        };
        if self.evictable.is_none() && self.memory.bytes() > 0 {
            self.evictable = Some(self.memory.evictable());
        }
        result
    }

    /// Reads further input while a request is being served, even after a pipelined request: only reading detects that
    /// the client closes the connection. Cancel safe.
    pub(super) async fn read_ahead(&mut self, has_pipelined: bool) -> io::Result<ReadAhead> {
        if has_pipelined {
            return poll_fn(|context| self.poll_buffer_ahead(context)).await;
        }
        let received = self.read_request().await?;
        Ok(received.map_or(ReadAhead::Closed, ReadAhead::Request))
    }

    fn poll_buffer_ahead(&mut self, context: &mut Context<'_>) -> Poll<io::Result<ReadAhead>> {
        // On the stack, since a buffer in the future would enlarge every waiting task. Tokio's cooperative scheduling
        // makes the read yield to other tasks even under continuous input.
        let mut bytes = [0; READ_BYTES];
        let mut bytes = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut bytes))?;
        if bytes.filled().is_empty() {
            return Poll::Ready(Ok(ReadAhead::Closed));
        }
        let length = self.buffer.len() + bytes.filled().len();
        if length > MAX_BYTES_AHEAD || !self.reserve_ahead(length) {
            return Poll::Ready(Ok(ReadAhead::Overflow));
        }
        self.buffer.extend_from_slice(bytes.filled());
        Poll::Ready(Ok(ReadAhead::Buffered))
    }

    /// Reserves memory for a buffer of this many bytes after a pipelined request, which may take twice as much when it
    /// grows.
    fn reserve_ahead(&mut self, length: usize) -> bool {
        let reserved = (2 * length).saturating_sub(FREE_BYTES);
        reserved <= self.memory.bytes() || self.memory.try_resize(reserved)
    }
}

impl MessageReader for RequestReader {
    type Message = ReceivedRequest;

    fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    async fn read_message(&mut self) -> io::Result<Option<ReceivedRequest>> {
        self.read_request().await
    }
}
