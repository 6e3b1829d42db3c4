//! `cottonhill ledger reconcile`: compares the ledger with the records of clients and the counters of mixers.

use super::context::LedgerContext;
use crate::error::{CommandError, CommandResult, RuntimeError, UsageError};
use crate::output::{self, Format, FormatOption, ResultTable};
use cottonhill_ledger::reconcile::{self, ClientUse, Reconciliation};
use cottonhill_ledger::store::{MemberStatus, Store};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const TOTAL_COLUMNS: [&str; 8] = [
    "period",
    "tenant",
    "class",
    "ledger",
    "client",
    "ledger_answered",
    "client_answered",
    "equal",
];
const DIFFERENCE_COLUMNS: [&str; 7] = ["what", "tenant", "class", "at", "key", "ledger", "client"];
/// Range of all timestamps, in Unix milliseconds.
const ALL_TIME: (i64, i64) = (i64::MIN, i64::MAX);
/// The key of `/-/stats` with the number of records by tenant and class.
const RECORDED_BY_TENANT_AND_CLASS: &str = "recorded_of";

/// Arguments of `reconcile`; the comments on the fields are the help texts.
#[derive(clap::Args)]
pub struct Arguments {
    /// CSV with the columns at_ms, tenant, class, outcome, tries, key
    #[arg(long, value_name = "FILE")]
    clients: Option<PathBuf>,
    /// A mixer's name and a file with its response to /-/stats
    #[arg(long, value_name = "NAME=FILE")]
    counters: Vec<String>,
    #[command(flatten)]
    format: FormatOption,
}

/// Prints the totals of both sides and their differences.
///
/// # Errors
/// There are differences, or a file or the store can't be read.
pub fn run(context: &LedgerContext, arguments: &Arguments) -> CommandResult {
    let store = context.open_existing_store()?;
    if arguments.clients.is_none() && arguments.counters.is_empty() {
        return Err(UsageError::NothingToReconcile.into());
    }
    let mut differences = 0;
    if let Some(path) = &arguments.clients {
        differences += compare_clients(context, &store, path, arguments.format.format)?;
    }
    let members = store.member_statuses()?;
    for counters in &arguments.counters {
        differences += compare_counters(&store, &members, counters)?;
    }
    if differences > 0 {
        return Err(RuntimeError::Differences(differences).into());
    }
    Ok(())
}

/// Compares the ledger with the records of clients; returns the number of totals and uses that differ.
fn compare_clients(
    context: &LedgerContext,
    store: &Store,
    path: &Path,
    format: Format,
) -> Result<usize, CommandError> {
    let uses = read_client_uses(path)?;
    let calendar = &context.settings.calendar;
    let reconciliation =
        reconcile::compare_with_clients(store, calendar, context.bounds(), ALL_TIME, &uses)?;
    totals_table(&reconciliation).print(format)?;
    if !reconciliation.differences.is_empty() {
        differences_table(&reconciliation).print(format)?;
    }
    Ok(reconciliation.differing_totals() + reconciliation.differences.len())
}

fn read_client_uses(path: &Path) -> Result<Vec<ClientUse>, RuntimeError> {
    let read_error = |source| RuntimeError::ReadCsv {
        path: path.to_path_buf(),
        source,
    };
    let reader = csv::Reader::from_path(path).map_err(read_error)?;
    let rows: Result<Vec<ClientUse>, csv::Error> = reader.into_deserialize().collect();
    rows.map_err(read_error)
}

fn totals_table(reconciliation: &Reconciliation) -> ResultTable {
    let mut table = ResultTable::new(&TOTAL_COLUMNS);
    for ((period, tenant, class), pair) in &reconciliation.totals {
        let equal = pair.ledger == pair.client && pair.ledger_answered == pair.client_answered;
        table.push(vec![
            json!(period),
            json!(tenant),
            json!(class),
            json!(pair.ledger),
            json!(pair.client),
            json!(pair.ledger_answered),
            json!(pair.client_answered),
            json!(equal),
        ]);
    }
    table
}

fn differences_table(reconciliation: &Reconciliation) -> ResultTable {
    let mut table = ResultTable::new(&DIFFERENCE_COLUMNS);
    for difference in &reconciliation.differences {
        table.push(vec![
            json!(difference.kind),
            json!(difference.tenant),
            json!(difference.class),
            json!(difference.timestamp),
            json!(difference.key),
            json!(difference.ledger),
            json!(difference.client),
        ]);
    }
    table
}

/// Compares the ledger with the counters (`NAME=FILE`) of one mixer's latest run; returns the number that differ.
fn compare_counters(
    store: &Store,
    members: &[MemberStatus],
    counters: &str,
) -> Result<usize, CommandError> {
    let (member, file) = counters
        .split_once('=')
        .ok_or_else(|| UsageError::InvalidCounters(counters.to_string()))?;
    let mixer_counts = read_counters(Path::new(file))?;
    let latest = members.iter().find(|state| state.member == member);
    let incarnation = latest.map_or(0, |state| state.position.incarnation);
    let ledger_counts = store.record_counts(member, incarnation)?;
    let names: BTreeSet<&String> = ledger_counts.keys().chain(mixer_counts.keys()).collect();
    let mut differences = 0;
    for name in names {
        let (in_mixer, in_ledger) = (mixer_counts.get(name), ledger_counts.get(name));
        if in_mixer == in_ledger {
            continue;
        }
        differences += 1;
        let text = format!(
            "mixer {member}, {name}: {} records in this run by its counters, {} in the ledger\n",
            in_mixer.copied().unwrap_or_default(),
            in_ledger.copied().unwrap_or_default()
        );
        output::print(text.as_bytes())?;
    }
    Ok(differences)
}

/// Reads the mixer's number of records by tenant and class.
fn read_counters(path: &Path) -> Result<BTreeMap<String, u64>, RuntimeError> {
    let path = || path.to_path_buf();
    let text = std::fs::read_to_string(path()).map_err(|source| RuntimeError::ReadFile {
        path: path(),
        source,
    })?;
    let stats: Value = serde_json::from_str(&text).map_err(|source| RuntimeError::ReadJson {
        path: path(),
        source,
    })?;
    let counts = stats[RECORDED_BY_TENANT_AND_CLASS].clone();
    Ok(serde_json::from_value(counts).unwrap_or_default())
}
