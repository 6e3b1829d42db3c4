//! The search and count operations: one query to the reducer, whose answers from the shards are merged.

use super::parameters::Parameters;
use super::request::Client;
use super::shard_query::{query_shards, ShardResults};
use super::Context;
use crate::dsl::{Search, TrackTotalHits};
use crate::index::{FrontSettings, Index};
use crate::merge;
use crate::response::{self, RestResponse};

/// Runs a search; the result is the body of its response.
pub(super) async fn search(
    context: &Context,
    received_at: u64,
    index: &str,
    client: &Client,
    parameters: &Parameters,
    body: &[u8],
) -> Result<Vec<u8>, RestResponse> {
    let search = parse_search(parameters, body)?;
    let ShardResults {
        index,
        shards,
        answers,
        started_at,
    } = query_shards(context, received_at, index, client, parameters, &search).await?;
    let merged = merge::merge(&search, answers);
    Ok(response::search_response(
        index,
        &search,
        started_at.elapsed(),
        &shards,
        &merged,
    ))
}

/// Runs a count; the result is the body of its response.
pub(super) async fn count(
    context: &Context,
    received_at: u64,
    index: &str,
    client: &Client,
    parameters: &Parameters,
    body: &[u8],
) -> Result<Vec<u8>, RestResponse> {
    let mut search = parse_search(parameters, body)?;
    if search.size.is_some()
        || search.from.is_some()
        || !search.sort.is_empty()
        || !search.aggs.is_empty()
    {
        return Err(response::error(
            400,
            "parsing_exception",
            "a count takes a query only",
        ));
    }
    search.size = Some(0);
    search.track_total_hits = Some(TrackTotalHits::Enabled(true));
    let ShardResults {
        index,
        shards,
        answers,
        ..
    } = query_shards(context, received_at, index, client, parameters, &search).await?;
    let total = merge::merge(&search, answers)
        .total
        .map_or(0, |total| total.value);
    Ok(
        serde_json::to_vec(&response::count_response(index, &shards, total).body)
            .unwrap_or_default(),
    )
}

/// Parses a search from its body; `from`, `size` and `track_total_hits` of the URL take precedence.
fn parse_search(parameters: &Parameters, body: &[u8]) -> Result<Search, RestResponse> {
    let mut search = Search::parse(body).map_err(|error| response::invalid_search(&error))?;
    search.from = parameters.from.or(search.from);
    search.size = parameters.size.or(search.size);
    search.track_total_hits = parameters.track_total_hits.or(search.track_total_hits);
    search
        .check()
        .map_err(|error| response::invalid_search(&error))?;
    Ok(search)
}

/// Finds the index of this name; `_all` and `*` name the only index if there is just one.
pub(super) fn find_index<'a>(
    front: &'a FrontSettings,
    name: &str,
) -> Result<(&'a str, &'a Index), RestResponse> {
    if matches!(name, "_all" | "*") {
        if let (1, Some((name, index))) = (front.indices.len(), front.indices.iter().next()) {
            return Ok((name, index));
        }
        let reason = "one search goes to one index here: name it";
        return Err(response::error(400, "illegal_argument_exception", reason));
    }
    match front.indices.get_key_value(name) {
        Some((name, index)) => Ok((name, index)),
        None => Err(response::index_not_found(name)),
    }
}
