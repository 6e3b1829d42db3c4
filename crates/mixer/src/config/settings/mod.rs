//! The settings as `key=value` lines, parsed into the decisions' [`Settings`] and the [`MixerSettings`].
//!
//! The simulator sends this text; the JSON of a mixer's configuration is flattened to it first. Unknown keys are
//! ignored. A key that is required and missing, malformed or out of range is named in the error.
//!
//! [`Settings`]: cottonhill_decisions::Settings

mod decision_settings;
mod key_values;
mod mixer_settings;
mod wire_names;

pub use decision_settings::parse_decisions;
pub use mixer_settings::{parse_mixer, MixerSettings};
