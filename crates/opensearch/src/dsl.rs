//! The query language, parsed once into a typed tree. What is not known is rejected by its path; depth, clauses and
//! numbers are bounded, so that a search costs no more than its size lets it.

use serde::de::{self, DeserializeOwned, Deserializer, MapAccess, Visitor};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Number, Value};
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// The deepest that clauses may stand in each other.
pub const MOST_DEPTH: usize = 20;
/// The most clauses of a search, and the most values of one.
pub const MOST_CLAUSES: usize = 1024;
/// The most that `from + size` may be.
pub const MOST_WINDOW: u64 = 10_000;
/// The most aggregations of a search, and buckets asked of one.
pub const MOST_AGGREGATIONS: usize = 64;
pub const MOST_BUCKETS: u64 = 10_000;

/// Why a search can't be taken: where in it, and what is wrong there.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("[{path}] {reason}")]
pub struct Problem {
    pub path: String,
    pub reason: String,
    /// It could be read, and asks for too much.
    pub too_much: bool,
}

/// One field with what is asked of it, as in `{"FIELD": ...}`.
#[derive(Clone, Debug, PartialEq)]
pub struct Of<T> {
    pub field: String,
    pub what: T,
}

impl<T: Serialize> Serialize for Of<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(1))?;
        map.serialize_entry(&self.field, &self.what)?;
        map.end()
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Of<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct One<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for One<T> {
            type Value = Of<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object with one field")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Of<T>, A::Error> {
                let (field, what) = map.next_entry()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
                match map.next_key::<String>()? {
                    None => Ok(Of { field, what }),
                    Some(other) => {
                        Err(de::Error::custom(format!("one field is expected, and [{other}] is another")))
                    }
                }
            }
        }
        deserializer.deserialize_map(One(PhantomData))
    }
}

/// An object and nothing else: an array would pass for one, its items for the fields in their order.
struct Object<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Only<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for Only<T> {
            type Value = Object<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map)).map(Object)
            }
        }
        deserializer.deserialize_map(Only(PhantomData))
    }
}

fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<T, D::Error> {
    Object::deserialize(deserializer).map(|object| object.0)
}

fn of_object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Of<T>, D::Error> {
    let Of { field, what } = Of::<Object<T>>::deserialize(deserializer)?;
    Ok(Of { field, what: what.0 })
}

/// A plain value to compare with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Scalar {
    Flag(bool),
    Number(Number),
    Text(String),
}

/// Either the value alone or an object that holds it: both are written in the field.
macro_rules! short_or_long {
    ($name:ident, $key:literal, $field:ident: $type:ty, { $($more:ident: $of:ty),* $(,)? }) => {
        #[derive(Clone, Debug, PartialEq, Serialize)]
        pub struct $name {
            #[serde(rename = $key)]
            pub $field: $type,
            $(#[serde(skip_serializing_if = "Option::is_none")] pub $more: Option<$of>,)*
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct Long {
                    #[serde(rename = $key)]
                    $field: $type,
                    $(#[serde(default)] $more: Option<$of>,)*
                }
                // An object is the long form; its own errors are what the client should see.
                let value = Value::deserialize(deserializer)?;
                if value.is_object() {
                    let Long { $field, $($more),* } = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($more),* })
                } else {
                    let $field = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($more: None),* })
                }
            }
        }
    };
}

short_or_long!(Match, "query", query: Scalar, { operator: Operator, boost: f64 });
short_or_long!(Term, "value", value: Scalar, { boost: f64 });
short_or_long!(Prefix, "value", value: String, { boost: f64 });

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Operator {
    #[serde(alias = "OR")]
    Or,
    #[serde(alias = "AND")]
    And,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Empty {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MultiMatch {
    pub query: Scalar,
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gt: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gte: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lt: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lte: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    pub field: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ids {
    pub values: Vec<String>,
}

/// One clause, or several.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Clauses(pub Vec<Query>);

impl<'de> Deserialize<'de> for Clauses {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct OneOrMore;
        impl<'de> Visitor<'de> for OneOrMore {
            type Value = Clauses;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a clause or an array of clauses")
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, seq: A) -> Result<Clauses, A::Error> {
                Vec::deserialize(de::value::SeqAccessDeserializer::new(seq)).map(Clauses)
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Clauses, A::Error> {
                Query::deserialize(de::value::MapAccessDeserializer::new(map)).map(|one| Clauses(vec![one]))
            }
        }
        deserializer.deserialize_any(OneOrMore)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bool {
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub must: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub filter: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub should: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub must_not: Clauses,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_should_match: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

impl Clauses {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConstantScore {
    pub filter: Box<Query>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// As far as it is plain: a query whose score is multiplied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionScore {
    pub query: Box<Query>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    #[serde(deserialize_with = "object")]
    MatchAll(Empty),
    Match(Of<Match>),
    #[serde(deserialize_with = "object")]
    MultiMatch(MultiMatch),
    Term(Of<Term>),
    Terms(Of<Vec<Scalar>>),
    #[serde(deserialize_with = "of_object")]
    Range(Of<Range>),
    #[serde(deserialize_with = "object")]
    Exists(Field),
    #[serde(deserialize_with = "object")]
    Ids(Ids),
    Prefix(Of<Prefix>),
    #[serde(deserialize_with = "object")]
    Bool(Box<Bool>),
    #[serde(deserialize_with = "object")]
    ConstantScore(ConstantScore),
    #[serde(deserialize_with = "object")]
    FunctionScore(FunctionScore),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    #[default]
    Asc,
    Desc,
}

/// One key to sort by; `_score` is one, too.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "Of<Order>")]
pub struct SortKey {
    pub field: String,
    pub order: Order,
}

impl From<SortKey> for Of<Order> {
    fn from(key: SortKey) -> Of<Order> {
        Of { field: key.field, what: key.order }
    }
}

impl<'de> Deserialize<'de> for SortKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct Long {
            #[serde(default)]
            order: Option<Order>,
        }
        let value = Value::deserialize(deserializer)?;
        let natural = |field: &str| if field == "_score" { Order::Desc } else { Order::Asc };
        if let Value::String(field) = value {
            let order = natural(&field);
            return Ok(SortKey { field, order });
        }
        let Of { field, what }: Of<Value> = serde_json::from_value(value).map_err(de::Error::custom)?;
        let order = if what.is_object() {
            let Long { order } = serde_json::from_value(what).map_err(de::Error::custom)?;
            order.unwrap_or_else(|| natural(&field))
        } else {
            serde_json::from_value(what).map_err(de::Error::custom)?
        };
        Ok(SortKey { field, order })
    }
}

/// Which parts of a document are wanted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Source {
    All(bool),
    One(String),
    Some(Vec<String>),
    Both(SourceBoth),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SourceBoth {
    pub includes: Vec<String>,
    pub excludes: Vec<String>,
}

/// Whether hits are counted, and up to where.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Track {
    Flag(bool),
    UpTo(u64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsAggregation {
    pub field: String,
    #[serde(default = "ten")]
    pub size: u64,
}

fn ten() -> u64 {
    10
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Histogram {
    pub field: String,
    pub interval: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DateHistogram {
    pub field: String,
    /// As in `1d` or `30m`.
    pub fixed_interval: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Aggregation {
    #[serde(deserialize_with = "object")]
    Terms(TermsAggregation),
    #[serde(deserialize_with = "object")]
    Min(Field),
    #[serde(deserialize_with = "object")]
    Max(Field),
    #[serde(deserialize_with = "object")]
    Sum(Field),
    #[serde(deserialize_with = "object")]
    Avg(Field),
    #[serde(deserialize_with = "object")]
    ValueCount(Field),
    #[serde(deserialize_with = "object")]
    Stats(Field),
    #[serde(deserialize_with = "object")]
    Histogram(Histogram),
    #[serde(deserialize_with = "object")]
    DateHistogram(DateHistogram),
}

/// A search as its body states it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Search {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<Query>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub size: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty", deserialize_with = "one_or_more")]
    pub sort: Vec<SortKey>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search_after: Option<Vec<Value>>,
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Source>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub track_total_hits: Option<Track>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_score: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    #[serde(alias = "aggregations", skip_serializing_if = "BTreeMap::is_empty")]
    pub aggs: BTreeMap<String, Aggregation>,
}

fn one_or_more<'de, D: Deserializer<'de>, T: DeserializeOwned>(deserializer: D) -> Result<Vec<T>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let all = if value.is_array() { value } else { Value::Array(vec![value]) };
    serde_json::from_value(all).map_err(de::Error::custom)
}

impl Search {
    /// Reads a search; an empty body asks for everything.
    ///
    /// # Errors
    /// What can't be read or asks for too much, by its path.
    pub fn read(body: &[u8]) -> Result<Search, Problem> {
        if body.trim_ascii().is_empty() {
            return Ok(Search::default());
        }
        // Depth first, over the bytes: what reads the tree goes down as deep as it is.
        if depth(body) > 2 * MOST_DEPTH + 8 {
            return Err(too_much("query", format!("clauses are more than {MOST_DEPTH} deep")));
        }
        let mut reader = serde_json::Deserializer::from_slice(body);
        let Object(search): Object<Search> = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            Problem { path: e.path().to_string(), reason: e.into_inner().to_string(), too_much: false }
        })?;
        reader.end().map_err(|e| Problem { path: ".".into(), reason: e.to_string(), too_much: false })?;
        search.check()?;
        Ok(search)
    }

    pub fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    pub fn size(&self) -> u64 {
        self.size.unwrap_or(10)
    }

    /// Hits are ranked by their score alone.
    pub fn by_score(&self) -> bool {
        self.sort.is_empty()
    }

    /// Whether it asks for no more than it may, and for nothing that contradicts itself.
    ///
    /// # Errors
    /// What it should not ask for.
    pub fn check(&self) -> Result<(), Problem> {
        let window = self.from().saturating_add(self.size());
        if window > MOST_WINDOW {
            return Err(too_much("from", format!("from + size is {window}, and {MOST_WINDOW} at most")));
        }
        let problem =
            |path: &str, reason: &str| Problem { path: path.into(), reason: reason.into(), too_much: false };
        if let Some(after) = &self.search_after {
            if self.sort.is_empty() {
                return Err(problem("search_after", "needs a sort"));
            }
            if after.len() != self.sort.len() {
                return Err(problem("search_after", "has to have a value for each key of the sort"));
            }
            if self.from() > 0 {
                return Err(problem("from", "has to be 0 with search_after"));
            }
            if after.iter().any(|value| value.is_object() || value.is_array()) {
                return Err(problem("search_after", "takes plain values only"));
            }
        }
        if self.sort.len() > 16 {
            return Err(too_much("sort", "has more than 16 keys".into()));
        }
        if let Some(text) = &self.timeout {
            duration_ms(text).ok_or_else(|| problem("timeout", "is no time as in 500ms or 2s"))?;
        }
        if self.aggs.len() > MOST_AGGREGATIONS {
            return Err(too_much("aggs", format!("are more than {MOST_AGGREGATIONS}")));
        }
        for (name, aggregation) in &self.aggs {
            let path = format!("aggs.{name}");
            match aggregation {
                Aggregation::Terms(it) if it.size == 0 || it.size > MOST_BUCKETS => {
                    return Err(too_much(&path, format!("size has to be from 1 to {MOST_BUCKETS}")));
                }
                Aggregation::Histogram(it) if !(it.interval > 0.0 && it.interval.is_finite()) => {
                    return Err(problem(&path, "interval has to be above 0"));
                }
                Aggregation::DateHistogram(it)
                    if duration_ms(&it.fixed_interval).is_none_or(|ms| ms == 0) =>
                {
                    return Err(problem(&path, "fixed_interval is no time as in 1d or 30m"));
                }
                _ => {}
            }
        }
        let mut clauses = 0;
        self.query.as_ref().map_or(Ok(()), |query| count(query, 1, &mut clauses))
    }

    /// What each shard is asked: its own best hits up to the end of the page, and what can be reduced.
    pub fn for_shards(&self) -> Search {
        let mut shard = self.clone();
        shard.size = Some(self.from() + self.size());
        shard.from = None;
        // The mixer keeps the time.
        shard.timeout = None;
        for aggregation in shard.aggs.values_mut() {
            match aggregation {
                // An average of averages is none: count and sum are.
                Aggregation::Avg(field) => *aggregation = Aggregation::Stats(field.clone()),
                // What is just below the top in one shard may be in it over all.
                Aggregation::Terms(it) => it.size = (it.size + it.size / 2 + 10).min(2 * MOST_BUCKETS),
                _ => {}
            }
        }
        shard
    }
}

fn too_much(path: &str, reason: String) -> Problem {
    Problem { path: path.into(), reason, too_much: true }
}

/// How deep brackets stand in each other, outside of texts.
fn depth(body: &[u8]) -> usize {
    let (mut depth, mut most, mut text, mut escaped) = (0usize, 0, false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if text => escaped = true,
            b'"' => text = !text,
            b'{' | b'[' if !text => {
                depth += 1;
                most = most.max(depth);
            }
            b'}' | b']' if !text => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    most
}

fn count(query: &Query, depth: usize, clauses: &mut usize) -> Result<(), Problem> {
    *clauses += 1;
    if depth > MOST_DEPTH {
        return Err(too_much("query", format!("clauses are more than {MOST_DEPTH} deep")));
    }
    if *clauses > MOST_CLAUSES {
        return Err(too_much("query", format!("has more than {MOST_CLAUSES} clauses")));
    }
    let values = match query {
        Query::Terms(it) => it.what.len(),
        Query::Ids(it) => it.values.len(),
        Query::MultiMatch(it) => it.fields.len(),
        _ => 0,
    };
    if values > MOST_CLAUSES {
        return Err(too_much("query", format!("a clause has more than {MOST_CLAUSES} values")));
    }
    match query {
        Query::Bool(it) => {
            let all = [&it.must, &it.filter, &it.should, &it.must_not];
            all.iter().flat_map(|clauses| &clauses.0).try_for_each(|query| count(query, depth + 1, clauses))
        }
        Query::ConstantScore(it) => count(&it.filter, depth + 1, clauses),
        Query::FunctionScore(it) => count(&it.query, depth + 1, clauses),
        _ => Ok(()),
    }
}

/// A time with its unit, in milliseconds.
pub fn duration_ms(text: &str) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let factor = match unit {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor)
}

/// One hit as a shard gives it. Its document is passed on as it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hit {
    #[serde(rename = "_id")]
    pub id: String,
    #[serde(rename = "_score", default)]
    pub score: Option<f64>,
    #[serde(rename = "_source", default, skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}
