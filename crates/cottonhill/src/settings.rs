//! Our own settings: one INI file for the mixer's log, its usage log and the ledger.

use crate::logs;
use crate::output::Failure;
use crate::Files;
use cottonhill_ini::{Schema, Settings};
use cottonhill_ledger::settings as ledger;
use cottonhill_opensearch::index;

pub const SCHEMA: Schema = Schema(&[
    logs::SECTION,
    ledger::USAGE,
    ledger::SETTLEMENT,
    ledger::PERIODS,
    ledger::MEMBER,
    ledger::PRICE,
    ledger::TENANT,
    ledger::EXPORT,
    index::FRONT,
    index::INDEX,
    index::NETWORK,
]);

/// Reads the settings that the command line or the environment names; the defaults where neither does.
pub fn read(files: &Files) -> Result<Settings, Failure> {
    let Some(path) = &files.settings else {
        return Ok(Settings::defaults());
    };
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Failure::configuration(format!("cannot read the settings {shown}: {e}")))?;
    Settings::read(&SCHEMA, &shown, &text).map_err(Failure::configuration)
}
