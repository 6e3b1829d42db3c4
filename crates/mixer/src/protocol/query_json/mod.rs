//! The native protocol over HTTP: parsing of requests to typed queries, and rendering of replies as responses. The
//! frontend of another protocol converts its requests to the same [`QueryRequest`] and renders the same [`Reply`].

mod render;
mod request;

pub use render::{answer_length, render};
pub use request::parse;

pub use cottonhill_decisions::Idempotency;

use super::http::RequestError;
use bytes::Bytes;
use cottonhill_decisions::Nanos;
use serde::Serialize;

/// Responses of up to this size count towards the memory of their connections, in bytes.
pub const LARGE_RESPONSE_BYTES: usize = 8 * 1024;

/// Names of classes and tenants, and limits, for validating queries.
#[derive(Clone, Debug, Default)]
pub struct QuerySchema {
    /// Names of the classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant number; empty if tenants are not distinguished.
    pub tenants: Vec<String>,
    /// By class: the client's timeout if the request has none, in nanoseconds.
    pub default_timeouts: Vec<Nanos>,
    /// By class: the effect of executing a part again. Missing classes are not idempotent.
    pub idempotencies: Vec<Idempotency>,
    /// By class: minimum coverage, as a fraction of the weight, of any answer.
    pub minimum_coverages: Vec<f64>,
    /// Number of shards; they are numbered from 0.
    pub shards: u32,
}

impl QuerySchema {
    /// The effect of executing a part of this class again.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        let idempotency = self.idempotencies.get(class).copied();
        idempotency.unwrap_or(Idempotency::NonIdempotent)
    }
}

/// One part of a query: a shard to search.
#[derive(Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// Number of the shard.
    pub shard: u32,
    /// Weight as a fraction of the complete answer; the weights of a query add up to 1.
    pub weight: f64,
    /// The client's estimate of the work, in nanoseconds.
    pub work: Option<Nanos>,
}

/// One query, independent of the protocol in which it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the query; the ids of its parts begin with it.
    pub request_id: String,
    /// Index of the class in [`QuerySchema::classes`].
    pub class: u16,
    /// Index of the tenant in [`QuerySchema::tenants`]; 0 if that is empty.
    pub tenant: u32,
    /// The client's timeout, counted from when it sent the query, in nanoseconds.
    pub timeout: Nanos,
    /// Whether the client marked the query as a retry.
    pub client_retry: bool,
    /// The client's idempotency key, the same for all retries of the query.
    pub idempotency_key: Option<String>,
    /// The parts, at most one per shard.
    pub parts: Vec<PartRequest>,
    /// The text that is sent to leaf servers.
    pub text: Bytes,
}

/// A valid request of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientRequest {
    /// A query to run.
    Query(QueryRequest),
    /// A request for the readiness of the mixer.
    Ready,
    /// A request for the counters.
    Stats,
}

/// The result of one shard in an answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hit {
    /// Number of the shard.
    pub shard: u32,
    /// Value returned by the leaf server.
    pub doc: String,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The complete or partial answer to a query.
    Answer {
        /// Whether the total weight of the answered parts reaches the class's completeness threshold.
        complete: bool,
        /// One hit per answered part.
        hits: Vec<Hit>,
    },
    /// The query was rejected because of overload, or because there was no time left for an answer.
    Rejected {
        /// `Retry-After` in nanoseconds; `None` if none is configured.
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
