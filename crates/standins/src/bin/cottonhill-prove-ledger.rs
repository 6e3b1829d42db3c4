//! `cottonhill-prove-ledger`: that the ledger counts what clients sent, exactly, whatever fails meanwhile.
//!
//! Three mixers, 12 leaf servers in three zones, and clients that retry within and across mixers. One mixer is killed
//! in the middle of a period, started, killed again as it recovers, and started; a zone is lost across the end of a
//! period and comes back cold; the settlement is killed twice; the receiver of documents stores them and then drops
//! the connection, answers 500 or hangs, and is restarted; a correction is made after its statement has gone out. In
//! the end the clients' own records are set beside the statements and the documents, by code that shares nothing with
//! the ledger's.

use clap::Parser;
use cottonhill_mixer::reducer::usage::{key_from_content, key_from_idempotency_key};
use cottonhill_standins::client::{spread, Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{
    free_port, get, now_ms, own_ip, Installation, Plan, CLASSES, SHARDS, TENANTS,
};
use cottonhill_standins::leaf::value;
use cottonhill_standins::receiver::{Kept, Receiver};
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

/// Proves the ledger on loopback; the last line is a summary, and the exit code 0 only if all holds.
#[derive(Parser)]
struct Line {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Uses that clients ask for, each in one or more tries
    #[arg(long, default_value_t = 20_000)]
    queries: u64,
    /// Clients at once
    #[arg(long, default_value_t = 64)]
    clients: u64,
    /// Seconds of a period
    #[arg(long, default_value_t = 5)]
    period: u64,
    /// Keep the folder with all logs and files, and print its name
    #[arg(long)]
    keep: bool,
}

/// No first try is sent so near to a period's end that it might arrive past it.
const QUIET: u64 = 300;
/// Tries of one use at the most.
const MOST_TRIES: u32 = 8;

/// A use as its client saw it.
struct Used {
    at_ms: u64,
    tenant: &'static str,
    class: &'static str,
    outcome: &'static str,
    tries: u32,
    key: u64,
}

#[derive(Default)]
struct Tally {
    tries: AtomicU64,
    /// At another mixer than the try before.
    crossed: AtomicU64,
    left: AtomicU64,
    lost: AtomicU64,
    refused: AtomicU64,
    late: AtomicU64,
    /// No answer at all from a mixer that was up, or an answer that is not what the leaf servers hold.
    unanswered: AtomicU64,
    wrong: AtomicU64,
}

struct World {
    mixers: Vec<SocketAddr>,
    /// Bit by bit: this mixer has been killed, so a broken connection to it is owed nothing.
    killed: [AtomicBool; 3],
    period_ms: u64,
    left: AtomicU64,
    tally: Tally,
    used: Mutex<Vec<Used>>,
}

async fn away_from_the_edge(period_ms: u64) {
    loop {
        let into = now_ms() % period_ms;
        if (QUIET..period_ms - QUIET).contains(&into) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

async fn client(world: Arc<World>, number: u64, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let home = (number % 3) as usize;
    let mut connection = Connection::new(world.mixers[home]);
    for n in 0u64.. {
        if world
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            })
            .is_err()
        {
            return;
        }
        sleep(Duration::from_millis(random.random_range(40..160))).await;
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let tenant = random.random_range(0..TENANTS.len());
        let width = random.random_range(1..=6u32);
        let first = random.random_range(0..SHARDS);
        // Two tenants name their uses; of the others each text is asked once, by one client.
        let keyed = tenant < 2;
        let question = Question {
            class: class.0.into(),
            tenant: TENANTS[tenant].into(),
            parts: spread(first, width, SHARDS),
            text: if keyed {
                "the same text".into()
            } else {
                format!("{number}-{n}")
            },
            key: keyed.then(|| format!("use-{number}-{n}")),
        };
        away_from_the_edge(world.period_ms).await;
        let used = ask(
            &world,
            &mut connection,
            &mut random,
            &question,
            (number, n, home),
            class,
        )
        .await;
        world
            .used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(used);
    }
}

type Class = (&'static str, u64, u64, f64);

/// One use, until it is answered or its time is up.
async fn ask(
    world: &World,
    connection: &mut Connection,
    random: &mut StdRng,
    question: &Question,
    (number, n, home): (u64, u64, usize),
    class: Class,
) -> Used {
    let key = match &question.key {
        Some(key) => key_from_idempotency_key(&question.class, key),
        None => key_from_content(
            &question.class,
            question.parts.iter().copied(),
            question.text.as_bytes(),
        ),
    };
    let tenant = TENANTS
        .iter()
        .find(|name| **name == question.tenant)
        .copied()
        .unwrap_or_default();
    let mut used = Used {
        at_ms: now_ms(),
        tenant,
        class: class.0,
        outcome: "refused",
        tries: 0,
        key,
    };
    let (began, most) = (Instant::now(), Duration::from_millis(class.2));
    let mut mixer = home;
    let tally = &world.tally;
    while used.tries < MOST_TRIES {
        let remaining = most.saturating_sub(began.elapsed());
        if remaining < Duration::from_millis(60) {
            break;
        }
        let retry = used.tries > 0;
        used.tries += 1;
        tally.tries.fetch_add(1, Ordering::Relaxed);
        connection.turn_to(world.mixers[mixer]);
        let id = format!("c{number}-{n}-{}", used.tries);
        // Some leave before the answer and ask again elsewhere. Only who names the use is then counted once for
        // certain, as the answer may have been on its way.
        let leaves = question.key.is_some() && !retry && random.random_bool(0.01);
        let (wait, grace) = match leaves {
            true => (remaining, Duration::ZERO),
            false => (remaining, Duration::from_secs(3)),
        };
        let asked = Instant::now();
        let attempt = Attempt {
            id: &id,
            retry,
            wait,
            grace,
        };
        let got = if leaves {
            let patience = Duration::from_millis(random.random_range(1..12));
            match tokio::time::timeout(patience, connection.ask(question, &attempt)).await {
                Ok(got) => got,
                Err(_) => {
                    tally.left.fetch_add(1, Ordering::Relaxed);
                    *connection = Connection::new(world.mixers[mixer]);
                    mixer = (mixer + 1) % 3;
                    tally.crossed.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
            }
        } else {
            connection.ask(question, &attempt).await
        };
        tally
            .late
            .fetch_add(u64::from(asked.elapsed() > wait), Ordering::Relaxed);
        match got {
            Got::Answer(whole, hits) => {
                let right = hits
                    .iter()
                    .all(|(shard, doc)| *doc == value(*shard, &question.text));
                let share: f64 = hits
                    .iter()
                    .filter_map(|(s, _)| question.parts.iter().find(|p| p.0 == *s))
                    .map(|p| p.1)
                    .sum();
                let floor = if whole { 1.0 } else { class.3 };
                let distinct: BTreeSet<u32> = hits.iter().map(|hit| hit.0).collect();
                if !right || share + 1e-3 < floor || distinct.len() != hits.len() {
                    tally.wrong.fetch_add(1, Ordering::Relaxed);
                }
                used.outcome = if whole { "whole" } else { "partial" };
                return used;
            }
            Got::Refused(after) => {
                tally.refused.fetch_add(1, Ordering::Relaxed);
                sleep(after.unwrap_or(Duration::from_millis(50)).min(most)).await;
                if random.random_bool(0.5) {
                    mixer = (mixer + 1) % 3;
                    tally.crossed.fetch_add(1, Ordering::Relaxed);
                }
            }
            Got::Lost => {
                tally.lost.fetch_add(1, Ordering::Relaxed);
                if !world.killed[mixer].load(Ordering::Relaxed) {
                    tally.unanswered.fetch_add(1, Ordering::Relaxed);
                }
                mixer = (mixer + 1) % 3;
                tally.crossed.fetch_add(1, Ordering::Relaxed);
            }
            Got::TimedOut => {
                tally.unanswered.fetch_add(1, Ordering::Relaxed);
                used.outcome = "failed";
                return used;
            }
            Got::Failed(_) => {
                used.outcome = "failed";
                return used;
            }
        }
    }
    used
}

/// Until the given part of the next period, in hundredths of its length; past its end if over 100.
async fn into_next_period(period_ms: u64, hundredths: u64) {
    let now = now_ms();
    let at = now - now % period_ms + period_ms + period_ms * hundredths / 100;
    sleep(Duration::from_millis(at.saturating_sub(now))).await;
}

fn output(command: &mut std::process::Command) -> io::Result<(bool, String)> {
    let output = command.output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    Ok((output.status.success(), text))
}

fn json(command: &mut std::process::Command) -> io::Result<Value> {
    let output = command.output()?;
    serde_json::from_slice(&output.stdout)
        .map_err(|_| io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
}

#[derive(Default)]
struct Proof {
    failures: Vec<String>,
}

impl Proof {
    fn check(&mut self, what: &str, holds: bool, detail: impl std::fmt::Display) {
        println!("{} {what}: {detail}", if holds { "ok  " } else { "FAIL" });
        if !holds {
            self.failures.push(what.to_string());
        }
    }
}

/// Uses, whole and partial answers, by period, tenant and class.
type Totals = BTreeMap<(String, String, String), [i64; 3]>;

async fn run(line: Line) -> io::Result<bool> {
    let mut folder = tempfile::tempdir()?;
    if line.keep {
        folder.disable_cleanup(true);
        println!("files are kept in {}", folder.path().display());
    }
    let started = Instant::now();
    let period_ms = line.period.max(4) * 1000;
    let kept = Arc::new(Mutex::new(Kept::default()));
    let receiver_at = free_port(own_ip())?;
    let mut receiver = Receiver::start(receiver_at, kept.clone(), true).await?;
    let documents = folder.path().join("documents");
    let mut ledger = format!(
        "[periods]\nevery = {}s\nhorizon = 2s\nskew = 100ms\ngrace = 120s\n\n\
         [export]\nurl = http://{receiver_at}/documents\n\
         folder = {}\ntimeout = 300ms\nagain = 50ms\n\n[tenant alpha]\nallowance = 100\n\n",
        period_ms / 1000,
        documents.display()
    );
    for (i, (class, ..)) in CLASSES.iter().enumerate() {
        let _ = write!(
            ledger,
            "[price {class}]\nwhole = {}\npartial = {}\n\n",
            100 * (i + 1),
            90 * (i + 1)
        );
    }
    let plan = Plan {
        seed: line.seed,
        work: Duration::from_millis(9),
        slots: 3,
        usage: true,
        ledger,
        ..Plan::default()
    };
    let mut installation = Installation::start(folder.path(), plan).await?;
    installation.start_settlement()?;
    let world = Arc::new(World {
        mixers: installation
            .mixers
            .iter()
            .map(|mixer| mixer.address)
            .collect(),
        killed: Default::default(),
        period_ms,
        left: AtomicU64::new(line.queries),
        tally: Tally::default(),
        used: Mutex::new(Vec::new()),
    });
    let clients: Vec<_> = (0..line.clients)
        .map(|number| tokio::spawn(client(world.clone(), number, line.seed)))
        .collect();

    // What fails, in an order that has each meet the others' aftermath.
    into_next_period(period_ms, 40).await;
    world.killed[1].store(true, Ordering::Relaxed);
    installation.kill_mixer(1);
    sleep(Duration::from_millis(300)).await;
    installation.launch_mixer(1)?;
    // It is reading its log, or about to.
    sleep(Duration::from_millis(15)).await;
    installation.kill_mixer(1);
    installation.start_mixer(1).await?;
    installation.kill_settlement();
    sleep(Duration::from_millis(700)).await;
    installation.start_settlement()?;
    into_next_period(period_ms, 85).await;
    installation.lose_zone(2);
    sleep(Duration::from_millis(period_ms * 40 / 100)).await;
    installation.restore_zone(2, true).await?;
    drop(receiver);
    sleep(Duration::from_millis(200)).await;
    receiver = Receiver::start(receiver_at, kept.clone(), true).await?;
    into_next_period(period_ms, 50).await;
    installation.kill_settlement();
    sleep(Duration::from_millis(400)).await;
    installation.start_settlement()?;
    // A correction, once its statement has gone out.
    let mut corrected = None;
    for _ in 0..300 {
        let kept = kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .documents
            .clone();
        let sent = kept
            .values()
            .filter_map(|(body, _)| serde_json::from_slice::<Value>(body).ok());
        if let Some(sent) = sent
            .into_iter()
            .find(|sent| sent["tenant"] == "beta" && sent["kind"] == "statement")
        {
            corrected = sent["period"].as_str().map(str::to_string);
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let mut proof = Proof::default();
    let period = corrected.clone().unwrap_or_default();
    let words = [
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
    let (entered, said) = output(&mut installation.ledger(&words))?;
    proof.check(
        "a correction after the export becomes a credit",
        entered && said.contains("credit-first"),
        said.trim(),
    );

    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    let asked_for = started.elapsed();
    let mut counters = Vec::new();
    for mixer in &installation.mixers {
        let stats = get(mixer.address, "/-/stats")
            .await
            .map(|(_, body)| body)
            .unwrap_or_default();
        let file = folder.path().join(format!("{}.stats", mixer.name));
        fs::write(&file, &stats)?;
        counters.push((
            mixer.name.clone(),
            file,
            serde_json::from_slice::<Value>(&stats).unwrap_or_default(),
        ));
    }
    // All that was sent belongs to periods up to this one.
    let last = now_ms();
    let mut statements = Vec::new();
    for _ in 0..600 {
        let listed = json(&mut installation.ledger(&["periods", "--format", "json"]))?;
        statements = listed.as_array().cloned().unwrap_or_default();
        let over = statements
            .last()
            .and_then(|it| it["end"].as_str())
            .and_then(|end| end.parse::<jiff_ms::Ms>().ok());
        let waiting = json(&mut installation.ledger(&["export", "--list", "--format", "json"]))?;
        let sent = |it: &Value| it["posted"] == true && it["in_folder"] == true;
        let all_sent = waiting
            .as_array()
            .is_some_and(|all| !all.is_empty() && all.iter().all(sent));
        if over.is_some_and(|end| end.0 > last) && all_sent {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    drop(receiver);

    // What clients sent, beside what statements say: by code of its own.
    let used = std::mem::take(&mut *world.used.lock().unwrap_or_else(PoisonError::into_inner));
    let mut clients: Totals = BTreeMap::new();
    let mut csv =
        csv::Writer::from_path(folder.path().join("clients.csv")).map_err(io::Error::other)?;
    csv.write_record(["at_ms", "tenant", "class", "outcome", "tries", "key"])
        .map_err(io::Error::other)?;
    for it in &used {
        let period = jiff_ms::Ms(it.at_ms - it.at_ms % period_ms).to_string();
        let total = clients
            .entry((period, it.tenant.into(), it.class.into()))
            .or_default();
        total[0] += 1;
        total[1] += i64::from(it.outcome == "whole");
        total[2] += i64::from(it.outcome == "partial");
        let (at, tries, key) = (
            it.at_ms.to_string(),
            it.tries.to_string(),
            format!("{:016x}", it.key),
        );
        csv.write_record([&at, it.tenant, it.class, it.outcome, &tries, &key])
            .map_err(io::Error::other)?;
    }
    csv.flush()?;
    let mut said: Totals = BTreeMap::new();
    let (mut total, mut adjustments, mut lost, mut missing) = (0, 0, 0, 0);
    for it in &statements {
        let name = it["period"].as_str().unwrap_or_default();
        let statement = json(&mut installation.ledger(&["statement", name, "--format", "json"]))?;
        total += statement["total"].as_i64().unwrap_or_default();
        for line in statement["lines"].as_array().into_iter().flatten() {
            let text = |key: &str| line[key].as_str().unwrap_or_default().to_string();
            let sum = said
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
    let differ: Vec<_> = clients
        .keys()
        .chain(said.keys())
        .filter(|key| clients.get(*key) != said.get(*key))
        .collect();
    let shown: Vec<String> = differ
        .iter()
        .take(5)
        .map(|key| {
            format!(
                "{key:?}: clients {:?}, ledger {:?}",
                clients.get(*key),
                said.get(*key)
            )
        })
        .collect();
    let cells = clients.len();
    proof.check(
        "totals by tenant, class and period equal what clients sent",
        differ.is_empty() && cells > 0 && used.len() as u64 == line.queries,
        format!(
            "{cells} totals over {} statements, {} uses {}",
            statements.len(),
            used.len(),
            shown.join("; ")
        ),
    );
    let tally = &world.tally;
    let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
    let (tries, unanswered, wrong) = (
        count(&tally.tries),
        count(&tally.unanswered),
        count(&tally.wrong),
    );
    proof.check(
        "every query got one final answer",
        unanswered == 0 && wrong == 0,
        format!(
            "{tries} tries, {} lost with the killed mixer, {unanswered} unanswered, \
             {wrong} not as the leaf servers hold, \
             {} later than told",
            count(&tally.lost),
            count(&tally.late)
        ),
    );
    let retries = tries - used.len() as u64;
    proof.check(
        "clients retried within and across mixers",
        retries > 0 && count(&tally.crossed) > 0,
        format!(
            "{retries} retries, {} at another mixer, {} after a refusal, {} left early",
            count(&tally.crossed),
            count(&tally.refused),
            count(&tally.left)
        ),
    );
    let kept = kept.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let made = json(&mut installation.ledger(&["export", "--list", "--format", "json"]))?;
    let made: BTreeSet<String> = made
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|it| Some(it["document"].as_str()?.to_string()))
        .collect();
    let received: BTreeSet<String> = kept.documents.keys().cloned().collect();
    let offers: u32 = kept.documents.values().map(|(_, offers)| offers).sum();
    let amounts: i64 = kept
        .documents
        .values()
        .filter_map(|(body, _)| serde_json::from_slice::<Value>(body).ok()?["amount"].as_i64())
        .sum();
    let files: BTreeSet<String> = fs::read_dir(&documents)?
        .filter_map(|file| {
            file.ok()?
                .file_name()
                .to_str()?
                .strip_suffix(".json")
                .map(str::to_string)
        })
        .collect();
    proof.check(
        "each document is received exactly once, unchanged",
        made == received
            && made == files
            && kept.changed == 0
            && !made.is_empty()
            && offers as usize > made.len(),
        format!(
            "{} documents, {offers} offers, {} in the folder, {} with other bytes",
            received.len(),
            files.len(),
            kept.changed
        ),
    );
    proof.check(
        "documents come to the statements and the credit",
        amounts == total - 75,
        format!("{amounts} = {total} - 75 micro-units"),
    );
    proof.check(
        "nothing is missing from the statements",
        missing == 0 && lost == 0,
        format!("{missing} members missing, {lost} records lost"),
    );
    for mixer in &mut installation.mixers {
        let ended = mixer
            .process
            .as_mut()
            .is_some_and(|process| process.end(Duration::from_secs(10)));
        proof.check("a mixer ends by itself", ended, &mixer.name);
    }
    sleep(Duration::from_millis(500)).await;
    let ended = installation
        .settlement
        .as_mut()
        .is_some_and(|process| process.end(Duration::from_secs(10)));
    proof.check("the settlement ends by itself", ended, "SIGTERM");
    let clients_file = folder.path().join("clients.csv").display().to_string();
    let mut words = vec!["reconcile".to_string(), "--clients".into(), clients_file];
    for (name, file, _) in &counters {
        words.extend([
            "--counters".to_string(),
            format!("{name}={}", file.display()),
        ]);
    }
    let (equal, said) =
        output(&mut installation.ledger(&words.iter().map(String::as_str).collect::<Vec<_>>()))?;
    let tail: Vec<&str> = said.lines().rev().take(3).collect();
    proof.check(
        "ledger reconcile finds no difference",
        equal,
        if equal {
            "use by use"
        } else {
            tail.last().unwrap_or(&"")
        },
    );
    let mut words = vec!["verify".to_string()];
    for mixer in &installation.mixers {
        words.extend(["--log".to_string(), mixer.usage.display().to_string()]);
    }
    let (sound, said) =
        output(&mut installation.ledger(&words.iter().map(String::as_str).collect::<Vec<_>>()))?;
    proof.check(
        "ledger verify finds nothing wrong",
        sound,
        said.trim().replace('\n', "; "),
    );
    let rate = used.len() as f64 / asked_for.as_secs_f64();
    let answered: i64 = clients.values().map(|total| total[1] + total[2]).sum();
    println!(
        "{}: {} uses ({answered} answered) in {tries} tries at {rate:.0} a second, {} periods, \
         {adjustments} adjustments, \
         {} documents in {offers} offers, 2 mixer kills, 1 zone lost, 2 settlement kills, seed {}, {:.0} s{}",
        if proof.failures.is_empty() { "proved" } else { "NOT PROVED" },
        used.len(),
        statements.len(),
        received.len(),
        line.seed,
        started.elapsed().as_secs_f64(),
        if proof.failures.is_empty() {
            String::new()
        } else {
            format!("; failed: {}", proof.failures.join(", "))
        }
    );
    Ok(proof.failures.is_empty())
}

/// Times as the ledger writes them.
mod jiff_ms {
    use std::fmt;
    use std::str::FromStr;

    #[derive(Clone, Copy, PartialEq, PartialOrd)]
    pub struct Ms(pub u64);

    impl fmt::Display for Ms {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            let at = jiff::Timestamp::from_millisecond(self.0 as i64).unwrap_or_default();
            write!(f, "{at:.3}")
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
    match runtime.and_then(|runtime| runtime.block_on(run(Line::parse()))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            println!("NOT PROVED: {e}");
            ExitCode::FAILURE
        }
    }
}
