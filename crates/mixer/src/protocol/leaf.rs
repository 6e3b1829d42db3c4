//! The frames between a mixer and a leaf server: a length, a letter, the rest.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// The longest answer: a value that still fits a body to a client, and its line. Other frames are a few
/// words.
const MOST_ANSWER: usize = 64 * 1024 + 512;
const MOST_WORDS: usize = 1024;

/// A part as it goes into a call. The id stands for the part at the leaf server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    pub id: Rc<str>,
    pub shard: u32,
    pub wait_ms: u64,
    pub text: Bytes,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ToLeaf {
    Call(Vec<CallPart>),
    GiveUp(Rc<str>),
    Probe,
    ProbeLoad,
}

/// How a leaf server says that a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Ok,
    Err,
    Busy,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FromLeaf {
    Answer {
        id: String,
        end: End,
        report: String,
        value: Bytes,
    },
    Probed {
        ok: bool,
        report: String,
    },
    /// The frame before could not be used; the leaf server closes the connection.
    Complaint(String),
    /// What can't be read, with the id it is for if that can. Where the next frame begins is not known, so
    /// the connection is of no more use.
    Spoilt(Option<String>),
}

/// After what it can't read it reads nothing more.
#[derive(Default)]
pub struct LeafCodec {
    dead: bool,
}

impl LeafCodec {
    /// What is held of a frame whose rest does not come: given up.
    pub fn cut_short(&mut self, held: &[u8]) -> FromLeaf {
        self.dead = true;
        spoilt(held.get(4..).unwrap_or_default())
    }
}

impl Encoder<ToLeaf> for LeafCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: ToLeaf, dst: &mut BytesMut) -> io::Result<()> {
        let at = dst.len();
        dst.put_u32(0);
        match frame {
            ToLeaf::Call(parts) => {
                dst.put_u8(b'Q');
                for part in parts {
                    let CallPart { id, shard, wait_ms, text } = part;
                    dst.put_slice(format!("{id} {shard} d={wait_ms} {}\n", text.len()).as_bytes());
                    dst.put_slice(&text);
                }
            }
            ToLeaf::GiveUp(id) => {
                dst.put_u8(b'X');
                dst.put_slice(id.as_bytes());
            }
            ToLeaf::Probe => dst.put_u8(b'P'),
            ToLeaf::ProbeLoad => dst.put_u8(b'L'),
        }
        let length = u32::try_from(dst.len() - at - 4).map_err(|_| ErrorKind::InvalidInput)?;
        dst[at..at + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }
}

impl Decoder for LeafCodec {
    type Item = FromLeaf;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<FromLeaf>> {
        if self.dead {
            src.clear();
            return Ok(None);
        }
        let Some(head) = src.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        // Both are checked before the rest is waited for: a length that no frame has would be waited for in
        // vain.
        let fits = match src.get(4) {
            None => (1..=MOST_ANSWER).contains(&length),
            Some(b'A') => (2..=MOST_ANSWER).contains(&length),
            Some(b'P' | b'L' | b'E') => (1..=MOST_WORDS).contains(&length),
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
        self.dead = matches!(frame, FromLeaf::Spoilt(_));
        Ok(Some(frame))
    }
}

fn read(body: &Bytes) -> FromLeaf {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    match body[0] {
        b'A' => answer(body.slice(1..)).unwrap_or_else(|| spoilt(body)),
        b'E' => FromLeaf::Complaint(text(&body[1..])),
        _ => {
            let report = text(&body[1..]);
            FromLeaf::Probed { ok: report != "err", report }
        }
    }
}

/// A frame that can't be read, from its letter on. The id is worth something only if it is there to its end.
fn spoilt(body: &[u8]) -> FromLeaf {
    let words = body.strip_prefix(b"A").unwrap_or_default();
    let id = words.iter().position(|b| *b == b' ').map(|end| &words[..end]);
    FromLeaf::Spoilt(id.and_then(|id| std::str::from_utf8(id).ok()).map(str::to_string))
}

/// An answer, if all of its line is as it should be. A report that can't be read is only no report.
fn answer(rest: Bytes) -> Option<FromLeaf> {
    let end = rest.iter().position(|b| *b == b'\n')?;
    let line = std::str::from_utf8(&rest[..end]).ok()?;
    let mut words = line.splitn(4, ' ');
    let (id, word, score, report) = (words.next()?, words.next()?, words.next()?, words.next()?);
    let value = rest.slice(end + 1..);
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    let end = match word {
        // A client gets the value inside JSON; what is no text could not reach it unchanged.
        "ok" if !value.is_empty() && std::str::from_utf8(&value).is_ok() => End::Ok,
        "err" => End::Err,
        "busy" => End::Busy,
        _ => return None,
    };
    Some(FromLeaf::Answer { id: id.to_string(), end, report: report.to_string(), value })
}
