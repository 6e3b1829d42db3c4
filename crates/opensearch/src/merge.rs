//! One answer from those of the shards. Pure.
//!
//! Hits are ordered by the search's keys (by score alone: the higher first), then by shard, then by id: the same order
//! every time. Of a key, numbers come before texts, texts before flags, whichever way it is sorted, and what a document
//! lacks comes last. Totals are added up; a total that some shard only bounds is a bound.

use crate::dsl::{Aggregation, Hit, Order, Search};
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What one shard answered.
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

/// Why a shard's answer is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable {
    pub kind: String,
    pub reason: String,
}

/// Reads what a shard answered: an answer, or an error well formed or not.
///
/// # Errors
/// It is no answer to the search.
pub fn read(text: &str, search: &Search) -> Result<ShardAnswer, Unusable> {
    let unusable = |kind: &str, reason: String| Unusable {
        kind: kind.into(),
        reason,
    };
    let answer: ShardAnswer = match serde_json::from_str(text) {
        Ok(answer) => answer,
        Err(e) => {
            let error: Option<Value> = serde_json::from_str(text).ok();
            let error = error.as_ref().and_then(|value| value.get("error"));
            let word = |key: &str| {
                error
                    .and_then(|error| error.get(key))
                    .and_then(Value::as_str)
            };
            return Err(match word("type") {
                Some(kind) => unusable(
                    kind,
                    word("reason").unwrap_or("no reason given").to_string(),
                ),
                None => unusable("json_parse_exception", e.to_string()),
            });
        }
    };
    if answer.timed_out {
        return Err(unusable(
            "timeout_exception",
            "the shard ran out of time".into(),
        ));
    }
    let keys = search.sort.len();
    if let Some(hit) = answer
        .hits
        .hits
        .iter()
        .find(|hit| hit.sort.len() != keys && !search.by_score())
    {
        return Err(unusable(
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
        return Err(unusable(
            "illegal_state_exception",
            "a score that is no number".into(),
        ));
    }
    if let Some(name) = search
        .aggs
        .keys()
        .find(|name| !answer.aggregations.contains_key(*name))
    {
        return Err(unusable(
            "illegal_state_exception",
            format!("the aggregation [{name}] is missing"),
        ));
    }
    Ok(answer)
}

/// The merged page.
#[derive(Debug, Default)]
pub struct Merged {
    pub total: Option<Total>,
    pub max_score: Option<f64>,
    pub hits: Vec<Hit>,
    pub aggregations: Map<String, Value>,
}

fn rank(value: &Value) -> u8 {
    match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    }
}

/// Two values of one key.
pub fn compare(a: &Value, b: &Value, order: Order) -> Ordering {
    let turned = |ordering: Ordering| {
        if order == Order::Desc {
            ordering.reverse()
        } else {
            ordering
        }
    };
    rank(a).cmp(&rank(b)).then_with(|| match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            // Whole numbers as such: beyond 2^53 two of them may be one float.
            let whole = a.as_i64().zip(b.as_i64()).map(|(a, b)| a.cmp(&b));
            let float = || {
                a.as_f64()
                    .unwrap_or(f64::MAX)
                    .total_cmp(&b.as_f64().unwrap_or(f64::MAX))
            };
            turned(whole.unwrap_or_else(float))
        }
        (Value::String(a), Value::String(b)) => turned(a.cmp(b)),
        (Value::Bool(a), Value::Bool(b)) => turned(a.cmp(b)),
        _ => Ordering::Equal,
    })
}

fn before(search: &Search, (a_shard, a): (u32, &Hit), (b_shard, b): (u32, &Hit)) -> Ordering {
    let keys = || {
        let keys = search.sort.iter().zip(a.sort.iter().zip(&b.sort));
        keys.map(|(key, (a, b))| compare(a, b, key.order))
            .find(|it| it.is_ne())
            .unwrap_or(Ordering::Equal)
    };
    let scores = || {
        b.score
            .unwrap_or(f64::MIN)
            .total_cmp(&a.score.unwrap_or(f64::MIN))
    };
    let first = if search.by_score() { scores() } else { keys() };
    first
        .then(a_shard.cmp(&b_shard))
        .then_with(|| a.id.cmp(&b.id))
}

/// Merges the answers of shards to `search`.
pub fn merge(search: &Search, answers: Vec<(u32, ShardAnswer)>) -> Merged {
    let mut merged = Merged::default();
    let mut hits: Vec<(u32, Hit)> = Vec::new();
    let mut partial: BTreeMap<String, Vec<Value>> = BTreeMap::new();
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
            partial.entry(name).or_default().push(value);
        }
    }
    if search.by_score() {
        let scores = hits.iter().filter_map(|(_, hit)| hit.score);
        merged.max_score = scores.max_by(f64::total_cmp);
    }
    hits.sort_by(|(a_shard, a), (b_shard, b)| before(search, (*a_shard, a), (*b_shard, b)));
    let (from, size) = (search.from() as usize, search.size() as usize);
    merged.hits = hits
        .into_iter()
        .skip(from)
        .take(size)
        .map(|(_, hit)| hit)
        .collect();
    for (name, aggregation) in &search.aggs {
        let parts = partial.remove(name).unwrap_or_default();
        merged
            .aggregations
            .insert(name.clone(), reduce(aggregation, &parts));
    }
    merged
}

fn number(part: &Value, key: &str) -> Option<f64> {
    part.get(key)
        .and_then(Value::as_f64)
        .filter(|number| number.is_finite())
}

fn whole(part: &Value, key: &str) -> u64 {
    part.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// One aggregation from its parts.
fn reduce(aggregation: &Aggregation, parts: &[Value]) -> Value {
    let values = |key: &'static str| parts.iter().filter_map(move |part| number(part, key));
    let sum = |key: &'static str| values(key).sum::<f64>();
    match aggregation {
        Aggregation::Min(_) => json!({"value": values("value").min_by(f64::total_cmp)}),
        Aggregation::Max(_) => json!({"value": values("value").max_by(f64::total_cmp)}),
        Aggregation::Sum(_) => json!({"value": sum("value")}),
        Aggregation::ValueCount(_) => {
            json!({"value": parts.iter().map(|part| whole(part, "value")).sum::<u64>()})
        }
        Aggregation::Avg(_) | Aggregation::Stats(_) => {
            let count: u64 = parts.iter().map(|part| whole(part, "count")).sum();
            let average = (count > 0).then(|| sum("sum") / count as f64);
            if matches!(aggregation, Aggregation::Avg(_)) {
                return json!({"value": average});
            }
            let (least, most) = (
                values("min").min_by(f64::total_cmp),
                values("max").max_by(f64::total_cmp),
            );
            json!({"count": count, "min": least, "max": most, "avg": average, "sum": sum("sum")})
        }
        Aggregation::Terms(it) => terms(it.size as usize, parts),
        Aggregation::Histogram(_) | Aggregation::DateHistogram(_) => {
            let mut buckets: Vec<(Value, u64)> = counted(parts).into_values().collect();
            buckets.sort_by(|a, b| compare(&a.0, &b.0, Order::Asc));
            let bucket = |(key, count): (Value, u64)| json!({"key": key, "doc_count": count});
            json!({"buckets": buckets.into_iter().map(bucket).collect::<Vec<_>>()})
        }
    }
}

fn buckets(part: &Value) -> impl Iterator<Item = (&Value, u64)> {
    let buckets = part
        .get("buckets")
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    buckets.filter_map(|bucket| Some((bucket.get("key")?, bucket.get("doc_count")?.as_u64()?)))
}

/// Counts by key over all parts.
fn counted(parts: &[Value]) -> BTreeMap<String, (Value, u64)> {
    let mut all: BTreeMap<String, (Value, u64)> = BTreeMap::new();
    for (key, count) in parts.iter().flat_map(buckets) {
        let (_, sum) = all
            .entry(key.to_string())
            .or_insert_with(|| (key.clone(), 0));
        *sum = sum.saturating_add(count);
    }
    all
}

/// The most frequent terms. A shard that left terms out may have had as many more of any that it did not name as its
/// least frequent one has: that is the error bound.
fn terms(size: usize, parts: &[Value]) -> Value {
    let mut bound = 0;
    let mut others = 0;
    for part in parts {
        let left_out = whole(part, "sum_other_doc_count");
        others += left_out;
        if left_out > 0 {
            bound += buckets(part).map(|(_, count)| count).min().unwrap_or(0);
        }
        bound += whole(part, "doc_count_error_upper_bound");
    }
    let mut all: Vec<(Value, u64)> = counted(parts).into_values().collect();
    all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| compare(&a.0, &b.0, Order::Asc)));
    others += all.iter().skip(size).map(|(_, count)| count).sum::<u64>();
    let bucket = |(key, count): (Value, u64)| json!({"key": key, "doc_count": count});
    let top: Vec<Value> = all.into_iter().take(size).map(bucket).collect();
    json!({"doc_count_error_upper_bound": bound, "sum_other_doc_count": others, "buckets": top})
}
