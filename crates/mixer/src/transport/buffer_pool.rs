//! A pool of buffers of one size. Each open connection uses two of them.

use bytes::BytesMut;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Encoder, Framed, FramedParts};

/// Size of one buffer, sufficient for the head of a request and for nearly every frame and answer.
pub const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of free buffers that are kept for reuse: 4 MiB in total.
const MAX_FREE_BUFFERS: usize = 256;

/// The free buffers. Clones refer to the same buffers.
#[derive(Clone, Debug, Default)]
pub struct BufferPool(Rc<RefCell<Vec<BytesMut>>>);

impl BufferPool {
    fn acquire(&self) -> BytesMut {
        self.0
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES))
    }

    /// Keeps a buffer for reuse. A buffer that grew for a large message is freed; otherwise all buffers would
    /// eventually be large.
    fn release(&self, mut buffer: BytesMut) {
        buffer.clear();
        let mut free = self.0.borrow_mut();
        let below_limit = free.len() < MAX_FREE_BUFFERS;
        if below_limit && buffer.try_reclaim(BUFFER_BYTES) && buffer.capacity() == BUFFER_BYTES {
            free.push(buffer);
        }
    }

    /// Creates a framed connection that writes messages of type `M`, with two buffers from the pool.
    pub fn frame<M, T: AsyncRead + AsyncWrite, C: Encoder<M>>(
        &self,
        io: T,
        codec: C,
    ) -> Framed<T, C> {
        let mut parts = FramedParts::new::<M>(io, codec);
        parts.read_buf = self.acquire();
        parts.write_buf = self.acquire();
        Framed::from_parts(parts)
    }

    /// Closes a framed connection and keeps its buffers for reuse.
    pub fn close<T: AsyncRead + AsyncWrite, C>(&self, framed: Framed<T, C>) {
        let parts = framed.into_parts();
        self.release(parts.read_buf);
        self.release(parts.write_buf);
    }
}
