//! `cottonhill-prove-opensearch`: that searches through the OpenSearch-style front are what they ought to be, and are
//! served as the native front serves the same queries.
//!
//! The same random searches go through both fronts, to the same leaf servers, while a zone is lost and comes back cold.
//! Every page is set beside the one computed from the documents over the shards that it claims.

use bytes::Bytes;
use clap::Parser;
use cottonhill_standins::client::{Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{Installation, Plan, CLASSES, SHARDS, TENANTS};
use cottonhill_standins::search::{aggregate, all, cue, page, words, CUES, GENRES, SICK, WORDS};
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

/// Proves the front on loopback; the last line is a summary, and the exit code 0 only if all holds.
#[derive(Parser)]
struct Line {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Searches, each through both fronts
    #[arg(long, default_value_t = 5000)]
    queries: u64,
    #[arg(long, default_value_t = 24)]
    clients: u64,
}

fn clause(random: &mut StdRng, depth: u32) -> Value {
    let word = WORDS[random.random_range(0..WORDS.len())];
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
        9 => json!({"constant_score": {"filter": clause(random, depth - 1), "boost": 3.5}}),
        10 => json!({"function_score": {"query": clause(random, depth - 1), "weight": 0.5}}),
        _ => {
            let mut body = Map::new();
            for key in ["must", "filter", "should", "must_not"] {
                if random.random_bool(0.4) {
                    let count = random.random_range(1..3);
                    body.insert(
                        key.into(),
                        (0..count).map(|_| clause(random, depth - 1)).collect(),
                    );
                }
            }
            json!({ "bool": body })
        }
    }
}

fn search(random: &mut StdRng) -> Value {
    let mut search = json!({"query": clause(random, 2)});
    if random.random_bool(0.5) {
        search["size"] = json!(random.random_range(0..120));
    }
    if random.random_bool(0.5) {
        // Sorts with a missing field, and one that is a text in one shard.
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
    let cue = CUES[random.random_range(0..CUES.len())];
    if random.random_bool(0.06) {
        search["min_score"] = json!(cue.0);
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

/// How many of each class ended how.
type Served = BTreeMap<(&'static str, &'static str), u64>;

#[derive(Default)]
struct Tally {
    native: Served,
    front: Served,
    exact: u64,
    /// Searches that met a sick shard, and what became of them.
    sick: BTreeMap<(&'static str, &'static str), u64>,
    wrong: Vec<String>,
    unanswered: u64,
    late: u64,
}

fn same(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => {
            let (a, b) = (
                a.as_f64().unwrap_or_default(),
                b.as_f64().unwrap_or_default(),
            );
            (a - b).abs() <= 1e-9 * a.abs().max(1.0)
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len()
                && a.iter()
                    .all(|(key, value)| b.get(key).is_some_and(|other| same(value, other)))
        }
        _ => a == b,
    }
}

/// What is wrong with a page, if anything is.
fn check(search: &Value, body: &Value) -> Option<String> {
    let failed: Vec<u32> = body["_shards"]["failures"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|failure| Some(failure["shard"].as_u64()? as u32))
        .collect();
    let claimed: Vec<u32> = (0..SHARDS)
        .filter(|shard| !failed.contains(shard))
        .collect();
    if body["_shards"]["successful"] != json!(claimed.len())
        || body["_shards"]["total"] != json!(SHARDS)
    {
        return Some(format!("_shards do not add up: {}", body["_shards"]));
    }
    if cue(search).is_some() && failed != [SICK] {
        return Some(format!("failed shards {failed:?} instead of the sick one"));
    }
    let found = all(search, &claimed);
    let ids: Vec<&str> = body["hits"]["hits"]
        .as_array()?
        .iter()
        .filter_map(|hit| hit["_id"].as_str())
        .collect();
    let page = page(search, &found);
    let right: Vec<&str> = page.iter().map(|hit| hit.id.as_str()).collect();
    if ids != right {
        return Some(format!("hits {ids:?} instead of {right:?}"));
    }
    let sources = body["hits"]["hits"]
        .as_array()?
        .iter()
        .zip(&page)
        .all(|(hit, it)| hit["_source"] == it.source);
    if !sources {
        return Some("a document is not as it is held".into());
    }
    if body["hits"]["total"] != json!({"value": found.len(), "relation": "eq"}) {
        return Some(format!(
            "total {} instead of {}",
            body["hits"]["total"],
            found.len()
        ));
    }
    for (name, aggregation) in search["aggs"].as_object().into_iter().flatten() {
        let (got, right) = (&body["aggregations"][name], aggregate(aggregation, &found));
        if !same(got, &right) {
            return Some(format!("aggregation {name}: {got} instead of {right}"));
        }
    }
    None
}

async fn client(
    number: u64,
    line: Arc<Line>,
    mixers: Vec<(SocketAddr, SocketAddr)>,
    tally: Arc<Mutex<Tally>>,
) {
    let mut random =
        StdRng::seed_from_u64(line.seed ^ (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let (native_at, front_at) = mixers[number as usize % mixers.len()];
    let (mut native, mut front) = (Connection::new(native_at), Connection::new(front_at));
    for n in 0..line.queries / line.clients {
        let search = search(&mut random);
        let (class, _, give_up, _) = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = TENANTS[random.random_range(0..TENANTS.len())];
        let question = Question {
            class: class.into(),
            tenant: tenant.into(),
            parts: (0..SHARDS)
                .map(|shard| (shard, 1.0 / f64::from(SHARDS)))
                .collect(),
            text: search.to_string(),
            key: None,
        };
        let (id, wait) = (format!("p{number}-{n}"), Duration::from_millis(give_up));
        let attempt = Attempt {
            id: &id,
            retry: false,
            wait,
            grace: Duration::from_secs(3),
        };
        let (sick, floor) = (
            cue(&search),
            CLASSES
                .iter()
                .find(|it| it.0 == class)
                .map_or(1.0, |it| it.3),
        );
        let native_first = random.random_bool(0.5);
        let mut outcome = ("", "");
        for turn in [native_first, !native_first] {
            if turn && sick.is_some() {
                // The native front passes on what a shard says, whatever it is.
                continue;
            }
            if turn {
                let got = native.ask(&question, &attempt).await;
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                outcome.0 = match got {
                    Got::Answer(whole, hits) => {
                        let right = |(shard, doc): &(u32, String)| *doc == words(*shard, &search);
                        if !hits.iter().all(right) {
                            tally
                                .wrong
                                .push(format!("native: a value is not as it is held: {search}"));
                        }
                        if whole {
                            "whole"
                        } else {
                            "partial"
                        }
                    }
                    Got::Refused(_) => "refused",
                    Got::Failed(_) => "failed",
                    Got::Lost | Got::TimedOut => {
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
                let began = Instant::now();
                let got =
                    tokio::time::timeout(wait + Duration::from_secs(3), front.send(request)).await;
                let late = began.elapsed() > wait;
                let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.late += u64::from(late);
                outcome.1 = match got {
                    Ok(Some((200, body, _))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        match check(&search, &body) {
                            None => tally.exact += 1,
                            Some(why) => tally.wrong.push(format!("{why}: {search}")),
                        }
                        if body["_shards"]["failed"] == 0 {
                            "whole"
                        } else {
                            "partial"
                        }
                    }
                    Ok(Some((429, body, after))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        if after.is_none() || body["error"]["type"] != "circuit_breaking_exception"
                        {
                            tally
                                .wrong
                                .push(format!("a refusal without its form: {body}"));
                        }
                        "refused"
                    }
                    Ok(Some((status, body, _))) => {
                        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                        if body["status"] != status
                            || body["error"]["type"] != "search_phase_execution_exception"
                        {
                            tally
                                .wrong
                                .push(format!("an error that is none: {status} {body}"));
                        }
                        "failed"
                    }
                    Ok(None) | Err(_) => {
                        tally.unanswered += 1;
                        "unanswered"
                    }
                };
                let Some(sick) = sick else {
                    *tally.front.entry((class, outcome.1)).or_default() += 1;
                    continue;
                };
                *tally.sick.entry((sick, outcome.1)).or_default() += 1;
                // One shard of 16 may be missing where the floor allows it, and all never.
                let due = if floor == 1.0 || sick == "an error for every shard" {
                    "failed"
                } else {
                    "partial"
                };
                if outcome.1 != due && outcome.1 != "refused" {
                    tally.wrong.push(format!(
                        "{sick}, floor {floor}: {} instead of {due}: {search}",
                        outcome.1
                    ));
                }
            }
        }
    }
}

/// One request on a connection of its own: the headers and the body of its 200.
async fn raw(at: SocketAddr, request: Request<Full<Bytes>>) -> Option<(hyper::HeaderMap, Bytes)> {
    let exchange = async {
        let stream = tokio::net::TcpStream::connect(at).await.ok()?;
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

/// One request of each form, and what it has to come to: what does not is named.
async fn forms(at: SocketAddr) -> Vec<String> {
    let mut connection = Connection::new(at);
    let mut wrong = Vec::new();
    let every: Vec<u32> = (0..SHARDS).collect();
    let query = json!({"query": {"match": {"title": "river"}}});
    let found = all(&query, &every);
    let some = all(&query, &[3, 14]);
    let msearch = format!(
        "{{\"index\":\"chart-ranking\"}}\n{query}\n{{}}\n{{\"quary\":1}}\n{{\"index\":\"none\"}}\n{{}}\n"
    );
    let sick = json!({"min_score": CUES[0].0, "sort": ["year"]}).to_string();
    let (q, none) = (query.to_string(), String::new());
    // Method, path, body, status, and a pointer into the answer with what has to stand there.
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
            json!(some.len()),
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
            &sick,
            503,
            "/error/failed_shards/0/shard",
            json!(SICK),
        ),
        (
            "POST",
            "/chart-ranking/_search",
            &sick,
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
    let mut ask = async |method: &str, path: &str, body: &str| {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", "mixer")
            .header("X-Tenant-Id", "alpha");
        let request = request
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let (status, body, _) =
            tokio::time::timeout(Duration::from_secs(5), connection.send(request))
                .await
                .ok()??;
        Some((
            status,
            serde_json::from_slice::<Value>(&body).unwrap_or_default(),
        ))
    };
    for (method, path, body, status, pointer, value) in cases {
        match ask(method, path, body).await {
            Some((got, body))
                if got == status && (method == "HEAD" || body.pointer(pointer) == Some(&value)) => {
            }
            other => wrong.push(format!(
                "{method} {path}: {other:?} instead of {status} {pointer} {value}"
            )),
        }
    }
    // Packed both ways, told by its network alone, and known again by its own word.
    let mut packer = GzEncoder::new(Vec::new(), Compression::fast());
    let packed = packer
        .write_all(br#"{"size": 100}"#)
        .and_then(|()| packer.finish())
        .unwrap_or_default();
    let request = Request::post("/chart-ranking/_search")
        .header("Host", "mixer")
        .header("Content-Encoding", "gzip");
    let request = request
        .header("Accept-Encoding", "gzip")
        .header("X-Opaque-Id", "mine");
    let answer = match request.body(Full::new(Bytes::from(packed))) {
        Ok(request) => raw(at, request).await,
        Err(_) => None,
    };
    let right = answer.is_some_and(|(headers, body)| {
        let mut plain = String::new();
        let read = GzDecoder::new(&body[..]).read_to_string(&mut plain);
        let body: Value = serde_json::from_str(&plain).unwrap_or_default();
        read.is_ok()
            && headers["x-opaque-id"] == "mine"
            && body["hits"]["hits"].as_array().map(Vec::len) == Some(100)
    });
    if !right {
        wrong.push(
            "a search under gzip, without a tenant's header, is not answered under gzip".into(),
        );
    }
    // All of it, page by page, each after the last hit of the one before.
    let mut search = json!({"query": {"match_all": {}}, "size": 37, "sort": [{"year": "desc"}, "released", "title"]});
    let right: Vec<String> = all(&search, &every).into_iter().map(|hit| hit.id).collect();
    let mut paged: Vec<String> = Vec::new();
    while paged.len() < right.len() {
        let Some((200, body)) = ask("POST", "/catalogue-report/_search", &search.to_string()).await
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
    if paged != right {
        wrong.push(format!(
            "search_after: {} documents page by page, and {} there are",
            paged.len(),
            right.len()
        ));
    }
    wrong
}

async fn run(line: Line) -> io::Result<bool> {
    let started = Instant::now();
    let folder = tempfile::tempdir()?;
    let plan = Plan {
        seed: line.seed,
        work: Duration::from_millis(4),
        slots: 64,
        search: true,
        ..Plan::default()
    };
    let mut installation = Installation::start(folder.path(), plan).await?;
    let mixers: Vec<_> = installation
        .mixers
        .iter()
        .map(|mixer| (mixer.address, mixer.search))
        .collect();
    let formed = forms(mixers[0].1).await;
    formed.iter().for_each(|wrong| println!("WRONG {wrong}"));
    let (line, tally) = (Arc::new(line), Arc::<Mutex<Tally>>::default());
    let clients = (0..line.clients)
        .map(|n| tokio::spawn(client(n, line.clone(), mixers.clone(), tally.clone())));
    let clients: Vec<_> = clients.collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    installation.lose_zone(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    installation.restore_zone(2, true).await?;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    let mut ended = true;
    for mixer in &mut installation.mixers {
        ended &= mixer
            .process
            .as_mut()
            .is_some_and(|process| process.end(Duration::from_secs(10)));
    }
    let tally = std::mem::take(&mut *tally.lock().unwrap_or_else(PoisonError::into_inner));
    let sum = |served: &Served, how: &str| -> u64 {
        served
            .iter()
            .filter(|(key, _)| key.1 == how)
            .map(|it| it.1)
            .sum()
    };
    let asked = |served: &Served| -> u64 { served.values().sum() };
    for (class, ..) in CLASSES {
        let of = |served: &Served| -> String {
            let ways = ["whole", "partial", "refused", "failed", "unanswered"];
            let each = ways.map(|how| (how, served.get(&(class, how)).copied().unwrap_or(0)));
            each.iter()
                .filter(|it| it.1 > 0)
                .map(|(how, n)| format!("{n} {how}"))
                .collect::<Vec<_>>()
                .join(", ")
        };
        println!(
            "{class}: native {}; front {}",
            of(&tally.native),
            of(&tally.front)
        );
    }
    for ((sick, how), count) in &tally.sick {
        println!("a shard {sick}: {count} {how}");
    }
    for wrong in tally.wrong.iter().take(5) {
        println!("WRONG {wrong}");
    }
    let answered = |served: &Served| sum(served, "whole") + sum(served, "partial");
    let (native, front) = (answered(&tally.native), answered(&tally.front));
    let asked = (asked(&tally.native), asked(&tally.front));
    let sick: u64 = tally.sick.values().sum();
    let partial: u64 = tally
        .sick
        .iter()
        .filter(|(key, _)| key.1 == "partial")
        .map(|it| it.1)
        .sum();
    // The two are asked one after the other: what a lost zone costs one query it need not cost the other.
    let near = native.abs_diff(front) * 100 <= 3 * asked.0;
    let holds = tally.wrong.is_empty()
        && tally.unanswered == 0
        && near
        && ended
        && asked.0 == asked.1
        && tally.exact == front + partial
        && sick > 0
        && formed.is_empty()
        && front * 10 >= asked.1 * 9;
    println!(
        "{}: {} searches through each front, {front} answered by the new one and {native} by the native one, {} pages \
         exact, {sick} searches on a sick shard, {} wrong, {} unanswered, {} later than their time, 1 zone lost, \
         seed {}, {:.0} s",
        if holds { "proved" } else { "NOT PROVED" },
        asked.1, tally.exact, tally.wrong.len(), tally.unanswered, tally.late, line.seed,
        started.elapsed().as_secs_f64()
    );
    Ok(holds)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(Line::parse()))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("NOT PROVED: {e}");
            ExitCode::FAILURE
        }
    }
}
