//! `_msearch`: several searches in one request.

use super::parameters::{parse_parameters, Parameters};
use super::request::Client;
use super::search::search;
use super::Context;
use crate::response::{self, RestResponse};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::JoinSet;

/// Maximum number of searches in one `_msearch`.
const MAX_SEARCHES: usize = 256;
/// Maximum number of searches of one `_msearch` that run at the same time; fewer if there is no memory for them.
const MAX_CONCURRENT_SEARCHES: usize = 8;
/// Memory of a search that runs beside another one of its request, besides its answers, in bytes.
const CONCURRENT_SEARCH_BYTES: usize = 24 * 1024;

/// The header line before the body of each search of an `_msearch`. The error text that clients receive names the
/// struct `Line`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Line")]
struct SearchHeader {
    index: Option<Value>,
    preference: Option<String>,
    allow_partial_search_results: Option<bool>,
    routing: Option<String>,
    search_type: Option<String>,
}

/// Runs the searches of an `_msearch`, up to [`MAX_CONCURRENT_SEARCHES`] at the same time, and returns their responses
/// in the order of the searches. An invalid search has an error as its response; the others run regardless.
pub(super) async fn msearch(
    context: &Rc<Context>,
    received_at: u64,
    index: Option<&str>,
    client: &Client,
    parameters: &Parameters,
    body: &Bytes,
) -> Result<Vec<u8>, RestResponse> {
    let started_at = Instant::now();
    let mut lines: Vec<&[u8]> = body
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    if lines.is_empty() || lines.len() % 2 == 1 {
        let reason = "a search has two lines, each ended by a newline";
        return Err(response::error(400, "illegal_argument_exception", reason));
    }
    if lines.len() / 2 > MAX_SEARCHES {
        let reason = format!(
            "{} searches at once, and {MAX_SEARCHES} at most",
            lines.len() / 2
        );
        return Err(response::error(400, "illegal_argument_exception", &reason));
    }
    let mut responses: Vec<Vec<u8>> = vec![Vec::new(); lines.len() / 2];
    // The set is dropped with the connection, which aborts the searches still running.
    let mut searches = JoinSet::new();
    let store = |result: Result<(usize, Result<Vec<u8>, RestResponse>), _>,
                 responses: &mut Vec<Vec<u8>>| {
        if let Ok((index, response)) = result {
            responses[index] = response_item(response);
        }
    };
    for (search_index, pair) in lines.chunks(2).enumerate() {
        let mut memory = client.memory.reserve_separately(CONCURRENT_SEARCH_BYTES);
        while searches.len() >= MAX_CONCURRENT_SEARCHES || memory.is_none() && !searches.is_empty()
        {
            if let Some(finished) = searches.join_next().await {
                store(finished, &mut responses);
            }
            memory = memory.or_else(|| client.memory.reserve_separately(CONCURRENT_SEARCH_BYTES));
        }
        let (header, body) = (pair[0].to_vec(), body.slice_ref(pair[1]));
        let (context, client, mut parameters) =
            (context.clone(), client.clone(), parameters.clone());
        let index = index.map(str::to_string);
        searches.spawn_local(async move {
            let response = async {
                let header: SearchHeader = if header.is_empty() {
                    SearchHeader::default()
                } else {
                    let parsed = serde_json::from_slice(&header);
                    parsed.map_err(|e| {
                        response::error(
                            400,
                            "parsing_exception",
                            &format!("the line before it: {e}"),
                        )
                    })?
                };
                let header_index = header.index.as_ref().and_then(|index| match index {
                    Value::String(name) => Some(name.as_str()),
                    Value::Array(names) if names.len() == 1 => names[0].as_str(),
                    _ => None,
                });
                if header.index.is_some() && header_index.is_none() {
                    return Err(response::error(
                        400,
                        "illegal_argument_exception",
                        "one search goes to one index here",
                    ));
                }
                if header.routing.is_some()
                    || header
                        .search_type
                        .is_some_and(|kind| kind != "query_then_fetch")
                {
                    let reason = "neither routing nor another search_type is supported here";
                    return Err(response::error(400, "illegal_argument_exception", reason));
                }
                if let Some(preference) = header.preference {
                    parameters.preferred_shards =
                        parse_parameters("/_msearch", Some(&format!("preference={preference}")))?
                            .preferred_shards;
                }
                parameters.allow_partial_results = header
                    .allow_partial_search_results
                    .or(parameters.allow_partial_results);
                let name = header_index.or(index.as_deref()).unwrap_or("_all");
                search(&context, received_at, name, &client, &parameters, &body).await
            };
            let response = response.await;
            drop(memory);
            (search_index, response)
        });
    }
    while let Some(finished) = searches.join_next().await {
        store(finished, &mut responses);
    }
    let mut body = format!(
        "{{\"took\":{},\"responses\":[",
        started_at.elapsed().as_millis()
    )
    .into_bytes();
    body.extend(responses.join(&b','));
    body.extend_from_slice(b"]}");
    Ok(body)
}

/// One item of the `responses` array, with its status.
fn response_item(response: Result<Vec<u8>, RestResponse>) -> Vec<u8> {
    match response {
        Ok(mut body) if body.last() == Some(&b'}') => {
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
            body
        }
        Ok(body) => body,
        Err(error) => serde_json::to_vec(&error.body).unwrap_or_default(),
    }
}
