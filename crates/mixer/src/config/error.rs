//! Errors in the configuration. Each message is shown to the user on one line.

use thiserror::Error;

/// An invalid configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON, or its structure is not that of a configuration.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("seed '{0}' is not a hexadecimal number of up to 64 bits")]
    InvalidSeed(String),
    /// The settings are not a JSON object.
    #[error("settings are not a JSON object")]
    SettingsNotAnObject,
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// An invalid setting. `key` is its wire name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A line of the settings is not `key=value`.
    #[error("settings line without '=': {line}")]
    MalformedLine {
        /// The complete line.
        line: String,
    },
    /// A required setting is missing.
    #[error("setting {key} is missing")]
    Missing {
        /// Wire name of the setting.
        key: String,
    },
    /// A list with one item per class is too short.
    #[error("setting {key} has no item {index}, counted from 0: one item per class is required")]
    MissingItem {
        /// Wire name of the list.
        key: String,
        /// Index of the missing item, counted from 0.
        index: usize,
    },
    /// The value does not have the setting's type, or is not one of the allowed values.
    #[error("setting {key}: invalid value '{value}', expected {expected}")]
    InvalidValue {
        /// Wire name of the setting.
        key: String,
        /// The value as configured.
        value: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// The number is outside the setting's range.
    #[error("setting {key}: {value} is out of range, expected {expected}")]
    OutOfRange {
        /// Wire name of the setting.
        key: String,
        /// The parsed number.
        value: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// The number does not fit in 32 bits.
    #[error("setting {key}: {value} is out of range, the maximum is {max}")]
    TooLarge {
        /// Wire name of the setting.
        key: String,
        /// The number.
        value: u64,
        /// Largest allowed number.
        max: u32,
    },
    /// Queries with two phases are configured; the query protocol does not support them.
    #[error("setting {key}: {value} is not supported, expected 0 (no second query phase)")]
    SecondPhaseUnsupported {
        /// Wire name of the setting.
        key: &'static str,
        /// Number of parts in the second phase.
        value: u32,
    },
}
