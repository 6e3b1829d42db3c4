//! The reduce step: merges the answers of the shards into one. Pure functions.
//!
//! Hits are ordered by the sort keys of the search, or by descending score if it has none. Hits with equal keys are
//! ordered by shard and then by id, so that the order is deterministic. For one key, numbers come before strings,
//! strings before booleans, and missing values last, both in ascending and in descending order. Totals are added up;
//! the sum is a lower bound if the total of at least one shard is a lower bound.

use crate::dsl::{Aggregation, Hit, Order, Search};
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The answer of one shard.
#[derive(Debug, Deserialize)]
pub struct ShardAnswer {
    pub hits: ShardHits,
    #[serde(default)]
    pub aggregations: BTreeMap<String, Value>,
    #[serde(default)]
    pub timed_out: bool,
}

#[derive(Debug, Deserialize)]
pub struct ShardHits {
    #[serde(default)]
    pub total: Option<Total>,
    pub hits: Vec<Hit>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    pub value: u64,
    pub relation: Relation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Relation {
    Eq,
    Gte,
}

/// A shard failure: the shard did not answer in time, or answered with an error or something unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardFailure {
    /// The `type` of the error, as in `timeout_exception`.
    pub kind: String,
    pub reason: String,
}

/// Parses and checks the answer of one shard to `search`.
///
/// # Errors
/// The error that the shard answered with, or the reason for which its answer cannot be merged.
pub fn parse_shard_answer(text: &str, search: &Search) -> Result<ShardAnswer, ShardFailure> {
    let failure = |kind: &str, reason: String| ShardFailure {
        kind: kind.into(),
        reason,
    };
    let answer: ShardAnswer = match serde_json::from_str(text) {
        Ok(answer) => answer,
        Err(e) => {
            let error: Option<Value> = serde_json::from_str(text).ok();
            let error = error.as_ref().and_then(|value| value.get("error"));
            let field = |key: &str| {
                error
                    .and_then(|error| error.get(key))
                    .and_then(Value::as_str)
            };
            return Err(match field("type") {
                Some(kind) => failure(
                    kind,
                    field("reason").unwrap_or("no reason given").to_string(),
                ),
                None => failure("json_parse_exception", e.to_string()),
            });
        }
    };
    if answer.timed_out {
        return Err(failure(
            "timeout_exception",
            "the shard ran out of time".into(),
        ));
    }
    let keys = search.sort.len();
    if let Some(hit) = answer
        .hits
        .hits
        .iter()
        .find(|hit| hit.sort.len() != keys && !search.sorted_by_score())
    {
        return Err(failure(
            "illegal_state_exception",
            format!("hit [{}] lacks its sort values", hit.id),
        ));
    }
    if answer
        .hits
        .hits
        .iter()
        .any(|hit| hit.score.is_some_and(|score| !score.is_finite()))
    {
        return Err(failure(
            "illegal_state_exception",
            "a score that is no number".into(),
        ));
    }
    if let Some(name) = search
        .aggs
        .keys()
        .find(|name| !answer.aggregations.contains_key(*name))
    {
        return Err(failure(
            "illegal_state_exception",
            format!("the aggregation [{name}] is missing"),
        ));
    }
    Ok(answer)
}

/// The requested page of all hits, with total, highest score and aggregations.
#[derive(Debug, Default)]
pub struct MergedResults {
    pub total: Option<Total>,
    pub max_score: Option<f64>,
    pub hits: Vec<Hit>,
    pub aggregations: Map<String, Value>,
}

/// The rank of the type of a sort value. A missing value is represented by null, which ranks last.
fn type_rank(value: &Value) -> u8 {
    match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    }
}

/// Compares two sort values of one key.
pub fn compare_sort_values(a: &Value, b: &Value, order: Order) -> Ordering {
    let directed = |ordering: Ordering| {
        if order == Order::Desc {
            ordering.reverse()
        } else {
            ordering
        }
    };
    type_rank(a).cmp(&type_rank(b)).then_with(|| match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            // Integers are compared as integers: beyond 2^53, different ones may be the same float.
            let integers = a.as_i64().zip(b.as_i64()).map(|(a, b)| a.cmp(&b));
            let floats = || {
                a.as_f64()
                    .unwrap_or(f64::MAX)
                    .total_cmp(&b.as_f64().unwrap_or(f64::MAX))
            };
            directed(integers.unwrap_or_else(floats))
        }
        (Value::String(a), Value::String(b)) => directed(a.cmp(b)),
        (Value::Bool(a), Value::Bool(b)) => directed(a.cmp(b)),
        _ => Ordering::Equal,
    })
}

/// Compares two hits of a search, each with its shard.
fn compare_hits(search: &Search, (a_shard, a): (u32, &Hit), (b_shard, b): (u32, &Hit)) -> Ordering {
    let by_sort_keys = || {
        let keys = search.sort.iter().zip(a.sort.iter().zip(&b.sort));
        keys.map(|(key, (a, b))| compare_sort_values(a, b, key.order))
            .find(|ordering| ordering.is_ne())
            .unwrap_or(Ordering::Equal)
    };
    let by_score = || {
        b.score
            .unwrap_or(f64::MIN)
            .total_cmp(&a.score.unwrap_or(f64::MIN))
    };
    let primary = if search.sorted_by_score() {
        by_score()
    } else {
        by_sort_keys()
    };
    primary
        .then(a_shard.cmp(&b_shard))
        .then_with(|| a.id.cmp(&b.id))
}

/// Merges the answers of shards to `search`.
pub fn merge(search: &Search, answers: Vec<(u32, ShardAnswer)>) -> MergedResults {
    let mut merged = MergedResults::default();
    let mut hits: Vec<(u32, Hit)> = Vec::new();
    let mut aggregations: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for (shard, answer) in answers {
        if let Some(total) = answer.hits.total {
            let sum = merged.total.get_or_insert(Total {
                value: 0,
                relation: Relation::Eq,
            });
            sum.value = sum.value.saturating_add(total.value);
            if total.relation == Relation::Gte {
                sum.relation = Relation::Gte;
            }
        }
        hits.extend(answer.hits.hits.into_iter().map(|hit| (shard, hit)));
        for (name, value) in answer.aggregations {
            aggregations.entry(name).or_default().push(value);
        }
    }
    if search.sorted_by_score() {
        let scores = hits.iter().filter_map(|(_, hit)| hit.score);
        merged.max_score = scores.max_by(f64::total_cmp);
    }
    hits.sort_by(|(a_shard, a), (b_shard, b)| compare_hits(search, (*a_shard, a), (*b_shard, b)));
    let (from, size) = (search.from() as usize, search.size() as usize);
    merged.hits = hits
        .into_iter()
        .skip(from)
        .take(size)
        .map(|(_, hit)| hit)
        .collect();
    for (name, aggregation) in &search.aggs {
        let parts = aggregations.remove(name).unwrap_or_default();
        merged
            .aggregations
            .insert(name.clone(), reduce(aggregation, &parts));
    }
    merged
}

/// The number at `key` of a shard's aggregation; `None` if it is missing or not finite.
fn finite_number(part: &Value, key: &str) -> Option<f64> {
    part.get(key)
        .and_then(Value::as_f64)
        .filter(|number| number.is_finite())
}

/// The count at `key` of a shard's aggregation; 0 if it is missing.
fn count_of(part: &Value, key: &str) -> u64 {
    part.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// Merges one aggregation over all shards; `parts` are the shards' results.
fn reduce(aggregation: &Aggregation, parts: &[Value]) -> Value {
    let values = |key: &'static str| {
        parts
            .iter()
            .filter_map(move |part| finite_number(part, key))
    };
    let sum = |key: &'static str| values(key).sum::<f64>();
    match aggregation {
        Aggregation::Min(_) => json!({"value": values("value").min_by(f64::total_cmp)}),
        Aggregation::Max(_) => json!({"value": values("value").max_by(f64::total_cmp)}),
        Aggregation::Sum(_) => json!({"value": sum("value")}),
        Aggregation::ValueCount(_) => {
            json!({"value": parts.iter().map(|part| count_of(part, "value")).sum::<u64>()})
        }
        Aggregation::Avg(_) | Aggregation::Stats(_) => {
            let count: u64 = parts.iter().map(|part| count_of(part, "count")).sum();
            let average = (count > 0).then(|| sum("sum") / count as f64);
            if matches!(aggregation, Aggregation::Avg(_)) {
                return json!({"value": average});
            }
            let (min, max) = (
                values("min").min_by(f64::total_cmp),
                values("max").max_by(f64::total_cmp),
            );
            json!({"count": count, "min": min, "max": max, "avg": average, "sum": sum("sum")})
        }
        Aggregation::Terms(aggregation) => reduce_terms(aggregation.size as usize, parts),
        Aggregation::Histogram(_) | Aggregation::DateHistogram(_) => {
            let mut buckets: Vec<(Value, u64)> = sum_buckets(parts).into_values().collect();
            buckets.sort_by(|a, b| compare_sort_values(&a.0, &b.0, Order::Asc));
            let bucket = |(key, count): (Value, u64)| json!({"key": key, "doc_count": count});
            json!({"buckets": buckets.into_iter().map(bucket).collect::<Vec<_>>()})
        }
    }
}

/// The keys and document counts of a shard's buckets.
fn buckets(part: &Value) -> impl Iterator<Item = (&Value, u64)> {
    let buckets = part
        .get("buckets")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    buckets.filter_map(|bucket| Some((bucket.get("key")?, bucket.get("doc_count")?.as_u64()?)))
}

/// Sums the document counts of all shards by key.
fn sum_buckets(parts: &[Value]) -> BTreeMap<String, (Value, u64)> {
    let mut all: BTreeMap<String, (Value, u64)> = BTreeMap::new();
    for (key, count) in parts.iter().flat_map(buckets) {
        let (_, sum) = all
            .entry(key.to_string())
            .or_insert_with(|| (key.clone(), 0));
        *sum = sum.saturating_add(count);
    }
    all
}

/// Reduces a terms aggregation to the `size` most frequent terms. A shard that omitted terms may have counted each of
/// them up to as often as its least frequent returned term: the error bound is the sum of these counts.
fn reduce_terms(size: usize, parts: &[Value]) -> Value {
    let mut error_bound = 0;
    let mut other_count = 0;
    for part in parts {
        let omitted = count_of(part, "sum_other_doc_count");
        other_count += omitted;
        if omitted > 0 {
            error_bound += buckets(part).map(|(_, count)| count).min().unwrap_or(0);
        }
        error_bound += count_of(part, "doc_count_error_upper_bound");
    }
    let mut all: Vec<(Value, u64)> = sum_buckets(parts).into_values().collect();
    all.sort_by(|a, b| {
        b.1.cmp(&a.1)
            .then_with(|| compare_sort_values(&a.0, &b.0, Order::Asc))
    });
    other_count += all.iter().skip(size).map(|(_, count)| count).sum::<u64>();
    let bucket = |(key, count): (Value, u64)| json!({"key": key, "doc_count": count});
    let top: Vec<Value> = all.into_iter().take(size).map(bucket).collect();
    json!({"doc_count_error_upper_bound": error_bound, "sum_other_doc_count": other_count, "buckets": top})
}
