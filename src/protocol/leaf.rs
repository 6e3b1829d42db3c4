//! The frames between a mixer and a leaf server: a length, a letter, the rest.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

/// A value no answer to a client could carry is not worth reading.
const MOST_FRAME: usize = 128 * 1024;

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
}

#[derive(Default)]
pub struct LeafCodec;

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

fn invalid(why: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why)
}

impl Decoder for LeafCodec {
    type Item = FromLeaf;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<FromLeaf>> {
        let Some(head) = src.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length == 0 || length > MOST_FRAME {
            return Err(invalid("frame of a bad length"));
        }
        if src.len() < 4 + length {
            return Ok(None);
        }
        src.advance(4);
        let body = Bytes::copy_from_slice(&src[..length]);
        src.advance(length);
        read(body[0], body.slice(1..)).map(Some)
    }
}

fn read(letter: u8, rest: Bytes) -> io::Result<FromLeaf> {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_string();
    match letter {
        b'A' => answer(rest),
        b'P' | b'L' => {
            let report = text(&rest);
            Ok(FromLeaf::Probed { ok: report != "err", report })
        }
        b'E' => Ok(FromLeaf::Complaint(text(&rest))),
        _ => Err(invalid("frame of an unknown letter")),
    }
}

fn answer(rest: Bytes) -> io::Result<FromLeaf> {
    let end = rest.iter().position(|b| *b == b'\n').ok_or(invalid("answer without a line"))?;
    let line = std::str::from_utf8(&rest[..end]).map_err(|_| invalid("answer is not text"))?;
    let mut words = line.split(' ');
    let (Some(id), Some(word)) = (words.next(), words.next()) else {
        return Err(invalid("answer without an end"));
    };
    let value = rest.slice(end + 1..);
    let end = match word {
        // A client gets the value inside JSON; what is no text could not reach it unchanged.
        "ok" if std::str::from_utf8(&value).is_ok() => End::Ok,
        "ok" | "err" => End::Err,
        "busy" => End::Busy,
        _ => return Err(invalid("answer with an unknown end")),
    };
    let report = words.nth(1).unwrap_or("-").to_string();
    Ok(FromLeaf::Answer { id: id.to_string(), end, report, value })
}
