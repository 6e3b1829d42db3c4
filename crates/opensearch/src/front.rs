//! The listener: HTTP/1.1 in, one query to the reducer for each search, one answer out.

use crate::dsl::{duration_ms, Search, Track};
use crate::index::{Front, Index, TenantBy};
use crate::merge::{self, Unusable};
use crate::packed::{self, WORTH_PACKING};
use crate::shape::{self, Answer, Shards};
use crate::tenant;
use crate::tls::{self, Tls};
use bytes::Bytes;
use cottonhill_mixer::protocol::query::{AskedPart, Query, Reply};
use cottonhill_mixer::transport::QueryClient;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde_json::{json, Value};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Searches of one `_msearch`, and those of them that are asked at once.
const MOST_SEARCHES: usize = 256;
const AT_ONCE: usize = 8;
/// After a failed accept (no descriptors left) before the next.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A TLS handshake is over within this, or its connection is closed.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// A body that has begun is whole within this.
const WHOLE_BODY: Duration = Duration::from_secs(2);
const MS: u64 = 1_000_000;

struct Context {
    front: Front,
    queries: QueryClient,
    /// Begins the names of this run's queries: leaf servers must never see one of another mixer or run again.
    run: String,
    last: Cell<u64>,
}

/// Serves on `listener` until the mixer stops; in the mixer's own `LocalSet`.
pub fn start(front: Front, tls: Option<Rc<Tls>>, listener: TcpListener, queries: QueryClient) {
    let run = format!("os{:016x}", rand::random::<u64>());
    let room = Arc::new(Semaphore::new(front.connections));
    let context = Rc::new(Context { front, queries, run, last: Cell::new(0) });
    tokio::task::spawn_local(async move {
        loop {
            let Ok(place) = room.clone().acquire_owned().await else { return };
            let (stream, peer) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(e) => {
                        tracing::warn!(error = %e, "accept");
                        tokio::time::sleep(ACCEPT_AGAIN).await;
                        continue;
                    }
                },
                () = context.queries.stopped() => return,
            };
            let (context, tls) = (context.clone(), tls.clone());
            tokio::task::spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let peer = Peer { address: peer.ip(), name: None };
                match tls {
                    None => attend(&context, stream, peer).await,
                    Some(tls) => attend_tls(&context, &tls, stream, peer).await,
                }
                drop(place);
            });
        }
    });
}

/// Who is at the other end of a connection.
#[derive(Clone)]
struct Peer {
    address: IpAddr,
    /// The common name in its certificate.
    name: Option<String>,
}

async fn attend_tls(context: &Rc<Context>, tls: &Tls, stream: TcpStream, peer: Peer) {
    match timeout(HANDSHAKE, tls.acceptor().accept(stream)).await {
        Ok(Ok(stream)) => {
            let certificates = stream.get_ref().1.peer_certificates();
            let name = certificates.and_then(|all| all.first()).and_then(tls::common_name);
            attend(context, stream, Peer { name, ..peer }).await;
        }
        Ok(Err(e)) => tracing::debug!(address = %peer.address, error = %e, "TLS handshake"),
        Err(_) => tracing::debug!(address = %peer.address, "TLS handshake took too long"),
    }
}

async fn attend<S: AsyncRead + AsyncWrite + Unpin + 'static>(context: &Rc<Context>, stream: S, peer: Peer) {
    let answer = service_fn(|request| {
        let (context, peer) = (context.clone(), peer.clone());
        async move { Ok::<_, Infallible>(handle(&context, peer, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(context.front.idle).max_buf_size(64 * 1024);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), answer));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = context.queries.stopped() => {
            // Open requests are answered; then the connection ends.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "search connection");
    }
}

fn response(answer: Answer, head: bool) -> Response<Full<Bytes>> {
    let after = answer.retry_after;
    let body = if head { Vec::new() } else { serde_json::to_vec(&answer.body).unwrap_or_default() };
    let mut response = bytes_response(answer.status, body);
    if let Some(after) = after {
        // Whole seconds, as clients of this protocol read them; the reason tells the milliseconds.
        let seconds = HeaderValue::from(after.as_millis().div_ceil(1000) as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn bytes_response(status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json; charset=UTF-8"));
    response
}

/// The client that asks: the request's headers, and the client's own address.
#[derive(Clone)]
struct Caller {
    headers: HeaderMap,
    address: IpAddr,
    name: Option<String>,
}

/// The parameters of a search that stand in its URL, not in its body.
#[derive(Clone, Debug, Default)]
struct Parameters {
    from: Option<u64>,
    size: Option<u64>,
    /// Milliseconds.
    timeout: Option<u64>,
    track: Option<Track>,
    /// The shards to ask, where `preference` names them.
    only: Option<Vec<u32>>,
    /// Whether an answer from a part of the shards will do.
    partial: Option<bool>,
}

/// Reads the parameters of a query string; the answer to the client if one is unknown or can't be used.
fn read_parameters(path: &str, query: Option<&str>) -> Result<Parameters, Answer> {
    let mut all = Parameters::default();
    for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value = value.replace("%3A", ":").replace("%3a", ":").replace("%2C", ",").replace("%2c", ",");
        let wrong = || {
            let reason = format!("Failed to parse value [{value}] of parameter [{name}]");
            shape::error(400, "illegal_argument_exception", &reason)
        };
        let number = || value.parse::<u64>().map_err(|_| wrong());
        let flag = || match value.as_str() {
            "" | "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(wrong()),
        };
        match name {
            "from" => all.from = Some(number()?),
            "size" => all.size = Some(number()?),
            "timeout" => all.timeout = Some(duration_ms(&value).ok_or_else(wrong)?),
            "track_total_hits" => {
                all.track = Some(number().map(Track::UpTo).or_else(|_| flag().map(Track::Flag))?);
            }
            "allow_partial_search_results" => all.partial = Some(flag()?),
            "preference" => {
                let shards = value.strip_prefix("_shards:").ok_or_else(wrong)?;
                let shards = shards.split('|').next().unwrap_or_default().split(',');
                let shards: Result<_, _> = shards.map(|shard| shard.parse().map_err(|_| wrong())).collect();
                all.only = Some(shards?);
            }
            // How the answer is written or named: nothing that it holds.
            "pretty" | "human" | "error_trace" => {}
            _ => {
                let reason = format!("request [{path}] contains unrecognized parameter: [{name}]");
                return Err(shape::error(400, "illegal_argument_exception", &reason));
            }
        }
    }
    Ok(all)
}

async fn handle(context: &Rc<Context>, peer: Peer, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = context.queries.now();
    let head = request.method() == Method::HEAD;
    let (parts, body) = request.into_parts();
    let accepts = text_of(&parts.headers, ACCEPT_ENCODING.as_str()).is_some_and(|all| all.contains("gzip"));
    let opaque = parts.headers.get("x-opaque-id").cloned();
    let mut response = match body_of(context, &parts, body).await {
        Err(answer) => response(answer, head),
        Ok(body) => {
            let forwarded: Vec<&str> = parts
                .headers
                .get_all("x-forwarded-for")
                .iter()
                .filter_map(|line| line.to_str().ok())
                .collect();
            let address = tenant::client(peer.address, &forwarded, &context.front.proxies);
            let caller = Caller { headers: parts.headers.clone(), address, name: peer.name };
            match route(context, arrived, &parts, &caller, &body).await {
                Ok(_) if head => bytes_response(200, Vec::new()),
                Ok(bytes) if accepts && bytes.len() >= WORTH_PACKING => match packed::pack(&bytes) {
                    Some(short) => {
                        let mut response = bytes_response(200, short);
                        response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
                        response
                    }
                    None => bytes_response(200, bytes),
                },
                Ok(bytes) => bytes_response(200, bytes),
                Err(answer) => response(answer, head),
            }
        }
    };
    if let Some(opaque) = opaque {
        response.headers_mut().insert("x-opaque-id", opaque);
    }
    response
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The whole body, unpacked.
async fn body_of(context: &Context, parts: &Parts, body: Incoming) -> Result<Bytes, Answer> {
    let most = context.front.most_body;
    let too_long = |reason: &str| shape::error(413, "illegal_argument_exception", reason);
    let body = match timeout(WHOLE_BODY, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err(too_long(&format!("the body is cut short or longer than {most} bytes"))),
        Err(_) => return Err(shape::error(408, "timeout_exception", "the body took too long")),
    };
    match text_of(&parts.headers, CONTENT_ENCODING.as_str()) {
        None | Some("identity") => Ok(body),
        Some("gzip") => packed::unpack(&body, most).map(Bytes::from).map_err(|why| too_long(&why)),
        Some(other) => {
            let reason = format!("Content-Encoding [{other}] is not supported; gzip is");
            Err(shape::error(415, "illegal_argument_exception", &reason))
        }
    }
}

/// The bytes of a 200, or any other answer.
async fn route(
    context: &Rc<Context>, arrived: u64, parts: &Parts, caller: &Caller, body: &Bytes,
) -> Result<Vec<u8>, Answer> {
    let path = parts.uri.path();
    let parameters = read_parameters(path, parts.uri.query())?;
    let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
    let get = matches!(parts.method, Method::GET | Method::HEAD);
    let read = get || parts.method == Method::POST;
    let plain = |value: Value| Ok(serde_json::to_vec(&value).unwrap_or_default());
    let front = &context.front;
    match segments[..] {
        [] if get => {
            plain(json!({"name": "mixer", "cluster_name": front.cluster, "cluster_uuid": context.run,
            "version": {"distribution": "opensearch", "number": "2.11.0", "build_type": "cottonhill",
                "minimum_wire_compatibility_version": "7.10.0", "minimum_index_compatibility_version": "7.0.0"},
            "tagline": "a query mixer"}))
        }
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
        [index, "_search"] if read => search(context, arrived, index, caller, &parameters, body).await,
        ["_count"] if read => count(context, arrived, "_all", caller, &parameters, body).await,
        [index, "_count"] if read => count(context, arrived, index, caller, &parameters, body).await,
        [index] if get && !index.starts_with('_') => {
            let (name, index) = find(front, index)?;
            plain(
                json!({name: {"settings": {"index": {"number_of_shards": index.shards.len().to_string()}}}}),
            )
        }
        _ => {
            let reason = format!("no handler found for uri [{path}] and method [{}]", parts.method);
            Err(shape::error(400, "illegal_argument_exception", &reason))
        }
    }
}

fn find<'a>(front: &'a Front, name: &str) -> Result<(&'a str, &'a Index), Answer> {
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
    context: &'a Context, arrived: u64, name: &str, caller: &Caller, parameters: &Parameters, search: &Search,
) -> Result<Gathered<'a>, Answer> {
    let began = Instant::now();
    let (front, names) = (&context.front, context.queries.names().clone());
    let (index, settings) = find(front, name)?;
    let Some(class) = names.classes.iter().position(|class| *class == settings.class) else {
        let reason =
            format!("index [{index}] is of the class [{}], which the platform does not name", settings.class);
        return Err(shape::error(500, "illegal_state_exception", &reason));
    };
    let header = |name: &str| caller.headers.get(name).and_then(|value| value.to_str().ok());
    let by_network = || front.networks.find(caller.address);
    let named_tenant = match front.by {
        TenantBy::Header => header(&front.tenant_header),
        TenantBy::Network => by_network(),
        TenantBy::Certificate => caller.name.as_deref(),
        TenantBy::Either => header(&front.tenant_header).or_else(by_network),
    };
    let tenant = named_tenant.or(front.tenant.as_deref());
    let tenant = match tenant {
        _ if names.tenants.is_empty() => 0,
        Some(tenant) => names.tenants.iter().position(|name| name == tenant).ok_or_else(|| {
            shape::error(403, "security_exception", &format!("there is no tenant [{tenant}]"))
        })?,
        None => {
            let reason = "nothing tells the tenant: see tenant-by in the settings";
            return Err(shape::error(401, "security_exception", reason));
        }
    };
    let wanted = |shard: &u32| parameters.only.as_ref().is_none_or(|only| only.contains(shard));
    let chosen: Vec<(u32, f64)> =
        settings.shards.iter().filter(|(shard, _)| wanted(shard)).copied().collect();
    if chosen.is_empty() || parameters.only.as_ref().is_some_and(|only| only.len() != chosen.len()) {
        let reason = format!("the preference names shards that index [{index}] does not have");
        return Err(shape::error(400, "illegal_argument_exception", &reason));
    }
    let sum: f64 = chosen.iter().map(|(_, weight)| weight).sum();
    let longest = names.deadlines.get(class).copied().unwrap_or_default();
    let stated = search
        .timeout
        .as_deref()
        .and_then(duration_ms)
        .or(parameters.timeout)
        .map(|ms| ms.saturating_mul(MS));
    context.last.set(context.last.get() + 1);
    let text = serde_json::to_vec(&search.for_shards()).unwrap_or_default();
    let query = Query {
        name: format!("{}-{}", context.run, context.last.get()),
        class: class as u16,
        tenant: tenant as u32,
        timeout: stated.unwrap_or(longest).min(longest),
        repeat: header("x-retried") == Some("1"),
        idempotency_key: header("idempotency-key")
            .filter(|key| (1..=128).contains(&key.len()))
            .map(str::to_string),
        parts: chosen
            .iter()
            .map(|(shard, weight)| AskedPart { shard: *shard, weight: weight / sum, work: None })
            .collect(),
        text: Bytes::from(text),
    };
    let hits = match context.queries.ask(arrived, query).await {
        Reply::Answer { hits, .. } => hits,
        Reply::Refused { come_back } => return Err(shape::refused(come_back.map(Duration::from_nanos))),
        Reply::Rejected(rejection) => {
            return Err(shape::error(rejection.status, "illegal_argument_exception", rejection.why));
        }
        _ => {
            let shards = Shards { total: chosen.len(), ..Shards::default() };
            return Err(shape::failed(503, index, &shards, "all shards failed or were too late"));
        }
    };
    let answer_bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
    if answer_bytes > front.most_answer {
        let reason =
            format!("the shards' answers hold {answer_bytes} bytes, and {} may be held", front.most_answer);
        let mut answer = shape::error(429, "circuit_breaking_exception", &reason);
        answer.body["error"]["durability"] = json!("PERMANENT");
        return Err(answer);
    }
    let mut shards = Shards { total: chosen.len(), ..Shards::default() };
    let (mut answers, mut share) = (Vec::new(), 0.0);
    for (shard, weight) in &chosen {
        let hit = hits.iter().find(|hit| hit.shard == *shard);
        let late = || Unusable { kind: "timeout_exception".into(), reason: "no answer in time".into() };
        match hit.ok_or_else(late).and_then(|hit| merge::read(&hit.doc, search)) {
            Ok(answer) => {
                share += weight / sum;
                answers.push((*shard, answer));
            }
            Err(why) => shards.failures.push((*shard, why)),
        }
    }
    shards.successful = answers.len();
    // What came back as an error counts as little as what did not come back.
    let floor = names.floors.get(class).copied().unwrap_or(1.0);
    if share + 1e-6 < floor {
        let reason = format!("{} of {} shards failed", shards.failures.len(), shards.total);
        return Err(shape::failed(503, index, &shards, &reason));
    }
    if parameters.partial == Some(false) && shards.successful < shards.total {
        return Err(shape::failed(503, index, &shards, "Partial shards failure"));
    }
    Ok(Gathered { index, shards, answers, began })
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

async fn search(
    context: &Context, arrived: u64, index: &str, caller: &Caller, parameters: &Parameters, body: &[u8],
) -> Result<Vec<u8>, Answer> {
    let search = read(parameters, body)?;
    let Gathered { index, shards, answers, began } =
        gather(context, arrived, index, caller, parameters, &search).await?;
    let merged = merge::merge(&search, answers);
    Ok(shape::found(index, &search, began.elapsed(), &shards, &merged))
}

async fn count(
    context: &Context, arrived: u64, index: &str, caller: &Caller, parameters: &Parameters, body: &[u8],
) -> Result<Vec<u8>, Answer> {
    let mut search = read(parameters, body)?;
    if search.size.is_some() || search.from.is_some() || !search.sort.is_empty() || !search.aggs.is_empty() {
        return Err(shape::error(400, "parsing_exception", "a count takes a query only"));
    }
    search.size = Some(0);
    search.track_total_hits = Some(Track::Flag(true));
    let Gathered { index, shards, answers, .. } =
        gather(context, arrived, index, caller, parameters, &search).await?;
    let total = merge::merge(&search, answers).total.map_or(0, |total| total.value);
    Ok(serde_json::to_vec(&shape::counted(index, &shards, total).body).unwrap_or_default())
}

/// The line before each search of an `_msearch`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Line {
    index: Option<Value>,
    preference: Option<String>,
    allow_partial_search_results: Option<bool>,
    routing: Option<String>,
    search_type: Option<String>,
}

/// Searches one after another on their lines, asked a few at a time and answered in their order. One that can't be
/// read is answered with its error; it does not touch the others.
async fn msearch(
    context: &Rc<Context>, arrived: u64, index: Option<&str>, caller: &Caller, parameters: &Parameters,
    body: &Bytes,
) -> Result<Vec<u8>, Answer> {
    let began = Instant::now();
    let mut lines: Vec<&[u8]> = body.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii).collect();
    while lines.last().is_some_and(|line| line.is_empty()) {
        lines.pop();
    }
    if lines.is_empty() || lines.len() % 2 == 1 {
        let reason = "a search has two lines, each ended by a newline";
        return Err(shape::error(400, "illegal_argument_exception", reason));
    }
    if lines.len() / 2 > MOST_SEARCHES {
        let reason = format!("{} searches at once, and {MOST_SEARCHES} at most", lines.len() / 2);
        return Err(shape::error(400, "illegal_argument_exception", &reason));
    }
    let mut answers: Vec<Vec<u8>> = vec![Vec::new(); lines.len() / 2];
    // Dropped with the connection, they have all left.
    let mut open = JoinSet::new();
    let done = |at: Result<(usize, Result<Vec<u8>, Answer>), _>, answers: &mut Vec<Vec<u8>>| {
        if let Ok((at, answer)) = at {
            answers[at] = answer_of(answer);
        }
    };
    for (at, pair) in lines.chunks(2).enumerate() {
        while open.len() >= AT_ONCE {
            if let Some(ended) = open.join_next().await {
                done(ended, &mut answers);
            }
        }
        let (line, body) = (pair[0].to_vec(), body.slice_ref(pair[1]));
        let (context, caller, mut parameters) = (context.clone(), caller.clone(), parameters.clone());
        let index = index.map(str::to_string);
        open.spawn_local(async move {
            let asked = async {
                let line: Line = if line.is_empty() {
                    Line::default()
                } else {
                    let read = serde_json::from_slice(&line);
                    read.map_err(|e| {
                        shape::error(400, "parsing_exception", &format!("the line before it: {e}"))
                    })?
                };
                let named = line.index.as_ref().and_then(|index| match index {
                    Value::String(name) => Some(name.as_str()),
                    Value::Array(names) if names.len() == 1 => names[0].as_str(),
                    _ => None,
                });
                if line.index.is_some() && named.is_none() {
                    return Err(shape::error(
                        400,
                        "illegal_argument_exception",
                        "one search goes to one index here",
                    ));
                }
                if line.routing.is_some() || line.search_type.is_some_and(|kind| kind != "query_then_fetch") {
                    let reason = "neither routing nor another search_type is supported here";
                    return Err(shape::error(400, "illegal_argument_exception", reason));
                }
                if let Some(preference) = line.preference {
                    parameters.only =
                        read_parameters("/_msearch", Some(&format!("preference={preference}")))?.only;
                }
                parameters.partial = line.allow_partial_search_results.or(parameters.partial);
                let name = named.or(index.as_deref()).unwrap_or("_all");
                search(&context, arrived, name, &caller, &parameters, &body).await
            };
            (at, asked.await)
        });
    }
    while let Some(ended) = open.join_next().await {
        done(ended, &mut answers);
    }
    let mut body = format!("{{\"took\":{},\"responses\":[", began.elapsed().as_millis()).into_bytes();
    body.extend(answers.join(&b','));
    body.extend_from_slice(b"]}");
    Ok(body)
}

/// One answer of several: with its status in it.
fn answer_of(answer: Result<Vec<u8>, Answer>) -> Vec<u8> {
    match answer {
        Ok(mut body) if body.last() == Some(&b'}') => {
            body.pop();
            body.extend_from_slice(b",\"status\":200}");
            body
        }
        Ok(body) => body,
        Err(answer) => serde_json::to_vec(&answer.body).unwrap_or_default(),
    }
}
