//! The lab's settings: one INI file, checked against a schema; the defaults hold without it.

use crate::hollow::HOLLOW;
use crate::scale::settings::SCALE;
use crate::{logs, Failure};
use cottonhill_ini::{Schema, Settings};
use std::path::Path;

/// All that a settings file of the lab may hold.
pub const SCHEMA: Schema = Schema(&[logs::SECTION, SCALE, HOLLOW]);

/// Reads the settings in `path`; the defaults without one.
///
/// # Errors
/// A file that cannot be read, or all that is wrong with it, each with its line and the nearest valid key.
pub fn read(path: Option<&Path>) -> Result<Settings, Failure> {
    let Some(path) = path else {
        return Ok(Settings::defaults());
    };
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::Settings(format!("cannot read the settings {shown}: {e}")))?;
    Settings::parse(&SCHEMA, &shown, &text).map_err(Failure::settings)
}
