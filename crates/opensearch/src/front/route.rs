//! From a request's method and path to the operation that answers it.

use super::multi::msearch;
use super::parameters::read_parameters;
use super::request::Caller;
use super::search::{count, find, search};
use super::Context;
use crate::index::Index;
use crate::shape::{self, Answer};
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::Method;
use serde_json::{json, Value};
use std::rc::Rc;

/// The bytes of a 200, or any other answer.
pub(super) async fn route(
    context: &Rc<Context>,
    arrived: u64,
    parts: &Parts,
    caller: &Caller,
    body: &Bytes,
) -> Result<Vec<u8>, Answer> {
    let path = parts.uri.path();
    let parameters = read_parameters(path, parts.uri.query())?;
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    let get = matches!(parts.method, Method::GET | Method::HEAD);
    let read = get || parts.method == Method::POST;
    let plain = |value: Value| Ok(serde_json::to_vec(&value).unwrap_or_default());
    let front = &context.front;
    match segments[..] {
        [] if get => plain(
            json!({"name": "mixer", "cluster_name": front.cluster, "cluster_uuid": context.run,
            "version": {"distribution": "opensearch", "number": "2.11.0", "build_type": "cottonhill",
                "minimum_wire_compatibility_version": "7.10.0", "minimum_index_compatibility_version": "7.0.0"},
            "tagline": "a query mixer"}),
        ),
        ["_cluster", "health"] if get => {
            let shards: usize = front.indices.values().map(|index| index.shards.len()).sum();
            plain(
                json!({"cluster_name": front.cluster, "status": "green", "timed_out": false, "number_of_nodes": 1,
                "active_primary_shards": shards, "active_shards": shards, "unassigned_shards": 0}),
            )
        }
        ["_cat", "indices"] if get => {
            let line = |(name, index): (&String, &Index)| {
                let shards = index.shards.len().to_string();
                json!({"health": "green", "status": "open", "index": name, "pri": shards})
            };
            plain(front.indices.iter().map(line).collect())
        }
        ["_msearch"] if read => msearch(context, arrived, None, caller, &parameters, body).await,
        [index, "_msearch"] if read => {
            msearch(context, arrived, Some(index), caller, &parameters, body).await
        }
        ["_search"] if read => search(context, arrived, "_all", caller, &parameters, body).await,
        [index, "_search"] if read => {
            search(context, arrived, index, caller, &parameters, body).await
        }
        ["_count"] if read => count(context, arrived, "_all", caller, &parameters, body).await,
        [index, "_count"] if read => {
            count(context, arrived, index, caller, &parameters, body).await
        }
        [index] if get && !index.starts_with('_') => {
            let (name, index) = find(front, index)?;
            plain(
                json!({name: {"settings": {"index": {"number_of_shards": index.shards.len().to_string()}}}}),
            )
        }
        _ => {
            let reason = format!(
                "no handler found for uri [{path}] and method [{}]",
                parts.method
            );
            Err(shape::error(400, "illegal_argument_exception", &reason))
        }
    }
}
