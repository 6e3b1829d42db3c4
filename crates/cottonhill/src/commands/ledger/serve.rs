//! `cottonhill ledger serve`: runs the settlement until a signal ends it.

use super::context::LedgerContext;
use crate::error::{CommandError, CommandResult, RuntimeError};
use crate::files::InputFiles;
use crate::log_targets::COMMANDS;
use crate::logging::Logging;
use crate::schema::SCHEMA;
use cottonhill_ini::Settings;
use cottonhill_ledger::settings::LedgerSettings;
use cottonhill_ledger::settlement::{self, Control};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;

const WORKER_THREADS: usize = 2;

/// Runs the settlement.
///
/// # Errors
/// The settings are invalid, or the store can't be opened, read or written.
pub fn run(files: &InputFiles, context: LedgerContext) -> CommandResult {
    let settings = files.read_settings()?;
    let logging = Logging::start(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(RuntimeError::StartSettlement)?;
    let reload = ReloadContext {
        files: files.clone(),
        settings,
        logging,
    };
    runtime.block_on(serve(context, reload))
}

async fn serve(context: LedgerContext, reload: ReloadContext) -> CommandResult {
    let (sender, controls) = mpsc::channel(1);
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let signals = signal(kind).map_err(RuntimeError::StartSettlement)?;
        tokio::spawn(forward_shutdown(signals, sender.clone()));
    }
    let hangups = signal(SignalKind::hangup()).map_err(RuntimeError::StartSettlement)?;
    tokio::spawn(forward_reloads(hangups, reload, sender));
    tracing::info!(
        target: COMMANDS,
        store = %context.store_path.display(),
        members = context.settings.members.len(),
        "settlement starting"
    );
    settlement::serve(context.store_path, context.settings, controls).await?;
    Ok(())
}

async fn forward_shutdown(mut signals: Signal, controls: mpsc::Sender<Control>) {
    if signals.recv().await.is_some() {
        // Sending fails if the settlement has ended; the signal then has no effect.
        let _ = controls.send(Control::Terminate).await;
    }
}

async fn forward_reloads(
    mut hangups: Signal,
    reload: ReloadContext,
    controls: mpsc::Sender<Control>,
) {
    while hangups.recv().await.is_some() {
        match reload.read() {
            Ok((settings, ledger)) => {
                let restart = reload
                    .settings
                    .changes_requiring_restart(&settings, &SCHEMA)
                    .join(", ");
                tracing::info!(target: COMMANDS, needs_restart = restart, "settings reloaded");
                let _ = controls.send(Control::Reload(Box::new(ledger))).await;
            }
            Err(error) => {
                tracing::error!(target: COMMANDS, "settings reload failed, previous settings stay in force: {error}");
            }
        }
    }
}

/// State of a reload: the files to read, the settings to compare with and the logger.
struct ReloadContext {
    files: InputFiles,
    /// The settings at the start.
    settings: Settings,
    logging: Logging,
}

impl ReloadContext {
    /// Reads the settings again and applies the log levels. Applies nothing if a setting is invalid.
    fn read(&self) -> Result<(Settings, LedgerSettings), CommandError> {
        let settings = self.files.read_settings()?;
        let ledger = LedgerSettings::read(&settings, &SCHEMA)?;
        self.logging.reload(&settings)?;
        Ok((settings, ledger))
    }
}
