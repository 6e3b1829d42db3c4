//! Incremental reading of message bodies with a `Content-Length` or chunked encoding.

use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// Steps in which the buffer of a request's body grows, in bytes.
const BODY_GROWTH_BYTES: usize = 4 * 1024;
/// Maximum length of a chunk-size line in bytes, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const CRLF: &[u8] = b"\r\n";

/// The next expected element of a body. Data is moved out of the connection's read buffer as it arrives, so that this
/// buffer needs no more space than a head.
#[derive(Debug, PartialEq)]
pub(super) enum BodyReader {
    /// The remaining bytes of a body with a length.
    Length(usize),
    /// The size line of a chunk.
    ChunkSize,
    /// The remaining bytes of a chunk.
    ChunkData(usize),
    /// The line break after a chunk's data.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// The body is complete.
    Complete,
}

/// The reason why a body is rejected.
#[derive(Debug, PartialEq)]
pub(super) enum BodyError {
    /// The chunked encoding is malformed.
    MalformedChunk,
    /// The body exceeds the maximum size.
    TooLarge,
}

/// The buffer that a body is collected in.
pub(super) trait BodyBuffer {
    /// Number of bytes in the buffer.
    fn len(&self) -> usize;
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]);
}

/// Grows in small steps, so that it takes little more memory than the bytes in it.
impl BodyBuffer for Vec<u8> {
    fn len(&self) -> usize {
        Vec::len(self)
    }

    fn append(&mut self, bytes: &[u8]) {
        let needed = Vec::len(self) + bytes.len();
        if needed > self.capacity() {
            let step = BODY_GROWTH_BYTES.min(needed);
            self.reserve_exact(needed.next_multiple_of(step) - Vec::len(self));
        }
        self.extend_from_slice(bytes);
    }
}

impl BodyBuffer for BytesMut {
    fn len(&self) -> usize {
        BytesMut::len(self)
    }

    fn append(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }
}

impl BodyReader {
    /// Moves the received bytes of the body from `src` to `out`, which may grow to `max_bytes`. Returns true once the
    /// body is complete.
    pub(super) fn read(
        &mut self,
        src: &mut BytesMut,
        out: &mut impl BodyBuffer,
        max_bytes: usize,
    ) -> Result<bool, BodyError> {
        while *self != BodyReader::Complete {
            let next_state = match self {
                BodyReader::Length(remaining) => {
                    move_data(remaining, src, out, max_bytes)?.then_some(BodyReader::Complete)
                }
                BodyReader::ChunkData(remaining) => {
                    move_data(remaining, src, out, max_bytes)?.then_some(BodyReader::ChunkEnd)
                }
                BodyReader::ChunkSize => read_chunk_size(src)?,
                BodyReader::ChunkEnd => read_chunk_end(src)?,
                BodyReader::Trailer => read_trailer_line(src)?,
                BodyReader::Complete => None,
            };
            match next_state {
                Some(state) => *self = state,
                None => return Ok(false),
            }
        }
        Ok(true)
    }
}

/// Moves up to `remaining` bytes. Returns true once none remain.
fn move_data(
    remaining: &mut usize,
    src: &mut BytesMut,
    out: &mut impl BodyBuffer,
    max_bytes: usize,
) -> Result<bool, BodyError> {
    let available = (*remaining).min(src.len());
    if out.len() + available > max_bytes {
        return Err(BodyError::TooLarge);
    }
    out.append(&src[..available]);
    src.advance(available);
    *remaining -= available;
    Ok(*remaining == 0)
}

/// Reads a chunk-size line and returns the next state; `None` if the line is incomplete.
fn read_chunk_size(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    match httparse::parse_chunk_size(src) {
        Ok(httparse::Status::Complete((line_length, size))) => {
            src.advance(line_length);
            let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
            Ok(Some(match size {
                0 => BodyReader::Trailer,
                _ => BodyReader::ChunkData(size),
            }))
        }
        Ok(httparse::Status::Partial) if src.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        _ => Err(BodyError::MalformedChunk),
    }
}

/// Reads the line break after a chunk's data and returns the next state; `None` if it is incomplete.
fn read_chunk_end(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    if src.len() < CRLF.len() {
        return Ok(None);
    }
    if !src.starts_with(CRLF) {
        return Err(BodyError::MalformedChunk);
    }
    src.advance(CRLF.len());
    Ok(Some(BodyReader::ChunkSize))
}

/// Reads a line of the trailer section, which ends with an empty line, and returns the next state; `None` if the line
/// is incomplete.
fn read_trailer_line(src: &mut BytesMut) -> Result<Option<BodyReader>, BodyError> {
    match src.iter().position(|byte| *byte == b'\n') {
        Some(line_end) => {
            let is_empty = matches!(&src[..line_end], b"" | b"\r");
            src.advance(line_end + 1);
            Ok(Some(if is_empty {
                BodyReader::Complete
            } else {
                BodyReader::Trailer
            }))
        }
        None if src.len() <= MAX_HEAD_BYTES => Ok(None),
        None => Err(BodyError::MalformedChunk),
    }
}
