//! Rendering of replies as HTTP responses.

use super::{Hit, Reply};
use crate::protocol::http::{RequestError, Response};
use serde::Serialize;

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
        Reply::Answer { complete, hits } => {
            let complete = *complete;
            json_response(200, &AnswerBody { complete, hits })
        }
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
