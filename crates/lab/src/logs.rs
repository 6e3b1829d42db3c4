//! Structured logs on standard error, as text or JSON.

use crate::settings::SCHEMA;
use crate::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// The section `[log]` of the settings.
pub const SECTION: Section = Section {
    name: "log",
    named: false,
    keys: &[
        Key {
            name: "level",
            kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            default: Some("info"),
            reloadable: false,
            doc: "Least severe level that is logged.",
        },
        Key {
            name: "format",
            kind: Kind::Choice(&["text", "json"]),
            default: Some("text"),
            reloadable: false,
            doc: "Format of each event: a line of text or a JSON object.",
        },
    ],
};

/// Starts logging; may be called once per process.
///
/// # Errors
/// Logging is already started, or the level is invalid.
pub fn init(settings: &Settings) -> Result<(), Failure> {
    let values = settings.section(&SCHEMA, SECTION.name, "");
    let level = values.text("level").unwrap_or("info");
    let filter: Targets = level.parse().map_err(Failure::settings)?;
    let text = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(std::io::stderr);
    let json = values.text("format") == Some("json");
    let layer = if json {
        text.json().flatten_event(true).boxed()
    } else {
        text.boxed()
    };
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .try_init()
        .map_err(Failure::running)
}
