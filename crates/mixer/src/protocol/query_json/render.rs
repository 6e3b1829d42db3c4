//! Rendering of replies as HTTP responses.

use super::LARGE_RESPONSE_BYTES;
use super::{Hit, Reply};
use crate::protocol::http::{RequestError, Response};
use serde::Serialize;
use std::io::{self, Write};

/// Size of an answer besides its hits, and of a hit besides its value, in bytes: at most.
const MAX_ANSWER_FRAME_BYTES: usize = 32;
const MAX_HIT_FRAME_BYTES: usize = 32;
/// A character of a value may become an escape of this length.
const MAX_ESCAPE_BYTES: usize = 6;

#[derive(Serialize)]
struct AnswerBody<'a> {
    complete: bool,
    hits: &'a [Hit],
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Renders a reply; with `close`, the connection is closed after it.
pub fn render(reply: &Reply, close: bool) -> Response {
    let response = match reply {
        Reply::Answer { complete, hits } => answer(*complete, hits),
        Reply::Rejected { retry_after } => Response {
            retry_after: *retry_after,
            ..error_response(503, "refused, try again")
        },
        Reply::Failed => error_response(504, "failed"),
        Reply::Ready(true) => response(200, b"{\"ready\":true}".to_vec()),
        Reply::Ready(false) => response(503, b"{\"ready\":false}".to_vec()),
        Reply::Stats(json) => response(200, json.clone()),
        Reply::InvalidRequest(error) => invalid_request(error),
    };
    Response { close, ..response }
}

/// The length of the answer with these hits, or an upper bound of at most [`LARGE_RESPONSE_BYTES`].
pub fn answer_length(hits: &[Hit]) -> usize {
    let hit_length = |hit: &Hit| MAX_HIT_FRAME_BYTES + MAX_ESCAPE_BYTES * hit.doc.len();
    let bound = MAX_ANSWER_FRAME_BYTES + hits.iter().map(hit_length).sum::<usize>();
    if bound <= LARGE_RESPONSE_BYTES {
        return bound;
    }
    let mut counter = ByteCounter(0);
    let body = AnswerBody {
        complete: false,
        hits,
    };
    // Neither the serialization nor the counter can fail.
    let _ = serde_json::to_writer(&mut counter, &body);
    counter.0
}

/// Counts the bytes that are written to it.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn answer(complete: bool, hits: &[Hit]) -> Response {
    // Allocated at once: a large buffer that grows would take up to twice as much.
    let mut body = Vec::with_capacity(answer_length(hits));
    // Serialization of this type can't fail.
    let _ = serde_json::to_writer(&mut body, &AnswerBody { complete, hits });
    response(200, body)
}

fn invalid_request(error: &RequestError) -> Response {
    match error.status {
        405 => Response {
            allow: Some(error.reason),
            ..error_response(405, "method not allowed")
        },
        status => error_response(status, error.reason),
    }
}

fn error_response(status: u16, error: &str) -> Response {
    json_response(status, &ErrorBody { error })
}

fn json_response(status: u16, body: &impl Serialize) -> Response {
    // Serialization of these types can't fail.
    response(status, serde_json::to_vec(body).unwrap_or_default())
}

fn response(status: u16, body: Vec<u8>) -> Response {
    Response {
        status,
        body,
        ..Response::default()
    }
}
