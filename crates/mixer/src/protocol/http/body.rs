//! Incremental reading of a message body, with a length or in chunks.

use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// Bytes of the longest chunk-size line, extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const CRLF: &[u8] = b"\r\n";

/// What is expected next of a body. Data is moved out as it arrives, so that a connection's read buffer never has to
/// hold more than a head.
#[derive(Debug, PartialEq)]
pub(super) enum BodyReader {
    /// So many bytes of a body with a length.
    Length(usize),
    /// The size line of a chunk.
    ChunkSize,
    /// So many bytes of a chunk.
    ChunkData(usize),
    /// The line break after a chunk's data.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// Nothing: the body is complete.
    Complete,
}

/// A body that can't be read.
#[derive(Debug, PartialEq)]
pub(super) enum BodyError {
    /// The chunked encoding is malformed.
    MalformedChunk,
    /// The body is larger than allowed.
    TooLarge,
}

impl BodyReader {
    /// Moves what has arrived of the body from `src` to `out`, which may grow to `max_bytes`. True once the body is
    /// complete.
    pub(super) fn read(
        &mut self,
        src: &mut BytesMut,
        out: &mut BytesMut,
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

/// Moves up to `remaining` bytes; true once none remain.
fn move_data(
    remaining: &mut usize,
    src: &mut BytesMut,
    out: &mut BytesMut,
    max_bytes: usize,
) -> Result<bool, BodyError> {
    let available = (*remaining).min(src.len());
    if out.len() + available > max_bytes {
        return Err(BodyError::TooLarge);
    }
    out.extend_from_slice(&src[..available]);
    src.advance(available);
    *remaining -= available;
    Ok(*remaining == 0)
}

/// The state after the chunk-size line; `None` if the line is incomplete.
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

/// The state after the line break that ends a chunk; `None` if it is incomplete.
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

/// The state after a line of the trailer section, which an empty line ends; `None` if the line is incomplete.
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
