//! Encoding and decoding of frames.

use super::{CallPart, LeafRequest, LeafResponse, PartStatus};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use tokio_util::codec::{Decoder, Encoder};

/// Size of the length field in front of each frame in bytes. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// Maximum length of an answer: its line, and a value that fits in the body of a reply to a client.
const MAX_ANSWER_BYTES: usize = 64 * 1024 + 512;
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
        let frame_start = dst.len();
        let body_start = frame_start + LENGTH_BYTES;
        dst.put_u32(0);
        match frame {
            LeafRequest::Call(parts) => {
                dst.put_u8(request_kind::CALL);
                parts.iter().for_each(|part| encode_part(part, dst));
            }
            LeafRequest::Cancel(id) => {
                dst.put_u8(request_kind::CANCEL);
                dst.put_slice(id.as_bytes());
            }
            LeafRequest::Probe => dst.put_u8(request_kind::PROBE),
            LeafRequest::ProbeLoad => dst.put_u8(request_kind::PROBE_LOAD),
        }
        let length = u32::try_from(dst.len() - body_start).map_err(|_| ErrorKind::InvalidInput)?;
        dst[frame_start..body_start].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

fn encode_part(part: &CallPart, dst: &mut BytesMut) {
    let CallPart {
        id,
        shard,
        timeout_ms,
        text,
    } = part;
    let line = format!("{id} {shard} d={timeout_ms} {}\n", text.len());
    dst.put_slice(line.as_bytes());
    dst.put_slice(text);
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
        let body = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        let frame = parse_frame(&body);
        self.discards_input = matches!(frame, LeafResponse::Malformed(_));
        Ok(Some(frame))
    }
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
        response_kind::ANSWER => parse_answer(frame.slice(1..)).unwrap_or_else(|| malformed(frame)),
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

/// Parses an answer without its kind byte: a line of id, status, score and report, then the value. The report is not
/// validated here; it is parsed later.
fn parse_answer(answer: Bytes) -> Option<LeafResponse> {
    let line_end = answer.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&answer[..line_end]).ok()?;
    let value = answer.slice(line_end + 1..);
    let mut fields = line.splitn(4, ' ');
    let id = fields.next()?;
    let status = fields.next()?;
    let score = fields.next()?;
    let report = fields.next()?;
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    Some(LeafResponse::Answer {
        id: id.to_string(),
        status: parse_status(status, &value)?,
        report: report.to_string(),
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
