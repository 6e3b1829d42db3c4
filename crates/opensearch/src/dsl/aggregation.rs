//! Aggregations over the matching documents.

use super::object::object;
use super::query::Field;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TermsAggregation {
    pub field: String,
    /// The number of buckets to return.
    #[serde(default = "default_terms_size")]
    pub size: u64,
}

fn default_terms_size() -> u64 {
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
    /// A duration, as in `1d` or `30m`.
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
