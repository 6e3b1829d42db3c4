//! Documents of the test index, the searches that leaf servers run on them, and the expected results over any set of
//! shards. It shares no code with the mixer's OpenSearch-style frontend, so that the frontend can be checked against
//! it.

use serde_json::{json, Map, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

pub const TITLE_WORDS: [&str; 8] = [
    "raga", "tala", "drum", "song", "night", "river", "gold", "road",
];
pub const GENRES: [&str; 5] = ["baila", "film", "folk", "jazz", "pop"];

/// Number of documents of a shard. It decreases with the shard number, down to 14 in shard 13; shards 14 and 15
/// have 1 and 2.
pub fn document_count(shard: u32) -> u64 {
    u64::from(if shard >= 14 {
        shard - 13
    } else {
        40 - 2 * shard
    })
}

/// Deterministic pseudo-random number for a property of a document.
fn hash(shard: u32, index: u64, property: u64) -> u64 {
    let mut x = u64::from(shard) << 40 ^ index << 8 ^ property ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ (x >> 29)
}

/// Id and fields of a document. `plays` is missing in a quarter of the documents and a string in shard 5.
pub fn document(shard: u32, index: u64) -> (String, Value) {
    let word =
        |property| TITLE_WORDS[(hash(shard, index, property) % TITLE_WORDS.len() as u64) as usize];
    let mut fields = json!({
        "title": format!("{} {} {}", word(1), word(2), word(3)),
        "genre": GENRES[(hash(shard, index, 4) % GENRES.len() as u64) as usize],
        "year": 1960 + hash(shard, index, 5) % 60,
        "released": 1_000_000_000_000u64 + hash(shard, index, 6) % 40 * 86_400_000,
    });
    if !hash(shard, index, 7).is_multiple_of(4) {
        let plays = hash(shard, index, 8) % 500;
        fields["plays"] = if shard == 5 {
            json!(plays.to_string())
        } else {
            json!(plays)
        };
    }
    (format!("s{shard}-{index}"), fields)
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(1.0)
}

/// Field name and value of a clause, from its long form `{field: {key: value}}` or its short form `{field: value}`.
fn field_and_value<'a>(body: &'a Value, key: &str) -> (&'a str, &'a Value) {
    let Some((field, value)) = body.as_object().and_then(|body| body.iter().next()) else {
        return ("", &Value::Null);
    };
    (field, value.get(key).unwrap_or(value))
}

fn tokens(value: &Value) -> Vec<String> {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    text.split_whitespace().map(str::to_lowercase).collect()
}

/// Score of a document, if it matches the query.
fn score(query: &Value, id: &str, document: &Value) -> Option<f64> {
    let (kind, body) = query.as_object()?.iter().next()?;
    let boost = body.get("boost").map_or(1.0, number);
    let matches = |field: &str, text: &Value, all: bool| {
        let (wanted, present) = (
            tokens(text),
            document.get(field).map(tokens).unwrap_or_default(),
        );
        let found = wanted.iter().filter(|word| present.contains(word)).count();
        (if all {
            found == wanted.len() && found > 0
        } else {
            found > 0
        })
        .then_some(found as f64)
    };
    match kind.as_str() {
        "match_all" => Some(boost),
        "match" => {
            let (field, text) = field_and_value(body, "query");
            let all = body[field]["operator"] == "and";
            Some(matches(field, text, all)? * body[field].get("boost").map_or(1.0, number))
        }
        "multi_match" => {
            let fields = body["fields"].as_array()?.iter().filter_map(Value::as_str);
            fields
                .filter_map(|field| matches(field, &body["query"], false))
                .max_by(f64::total_cmp)
        }
        "term" => {
            let (field, value) = field_and_value(body, "value");
            (document.get(field)? == value).then(|| body[field].get("boost").map_or(1.0, number))
        }
        "terms" => {
            let (field, values) = field_and_value(body, "");
            values
                .as_array()?
                .contains(document.get(field)?)
                .then_some(1.0)
        }
        "range" => {
            let (field, bounds) = field_and_value(body, "");
            let value = document.get(field)?.as_f64()?;
            let in_range = bounds
                .as_object()?
                .iter()
                .all(|(key, bound)| match key.as_str() {
                    "gt" => value > number(bound),
                    "gte" => value >= number(bound),
                    "lt" => value < number(bound),
                    "lte" => value <= number(bound),
                    _ => true,
                });
            in_range.then(|| bounds.get("boost").map_or(1.0, number))
        }
        "exists" => document.get(body["field"].as_str()?).map(|_| 1.0),
        "ids" => body["values"]
            .as_array()?
            .iter()
            .any(|value| value == id)
            .then_some(1.0),
        "prefix" => {
            let (field, value) = field_and_value(body, "value");
            document
                .get(field)?
                .as_str()?
                .starts_with(value.as_str()?)
                .then_some(1.0)
        }
        "bool" => {
            let clauses = |key: &str| {
                body.get(key)
                    .and_then(Value::as_array)
                    .cloned()
                    .unwrap_or_default()
            };
            let (must, filter, should) = (clauses("must"), clauses("filter"), clauses("should"));
            if clauses("must_not")
                .iter()
                .any(|clause| score(clause, id, document).is_some())
                || filter
                    .iter()
                    .any(|clause| score(clause, id, document).is_none())
            {
                return None;
            }
            let required: Option<Vec<f64>> = must
                .iter()
                .map(|clause| score(clause, id, document))
                .collect();
            let optional: Vec<f64> = should
                .iter()
                .filter_map(|clause| score(clause, id, document))
                .collect();
            let default_minimum =
                u64::from(must.is_empty() && filter.is_empty() && !should.is_empty());
            let minimum = body
                .get("minimum_should_match")
                .and_then(Value::as_u64)
                .unwrap_or(default_minimum);
            let sum = required?.iter().sum::<f64>() + optional.iter().sum::<f64>();
            (optional.len() as u64 >= minimum).then_some(sum * boost)
        }
        "constant_score" => score(&body["filter"], id, document).map(|_| boost),
        "function_score" => Some(
            score(&body["query"], id, document)? * body.get("weight").map_or(1.0, number) * boost,
        ),
        _ => None,
    }
}

/// A matching document with its ranking data.
#[derive(Clone, Debug)]
pub struct Hit {
    pub shard: u32,
    pub id: String,
    pub score: f64,
    pub sort: Vec<Value>,
    pub source: Value,
}

/// Sort keys of a search: the field, and whether the order is descending.
fn sort_keys(search: &Value) -> Vec<(String, bool)> {
    let key = |key: &Value| match key {
        Value::String(field) => (field.clone(), field == "_score"),
        _ => {
            let (field, order) = field_and_value(key, "order");
            (field.to_string(), order == "desc")
        }
    };
    match search.get("sort") {
        Some(Value::Array(keys)) => keys.iter().map(key).collect(),
        Some(single) => vec![key(single)],
        None => Vec::new(),
    }
}

fn compare_values(a: &Value, b: &Value, descending: bool) -> Ordering {
    let type_rank = |value: &Value| match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        _ => 2,
    };
    if type_rank(a) != type_rank(b) {
        return type_rank(a).cmp(&type_rank(b));
    }
    let ascending = match (a.as_f64(), b.as_f64()) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => a.as_str().cmp(&b.as_str()),
    };
    if descending {
        ascending.reverse()
    } else {
        ascending
    }
}

fn compare_hits(keys: &[(String, bool)], a: &Hit, b: &Hit) -> Ordering {
    let by_keys = || {
        let each = keys
            .iter()
            .enumerate()
            .map(|(i, (_, descending))| compare_values(&a.sort[i], &b.sort[i], *descending));
        each.fold(Ordering::Equal, Ordering::then)
    };
    let first = if keys.is_empty() {
        b.score.total_cmp(&a.score)
    } else {
        by_keys()
    };
    first
        .then_with(|| a.shard.cmp(&b.shard))
        .then_with(|| a.id.cmp(&b.id))
}

/// All documents of `shards` that match the search, ranked, regardless of its page bounds.
pub fn matching_hits(search: &Value, shards: &[u32]) -> Vec<Hit> {
    let keys = sort_keys(search);
    let mut found = Vec::new();
    let match_all = json!({"match_all": {}});
    for shard in shards {
        for index in 0..document_count(*shard) {
            let (id, source) = document(*shard, index);
            let Some(score) = score(search.get("query").unwrap_or(&match_all), &id, &source) else {
                continue;
            };
            if search
                .get("min_score")
                .is_some_and(|minimum| score < number(minimum))
            {
                continue;
            }
            let value = |(field, _): &(String, bool)| match field.as_str() {
                "_score" => json!(score),
                field => source.get(field).cloned().unwrap_or(Value::Null),
            };
            let sort = keys.iter().map(value).collect();
            found.push(Hit {
                shard: *shard,
                id,
                score,
                sort,
                source,
            });
        }
    }
    found.sort_by(|a, b| compare_hits(&keys, a, b));
    found
}

/// The page of the ranked hits that a search requests.
pub fn page(search: &Value, found: &[Hit]) -> Vec<Hit> {
    let keys = sort_keys(search);
    let after = |hit: &&Hit| match search.get("search_after").and_then(Value::as_array) {
        None => true,
        Some(after) => {
            let each = keys.iter().zip(hit.sort.iter().zip(after));
            let order = each.map(|((_, descending), (a, b))| compare_values(a, b, *descending));
            order.fold(Ordering::Equal, Ordering::then) == Ordering::Greater
        }
    };
    let count = |key: &str, default: u64| {
        search.get(key).and_then(Value::as_u64).unwrap_or(default) as usize
    };
    found
        .iter()
        .filter(after)
        .skip(count("from", 0))
        .take(count("size", 10))
        .cloned()
        .collect()
}

/// Result of one aggregation over the hits. The error bound of a terms aggregation is always 0.
pub fn aggregate(aggregation: &Value, found: &[Hit]) -> Value {
    let Some((kind, body)) = aggregation
        .as_object()
        .and_then(|object| object.iter().next())
    else {
        return Value::Null;
    };
    let field = body["field"].as_str().unwrap_or_default();
    let values: Vec<&Value> = found
        .iter()
        .filter_map(|hit| hit.source.get(field))
        .collect();
    let numbers: Vec<f64> = values.iter().filter_map(|value| value.as_f64()).collect();
    let sum: f64 = numbers.iter().sum();
    let (minimum, maximum) = (
        numbers.iter().copied().min_by(f64::total_cmp),
        numbers.iter().copied().max_by(f64::total_cmp),
    );
    let average = (!numbers.is_empty()).then(|| sum / numbers.len() as f64);
    let buckets = |keys: Vec<Value>| {
        let mut counts: BTreeMap<String, (Value, u64)> = BTreeMap::new();
        for key in keys {
            counts.entry(key.to_string()).or_insert((key, 0)).1 += 1;
        }
        counts.into_values().collect::<Vec<_>>()
    };
    let to_json = |all: &[(Value, u64)]| -> Value {
        all.iter()
            .map(|(key, count)| json!({"key": key, "doc_count": count}))
            .collect()
    };
    match kind.as_str() {
        "min" => json!({"value": minimum}),
        "max" => json!({"value": maximum}),
        "sum" => json!({"value": sum}),
        "avg" => json!({"value": average}),
        "value_count" => json!({"value": values.len()}),
        "stats" => {
            json!({"count": numbers.len(), "min": minimum, "max": maximum, "avg": average, "sum": sum})
        }
        "terms" => {
            let mut all = buckets(values.into_iter().cloned().collect());
            all.sort_by(|a, b| {
                b.1.cmp(&a.1)
                    .then_with(|| compare_values(&a.0, &b.0, false))
            });
            let size = body["size"].as_u64().unwrap_or(10) as usize;
            let others: u64 = all.iter().skip(size).map(|bucket| bucket.1).sum();
            all.truncate(size);
            json!({"doc_count_error_upper_bound": 0, "sum_other_doc_count": others, "buckets": to_json(&all)})
        }
        _ => {
            let interval = body["interval"].as_f64().unwrap_or_else(|| {
                let text = body["fixed_interval"].as_str().unwrap_or("1d");
                text.trim_end_matches('d').parse::<f64>().unwrap_or(1.0) * 86_400_000.0
            });
            let key = |number: &f64| json!((number / interval).floor() * interval);
            let mut all = buckets(numbers.iter().map(key).collect());
            all.sort_by(|a, b| compare_values(&a.0, &b.0, false));
            json!({"buckets": to_json(&all)})
        }
    }
}

/// Shard that fails when a search requests an injected fault.
pub const FAULTY_SHARD: u32 = 13;
/// Injected faults, each requested by a value of `min_score` that no other search has.
pub const FAULTS: [(f64, &str); 5] = [
    (0.5, "error from one shard"),
    (0.25, "error from every shard"),
    (0.125, "timed out"),
    (0.0625, "truncated"),
    (0.03125, "missing sort values and aggregations"),
];

/// Fault that a search requests, if any.
pub fn injected_fault(search: &Value) -> Option<&'static str> {
    let min_score = search.get("min_score").and_then(Value::as_f64)?;
    FAULTS
        .iter()
        .find(|fault| fault.0 == min_score)
        .map(|fault| fault.1)
}

/// Response text of one shard to a search, with the injected fault if the search requests one.
pub fn response_text(shard: u32, search: &Value) -> String {
    let cause =
        json!({"root_cause": [], "type": "query_shard_exception", "reason": "injected fault"});
    let error = json!({"error": cause, "status": 400});
    let mut response = shard_response(shard, search);
    match injected_fault(search) {
        Some("error from every shard") => error.to_string(),
        Some(_) if shard != FAULTY_SHARD => response.to_string(),
        Some("error from one shard") => error.to_string(),
        Some("timed out") => {
            response["timed_out"] = json!(true);
            response.to_string()
        }
        Some("truncated") => {
            let mut text = response.to_string();
            text.truncate(text.len() / 2);
            text
        }
        Some(_) => json!({"hits": {"hits": [{"_id": "x", "_score": null}]}}).to_string(),
        None => response.to_string(),
    }
}

/// Correct response of one shard to a search.
pub fn shard_response(shard: u32, search: &Value) -> Value {
    let found = matching_hits(search, &[shard]);
    let sorted = search.get("sort").is_some();
    let to_json = |found: &Hit| {
        let mut hit = json!({"_id": found.id, "_score": if sorted { Value::Null } else { json!(found.score) }});
        if search.get("_source") != Some(&json!(false)) {
            hit["_source"] = found.source.clone();
        }
        if sorted {
            hit["sort"] = json!(found.sort);
        }
        hit
    };
    let hits: Vec<Value> = page(search, &found).iter().map(to_json).collect();
    let mut aggregations = Map::new();
    for (name, aggregation) in search
        .get("aggs")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
    {
        aggregations.insert(name.clone(), aggregate(aggregation, &found));
    }
    json!({"took": 1, "timed_out": false, "hits": {"total": {"value": found.len(), "relation": "eq"}, "hits": hits},
        "aggregations": aggregations})
}
