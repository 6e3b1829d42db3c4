//! Structured logs on standard error: text or JSON, by level and by target.
//!
//! Fields have one name everywhere: `client`, `link`, `id` (a query), `replica`, `class` and `tenant` by number,
//! `address`, `segment`, `member`, `period`, `error`; a duration ends in its unit (`_ms`).

use crate::error::{CommandError, RuntimeError};
use crate::schema::{LOG, SCHEMA};
use cottonhill_ini::{Settings, SettingsErrors};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::Handle;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{reload, Layer, Registry};

/// Overrides the level of the settings.
const LEVEL_VARIABLE: &str = "COTTONHILL_LOG";
const DEFAULT_LEVEL: &str = "info";

/// The running logger: its filter can be changed later.
pub struct Logging {
    filter: Handle<Targets, Registry>,
}

impl Logging {
    /// Starts logging; once in a process.
    ///
    /// # Errors
    /// Settings whose targets can't be parsed, or a logger that runs already.
    pub fn start(settings: &Settings) -> Result<Logging, CommandError> {
        let (filter, handle) = reload::Layer::new(parse_filter(settings)?);
        let lines = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_writer(std::io::stderr);
        let layer = if is_json(settings) {
            lines.json().flatten_event(true).boxed()
        } else {
            lines.boxed()
        };
        tracing_subscriber::registry()
            .with(layer.with_filter(filter))
            .try_init()
            .map_err(RuntimeError::StartLogging)?;
        Ok(Logging { filter: handle })
    }

    /// Puts changed levels in force.
    ///
    /// # Errors
    /// Settings whose targets can't be parsed; the levels then stay as they were.
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

/// The filter that the settings and the environment ask for.
fn parse_filter(settings: &Settings) -> Result<Targets, SettingsErrors> {
    let values = settings.section(&SCHEMA, LOG.name, "");
    let environment = std::env::var(LEVEL_VARIABLE).ok();
    let level = environment
        .as_deref()
        .filter(|level| !level.is_empty())
        .or(values.text("level"))
        .unwrap_or(DEFAULT_LEVEL);
    // An empty directive would stand for everything.
    let directives = match values.text("targets") {
        Some(targets) => format!("{level},{targets}"),
        None => level.to_string(),
    };
    directives.parse().map_err(|error| {
        let reason = format!("'{directives}' does not do: {error}");
        settings.value_error(LOG.name, "", "targets", &reason)
    })
}
