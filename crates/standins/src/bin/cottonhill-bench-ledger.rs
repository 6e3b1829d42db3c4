//! `cottonhill-bench-ledger`: cost of the usage log in a mixer, and throughput of the settlement.

use clap::Parser;
use cottonhill_ledger::log::append_frame;
use cottonhill_ledger::period::{Calendar, Period, PeriodLength};
use cottonhill_ledger::settings::ClassPrice;
use cottonhill_ledger::settle::JoinLimits;
use cottonhill_ledger::store::{CloseParameters, Store};
use cottonhill_ledger::wire::{entry::What, Batch, Class, Entry, Header, Outcome, Record};
use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::time::{Duration, Instant};

/// Measures the cost of the usage log and the throughput of the settlement; it checks no limits
#[derive(Parser)]
struct Arguments {
    /// Pairs of load intervals, one with the log on and one with it off
    #[arg(long, default_value_t = 6)]
    pairs: u64,
    /// Length of a load interval in seconds
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Records of the larger settlement; the smaller one has a tenth of them
    #[arg(long, default_value_t = 10_000_000)]
    records: u64,
    /// Only ingest and settle this number of records, and print the throughput and memory
    #[arg(long, hide = true)]
    settle: Option<u64>,
}

const CLIENTS: u64 = 32;

/// Measurements of one load interval.
struct LoadSample {
    queries: u64,
    cpu_us: f64,
    latency: Histogram<u64>,
}

/// Load levels, with the minimum and maximum pause between the queries of a client in milliseconds: light load is a
/// tenth of what a mixer can serve, heavy load most of it.
const LOAD_LEVELS: [(&str, u64, u64); 2] = [("light", 20, 40), ("heavy", 0, 3)];

/// Sends queries until `deadline` and returns the latencies of the answers in microseconds.
async fn send_queries(
    mixer: SocketAddr,
    client: u64,
    pause_ms: (u64, u64),
    deadline: Instant,
) -> Histogram<u64> {
    let mut random = StdRng::seed_from_u64(client);
    let mut connection = Connection::new(mixer);
    let mut latency =
        Histogram::new(3).unwrap_or_else(|e| panic!("3 significant digits are valid: {e}"));
    let mut n = 0u64;
    while Instant::now() < deadline {
        let count = 4;
        let first = random.random_range(0..SHARDS);
        let query = Query {
            class: CLASSES[1].0.into(),
            tenant: TENANTS[0].into(),
            parts: consecutive_parts(first, count, SHARDS),
            text: format!("{:08x}", random.random::<u32>()),
            key: None,
        };
        n += 1;
        let id = format!("b{client}-{n}-{:08x}", random.random::<u32>());
        let attempt = Attempt {
            id: &id,
            retry: false,
            timeout: Duration::from_millis(1200),
            extra_wait: Duration::ZERO,
        };
        let started = Instant::now();
        if let AttemptOutcome::Answer(..) = connection.send_query(&query, &attempt).await {
            let _ = latency.record(started.elapsed().as_micros() as u64);
        }
        tokio::time::sleep(Duration::from_millis(
            random.random_range(pause_ms.0..pause_ms.1),
        ))
        .await;
    }
    latency
}

/// Measures one load interval.
async fn measure_interval(
    cluster: &LocalCluster,
    seconds: u64,
    pause_ms: (u64, u64),
) -> io::Result<LoadSample> {
    let processor_seconds = || {
        cluster.mixers[0]
            .process
            .as_ref()
            .and_then(|process| process.resource_usage())
            .map_or(0.0, |usage| usage.0)
    };
    let (before, deadline) = (
        processor_seconds(),
        Instant::now() + Duration::from_secs(seconds),
    );
    let clients = (0..CLIENTS).map(|client| {
        tokio::spawn(send_queries(
            cluster.mixers[0].address,
            client,
            pause_ms,
            deadline,
        ))
    });
    let mut latency = Histogram::new(3).map_err(io::Error::other)?;
    for client in clients.collect::<Vec<_>>() {
        latency
            .add(client.await.map_err(io::Error::other)?)
            .map_err(io::Error::other)?;
    }
    let queries = latency.len();
    Ok(LoadSample {
        queries,
        cpu_us: (processor_seconds() - before) * 1e6 / queries.max(1) as f64,
        latency,
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Measures the cost of the usage log at each load level.
async fn bench_usage_log(arguments: &Arguments) -> io::Result<()> {
    let config = |usage_log| ClusterConfig {
        seed: 1,
        service_time: Duration::from_millis(4),
        leaf_concurrency: 64,
        usage_log,
        ..ClusterConfig::default()
    };
    let directories = (tempfile::tempdir()?, tempfile::tempdir()?);
    let off = LocalCluster::start(directories.0.path(), config(false)).await?;
    let on = LocalCluster::start(directories.1.path(), config(true)).await?;
    for (name, min_ms, max_ms) in LOAD_LEVELS {
        bench_load_level(arguments, name, (min_ms, max_ms), &off, &on).await?;
    }
    Ok(())
}

/// Measures pairs of load intervals at one load level and prints their differences.
async fn bench_load_level(
    arguments: &Arguments,
    name: &str,
    pause_ms: (u64, u64),
    off: &LocalCluster,
    on: &LocalCluster,
) -> io::Result<()> {
    let (mut ratios, mut p99, mut cpus) = (Vec::new(), Vec::new(), (Vec::new(), Vec::new()));
    let mut all = (
        Histogram::<u64>::new(3).map_err(io::Error::other)?,
        Histogram::<u64>::new(3).map_err(io::Error::other)?,
    );
    measure_interval(off, 1, pause_ms).await?;
    measure_interval(on, 1, pause_ms).await?;
    for pair in 0..arguments.pairs {
        // The order alternates so that neither always runs first.
        let (with, without) = if pair % 2 == 0 {
            let with = measure_interval(on, arguments.seconds, pause_ms).await?;
            (
                with,
                measure_interval(off, arguments.seconds, pause_ms).await?,
            )
        } else {
            let without = measure_interval(off, arguments.seconds, pause_ms).await?;
            (
                measure_interval(on, arguments.seconds, pause_ms).await?,
                without,
            )
        };
        let p99_ms = |sample: &LoadSample| sample.latency.value_at_quantile(0.99) as f64 / 1000.0;
        println!(
            "{name} load, pair {pair}: off {:.0} us per query, p99 {:.2} ms, {} queries; \
             on {:.0} us, {:.2} ms, {} queries",
            without.cpu_us,
            p99_ms(&without),
            without.queries,
            with.cpu_us,
            p99_ms(&with),
            with.queries
        );
        ratios.push(with.cpu_us / without.cpu_us);
        p99.push(p99_ms(&with) - p99_ms(&without));
        cpus.0.push(without.cpu_us);
        cpus.1.push(with.cpu_us);
        all.0.add(&without.latency).map_err(io::Error::other)?;
        all.1.add(&with.latency).map_err(io::Error::other)?;
    }
    let range = |values: &[f64]| {
        let minimum = values.iter().copied().fold(f64::MAX, f64::min);
        (minimum, values.iter().copied().fold(f64::MIN, f64::max))
    };
    let (low, high) = range(&ratios);
    println!(
        "{name} load: processor time per query, on/off: {:.3} (median of {} pairs; {low:.3} to {high:.3}); \
         {:.0} us on, {:.0} us off",
        median(ratios.clone()),
        ratios.len(),
        median(cpus.1),
        median(cpus.0)
    );
    let (low, high) = range(&p99);
    let overall_p99_ms =
        |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1000.0;
    println!(
        "{name} load: p99 latency, on minus off: {:+.2} ms (median of pairs; {low:+.2} to {high:+.2}); \
         overall {:.2} ms on, {:.2} ms off",
        median(p99),
        overall_p99_ms(&all.1),
        overall_p99_ms(&all.0)
    );
    Ok(())
}

/// Start of the settled period, in Unix milliseconds.
const PERIOD_START_MS: i64 = 1_764_547_200_000;

/// Random usage record that arrived at `arrived_ms`.
fn record(random: &mut StdRng, sequence: u64, arrived_ms: i64) -> Record {
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
        arrived_ms: arrived_ms as u64,
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

/// Ingests and settles `records` records of one period. Prints records per second and peak memory.
fn settle(records: u64) -> io::Result<()> {
    let directory = tempfile::tempdir()?;
    let other = io::Error::other;
    let mut store = Store::open(&directory.path().join("ledger.sqlite")).map_err(other)?;
    let mut random = StdRng::seed_from_u64(7);
    // The period has the length of `records` arrivals at 1,000 per second.
    let length_ms = records as i64;
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
            .map(|(name, _, timeout_ms, _)| Class {
                name: name.into(),
                give_up_ms: timeout_ms,
            })
            .to_vec(),
        tenants: (0..40).map(|n| format!("library-{n}")).collect(),
    };
    let (mut elapsed, mut sequence) = (Duration::ZERO, 0);
    while sequence < records {
        let mut batch = Batch {
            header: Some(header.clone()),
            ..Batch::default()
        };
        while batch.entries.len() < 4096 && sequence < records {
            sequence += 1;
            let arrived_ms = PERIOD_START_MS + sequence as i64 * length_ms / records as i64;
            batch.entries.push(Entry {
                what: Some(What::Record(record(&mut random, sequence, arrived_ms))),
            });
        }
        let started = Instant::now();
        store
            .ingest("n0", &batch, &calendar, bounds)
            .map_err(other)?;
        elapsed += started.elapsed();
    }
    let ingest_rate = records as f64 / elapsed.as_secs_f64();
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
    let parameters = CloseParameters {
        bounds,
        prices: &prices,
        allowances: &BTreeMap::new(),
        members: vec!["n0".into()],
        missing: &[],
        now: PERIOD_START_MS,
    };
    let started = Instant::now();
    let period = Period {
        start: PERIOD_START_MS,
        end: PERIOD_START_MS + length_ms + 1,
    };
    let statement = store.close(period, &parameters).map_err(other)?;
    let settle_rate = records as f64 / started.elapsed().as_secs_f64();
    let attempts: i64 = statement.lines.iter().map(|line| line.counts.tries).sum();
    if attempts as u64 != records {
        return Err(io::Error::other(format!(
            "{attempts} attempts settled instead of {records}"
        )));
    }
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap_or_default();
    println!(
        "{records} records: ingest {ingest_rate:.0} per second, settle {settle_rate:.0} per second, peak memory{peak}"
    );
    Ok(())
}

/// Prints the mean size of a record in the log.
fn print_record_size() {
    let mut random = StdRng::seed_from_u64(3);
    let mut bytes = Vec::new();
    let count = 100_000;
    for n in 1..=count {
        let what = What::Record(record(
            &mut random,
            1_000_000 + n,
            PERIOD_START_MS + n as i64,
        ));
        append_frame(&mut bytes, &Entry { what: Some(what) });
    }
    println!(
        "log: {:.1} bytes per record",
        bytes.len() as f64 / count as f64
    );
}

fn run(arguments: &Arguments) -> io::Result<()> {
    if let Some(records) = arguments.settle {
        return settle(records);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(bench_usage_log(arguments))?;
    print_record_size();
    for records in [arguments.records / 10, arguments.records] {
        // Each settlement runs in its own process, because peak memory is measured per process.
        let child = Command::new(std::env::current_exe()?)
            .args(["--settle", &records.to_string()])
            .status()?;
        if !child.success() {
            return Err(io::Error::other("the settlement process failed"));
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cottonhill-bench-ledger: {e}");
            ExitCode::FAILURE
        }
    }
}
