//! The query language, parsed once into a typed tree. Unknown fields are rejected with their path. Nesting depth,
//! clause counts and sizes are limited, which limits the cost of a search.

mod aggregation;
mod check;
mod object;
mod query;
mod search;
mod sort;

pub use aggregation::{Aggregation, DateHistogram, Histogram, TermsAggregation};
pub use check::{MAX_AGGREGATIONS, MAX_BUCKETS, MAX_CLAUSES, MAX_DEPTH, MAX_RESULT_WINDOW};
pub use object::FieldClause;
pub use query::{
    Bool, Clauses, ConstantScore, Field, FunctionScore, Ids, Match, MatchAll, MultiMatch, Operator,
    Prefix, Query, Range, Scalar, Term,
};
pub use search::{Search, Source, SourceFilter, TrackTotalHits};
pub use sort::{Order, SortKey};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

/// The reason for which a search is rejected, with the path of the invalid part.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("[{path}] {reason}")]
pub struct SearchError {
    pub path: String,
    pub reason: String,
    /// Whether the search is well-formed but exceeds a limit.
    pub exceeds_limit: bool,
}

/// Parses a duration with its unit, as in `500ms` or `1d`, into milliseconds.
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

/// One hit of a shard's answer. Its document is passed on unparsed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hit {
    #[serde(rename = "_id")]
    pub id: String,
    #[serde(rename = "_score", default)]
    pub score: Option<f64>,
    #[serde(rename = "_source", default, skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// The sort values, one for each key of the search's sort.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}
