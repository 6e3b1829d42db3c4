//! Start and end of the program.

mod config;

pub use config::Config;

use crate::routing::State;
use crate::transport::{self, Addresses, Clock, Told};
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tracing::level_filters::LevelFilter;

/// Runs the mixer until it is told to end. A start that fails leaves one line on standard error.
pub fn run() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cottonhill: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set")?;
    let config = read(&path)?;
    let level = std::env::var("COTTONHILL_LOG").ok().and_then(|level| level.parse().ok());
    let level: LevelFilter = level.unwrap_or(LevelFilter::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_ansi(false).with_writer(std::io::stderr).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(path, config))
}

fn read(path: &str) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
    Config::read(&text).map_err(|e| format!("{path}: {e}"))
}

/// Reads the configuration again. Of a file that does not do, nothing is taken: the old one stays in force.
fn reload(path: &str, running: &Config) -> Option<Addresses> {
    match read(path) {
        Ok(next) => {
            let restart = running.needs_restart(&next).join(", ");
            if !restart.is_empty() {
                tracing::warn!(restart, "changed in the configuration, but only a restart takes it up");
            }
            tracing::info!(discovery = %next.addresses.discovery, "configuration read again");
            Some(next.addresses)
        }
        Err(message) => {
            tracing::error!("the configuration stays as it was: {message}");
            None
        }
    }
}

async fn serve(path: String, config: Config) -> Result<(), String> {
    let (tell, told) = mpsc::channel(1);
    // A planned end, by the platform or by whoever has it in a terminal; and a new configuration.
    for kind in [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()] {
        let mut signals = signal(kind).map_err(|e| format!("no signals: {e}"))?;
        let (tell, path, running) = (tell.clone(), path.clone(), config.clone());
        tokio::task::spawn_local(async move {
            while signals.recv().await.is_some() {
                let what = if kind == SignalKind::hangup() {
                    Told::Reload(reload(&path, &running))
                } else {
                    tracing::info!("told to end");
                    Told::End
                };
                let _ = tell.send(what).await;
            }
        });
    }
    let Config { name, listen, site, settings, seed, descriptors, known, addresses, names } = config;
    tracing::info!(name, %listen, known = known.endpoints.len(), open_cap = site.open_cap, "starting");
    let clock = Clock::start();
    let state = State::new(clock.now(), site, settings, seed, &known, descriptors);
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let served = transport::serve(state, clock, names, listener, addresses, told).await;
    served.map_err(|e| format!("cannot listen for other mixers: {e}"))
}
