//! Why a configuration can't be used. The texts go to the user, on one line.

use thiserror::Error;

/// A configuration that can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Not JSON, or not JSON of the configuration's form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("bad seed '{0}'")]
    InvalidSeed(String),
    /// The settings are not a JSON object.
    #[error("settings are no object")]
    SettingsNotAnObject,
    /// A setting can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A setting that can't be used. `key` is the setting's wire name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A line of the settings is not `key=value`.
    #[error("settings line without '=': {line}")]
    MalformedLine {
        /// The line.
        line: String,
    },
    /// A required setting is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// The setting.
        key: String,
    },
    /// A list with one item for each class is too short.
    #[error("setting {key} has no item {index}")]
    MissingItem {
        /// The list.
        key: String,
        /// The first missing item, counted from 0.
        index: usize,
    },
    /// The value is not of the setting's type, or not one of its allowed values.
    #[error("setting {key}: bad value '{value}'")]
    InvalidValue {
        /// The setting.
        key: String,
        /// Its value as written.
        value: String,
        /// What is allowed; for callers, the text does not print it.
        expected: &'static str,
    },
    /// The number is outside the setting's range.
    #[error("setting {key}: {value} is out of range")]
    OutOfRange {
        /// The setting.
        key: String,
        /// The number as parsed.
        value: String,
        /// What is allowed; for callers, the text does not print it.
        expected: &'static str,
    },
    /// The number does not fit 32 bits.
    #[error("setting {key} is out of range")]
    TooLarge {
        /// The setting.
        key: String,
        /// The number; for callers, the text does not print it.
        value: u64,
        /// The largest number that is allowed; for callers, the text does not print it.
        max: u32,
    },
    /// Queries of two phases are configured; the query protocol does not support them.
    #[error("setting {key}: a second step can't be served")]
    SecondPhaseUnsupported {
        /// The setting.
        key: &'static str,
        /// The number of parts in the second phase; for callers, the text does not print it.
        value: u32,
    },
}
