//! Parsing of HTTP requests to typed requests.

use super::{ClientRequest, PartRequest, QueryRequest, QuerySchema};
use crate::protocol::http::{Request, RequestError};
use bytes::Bytes;
use cottonhill_decisions::Nanos;
use serde::Deserialize;
use std::collections::BTreeSet;

/// Maximum length of `X-Request-ID` in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum length of `Idempotency-Key` in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Maximum difference between 1 and the sum of a query's weights; clients round each weight.
const WEIGHT_TOLERANCE: f64 = 0.01;
/// Longer durations are reduced to this one, in nanoseconds: an hour exceeds any deadline, and sums of it don't
/// overflow.
const MAX_DURATION_NS: f64 = 3.6e12;
const NS_PER_MICROSECOND: f64 = 1e3;
const NS_PER_MILLISECOND: f64 = 1e6;

#[derive(Deserialize)]
struct QueryBody {
    shards: Vec<BodyShard>,
    #[serde(rename = "q")]
    text: String,
}

#[derive(Deserialize)]
struct BodyShard {
    shard: u32,
    weight: f64,
    #[serde(rename = "cost")]
    work_microseconds: Option<f64>,
}

/// Parses a request.
///
/// # Errors
/// The error to send to the client: an unknown path, class, tenant or shard, an unsupported method, or a missing or
/// malformed header or body.
pub fn parse(request: &Request, schema: &QuerySchema) -> Result<ClientRequest, RequestError> {
    let path = request.path.split(['?', '#']).next().unwrap_or_default();
    match path {
        "/-/ready" => require_method(request, "GET").map(|()| ClientRequest::Ready),
        "/-/stats" => require_method(request, "GET").map(|()| ClientRequest::Stats),
        _ => parse_query(request, path, schema).map(ClientRequest::Query),
    }
}

fn require_method(request: &Request, method: &'static str) -> Result<(), RequestError> {
    if request.method == method {
        Ok(())
    } else {
        Err(RequestError::method_not_allowed(method))
    }
}

fn parse_query(
    request: &Request,
    path: &str,
    schema: &QuerySchema,
) -> Result<QueryRequest, RequestError> {
    let class = parse_class(path, schema)?;
    require_method(request, "POST")?;
    let request_id = parse_request_id(request)?;
    let timeout = parse_timeout(request, class, schema)?;
    let tenant = parse_tenant(request, schema)?;
    let idempotency_key = parse_idempotency_key(request)?;
    let body: QueryBody = serde_json::from_slice(&request.body)
        .map_err(|_| RequestError::bad_request("body is not a query"))?;
    Ok(QueryRequest {
        request_id,
        class: class as u16,
        tenant: tenant as u32,
        timeout,
        client_retry: request.header("x-retried") == Some("1"),
        idempotency_key,
        parts: parse_parts(body.shards, schema.shards)?,
        text: Bytes::from(body.text),
    })
}

/// Parses the class, whose name is the first segment of the path.
fn parse_class(path: &str, schema: &QuerySchema) -> Result<usize, RequestError> {
    let segments = path.strip_prefix('/').unwrap_or_default();
    let class_name = segments.split('/').next().unwrap_or_default();
    schema
        .classes
        .iter()
        .position(|name| name == class_name)
        .ok_or(RequestError::not_found("no such class"))
}

fn parse_request_id(request: &Request) -> Result<String, RequestError> {
    let id = request
        .header("x-request-id")
        .ok_or(RequestError::bad_request("X-Request-ID is missing"))?;
    // The id becomes part of a line in the protocol to leaf servers, where a space or control character could inject
    // another field.
    let is_valid = !id.is_empty()
        && id.len() <= MAX_REQUEST_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        Ok(id.to_string())
    } else {
        Err(RequestError::bad_request(
            "X-Request-ID is not a plain word",
        ))
    }
}

fn parse_timeout(
    request: &Request,
    class: usize,
    schema: &QuerySchema,
) -> Result<Nanos, RequestError> {
    match request.header("x-timeout") {
        Some(text) => parse_duration(text).ok_or(RequestError::bad_request(
            "X-Timeout is not a number and m or u",
        )),
        None => Ok(schema
            .default_timeouts
            .get(class)
            .copied()
            .unwrap_or_default()),
    }
}

/// Parses a number followed by `m` (milliseconds) or `u` (microseconds).
fn parse_duration(text: &str) -> Option<Nanos> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let ns_per_unit = match unit {
        "m" => NS_PER_MILLISECOND,
        "u" => NS_PER_MICROSECOND,
        _ => return None,
    };
    // Only digits and a decimal point are accepted; `f64` would also parse signs, exponents and NaN.
    if !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let number: f64 = number.parse().ok()?;
    Some((number * ns_per_unit).min(MAX_DURATION_NS) as Nanos)
}

/// Parses the tenant; 0 if tenants are not distinguished.
fn parse_tenant(request: &Request, schema: &QuerySchema) -> Result<usize, RequestError> {
    if schema.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = request
        .header("x-tenant-id")
        .ok_or(RequestError::bad_request("X-Tenant-Id is missing"))?;
    // Names in the settings are normalized in the same way.
    let tenant = tenant.replace([' ', ','], "_");
    schema
        .tenants
        .iter()
        .position(|name| *name == tenant)
        .ok_or(RequestError::bad_request("unknown tenant"))
}

fn parse_idempotency_key(request: &Request) -> Result<Option<String>, RequestError> {
    match request.header("idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(
            RequestError::bad_request("Idempotency-Key is empty or too long"),
        ),
        key => Ok(key.map(str::to_string)),
    }
}

/// Parses the parts. Each shard may occur only once: a second part of a shard would have the same id at the leaf
/// server.
fn parse_parts(shards: Vec<BodyShard>, shard_count: u32) -> Result<Vec<PartRequest>, RequestError> {
    if shards.is_empty() {
        return Err(RequestError::bad_request("no shards"));
    }
    let mut requested_shards = BTreeSet::new();
    let mut parts = Vec::with_capacity(shards.len());
    for shard in shards {
        if shard.shard >= shard_count || !requested_shards.insert(shard.shard) {
            return Err(RequestError::bad_request(
                "a shard that does not exist or is named twice",
            ));
        }
        parts.push(parse_part(shard)?);
    }
    let weight_sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (weight_sum - 1.0).abs() <= WEIGHT_TOLERANCE {
        Ok(parts)
    } else {
        Err(RequestError::bad_request("weights that do not add up to 1"))
    }
}

fn parse_part(shard: BodyShard) -> Result<PartRequest, RequestError> {
    if !(0.0..=1.0 + WEIGHT_TOLERANCE).contains(&shard.weight) {
        return Err(RequestError::bad_request("a weight that is no share"));
    }
    let work = shard
        .work_microseconds
        .filter(|microseconds| *microseconds >= 0.0)
        .map(|microseconds| (microseconds * NS_PER_MICROSECOND).min(MAX_DURATION_NS) as Nanos);
    Ok(PartRequest {
        shard: shard.shard,
        weight: shard.weight,
        work,
    })
}
