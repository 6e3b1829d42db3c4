//! One query to the reducer for a search: the shards of its index, and their answers or the response if there are too few.

use super::parameters::Parameters;
use super::request::Client;
use super::request_memory::RequestMemory;
use super::search::find_index;
use super::Context;
use crate::dsl::{duration_ms, Search};
use crate::index::{FrontSettings, Index, TenantSource};
use crate::merge::{self, ShardFailure};
use crate::response::{self, RestResponse, ShardStatistics};
use bytes::Bytes;
use cottonhill_mixer::protocol::query_json::{Hit, PartRequest, QueryRequest, QuerySchema, Reply};
use serde_json::json;
use std::time::{Duration, Instant};

const NANOS_PER_MS: u64 = 1_000_000;
/// Answers are held as received, and as a part of the response.
const COPIES_OF_ANSWERS: usize = 2;
/// Allowed shortfall from a class's minimum coverage, since sums of weights have rounding errors.
const COVERAGE_TOLERANCE: f64 = 1e-6;

/// The result of a query: the answers of the successful shards, and the failures of the others.
pub(super) struct ShardResults<'a> {
    pub(super) index: &'a str,
    pub(super) shards: ShardStatistics,
    pub(super) answers: Vec<(u32, merge::ShardAnswer)>,
    pub(super) started_at: Instant,
}

/// Queries the shards of an index.
///
/// # Errors
/// The response to the client if the search is rejected or too few shards are successful.
pub(super) async fn query_shards<'a>(
    context: &'a Context,
    received_at: u64,
    name: &str,
    client: &Client,
    parameters: &Parameters,
    search: &Search,
) -> Result<ShardResults<'a>, RestResponse> {
    let started_at = Instant::now();
    let (front, schema) = (&context.front, context.queries.query_schema().clone());
    let (index, settings) = find_index(front, name)?;
    let class = class_number(index, settings, &schema)?;
    let idempotency = schema.idempotency(class);
    let tenant = tenant_number(front, client, &schema)?;
    let selected = select_shards(index, settings, parameters)?;
    let query = build_query(
        context,
        client,
        parameters,
        search,
        (class, tenant),
        &selected,
        &schema,
    );
    let hits = match context.queries.send_query(received_at, query).await {
        Reply::Answer { hits, .. } => hits,
        Reply::Rejected { retry_after } => {
            return Err(response::rejected(retry_after.map(Duration::from_nanos)))
        }
        Reply::InvalidRequest(rejection) => {
            return Err(response::error(
                rejection.status,
                "illegal_argument_exception",
                rejection.reason,
            ));
        }
        _ => {
            let shards = ShardStatistics {
                total: selected.len(),
                ..ShardStatistics::default()
            };
            let reason = "all shards failed or were too late";
            return Err(response::search_failed(idempotency, index, &shards, reason));
        }
    };
    // Shards have been searched: from here on, a rejection would promise too much.
    check_answer_size(front, &hits, &client.memory)?;
    let (shards, answers, coverage) = parse_answers(&selected, &hits, search);
    // Neither shards that answered with an error nor shards that did not answer count towards the coverage.
    let min_coverage = schema.minimum_coverages.get(class).copied().unwrap_or(1.0);
    if coverage + COVERAGE_TOLERANCE < min_coverage {
        let reason = format!(
            "{} of {} shards failed",
            shards.failures.len(),
            shards.total
        );
        return Err(response::search_failed(
            idempotency,
            index,
            &shards,
            &reason,
        ));
    }
    if parameters.allow_partial_results == Some(false) && shards.successful < shards.total {
        let reason = "Partial shards failure";
        return Err(response::search_failed(idempotency, index, &shards, reason));
    }
    Ok(ShardResults {
        index,
        shards,
        answers,
        started_at,
    })
}

/// The index of a class in [`QuerySchema::classes`].
fn class_number(
    index: &str,
    settings: &Index,
    schema: &QuerySchema,
) -> Result<usize, RestResponse> {
    schema
        .classes
        .iter()
        .position(|class| *class == settings.class)
        .ok_or_else(|| {
            let reason = format!(
                "index [{index}] is of the class [{}], which the platform does not name",
                settings.class
            );
            response::error(500, "illegal_state_exception", &reason)
        })
}

/// The index of the client's tenant in [`QuerySchema::tenants`]; 0 if the configuration has no tenants.
fn tenant_number(
    front: &FrontSettings,
    client: &Client,
    schema: &QuerySchema,
) -> Result<usize, RestResponse> {
    let by_network = || front.tenant_networks.tenant_of(client.address);
    let named_tenant = match front.tenant_source {
        TenantSource::Header => client.header(&front.tenant_header),
        TenantSource::Network => by_network(),
        TenantSource::Certificate => client.certificate_name.as_deref(),
        TenantSource::HeaderOrNetwork => client.header(&front.tenant_header).or_else(by_network),
    };
    match named_tenant.or(front.default_tenant.as_deref()) {
        _ if schema.tenants.is_empty() => Ok(0),
        Some(tenant) => schema
            .tenants
            .iter()
            .position(|name| name == tenant)
            .ok_or_else(|| {
                response::error(
                    403,
                    "security_exception",
                    &format!("there is no tenant [{tenant}]"),
                )
            }),
        None => {
            let reason = "nothing tells the tenant: see tenant-by in the settings";
            Err(response::error(401, "security_exception", reason))
        }
    }
}

/// The shards to query, with their weights: all shards of an index, or those that the `preference` parameter lists.
fn select_shards(
    index: &str,
    settings: &Index,
    parameters: &Parameters,
) -> Result<Vec<(u32, f64)>, RestResponse> {
    let is_selected = |shard: &u32| {
        parameters
            .preferred_shards
            .as_ref()
            .is_none_or(|preferred| preferred.contains(shard))
    };
    let selected: Vec<(u32, f64)> = settings
        .shards
        .iter()
        .filter(|(shard, _)| is_selected(shard))
        .copied()
        .collect();
    if selected.is_empty()
        || parameters
            .preferred_shards
            .as_ref()
            .is_some_and(|preferred| preferred.len() != selected.len())
    {
        let reason = format!("the preference names shards that index [{index}] does not have");
        return Err(response::error(400, "illegal_argument_exception", &reason));
    }
    Ok(selected)
}

fn sum_of_weights(selected: &[(u32, f64)]) -> f64 {
    selected.iter().map(|(_, weight)| weight).sum()
}

/// Builds the query for a search, with a new request id.
fn build_query(
    context: &Context,
    client: &Client,
    parameters: &Parameters,
    search: &Search,
    (class, tenant): (usize, usize),
    selected: &[(u32, f64)],
    schema: &QuerySchema,
) -> QueryRequest {
    let weight_sum = sum_of_weights(selected);
    let max_timeout = schema
        .default_timeouts
        .get(class)
        .copied()
        .unwrap_or_default();
    let timeout = search
        .timeout
        .as_deref()
        .and_then(duration_ms)
        .or(parameters.timeout_ms);
    let timeout = timeout.map(|ms| ms.saturating_mul(NANOS_PER_MS));
    context
        .last_request_number
        .set(context.last_request_number.get() + 1);
    let part = |(shard, weight): &(u32, f64)| PartRequest {
        shard: *shard,
        weight: weight / weight_sum,
        work: None,
    };
    let idempotency_key = client
        .header("idempotency-key")
        .filter(|key| (1..=128).contains(&key.len()));
    QueryRequest {
        request_id: format!(
            "{}-{}",
            context.instance_id,
            context.last_request_number.get()
        ),
        class: class as u16,
        tenant: tenant as u32,
        timeout: timeout.unwrap_or(max_timeout).min(max_timeout),
        client_retry: client.header("x-retried") == Some("1"),
        idempotency_key: idempotency_key.map(str::to_string),
        parts: selected.iter().map(part).collect(),
        text: Bytes::from(serde_json::to_vec(&search.for_shards()).unwrap_or_default()),
    }
}

/// Checks that the answers of all shards together are within the limit of memory for a merge, and reserves the memory
/// until the response is written.
fn check_answer_size(
    front: &FrontSettings,
    hits: &[Hit],
    memory: &RequestMemory,
) -> Result<(), RestResponse> {
    let answer_bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
    if answer_bytes <= front.max_answer_bytes {
        return if memory.reserve(COPIES_OF_ANSWERS * answer_bytes) {
            Ok(())
        } else {
            let reason = format!("the shards' answers hold {answer_bytes} bytes, and others hold the memory for them");
            Err(response::error(500, "circuit_breaking_exception", &reason))
        };
    }
    let reason = format!(
        "the shards' answers hold {answer_bytes} bytes, and {} may be held",
        front.max_answer_bytes
    );
    let mut answer = response::error(500, "circuit_breaking_exception", &reason);
    answer.body["error"]["durability"] = json!("PERMANENT");
    Err(answer)
}

/// The status of the shards, the answers of the successful ones, and their coverage: their fraction of the total weight
/// of the selected shards.
fn parse_answers(
    selected: &[(u32, f64)],
    hits: &[Hit],
    search: &Search,
) -> (ShardStatistics, Vec<(u32, merge::ShardAnswer)>, f64) {
    let weight_sum = sum_of_weights(selected);
    let mut shards = ShardStatistics {
        total: selected.len(),
        ..ShardStatistics::default()
    };
    let (mut answers, mut coverage) = (Vec::new(), 0.0);
    for (shard, weight) in selected {
        let hit = hits.iter().find(|hit| hit.shard == *shard);
        let not_answered = || ShardFailure {
            kind: "timeout_exception".into(),
            reason: "no answer in time".into(),
        };
        match hit
            .ok_or_else(not_answered)
            .and_then(|hit| merge::parse_shard_answer(&hit.doc, search))
        {
            Ok(answer) => {
                coverage += weight / weight_sum;
                answers.push((*shard, answer));
            }
            Err(failure) => shards.failures.push((*shard, failure)),
        }
    }
    shards.successful = answers.len();
    (shards, answers, coverage)
}
