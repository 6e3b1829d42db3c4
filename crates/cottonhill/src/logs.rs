//! Structured logs on standard error: text or JSON, by level and by target.
//!
//! Fields have one name everywhere: `client`, `link`, `id` (a query), `replica`, `class` and `tenant` by number,
//! `address`, `segment`, `member`, `period`, `error`; a duration ends in its unit (`_ms`).

use crate::output::Failure;
use cottonhill_ini::{Key, Kind, Section, Settings};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::Handle;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{reload, Layer, Registry};

pub const SECTION: Section = Section {
    name: "log",
    named: false,
    keys: &[
        Key {
            name: "level",
            kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            default: Some("info"),
            live: true,
            doc: "The least level that is logged. COTTONHILL_LOG in the environment goes before it.",
        },
        Key {
            name: "targets",
            kind: Kind::Text,
            default: Some(""),
            live: true,
            doc: "Levels of single targets, as in cottonhill_mixer::reducer=debug,cottonhill_ledger=warn.",
        },
        Key {
            name: "format",
            kind: Kind::Choice(&["text", "json"]),
            default: Some("text"),
            live: false,
            doc: "One line of text, or one JSON object, for each event.",
        },
    ],
};

/// What is logged, and a way to change it later.
pub struct Logs(Handle<Targets, Registry>);

fn targets(settings: &Settings) -> Result<Targets, Failure> {
    let values = settings.of(&crate::settings::SCHEMA, SECTION.name, "");
    let environment = std::env::var("COTTONHILL_LOG").ok();
    let level = environment
        .as_deref()
        .filter(|text| !text.is_empty())
        .or(values.text("level"));
    let level = level.unwrap_or("info").to_string();
    // An empty directive would stand for everything.
    let all = values
        .text("targets")
        .map_or(level.clone(), |targets| format!("{level},{targets}"));
    all.parse().map_err(|e| {
        let why = format!("'{all}' does not do: {e}");
        Failure::configuration(settings.problem(SECTION.name, "", "targets", &why))
    })
}

impl Logs {
    /// Starts logging; once in a process.
    pub fn start(settings: &Settings) -> Result<Logs, Failure> {
        let (filter, handle) = reload::Layer::new(targets(settings)?);
        let json = settings
            .of(&crate::settings::SCHEMA, SECTION.name, "")
            .text("format")
            == Some("json");
        let plain = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_writer(std::io::stderr);
        let layer = if json {
            plain.json().flatten_event(true).boxed()
        } else {
            plain.boxed()
        };
        let started = tracing_subscriber::registry()
            .with(layer.with_filter(filter))
            .try_init();
        started.map_err(Failure::running)?;
        Ok(Logs(handle))
    }

    /// Takes up changed levels.
    pub fn reload(&self, settings: &Settings) -> Result<(), Failure> {
        self.0.reload(targets(settings)?).map_err(Failure::running)
    }
}
