//! Documents of an index and the searches that leaf servers run on them; and what is right over any set of shards.
//! It shares no code with the mixer's front.

use serde_json::{json, Map, Value};
use std::cmp::Ordering;
use std::collections::BTreeMap;

pub const WORDS: [&str; 8] = [
    "raga", "tala", "drum", "song", "night", "river", "gold", "road",
];
pub const GENRES: [&str; 5] = ["baila", "film", "folk", "jazz", "pop"];
/// Documents of a shard; later shards have fewer, the last ones hardly any.
pub fn documents(shard: u32) -> u64 {
    u64::from(if shard >= 14 {
        shard - 13
    } else {
        40 - 2 * shard
    })
}

fn dice(shard: u32, at: u64, what: u64) -> u64 {
    let mut x = u64::from(shard) << 40 ^ at << 8 ^ what ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ (x >> 29)
}

/// One document: its id and its fields. `plays` is missing here and there, and a text in one shard.
pub fn document(shard: u32, at: u64) -> (String, Value) {
    let word = |what| WORDS[(dice(shard, at, what) % WORDS.len() as u64) as usize];
    let mut fields = json!({
        "title": format!("{} {} {}", word(1), word(2), word(3)),
        "genre": GENRES[(dice(shard, at, 4) % GENRES.len() as u64) as usize],
        "year": 1960 + dice(shard, at, 5) % 60,
        "released": 1_000_000_000_000u64 + dice(shard, at, 6) % 40 * 86_400_000,
    });
    if !dice(shard, at, 7).is_multiple_of(4) {
        let plays = dice(shard, at, 8) % 500;
        fields["plays"] = if shard == 5 {
            json!(plays.to_string())
        } else {
            json!(plays)
        };
    }
    (format!("s{shard}-{at}"), fields)
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(1.0)
}

/// The value under a field's name or under its short form.
fn told<'a>(body: &'a Value, key: &str) -> (&'a str, &'a Value) {
    let Some((field, what)) = body.as_object().and_then(|body| body.iter().next()) else {
        return ("", &Value::Null);
    };
    (field, what.get(key).unwrap_or(what))
}

fn words_of(value: &Value) -> Vec<String> {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    text.split_whitespace().map(str::to_lowercase).collect()
}

/// The score of a document, if it fits.
fn score(query: &Value, id: &str, document: &Value) -> Option<f64> {
    let (kind, body) = query.as_object()?.iter().next()?;
    let boost = body.get("boost").map_or(1.0, number);
    let matches = |field: &str, text: &Value, all: bool| {
        let (wanted, has) = (
            words_of(text),
            document.get(field).map(words_of).unwrap_or_default(),
        );
        let found = wanted.iter().filter(|word| has.contains(word)).count();
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
            let (field, text) = told(body, "query");
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
            let (field, value) = told(body, "value");
            (document.get(field)? == value).then(|| body[field].get("boost").map_or(1.0, number))
        }
        "terms" => {
            let (field, values) = told(body, "");
            values
                .as_array()?
                .contains(document.get(field)?)
                .then_some(1.0)
        }
        "range" => {
            let (field, bounds) = told(body, "");
            let value = document.get(field)?.as_f64()?;
            let holds = bounds
                .as_object()?
                .iter()
                .all(|(key, bound)| match key.as_str() {
                    "gt" => value > number(bound),
                    "gte" => value >= number(bound),
                    "lt" => value < number(bound),
                    "lte" => value <= number(bound),
                    _ => true,
                });
            holds.then(|| bounds.get("boost").map_or(1.0, number))
        }
        "exists" => document.get(body["field"].as_str()?).map(|_| 1.0),
        "ids" => body["values"]
            .as_array()?
            .iter()
            .any(|value| value == id)
            .then_some(1.0),
        "prefix" => {
            let (field, value) = told(body, "value");
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
            let needed: Option<Vec<f64>> = must
                .iter()
                .map(|clause| score(clause, id, document))
                .collect();
            let found: Vec<f64> = should
                .iter()
                .filter_map(|clause| score(clause, id, document))
                .collect();
            let otherwise = u64::from(must.is_empty() && filter.is_empty() && !should.is_empty());
            let least = body
                .get("minimum_should_match")
                .and_then(Value::as_u64)
                .unwrap_or(otherwise);
            let sum = needed?.iter().sum::<f64>() + found.iter().sum::<f64>();
            (found.len() as u64 >= least).then_some(sum * boost)
        }
        "constant_score" => score(&body["filter"], id, document).map(|_| boost),
        "function_score" => Some(
            score(&body["query"], id, document)? * body.get("weight").map_or(1.0, number) * boost,
        ),
        _ => None,
    }
}

/// A hit as it is ranked.
#[derive(Clone, Debug)]
pub struct Found {
    pub shard: u32,
    pub id: String,
    pub score: f64,
    pub sort: Vec<Value>,
    pub source: Value,
}

fn keys(search: &Value) -> Vec<(String, bool)> {
    let key = |key: &Value| match key {
        Value::String(field) => (field.clone(), field == "_score"),
        _ => {
            let (field, order) = told(key, "order");
            (field.to_string(), order == "desc")
        }
    };
    match search.get("sort") {
        Some(Value::Array(keys)) => keys.iter().map(key).collect(),
        Some(one) => vec![key(one)],
        None => Vec::new(),
    }
}

fn in_order(a: &Value, b: &Value, falling: bool) -> Ordering {
    let class = |value: &Value| match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        _ => 2,
    };
    if class(a) != class(b) {
        return class(a).cmp(&class(b));
    }
    let rising = match (a.as_f64(), b.as_f64()) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => a.as_str().cmp(&b.as_str()),
    };
    if falling {
        rising.reverse()
    } else {
        rising
    }
}

fn ranked(keys: &[(String, bool)], a: &Found, b: &Found) -> Ordering {
    let by_keys = || {
        let each = keys
            .iter()
            .enumerate()
            .map(|(i, (_, falling))| in_order(&a.sort[i], &b.sort[i], *falling));
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

/// All documents of `shards` that fit, in their order, without regard to pages.
pub fn all(search: &Value, shards: &[u32]) -> Vec<Found> {
    let keys = keys(search);
    let mut found = Vec::new();
    let everything = json!({"match_all": {}});
    for shard in shards {
        for at in 0..documents(*shard) {
            let (id, source) = document(*shard, at);
            let Some(score) = score(search.get("query").unwrap_or(&everything), &id, &source)
            else {
                continue;
            };
            if search
                .get("min_score")
                .is_some_and(|least| score < number(least))
            {
                continue;
            }
            let value = |(field, _): &(String, bool)| match field.as_str() {
                "_score" => json!(score),
                field => source.get(field).cloned().unwrap_or(Value::Null),
            };
            let sort = keys.iter().map(value).collect();
            found.push(Found {
                shard: *shard,
                id,
                score,
                sort,
                source,
            });
        }
    }
    found.sort_by(|a, b| ranked(&keys, a, b));
    found
}

/// The page of them that a search asks for.
pub fn page(search: &Value, found: &[Found]) -> Vec<Found> {
    let keys = keys(search);
    let after = |it: &&Found| match search.get("search_after").and_then(Value::as_array) {
        None => true,
        Some(after) => {
            let each = keys.iter().zip(it.sort.iter().zip(after));
            let order = each.map(|((_, falling), (a, b))| in_order(a, b, *falling));
            order.fold(Ordering::Equal, Ordering::then) == Ordering::Greater
        }
    };
    let count = |key: &str, otherwise: u64| {
        search.get(key).and_then(Value::as_u64).unwrap_or(otherwise) as usize
    };
    found
        .iter()
        .filter(after)
        .skip(count("from", 0))
        .take(count("size", 10))
        .cloned()
        .collect()
}

/// One aggregation over documents; terms without their bounds.
pub fn aggregate(aggregation: &Value, found: &[Found]) -> Value {
    let Some((kind, body)) = aggregation.as_object().and_then(|it| it.iter().next()) else {
        return Value::Null;
    };
    let field = body["field"].as_str().unwrap_or_default();
    let values: Vec<&Value> = found.iter().filter_map(|it| it.source.get(field)).collect();
    let numbers: Vec<f64> = values.iter().filter_map(|value| value.as_f64()).collect();
    let sum: f64 = numbers.iter().sum();
    let (least, most) = (
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
    let shown = |all: &[(Value, u64)]| -> Value {
        all.iter()
            .map(|(key, count)| json!({"key": key, "doc_count": count}))
            .collect()
    };
    match kind.as_str() {
        "min" => json!({"value": least}),
        "max" => json!({"value": most}),
        "sum" => json!({"value": sum}),
        "avg" => json!({"value": average}),
        "value_count" => json!({"value": values.len()}),
        "stats" => {
            json!({"count": numbers.len(), "min": least, "max": most, "avg": average, "sum": sum})
        }
        "terms" => {
            let mut all = buckets(values.into_iter().cloned().collect());
            all.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| in_order(&a.0, &b.0, false)));
            let size = body["size"].as_u64().unwrap_or(10) as usize;
            let others: u64 = all.iter().skip(size).map(|bucket| bucket.1).sum();
            all.truncate(size);
            json!({"doc_count_error_upper_bound": 0, "sum_other_doc_count": others, "buckets": shown(&all)})
        }
        _ => {
            let interval = body["interval"].as_f64().unwrap_or_else(|| {
                let text = body["fixed_interval"].as_str().unwrap_or("1d");
                text.trim_end_matches('d').parse::<f64>().unwrap_or(1.0) * 86_400_000.0
            });
            let key = |number: &f64| json!((number / interval).floor() * interval);
            let mut all = buckets(numbers.iter().map(key).collect());
            all.sort_by(|a, b| in_order(&a.0, &b.0, false));
            json!({"buckets": shown(&all)})
        }
    }
}

/// The shard that is sick on cue.
pub const SICK: u32 = 13;
/// Ways to be sick, each cued by a `min_score` that no other search has.
pub const CUES: [(f64, &str); 5] = [
    (0.5, "an error for the shard"),
    (0.25, "an error for every shard"),
    (0.125, "timed out"),
    (0.0625, "cut short"),
    (0.03125, "without its sort values or aggregations"),
];

/// How the shard is sick for this search, if it is.
pub fn cue(search: &Value) -> Option<&'static str> {
    let least = search.get("min_score").and_then(Value::as_f64)?;
    CUES.iter().find(|cue| cue.0 == least).map(|cue| cue.1)
}

/// The words that one shard answers to a search; sick ones on cue.
pub fn words(shard: u32, search: &Value) -> String {
    let cause = json!({"root_cause": [], "type": "query_shard_exception", "reason": "on cue"});
    let error = json!({"error": cause, "status": 400});
    let mut whole = answer(shard, search);
    match cue(search) {
        Some("an error for every shard") => error.to_string(),
        Some(_) if shard != SICK => whole.to_string(),
        Some("an error for the shard") => error.to_string(),
        Some("timed out") => {
            whole["timed_out"] = json!(true);
            whole.to_string()
        }
        Some("cut short") => {
            let mut text = whole.to_string();
            text.truncate(text.len() / 2);
            text
        }
        Some(_) => json!({"hits": {"hits": [{"_id": "x", "_score": null}]}}).to_string(),
        None => whole.to_string(),
    }
}

/// What one shard answers to a search.
pub fn answer(shard: u32, search: &Value) -> Value {
    let found = all(search, &[shard]);
    let sorted = search.get("sort").is_some();
    let hit = |it: &Found| {
        let mut hit =
            json!({"_id": it.id, "_score": if sorted { Value::Null } else { json!(it.score) }});
        if search.get("_source") != Some(&json!(false)) {
            hit["_source"] = it.source.clone();
        }
        if sorted {
            hit["sort"] = json!(it.sort);
        }
        hit
    };
    let hits: Vec<Value> = page(search, &found).iter().map(hit).collect();
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
