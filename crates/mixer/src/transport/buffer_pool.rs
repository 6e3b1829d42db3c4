//! A pool of buffers of one size: each connection takes two while it is open.

use bytes::BytesMut;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Encoder, Framed, FramedParts};

/// Bytes of one buffer: room for the head of a request and for nearly every frame and answer.
pub const BUFFER: usize = 16 * 1024;
/// Free buffers that are kept: 4 MiB in all.
const MOST_FREE: usize = 256;

/// The free buffers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Pool(Rc<RefCell<Vec<BytesMut>>>);

impl Pool {
    fn take(&self) -> BytesMut {
        self.0
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| BytesMut::with_capacity(BUFFER))
    }

    /// Takes a buffer back. One that had to grow for a large message is freed, or all would end up large.
    fn give(&self, mut buffer: BytesMut) {
        buffer.clear();
        let mut free = self.0.borrow_mut();
        if free.len() < MOST_FREE && buffer.try_reclaim(BUFFER) && buffer.capacity() == BUFFER {
            free.push(buffer);
        }
    }

    /// A connection that writes messages of type `M`, with two buffers of the pool.
    pub fn frame<M, T: AsyncRead + AsyncWrite, C: Encoder<M>>(
        &self,
        io: T,
        codec: C,
    ) -> Framed<T, C> {
        let mut parts = FramedParts::new::<M>(io, codec);
        parts.read_buf = self.take();
        parts.write_buf = self.take();
        Framed::from_parts(parts)
    }

    /// Takes a connection's buffers back and drops the connection.
    pub fn recover<T: AsyncRead + AsyncWrite, C>(&self, framed: Framed<T, C>) {
        let parts = framed.into_parts();
        self.give(parts.read_buf);
        self.give(parts.write_buf);
    }
}
