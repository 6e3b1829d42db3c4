//! The configuration: one JSON file, with the settings flattened to the text of the simulator's wire so that
//! one parser serves both.

use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::protocol::query_json::QuerySchema;
use crate::settings::{self, MixerSettings};
use crate::transport::Addresses;
use cottonhill_decisions::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    /// A number; anything else states no limit.
    #[serde(default)]
    memory_mb: Value,
}

impl Limits {
    /// Bytes of memory that may be used, where that is stated.
    fn memory(&self) -> Option<usize> {
        let bytes = self.memory_mb.as_f64()? * MEGABYTE;
        (bytes >= 1.0).then_some(bytes as usize)
    }
}

/// Descriptors that may be open where the configuration does not say.
const SOCKETS: usize = 1024;
const MEGABYTE: f64 = 1e6;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Option<Limits>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: EndpointUpdate,
    settings: Value,
}

/// All that a start needs.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub mixer_settings: MixerSettings,
    pub settings: Settings,
    pub seed: u64,
    /// File descriptors that may be open.
    pub max_descriptors: usize,
    /// Bytes of memory that the process may use, where that is stated.
    pub memory_limit: Option<usize>,
    /// The list of leaf servers that was in force before the start; it may be old.
    pub cached_endpoints: EndpointUpdate,
    pub addresses: Addresses,
    pub query_schema: QuerySchema,
}

impl Config {
    /// Reads the platform's configuration.
    ///
    /// # Errors
    /// It is no JSON of that form, or a setting or the seed can't be used; says which.
    pub fn parse(text: &str) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let text = flatten(&file.settings)?;
        let (settings, mixer_settings) = (
            settings::parse_decisions(&text)?,
            settings::parse_mixer(&text)?,
        );
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| format!("bad seed '{}'", file.seed))?;
        let query_schema = QuerySchema {
            classes: mixer_settings.classes.clone(),
            tenants: mixer_settings.tenants.clone(),
            default_timeouts: mixer_settings.deadlines.clone(),
            minimum_coverages: mixer_settings.minimum_coverages.clone(),
            shards: mixer_settings.shards,
        };
        let addresses = Addresses {
            discovery: file.discovery,
            peer_listen: file
                .peer_listen
                .filter(|_| mixer_settings.peer_messages_enabled),
            peers: file.peers,
            peers_all: file.peers_all,
        };
        let max_descriptors = file
            .limits
            .as_ref()
            .map_or(SOCKETS, |limits| limits.sockets.min(SOCKETS));
        let memory_limit = file.limits.as_ref().and_then(Limits::memory);
        let File {
            name,
            listen,
            known: cached_endpoints,
            ..
        } = file;
        Ok(Config {
            name,
            listen,
            mixer_settings,
            settings,
            seed,
            max_descriptors,
            memory_limit,
            cached_endpoints,
            addresses,
            query_schema,
        })
    }
}

impl Config {
    /// What `next` states otherwise and only a start takes up.
    pub fn needs_restart(&self, next: &Config) -> Vec<&'static str> {
        let changed = [
            ("name", self.name != next.name),
            ("listen", self.listen != next.listen),
            (
                "limits",
                (self.max_descriptors, self.memory_limit)
                    != (next.max_descriptors, next.memory_limit),
            ),
            (
                "peer_listen",
                self.addresses.peer_listen != next.addresses.peer_listen,
            ),
            (
                "settings",
                self.mixer_settings != next.mixer_settings || self.settings != next.settings,
            ),
        ];
        changed
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(what, _)| what)
            .collect()
    }
}

/// Nested JSON as lines of `path=value`.
pub fn flatten(settings: &Value) -> Result<String, String> {
    if !settings.is_object() {
        return Err("settings are no object".into());
    }
    let mut out = String::new();
    put(&mut out, "", settings);
    Ok(out)
}

fn put(out: &mut String, path: &str, value: &Value) {
    let under = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| put(out, &under(name), value)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            put(out, &under("count"), &items.len().into());
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| put(out, &under(&i.to_string()), item));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            let _ = writeln!(out, "{path}={}", items.join(","));
        }
        _ => {
            let _ = writeln!(out, "{path}={}", plain(value));
        }
    }
}

/// A value in one word: blanks and commas would split it, a line's end would forge a setting.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}
