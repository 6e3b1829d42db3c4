//! The query language, parsed once into a typed tree. What is not known is rejected by its path; depth, clauses and
//! numbers are bounded, so that a search costs no more than its size lets it.

mod aggregation;
mod check;
mod object;
mod query;
mod search;
mod sort;

pub use aggregation::{Aggregation, DateHistogram, Histogram, TermsAggregation};
pub use check::{MOST_AGGREGATIONS, MOST_BUCKETS, MOST_CLAUSES, MOST_DEPTH, MOST_WINDOW};
pub use object::Of;
pub use query::{
    Bool, Clauses, ConstantScore, Empty, Field, FunctionScore, Ids, Match, MultiMatch, Operator,
    Prefix, Query, Range, Scalar, Term,
};
pub use search::{Search, Source, SourceBoth, Track};
pub use sort::{Order, SortKey};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

/// Why a search can't be taken: where in it, and what is wrong there.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("[{path}] {reason}")]
pub struct Problem {
    pub path: String,
    pub reason: String,
    /// It could be read, and asks for too much.
    pub too_much: bool,
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
