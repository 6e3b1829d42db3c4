//! Configuration of one mixer: the platform's JSON file and the settings that it contains.

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

/// Maximum number of file descriptors that a mixer uses; also the default if the configuration sets no limit.
const MAX_DESCRIPTORS: usize = 1024;
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The configuration file contains the seed in hexadecimal.
const SEED_RADIX: u32 = 16;

/// Top level of the configuration file. Serde's error messages contain the names of this struct and of `Limits`, and
/// their numbers of fields.
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
    /// A value that is not a number means no limit.
    #[serde(default, rename = "memory_mb")]
    memory_megabytes: Value,
}

impl Limits {
    /// Memory limit of the process in bytes; `None` if there is none.
    fn memory_limit(&self) -> Option<usize> {
        let bytes = self.memory_megabytes.as_f64()? * BYTES_PER_MEGABYTE;
        (bytes >= 1.0).then_some(bytes as usize)
    }
}

/// Configuration of one mixer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The mixer's name.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Settings of the sockets and protocols.
    pub mixer_settings: MixerSettings,
    /// Settings of the coordinator.
    pub settings: Settings,
    /// Seed of the mixer's random number generator; different for each mixer.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Memory limit of the process in bytes; `None` if there is none.
    pub memory_limit: Option<usize>,
    /// Endpoint list from before the start, which may be stale.
    pub cached_endpoints: EndpointUpdate,
    /// Addresses of discovery and of the other mixers.
    pub addresses: Addresses,
    /// Names of classes and tenants, and limits, for validating queries.
    pub query_schema: QuerySchema,
}

impl Config {
    /// Parses the platform's configuration file.
    ///
    /// # Errors
    /// The file is not valid JSON of the expected structure, or a setting or the seed is invalid.
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
            query_schema: query_schema(&mixer_settings, &settings),
            name: file.name,
            listen: file.listen,
            mixer_settings,
            settings,
            cached_endpoints: file.cached_endpoints,
        })
    }

    /// Wire names of the fields that differ in `next` and take effect only after a restart.
    pub fn changes_requiring_restart(&self, next: &Config) -> Vec<&'static str> {
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

fn query_schema(mixer_settings: &MixerSettings, settings: &Settings) -> QuerySchema {
    let idempotencies = settings.classes.iter().map(|class| class.idempotency);
    QuerySchema {
        classes: mixer_settings.classes.clone(),
        tenants: mixer_settings.tenants.clone(),
        default_timeouts: mixer_settings.deadlines.clone(),
        idempotencies: idempotencies.collect(),
        minimum_coverages: mixer_settings.minimum_coverages.clone(),
        shards: mixer_settings.shards,
    }
}
