//! The bounds of a search, and what contradicts itself in one.

use super::aggregation::Aggregation;
use super::query::Query;
use super::search::Search;
use super::{duration_ms, Problem};
use serde_json::Value;

/// The deepest that clauses may stand in each other.
pub const MOST_DEPTH: usize = 20;
/// The most clauses of a search, and the most values of one.
pub const MOST_CLAUSES: usize = 1024;
/// The most that `from + size` may be.
pub const MOST_WINDOW: u64 = 10_000;
/// The most aggregations of a search.
pub const MOST_AGGREGATIONS: usize = 64;
/// The most buckets asked of an aggregation.
pub const MOST_BUCKETS: u64 = 10_000;
/// The most keys to sort by.
const MOST_SORT_KEYS: usize = 16;

impl Search {
    /// Whether it asks for no more than it may, and for nothing that contradicts itself.
    ///
    /// # Errors
    /// What it should not ask for.
    pub fn check(&self) -> Result<(), Problem> {
        let window = self.from().saturating_add(self.size());
        if window > MOST_WINDOW {
            return Err(too_much(
                "from",
                format!("from + size is {window}, and {MOST_WINDOW} at most"),
            ));
        }
        if let Some(after) = &self.search_after {
            self.check_search_after(after)?;
        }
        if self.sort.len() > MOST_SORT_KEYS {
            return Err(too_much(
                "sort",
                format!("has more than {MOST_SORT_KEYS} keys"),
            ));
        }
        if let Some(text) = &self.timeout {
            duration_ms(text).ok_or_else(|| problem("timeout", "is no time as in 500ms or 2s"))?;
        }
        if self.aggs.len() > MOST_AGGREGATIONS {
            return Err(too_much(
                "aggs",
                format!("are more than {MOST_AGGREGATIONS}"),
            ));
        }
        for (name, aggregation) in &self.aggs {
            check_aggregation(&format!("aggs.{name}"), aggregation)?;
        }
        let mut clauses = 0;
        self.query
            .as_ref()
            .map_or(Ok(()), |query| count(query, 1, &mut clauses))
    }

    fn check_search_after(&self, after: &[Value]) -> Result<(), Problem> {
        if self.sort.is_empty() {
            return Err(problem("search_after", "needs a sort"));
        }
        if after.len() != self.sort.len() {
            return Err(problem(
                "search_after",
                "has to have a value for each key of the sort",
            ));
        }
        if self.from() > 0 {
            return Err(problem("from", "has to be 0 with search_after"));
        }
        if after
            .iter()
            .any(|value| value.is_object() || value.is_array())
        {
            return Err(problem("search_after", "takes plain values only"));
        }
        Ok(())
    }
}

fn check_aggregation(path: &str, aggregation: &Aggregation) -> Result<(), Problem> {
    match aggregation {
        Aggregation::Terms(it) if it.size == 0 || it.size > MOST_BUCKETS => Err(too_much(
            path,
            format!("size has to be from 1 to {MOST_BUCKETS}"),
        )),
        Aggregation::Histogram(it) if !(it.interval > 0.0 && it.interval.is_finite()) => {
            Err(problem(path, "interval has to be above 0"))
        }
        Aggregation::DateHistogram(it)
            if duration_ms(&it.fixed_interval).is_none_or(|ms| ms == 0) =>
        {
            Err(problem(path, "fixed_interval is no time as in 1d or 30m"))
        }
        _ => Ok(()),
    }
}

/// Checks the depth of a body before it is parsed, as the parser goes down as deep as the body is. Each clause may take
/// two brackets, and a few stand around them.
pub(super) fn check_depth(body: &[u8]) -> Result<(), Problem> {
    if depth(body) > 2 * MOST_DEPTH + 8 {
        return Err(too_much(
            "query",
            format!("clauses are more than {MOST_DEPTH} deep"),
        ));
    }
    Ok(())
}

fn problem(path: &str, reason: &str) -> Problem {
    Problem {
        path: path.into(),
        reason: reason.into(),
        too_much: false,
    }
}

fn too_much(path: &str, reason: String) -> Problem {
    Problem {
        path: path.into(),
        reason,
        too_much: true,
    }
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

/// Counts the clauses of a query into `clauses`, and checks their depth and their values.
fn count(query: &Query, depth: usize, clauses: &mut usize) -> Result<(), Problem> {
    *clauses += 1;
    if depth > MOST_DEPTH {
        return Err(too_much(
            "query",
            format!("clauses are more than {MOST_DEPTH} deep"),
        ));
    }
    if *clauses > MOST_CLAUSES {
        return Err(too_much(
            "query",
            format!("has more than {MOST_CLAUSES} clauses"),
        ));
    }
    let values = match query {
        Query::Terms(it) => it.what.len(),
        Query::Ids(it) => it.values.len(),
        Query::MultiMatch(it) => it.fields.len(),
        _ => 0,
    };
    if values > MOST_CLAUSES {
        return Err(too_much(
            "query",
            format!("a clause has more than {MOST_CLAUSES} values"),
        ));
    }
    match query {
        Query::Bool(it) => {
            let all = [&it.must, &it.filter, &it.should, &it.must_not];
            all.iter()
                .flat_map(|clauses| &clauses.0)
                .try_for_each(|query| count(query, depth + 1, clauses))
        }
        Query::ConstantScore(it) => count(&it.filter, depth + 1, clauses),
        Query::FunctionScore(it) => count(&it.query, depth + 1, clauses),
        _ => Ok(()),
    }
}
