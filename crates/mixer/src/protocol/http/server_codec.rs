//! The codec of the server side of a connection.

use super::body::{BodyError, BodyReader};
use super::request_head::parse_request_head;
use super::{Request, RequestError, Response, MAX_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use cottonhill_decisions::Nanos;
use std::io;
use tokio_util::codec::{Decoder, Encoder};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Decodes requests and encodes responses. After a rejected request it discards all input, since the start of the next
/// request is unknown.
#[derive(Default)]
pub struct ServerCodec {
    /// The request being read, without its body, and the reader for the body.
    partial_request: Option<(Request, BodyReader)>,
    /// The bytes of the body that have been read.
    body: Vec<u8>,
    discards_input: bool,
}

impl ServerCodec {
    /// Whether the head of a request has been read but its body is incomplete.
    pub fn has_partial_request(&self) -> bool {
        self.partial_request.is_some()
    }

    /// Number of bytes held of the request being read, apart from the caller's buffer.
    pub fn held_bytes(&self) -> usize {
        let head_bytes = self
            .partial_request
            .as_ref()
            .map_or(0, |(request, _)| request.held_bytes());
        head_bytes + self.body.capacity()
    }

    /// Abandons the request being read; all further input is discarded.
    pub fn abandon_request(&mut self) {
        self.discards_input = true;
        self.partial_request = None;
        self.body = Vec::new();
    }

    fn read_request(&mut self, src: &mut BytesMut) -> Result<Option<Request>, RequestError> {
        if self.partial_request.is_none() {
            self.partial_request = parse_request_head(src)?;
        }
        let Some((_, reader)) = &mut self.partial_request else {
            return Ok(None);
        };
        let complete = reader
            .read(src, &mut self.body, MAX_BODY_BYTES)
            .map_err(body_rejection)?;
        if !complete {
            return Ok(None);
        }
        let body = Bytes::from(std::mem::take(&mut self.body));
        let request = self.partial_request.take();
        Ok(request.map(|(head, _)| Request { body, ..head }))
    }
}

fn body_rejection(error: BodyError) -> RequestError {
    match error {
        BodyError::MalformedChunk => RequestError::bad_request("bad chunk"),
        BodyError::TooLarge => RequestError::body_too_large(),
    }
}

impl Decoder for ServerCodec {
    /// A request, or the reason why it is rejected.
    type Item = Result<Request, RequestError>;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if self.discards_input {
            src.clear();
            return Ok(None);
        }
        let item = self.read_request(src).transpose();
        self.discards_input = matches!(item, Some(Err(_)));
        Ok(item)
    }

    /// A client may close the connection in the middle of a request; this is not an error.
    fn decode_eof(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, response: Response, dst: &mut BytesMut) -> io::Result<()> {
        dst.extend_from_slice(render_head(&response).as_bytes());
        dst.extend_from_slice(&response.body);
        Ok(())
    }
}

/// Renders the status line, the header fields and the empty line after them.
pub fn render_head(response: &Response) -> String {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(retry_after) = response.retry_after {
        // Rounded up so that clients do not retry too early.
        let milliseconds = retry_after.div_ceil(NANOS_PER_MILLISECOND);
        head += &format!("Retry-After: {:.3}\r\n", milliseconds as f64 / 1000.0);
    }
    if let Some(method) = response.allow {
        head += &format!("Allow: {method}\r\n");
    }
    if response.close {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    head
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
