//! The limits of a search, and the rejection of contradictory ones.

use super::aggregation::Aggregation;
use super::query::Query;
use super::search::Search;
use super::{duration_ms, SearchError};
use serde_json::Value;

/// Maximum nesting depth of query clauses.
pub const MAX_DEPTH: usize = 20;
/// Maximum number of query clauses in a search, and of values in one clause.
pub const MAX_CLAUSES: usize = 1024;
/// Maximum sum of `from` and `size`.
pub const MAX_RESULT_WINDOW: u64 = 10_000;
/// Maximum number of aggregations in a search.
pub const MAX_AGGREGATIONS: usize = 64;
/// Maximum number of buckets that an aggregation may request.
pub const MAX_BUCKETS: u64 = 10_000;
/// Maximum number of sort keys in a search.
const MAX_SORT_KEYS: usize = 16;

impl Search {
    /// Checks that the search keeps within all limits and does not contradict itself.
    ///
    /// # Errors
    /// The first value that exceeds a limit or contradicts another.
    pub fn check(&self) -> Result<(), SearchError> {
        let window = self.from().saturating_add(self.size());
        if window > MAX_RESULT_WINDOW {
            return Err(limit_exceeded(
                "from",
                format!("from + size is {window}, and {MAX_RESULT_WINDOW} at most"),
            ));
        }
        if let Some(after) = &self.search_after {
            self.check_search_after(after)?;
        }
        if self.sort.len() > MAX_SORT_KEYS {
            return Err(limit_exceeded(
                "sort",
                format!("has more than {MAX_SORT_KEYS} keys"),
            ));
        }
        if let Some(text) = &self.timeout {
            duration_ms(text).ok_or_else(|| invalid("timeout", "is no time as in 500ms or 2s"))?;
        }
        if self.aggs.len() > MAX_AGGREGATIONS {
            return Err(limit_exceeded(
                "aggs",
                format!("are more than {MAX_AGGREGATIONS}"),
            ));
        }
        for (name, aggregation) in &self.aggs {
            check_aggregation(&format!("aggs.{name}"), aggregation)?;
        }
        let mut clauses = 0;
        self.query
            .as_ref()
            .map_or(Ok(()), |query| check_clauses(query, 1, &mut clauses))
    }

    fn check_search_after(&self, after: &[Value]) -> Result<(), SearchError> {
        if self.sort.is_empty() {
            return Err(invalid("search_after", "needs a sort"));
        }
        if after.len() != self.sort.len() {
            return Err(invalid(
                "search_after",
                "has to have a value for each key of the sort",
            ));
        }
        if self.from() > 0 {
            return Err(invalid("from", "has to be 0 with search_after"));
        }
        if after
            .iter()
            .any(|value| value.is_object() || value.is_array())
        {
            return Err(invalid("search_after", "takes plain values only"));
        }
        Ok(())
    }
}

fn check_aggregation(path: &str, aggregation: &Aggregation) -> Result<(), SearchError> {
    match aggregation {
        Aggregation::Terms(terms) if terms.size == 0 || terms.size > MAX_BUCKETS => Err(
            limit_exceeded(path, format!("size has to be from 1 to {MAX_BUCKETS}")),
        ),
        Aggregation::Histogram(histogram)
            if !(histogram.interval > 0.0 && histogram.interval.is_finite()) =>
        {
            Err(invalid(path, "interval has to be above 0"))
        }
        Aggregation::DateHistogram(histogram)
            if duration_ms(&histogram.fixed_interval).is_none_or(|ms| ms == 0) =>
        {
            Err(invalid(path, "fixed_interval is no time as in 1d or 30m"))
        }
        _ => Ok(()),
    }
}

/// Checks the nesting depth of a body before it is parsed, since the parser recurses as deep as the body is nested. A
/// clause may need two brackets; the 8 more are for the brackets around the clauses.
pub(super) fn check_depth(body: &[u8]) -> Result<(), SearchError> {
    if bracket_depth(body) > 2 * MAX_DEPTH + 8 {
        return Err(limit_exceeded(
            "query",
            format!("clauses are more than {MAX_DEPTH} deep"),
        ));
    }
    Ok(())
}

fn invalid(path: &str, reason: &str) -> SearchError {
    SearchError {
        path: path.into(),
        reason: reason.into(),
        exceeds_limit: false,
    }
}

fn limit_exceeded(path: &str, reason: String) -> SearchError {
    SearchError {
        path: path.into(),
        reason,
        exceeds_limit: true,
    }
}

/// The nesting depth of the brackets outside of strings.
fn bracket_depth(body: &[u8]) -> usize {
    let (mut depth, mut max_depth, mut in_string, mut escaped) = (0usize, 0, false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    max_depth
}

/// Adds the clauses of a query to `clauses`, and checks their count, depth and values.
fn check_clauses(query: &Query, depth: usize, clauses: &mut usize) -> Result<(), SearchError> {
    *clauses += 1;
    if depth > MAX_DEPTH {
        return Err(limit_exceeded(
            "query",
            format!("clauses are more than {MAX_DEPTH} deep"),
        ));
    }
    if *clauses > MAX_CLAUSES {
        return Err(limit_exceeded(
            "query",
            format!("has more than {MAX_CLAUSES} clauses"),
        ));
    }
    let values = match query {
        Query::Terms(terms) => terms.value.len(),
        Query::Ids(ids) => ids.values.len(),
        Query::MultiMatch(multi_match) => multi_match.fields.len(),
        _ => 0,
    };
    if values > MAX_CLAUSES {
        return Err(limit_exceeded(
            "query",
            format!("a clause has more than {MAX_CLAUSES} values"),
        ));
    }
    match query {
        Query::Bool(bool) => {
            let all = [&bool.must, &bool.filter, &bool.should, &bool.must_not];
            all.iter()
                .flat_map(|clauses| &clauses.0)
                .try_for_each(|query| check_clauses(query, depth + 1, clauses))
        }
        Query::ConstantScore(score) => check_clauses(&score.filter, depth + 1, clauses),
        Query::FunctionScore(score) => check_clauses(&score.query, depth + 1, clauses),
        _ => Ok(()),
    }
}
