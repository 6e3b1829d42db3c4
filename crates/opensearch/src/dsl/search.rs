//! The search request: the parser of its body, and the search that each shard receives for it.

use super::aggregation::Aggregation;
use super::check::{check_depth, MAX_BUCKETS};
use super::object::Object;
use super::query::Query;
use super::sort::SortKey;
use super::SearchError;
use serde::de::{self, DeserializeOwned, Deserializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The size of a page if the search does not set one.
const DEFAULT_SIZE: u64 = 10;

/// The `_source` option: the parts of a document to return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Source {
    Enabled(bool),
    Pattern(String),
    Patterns(Vec<String>),
    Filter(SourceFilter),
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SourceFilter {
    pub includes: Vec<String>,
    pub excludes: Vec<String>,
}

/// The `track_total_hits` option: whether hits are counted, or up to which count. The error text that clients receive
/// names the enum `Track`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Track"
)]
pub enum TrackTotalHits {
    Enabled(bool),
    UpTo(u64),
}

/// A search request, as in the body of `_search`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Search {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub query: Option<Query>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub size: Option<u64>,
    #[serde(
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "one_or_more"
    )]
    pub sort: Vec<SortKey>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub search_after: Option<Vec<Value>>,
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Source>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub track_total_hits: Option<TrackTotalHits>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_score: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<String>,
    #[serde(alias = "aggregations", skip_serializing_if = "BTreeMap::is_empty")]
    pub aggs: BTreeMap<String, Aggregation>,
}

fn one_or_more<'de, D: Deserializer<'de>, T: DeserializeOwned>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let all = if value.is_array() {
        value
    } else {
        Value::Array(vec![value])
    };
    serde_json::from_value(all).map_err(de::Error::custom)
}

impl Search {
    /// Parses and checks a search; an empty body matches all documents.
    ///
    /// # Errors
    /// The path of the part that is malformed, exceeds a limit or contradicts another.
    pub fn parse(body: &[u8]) -> Result<Search, SearchError> {
        if body.trim_ascii().is_empty() {
            return Ok(Search::default());
        }
        check_depth(body)?;
        let mut reader = serde_json::Deserializer::from_slice(body);
        let Object(search): Object<Search> = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| SearchError {
                path: e.path().to_string(),
                reason: e.into_inner().to_string(),
                exceeds_limit: false,
            })?;
        reader.end().map_err(|e| SearchError {
            path: ".".into(),
            reason: e.to_string(),
            exceeds_limit: false,
        })?;
        search.check()?;
        Ok(search)
    }

    /// The number of hits before the page.
    pub fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    /// The maximum number of hits on the page.
    pub fn size(&self) -> u64 {
        self.size.unwrap_or(DEFAULT_SIZE)
    }

    /// Whether hits are sorted by their score alone.
    pub fn sorted_by_score(&self) -> bool {
        self.sort.is_empty()
    }

    /// The search for each shard: its top hits up to the end of the page, and aggregations that can be reduced.
    pub fn for_shards(&self) -> Search {
        let mut shard = self.clone();
        shard.size = Some(self.from() + self.size());
        shard.from = None;
        // The mixer enforces the timeout.
        shard.timeout = None;
        for aggregation in shard.aggs.values_mut() {
            match aggregation {
                // Averages of shards cannot be merged; their counts and sums can.
                Aggregation::Avg(field) => *aggregation = Aggregation::Stats(field.clone()),
                // A term just below the top of one shard may be in the top of all shards together.
                Aggregation::Terms(terms) => {
                    terms.size = (terms.size + terms.size / 2 + 10).min(2 * MAX_BUCKETS)
                }
                _ => {}
            }
        }
        shard
    }
}
