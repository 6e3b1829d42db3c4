//! A whole search: its body read, and what each shard is asked for it.

use super::aggregation::Aggregation;
use super::check::{check_depth, MOST_BUCKETS};
use super::object::Object;
use super::query::Query;
use super::sort::SortKey;
use super::Problem;
use serde::de::{self, DeserializeOwned, Deserializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The size of a page where the search states none.
const DEFAULT_SIZE: u64 = 10;

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
    pub track_total_hits: Option<Track>,
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
    /// Reads a search; an empty body asks for everything.
    ///
    /// # Errors
    /// What can't be read or asks for too much, by its path.
    pub fn read(body: &[u8]) -> Result<Search, Problem> {
        if body.trim_ascii().is_empty() {
            return Ok(Search::default());
        }
        check_depth(body)?;
        let mut reader = serde_json::Deserializer::from_slice(body);
        let Object(search): Object<Search> = serde_path_to_error::deserialize(&mut reader)
            .map_err(|e| Problem {
                path: e.path().to_string(),
                reason: e.into_inner().to_string(),
                too_much: false,
            })?;
        reader.end().map_err(|e| Problem {
            path: ".".into(),
            reason: e.to_string(),
            too_much: false,
        })?;
        search.check()?;
        Ok(search)
    }

    /// How many hits are skipped before the page.
    pub fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    /// How many hits the page has at the most.
    pub fn size(&self) -> u64 {
        self.size.unwrap_or(DEFAULT_SIZE)
    }

    /// Hits are ranked by their score alone.
    pub fn by_score(&self) -> bool {
        self.sort.is_empty()
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
                Aggregation::Terms(it) => {
                    it.size = (it.size + it.size / 2 + 10).min(2 * MOST_BUCKETS)
                }
                _ => {}
            }
        }
        shard
    }
}
