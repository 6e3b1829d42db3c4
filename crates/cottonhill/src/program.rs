//! Start and end of the mixer.

use crate::logs::Logs;
use crate::output::{Done, Failure};
use crate::recorder::UsageLogRecorder;
use crate::{fronts, settings, Files};
use cottonhill_ini::Settings;
use cottonhill_ledger::settings::UsageLog;
use cottonhill_ledger::writer;
use cottonhill_mixer::config::Config;
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::transport::{self, Addresses, Clock, Control};
use cottonhill_opensearch::tls::Tls;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Runs the mixer until a signal ends it.
pub fn run(files: &Files) -> Done {
    let path = files.config.as_ref();
    let path = path.ok_or_else(|| {
        Failure::configuration("no configuration: --config or BALANCER_CONFIG has to name it")
    })?;
    let config = read(path)?;
    let own = settings::read(files)?;
    let usage = UsageLog::read(&own, &settings::SCHEMA).map_err(Failure::configuration)?;
    let logs = Logs::start(&own)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| Failure::running(format!("no runtime: {e}")))?;
    let running = Running {
        files: files.clone(),
        config,
        own,
        logs,
        tls: None,
    };
    tokio::task::LocalSet::new().block_on(&runtime, serve(running, usage))
}

/// Reads the platform's configuration of a mixer.
pub fn read(path: &Path) -> Result<Config, Failure> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| {
        Failure::configuration(format!("cannot read the configuration {shown}: {e}"))
    })?;
    Config::parse(&text).map_err(|e| Failure::configuration(format!("{shown}: {e}")))
}

/// What a running mixer was started with.
struct Running {
    files: Files,
    config: Config,
    own: Settings,
    logs: Logs,
    tls: Option<Rc<Tls>>,
}

impl Running {
    /// Reads both files again. Of a file that does not do, nothing is taken: the old one stays in force.
    fn reload(&self) -> Option<Addresses> {
        match settings::read(&self.files).and_then(|own| self.logs.reload(&own).map(|()| own)) {
            Ok(own) => {
                let restart = self.own.needs_restart(&own, &settings::SCHEMA).join(", ");
                if !restart.is_empty() {
                    tracing::warn!(
                        restart,
                        "changed in the settings, but only a restart takes it up"
                    );
                }
            }
            Err(Failure { message, .. }) => {
                tracing::error!("the settings stay as they were: {message}")
            }
        }
        if let Some(tls) = &self.tls {
            match tls.reload() {
                Ok(()) => tracing::info!("certificate and key read again"),
                Err(e) => tracing::error!("the certificate stays as it was: {e}"),
            }
        }
        let path = self.files.config.as_ref()?;
        match read(path) {
            Ok(next) => {
                let restart = self.config.needs_restart(&next).join(", ");
                if !restart.is_empty() {
                    tracing::warn!(
                        restart,
                        "changed in the configuration, but only a restart takes it up"
                    );
                }
                tracing::info!(discovery = %next.addresses.discovery, "configuration read again");
                Some(next.addresses)
            }
            Err(Failure { message, .. }) => {
                tracing::error!("the configuration stays as it was: {message}");
                None
            }
        }
    }
}

async fn serve(mut running: Running, usage: Option<UsageLog>) -> Done {
    let (sender, controls) = mpsc::channel(1);
    // A list may be large, and only the start needs this one.
    let cached_endpoints = std::mem::take(&mut running.config.cached_endpoints);
    let Config {
        name,
        listen,
        mixer_settings,
        settings,
        seed,
        max_descriptors,
        memory_limit,
        addresses,
        query_schema,
        ..
    } = running.config.clone();
    let fronts = fronts::open(&running.own).await?;
    running.tls = fronts.tls;
    let running = Rc::new(running);
    // A planned end, by the platform or by whoever has it in a terminal; and a new configuration.
    for kind in [
        SignalKind::terminate(),
        SignalKind::interrupt(),
        SignalKind::hangup(),
    ] {
        let mut signals = signal(kind).map_err(|e| Failure::running(format!("no signals: {e}")))?;
        let (sender, running) = (sender.clone(), running.clone());
        tokio::task::spawn_local(async move {
            while signals.recv().await.is_some() {
                let control = if kind == SignalKind::hangup() {
                    Control::Reload(running.reload())
                } else {
                    tracing::info!("told to end");
                    Control::Terminate
                };
                let _ = sender.send(control).await;
            }
        });
    }
    tracing::info!(name, %listen, known = cached_endpoints.entries.len(), open_cap = mixer_settings.max_open_requests, "starting");
    tracing::debug!(?settings, "settings in force");
    let clock = Clock::start();
    let recorder = match &usage {
        Some(usage) => {
            let (classes, give_up, tenants) = (
                mixer_settings.classes.clone(),
                mixer_settings.deadlines.clone(),
                mixer_settings.tenants.clone(),
            );
            let names = writer::Names {
                mixer: name.clone(),
                classes,
                give_up,
                tenants,
            };
            let writer = writer::start(usage, names, clock.now());
            Some(writer.map_err(|e| Failure::running(format!("usage log: {e}")))?)
        }
        None => None,
    };
    let mut state = Reducer::new(
        clock.now(),
        mixer_settings,
        settings,
        seed,
        &cached_endpoints,
        max_descriptors,
    );
    drop(cached_endpoints);
    if let Some(memory) = memory_limit {
        state.limit_memory(memory);
    }
    if let Some(usage) = &usage {
        state.record_usage(usage.mark.as_nanos() as u64);
    }
    let listener = TcpListener::bind(listen).await;
    let listener =
        listener.map_err(|e| Failure::running(format!("cannot listen on {listen}: {e}")))?;
    let recorder = recorder
        .map(|recorder| Box::new(UsageLogRecorder(recorder)) as Box<dyn transport::Recorder>);
    let served = transport::serve(
        state,
        clock,
        query_schema,
        listener,
        addresses,
        controls,
        transport::Integrations {
            recorder,
            fronts: fronts.start,
        },
    )
    .await;
    served.map_err(|e| Failure::running(format!("cannot listen for other mixers: {e}")))
}
