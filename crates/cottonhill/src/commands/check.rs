//! `cottonhill check`: prints each value of the configuration and the settings, and where it comes from.

use crate::error::{CommandError, CommandResult};
use crate::files::{self, InputFiles};
use crate::output;
use crate::schema::SCHEMA;
use comfy_table::Table;
use cottonhill_ini::{Origin, Settings};
use cottonhill_ledger::settings::{LedgerSettings, UsageLogSettings};
use cottonhill_mixer::config::Config;
use cottonhill_opensearch::index::FrontSettings;
use std::path::Path;

/// When a changed value takes effect.
#[derive(Clone, Copy)]
enum TakesEffect {
    OnReload,
    AtStart,
}

impl TakesEffect {
    fn text(self) -> &'static str {
        match self {
            TakesEffect::OnReload => "on SIGHUP",
            TakesEffect::AtStart => "at a start",
        }
    }
}

/// Validates both files and prints their values.
///
/// # Errors
/// A file can't be read or is invalid.
pub fn run(files: &InputFiles) -> CommandResult {
    let settings = files.read_settings()?;
    validate(&settings)?;
    let mut table = output::text_table(["SETTING", "VALUE", "FROM", "CHANGES"]);
    match &files.config {
        Some(path) => add_configuration(&mut table, path)?,
        None => add_row(
            &mut table,
            "(configuration)",
            "(none)",
            "neither --config nor BALANCER_CONFIG",
            TakesEffect::AtStart,
        ),
    }
    add_settings(&mut table, files.settings.as_deref(), &settings);
    output::print(format!("{table}\n").as_bytes())
}

/// Finds errors in the settings that the schema can't detect.
fn validate(settings: &Settings) -> Result<(), CommandError> {
    UsageLogSettings::read(settings, &SCHEMA)?;
    LedgerSettings::read(settings, &SCHEMA)?;
    FrontSettings::read(settings, &SCHEMA)?;
    Ok(())
}

fn add_row(table: &mut Table, name: &str, value: &str, origin: &str, takes_effect: TakesEffect) {
    table.add_row([name, value, origin, takes_effect.text()]);
}

fn add_configuration(table: &mut Table, path: &Path) -> CommandResult {
    let config = files::read_configuration(path)?;
    let origin = path.display().to_string();
    for (name, value, takes_effect) in configuration_values(&config) {
        add_row(table, name, &value, &origin, takes_effect);
    }
    Ok(())
}

/// The values of the configuration under their names in the file, and when a change takes effect.
fn configuration_values(config: &Config) -> [(&'static str, String, TakesEffect); 11] {
    use TakesEffect::{AtStart, OnReload};
    let (addresses, mixer) = (&config.addresses, &config.mixer_settings);
    let cached_endpoints = config.cached_endpoints.entries.len();
    [
        ("name", config.name.clone(), AtStart),
        ("listen", config.listen.to_string(), AtStart),
        ("discovery", addresses.discovery.to_string(), OnReload),
        ("peers", addresses.peers.len().to_string(), OnReload),
        (
            "limits.sockets",
            config.max_descriptors.to_string(),
            AtStart,
        ),
        ("known", format!("{cached_endpoints} endpoints"), AtStart),
        ("settings.classes", mixer.classes.join(" "), AtStart),
        ("settings.orgs", mixer.tenants.join(" "), AtStart),
        ("settings.localities", mixer.zones.join(" "), AtStart),
        ("settings.extra.ranges", mixer.shards.to_string(), AtStart),
        (
            "settings.limits.open_cap",
            mixer.max_open_requests.to_string(),
            AtStart,
        ),
    ]
}

fn add_settings(table: &mut Table, path: Option<&Path>, settings: &Settings) {
    let file = path
        .map(|path| path.display().to_string())
        .unwrap_or_default();
    for setting in settings.effective_values(&SCHEMA) {
        let origin = match setting.origin {
            Origin::Line(line) => format!("{file}:{line}"),
            Origin::Default => "default".into(),
        };
        let takes_effect = if setting.reloadable {
            TakesEffect::OnReload
        } else {
            TakesEffect::AtStart
        };
        let name = format!("[{}] {}", setting.section, setting.key);
        add_row(table, &name, &setting.value, &origin, takes_effect);
    }
}
