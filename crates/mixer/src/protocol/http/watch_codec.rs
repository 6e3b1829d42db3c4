//! The codec of the client side of a watch on the endpoint list.

use super::body::{BodyError, BodyReader};
use super::framing::body_reader;
use super::{MAX_HEADERS, MAX_HEAD_BYTES};
use crate::protocol::endpoint_updates::{
    JsonObjectSplitter, UpdateError, MAX_ENTRIES, MAX_UPDATE_BYTES,
};
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder};

const STATUS_OK: u16 = 200;

/// A request for the endpoint list: one snapshot, or a watch.
pub struct WatchRequest {
    /// Value of `Host`.
    pub host: String,
    /// Requests the changes after this version; `None` requests a snapshot.
    pub from_version: Option<u64>,
}

/// Discovery answered a request with a status other than 200.
#[derive(Debug, PartialEq)]
pub struct WatchRejected {
    /// The HTTP status.
    pub status: u16,
    /// `Retry-After`: the minimum delay before the next request, if discovery sends one.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for WatchRejected {}

impl fmt::Display for WatchRejected {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "discovery answered with status {}", self.status)?;
        match self.retry_after {
            Some(delay) => write!(f, ", retry after {} ms", delay.as_millis()),
            None => Ok(()),
        }
    }
}

/// Encodes one request, then decodes the JSON objects in the response's body as they arrive.
pub struct WatchCodec {
    /// The reader for the response's body; `None` until the head has been read.
    body: Option<BodyReader>,
    objects: JsonObjectSplitter,
    max_object_bytes: usize,
    max_entries: usize,
}

impl Default for WatchCodec {
    fn default() -> WatchCodec {
        WatchCodec::new(MAX_UPDATE_BYTES)
    }
}

impl WatchCodec {
    /// Creates a codec that rejects objects of more than `max_object_bytes`.
    pub fn new(max_object_bytes: usize) -> WatchCodec {
        WatchCodec {
            body: None,
            objects: JsonObjectSplitter::default(),
            max_object_bytes,
            max_entries: MAX_ENTRIES,
        }
    }

    /// Rejects objects of more than `max_entries` entries.
    pub fn with_max_entries(self, max_entries: usize) -> WatchCodec {
        WatchCodec {
            max_entries,
            ..self
        }
    }

    /// Moves the received bytes of the body to the splitter. Returns true once the body is complete.
    fn read_body(&mut self, src: &mut BytesMut) -> io::Result<bool> {
        let Some(body) = &mut self.body else {
            return Ok(false);
        };
        let max_bytes = self.max_object_bytes;
        body.read(src, self.objects.buffer(), max_bytes)
            .map_err(|error| match error {
                BodyError::MalformedChunk => {
                    invalid_data("malformed chunked encoding in the response of discovery")
                }
                BodyError::TooLarge => invalid_data(UpdateError::TooManyBytes { max_bytes }),
            })
    }
}

impl Encoder<WatchRequest> for WatchCodec {
    type Error = io::Error;

    fn encode(&mut self, request: WatchRequest, dst: &mut BytesMut) -> io::Result<()> {
        let query = request
            .from_version
            .map(|version| format!("?watch=1&from={version}"))
            .unwrap_or_default();
        let host = request.host;
        let head = format!("GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        dst.extend_from_slice(head.as_bytes());
        Ok(())
    }
}

impl Decoder for WatchCodec {
    /// A complete object; empty if input arrived without completing an object, which shows that discovery is alive.
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Bytes>> {
        if self.body.is_none() {
            self.body = parse_response_head(src)?;
        }
        if self.body.is_none() {
            return Ok(None);
        }
        let unread_before = src.len();
        let complete = self.read_body(src)?;
        if let Some(object) = self.objects.next_object() {
            return Ok(Some(object));
        }
        // Checked while an object is incomplete: a complete one exceeds the limit at most by the entries of its last read.
        if self.objects.entry_count() > self.max_entries {
            let max_entries = self.max_entries;
            return Err(invalid_data(UpdateError::OverMemoryLimit { max_entries }));
        }
        if src.len() < unread_before {
            return Ok(Some(Bytes::new()));
        }
        if complete {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(None)
    }
}

/// Consumes a response's head from `src` and returns the reader for its body; `None` if the head is incomplete. A body
/// without framing extends to the end of the connection.
fn parse_response_head(src: &mut BytesMut) -> io::Result<Option<BodyReader>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(src).map_err(|e| invalid_data(e.to_string()))?;
    let head_length = match parsed {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if src.len() <= MAX_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => {
            return Err(invalid_data(format!(
                "response head of discovery larger than {MAX_HEAD_BYTES} bytes"
            )))
        }
    };
    let status = head.code.unwrap_or_default();
    if status != STATUS_OK {
        return Err(invalid_data(WatchRejected {
            status,
            retry_after: retry_after(head.headers),
        }));
    }
    let body = body_reader(head.headers).map_err(|error| invalid_data(error.reason()))?;
    src.advance(head_length);
    Ok(Some(body.unwrap_or(BodyReader::Length(usize::MAX))))
}

/// Parses `Retry-After` as a decimal number of seconds; a date or a malformed value counts as absent.
fn retry_after(headers: &[httparse::Header]) -> Option<Duration> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("retry-after"))?;
    let value = std::str::from_utf8(header.value).ok()?;
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, error)
}
