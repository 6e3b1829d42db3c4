//! `cottonhill-bench-ledger`: what the usage log costs a mixer, and how fast the settlement is.

use clap::Parser;
use cottonhill_ledger::log::append_frame;
use cottonhill_ledger::period::{Calendar, Period, PeriodLength};
use cottonhill_ledger::settings::ClassPrice;
use cottonhill_ledger::settle::JoinLimits;
use cottonhill_ledger::store::{CloseParameters, Store};
use cottonhill_ledger::wire::{entry::What, Batch, Class, Entry, Header, Outcome, Record};
use cottonhill_standins::client::{spread, Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{Installation, Plan, CLASSES, SHARDS, TENANTS};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

/// Measures; it judges nothing.
#[derive(Parser)]
struct Line {
    /// Slices of load, each once with the log on and once with it off
    #[arg(long, default_value_t = 6)]
    pairs: u64,
    /// Seconds of a slice
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Records of the larger settlement; a tenth of it is the smaller
    #[arg(long, default_value_t = 10_000_000)]
    records: u64,
    /// Only ingest and settle so many records, and print what it took
    #[arg(long, hide = true)]
    settle: Option<u64>,
}

const CLIENTS: u64 = 32;

struct Slice {
    queries: u64,
    cpu_us: f64,
    latency: Histogram<u64>,
}

/// Milliseconds between a client's queries, from and up to: a tenth of what a mixer can do, and most of it.
const GAPS: [(&str, u64, u64); 2] = [("light", 20, 40), ("heavy", 0, 3)];

async fn load(mixer: SocketAddr, client: u64, gap: (u64, u64), until: Instant) -> Histogram<u64> {
    let mut random = StdRng::seed_from_u64(client);
    let mut connection = Connection::new(mixer);
    let mut latency = Histogram::new(3).unwrap_or_else(|e| panic!("three digits are allowed: {e}"));
    let mut n = 0u64;
    while Instant::now() < until {
        let width = 4;
        let first = random.random_range(0..SHARDS);
        let question = Question {
            class: CLASSES[1].0.into(),
            tenant: TENANTS[0].into(),
            parts: spread(first, width, SHARDS),
            text: format!("{:08x}", random.random::<u32>()),
            key: None,
        };
        n += 1;
        let id = format!("b{client}-{n}-{:08x}", random.random::<u32>());
        let attempt = Attempt {
            id: &id,
            retry: false,
            wait: Duration::from_millis(1200),
            grace: Duration::ZERO,
        };
        let began = Instant::now();
        if let Got::Answer(..) = connection.ask(&question, &attempt).await {
            let _ = latency.record(began.elapsed().as_micros() as u64);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(gap.0..gap.1))).await;
    }
    latency
}

async fn slice(installation: &Installation, seconds: u64, gap: (u64, u64)) -> io::Result<Slice> {
    let used = || {
        installation.mixers[0]
            .process
            .as_ref()
            .and_then(|process| process.used())
            .map_or(0.0, |used| used.0)
    };
    let (before, until) = (used(), Instant::now() + Duration::from_secs(seconds));
    let clients = (0..CLIENTS)
        .map(|client| tokio::spawn(load(installation.mixers[0].address, client, gap, until)));
    let mut latency = Histogram::new(3).map_err(io::Error::other)?;
    for client in clients.collect::<Vec<_>>() {
        latency
            .add(client.await.map_err(io::Error::other)?)
            .map_err(io::Error::other)?;
    }
    let queries = latency.len();
    Ok(Slice {
        queries,
        cpu_us: (used() - before) * 1e6 / queries.max(1) as f64,
        latency,
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

async fn serving(line: &Line) -> io::Result<()> {
    let plan = |usage| Plan {
        seed: 1,
        work: Duration::from_millis(4),
        slots: 64,
        usage,
        ..Plan::default()
    };
    let folders = (tempfile::tempdir()?, tempfile::tempdir()?);
    let off = Installation::start(folders.0.path(), plan(false)).await?;
    let on = Installation::start(folders.1.path(), plan(true)).await?;
    for (name, least, most) in GAPS {
        under(line, name, (least, most), &off, &on).await?;
    }
    Ok(())
}

async fn under(
    line: &Line,
    name: &str,
    gap: (u64, u64),
    off: &Installation,
    on: &Installation,
) -> io::Result<()> {
    let (mut ratios, mut p99, mut cpus) = (Vec::new(), Vec::new(), (Vec::new(), Vec::new()));
    let mut all = (
        Histogram::<u64>::new(3).map_err(io::Error::other)?,
        Histogram::<u64>::new(3).map_err(io::Error::other)?,
    );
    slice(off, 1, gap).await?;
    slice(on, 1, gap).await?;
    for pair in 0..line.pairs {
        // Each goes first every other time.
        let (with, without) = if pair % 2 == 0 {
            let with = slice(on, line.seconds, gap).await?;
            (with, slice(off, line.seconds, gap).await?)
        } else {
            let without = slice(off, line.seconds, gap).await?;
            (slice(on, line.seconds, gap).await?, without)
        };
        let ms = |slice: &Slice| slice.latency.value_at_quantile(0.99) as f64 / 1000.0;
        println!(
            "{name} load, pair {pair}: off {:.0} us a query, p99 {:.2} ms, {} queries; \
             on {:.0} us, {:.2} ms, {} queries",
            without.cpu_us,
            ms(&without),
            without.queries,
            with.cpu_us,
            ms(&with),
            with.queries
        );
        ratios.push(with.cpu_us / without.cpu_us);
        p99.push(ms(&with) - ms(&without));
        cpus.0.push(without.cpu_us);
        cpus.1.push(with.cpu_us);
        all.0.add(&without.latency).map_err(io::Error::other)?;
        all.1.add(&with.latency).map_err(io::Error::other)?;
    }
    let spread = |values: &[f64]| {
        let least = values.iter().copied().fold(f64::MAX, f64::min);
        (least, values.iter().copied().fold(f64::MIN, f64::max))
    };
    let (low, high) = spread(&ratios);
    println!(
        "{name} load: processor time a query, on to off: {:.3} (median of {} pairs; {low:.3} to {high:.3}); \
         {:.0} us on, {:.0} us off",
        median(ratios.clone()),
        ratios.len(),
        median(cpus.1),
        median(cpus.0)
    );
    let (low, high) = spread(&p99);
    let whole = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1000.0;
    println!(
        "{name} load: p99 of the answer, on less off: {:+.2} ms (median of pairs; {low:+.2} to {high:+.2}); \
         all together {:.2} ms on, {:.2} ms off",
        median(p99),
        whole(&all.1),
        whole(&all.0)
    );
    Ok(())
}

const START: i64 = 1_764_547_200_000;

fn record(random: &mut StdRng, sequence: u64, at: i64) -> Record {
    let repeat = random.random_bool(0.05);
    let outcome = if random.random_bool(0.9) {
        Outcome::Whole
    } else {
        Outcome::Refused
    };
    Record {
        sequence,
        tenant: random.random_range(0..40),
        class: random.random_range(0..3),
        arrived_ms: at as u64,
        outcome: outcome.into(),
        share: 0,
        parts: random.random_range(2..12),
        attempts: random.random_range(2..14),
        crossed: random.random_range(0..4),
        repeat,
        key: random.random::<u64>() & !1 | 2,
        keyed: false,
    }
}

/// Ingests and settles `records` records of one period; prints records a second and the most memory held.
fn settle(records: u64) -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let other = io::Error::other;
    let mut store = Store::open(&folder.path().join("ledger.sqlite")).map_err(other)?;
    let mut random = StdRng::seed_from_u64(7);
    // As long a period as it takes at 1,000 a second.
    let length = records as i64;
    let calendar = Calendar(PeriodLength::FixedMs(86_400_000));
    let bounds = JoinLimits {
        horizon_ms: 2000,
        skew_ms: 100,
    };
    let header = Header {
        version: 1,
        mixer: "n0".into(),
        incarnation: 1,
        first_sequence: 1,
        classes: CLASSES
            .map(|(name, _, give_up_ms, _)| Class {
                name: name.into(),
                give_up_ms,
            })
            .to_vec(),
        tenants: (0..40).map(|n| format!("library-{n}")).collect(),
    };
    let (mut spent, mut sequence) = (Duration::ZERO, 0);
    while sequence < records {
        let mut batch = Batch {
            header: Some(header.clone()),
            ..Batch::default()
        };
        while batch.entries.len() < 4096 && sequence < records {
            sequence += 1;
            let at = START + sequence as i64 * length / records as i64;
            batch.entries.push(Entry {
                what: Some(What::Record(record(&mut random, sequence, at))),
            });
        }
        let began = Instant::now();
        store
            .ingest("n0", &batch, &calendar, bounds)
            .map_err(other)?;
        spent += began.elapsed();
    }
    let ingest = records as f64 / spent.as_secs_f64();
    let prices = CLASSES
        .iter()
        .map(|(name, ..)| {
            (
                name.to_string(),
                ClassPrice {
                    complete: 100,
                    partial: 90,
                },
            )
        })
        .collect();
    let terms = CloseParameters {
        bounds,
        prices: &prices,
        allowances: &BTreeMap::new(),
        members: vec!["n0".into()],
        missing: &[],
        now: START,
    };
    let began = Instant::now();
    let period = Period {
        start: START,
        end: START + length + 1,
    };
    let statement = store.close(period, &terms).map_err(other)?;
    let settle = records as f64 / began.elapsed().as_secs_f64();
    let tries: i64 = statement.lines.iter().map(|line| line.counts.tries).sum();
    if tries as u64 != records {
        return Err(io::Error::other(format!(
            "{tries} tries settled of {records}"
        )));
    }
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap_or_default();
    println!(
        "{records} records: ingest {ingest:.0} a second, settle {settle:.0} a second, peak memory{peak}"
    );
    Ok(())
}

fn size() {
    let mut random = StdRng::seed_from_u64(3);
    let mut bytes = Vec::new();
    let count = 100_000;
    for n in 1..=count {
        let what = What::Record(record(&mut random, 1_000_000 + n, START + n as i64));
        append_frame(&mut bytes, &Entry { what: Some(what) });
    }
    println!(
        "log: {:.1} bytes a record",
        bytes.len() as f64 / count as f64
    );
}

fn run(line: &Line) -> io::Result<()> {
    if let Some(records) = line.settle {
        return settle(records);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(serving(line))?;
    size();
    for records in [line.records / 10, line.records] {
        // Each in a process of its own: the most memory held is that of the whole process.
        let child = Command::new(std::env::current_exe()?)
            .args(["--settle", &records.to_string()])
            .status()?;
        if !child.success() {
            return Err(io::Error::other("the settlement failed"));
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Line::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cottonhill-bench-ledger: {e}");
            ExitCode::FAILURE
        }
    }
}
