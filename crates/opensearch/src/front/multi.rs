//! `_msearch`: several searches in one request.

use super::parameters::{parse_parameters, Parameters};
use super::request::Client;
use super::search::search;
use super::Context;
use crate::response::{self, RestResponse};
use bytes::Bytes;
use cottonhill_mixer::transport::MemoryReservation;
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

/// One search of an `_msearch`: the line before it, and its body.
struct Item {
    header: Bytes,
    body: Bytes,
}

/// Splits the body of an `_msearch` into its searches.
fn split_items(body: &Bytes) -> Result<Vec<Item>, RestResponse> {
    let invalid = |reason: &str| response::error(400, "illegal_argument_exception", reason);
    let mut lines: Vec<&[u8]> = body
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    if lines.is_empty() || lines.len() % 2 == 1 {
        return Err(invalid("a search has two lines, each ended by a newline"));
    }
    let count = lines.len() / 2;
    if count > MAX_SEARCHES {
        let reason = format!("{count} searches at once, and {MAX_SEARCHES} at most");
        return Err(invalid(&reason));
    }
    let item = |pair: &[&[u8]]| Item {
        header: body.slice_ref(pair[0]),
        body: body.slice_ref(pair[1]),
    };
    Ok(lines.chunks(2).map(item).collect())
}

impl SearchHeader {
    /// Parses the line before a search and checks that it requests nothing that is not supported.
    fn parse(line: &[u8]) -> Result<SearchHeader, RestResponse> {
        if line.is_empty() {
            return Ok(SearchHeader::default());
        }
        let header: SearchHeader = serde_json::from_slice(line).map_err(|error| {
            let reason = format!("the line before it: {error}");
            response::error(400, "parsing_exception", &reason)
        })?;
        let unsupported = |reason: &str| response::error(400, "illegal_argument_exception", reason);
        if header.index.is_some() && header.index_name().is_none() {
            return Err(unsupported("one search goes to one index here"));
        }
        let search_type = header.search_type.as_deref();
        if header.routing.is_some() || search_type.is_some_and(|kind| kind != "query_then_fetch") {
            let reason = "neither routing nor another search_type is supported here";
            return Err(unsupported(reason));
        }
        Ok(header)
    }

    /// The name of its only index.
    fn index_name(&self) -> Option<&str> {
        match self.index.as_ref()? {
            Value::String(name) => Some(name.as_str()),
            Value::Array(names) if names.len() == 1 => names[0].as_str(),
            _ => None,
        }
    }

    /// The parameters of its search; those of the URL apply where the line has none.
    fn parameters(&self, of_url: &Parameters) -> Result<Parameters, RestResponse> {
        let mut parameters = of_url.clone();
        if let Some(preference) = &self.preference {
            let query = format!("preference={preference}");
            parameters.preferred_shards =
                parse_parameters("/_msearch", Some(&query))?.preferred_shards;
        }
        parameters.allow_partial_results = self
            .allow_partial_search_results
            .or(parameters.allow_partial_results);
        Ok(parameters)
    }
}

/// The request that the searches of an `_msearch` belong to.
#[derive(Clone)]
struct MultiSearch {
    context: Rc<Context>,
    received_at: u64,
    /// The index of searches that name none; `None` for the only index.
    default_index: Option<String>,
    client: Client,
    parameters: Parameters,
}

impl MultiSearch {
    /// Runs one search.
    async fn run_item(&self, item: &Item) -> Result<Vec<u8>, RestResponse> {
        let header = SearchHeader::parse(&item.header)?;
        let parameters = header.parameters(&self.parameters)?;
        let default_index = self.default_index.as_deref().unwrap_or("_all");
        let index = header.index_name().unwrap_or(default_index);
        search(
            &self.context,
            self.received_at,
            index,
            &self.client,
            &parameters,
            &item.body,
        )
        .await
    }
}

/// The searches that are running, and the responses of those that have ended.
struct RunningSearches {
    /// Dropped with the connection, which aborts the searches still running.
    tasks: JoinSet<(usize, Vec<u8>)>,
    responses: Vec<Vec<u8>>,
}

impl RunningSearches {
    /// Waits until another search may be started. Returns the memory for it; `None` if there is none and no other search is
    /// running, so that the search runs without.
    async fn wait_for_capacity(&mut self, client: &Client) -> Option<MemoryReservation> {
        loop {
            let memory = client.memory.reserve_separately(CONCURRENT_SEARCH_BYTES);
            let is_full = self.tasks.len() >= MAX_CONCURRENT_SEARCHES;
            if self.tasks.is_empty() || memory.is_some() && !is_full {
                return memory;
            }
            self.wait_for_one().await;
        }
    }

    /// Waits until a search has ended. Returns false if none is running.
    async fn wait_for_one(&mut self) -> bool {
        let Some(ended) = self.tasks.join_next().await else {
            return false;
        };
        if let Ok((number, response)) = ended {
            self.responses[number] = response;
        }
        true
    }
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
    let items = split_items(body)?;
    let request = MultiSearch {
        context: context.clone(),
        received_at,
        default_index: index.map(str::to_string),
        client: client.clone(),
        parameters: parameters.clone(),
    };
    let mut searches = RunningSearches {
        tasks: JoinSet::new(),
        responses: vec![Vec::new(); items.len()],
    };
    for (number, item) in items.into_iter().enumerate() {
        let memory = searches.wait_for_capacity(client).await;
        let request = request.clone();
        searches.tasks.spawn_local(async move {
            let response = response_item(request.run_item(&item).await);
            drop(memory);
            (number, response)
        });
    }
    while searches.wait_for_one().await {}
    let took = started_at.elapsed().as_millis();
    let mut body = format!("{{\"took\":{took},\"responses\":[").into_bytes();
    body.extend(searches.responses.join(&b','));
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
