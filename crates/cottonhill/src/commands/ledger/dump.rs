//! `cottonhill ledger dump`: prints the records of the store or of one mixer's usage log.

use super::context::LedgerContext;
use crate::error::{CommandResult, RuntimeError};
use crate::output::{Format, ResultTable};
use cottonhill_ledger::log::{Follower, Position};
use cottonhill_ledger::period::format_timestamp;
use cottonhill_ledger::wire::entry::What;
use cottonhill_ledger::wire::{Batch, Header, Record};
use serde_json::{json, Value};
use std::path::Path;

const COLUMNS: [&str; 14] = [
    "arrived",
    "mixer",
    "incarnation",
    "sequence",
    "tenant",
    "class",
    "outcome",
    "share",
    "parts",
    "attempts",
    "crossed",
    "repeat",
    "keyed",
    "key",
];
/// Number of log entries read at a time.
const BATCH_ENTRIES: usize = 4096;

/// One record of the store or of a usage log. Names that can't be resolved are `None`.
struct RecordRow {
    /// Unix milliseconds.
    arrived: i64,
    mixer: Option<String>,
    incarnation: u64,
    sequence: u64,
    tenant: Option<String>,
    class: Option<String>,
    outcome: String,
    /// Coverage of a partial answer in millionths.
    coverage: u32,
    parts: u32,
    attempts: u32,
    cross_zone_attempts: u32,
    client_retry: bool,
    key_from_client: bool,
    key: u64,
}

impl RecordRow {
    /// The values in the order of [`COLUMNS`].
    fn into_values(self) -> Vec<Value> {
        vec![
            json!(format_timestamp(self.arrived)),
            json!(self.mixer),
            json!(self.incarnation),
            json!(self.sequence),
            json!(self.tenant),
            json!(self.class),
            json!(self.outcome),
            json!(self.coverage),
            json!(self.parts),
            json!(self.attempts),
            json!(self.cross_zone_attempts),
            json!(self.client_retry),
            json!(self.key_from_client),
            json!(format!("{:016x}", self.key)),
        ]
    }
}

/// Prints all records of the store.
///
/// # Errors
/// The store can't be read.
pub fn print_store(context: &LedgerContext, format: Format) -> CommandResult {
    let store = context.open_existing_store()?;
    let names = store.names()?;
    let name = |id: u32| names.get(&id).cloned();
    let mut table = ResultTable::new(&COLUMNS);
    for record in store.client_attempts(i64::MIN, i64::MAX)? {
        let row = RecordRow {
            arrived: record.arrived_ms,
            mixer: name(record.member),
            incarnation: record.incarnation,
            sequence: record.sequence,
            tenant: name(record.tenant),
            class: name(record.class),
            outcome: record.outcome.name().to_string(),
            coverage: record.outcome.coverage_millionths(),
            parts: record.parts,
            attempts: record.part_attempts,
            cross_zone_attempts: record.cross_zone_attempts,
            client_retry: record.client_retry,
            key_from_client: record.key_from_client,
            key: record.key,
        };
        table.push(row.into_values());
    }
    table.print(format)
}

/// Prints all records of a usage log, and its damaged ranges on standard error.
///
/// # Errors
/// The log can't be read.
pub fn print_log(directory: &Path, format: Format) -> CommandResult {
    let read_error = |source| RuntimeError::ReadFile {
        path: directory.to_path_buf(),
        source,
    };
    let mut follower = Follower::new(directory, Position::default());
    let mut table = ResultTable::new(&COLUMNS);
    while let Some(batch) = follower.next_batch(BATCH_ENTRIES).map_err(read_error)? {
        report_damage(&batch);
        let header = batch.header.unwrap_or_default();
        for entry in batch.entries {
            if let Some(What::Record(record)) = entry.what {
                table.push(log_row(&header, &record).into_values());
            }
        }
    }
    table.print(format)
}

fn report_damage(batch: &Batch) {
    for damage in &batch.damage {
        eprintln!(
            "cottonhill: {}: damaged from offset {} to {}",
            damage.segment, damage.from, damage.to
        );
    }
}

fn log_row(header: &Header, record: &Record) -> RecordRow {
    let class = header.classes.get(record.class as usize);
    RecordRow {
        arrived: record.arrived_ms as i64,
        mixer: Some(header.mixer.clone()),
        incarnation: header.incarnation,
        sequence: record.sequence,
        tenant: header.tenants.get(record.tenant as usize).cloned(),
        class: class.map(|class| class.name.clone()),
        outcome: record.outcome().as_str_name().to_lowercase(),
        coverage: record.share,
        parts: record.parts,
        attempts: record.attempts,
        cross_zone_attempts: record.crossed,
        client_retry: record.repeat,
        key_from_client: record.keyed,
        key: record.key,
    }
}
