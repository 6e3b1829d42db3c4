//! Structured logs on standard error, as text or JSON.

use crate::settings::SCHEMA;
use crate::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The section of the settings that says what is logged.
pub const SECTION: Section = Section {
    name: "log",
    named: false,
    keys: &[
        Key {
            name: "level",
            kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            default: Some("info"),
            reloadable: false,
            doc: "The least level that is logged.",
        },
        Key {
            name: "format",
            kind: Kind::Choice(&["text", "json"]),
            default: Some("text"),
            reloadable: false,
            doc: "One line of text, or one JSON object, for each event.",
        },
    ],
};

/// Starts logging; once in a process.
///
/// # Errors
/// A logger that runs already.
pub fn start(settings: &Settings) -> Result<(), Failure> {
    let values = settings.section(&SCHEMA, SECTION.name, "");
    let level = values.text("level").unwrap_or("info");
    let filter: Targets = level.parse().map_err(Failure::settings)?;
    let plain = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(std::io::stderr);
    let json = values.text("format") == Some("json");
    let layer = if json {
        plain.json().flatten_event(true).boxed()
    } else {
        plain.boxed()
    };
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .try_init()
        .map_err(Failure::running)
}
