//! The frames between a mixer and a leaf server: the length of what follows (4 bytes, big-endian), a letter for the
//! kind, and the body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// Bytes of the longest answer: a value that still fits the body of a reply to a client, and its line.
const MOST_ANSWER: usize = 64 * 1024 + 512;
/// Bytes of the longest frame of any other kind.
const MOST_REPORT: usize = 1024;

/// A part as it goes into a call. The id stands for the part at the leaf server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    pub id: Rc<str>,
    pub shard: u32,
    /// For how many milliseconds the mixer waits for the answer.
    pub timeout_ms: u64,
    /// The text of the query.
    pub text: Bytes,
}

/// A frame to a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafRequest {
    /// Runs parts.
    Call(Vec<CallPart>),
    /// Cancels the part of this id.
    Cancel(Rc<str>),
    /// Asks whether the server serves.
    Probe,
    /// Asks for its load, too.
    ProbeLoad,
}

/// How a part ended at the leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// Run; the answer has its value.
    Ok,
    /// Failed.
    Error,
    /// Refused for lack of room.
    Busy,
}

/// A frame from a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafResponse {
    /// The end of one part.
    Answer {
        /// The part's id in the call.
        id: String,
        status: PartStatus,
        /// The load report, not yet parsed; `-` if there is none.
        report: String,
        value: Bytes,
    },
    /// The answer to a probe.
    ProbeAnswer { ok: bool, report: String },
    /// The frame before could not be used; the leaf server closes the connection.
    ProtocolError(String),
    /// A corrupt frame, with the id that it is for if that can be read. Where the next frame begins is not known, so
    /// the connection is of no more use.
    Malformed(Option<String>),
}

/// Encodes and decodes the frames of one connection. After a corrupt frame it reads nothing more.
#[derive(Default)]
pub struct LeafCodec {
    dead: bool,
}

impl LeafCodec {
    /// Gives up a frame whose rest did not come in time, of which `received` has been read; it counts as corrupt.
    pub fn abandon_frame(&mut self, received: &[u8]) -> LeafResponse {
        self.dead = true;
        spoilt(received.get(4..).unwrap_or_default())
    }
}

impl Encoder<LeafRequest> for LeafCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: LeafRequest, dst: &mut BytesMut) -> io::Result<()> {
        let at = dst.len();
        dst.put_u32(0);
        match frame {
            LeafRequest::Call(parts) => {
                dst.put_u8(b'Q');
                for part in parts {
                    let CallPart {
                        id,
                        shard,
                        timeout_ms,
                        text,
                    } = part;
                    dst.put_slice(
                        format!("{id} {shard} d={timeout_ms} {}\n", text.len()).as_bytes(),
                    );
                    dst.put_slice(&text);
                }
            }
            LeafRequest::Cancel(id) => {
                dst.put_u8(b'X');
                dst.put_slice(id.as_bytes());
            }
            LeafRequest::Probe => dst.put_u8(b'P'),
            LeafRequest::ProbeLoad => dst.put_u8(b'L'),
        }
        let length = u32::try_from(dst.len() - at - 4).map_err(|_| ErrorKind::InvalidInput)?;
        dst[at..at + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

impl Decoder for LeafCodec {
    type Item = LeafResponse;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<LeafResponse>> {
        if self.dead {
            src.clear();
            return Ok(None);
        }
        let Some(head) = src.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        // Kind and length are checked before the rest has come: the rest of a frame of an impossible length never
        // comes.
        let fits = match src.get(4) {
            None => (1..=MOST_ANSWER).contains(&length),
            Some(b'A') => (2..=MOST_ANSWER).contains(&length),
            Some(b'P' | b'L' | b'E') => (1..=MOST_REPORT).contains(&length),
            Some(_) => false,
        };
        if !fits {
            self.dead = true;
            return Ok(Some(spoilt(&src.split()[4..])));
        }
        if src.len() < 4 + length {
            return Ok(None);
        }
        src.advance(4);
        let body = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        let frame = read(&body);
        self.dead = matches!(frame, LeafResponse::Malformed(_));
        Ok(Some(frame))
    }
}

fn read(body: &Bytes) -> LeafResponse {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    match body[0] {
        b'A' => answer(body.slice(1..)).unwrap_or_else(|| spoilt(body)),
        b'E' => LeafResponse::ProtocolError(text(&body[1..])),
        _ => {
            let report = text(&body[1..]);
            LeafResponse::ProbeAnswer {
                ok: report != "err",
                report,
            }
        }
    }
}

/// A corrupt frame, from its letter on. Its id is used only if all of it has been read.
fn spoilt(body: &[u8]) -> LeafResponse {
    let line = body.strip_prefix(b"A").unwrap_or_default();
    let id = line.iter().position(|b| *b == b' ').map(|end| &line[..end]);
    LeafResponse::Malformed(
        id.and_then(|id| std::str::from_utf8(id).ok())
            .map(str::to_string),
    )
}

/// An answer, if its line is well formed. A report that can't be parsed counts as none.
fn answer(rest: Bytes) -> Option<LeafResponse> {
    let end = rest.iter().position(|b| *b == b'\n')?;
    let line = std::str::from_utf8(&rest[..end]).ok()?;
    let mut fields = line.splitn(4, ' ');
    let (id, status, score, report) = (
        fields.next()?,
        fields.next()?,
        fields.next()?,
        fields.next()?,
    );
    let value = rest.slice(end + 1..);
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    let status = match status {
        // A client gets the value inside JSON; one that is not UTF-8 could not reach it unchanged.
        "ok" if !value.is_empty() && std::str::from_utf8(&value).is_ok() => PartStatus::Ok,
        "err" => PartStatus::Error,
        "busy" => PartStatus::Busy,
        _ => return None,
    };
    Some(LeafResponse::Answer {
        id: id.to_string(),
        status,
        report: report.to_string(),
        value,
    })
}
