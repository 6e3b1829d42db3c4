//! The native protocol over HTTP: requests to typed queries, and replies to responses. A front of another protocol
//! makes the same [`ClientRequest`] from its own requests and renders the same [`Reply`].

use super::http::{bad, Request, RequestError, Response};
use bytes::Bytes;
use cottonhill_decisions::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Names by which requests speak of classes and tenants, and the bounds of a query.
#[derive(Clone, Debug, Default)]
pub struct QuerySchema {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// For each class, the client's timeout where the request states none, in nanoseconds.
    pub default_timeouts: Vec<Nanos>,
    /// For each class, the least share of the weight that an answer may rest on.
    pub minimum_coverages: Vec<f64>,
    /// How many shards there are; they are numbered from 0.
    pub shards: u32,
}

/// One part of a query: a shard to search.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    pub shard: u32,
    /// Its share of the whole answer; the shares of a query add up to 1.
    pub weight: f64,
    /// The client's estimate of the work, in nanoseconds.
    pub work: Option<Nanos>,
}

/// One query, whatever protocol brought it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's name for it; its parts' names begin with it.
    pub request_id: String,
    /// The class's index in [`QuerySchema::classes`].
    pub class: u16,
    /// The tenant's index in [`QuerySchema::tenants`]; 0 where there are none.
    pub tenant: u32,
    /// How long the client waits from when it sent the query, in nanoseconds.
    pub timeout: Nanos,
    /// The client marked it as a repeat of an earlier try.
    pub client_retry: bool,
    /// The client's own name for a use, the same on each of its tries.
    pub idempotency_key: Option<String>,
    pub parts: Vec<PartRequest>,
    pub text: Bytes,
}

/// A request that can be used.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// A query to run.
    Query(QueryRequest),
    /// Whether the mixer is ready.
    Ready,
    /// The counters.
    Stats,
}

/// What one shard contributes to an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hit {
    pub shard: u32,
    /// The value that the leaf server returned.
    pub doc: String,
}

/// The one reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A query's answer from all of its parts, or from enough of them.
    Answer {
        /// Whether all parts are in it.
        complete: bool,
        hits: Vec<Hit>,
    },
    /// The query is refused for now.
    Rejected {
        /// After how many nanoseconds the client may try again, if that is known.
        retry_after: Option<Nanos>,
    },
    /// The query failed.
    Failed,
    /// Whether the mixer is ready.
    Ready(bool),
    /// The counters, as JSON.
    Stats(Vec<u8>),
    /// The request could not be used.
    InvalidRequest(RequestError),
}

#[derive(Deserialize)]
struct Body {
    shards: Vec<Shard>,
    q: String,
}

#[derive(Deserialize)]
struct Shard {
    shard: u32,
    weight: f64,
    /// Microseconds.
    cost: Option<f64>,
}

/// Parses a request.
///
/// # Errors
/// The rejection that the client is sent: an unknown path, class, tenant or shard, a wrong method, or a header or body
/// that is missing or malformed.
pub fn parse(request: &Request, names: &QuerySchema) -> Result<ClientRequest, RequestError> {
    let path = request.path.split(['?', '#']).next().unwrap_or_default();
    let wanted = |method: &'static str, asked: ClientRequest| {
        let fits = request.method == method;
        fits.then_some(asked).ok_or(RequestError {
            status: 405,
            reason: "GET",
        })
    };
    match path {
        "/-/ready" => return wanted("GET", ClientRequest::Ready),
        "/-/stats" => return wanted("GET", ClientRequest::Stats),
        _ => {}
    }
    let first = path
        .strip_prefix('/')
        .unwrap_or_default()
        .split('/')
        .next()
        .unwrap_or_default();
    let class = names.classes.iter().position(|name| name == first);
    let class = class.ok_or(RequestError {
        status: 404,
        reason: "no such class",
    })?;
    if request.method != "POST" {
        return Err(RequestError {
            status: 405,
            reason: "POST",
        });
    }
    let name = request
        .header("x-request-id")
        .ok_or(bad("X-Request-ID is missing"))?;
    // It becomes a part of lines between mixer and leaf server: a blank or a control character could forge another.
    if name.is_empty() || name.len() > 128 || !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad("X-Request-ID is not a plain word"));
    }
    let timeout = match request.header("x-timeout") {
        Some(text) => duration(text).ok_or(bad("X-Timeout is not a number and m or u"))?,
        None => names
            .default_timeouts
            .get(class)
            .copied()
            .unwrap_or_default(),
    };
    let tenant = match request.header("x-tenant-id") {
        Some(tenant) if !names.tenants.is_empty() => {
            let tenant = tenant.replace([' ', ','], "_");
            names
                .tenants
                .iter()
                .position(|name| *name == tenant)
                .ok_or(bad("unknown tenant"))?
        }
        None if !names.tenants.is_empty() => return Err(bad("X-Tenant-Id is missing")),
        _ => 0,
    };
    let idempotency_key = match request.header("idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MOST_KEY => {
            return Err(bad("Idempotency-Key is empty or too long"))
        }
        key => key.map(str::to_string),
    };
    let body: Body =
        serde_json::from_slice(&request.body).map_err(|_| bad("body is not a query"))?;
    Ok(ClientRequest::Query(QueryRequest {
        request_id: name.to_string(),
        class: class as u16,
        tenant: tenant as u32,
        timeout,
        client_retry: request.header("x-retried") == Some("1"),
        idempotency_key,
        parts: parts(body.shards, names.shards)?,
        text: Bytes::from(body.q),
    }))
}

/// Bytes that an `Idempotency-Key` may have.
const MOST_KEY: usize = 128;

/// How far the sum of a query's weights may be off 1, as each is rounded.
const ROUNDING: f64 = 0.01;

/// The parts, each shard once: a second part of one shard would have the same id at the leaf server.
fn parts(shards: Vec<Shard>, most: u32) -> Result<Vec<PartRequest>, RequestError> {
    let mut seen = BTreeSet::new();
    if shards.is_empty() {
        return Err(bad("no shards"));
    }
    let part = |s: Shard| {
        if s.shard >= most || !seen.insert(s.shard) {
            return Err(bad("a shard that does not exist or is named twice"));
        }
        if !(0.0..=1.0 + ROUNDING).contains(&s.weight) {
            return Err(bad("a weight that is no share"));
        }
        let work = s
            .cost
            .filter(|c| *c >= 0.0)
            .map(|c| (c * 1e3).min(LONGEST) as Nanos);
        Ok(PartRequest {
            shard: s.shard,
            weight: s.weight,
            work,
        })
    };
    let parts: Vec<PartRequest> = shards.into_iter().map(part).collect::<Result<_, _>>()?;
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    let fits = (sum - 1.0).abs() <= ROUNDING;
    fits.then_some(parts)
        .ok_or(bad("weights that do not add up to 1"))
}

/// The longest time that is kept, in nanoseconds: an hour exceeds any deadline or work, and sums of it don't overflow.
const LONGEST: f64 = 3.6e12;

/// A number followed by `m` (milliseconds) or `u` (microseconds).
fn duration(text: &str) -> Option<Nanos> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => 1e6,
        "u" => 1e3,
        _ => return None,
    };
    // Digits and a point only: signs, exponents and NaN would parse as numbers, too.
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = number.parse().ok().filter(|_| plain)?;
    Some((number * unit).min(LONGEST) as Nanos)
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    complete: bool,
    hits: &'a [Hit],
}

/// A JSON body with an error's text.
fn note(text: &str) -> Vec<u8> {
    serde_json::to_vec(&serde_json::json!({ "error": text })).unwrap_or_default()
}

/// Renders a reply; with `close`, the connection ends after it.
pub fn render(reply: &Reply, close: bool) -> Response {
    let plain = |status: u16, body: Vec<u8>| Response {
        status,
        body,
        close,
        ..Response::default()
    };
    match reply {
        Reply::Answer { complete, hits } => {
            let body = serde_json::to_vec(&AnswerBody {
                complete: *complete,
                hits,
            });
            plain(200, body.unwrap_or_default())
        }
        Reply::Rejected { retry_after } => Response {
            retry_after: *retry_after,
            ..plain(503, note("refused, try again"))
        },
        Reply::Failed => plain(504, note("failed")),
        Reply::Ready(true) => plain(200, b"{\"ready\":true}".to_vec()),
        Reply::Ready(false) => plain(503, b"{\"ready\":false}".to_vec()),
        Reply::Stats(text) => plain(200, text.clone()),
        Reply::InvalidRequest(RequestError {
            status: 405,
            reason,
        }) => Response {
            allow: Some(reason),
            ..plain(405, note("method not allowed"))
        },
        Reply::InvalidRequest(RequestError { status, reason }) => plain(*status, note(reason)),
    }
}
