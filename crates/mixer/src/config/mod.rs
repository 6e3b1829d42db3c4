//! The configuration of one mixer: the platform's JSON file, and the settings in it.

mod error;
mod flatten;
pub mod settings;

pub use error::{ConfigError, SettingsError};
pub use flatten::flatten;

use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::protocol::query_json::QuerySchema;
use crate::transport::Addresses;
use cottonhill_decisions::Settings;
use serde::Deserialize;
use serde_json::Value;
use settings::MixerSettings;
use std::net::SocketAddr;

/// The most file descriptors that a mixer uses, and what it uses where the configuration states no limit.
const MAX_DESCRIPTORS: usize = 1024;
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The seed is written in hexadecimal.
const SEED_RADIX: u32 = 16;

/// The file as written. Error texts contain the names of this struct and the next, and their numbers of fields.
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
    #[serde(default, rename = "known")]
    cached_endpoints: EndpointUpdate,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
    /// No limit unless it is a number.
    #[serde(default, rename = "memory_mb")]
    memory_megabytes: Value,
}

impl Limits {
    /// Bytes of memory that the process may use, if that is limited.
    fn memory_limit(&self) -> Option<usize> {
        let bytes = self.memory_megabytes.as_f64()? * BYTES_PER_MEGABYTE;
        (bytes >= 1.0).then_some(bytes as usize)
    }
}

/// The configuration of one mixer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The mixer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The settings of the sockets and protocols.
    pub mixer_settings: MixerSettings,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Seed of the mixer's random numbers; differs from mixer to mixer.
    pub seed: u64,
    /// File descriptors that may be open.
    pub max_descriptors: usize,
    /// Bytes of memory that the process may use, if that is limited.
    pub memory_limit: Option<usize>,
    /// The endpoint list that was current before the start; it may be stale.
    pub cached_endpoints: EndpointUpdate,
    /// The services that the mixer uses.
    pub addresses: Addresses,
    /// The names and bounds of the queries that it serves.
    pub query_schema: QuerySchema,
}

impl Config {
    /// Parses the platform's configuration file.
    ///
    /// # Errors
    /// The file is not JSON of the expected form, or a setting or the seed can't be used.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let settings_text = flatten(&file.settings)?;
        let settings = settings::parse_decisions(&settings_text)?;
        let mixer_settings = settings::parse_mixer(&settings_text)?;
        let seed = parse_seed(&file.seed)?;
        let limits = file.limits.as_ref();
        Ok(Config {
            seed,
            max_descriptors: limits.map_or(MAX_DESCRIPTORS, |limits| {
                limits.max_descriptors.min(MAX_DESCRIPTORS)
            }),
            memory_limit: limits.and_then(Limits::memory_limit),
            addresses: Addresses {
                discovery: file.discovery,
                peer_listen: file
                    .peer_listen
                    .filter(|_| mixer_settings.peer_messages_enabled),
                peers: file.peers,
                peers_all: file.peers_all,
            },
            query_schema: query_schema(&mixer_settings),
            name: file.name,
            listen: file.listen,
            mixer_settings,
            settings,
            cached_endpoints: file.cached_endpoints,
        })
    }

    /// The wire names of what `next` changes and only a restart applies.
    pub fn needs_restart(&self, next: &Config) -> Vec<&'static str> {
        let limits_changed =
            self.max_descriptors != next.max_descriptors || self.memory_limit != next.memory_limit;
        let peer_listen_changed = self.addresses.peer_listen != next.addresses.peer_listen;
        let changes = [
            ("name", self.name != next.name),
            ("listen", self.listen != next.listen),
            ("limits", limits_changed),
            ("peer_listen", peer_listen_changed),
            (
                "settings",
                self.mixer_settings != next.mixer_settings || self.settings != next.settings,
            ),
        ];
        changes
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(name, _)| name)
            .collect()
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, SEED_RADIX).map_err(|_| ConfigError::InvalidSeed(text.to_string()))
}

fn query_schema(settings: &MixerSettings) -> QuerySchema {
    QuerySchema {
        classes: settings.classes.clone(),
        tenants: settings.tenants.clone(),
        default_timeouts: settings.deadlines.clone(),
        minimum_coverages: settings.minimum_coverages.clone(),
        shards: settings.shards,
    }
}
