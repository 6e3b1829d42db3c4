//! `cottonhill-demo`: a whole installation on loopback, to look at and to ask.

use clap::Parser;
use cottonhill_standins::client::{spread, Attempt, Connection, Got, Question};
use cottonhill_standins::installation::{Installation, Plan, CLASSES, SHARDS, TENANTS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts discovery, 12 leaf servers in three zones, three mixers, their ledger and a trickle of queries, all on
/// loopback, and ends them on Ctrl-C.
#[derive(Parser)]
struct Line {
    /// End by itself after so many seconds
    #[arg(long)]
    seconds: Option<u64>,
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

async fn trickle(mixers: Vec<SocketAddr>, seed: u64, counts: Arc<Counts>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connections: Vec<Connection> = mixers.into_iter().map(Connection::new).collect();
    for n in 0u64.. {
        let class = CLASSES[random.random_range(0..CLASSES.len())];
        let width = random.random_range(2..=6);
        let first = random.random_range(0..SHARDS);
        let question = Question {
            class: class.0.into(),
            tenant: TENANTS[random.random_range(0..TENANTS.len())].into(),
            parts: spread(first, width, SHARDS),
            text: format!("{:08x}", random.random::<u32>()),
            key: None,
        };
        let id = format!("demo-{n}");
        let (wait, grace) = (Duration::from_millis(class.2), Duration::ZERO);
        let attempt = Attempt {
            id: &id,
            retry: false,
            wait,
            grace,
        };
        let at = random.random_range(0..connections.len());
        let count = match connections[at].ask(&question, &attempt).await {
            Got::Answer(..) => &counts.answered,
            Got::Refused(_) => &counts.refused,
            _ => &counts.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(random.random_range(20..80))).await;
    }
}

fn say(text: &str) {
    // Whoever reads along may have gone.
    let _ = writeln!(std::io::stdout(), "{text}");
}

async fn run(line: Line) -> std::io::Result<bool> {
    let folder = tempfile::tempdir()?;
    let plan = Plan {
        seed: line.seed,
        work: Duration::from_millis(8),
        usage: true,
        search: true,
        ledger: LEDGER.into(),
        ..Plan::default()
    };
    let mut installation = Installation::start(folder.path(), plan).await?;
    installation.start_settlement()?;
    let mixers: Vec<SocketAddr> = installation
        .mixers
        .iter()
        .map(|mixer| mixer.address)
        .collect();
    let counts = Arc::<Counts>::default();
    let clients = tokio::spawn(trickle(mixers.clone(), line.seed, counts.clone()));
    say("discovery, 12 leaf servers in three zones, three mixers and their ledger are up:");
    for mixer in &installation.mixers {
        say(&format!(
            "  mixer {}  http://{}/   counters: http://{}/-/stats",
            mixer.name, mixer.address, mixer.address
        ));
    }
    say("\nAsk one yourself:");
    say(&format!(
        "  curl -s http://{}/chart-ranking -H 'X-Request-ID: mine-1' -H 'X-Tenant-Id: alpha' \\\n    \
         -H 'X-Timeout: 900m' \\\n    \
         -d '{{\"shards\":[{{\"shard\":3,\"weight\":0.5}},{{\"shard\":9,\"weight\":0.5}}],\"q\":\"c41e77d0\"}}'",
        mixers[0]
    ));
    say("\nOr search as an OpenSearch client would:");
    say(&format!(
        "  curl -s http://{}/chart-ranking/_search -H 'X-Tenant-Id: alpha' -H 'Content-Type: application/json' \\\n    \
         -d '{{\"query\":{{\"match\":{{\"title\":\"river\"}}}},\"size\":3}}'",
        installation.mixers[0].search
    ));
    let program = cottonhill_standins::process::beside("cottonhill")?;
    say("\nWhat it was used for, by tenant, in periods of 10 s:");
    let settings = installation.settings.display();
    say(&format!(
        "  {} ledger statement --settings {settings}",
        program.display()
    ));
    say("\nCtrl-C ends it all.");
    let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())?;
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    let seconds = line.seconds.unwrap_or(u64::MAX / 1000);
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        () = tokio::time::sleep(Duration::from_secs(seconds)) => {}
    }
    clients.abort();
    let mut clean = true;
    for mixer in &mut installation.mixers {
        clean &= mixer
            .process
            .as_mut()
            .is_some_and(|process| process.end(Duration::from_secs(5)));
    }
    clean &= installation
        .settlement
        .as_mut()
        .is_some_and(|process| process.end(Duration::from_secs(5)));
    let [answered, refused, other] = [&counts.answered, &counts.refused, &counts.other]
        .map(|count| count.load(Ordering::Relaxed));
    say(&format!(
        "\n{answered} answered, {refused} refused, {other} otherwise; all ended{}",
        if clean { "" } else { ", not all by themselves" }
    ));
    Ok(clean && answered > 0)
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(Line::parse()))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("cottonhill-demo: {e}");
            ExitCode::FAILURE
        }
    }
}
