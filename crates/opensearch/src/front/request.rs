//! One HTTP request: reads and decompresses its body, and writes and compresses its response.

use super::connection::Peer;
use super::connections::Admission;
use super::refusal::RETRY_DELAY;
use super::request_memory::RequestMemory;
use super::route::route;
use super::tracked_connection::TrackedConnection;
use super::Context;
use crate::gzip::{self, MIN_COMPRESSED_BYTES};
use crate::response::{self, RestResponse};
use crate::tenant;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderValue, ACCEPT_ENCODING, CONNECTION, CONTENT_ENCODING, CONTENT_TYPE,
    RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// The client of a request: its headers, its address and the common name of its certificate.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) headers: HeaderMap,
    pub(super) address: IpAddr,
    pub(super) certificate_name: Option<String>,
    /// The memory that its request holds.
    pub(super) memory: Rc<RequestMemory>,
}

impl Client {
    /// The value of a header, if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }
}

/// Logs a request that ends without a response: its client has disconnected, or the mixer has exited.
struct ResponseCheck {
    address: IpAddr,
    responded: bool,
}

impl Drop for ResponseCheck {
    fn drop(&mut self) {
        if !self.responded {
            tracing::debug!(address = %self.address, "search request ended without a response");
        }
    }
}

/// Handles one request; errors are responses, too.
pub(super) async fn handle(
    context: &Rc<Context>,
    peer: Peer,
    request: Request<Incoming>,
    connection: &TrackedConnection,
    memory: &Rc<RequestMemory>,
) -> Response<Full<Bytes>> {
    let mut response_check = ResponseCheck {
        address: peer.address,
        responded: false,
    };
    let received_at = context.queries.now();
    let head = request.method() == Method::HEAD;
    let (parts, body) = request.into_parts();
    let opaque_id = parts.headers.get("x-opaque-id").cloned();
    let has_memory = memory.reserve_body(&body.size_hint(), context.front.max_body_bytes);
    let body = if has_memory {
        connection.set_reading_body(true);
        let body = tokio::select! {
            biased;
            body = read_body(context, &parts, body, connection.deadline()) => body,
            refusal = connection.body_refused() => Err(refusal.response()),
        };
        connection.set_reading_body(false);
        body
    } else {
        Err(response::rejected(Some(RETRY_DELAY)))
    };
    let mut response = match body {
        Err(error) => write_response(error, head),
        Ok(_) if connection.on_request_received() == Admission::Refused => refuse(head),
        Ok(body) => serve(context, received_at, peer, &parts, &body, memory).await,
    };
    if let Some(opaque_id) = opaque_id {
        response.headers_mut().insert("x-opaque-id", opaque_id);
    }
    if connection.closes_after_response() {
        close_after(&mut response);
    }
    response_check.responded = true;
    response
}

/// Serves a complete request.
async fn serve(
    context: &Rc<Context>,
    received_at: u64,
    peer: Peer,
    parts: &Parts,
    body: &Bytes,
    memory: &Rc<RequestMemory>,
) -> Response<Full<Bytes>> {
    let head = parts.method == Method::HEAD;
    let forwarded: Vec<&str> = parts
        .headers
        .get_all("x-forwarded-for")
        .iter()
        .filter_map(|line| line.to_str().ok())
        .collect();
    let address = tenant::client_address(peer.address, &forwarded, &context.front.trusted_proxies);
    let client = Client {
        headers: parts.headers.clone(),
        address,
        certificate_name: peer.certificate_name,
        memory: memory.clone(),
    };
    match route(context, received_at, parts, &client, body).await {
        Ok(_) if head => json_response(200, Vec::new()),
        Ok(bytes) if accepts_gzip(&parts.headers) => compressed_response(bytes),
        Ok(bytes) => json_response(200, bytes),
        Err(error) => write_response(error, head),
    }
}

fn accepts_gzip(headers: &HeaderMap) -> bool {
    header_text(headers, ACCEPT_ENCODING.as_str())
        .is_some_and(|encodings| encodings.contains("gzip"))
}

/// The response with this body, compressed unless the body is short.
fn compressed_response(bytes: Vec<u8>) -> Response<Full<Bytes>> {
    let compressed = (bytes.len() >= MIN_COMPRESSED_BYTES)
        .then(|| gzip::compress(&bytes))
        .flatten();
    let Some(compressed) = compressed else {
        return json_response(200, bytes);
    };
    let mut response = json_response(200, compressed);
    response
        .headers_mut()
        .insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Refuses a request that exceeds the connection limit, and closes its connection.
fn refuse(head: bool) -> Response<Full<Bytes>> {
    let mut response = write_response(response::rejected(Some(RETRY_DELAY)), head);
    close_after(&mut response);
    response
}

/// Has hyper close the connection after the response.
fn close_after(response: &mut Response<Full<Bytes>>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Reads the complete body, which has to arrive by `deadline`, and decompresses it.
async fn read_body(
    context: &Context,
    parts: &Parts,
    body: Incoming,
    deadline: Option<Instant>,
) -> Result<Bytes, RestResponse> {
    let max_bytes = context.front.max_body_bytes;
    let too_large = |reason: &str| response::error(413, "illegal_argument_exception", reason);
    let deadline = deadline.unwrap_or_else(Instant::now);
    let body = match timeout_at(deadline, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            return Err(too_large(&format!(
                "the body is cut short or longer than {max_bytes} bytes"
            )))
        }
        Err(_) => {
            return Err(response::error(
                408,
                "timeout_exception",
                "the body took too long",
            ))
        }
    };
    match header_text(&parts.headers, CONTENT_ENCODING.as_str()) {
        None | Some("identity") => Ok(body),
        Some("gzip") => gzip::decompress(&body, max_bytes)
            .map(Bytes::from)
            .map_err(|reason| too_large(&reason)),
        Some(other) => {
            let reason = format!("Content-Encoding [{other}] is not supported; gzip is");
            Err(response::error(415, "illegal_argument_exception", &reason))
        }
    }
}

/// Writes a response; one to a HEAD request has no body.
fn write_response(rest_response: RestResponse, head: bool) -> Response<Full<Bytes>> {
    let retry_after = rest_response.retry_after;
    let body = if head {
        Vec::new()
    } else {
        serde_json::to_vec(&rest_response.body).unwrap_or_default()
    };
    let mut response = json_response(rest_response.status, body);
    if let Some(retry_after) = retry_after {
        // The header has whole seconds, as OpenSearch clients expect; the reason in the body has the milliseconds.
        let seconds = HeaderValue::from(retry_after.as_millis().div_ceil(1000) as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn json_response(status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/json; charset=UTF-8"),
    );
    response
}
