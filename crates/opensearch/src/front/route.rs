//! Routing of requests by method and path.

use super::multi::msearch;
use super::parameters::parse_parameters;
use super::request::Client;
use super::search::{count, find_index, search};
use super::Context;
use crate::index::Index;
use crate::response::{self, RestResponse};
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::Method;
use serde_json::{json, Value};
use std::rc::Rc;

/// Routes a request to its operation. Returns the body of the response if its status is 200.
///
/// # Errors
/// The response if its status is not 200.
pub(super) async fn route(
    context: &Rc<Context>,
    received_at: u64,
    parts: &Parts,
    client: &Client,
    body: &Bytes,
) -> Result<Vec<u8>, RestResponse> {
    let path = parts.uri.path();
    let parameters = parse_parameters(path, parts.uri.query())?;
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    let get = matches!(parts.method, Method::GET | Method::HEAD);
    let get_or_post = get || parts.method == Method::POST;
    let to_bytes = |value: Value| Ok(serde_json::to_vec(&value).unwrap_or_default());
    let front = &context.front;
    match segments[..] {
        [] if get => to_bytes(
            json!({"name": "mixer", "cluster_name": front.cluster, "cluster_uuid": context.instance_id,
            "version": {"distribution": "opensearch", "number": "2.11.0", "build_type": "cottonhill",
                "minimum_wire_compatibility_version": "7.10.0", "minimum_index_compatibility_version": "7.0.0"},
            "tagline": "a query mixer"}),
        ),
        ["_cluster", "health"] if get => {
            let shards: usize = front.indices.values().map(|index| index.shards.len()).sum();
            to_bytes(
                json!({"cluster_name": front.cluster, "status": "green", "timed_out": false, "number_of_nodes": 1,
                "active_primary_shards": shards, "active_shards": shards, "unassigned_shards": 0}),
            )
        }
        ["_cat", "indices"] if get => {
            let line = |(name, index): (&String, &Index)| {
                let shards = index.shards.len().to_string();
                json!({"health": "green", "status": "open", "index": name, "pri": shards})
            };
            to_bytes(front.indices.iter().map(line).collect())
        }
        ["_msearch"] if get_or_post => {
            msearch(context, received_at, None, client, &parameters, body).await
        }
        [index, "_msearch"] if get_or_post => {
            msearch(context, received_at, Some(index), client, &parameters, body).await
        }
        ["_search"] if get_or_post => {
            search(context, received_at, "_all", client, &parameters, body).await
        }
        [index, "_search"] if get_or_post => {
            search(context, received_at, index, client, &parameters, body).await
        }
        ["_count"] if get_or_post => {
            count(context, received_at, "_all", client, &parameters, body).await
        }
        [index, "_count"] if get_or_post => {
            count(context, received_at, index, client, &parameters, body).await
        }
        [index] if get && !index.starts_with('_') => {
            let (name, index) = find_index(front, index)?;
            to_bytes(
                json!({name: {"settings": {"index": {"number_of_shards": index.shards.len().to_string()}}}}),
            )
        }
        _ => {
            let reason = format!(
                "no handler found for uri [{path}] and method [{}]",
                parts.method
            );
            Err(response::error(400, "illegal_argument_exception", &reason))
        }
    }
}
