//! Structured logs on standard error: text or JSON, by level and by target. A thread writes the lines, since a write
//! blocks while they are not read; lines that do not fit into its queue are dropped.
//!
//! A field has the same name in all crates: `client`, `link`, `id` (a query), `replica`, `class` and `tenant` by number,
//! `address`, `segment`, `member`, `period`, `error`; the name of a duration ends in its unit (`_ms`).

use crate::error::{CommandError, RuntimeError};
use crate::schema::{LOG, SCHEMA};
use cottonhill_ini::{Settings, SettingsErrors};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::Handle;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{reload, Layer, Registry};

/// Environment variable that overrides the level of the settings.
const LEVEL_VARIABLE: &str = "COTTONHILL_LOG";
const DEFAULT_LEVEL: &str = "info";
/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;

/// The running logger, whose filter a reload can change.
pub struct Logging {
    filter: Handle<Targets, Registry>,
    /// Writes the queued lines when it is dropped, for a limited time.
    _writer: WorkerGuard,
}

impl Logging {
    /// Starts logging. A process can do so once.
    ///
    /// # Errors
    /// The level or the targets can't be parsed, or a logger is already installed.
    pub fn start(settings: &Settings) -> Result<Logging, CommandError> {
        let (filter, handle) = reload::Layer::new(parse_filter(settings)?);
        let (lines_queue, writer) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .lossy(true)
            .finish(std::io::stderr());
        let lines = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_writer(lines_queue);
        let layer = if is_json(settings) {
            lines.json().flatten_event(true).boxed()
        } else {
            lines.boxed()
        };
        tracing_subscriber::registry()
            .with(layer.with_filter(filter))
            .try_init()
            .map_err(RuntimeError::StartLogging)?;
        Ok(Logging {
            filter: handle,
            _writer: writer,
        })
    }

    /// Applies the levels of changed settings.
    ///
    /// # Errors
    /// The level or the targets can't be parsed; the levels are then unchanged.
    pub fn reload(&self, settings: &Settings) -> Result<(), CommandError> {
        let filter = parse_filter(settings)?;
        self.filter
            .reload(filter)
            .map_err(RuntimeError::ReloadLogging)?;
        Ok(())
    }
}

fn is_json(settings: &Settings) -> bool {
    settings.section(&SCHEMA, LOG.name, "").text("format") == Some("json")
}

/// The filter that the settings and the environment define.
fn parse_filter(settings: &Settings) -> Result<Targets, SettingsErrors> {
    let values = settings.section(&SCHEMA, LOG.name, "");
    let environment = std::env::var(LEVEL_VARIABLE).ok();
    let level = environment
        .as_deref()
        .filter(|level| !level.is_empty())
        .or(values.text("level"))
        .unwrap_or(DEFAULT_LEVEL);
    // An empty directive would enable all levels of all targets.
    let directives = match values.text("targets") {
        Some(targets) => format!("{level},{targets}"),
        None => level.to_string(),
    };
    directives.parse().map_err(|error| {
        let reason = format!("'{directives}' (from {LEVEL_VARIABLE} or 'level', and 'targets') is not a valid filter: {error}");
        settings.value_error(LOG.name, "", "targets", &reason)
    })
}
