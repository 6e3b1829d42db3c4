//! Parsing of settings in the form of `key=value` lines into the coordinator's [`Settings`] and the [`MixerSettings`].
//!
//! The simulator sends the settings in this form; the JSON settings of a mixer's configuration file are flattened to
//! it. Unknown keys are ignored. The error names the key of a setting that is missing, malformed or out of range.
//!
//! [`Settings`]: cottonhill_decisions::Settings

mod decision_settings;
mod key_values;
mod mixer_settings;
mod wire_names;

pub use decision_settings::parse_decisions;
pub use mixer_settings::{parse_mixer, MixerSettings};
