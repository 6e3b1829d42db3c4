//! The settings of the lab: an optional INI file, checked against a schema.

use crate::hollow::HOLLOW;
use crate::scale::settings::SCALE;
use crate::{logs, Failure};
use cottonhill_ini::{Schema, Settings};
use std::path::Path;

/// The sections and keys of a settings file.
pub const SCHEMA: Schema = Schema(&[logs::SECTION, SCALE, HOLLOW]);

/// Reads the settings file at `path`, or returns the defaults without a path.
///
/// # Errors
/// The file cannot be read or is invalid; the message names each invalid line with the nearest valid key.
pub fn read(path: Option<&Path>) -> Result<Settings, Failure> {
    let Some(path) = path else {
        return Ok(Settings::defaults());
    };
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::Settings(format!("cannot read the settings file {shown}: {e}")))?;
    Settings::parse(&SCHEMA, &shown, &text).map_err(Failure::settings)
}
