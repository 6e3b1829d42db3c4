//! `cottonhill-prove-opensearch`: end-to-end test that the OpenSearch-style frontend returns correct results, and
//! answers about as many searches as the native frontend does of the same queries.
//!
//! The same random searches are sent through both frontends to the same leaf servers, while a zone is killed and
//! restored cold. Every page is compared with the one computed from the documents of the shards that it reports as
//! successful.

use bytes::Bytes;
use clap::Parser;
use cottonhill_standins::client::{Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use cottonhill_standins::search::{
    aggregate, injected_fault, matching_hits, page, response_text, FAULTS, FAULTY_SHARD, GENRES,
    TITLE_WORDS,
};
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Runs the end-to-end test of the OpenSearch-style frontend on loopback. The last line is a summary; the exit code is
/// 0 only if all checks pass
#[derive(Parser)]
struct Arguments {
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches, each sent through both frontends
    #[arg(long, default_value_t = 5000)]
    queries: u64,
    /// Concurrent clients
    #[arg(long, default_value_t = 24)]
    clients: u64,
}

/// Random query clause with up to `depth` levels of nested clauses.
fn random_clause(random: &mut StdRng, depth: u32) -> Value {
    let word = TITLE_WORDS[random.random_range(0..TITLE_WORDS.len())];
    let genre = GENRES[random.random_range(0..GENRES.len())];
    let year = random.random_range(1960..2020);
    match random.random_range(0..if depth > 0 { 13 } else { 9 }) {
        0 => json!({"match_all": {}}),
        1 => json!({"match": {"title": word}}),
        2 => json!({"match": {"title": {"query": format!("{word} night"), "operator": "and"}}}),
        3 => json!({"term": {"genre": {"value": genre, "boost": 2.0}}}),
        4 => json!({"terms": {"genre": [genre, "folk"]}}),
        5 => json!({"range": {"year": {"gte": year, "lt": year + 20}}}),
        6 => json!({"exists": {"field": "plays"}}),
        7 => json!({"prefix": {"genre": "f"}}),
        8 => {
            json!({"multi_match": {"query": format!("{word} jazz"), "fields": ["title", "genre"]}})
        }
        9 => json!({"constant_score": {"filter": random_clause(random, depth - 1), "boost": 3.5}}),
        10 => json!({"function_score": {"query": random_clause(random, depth - 1), "weight": 0.5}}),
        _ => {
            let mut body = Map::new();
            for key in ["must", "filter", "should", "must_not"] {
                if random.random_bool(0.4) {
                    let count = random.random_range(1..3);
                    body.insert(
                        key.into(),
                        (0..count)
                            .map(|_| random_clause(random, depth - 1))
                            .collect(),
                    );
                }
            }
            json!({ "bool": body })
        }
    }
}

/// Random search request.
fn random_search(random: &mut StdRng) -> Value {
    let mut search = json!({"query": random_clause(random, 2)});
    if random.random_bool(0.5) {
        search["size"] = json!(random.random_range(0..120));
    }
    if random.random_bool(0.5) {
        // `plays` is missing in some documents and a string in one shard.
        let keys = [
            json!({"year": "desc"}),
            json!({"plays": {"order": "asc"}}),
            json!("genre"),
            json!("_score"),
        ];
        let first = random.random_range(0..keys.len());
        search["sort"] = json!([keys[first], keys[(first + 1) % keys.len()]]);
    }
    if random.random_bool(0.3) {
        search["from"] = json!(random.random_range(0..60));
    }
    if random.random_bool(0.2) {
        search["min_score"] = json!(1.0);
    }
    let fault = FAULTS[random.random_range(0..FAULTS.len())];
    if random.random_bool(0.06) {
        search["min_score"] = json!(fault.0);
        search["sort"] = json!(["year"]);
    }
    if random.random_bool(0.3) {
        search["aggs"] = json!({
            "genres": {"terms": {"field": "genre", "size": 3}},
            "years": {"stats": {"field": "year"}},
            "plays": {"avg": {"field": "plays"}},
            "least": {"min": {"field": "plays"}},
            "most": {"max": {"field": "year"}},
            "all": {"sum": {"field": "year"}},
            "counted": {"value_count": {"field": "genre"}},
            "decades": {"histogram": {"field": "year", "interval": 10}},
            "weeks": {"date_histogram": {"field": "released", "fixed_interval": "7d"}}
        });
    }
    search
}

/// Number of searches by class and outcome.
type OutcomeCounts = BTreeMap<(&'static str, &'static str), u64>;

#[derive(Default)]
struct Tally {
    native: OutcomeCounts,
    opensearch: OutcomeCounts,
    /// Pages that equal the expected ones.
    correct_pages: u64,
    /// Searches with an injected fault, by fault and outcome.
    faulty: BTreeMap<(&'static str, &'static str), u64>,
    errors: Vec<String>,
    unanswered: u64,
    /// Answers after the timeout of their class.
    late: u64,
}

/// Compares JSON values, with a relative tolerance of 1e-9 for numbers.
fn approximately_equal(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            let (a, b) = (
                a.as_f64().unwrap_or_default(),
                b.as_f64().unwrap_or_default(),
            );
            (a - b).abs() <= 1e-9 * a.abs().max(1.0)
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| approximately_equal(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len()
                && a.iter().all(|(key, value)| {
                    b.get(key)
                        .is_some_and(|other| approximately_equal(value, other))
                })
        }
        _ => a == b,
    }
}

/// Describes the first error of a page; `None` if there is none, or if the counts of `_shards` are right and
/// `hits.hits` is missing.
fn page_error(search: &Value, body: &Value) -> Option<String> {
    let failed: Vec<u32> = body["_shards"]["failures"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|failure| Some(failure["shard"].as_u64()? as u32))
        .collect();
    let successful: Vec<u32> = (0..SHARDS)
        .filter(|shard| !failed.contains(shard))
        .collect();
    if body["_shards"]["successful"] != json!(successful.len())
        || body["_shards"]["total"] != json!(SHARDS)
    {
        return Some(format!("_shards has wrong counts: {}", body["_shards"]));
    }
    if injected_fault(search).is_some() && failed != [FAULTY_SHARD] {
        return Some(format!(
            "failed shards {failed:?} instead of [{FAULTY_SHARD}]"
        ));
    }
    let found = matching_hits(search, &successful);
    let ids: Vec<&str> = body["hits"]["hits"]
        .as_array()?
        .iter()
        .filter_map(|hit| hit["_id"].as_str())
        .collect();
    let page = page(search, &found);
    let expected: Vec<&str> = page.iter().map(|hit| hit.id.as_str()).collect();
    if ids != expected {
        return Some(format!("hits {ids:?} instead of {expected:?}"));
    }
    let sources_match = body["hits"]["hits"]
        .as_array()?
        .iter()
        .zip(&page)
        .all(|(hit, expected)| hit["_source"] == expected.source);
    if !sources_match {
        return Some("a hit has a _source other than its document".into());
    }
    if body["hits"]["total"] != json!({"value": found.len(), "relation": "eq"}) {
        return Some(format!(
            "total {} instead of {}",
            body["hits"]["total"],
            found.len()
        ));
    }
    for (name, aggregation) in search["aggs"].as_object().into_iter().flatten() {
        let (actual, expected) = (&body["aggregations"][name], aggregate(aggregation, &found));
        if !approximately_equal(actual, &expected) {
            return Some(format!(
                "aggregation {name}: {actual} instead of {expected}"
            ));
        }
    }
    None
}

/// Sends random searches through both frontends of one mixer.
async fn run_client(
    number: u64,
    arguments: Arc<Arguments>,
    mixers: Vec<(SocketAddr, SocketAddr)>,
    tally: Arc<Mutex<Tally>>,
) {
    let mut random =
        StdRng::seed_from_u64(arguments.seed ^ (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let (native_address, opensearch_address) = mixers[number as usize % mixers.len()];
    let (mut native, mut opensearch) = (
        Connection::new(native_address),
        Connection::new(opensearch_address),
    );
    for n in 0..arguments.queries / arguments.clients {
        let search = random_search(&mut random);
        let (class, _, timeout_ms, _) = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = TENANTS[random.random_range(0..TENANTS.len())];
        let query = Query {
            class: class.into(),
            tenant: tenant.into(),
            parts: (0..SHARDS)
                .map(|shard| (shard, 1.0 / f64::from(SHARDS)))
                .collect(),
            text: search.to_string(),
            key: None,
        };
        let (id, timeout) = (format!("p{number}-{n}"), Duration::from_millis(timeout_ms));
        let attempt = Attempt {
            id: &id,
            retry: false,
            timeout,
            extra_wait: Duration::from_secs(3),
        };
        let (fault, minimum_coverage) = (
            injected_fault(&search),
            CLASSES
                .iter()
                .find(|candidate| candidate.0 == class)
                .map_or(1.0, |class| class.3),
        );
        let native_first = random.random_bool(0.5);
        // Outcomes at the native and at the OpenSearch-style frontend.
        let mut outcome = ("", "");
        for use_native in [native_first, !native_first] {
            if use_native && fault.is_some() {
                // The native frontend passes a faulty response on unchanged.
                continue;
            }
            if use_native {
                let result = native.send_query(&query, &attempt).await;
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                outcome.0 = match result {
                    AttemptOutcome::Answer(complete, hits) => {
                        let correct =
                            |(shard, doc): &(u32, String)| *doc == response_text(*shard, &search);
                        if !hits.iter().all(correct) {
                            tally.errors.push(format!(
                                "native: a value differs from the leaf server's: {search}"
                            ));
                        }
                        if complete {
                            "complete"
                        } else {
                            "partial"
                        }
                    }
                    AttemptOutcome::Refused(_) => "refused",
                    AttemptOutcome::Failed(_) => "failed",
                    AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut => {
                        tally.unanswered += 1;
                        "unanswered"
                    }
                };
                *tally.native.entry((class, outcome.0)).or_default() += 1;
            } else {
                let request = Request::post(format!("/{class}/_search"))
                    .header("Host", "mixer")
                    .header("Content-Type", "application/json")
                    .header("X-Tenant-Id", tenant)
                    .body(Full::new(Bytes::from(search.to_string())));
                let Ok(request) = request else { continue };
                let started = Instant::now();
                let result = tokio::time::timeout(
                    timeout + Duration::from_secs(3),
                    opensearch.send_request(request),
                )
                .await;
                let late = started.elapsed() > timeout;
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.late += u64::from(late);
                outcome.1 = match result {
                    Ok(Some((200, body, _))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        match page_error(&search, &body) {
                            None => tally.correct_pages += 1,
                            Some(error) => tally.errors.push(format!("{error}: {search}")),
                        }
                        if body["_shards"]["failed"] == 0 {
                            "complete"
                        } else {
                            "partial"
                        }
                    }
                    Ok(Some((429, body, retry_after))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        if retry_after.is_none()
                            || body["error"]["type"] != "circuit_breaking_exception"
                        {
                            tally.errors.push(format!(
                                "a 429 without Retry-After or with another error type: {body}"
                            ));
                        }
                        "refused"
                    }
                    Ok(Some((status, body, _))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        if body["status"] != status
                            || body["error"]["type"] != "search_phase_execution_exception"
                        {
                            tally.errors.push(format!(
                                "an error response with a wrong status or error type: {status} {body}"
                            ));
                        }
                        "failed"
                    }
                    Ok(None) | Err(_) => {
                        tally.unanswered += 1;
                        "unanswered"
                    }
                };
                let Some(fault) = fault else {
                    *tally.opensearch.entry((class, outcome.1)).or_default() += 1;
                    continue;
                };
                *tally.faulty.entry((fault, outcome.1)).or_default() += 1;
                // A partial answer without one of the 16 shards is allowed unless the class requires full coverage; one
                // without all shards never is.
                let expected = if minimum_coverage == 1.0 || fault == "error from every shard" {
                    "failed"
                } else {
                    "partial"
                };
                if outcome.1 != expected && outcome.1 != "refused" {
                    tally.errors.push(format!(
                        "{fault}, minimum coverage {minimum_coverage}: {} instead of {expected}: {search}",
                        outcome.1
                    ));
                }
            }
        }
    }
}

/// Sends one request on a new connection. Returns the headers and the body if the status is 200.
async fn send_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(hyper::HeaderMap, Bytes)> {
    let exchange = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let (mut send, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let task = tokio::spawn(connection);
        let answer = send
            .send_request(request)
            .await
            .ok()
            .filter(|answer| answer.status() == 200)?;
        let headers = answer.headers().clone();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        task.abort();
        Some((headers, body))
    };
    tokio::time::timeout(Duration::from_secs(5), exchange)
        .await
        .ok()?
}

/// Sends one request of each kind and compares its response with the expected one. Returns the errors.
async fn check_request_kinds(address: SocketAddr) -> Vec<String> {
    let mut connection = Connection::new(address);
    let mut errors = Vec::new();
    let all_shards: Vec<u32> = (0..SHARDS).collect();
    let query = json!({"query": {"match": {"title": "river"}}});
    let found = matching_hits(&query, &all_shards);
    let found_in_two = matching_hits(&query, &[3, 14]);
    let msearch = format!(
        "{{\"index\":\"chart-ranking\"}}\n{query}\n{{}}\n{{\"quary\":1}}\n{{\"index\":\"none\"}}\n{{}}\n"
    );
    let faulty = json!({"min_score": FAULTS[0].0, "sort": ["year"]}).to_string();
    let (q, none) = (query.to_string(), String::new());
    // Method, path, body, expected status, and a JSON pointer into the response with its expected value.
    let cases: Vec<(&str, &str, &str, u16, &str, Value)> = vec![
        (
            "GET",
            "/",
            &none,
            200,
            "/version/distribution",
            json!("opensearch"),
        ),
        ("HEAD", "/chart-ranking", &none, 200, "", Value::Null),
        ("HEAD", "/none", &none, 404, "", Value::Null),
        (
            "GET",
            "/_cluster/health",
            &none,
            200,
            "/status",
            json!("green"),
        ),
        (
            "GET",
            "/_cat/indices",
            &none,
            200,
            "/0/index",
            json!("catalogue-report"),
        ),
        (
            "POST",
            "/none/_search",
            &q,
            404,
            "/error/type",
            json!("index_not_found_exception"),
        ),
        (
            "POST",
            "/_search",
            &q,
            400,
            "/error/type",
            json!("illegal_argument_exception"),
        ),
        (
            "POST",
            "/chart-ranking/_search",
            "{",
            400,
            "/error/type",
            json!("parsing_exception"),
        ),
        (
            "POST",
            "/chart-ranking/_search?routing=1",
            &q,
            400,
            "/status",
            json!(400),
        ),
        (
            "POST",
            "/chart-ranking/_search?scroll=1m",
            &q,
            400,
            "/error/type",
            json!("illegal_argument_exception"),
        ),
        (
            "DELETE",
            "/chart-ranking",
            &none,
            400,
            "/error/type",
            json!("illegal_argument_exception"),
        ),
        (
            "POST",
            "/chart-ranking/_search?size=0",
            &q,
            200,
            "/hits/total/value",
            json!(found.len()),
        ),
        (
            "GET",
            "/chart-ranking/_count",
            &q,
            200,
            "/count",
            json!(found.len()),
        ),
        (
            "POST",
            "/chart-ranking/_search?preference=_shards:3,14",
            &q,
            200,
            "/hits/total/value",
            json!(found_in_two.len()),
        ),
        (
            "POST",
            "/chart-ranking/_search?preference=_shards:3,99",
            &q,
            400,
            "/status",
            json!(400),
        ),
        (
            "POST",
            "/chart-ranking/_search?allow_partial_search_results=false",
            &faulty,
            // Not 503, which would promise that no shard has been searched.
            504,
            "/error/failed_shards/0/shard",
            json!(FAULTY_SHARD),
        ),
        (
            "POST",
            "/chart-ranking/_search",
            &faulty,
            200,
            "/_shards/failures/0/reason/type",
            json!("query_shard_exception"),
        ),
        (
            "POST",
            "/_msearch",
            &msearch,
            200,
            "/responses/0/hits/total/value",
            json!(found.len()),
        ),
        (
            "POST",
            "/chart-ranking/_msearch",
            &msearch,
            200,
            "/responses/1/error/type",
            json!("parsing_exception"),
        ),
        (
            "POST",
            "/_msearch",
            &msearch,
            200,
            "/responses/2/status",
            json!(404),
        ),
        (
            "POST",
            "/_msearch",
            "{}\n",
            400,
            "/error/type",
            json!("illegal_argument_exception"),
        ),
    ];
    let mut send = async |method: &str, path: &str, body: &str| {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", "mixer")
            .header("X-Tenant-Id", "alpha");
        let request = request
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let (status, body, _) =
            tokio::time::timeout(Duration::from_secs(5), connection.send_request(request))
                .await
                .ok()??;
        Some((
            status,
            serde_json::from_slice::<Value>(&body).unwrap_or_default(),
        ))
    };
    for (method, path, body, status, pointer, value) in cases {
        match send(method, path, body).await {
            Some((actual, body))
                if actual == status
                    && (method == "HEAD" || body.pointer(pointer) == Some(&value)) => {}
            other => errors.push(format!(
                "{method} {path}: {other:?} instead of {status} {pointer} {value}"
            )),
        }
    }
    // Request and response are compressed, the tenant is determined by the network alone, and X-Opaque-Id is returned.
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder
        .write_all(br#"{"size": 100}"#)
        .and_then(|()| encoder.finish())
        .unwrap_or_default();
    let request = Request::post("/chart-ranking/_search")
        .header("Host", "mixer")
        .header("Content-Encoding", "gzip");
    let request = request
        .header("Accept-Encoding", "gzip")
        .header("X-Opaque-Id", "mine");
    let answer = match request.body(Full::new(Bytes::from(compressed))) {
        Ok(request) => send_once(address, request).await,
        Err(_) => None,
    };
    let correct = answer.is_some_and(|(headers, body)| {
        let mut plain = String::new();
        let read = GzDecoder::new(&body[..]).read_to_string(&mut plain);
        let body: Value = serde_json::from_str(&plain).unwrap_or_default();
        read.is_ok()
            && headers["x-opaque-id"] == "mine"
            && body["hits"]["hits"].as_array().map(Vec::len) == Some(100)
    });
    if !correct {
        errors.push("a gzip request without a tenant header got no correct gzip response".into());
    }
    // Reads all documents page by page with search_after.
    let mut search = json!({"query": {"match_all": {}}, "size": 37, "sort": [{"year": "desc"}, "released", "title"]});
    let expected: Vec<String> = matching_hits(&search, &all_shards)
        .into_iter()
        .map(|hit| hit.id)
        .collect();
    let mut paged: Vec<String> = Vec::new();
    while paged.len() < expected.len() {
        let Some((200, body)) =
            send("POST", "/catalogue-report/_search", &search.to_string()).await
        else {
            break;
        };
        let hits = body["hits"]["hits"].as_array().cloned().unwrap_or_default();
        let Some(last) = hits.last() else { break };
        paged.extend(
            hits.iter()
                .filter_map(|hit| hit["_id"].as_str().map(str::to_string)),
        );
        search["search_after"] = last["sort"].clone();
    }
    if paged != expected {
        errors.push(format!(
            "search_after: {} documents in pages instead of {}, or in another order",
            paged.len(),
            expected.len()
        ));
    }
    errors
}

async fn run(arguments: Arguments) -> io::Result<bool> {
    let started = Instant::now();
    let directory = tempfile::tempdir()?;
    let config = ClusterConfig {
        seed: arguments.seed,
        service_time: Duration::from_millis(4),
        leaf_concurrency: 64,
        opensearch: true,
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await?;
    let mixers: Vec<_> = cluster
        .mixers
        .iter()
        .map(|mixer| (mixer.address, mixer.search_address))
        .collect();
    let request_errors = check_request_kinds(mixers[0].1).await;
    request_errors
        .iter()
        .for_each(|error| println!("ERROR {error}"));
    let (arguments, tally) = (Arc::new(arguments), Arc::<Mutex<Tally>>::default());
    let clients = (0..arguments.clients).map(|n| {
        tokio::spawn(run_client(
            n,
            arguments.clone(),
            mixers.clone(),
            tally.clone(),
        ))
    });
    let clients: Vec<_> = clients.collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.kill_zone(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.restore_zone(2, true).await?;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    let mut exited = true;
    for mixer in &mut cluster.mixers {
        exited &= mixer
            .process
            .as_mut()
            .is_some_and(|process| process.terminate(Duration::from_secs(10)));
    }
    let tally = std::mem::take(&mut *tally.lock().unwrap_or_else(PoisonError::into_inner));
    let sum = |counts: &OutcomeCounts, outcome: &str| -> u64 {
        counts
            .iter()
            .filter(|(key, _)| key.1 == outcome)
            .map(|entry| entry.1)
            .sum()
    };
    let total = |counts: &OutcomeCounts| -> u64 { counts.values().sum() };
    for (class, ..) in CLASSES {
        let summary = |counts: &OutcomeCounts| -> String {
            let outcomes = ["complete", "partial", "refused", "failed", "unanswered"];
            let each = outcomes
                .map(|outcome| (outcome, counts.get(&(class, outcome)).copied().unwrap_or(0)));
            each.iter()
                .filter(|entry| entry.1 > 0)
                .map(|(outcome, count)| format!("{count} {outcome}"))
                .collect::<Vec<_>>()
                .join(", ")
        };
        println!(
            "{class}: native {}; OpenSearch-style {}",
            summary(&tally.native),
            summary(&tally.opensearch)
        );
    }
    for ((fault, outcome), count) in &tally.faulty {
        println!("injected fault, {fault}: {count} {outcome}");
    }
    for error in tally.errors.iter().take(5) {
        println!("ERROR {error}");
    }
    let answered = |counts: &OutcomeCounts| sum(counts, "complete") + sum(counts, "partial");
    let (native, opensearch) = (answered(&tally.native), answered(&tally.opensearch));
    let sent = (total(&tally.native), total(&tally.opensearch));
    let faulty: u64 = tally.faulty.values().sum();
    let partial: u64 = tally
        .faulty
        .iter()
        .filter(|(key, _)| key.1 == "partial")
        .map(|entry| entry.1)
        .sum();
    // The two frontends are queried one after the other, so the killed zone may affect only one of the two searches.
    let similar = native.abs_diff(opensearch) * 100 <= 3 * sent.0;
    let passed = tally.errors.is_empty()
        && tally.unanswered == 0
        && similar
        && exited
        && sent.0 == sent.1
        && tally.correct_pages == opensearch + partial
        && faulty > 0
        && request_errors.is_empty()
        && opensearch * 10 >= sent.1 * 9;
    println!(
        "{}: {} searches through each frontend, {opensearch} answered by the OpenSearch-style one and {native} by the \
         native one, {} correct pages, {faulty} searches with an injected fault, {} errors, {} unanswered, {} answers \
         after the timeout, 1 zone killed, seed {}, {:.0} s",
        if passed { "proved" } else { "NOT PROVED" },
        sent.1, tally.correct_pages, tally.errors.len(), tally.unanswered, tally.late, arguments.seed,
        started.elapsed().as_secs_f64()
    );
    Ok(passed)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(Arguments::parse()))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("NOT PROVED: the test could not be completed: {e}");
            ExitCode::FAILURE
        }
    }
}
