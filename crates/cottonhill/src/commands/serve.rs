//! `cottonhill serve`: runs one mixer until a signal ends it.

use crate::error::{CommandResult, ConfigurationError, RuntimeError};
use crate::files::{self, InputFiles};
use crate::logging::Logging;
use crate::mixer::{self, MixerContext};
use crate::schema::SCHEMA;
use cottonhill_ledger::settings::UsageLogSettings;
use tokio::task::LocalSet;

/// Runs the mixer.
///
/// # Errors
/// A file is invalid, or a socket or the usage log can't be opened.
pub fn run(files: &InputFiles) -> CommandResult {
    let path = files.config.as_ref();
    let path = path.ok_or(ConfigurationError::NoConfiguration)?;
    let config = files::read_configuration(path)?;
    let settings = files.read_settings()?;
    let usage_log = UsageLogSettings::read(&settings, &SCHEMA)?;
    let logging = Logging::start(&settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RuntimeError::StartMixerRuntime)?;
    let context = MixerContext {
        files: files.clone(),
        config,
        settings,
        logging,
        tls: None,
    };
    LocalSet::new().block_on(&runtime, mixer::serve(context, usage_log))
}
