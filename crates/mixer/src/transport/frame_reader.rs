//! Reading of frames from a leaf server's connection, within the memory for frames that are being received.

use super::memory_pool::{MemoryPool, MemoryReservation};
use super::message_timeout::MessageReader;
use crate::protocol::leaf_frames::{LeafCodec, LeafResponse};
use bytes::BytesMut;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

/// Space in the buffer for each read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Frames of up to this size need no reservation; those of usual answers are shorter.
const FREE_FRAME_BYTES: usize = 512;

/// A received frame with its memory.
pub(super) struct ReceivedFrame {
    pub frame: LeafResponse,
    pub memory: MemoryReservation,
}

/// A frame without memory, whose bytes are read and dropped.
struct SkippedFrame {
    /// The first bytes of the frame, up to [`FREE_FRAME_BYTES`].
    head: BytesMut,
    remaining_bytes: usize,
}

/// Reads and decodes the frames of one connection. It holds no buffer between frames.
///
/// A large frame for which there is no memory is read without keeping its value. It must not wait for memory, since the
/// answers behind it on the connection would wait, too.
pub(super) struct FrameReader {
    stream: TcpStream,
    codec: LeafCodec,
    buffer: BytesMut,
    pool: MemoryPool,
    /// The memory of the frame being read.
    memory: MemoryReservation,
    skipped: Option<SkippedFrame>,
}

impl FrameReader {
    pub(super) fn new(stream: TcpStream, pool: &MemoryPool) -> FrameReader {
        FrameReader {
            stream,
            codec: LeafCodec::default(),
            buffer: BytesMut::new(),
            pool: pool.clone(),
            memory: pool.reservation(),
            skipped: None,
        }
    }

    pub(super) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Abandons the frame being read, which is not complete in time. All further input is discarded.
    pub(super) fn abandon_frame(&mut self) -> ReceivedFrame {
        let skipped = self.skipped.take();
        let received = skipped.map_or_else(|| self.buffer.split(), |skipped| skipped.head);
        let frame = self.codec.abandon_frame(&received);
        self.buffer = BytesMut::new();
        self.finish_frame(frame)
    }

    /// Passes the memory of a frame on with it.
    fn finish_frame(&mut self, frame: LeafResponse) -> ReceivedFrame {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let memory = std::mem::replace(&mut self.memory, self.pool.reservation());
        ReceivedFrame { frame, memory }
    }

    /// Takes the next frame from the buffer; `None` if it is incomplete.
    fn decode_frame(&mut self) -> io::Result<Option<LeafResponse>> {
        if self.skipped.is_none() {
            self.reserve_or_skip();
        }
        match &mut self.skipped {
            None => self.codec.decode(&mut self.buffer),
            Some(skipped) => {
                skipped.drop_bytes(&mut self.buffer);
                let is_complete = skipped.remaining_bytes == 0;
                let complete = self.skipped.take_if(|_| is_complete);
                Ok(complete.map(|skipped| self.codec.decode_without_value(&skipped.head)))
            }
        }
    }

    /// Reserves the memory of a large frame at the start of the buffer, or starts to skip it.
    fn reserve_or_skip(&mut self) {
        let Some(size) = self.codec.frame_size(&self.buffer) else {
            return;
        };
        let is_reserved = size <= FREE_FRAME_BYTES || self.memory.bytes() > 0;
        if !is_reserved && !self.memory.try_resize(size) {
            self.skipped = Some(SkippedFrame {
                head: BytesMut::new(),
                remaining_bytes: size,
            });
        }
    }

    async fn read_frame(&mut self) -> io::Result<Option<ReceivedFrame>> {
        loop {
            if let Some(frame) = self.decode_frame()? {
                return Ok(Some(self.finish_frame(frame)));
            }
            if self.buffer.is_empty() {
                self.buffer = BytesMut::new();
                self.stream.readable().await?;
            }
            self.buffer.reserve(self.missing_bytes().max(READ_BYTES));
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Number of bytes that a frame with memory still needs.
    fn missing_bytes(&self) -> usize {
        match (&self.skipped, self.codec.frame_size(&self.buffer)) {
            (None, Some(size)) => size.saturating_sub(self.buffer.len()),
            _ => 0,
        }
    }
}

impl SkippedFrame {
    /// Drops the frame's bytes from the buffer, except for its head.
    fn drop_bytes(&mut self, buffer: &mut BytesMut) {
        let dropped = buffer.split_to(self.remaining_bytes.min(buffer.len()));
        let head_bytes = (FREE_FRAME_BYTES - self.head.len()).min(dropped.len());
        self.head.extend_from_slice(&dropped[..head_bytes]);
        self.remaining_bytes -= dropped.len();
    }
}

impl MessageReader for FrameReader {
    type Message = ReceivedFrame;

    fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty() || self.skipped.is_some()
    }

    fn stream(&self) -> &TcpStream {
        &self.stream
    }

    async fn read_message(&mut self) -> io::Result<Option<ReceivedFrame>> {
        self.read_frame().await
    }
}
