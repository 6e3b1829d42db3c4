//! HTTP/1.1 with clients and with discovery: a server codec for whole requests and a client codec for one watch. Bodies
//! have a length or come in chunks.

use super::endpoint_updates::{JsonObjectSplitter, UpdateError, MAX_UPDATE_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use cottonhill_decisions::Nanos;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder};

/// Bytes of the largest body of a request.
pub const MOST_BODY: usize = 64 * 1024;
/// Bytes of the largest head, which has to fit in one buffer of the pool.
pub const MOST_HEAD: usize = 8 * 1024;
/// Header fields that a head may have.
const MOST_HEADERS: usize = 64;
/// Bytes of the longest size line of a chunk, with its extensions.
const MOST_CHUNK_LINE: usize = 256;

/// Why a request can't be used, and the status of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The reason in the response's body; with 405, the method that is allowed.
    pub reason: &'static str,
}

/// A rejection with status 400.
pub const fn bad(reason: &'static str) -> RequestError {
    RequestError {
        status: 400,
        reason,
    }
}

/// One whole request; the last byte of its body has been read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// The client allows another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The value of the first header field of this name, which has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }
}

/// One whole response, with a JSON body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// `Retry-After`, in nanoseconds; rounded up to milliseconds when it is written.
    pub retry_after: Option<Nanos>,
    /// `Allow`: the method that is allowed.
    pub allow: Option<&'static str>,
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub close: bool,
}

/// What comes next of a body. It is read piece by piece, so that a connection's buffer never contains more than a head.
#[derive(Debug, PartialEq)]
enum Body {
    Length(usize),
    ChunkLine,
    ChunkData(usize),
    ChunkEnd,
    Trailer,
    Done,
}

/// What is wrong with a body; the status depends on who reads it.
#[derive(Debug, PartialEq)]
enum Broken {
    Chunk,
    TooLarge,
}

impl Body {
    /// Moves what has arrived of the body from `src` to `out`, which may grow to `most` bytes; true once the body is
    /// whole.
    fn read(
        &mut self,
        src: &mut BytesMut,
        out: &mut BytesMut,
        most: usize,
    ) -> Result<bool, Broken> {
        loop {
            match self {
                Body::Length(left) | Body::ChunkData(left) => {
                    let n = (*left).min(src.len());
                    if out.len() + n > most {
                        return Err(Broken::TooLarge);
                    }
                    out.extend_from_slice(&src[..n]);
                    src.advance(n);
                    *left -= n;
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = if matches!(self, Body::Length(_)) {
                        Body::Done
                    } else {
                        Body::ChunkEnd
                    };
                }
                Body::ChunkLine => match httparse::parse_chunk_size(src) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        src.advance(line);
                        let size = usize::try_from(size).map_err(|_| Broken::TooLarge)?;
                        *self = if size == 0 {
                            Body::Trailer
                        } else {
                            Body::ChunkData(size)
                        };
                    }
                    Ok(httparse::Status::Partial) if src.len() <= MOST_CHUNK_LINE => {
                        return Ok(false)
                    }
                    _ => return Err(Broken::Chunk),
                },
                Body::ChunkEnd => {
                    if src.len() < 2 {
                        return Ok(false);
                    }
                    if &src[..2] != b"\r\n" {
                        return Err(Broken::Chunk);
                    }
                    src.advance(2);
                    *self = Body::ChunkLine;
                }
                Body::Trailer => match src.iter().position(|b| *b == b'\n') {
                    Some(end) => {
                        let empty = matches!(&src[..end], b"" | b"\r");
                        src.advance(end + 1);
                        *self = if empty { Body::Done } else { Body::Trailer };
                    }
                    None if src.len() <= MOST_HEAD => return Ok(false),
                    None => return Err(Broken::Chunk),
                },
                Body::Done => return Ok(true),
            }
        }
    }
}

/// How a body is framed, by the headers; `None` where they state neither a length nor chunks.
fn framing(headers: &[httparse::Header]) -> Result<Option<Body>, &'static str> {
    let mut body = None;
    for header in headers {
        let value = header.value.trim_ascii();
        let found = if header.name.eq_ignore_ascii_case("content-length") {
            // Digits only: a sign or a list here is how requests are smuggled past a front.
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)
                .ok_or("bad length")?;
            // A length that overflows is too large, not malformed.
            Body::Length(text.parse().unwrap_or(usize::MAX))
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") {
                return Err("unknown transfer encoding");
            }
            Body::ChunkLine
        } else {
            continue;
        };
        if body.as_ref().is_some_and(|b| *b != found) {
            return Err("two lengths");
        }
        body = Some(found);
    }
    Ok(body)
}

/// The server's side of one connection. After a rejection it reads nothing more, as where the next request begins is
/// not known.
#[derive(Default)]
pub struct ServerCodec {
    head: Option<(Request, Body)>,
    body: BytesMut,
    dead: bool,
}

impl ServerCodec {
    /// Part of a request has been read.
    pub fn in_request(&self) -> bool {
        self.head.is_some()
    }

    /// A request was rejected; what still comes is discarded.
    pub fn is_dead(&self) -> bool {
        self.dead
    }

    /// Stops waiting for the request that is being read; what still comes is discarded.
    pub fn give_up(&mut self) {
        self.dead = true;
    }

    fn read_head(src: &mut BytesMut) -> Result<Option<(Request, Body)>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(&src[..src.len().min(MOST_HEAD)]) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if src.len() < MOST_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                return Err(RequestError {
                    status: 431,
                    reason: "head too large",
                });
            }
            Err(_) => return Err(bad("not an HTTP/1.1 request")),
        };
        let body = framing(parsed.headers)
            .map_err(bad)?
            .unwrap_or(Body::Length(0));
        if matches!(body, Body::Length(n) if n > MOST_BODY) {
            return Err(RequestError {
                status: 413,
                reason: "body too large",
            });
        }
        let headers: Vec<(String, String)> = parsed
            .headers
            .iter()
            .map(|h| {
                let value = std::str::from_utf8(h.value).map_err(|_| bad("header is not UTF-8"))?;
                Ok((h.name.to_ascii_lowercase(), value.trim().to_string()))
            })
            .collect::<Result<_, RequestError>>()?;
        let connection = headers
            .iter()
            .find(|(n, _)| n == "connection")
            .map(|(_, v)| v.to_ascii_lowercase());
        let keep_alive = match connection.as_deref() {
            Some(words) if words.contains("close") => false,
            Some(words) if words.contains("keep-alive") => true,
            _ => parsed.version == Some(1),
        };
        let (method, path) = (
            parsed.method.unwrap_or_default(),
            parsed.path.unwrap_or_default(),
        );
        let (method, path) = (method.to_string(), path.to_string());
        src.advance(length);
        Ok(Some((
            Request {
                method,
                path,
                headers,
                body: Bytes::new(),
                keep_alive,
            },
            body,
        )))
    }

    fn read(&mut self, src: &mut BytesMut) -> Result<Option<Request>, RequestError> {
        if self.head.is_none() {
            self.head = Self::read_head(src)?;
        }
        let Some((_, body)) = &mut self.head else {
            return Ok(None);
        };
        let whole = body
            .read(src, &mut self.body, MOST_BODY)
            .map_err(|broken| match broken {
                Broken::Chunk => bad("bad chunk"),
                Broken::TooLarge => RequestError {
                    status: 413,
                    reason: "body too large",
                },
            })?;
        if !whole {
            return Ok(None);
        }
        let body = std::mem::take(&mut self.body).freeze();
        Ok(self.head.take().map(|(head, _)| Request { body, ..head }))
    }
}

impl Decoder for ServerCodec {
    type Item = Result<Request, RequestError>;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if self.dead {
            src.clear();
            return Ok(None);
        }
        let item = self.read(src).transpose();
        self.dead = matches!(item, Some(Err(_)));
        Ok(item)
    }

    /// A client may close in the middle of a request; that is its end, not an error.
    fn decode_eof(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        let item = self.decode(src)?;
        if item.is_none() {
            src.clear();
        }
        Ok(item)
    }
}

fn reason(status: u16) -> &'static str {
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

impl Encoder<Response> for ServerCodec {
    type Error = io::Error;

    fn encode(&mut self, response: Response, dst: &mut BytesMut) -> io::Result<()> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            response.status,
            reason(response.status),
            response.body.len()
        );
        if let Some(after) = response.retry_after {
            // Milliseconds, rounded up: a client must not come back early.
            head += &format!(
                "Retry-After: {:.3}\r\n",
                after.div_ceil(1_000_000) as f64 / 1000.0
            );
        }
        if let Some(allow) = response.allow {
            head += &format!("Allow: {allow}\r\n");
        }
        if response.close {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        dst.extend_from_slice(head.as_bytes());
        dst.extend_from_slice(&response.body);
        Ok(())
    }
}

/// A request to discovery for a watch on the list of replicas, or for the whole list once.
pub struct WatchRequest {
    /// The value of `Host`.
    pub host: String,
    /// The version from which on changes are sent; `None` for the whole list.
    pub from: Option<u64>,
}

/// The client's side of one watch: sends one request, then reads JSON objects as they come.
pub struct WatchCodec {
    body: Option<Body>,
    objects: JsonObjectSplitter,
    /// The most bytes of one object.
    most: usize,
}

impl Default for WatchCodec {
    fn default() -> WatchCodec {
        WatchCodec::new(MAX_UPDATE_BYTES)
    }
}

impl Encoder<WatchRequest> for WatchCodec {
    type Error = io::Error;

    fn encode(&mut self, watch: WatchRequest, dst: &mut BytesMut) -> io::Result<()> {
        let WatchRequest { host, from } = watch;
        let watch = from
            .map(|from| format!("?watch=1&from={from}"))
            .unwrap_or_default();
        let text = format!("GET /api/targets{watch} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        dst.extend_from_slice(text.as_bytes());
        Ok(())
    }
}

/// Discovery answered with a status other than 200.
#[derive(Debug, PartialEq)]
pub struct WatchRejected {
    /// The HTTP status.
    pub status: u16,
    /// The least wait before the next try, where discovery states one.
    pub retry_after: Option<Duration>,
}

impl std::error::Error for WatchRejected {}

impl std::fmt::Display for WatchRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "discovery answered {}", self.status)?;
        self.retry_after.map_or(Ok(()), |after| {
            write!(f, ", to come back in {} ms", after.as_millis())
        })
    }
}

/// `Retry-After` in seconds, whole or decimal; a date or a malformed value counts as none.
fn retry_after(headers: &[httparse::Header]) -> Option<Duration> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("retry-after"))?;
    let seconds: f64 = std::str::from_utf8(header.value)
        .ok()?
        .trim()
        .parse()
        .ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn invalid(why: impl Into<String>) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why.into())
}

impl WatchCodec {
    /// One that reads objects of at most so many bytes.
    pub fn new(most: usize) -> WatchCodec {
        WatchCodec {
            body: None,
            objects: JsonObjectSplitter::default(),
            most,
        }
    }

    fn read_head(src: &mut BytesMut) -> io::Result<Option<Body>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(src).map_err(|e| invalid(e.to_string()))? {
            httparse::Status::Complete(length) => {
                let status = parsed.code.unwrap_or_default();
                if status != 200 {
                    let retry_after = retry_after(parsed.headers);
                    let why = WatchRejected {
                        status,
                        retry_after,
                    };
                    return Err(io::Error::new(ErrorKind::InvalidData, why));
                }
                let body = framing(parsed.headers).map_err(invalid)?;
                src.advance(length);
                Ok(Some(body.unwrap_or(Body::Length(usize::MAX))))
            }
            httparse::Status::Partial if src.len() <= MOST_HEAD => Ok(None),
            httparse::Status::Partial => Err(invalid("head too large")),
        }
    }
}

impl Decoder for WatchCodec {
    /// One whole object, or no bytes where an object is not whole yet: that discovery sends at all shows that it is
    /// alive.
    type Item = Bytes;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Bytes>> {
        if self.body.is_none() {
            self.body = Self::read_head(src)?;
        }
        let Some(body) = &mut self.body else {
            return Ok(None);
        };
        let before = src.len();
        let most = self.most;
        let whole = body
            .read(src, self.objects.buffer(), most)
            .map_err(|broken| match broken {
                Broken::Chunk => invalid("bad chunk"),
                Broken::TooLarge => {
                    io::Error::new(ErrorKind::InvalidData, UpdateError::TooManyBytes { most })
                }
            })?;
        let object = self
            .objects
            .whole()
            .or((src.len() < before).then(Bytes::new));
        if object.is_none() && whole {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(object)
    }
}
