//! One HTTP request: its body read and unpacked, its answer packed and rendered.

use super::route::route;
use super::{Context, Peer};
use crate::packed::{self, WORTH_PACKING};
use crate::shape::{self, Answer};
use crate::tenant;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{
    HeaderMap, HeaderValue, ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE, RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A body that has begun is whole within this.
const WHOLE_BODY: Duration = Duration::from_secs(2);

/// The client that asks: the request's headers, and the client's own address.
#[derive(Clone)]
pub(super) struct Caller {
    pub(super) headers: HeaderMap,
    pub(super) address: IpAddr,
    pub(super) name: Option<String>,
}

impl Caller {
    /// The value of a header field, if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        text_of(&self.headers, name)
    }
}

/// The response to one request, whatever becomes of it.
pub(super) async fn handle(
    context: &Rc<Context>,
    peer: Peer,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = context.queries.now();
    let head = request.method() == Method::HEAD;
    let (parts, body) = request.into_parts();
    let accepts =
        text_of(&parts.headers, ACCEPT_ENCODING.as_str()).is_some_and(|all| all.contains("gzip"));
    let opaque = parts.headers.get("x-opaque-id").cloned();
    let mut response = match body_of(context, &parts, body).await {
        Err(answer) => response(answer, head),
        Ok(body) => {
            let forwarded: Vec<&str> = parts
                .headers
                .get_all("x-forwarded-for")
                .iter()
                .filter_map(|line| line.to_str().ok())
                .collect();
            let address = tenant::client(peer.address, &forwarded, &context.front.proxies);
            let caller = Caller {
                headers: parts.headers.clone(),
                address,
                name: peer.name,
            };
            match route(context, arrived, &parts, &caller, &body).await {
                Ok(_) if head => bytes_response(200, Vec::new()),
                Ok(bytes) if accepts && bytes.len() >= WORTH_PACKING => {
                    match packed::pack(&bytes) {
                        Some(short) => {
                            let mut response = bytes_response(200, short);
                            response
                                .headers_mut()
                                .insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
                            response
                        }
                        None => bytes_response(200, bytes),
                    }
                }
                Ok(bytes) => bytes_response(200, bytes),
                Err(answer) => response(answer, head),
            }
        }
    };
    if let Some(opaque) = opaque {
        response.headers_mut().insert("x-opaque-id", opaque);
    }
    response
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The whole body, unpacked.
async fn body_of(context: &Context, parts: &Parts, body: Incoming) -> Result<Bytes, Answer> {
    let most = context.front.most_body;
    let too_long = |reason: &str| shape::error(413, "illegal_argument_exception", reason);
    let body = match timeout(WHOLE_BODY, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            return Err(too_long(&format!(
                "the body is cut short or longer than {most} bytes"
            )))
        }
        Err(_) => {
            return Err(shape::error(
                408,
                "timeout_exception",
                "the body took too long",
            ))
        }
    };
    match text_of(&parts.headers, CONTENT_ENCODING.as_str()) {
        None | Some("identity") => Ok(body),
        Some("gzip") => packed::unpack(&body, most)
            .map(Bytes::from)
            .map_err(|why| too_long(&why)),
        Some(other) => {
            let reason = format!("Content-Encoding [{other}] is not supported; gzip is");
            Err(shape::error(415, "illegal_argument_exception", &reason))
        }
    }
}

fn response(answer: Answer, head: bool) -> Response<Full<Bytes>> {
    let after = answer.retry_after;
    let body = if head {
        Vec::new()
    } else {
        serde_json::to_vec(&answer.body).unwrap_or_default()
    };
    let mut response = bytes_response(answer.status, body);
    if let Some(after) = after {
        // Whole seconds, as clients of this protocol read them; the reason tells the milliseconds.
        let seconds = HeaderValue::from(after.as_millis().div_ceil(1000) as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn bytes_response(status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/json; charset=UTF-8"),
    );
    response
}
