//! `cottonhill-prove-ledger`: end-to-end test that the ledger counts exactly the queries that clients sent, despite
//! failures of a mixer, a zone, the settlement and the receiver of exported documents.
//!
//! Three mixers, 12 leaf servers in three zones, and clients that retry within and across mixers. One mixer is killed
//! in the middle of a period, started, killed again 15 ms after its start (while it probably reads its
//! usage log), and started; a zone is killed across the end of a
//! period and restored cold; the settlement is killed twice; the receiver of exported documents stores them and then
//! drops the connection, answers 500 or hangs, and is restarted; a correction is made after its statement has been
//! exported. At the end the clients' own records are compared with the statements and the documents, by code that is
//! independent of the ledger's.

use clap::Parser;
use cottonhill_mixer::reducer::usage::{key_from_content, key_from_idempotency_key};
use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{
    free_port, http_get, now_ms, process_ip, ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS,
};
use cottonhill_standins::leaf::expected_value;
use cottonhill_standins::receiver::{ExportReceiver, ReceivedDocuments};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Runs the end-to-end test of the ledger on loopback. The last line is a summary; the exit code is 0 only if all
/// checks pass
#[derive(Parser)]
struct Arguments {
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Queries that clients send, each in one or more attempts
    #[arg(long, default_value_t = 20_000)]
    queries: u64,
    /// Concurrent clients
    #[arg(long, default_value_t = 64)]
    clients: u64,
    /// Length of a period in seconds
    #[arg(long, default_value_t = 5)]
    period: u64,
    /// Keep the directory with all logs and files, and print its path
    #[arg(long)]
    keep: bool,
}

/// No first attempt is sent within this time of a period's boundary, so that it arrives in the period of its send time.
const BOUNDARY_MARGIN_MS: u64 = 300;
/// Maximum number of attempts of one query.
const MAX_ATTEMPTS: u32 = 8;

/// A query and its outcome as recorded by the client.
struct ClientRecord {
    /// Time of the first attempt, in Unix milliseconds.
    sent_ms: u64,
    tenant: &'static str,
    class: &'static str,
    outcome: &'static str,
    attempts: u32,
    key: u64,
}

#[derive(Default)]
struct Tally {
    attempts: AtomicU64,
    /// Attempts at another mixer than the previous one.
    switched_mixer: AtomicU64,
    /// Attempts that the client abandoned before the answer.
    abandoned: AtomicU64,
    connections_lost: AtomicU64,
    refused: AtomicU64,
    /// Attempts that ended after their timeout.
    late: AtomicU64,
    /// Attempts that timed out, or lost the connection to a mixer that has never been killed.
    unanswered: AtomicU64,
    /// Answers that differ from the leaf servers' values or lack coverage.
    wrong: AtomicU64,
}

/// State shared by all clients.
struct SharedState {
    mixers: Vec<SocketAddr>,
    /// Whether each mixer has been killed, so that a broken connection to it is expected.
    killed: [AtomicBool; 3],
    period_ms: u64,
    /// Queries that clients have yet to send.
    remaining: AtomicU64,
    tally: Tally,
    records: Mutex<Vec<ClientRecord>>,
}

/// Waits until the current time is not near a period's boundary.
async fn avoid_period_boundary(period_ms: u64) {
    loop {
        let elapsed_ms = now_ms() % period_ms;
        if (BOUNDARY_MARGIN_MS..period_ms - BOUNDARY_MARGIN_MS).contains(&elapsed_ms) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends queries until none remain.
async fn run_client(shared: Arc<SharedState>, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let first_mixer = (number % 3) as usize;
    let mut connection = Connection::new(shared.mixers[first_mixer]);
    for n in 0u64.. {
        if shared
            .remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                remaining.checked_sub(1)
            })
            .is_err()
        {
            return;
        }
        sleep(Duration::from_millis(random.random_range(40..160))).await;
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = random.random_range(0..TENANTS.len());
        let count = random.random_range(1..=6u32);
        let first = random.random_range(0..SHARDS);
        // Two tenants send idempotency keys. For the others each text is used in one query only.
        let keyed = tenant < 2;
        let query = Query {
            class: class.0.into(),
            tenant: TENANTS[tenant].into(),
            parts: consecutive_parts(first, count, SHARDS),
            text: if keyed {
                "the same text".into()
            } else {
                format!("{number}-{n}")
            },
            key: keyed.then(|| format!("use-{number}-{n}")),
        };
        avoid_period_boundary(shared.period_ms).await;
        let record = run_query(
            &shared,
            &mut connection,
            &mut random,
            &query,
            (number, n, first_mixer),
            class,
        )
        .await;
        shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }
}

type Class = (&'static str, u64, u64, f64);

/// Sends one query in up to [`MAX_ATTEMPTS`] attempts, until it has an outcome or less than 60 ms of its
/// timeout remain.
async fn run_query(
    shared: &SharedState,
    connection: &mut Connection,
    random: &mut StdRng,
    query: &Query,
    (number, n, first_mixer): (u64, u64, usize),
    class: Class,
) -> ClientRecord {
    let key = match &query.key {
        Some(key) => key_from_idempotency_key(&query.class, key),
        None => key_from_content(
            &query.class,
            query.parts.iter().copied(),
            query.text.as_bytes(),
        ),
    };
    let tenant = TENANTS
        .iter()
        .find(|name| **name == query.tenant)
        .copied()
        .unwrap_or_default();
    let mut record = ClientRecord {
        sent_ms: now_ms(),
        tenant,
        class: class.0,
        outcome: "refused",
        attempts: 0,
        key,
    };
    let (started, timeout) = (Instant::now(), Duration::from_millis(class.2));
    let mut mixer = first_mixer;
    let tally = &shared.tally;
    while record.attempts < MAX_ATTEMPTS {
        let remaining = timeout.saturating_sub(started.elapsed());
        if remaining < Duration::from_millis(60) {
            break;
        }
        let retry = record.attempts > 0;
        record.attempts += 1;
        tally.attempts.fetch_add(1, Ordering::Relaxed);
        connection.switch_to(shared.mixers[mixer]);
        let id = format!("c{number}-{n}-{}", record.attempts);
        // Some clients abandon an attempt before its answer and retry at another mixer. Only a query with an
        // idempotency key is then certain to be counted once, because the first answer may already be on its way.
        let abandons = query.key.is_some() && !retry && random.random_bool(0.01);
        let (attempt_timeout, extra_wait) = match abandons {
            true => (remaining, Duration::ZERO),
            false => (remaining, Duration::from_secs(3)),
        };
        let attempt_started = Instant::now();
        let attempt = Attempt {
            id: &id,
            retry,
            timeout: attempt_timeout,
            extra_wait,
        };
        let outcome = if abandons {
            let abandon_after = Duration::from_millis(random.random_range(1..12));
            match tokio::time::timeout(abandon_after, connection.send_query(query, &attempt)).await
            {
                Ok(outcome) => outcome,
                Err(_) => {
                    tally.abandoned.fetch_add(1, Ordering::Relaxed);
                    *connection = Connection::new(shared.mixers[mixer]);
                    mixer = (mixer + 1) % 3;
                    tally.switched_mixer.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
            }
        } else {
            connection.send_query(query, &attempt).await
        };
        tally.late.fetch_add(
            u64::from(attempt_started.elapsed() > attempt_timeout),
            Ordering::Relaxed,
        );
        match outcome {
            AttemptOutcome::Answer(complete, hits) => {
                let correct = hits
                    .iter()
                    .all(|(shard, doc)| *doc == expected_value(*shard, &query.text));
                let coverage: f64 = hits
                    .iter()
                    .filter_map(|(shard, _)| query.parts.iter().find(|part| part.0 == *shard))
                    .map(|part| part.1)
                    .sum();
                let minimum = if complete { 1.0 } else { class.3 };
                let distinct: BTreeSet<u32> = hits.iter().map(|hit| hit.0).collect();
                if !correct || coverage + 1e-3 < minimum || distinct.len() != hits.len() {
                    tally.wrong.fetch_add(1, Ordering::Relaxed);
                }
                record.outcome = if complete { "whole" } else { "partial" };
                return record;
            }
            AttemptOutcome::Refused(retry_after) => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
                sleep(
                    retry_after
                        .unwrap_or(Duration::from_millis(50))
                        .min(timeout),
                )
                .await;
                if random.random_bool(0.5) {
                    mixer = (mixer + 1) % 3;
                    tally.switched_mixer.fetch_add(1, Ordering::Relaxed);
                }
            }
            AttemptOutcome::ConnectionLost => {
                tally.connections_lost.fetch_add(1, Ordering::Relaxed);
                if !shared.killed[mixer].load(Ordering::Relaxed) {
                    tally.unanswered.fetch_add(1, Ordering::Relaxed);
                }
                mixer = (mixer + 1) % 3;
                tally.switched_mixer.fetch_add(1, Ordering::Relaxed);
            }
            AttemptOutcome::TimedOut => {
                tally.unanswered.fetch_add(1, Ordering::Relaxed);
                record.outcome = "failed";
                return record;
            }
            AttemptOutcome::Failed(_) => {
                record.outcome = "failed";
                return record;
            }
        }
    }
    record
}

/// Sleeps until the next period has elapsed by `percent`; above 100, until after its end.
async fn sleep_into_next_period(period_ms: u64, percent: u64) {
    let now = now_ms();
    let target = now - now % period_ms + period_ms + period_ms * percent / 100;
    sleep(Duration::from_millis(target.saturating_sub(now))).await;
}

/// Runs a command. Returns whether it succeeded, and both of its outputs.
fn run_command(command: &mut std::process::Command) -> io::Result<(bool, String)> {
    let output = command.output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    Ok((output.status.success(), text))
}

/// Runs a command and parses its standard output as JSON.
fn run_json_command(command: &mut std::process::Command) -> io::Result<Value> {
    let output = command.output()?;
    serde_json::from_slice(&output.stdout)
        .map_err(|_| io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
}

/// Collects the results of the checks.
#[derive(Default)]
struct Checks {
    failures: Vec<String>,
}

impl Checks {
    fn check(&mut self, name: &str, passed: bool, detail: impl std::fmt::Display) {
        println!("{} {name}: {detail}", if passed { "ok  " } else { "FAIL" });
        if !passed {
            self.failures.push(name.to_string());
        }
    }
}

/// Number of uses, complete answers and partial answers, by period, tenant and class.
type Totals = BTreeMap<(String, String, String), [i64; 3]>;

async fn run(arguments: Arguments) -> io::Result<bool> {
    let mut directory = tempfile::tempdir()?;
    if arguments.keep {
        directory.disable_cleanup(true);
        println!("files are in {}", directory.path().display());
    }
    let started = Instant::now();
    let period_ms = arguments.period.max(4) * 1000;
    let received = Arc::new(Mutex::new(ReceivedDocuments::default()));
    let receiver_address = free_port(process_ip())?;
    let mut receiver = ExportReceiver::start(receiver_address, received.clone(), true).await?;
    let documents_directory = directory.path().join("documents");
    let mut ledger_settings = format!(
        "[periods]\nevery = {}s\nhorizon = 2s\nskew = 100ms\ngrace = 120s\n\n\
         [export]\nurl = http://{receiver_address}/documents\n\
         folder = {}\ntimeout = 300ms\nagain = 50ms\n\n[tenant alpha]\nallowance = 100\n\n",
        period_ms / 1000,
        documents_directory.display()
    );
    for (i, (class, ..)) in CLASSES.iter().enumerate() {
        let _ = write!(
            ledger_settings,
            "[price {class}]\nwhole = {}\npartial = {}\n\n",
            100 * (i + 1),
            90 * (i + 1)
        );
    }
    let config = ClusterConfig {
        seed: arguments.seed,
        service_time: Duration::from_millis(9),
        leaf_concurrency: 3,
        usage_log: true,
        ledger_settings,
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await?;
    cluster.start_settlement()?;
    let shared = Arc::new(SharedState {
        mixers: cluster.mixers.iter().map(|mixer| mixer.address).collect(),
        killed: Default::default(),
        period_ms,
        remaining: AtomicU64::new(arguments.queries),
        tally: Tally::default(),
        records: Mutex::new(Vec::new()),
    });
    let clients: Vec<_> = (0..arguments.clients)
        .map(|number| tokio::spawn(run_client(shared.clone(), number, arguments.seed)))
        .collect();

    // Failures are injected in an order in which each overlaps with the recovery from the previous ones.
    sleep_into_next_period(period_ms, 40).await;
    shared.killed[1].store(true, Ordering::Relaxed);
    cluster.kill_mixer(1);
    sleep(Duration::from_millis(300)).await;
    cluster.spawn_mixer(1)?;
    // The mixer is now reading its usage log or about to.
    sleep(Duration::from_millis(15)).await;
    cluster.kill_mixer(1);
    cluster.start_mixer(1).await?;
    cluster.kill_settlement();
    sleep(Duration::from_millis(700)).await;
    cluster.start_settlement()?;
    sleep_into_next_period(period_ms, 85).await;
    cluster.kill_zone(2);
    sleep(Duration::from_millis(period_ms * 40 / 100)).await;
    cluster.restore_zone(2, true).await?;
    drop(receiver);
    sleep(Duration::from_millis(200)).await;
    receiver = ExportReceiver::start(receiver_address, received.clone(), true).await?;
    sleep_into_next_period(period_ms, 50).await;
    cluster.kill_settlement();
    sleep(Duration::from_millis(400)).await;
    cluster.start_settlement()?;
    // Makes a correction once the statement of its period has been exported.
    let mut corrected_period = None;
    for _ in 0..300 {
        let documents = received
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .documents
            .clone();
        let exported = documents
            .values()
            .filter_map(|(body, _)| serde_json::from_slice::<Value>(body).ok());
        if let Some(statement) = exported
            .into_iter()
            .find(|document| document["tenant"] == "beta" && document["kind"] == "statement")
        {
            corrected_period = statement["period"].as_str().map(str::to_string);
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let mut checks = Checks::default();
    let period = corrected_period.clone().unwrap_or_default();
    let correction = [
        "correct",
        "--tenant",
        "beta",
        "--period",
        &period,
        "--amount",
        "-75",
        "--reason",
        "double delivery",
        "--author",
        "proof",
        "--id",
        "first",
    ];
    let (succeeded, output) = run_command(&mut cluster.ledger_command(&correction))?;
    checks.check(
        "a correction after the export becomes a credit",
        succeeded && output.contains("credit-first"),
        output.trim(),
    );

    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    let load_duration = started.elapsed();
    let mut counter_files = Vec::new();
    for mixer in &cluster.mixers {
        let stats = http_get(mixer.address, "/-/stats")
            .await
            .map(|(_, body)| body)
            .unwrap_or_default();
        let file = directory.path().join(format!("{}.stats", mixer.name));
        fs::write(&file, &stats)?;
        counter_files.push((
            mixer.name.clone(),
            file,
            serde_json::from_slice::<Value>(&stats).unwrap_or_default(),
        ));
    }
    // All queries belong to periods up to the one that contains this time.
    let last_ms = now_ms();
    let mut statements = Vec::new();
    for _ in 0..600 {
        let listed =
            run_json_command(&mut cluster.ledger_command(&["periods", "--format", "json"]))?;
        statements = listed.as_array().cloned().unwrap_or_default();
        let settled_until = statements
            .last()
            .and_then(|period| period["end"].as_str())
            .and_then(|end| end.parse::<timestamp::Ms>().ok());
        let exports = run_json_command(
            &mut cluster.ledger_command(&["export", "--list", "--format", "json"]),
        )?;
        let delivered =
            |document: &Value| document["posted"] == true && document["in_folder"] == true;
        let all_delivered = exports
            .as_array()
            .is_some_and(|all| !all.is_empty() && all.iter().all(delivered));
        if settled_until.is_some_and(|end| end.0 > last_ms) && all_delivered {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    drop(receiver);

    // Compares the clients' records with the statements, independently of the ledger's own reconciliation.
    let records = std::mem::take(
        &mut *shared
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner),
    );
    let mut client_totals: Totals = BTreeMap::new();
    let mut csv =
        csv::Writer::from_path(directory.path().join("clients.csv")).map_err(io::Error::other)?;
    csv.write_record(["at_ms", "tenant", "class", "outcome", "tries", "key"])
        .map_err(io::Error::other)?;
    for record in &records {
        let period = timestamp::Ms(record.sent_ms - record.sent_ms % period_ms).to_string();
        let total = client_totals
            .entry((period, record.tenant.into(), record.class.into()))
            .or_default();
        total[0] += 1;
        total[1] += i64::from(record.outcome == "whole");
        total[2] += i64::from(record.outcome == "partial");
        let (sent_ms, attempts, key) = (
            record.sent_ms.to_string(),
            record.attempts.to_string(),
            format!("{:016x}", record.key),
        );
        csv.write_record([
            &sent_ms,
            record.tenant,
            record.class,
            record.outcome,
            &attempts,
            &key,
        ])
        .map_err(io::Error::other)?;
    }
    csv.flush()?;
    let mut ledger_totals: Totals = BTreeMap::new();
    let (mut total, mut adjustments, mut lost, mut missing) = (0, 0, 0, 0);
    for period in &statements {
        let name = period["period"].as_str().unwrap_or_default();
        let statement = run_json_command(&mut cluster.ledger_command(&[
            "statement",
            name,
            "--format",
            "json",
        ]))?;
        total += statement["total"].as_i64().unwrap_or_default();
        for line in statement["lines"].as_array().into_iter().flatten() {
            let text = |key: &str| line[key].as_str().unwrap_or_default().to_string();
            let sum = ledger_totals
                .entry((text("period"), text("tenant"), text("class")))
                .or_default();
            for (i, key) in ["uses", "whole", "partial"].iter().enumerate() {
                sum[i] += line[*key].as_i64().unwrap_or_default();
            }
            adjustments += i64::from(line["adjusts"] == true);
        }
        let members = statement["members"].as_array().cloned().unwrap_or_default();
        missing += members
            .iter()
            .filter(|member| member["missing"] == true)
            .count();
        lost = members
            .iter()
            .filter_map(|member| member["lost"].as_i64())
            .sum();
    }
    let differences: Vec<_> = client_totals
        .keys()
        .chain(ledger_totals.keys())
        .filter(|key| client_totals.get(*key) != ledger_totals.get(*key))
        .collect();
    let displayed: Vec<String> = differences
        .iter()
        .take(5)
        .map(|key| {
            format!(
                "{key:?}: clients {:?}, ledger {:?}",
                client_totals.get(*key),
                ledger_totals.get(*key)
            )
        })
        .collect();
    let total_count = client_totals.len();
    checks.check(
        "totals by tenant, class and period equal what clients sent",
        differences.is_empty() && total_count > 0 && records.len() as u64 == arguments.queries,
        format!(
            "{total_count} totals over {} statements, {} uses {}",
            statements.len(),
            records.len(),
            displayed.join("; ")
        ),
    );
    let tally = &shared.tally;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (attempts, unanswered, wrong) = (
        count(&tally.attempts),
        count(&tally.unanswered),
        count(&tally.wrong),
    );
    checks.check(
        "no query stayed unanswered and no answer was wrong",
        unanswered == 0 && wrong == 0,
        format!(
            "{attempts} attempts, {} connections lost, {unanswered} unanswered, \
             {wrong} wrong answers, {} attempts ended after the timeout",
            count(&tally.connections_lost),
            count(&tally.late)
        ),
    );
    let retries = attempts - records.len() as u64;
    checks.check(
        "clients retried within and across mixers",
        retries > 0 && count(&tally.switched_mixer) > 0,
        format!(
            "{retries} retries, {} at another mixer, {} after a refusal, {} after abandoning an attempt",
            count(&tally.switched_mixer),
            count(&tally.refused),
            count(&tally.abandoned)
        ),
    );
    let received = received
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let exported =
        run_json_command(&mut cluster.ledger_command(&["export", "--list", "--format", "json"]))?;
    let exported: BTreeSet<String> = exported
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|document| Some(document["document"].as_str()?.to_string()))
        .collect();
    let received_ids: BTreeSet<String> = received.documents.keys().cloned().collect();
    let deliveries: u32 = received
        .documents
        .values()
        .map(|(_, deliveries)| deliveries)
        .sum();
    let amounts: i64 = received
        .documents
        .values()
        .filter_map(|(body, _)| serde_json::from_slice::<Value>(body).ok()?["amount"].as_i64())
        .sum();
    let files: BTreeSet<String> = fs::read_dir(&documents_directory)?
        .filter_map(|file| {
            file.ok()?
                .file_name()
                .to_str()?
                .strip_suffix(".json")
                .map(str::to_string)
        })
        .collect();
    checks.check(
        "each document is stored once, unchanged, although some are delivered repeatedly",
        exported == received_ids
            && exported == files
            && received.mismatches == 0
            && !exported.is_empty()
            && deliveries as usize > exported.len(),
        format!(
            "{} documents, {deliveries} deliveries, {} in the folder, {} with different content",
            received_ids.len(),
            files.len(),
            received.mismatches
        ),
    );
    checks.check(
        "the documents' amounts equal the statements plus the credit",
        amounts == total - 75,
        format!("{amounts} = {total} - 75 micro-units"),
    );
    checks.check(
        "nothing is missing from the statements",
        missing == 0 && lost == 0,
        format!("{missing} members missing, {lost} records lost"),
    );
    for mixer in &mut cluster.mixers {
        let exited = mixer
            .process
            .as_mut()
            .is_some_and(|process| process.terminate(Duration::from_secs(10)));
        checks.check("a mixer exits cleanly after SIGTERM", exited, &mixer.name);
    }
    sleep(Duration::from_millis(500)).await;
    let exited = cluster
        .settlement
        .as_mut()
        .is_some_and(|process| process.terminate(Duration::from_secs(10)));
    checks.check(
        "the settlement exits cleanly after SIGTERM",
        exited,
        "settlement",
    );
    let clients_file = directory.path().join("clients.csv").display().to_string();
    let mut reconcile = vec!["reconcile".to_string(), "--clients".into(), clients_file];
    for (name, file, _) in &counter_files {
        reconcile.extend([
            "--counters".to_string(),
            format!("{name}={}", file.display()),
        ]);
    }
    let (equal, output) = run_command(
        &mut cluster.ledger_command(&reconcile.iter().map(String::as_str).collect::<Vec<_>>()),
    )?;
    let tail: Vec<&str> = output.lines().rev().take(3).collect();
    checks.check(
        "ledger reconcile finds no difference",
        equal,
        if equal {
            "every use matches"
        } else {
            tail.last().unwrap_or(&"")
        },
    );
    let mut verify = vec!["verify".to_string()];
    for mixer in &cluster.mixers {
        verify.extend([
            "--log".to_string(),
            mixer.usage_directory.display().to_string(),
        ]);
    }
    let (valid, output) = run_command(
        &mut cluster.ledger_command(&verify.iter().map(String::as_str).collect::<Vec<_>>()),
    )?;
    checks.check(
        "ledger verify finds no errors",
        valid,
        output.trim().replace('\n', "; "),
    );
    let rate = records.len() as f64 / load_duration.as_secs_f64();
    let answered: i64 = client_totals
        .values()
        .map(|total| total[1] + total[2])
        .sum();
    println!(
        "{}: {} uses ({answered} answered) in {attempts} attempts at {rate:.0} uses per second, {} periods, \
         {adjustments} adjustments, {} documents in {deliveries} deliveries, 2 mixer kills, 1 zone killed, \
         2 settlement kills, seed {}, {:.0} s{}",
        if checks.failures.is_empty() { "proved" } else { "NOT PROVED" },
        records.len(),
        statements.len(),
        received_ids.len(),
        arguments.seed,
        started.elapsed().as_secs_f64(),
        if checks.failures.is_empty() {
            String::new()
        } else {
            format!("; failed: {}", checks.failures.join(", "))
        }
    );
    Ok(checks.failures.is_empty())
}

/// Timestamps in milliseconds, in the text format of the ledger.
mod timestamp {
    use std::fmt;
    use std::str::FromStr;

    #[derive(Clone, Copy, PartialEq, PartialOrd)]
    pub struct Ms(pub u64);

    impl fmt::Display for Ms {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            let timestamp = jiff::Timestamp::from_millisecond(self.0 as i64).unwrap_or_default();
            write!(f, "{timestamp:.3}")
        }
    }

    impl FromStr for Ms {
        type Err = jiff::Error;

        fn from_str(text: &str) -> Result<Ms, jiff::Error> {
            Ok(Ms(text.parse::<jiff::Timestamp>()?.as_millisecond() as u64))
        }
    }
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
