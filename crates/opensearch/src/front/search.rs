//! One search or count: one query to the reducer, and the shards' answers merged.

use super::parameters::Parameters;
use super::request::Caller;
use super::Context;
use crate::dsl::{duration_ms, Search, Track};
use crate::index::{Front, Index, TenantBy};
use crate::merge::{self, Unusable};
use crate::shape::{self, Answer, Shards};
use bytes::Bytes;
use cottonhill_mixer::protocol::query_json::{Hit, PartRequest, QueryRequest, QuerySchema, Reply};
use serde_json::json;
use std::time::{Duration, Instant};

/// Nanoseconds of a millisecond.
const MS: u64 = 1_000_000;
/// Rounding of sums of weights that does not count against a class's floor.
const ROUNDING: f64 = 1e-6;

/// The body of a search's answer.
pub(super) async fn search(
    context: &Context,
    arrived: u64,
    index: &str,
    caller: &Caller,
    parameters: &Parameters,
    body: &[u8],
) -> Result<Vec<u8>, Answer> {
    let search = read(parameters, body)?;
    let Gathered {
        index,
        shards,
        answers,
        began,
    } = gather(context, arrived, index, caller, parameters, &search).await?;
    let merged = merge::merge(&search, answers);
    Ok(shape::found(
        index,
        &search,
        began.elapsed(),
        &shards,
        &merged,
    ))
}

/// The body of a count's answer.
pub(super) async fn count(
    context: &Context,
    arrived: u64,
    index: &str,
    caller: &Caller,
    parameters: &Parameters,
    body: &[u8],
) -> Result<Vec<u8>, Answer> {
    let mut search = read(parameters, body)?;
    if search.size.is_some()
        || search.from.is_some()
        || !search.sort.is_empty()
        || !search.aggs.is_empty()
    {
        return Err(shape::error(
            400,
            "parsing_exception",
            "a count takes a query only",
        ));
    }
    search.size = Some(0);
    search.track_total_hits = Some(Track::Flag(true));
    let Gathered {
        index,
        shards,
        answers,
        ..
    } = gather(context, arrived, index, caller, parameters, &search).await?;
    let total = merge::merge(&search, answers)
        .total
        .map_or(0, |total| total.value);
    Ok(serde_json::to_vec(&shape::counted(index, &shards, total).body).unwrap_or_default())
}

/// Reads a search: its body, with the URL's parameters in force over it.
fn read(parameters: &Parameters, body: &[u8]) -> Result<Search, Answer> {
    let mut search = Search::read(body).map_err(|problem| shape::problem(&problem))?;
    search.from = parameters.from.or(search.from);
    search.size = parameters.size.or(search.size);
    search.track_total_hits = parameters.track.or(search.track_total_hits);
    search.check().map_err(|problem| shape::problem(&problem))?;
    Ok(search)
}

/// The index of this name, or the only one where all are asked.
pub(super) fn find<'a>(front: &'a Front, name: &str) -> Result<(&'a str, &'a Index), Answer> {
    if matches!(name, "_all" | "*") {
        if let (1, Some((name, index))) = (front.indices.len(), front.indices.iter().next()) {
            return Ok((name, index));
        }
        let reason = "one search goes to one index here: name it";
        return Err(shape::error(400, "illegal_argument_exception", reason));
    }
    match front.indices.get_key_value(name) {
        Some((name, index)) => Ok((name, index)),
        None => Err(shape::no_index(name)),
    }
}

/// The outcome of a query: the shards' answers that can be used, and what became of the others.
struct Gathered<'a> {
    index: &'a str,
    shards: Shards,
    answers: Vec<(u32, merge::ShardAnswer)>,
    began: Instant,
}

/// Asks the shards of an index; the answer to the client if too few of theirs can be used.
async fn gather<'a>(
    context: &'a Context,
    arrived: u64,
    name: &str,
    caller: &Caller,
    parameters: &Parameters,
    search: &Search,
) -> Result<Gathered<'a>, Answer> {
    let began = Instant::now();
    let (front, names) = (&context.front, context.queries.query_schema().clone());
    let (index, settings) = find(front, name)?;
    let class = class_of(index, settings, &names)?;
    let tenant = tenant_of(front, caller, &names)?;
    let chosen = chosen_shards(index, settings, parameters)?;
    let query = query(
        context,
        caller,
        parameters,
        search,
        (class, tenant),
        &chosen,
        &names,
    );
    let hits = match context.queries.send_query(arrived, query).await {
        Reply::Answer { hits, .. } => hits,
        Reply::Rejected { retry_after } => {
            return Err(shape::refused(retry_after.map(Duration::from_nanos)))
        }
        Reply::InvalidRequest(rejection) => {
            return Err(shape::error(
                rejection.status,
                "illegal_argument_exception",
                rejection.reason,
            ));
        }
        _ => {
            let shards = Shards {
                total: chosen.len(),
                ..Shards::default()
            };
            return Err(shape::failed(
                503,
                index,
                &shards,
                "all shards failed or were too late",
            ));
        }
    };
    check_size(front, &hits)?;
    let (shards, answers, share) = read_answers(&chosen, &hits, search);
    // What came back as an error counts as little as what did not come back.
    let floor = names.minimum_coverages.get(class).copied().unwrap_or(1.0);
    if share + ROUNDING < floor {
        let reason = format!(
            "{} of {} shards failed",
            shards.failures.len(),
            shards.total
        );
        return Err(shape::failed(503, index, &shards, &reason));
    }
    if parameters.partial == Some(false) && shards.successful < shards.total {
        return Err(shape::failed(503, index, &shards, "Partial shards failure"));
    }
    Ok(Gathered {
        index,
        shards,
        answers,
        began,
    })
}

/// The number of an index's class.
fn class_of(index: &str, settings: &Index, names: &QuerySchema) -> Result<usize, Answer> {
    names
        .classes
        .iter()
        .position(|class| *class == settings.class)
        .ok_or_else(|| {
            let reason = format!(
                "index [{index}] is of the class [{}], which the platform does not name",
                settings.class
            );
            shape::error(500, "illegal_state_exception", &reason)
        })
}

/// The number of the caller's tenant; 0 where the platform names none.
fn tenant_of(front: &Front, caller: &Caller, names: &QuerySchema) -> Result<usize, Answer> {
    let by_network = || front.networks.find(caller.address);
    let named_tenant = match front.by {
        TenantBy::Header => caller.header(&front.tenant_header),
        TenantBy::Network => by_network(),
        TenantBy::Certificate => caller.name.as_deref(),
        TenantBy::Either => caller.header(&front.tenant_header).or_else(by_network),
    };
    match named_tenant.or(front.tenant.as_deref()) {
        _ if names.tenants.is_empty() => Ok(0),
        Some(tenant) => names
            .tenants
            .iter()
            .position(|name| name == tenant)
            .ok_or_else(|| {
                shape::error(
                    403,
                    "security_exception",
                    &format!("there is no tenant [{tenant}]"),
                )
            }),
        None => {
            let reason = "nothing tells the tenant: see tenant-by in the settings";
            Err(shape::error(401, "security_exception", reason))
        }
    }
}

/// The shards to ask, with their weights: all of an index, or those that the parameters name.
fn chosen_shards(
    index: &str,
    settings: &Index,
    parameters: &Parameters,
) -> Result<Vec<(u32, f64)>, Answer> {
    let wanted = |shard: &u32| {
        parameters
            .only
            .as_ref()
            .is_none_or(|only| only.contains(shard))
    };
    let chosen: Vec<(u32, f64)> = settings
        .shards
        .iter()
        .filter(|(shard, _)| wanted(shard))
        .copied()
        .collect();
    if chosen.is_empty()
        || parameters
            .only
            .as_ref()
            .is_some_and(|only| only.len() != chosen.len())
    {
        let reason = format!("the preference names shards that index [{index}] does not have");
        return Err(shape::error(400, "illegal_argument_exception", &reason));
    }
    Ok(chosen)
}

fn sum_of_weights(chosen: &[(u32, f64)]) -> f64 {
    chosen.iter().map(|(_, weight)| weight).sum()
}

/// The query for a search, under a name of its own.
fn query(
    context: &Context,
    caller: &Caller,
    parameters: &Parameters,
    search: &Search,
    (class, tenant): (usize, usize),
    chosen: &[(u32, f64)],
    names: &QuerySchema,
) -> QueryRequest {
    let sum = sum_of_weights(chosen);
    let longest = names
        .default_timeouts
        .get(class)
        .copied()
        .unwrap_or_default();
    let timeout = search
        .timeout
        .as_deref()
        .and_then(duration_ms)
        .or(parameters.timeout);
    let timeout = timeout.map(|ms| ms.saturating_mul(MS));
    context.last.set(context.last.get() + 1);
    let part = |(shard, weight): &(u32, f64)| PartRequest {
        shard: *shard,
        weight: weight / sum,
        work: None,
    };
    let key = caller
        .header("idempotency-key")
        .filter(|key| (1..=128).contains(&key.len()));
    QueryRequest {
        request_id: format!("{}-{}", context.run, context.last.get()),
        class: class as u16,
        tenant: tenant as u32,
        timeout: timeout.unwrap_or(longest).min(longest),
        client_retry: caller.header("x-retried") == Some("1"),
        idempotency_key: key.map(str::to_string),
        parts: chosen.iter().map(part).collect(),
        text: Bytes::from(serde_json::to_vec(&search.for_shards()).unwrap_or_default()),
    }
}

/// Whether the shards' answers together are small enough to be merged.
fn check_size(front: &Front, hits: &[Hit]) -> Result<(), Answer> {
    let answer_bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
    if answer_bytes <= front.most_answer {
        return Ok(());
    }
    let reason = format!(
        "the shards' answers hold {answer_bytes} bytes, and {} may be held",
        front.most_answer
    );
    let mut answer = shape::error(429, "circuit_breaking_exception", &reason);
    answer.body["error"]["durability"] = json!("PERMANENT");
    Err(answer)
}

/// What became of each shard, the answers that can be used, and their share of the weight.
fn read_answers(
    chosen: &[(u32, f64)],
    hits: &[Hit],
    search: &Search,
) -> (Shards, Vec<(u32, merge::ShardAnswer)>, f64) {
    let sum = sum_of_weights(chosen);
    let mut shards = Shards {
        total: chosen.len(),
        ..Shards::default()
    };
    let (mut answers, mut share) = (Vec::new(), 0.0);
    for (shard, weight) in chosen {
        let hit = hits.iter().find(|hit| hit.shard == *shard);
        let late = || Unusable {
            kind: "timeout_exception".into(),
            reason: "no answer in time".into(),
        };
        match hit
            .ok_or_else(late)
            .and_then(|hit| merge::read(&hit.doc, search))
        {
            Ok(answer) => {
                share += weight / sum;
                answers.push((*shard, answer));
            }
            Err(why) => shards.failures.push((*shard, why)),
        }
    }
    shards.successful = answers.len();
    (shards, answers, share)
}
