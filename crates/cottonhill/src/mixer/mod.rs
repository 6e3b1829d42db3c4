//! The mixer's process: its sockets, usage log and frontends, and its signal handling.

mod frontends;
mod listener;
mod reload;
mod signals;
mod usage_recorder;

pub use reload::MixerContext;

use crate::error::{CommandResult, RuntimeError};
use crate::log_targets::PROGRAM;
use cottonhill_ledger::settings::UsageLogSettings;
use cottonhill_ledger::writer::{self, Writer};
use cottonhill_mixer::config::Config;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::transport::{self, Clock};
use std::rc::Rc;
use tokio::sync::mpsc;
use usage_recorder::UsageLogRecorder;

/// Serves queries until SIGTERM or SIGINT ends the mixer. Must be called inside a `LocalSet`.
///
/// # Errors
/// A socket, signal handler, frontend or the usage log can't be opened.
pub async fn serve(
    mut context: MixerContext,
    usage_log: Option<UsageLogSettings>,
) -> CommandResult {
    // The list may be large, and only the start of the reducer needs it.
    let cached_endpoints = std::mem::take(&mut context.config.cached_endpoints);
    let config = context.config.clone();
    let frontends = frontends::open(&context.settings).await?;
    context.tls = frontends.tls;
    let (sender, controls) = mpsc::channel(1);
    signals::forward_signals(&Rc::new(context), &sender)?;
    log_start(&config, &cached_endpoints);
    let clock = Clock::start();
    let writer = match &usage_log {
        Some(usage_log) => Some(start_writer(usage_log, &config, clock.now())?),
        None => None,
    };
    let reducer = new_reducer(&config, cached_endpoints, usage_log.as_ref(), clock.now());
    let listener = listener::bind(config.listen).await?;
    let integrations = transport::Integrations {
        recorder: writer.map(|writer| Box::new(UsageLogRecorder(writer)) as _),
        frontends: frontends.start,
    };
    transport::serve(
        reducer,
        clock,
        config.query_schema,
        listener,
        config.addresses,
        controls,
        integrations,
    )
    .await
    .map_err(RuntimeError::ListenForPeers)?;
    Ok(())
}

fn log_start(config: &Config, cached_endpoints: &EndpointUpdate) {
    tracing::info!(
        target: PROGRAM,
        name = config.name,
        listen = %config.listen,
        cached_endpoints = cached_endpoints.entries.len(),
        open_cap = config.mixer_settings.max_open_requests,
        "mixer starting"
    );
    tracing::debug!(target: PROGRAM, settings = ?config.settings, "decision settings");
}

/// Starts the writer of the usage log. `now` is the mixer's clock in Unix nanoseconds.
fn start_writer(
    usage_log: &UsageLogSettings,
    config: &Config,
    now: u64,
) -> Result<Writer, RuntimeError> {
    let settings = &config.mixer_settings;
    let names = writer::NameTables {
        mixer: config.name.clone(),
        classes: settings.classes.clone(),
        give_up_ns: settings.deadlines.clone(),
        tenants: settings.tenants.clone(),
    };
    writer::start(usage_log, names, now).map_err(RuntimeError::UsageLog)
}

fn new_reducer(
    config: &Config,
    cached_endpoints: EndpointUpdate,
    usage_log: Option<&UsageLogSettings>,
    now: u64,
) -> Reducer {
    let mut reducer = Reducer::new(
        now,
        config.mixer_settings.clone(),
        config.settings.clone(),
        config.seed,
        &cached_endpoints,
        config.max_descriptors,
    );
    if let Some(memory_limit) = config.memory_limit {
        reducer.limit_memory(memory_limit);
    }
    if let Some(usage_log) = usage_log {
        reducer.enable_usage_recording(usage_log.watermark_interval.as_nanos() as u64);
    }
    reducer
}
