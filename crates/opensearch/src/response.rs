//! Responses and errors in the JSON format of the OpenSearch API.

use crate::dsl::{Search, SearchError, TrackTotalHits};
use crate::merge::{MergedResults, Relation, ShardFailure, Total};
use cottonhill_mixer::protocol::query_json::Idempotency;
use serde::Serialize;
use serde_json::{json, Value};
use std::time::Duration;

/// The response to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RestResponse {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<Duration>,
}

impl RestResponse {
    /// A response with status 200.
    pub fn ok(body: Value) -> RestResponse {
        RestResponse {
            status: 200,
            body,
            retry_after: None,
        }
    }
}

/// An error in the format of the API; `kind` is its `type`.
pub fn error(status: u16, kind: &str, reason: &str) -> RestResponse {
    let cause = json!({"type": kind, "reason": reason});
    let error = json!({"root_cause": [cause], "type": kind, "reason": reason});
    RestResponse {
        status,
        body: json!({"error": error, "status": status}),
        retry_after: None,
    }
}

/// The response to a search that is malformed or exceeds a limit.
pub fn invalid_search(invalid: &SearchError) -> RestResponse {
    let kind = if invalid.exceeds_limit {
        "illegal_argument_exception"
    } else {
        "parsing_exception"
    };
    error(400, kind, &invalid.to_string())
}

pub fn index_not_found(name: &str) -> RestResponse {
    let mut response = error(
        404,
        "index_not_found_exception",
        &format!("no such index [{name}]"),
    );
    for pointer in ["/error", "/error/root_cause/0"] {
        if let Some(error) = response.body.pointer_mut(pointer) {
            error["index"] = json!(name);
            error["resource.type"] = json!("index_or_alias");
            error["resource.id"] = json!(name);
        }
    }
    response
}

/// The response to a search that was rejected because it could not be answered in time, or by load shedding. A retry is
/// safe; `retry_after` is the recommended delay before it.
pub fn rejected(retry_after: Option<Duration>) -> RestResponse {
    let delay_text = retry_after.map_or(String::new(), |delay| {
        format!("; come back in {} ms", delay.as_millis())
    });
    let reason = format!("the search was refused, as it could not be answered in time{delay_text}");
    let mut response = error(429, "circuit_breaking_exception", &reason);
    response.body["error"]["durability"] = json!("TRANSIENT");
    response.retry_after = retry_after;
    response
}

/// The `_shards` part of a response: the shards of a search and their failures.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardStatistics {
    pub total: usize,
    pub successful: usize,
    /// The failed shards with their failures.
    pub failures: Vec<(u32, ShardFailure)>,
}

impl ShardStatistics {
    fn to_json(&self, index: &str) -> Value {
        let mut body = json!({"total": self.total, "successful": self.successful, "skipped": 0,
            "failed": self.failures.len()});
        if !self.failures.is_empty() {
            body["failures"] = self.failures_json(index);
        }
        body
    }

    fn failures_json(&self, index: &str) -> Value {
        let failure_json = |(shard, failure): &(u32, ShardFailure)| {
            json!({"shard": shard, "index": index, "node": null,
                "reason": {"type": failure.kind, "reason": failure.reason}})
        };
        self.failures.iter().map(failure_json).collect()
    }
}

/// The status of a search that has failed and of which parts may have been executed. Never 429 or 503, which promise that
/// nothing was executed. Client libraries repeat a request after a 504 by themselves, and not after a 500.
fn failed_status(idempotency: Idempotency) -> u16 {
    match idempotency {
        Idempotency::Idempotent => 504,
        Idempotency::IdempotencyKey | Idempotency::NonIdempotent => 500,
    }
}

/// The response to a search that failed because of shard failures. `idempotency` is that of its class.
pub fn search_failed(
    idempotency: Idempotency,
    index: &str,
    shards: &ShardStatistics,
    reason: &str,
) -> RestResponse {
    let mut response = error(
        failed_status(idempotency),
        "search_phase_execution_exception",
        reason,
    );
    response.body["error"]["phase"] = json!("query");
    response.body["error"]["grouped"] = json!(true);
    response.body["error"]["failed_shards"] = shards.failures_json(index);
    response
}

#[derive(Serialize)]
struct SearchBody<'a> {
    took: u64,
    timed_out: bool,
    #[serde(rename = "_shards")]
    shards: Value,
    hits: Hits<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    aggregations: Option<&'a serde_json::Map<String, Value>>,
}

#[derive(Serialize)]
struct Hits<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<IndexedHit<'a>>,
}

#[derive(Serialize)]
struct IndexedHit<'a> {
    #[serde(rename = "_index")]
    index: &'a str,
    #[serde(flatten)]
    hit: &'a crate::dsl::Hit,
}

/// Maximum exact total of a response if the search does not set `track_total_hits`; a higher total is reported as a
/// lower bound.
const DEFAULT_TRACKED_TOTAL: u64 = 10_000;

/// The total of a response, as `track_total_hits` requests it: none, exact or a lower bound.
fn tracked_total(search: &Search, total: Option<Total>) -> Option<Total> {
    let total = total?;
    match search.track_total_hits {
        Some(TrackTotalHits::Enabled(false)) => None,
        Some(TrackTotalHits::Enabled(true)) => Some(total),
        Some(TrackTotalHits::UpTo(limit)) if total.value > limit => Some(Total {
            value: limit,
            relation: Relation::Gte,
        }),
        None if total.value > DEFAULT_TRACKED_TOTAL => Some(Total {
            value: DEFAULT_TRACKED_TOTAL,
            relation: Relation::Gte,
        }),
        _ => Some(total),
    }
}

/// The body of the response to a search.
pub fn search_response(
    index: &str,
    search: &Search,
    took: Duration,
    shards: &ShardStatistics,
    merged: &MergedResults,
) -> Vec<u8> {
    let body = SearchBody {
        took: took.as_millis() as u64,
        timed_out: shards.successful < shards.total,
        shards: shards.to_json(index),
        hits: Hits {
            total: tracked_total(search, merged.total),
            max_score: merged.max_score,
            hits: merged
                .hits
                .iter()
                .map(|hit| IndexedHit { index, hit })
                .collect(),
        },
        aggregations: (!search.aggs.is_empty()).then_some(&merged.aggregations),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// The response to a count.
pub fn count_response(index: &str, shards: &ShardStatistics, total: u64) -> RestResponse {
    RestResponse::ok(json!({"count": total, "_shards": shards.to_json(index)}))
}
