//! `cottonhill-demo`: a complete local cluster for manual exploration.

use clap::Parser;
use cottonhill_standins::client::{consecutive_parts, Attempt, AttemptOutcome, Connection, Query};
use cottonhill_standins::cluster::{ClusterConfig, LocalCluster, CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts discovery, 12 leaf servers in three zones, three mixers, their ledger and a low rate of queries, all on
/// loopback, and stops them on Ctrl-C
#[derive(Parser)]
struct Arguments {
    /// Stop after this number of seconds
    #[arg(long)]
    seconds: Option<u64>,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const LEDGER: &str = "\
[periods]
every = 10s
horizon = 2s
skew = 100ms
grace = 10s

[price preview-lookup]
whole = 100

[price chart-ranking]
whole = 250
partial = 200

[price catalogue-report]
whole = 900
partial = 700

[tenant alpha]
allowance = 20
";

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

/// Sends queries to random mixers, one every 20 to 80 ms.
async fn send_queries(mixers: Vec<SocketAddr>, seed: u64, counts: Arc<Counts>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connections: Vec<Connection> = mixers.into_iter().map(Connection::new).collect();
    for n in 0u64.. {
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let count = random.random_range(2..=6);
        let first = random.random_range(0..SHARDS);
        let query = Query {
            class: class.0.into(),
            tenant: TENANTS[random.random_range(0..TENANTS.len())].into(),
            parts: consecutive_parts(first, count, SHARDS),
            text: format!("{:08x}", random.random::<u32>()),
            key: None,
        };
        let id = format!("demo-{n}");
        let (timeout, extra_wait) = (Duration::from_millis(class.2), Duration::ZERO);
        let attempt = Attempt {
            id: &id,
            retry: false,
            timeout,
            extra_wait,
        };
        let index = random.random_range(0..connections.len());
        let counter = match connections[index].send_query(&query, &attempt).await {
            AttemptOutcome::Answer(..) => &counts.answered,
            AttemptOutcome::Refused(_) => &counts.refused,
            _ => &counts.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(random.random_range(20..80))).await;
    }
}

fn print_line(text: &str) {
    // The reader of the output may have closed it.
    let _ = writeln!(std::io::stdout(), "{text}");
}

async fn run(arguments: Arguments) -> std::io::Result<bool> {
    let directory = tempfile::tempdir()?;
    let config = ClusterConfig {
        seed: arguments.seed,
        service_time: Duration::from_millis(8),
        usage_log: true,
        opensearch: true,
        ledger_settings: LEDGER.into(),
        ..ClusterConfig::default()
    };
    let mut cluster = LocalCluster::start(directory.path(), config).await?;
    cluster.start_settlement()?;
    let mixers: Vec<SocketAddr> = cluster.mixers.iter().map(|mixer| mixer.address).collect();
    let counts = Arc::<Counts>::default();
    let client = tokio::spawn(send_queries(mixers.clone(), arguments.seed, counts.clone()));
    print_line(
        "discovery, 12 leaf servers in three zones, three mixers and their ledger are running:",
    );
    for mixer in &cluster.mixers {
        print_line(&format!(
            "  mixer {}  http://{}/   counters: http://{}/-/stats",
            mixer.name, mixer.address, mixer.address
        ));
    }
    print_line("\nSend a query to a mixer:");
    print_line(&format!(
        "  curl -s http://{}/chart-ranking -H 'X-Request-ID: mine-1' -H 'X-Tenant-Id: alpha' \\\n    \
         -H 'X-Timeout: 900m' \\\n    \
         -d '{{\"shards\":[{{\"shard\":3,\"weight\":0.5}},{{\"shard\":9,\"weight\":0.5}}],\"q\":\"c41e77d0\"}}'",
        mixers[0]
    ));
    print_line("\nOr send a search as an OpenSearch client does:");
    print_line(&format!(
        "  curl -s http://{}/chart-ranking/_search -H 'X-Tenant-Id: alpha' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"query\":{{\"match\":{{\"title\":\"river\"}}}},\"size\":3}}'",
        cluster.mixers[0].search_address
    ));
    let program = cottonhill_standins::process::sibling_program("cottonhill")?;
    print_line("\nPrint the usage statement by tenant, in periods of 10 s:");
    let settings = cluster.ledger_settings_file.display();
    print_line(&format!(
        "  {} ledger statement --settings {settings}",
        program.display()
    ));
    print_line("\nCtrl-C stops all processes.");
    let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let seconds = arguments.seconds.unwrap_or(u64::MAX / 1000);
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        () = tokio::time::sleep(Duration::from_secs(seconds)) => {}
    }
    client.abort();
    let mut clean = true;
    for mixer in &mut cluster.mixers {
        clean &= mixer
            .process
            .as_mut()
            .is_some_and(|process| process.terminate(Duration::from_secs(5)));
    }
    clean &= cluster
        .settlement
        .as_mut()
        .is_some_and(|process| process.terminate(Duration::from_secs(5)));
    let [answered, refused, other] = [&counts.answered, &counts.refused, &counts.other]
        .map(|count| count.load(Ordering::Relaxed));
    print_line(&format!(
        "\n{answered} answered, {refused} refused, {other} failed; all processes ended{}",
        if clean {
            ""
        } else {
            ", not all of them cleanly"
        }
    ));
    Ok(clean && answered > 0)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(Arguments::parse()))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("cottonhill-demo: {e}");
            ExitCode::FAILURE
        }
    }
}
