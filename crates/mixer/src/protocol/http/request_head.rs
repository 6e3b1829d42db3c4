//! Parsing of the request line and header fields.

use super::body::BodyReader;
use super::framing::body_reader;
use super::{Request, RequestError, MAX_BODY_BYTES, MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// Consumes a request's head from `src`. Returns the request without its body, and the reader for the body; `None` if
/// the head is incomplete.
pub(super) fn parse_request_head(
    src: &mut BytesMut,
) -> Result<Option<(Request, BodyReader)>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(&src[..src.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if src.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::head_too_large());
        }
        Err(_) => return Err(RequestError::bad_request("not an HTTP/1.1 request")),
    };
    let body = request_body_reader(head.headers)?;
    let headers = owned_headers(head.headers)?;
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        keep_alive: allows_keep_alive(&headers, head.version),
        headers,
        body: Bytes::new(),
    };
    src.advance(head_length);
    Ok(Some((request, body)))
}

/// Returns the reader for the body of a request. A request whose header fields define no framing has no body.
fn request_body_reader(headers: &[httparse::Header]) -> Result<BodyReader, RequestError> {
    match body_reader(headers) {
        Ok(Some(BodyReader::Length(length))) if length > MAX_BODY_BYTES => {
            Err(RequestError::body_too_large())
        }
        Ok(reader) => Ok(reader.unwrap_or(BodyReader::Length(0))),
        Err(error) => Err(RequestError::bad_request(error.reason())),
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Result<Vec<(String, String)>, RequestError> {
    let mut owned = Vec::with_capacity(headers.len());
    for header in headers {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| RequestError::bad_request("header is not UTF-8"))?;
        owned.push((header.name.to_ascii_lowercase(), value.trim().to_string()));
    }
    Ok(owned)
}

/// Whether the connection may stay open after the response, according to `Connection`, or to the HTTP version if that
/// is absent.
fn allows_keep_alive(headers: &[(String, String)], minor_version: Option<u8>) -> bool {
    let connection = headers
        .iter()
        .find(|(name, _)| name == "connection")
        .map(|(_, value)| value.to_ascii_lowercase());
    match connection.as_deref() {
        Some(options) if options.contains("close") => false,
        Some(options) if options.contains("keep-alive") => true,
        _ => minor_version == Some(1),
    }
}
