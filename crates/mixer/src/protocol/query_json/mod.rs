//! The native protocol over HTTP: requests parsed to typed queries, and replies rendered as responses. A front of
//! another protocol makes the same [`QueryRequest`] from its own requests and renders the same [`Reply`].

mod render;
mod request;

pub use render::render;
pub use request::parse;

use super::http::RequestError;
use bytes::Bytes;
use cottonhill_decisions::Nanos;
use serde::Serialize;

/// The names that requests use for classes and tenants, and the bounds of a query.
#[derive(Clone, Debug, Default)]
pub struct QuerySchema {
    /// Names of the classes, by their numbers.
    pub classes: Vec<String>,
    /// Names of the tenants, by their numbers; empty where tenants are not distinguished.
    pub tenants: Vec<String>,
    /// By class: the client's timeout if the request states none, in nanoseconds.
    pub default_timeouts: Vec<Nanos>,
    /// By class: least fraction of the weight that any answer needs.
    pub minimum_coverages: Vec<f64>,
    /// How many shards there are; they are numbered from 0.
    pub shards: u32,
}

/// One part of a query: a shard to search.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard's number.
    pub shard: u32,
    /// Fraction of the complete answer; the weights of a query add up to 1.
    pub weight: f64,
    /// The client's estimate of the work, in nanoseconds.
    pub work: Option<Nanos>,
}

/// One query, whatever protocol brought it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id for it; its parts' ids begin with it.
    pub request_id: String,
    /// The class's index in [`QuerySchema::classes`].
    pub class: u16,
    /// The tenant's index in [`QuerySchema::tenants`]; 0 where there are none.
    pub tenant: u32,
    /// How long the client waits from when it sent the query, in nanoseconds.
    pub timeout: Nanos,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// The client's idempotency key, the same on each of its retries.
    pub idempotency_key: Option<String>,
    /// The parts, at most one for each shard.
    pub parts: Vec<PartRequest>,
    /// The text that leaf servers get.
    pub text: Bytes,
}

/// A valid request of a client.
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
    /// The shard's number.
    pub shard: u32,
    /// The value that the leaf server returned.
    pub doc: String,
}

/// The one reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// A query's answer, complete or partial.
    Answer {
        /// Whether the weight of the answered parts reaches the class's completeness threshold.
        complete: bool,
        /// One hit for each part that was answered.
        hits: Vec<Hit>,
    },
    /// The query was rejected because of overload.
    Rejected {
        /// `Retry-After` in nanoseconds, if the client may retry.
        retry_after: Option<Nanos>,
    },
    /// The query failed.
    Failed,
    /// Whether the mixer is ready.
    Ready(bool),
    /// The counters, as JSON.
    Stats(Vec<u8>),
    /// The request is invalid.
    InvalidRequest(RequestError),
}
