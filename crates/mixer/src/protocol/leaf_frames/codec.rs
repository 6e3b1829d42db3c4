//! Encoding and decoding of frames.

use super::{CallPart, LeafRequest, LeafResponse, PartStatus};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// Size of the length field in front of each frame in bytes. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// Maximum length of an answer: its line, and a value that fits in the body of a reply to a client.
const MAX_ANSWER_BYTES: usize = 64 * 1024 + 512;
/// Received frames and texts to be sent of at least this length are not copied.
const MIN_SPLIT_BYTES: usize = 4 * 1024;
/// Maximum length of a frame of any other kind.
const MAX_OTHER_FRAME_BYTES: usize = 1024;

/// Kind bytes of the frames to a leaf server.
mod request_kind {
    pub const CALL: u8 = b'Q';
    pub const CANCEL: u8 = b'X';
    pub const PROBE: u8 = b'P';
    pub const PROBE_LOAD: u8 = b'L';
}

/// Kind bytes of the frames from a leaf server.
mod response_kind {
    pub const ANSWER: u8 = b'A';
    pub const PROBE_ANSWER: u8 = b'P';
    pub const LOAD_ANSWER: u8 = b'L';
    pub const PROTOCOL_ERROR: u8 = b'E';
}

/// Encodes and decodes the frames of one connection. After a malformed frame, all input is discarded.
#[derive(Default)]
pub struct LeafCodec {
    discards_input: bool,
}

impl LeafCodec {
    /// The size of the frame at the start of `received`, including its length field; `None` if that is incomplete or
    /// malformed, or if input is discarded.
    pub fn frame_size(&self, received: &[u8]) -> Option<usize> {
        let length = u32::from_be_bytes(*received.first_chunk::<LENGTH_BYTES>()?) as usize;
        let is_plausible = is_plausible(received.get(LENGTH_BYTES).copied(), length);
        (is_plausible && !self.discards_input).then_some(LENGTH_BYTES + length)
    }

    /// Decodes a complete frame of which only the start is known, including its length field.
    pub fn decode_without_value(&mut self, start: &[u8]) -> LeafResponse {
        let body = start.get(LENGTH_BYTES..).unwrap_or_default();
        match parse_answer_line(body) {
            Some(AnswerLine {
                id, status: "ok", ..
            }) => LeafResponse::AnswerWithoutValue(id.to_string()),
            _ => {
                self.discards_input = true;
                malformed(body)
            }
        }
    }

    /// Abandons a frame that is not complete within its time limit. `received` are its bytes so far. It counts as
    /// malformed.
    pub fn abandon_frame(&mut self, received: &[u8]) -> LeafResponse {
        self.discards_input = true;
        malformed(received.get(LENGTH_BYTES..).unwrap_or_default())
    }
}

impl Encoder<LeafRequest> for LeafCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: LeafRequest, dst: &mut BytesMut) -> io::Result<()> {
        for piece in encode_frame(frame)? {
            dst.put_slice(&piece);
        }
        Ok(())
    }
}

/// Encodes a frame as pieces to be written one after another. Long texts are not copied, since the parts of a query
/// share its text.
///
/// # Errors
/// The frame's length does not fit in its length field.
pub fn encode_frame(frame: LeafRequest) -> io::Result<Vec<Bytes>> {
    let mut pieces = FramePieces::default();
    match frame {
        LeafRequest::Call(parts) => {
            pieces.last.put_u8(request_kind::CALL);
            for part in parts {
                pieces.push_part(part);
            }
        }
        LeafRequest::Cancel(id) => {
            pieces.last.put_u8(request_kind::CANCEL);
            pieces.last.put_slice(id.as_bytes());
        }
        LeafRequest::Probe => pieces.last.put_u8(request_kind::PROBE),
        LeafRequest::ProbeLoad => pieces.last.put_u8(request_kind::PROBE_LOAD),
    }
    pieces.finish()
}

/// The pieces of a frame's body.
#[derive(Default)]
struct FramePieces {
    complete: Vec<Bytes>,
    last: BytesMut,
}

impl FramePieces {
    fn push_part(&mut self, part: CallPart) {
        let CallPart {
            id,
            shard,
            timeout_ms,
            text,
        } = part;
        let line = format!("{id} {shard} d={timeout_ms} {}\n", text.len());
        self.last.put_slice(line.as_bytes());
        if text.len() < MIN_SPLIT_BYTES {
            self.last.put_slice(&text);
        } else {
            self.complete.push(self.last.split().freeze());
            self.complete.push(text);
        }
    }

    /// Adds the frame's length in front.
    fn finish(self) -> io::Result<Vec<Bytes>> {
        let mut pieces = self.complete;
        pieces.push(self.last.freeze());
        let length: usize = pieces.iter().map(Bytes::len).sum();
        let length = u32::try_from(length).map_err(|_| ErrorKind::InvalidInput)?;
        let mut first = BytesMut::with_capacity(LENGTH_BYTES + pieces[0].len());
        first.put_u32(length);
        first.put_slice(&pieces[0]);
        pieces[0] = first.freeze();
        Ok(pieces)
    }
}

impl Decoder for LeafCodec {
    type Item = LeafResponse;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<LeafResponse>> {
        if self.discards_input {
            src.clear();
            return Ok(None);
        }
        let Some(length) = src.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        // Checked before the frame is complete, since a frame with an invalid length may never be completed.
        if !is_plausible(src.get(LENGTH_BYTES).copied(), length) {
            self.discards_input = true;
            return Ok(Some(malformed(&src.split()[LENGTH_BYTES..])));
        }
        if src.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        src.advance(LENGTH_BYTES);
        let frame = parse_frame(&split_body(src, length));
        self.discards_input = matches!(frame, LeafResponse::Malformed(_));
        Ok(Some(frame))
    }
}

/// Removes a frame's body from the buffer. A short one is copied, so that it does not keep the buffer.
fn split_body(src: &mut BytesMut, length: usize) -> Bytes {
    if length >= MIN_SPLIT_BYTES {
        return src.split_to(length).freeze();
    }
    let body = Bytes::copy_from_slice(&src[..length]);
    src.advance(length);
    body
}

/// Whether a frame of this kind can have this length; `kind` is `None` if it has not arrived yet.
fn is_plausible(kind: Option<u8>, length: usize) -> bool {
    match kind {
        None => (1..=MAX_ANSWER_BYTES).contains(&length),
        Some(response_kind::ANSWER) => (2..=MAX_ANSWER_BYTES).contains(&length),
        Some(
            response_kind::PROBE_ANSWER
            | response_kind::LOAD_ANSWER
            | response_kind::PROTOCOL_ERROR,
        ) => (1..=MAX_OTHER_FRAME_BYTES).contains(&length),
        Some(_) => false,
    }
}

/// Parses a complete frame of a known kind, without its length field.
fn parse_frame(frame: &Bytes) -> LeafResponse {
    match frame[0] {
        response_kind::ANSWER => parse_answer(frame).unwrap_or_else(|| malformed(frame)),
        response_kind::PROTOCOL_ERROR => LeafResponse::ProtocolError(trimmed_text(&frame[1..])),
        _ => {
            let report = trimmed_text(&frame[1..]);
            LeafResponse::ProbeAnswer {
                ok: report != "err",
                report,
            }
        }
    }
}

fn trimmed_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim().to_string()
}

/// Creates a malformed response from a frame without its length field. The part's id is extracted only if it is
/// complete.
fn malformed(frame: &[u8]) -> LeafResponse {
    let line = frame
        .strip_prefix(&[response_kind::ANSWER])
        .unwrap_or_default();
    let id = line
        .iter()
        .position(|byte| *byte == b' ')
        .and_then(|id_end| std::str::from_utf8(&line[..id_end]).ok());
    LeafResponse::Malformed(id.map(str::to_string))
}

/// The line of an answer.
struct AnswerLine<'a> {
    id: &'a str,
    status: &'a str,
    report: &'a str,
    /// Where the value begins in the frame, without its length field.
    value_start: usize,
}

/// Parses the line of an answer: kind byte, id, status, score and report. The report is not validated here; it is parsed
/// later.
fn parse_answer_line(frame: &[u8]) -> Option<AnswerLine<'_>> {
    let line_end = frame.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&frame[..line_end]).ok()?;
    let line = line.strip_prefix(char::from(response_kind::ANSWER))?;
    let mut fields = line.splitn(4, ' ');
    let id = fields.next()?;
    let status = fields.next()?;
    let score = fields.next()?;
    let report = fields.next()?;
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    Some(AnswerLine {
        id,
        status,
        report,
        value_start: line_end + 1,
    })
}

/// Parses an answer: its line, then the value.
fn parse_answer(frame: &Bytes) -> Option<LeafResponse> {
    let line = parse_answer_line(frame)?;
    let value = frame.slice(line.value_start..);
    Some(LeafResponse::Answer {
        id: line.id.to_string(),
        status: parse_status(line.status, &value)?,
        report: line.report.to_string(),
        value,
    })
}

fn parse_status(status: &str, value: &[u8]) -> Option<PartStatus> {
    match status {
        // The value must be UTF-8, since it becomes part of the JSON reply to the client.
        "ok" if !value.is_empty() && std::str::from_utf8(value).is_ok() => Some(PartStatus::Ok),
        "err" => Some(PartStatus::Error),
        "busy" => Some(PartStatus::Busy),
        _ => None,
    }
}
