//! The shapes that clients know: answers and errors, in JSON.

use crate::dsl::{Problem, Search, Track};
use crate::merge::{Merged, Relation, Total, Unusable};
use serde::Serialize;
use serde_json::{json, Value};
use std::time::Duration;

/// One answer over HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub retry_after: Option<Duration>,
}

impl Answer {
    pub fn ok(body: Value) -> Answer {
        Answer {
            status: 200,
            body,
            retry_after: None,
        }
    }
}

/// An error as clients know it.
pub fn error(status: u16, kind: &str, reason: &str) -> Answer {
    let cause = json!({"type": kind, "reason": reason});
    let error = json!({"root_cause": [cause], "type": kind, "reason": reason});
    Answer {
        status,
        body: json!({"error": error, "status": status}),
        retry_after: None,
    }
}

/// A search that can't be read or asks for too much.
pub fn problem(problem: &Problem) -> Answer {
    let kind = if problem.too_much {
        "illegal_argument_exception"
    } else {
        "parsing_exception"
    };
    error(400, kind, &problem.to_string())
}

pub fn no_index(name: &str) -> Answer {
    let mut answer = error(
        404,
        "index_not_found_exception",
        &format!("no such index [{name}]"),
    );
    for at in ["/error", "/error/root_cause/0"] {
        if let Some(error) = answer.body.pointer_mut(at) {
            error["index"] = json!(name);
            error["resource.type"] = json!("index_or_alias");
            error["resource.id"] = json!(name);
        }
    }
    answer
}

/// Refused: trying again is harmless, best not before a while has passed.
pub fn refused(come_back: Option<Duration>) -> Answer {
    let after = come_back.map_or(String::new(), |after| {
        format!("; come back in {} ms", after.as_millis())
    });
    let reason = format!("the search was refused, as it could not be answered in time{after}");
    let mut answer = error(429, "circuit_breaking_exception", &reason);
    answer.body["error"]["durability"] = json!("TRANSIENT");
    answer.retry_after = come_back;
    answer
}

/// What became of the shards that a search needed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shards {
    pub total: usize,
    pub successful: usize,
    /// Those that failed, and why.
    pub failures: Vec<(u32, Unusable)>,
}

impl Shards {
    fn body(&self, index: &str) -> Value {
        let mut body = json!({"total": self.total, "successful": self.successful, "skipped": 0,
            "failed": self.failures.len()});
        if !self.failures.is_empty() {
            body["failures"] = self.reasons(index);
        }
        body
    }

    fn reasons(&self, index: &str) -> Value {
        let failure = |(shard, why): &(u32, Unusable)| {
            json!({"shard": shard, "index": index, "node": null,
                "reason": {"type": why.kind, "reason": why.reason}})
        };
        self.failures.iter().map(failure).collect()
    }
}

/// No answer that the client would take: shards failed.
pub fn failed(status: u16, index: &str, shards: &Shards, reason: &str) -> Answer {
    let mut answer = error(status, "search_phase_execution_exception", reason);
    answer.body["error"]["phase"] = json!("query");
    answer.body["error"]["grouped"] = json!(true);
    answer.body["error"]["failed_shards"] = shards.reasons(index);
    answer
}

#[derive(Serialize)]
struct Body<'a> {
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
    hits: Vec<Indexed<'a>>,
}

#[derive(Serialize)]
struct Indexed<'a> {
    #[serde(rename = "_index")]
    index: &'a str,
    #[serde(flatten)]
    hit: &'a crate::dsl::Hit,
}

/// The count of hits in the answer: none, exact, or a lower bound.
fn total(search: &Search, total: Option<Total>) -> Option<Total> {
    let counted = total?;
    match search.track_total_hits {
        Some(Track::Flag(false)) => None,
        Some(Track::Flag(true)) => Some(counted),
        Some(Track::UpTo(most)) if counted.value > most => Some(Total {
            value: most,
            relation: Relation::Gte,
        }),
        None if counted.value > 10_000 => Some(Total {
            value: 10_000,
            relation: Relation::Gte,
        }),
        _ => Some(counted),
    }
}

/// The answer to a search.
pub fn found(
    index: &str,
    search: &Search,
    took: Duration,
    shards: &Shards,
    merged: &Merged,
) -> Vec<u8> {
    let body = Body {
        took: took.as_millis() as u64,
        timed_out: shards.successful < shards.total,
        shards: shards.body(index),
        hits: Hits {
            total: total(search, merged.total),
            max_score: merged.max_score,
            hits: merged
                .hits
                .iter()
                .map(|hit| Indexed { index, hit })
                .collect(),
        },
        aggregations: (!search.aggs.is_empty()).then_some(&merged.aggregations),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// The answer to a count.
pub fn counted(index: &str, shards: &Shards, total: u64) -> Answer {
    Answer::ok(json!({"count": total, "_shards": shards.body(index)}))
}
