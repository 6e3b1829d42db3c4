//! `cottonhill ledger status`: shows how far the records of each mixer are collected.

use super::context::LedgerContext;
use crate::error::{CommandError, CommandResult};
use crate::output::{self, Format, ResultTable};
use cottonhill_ledger::period::format_timestamp;
use cottonhill_ledger::store::{MemberStatus, Store};
use serde_json::{json, Value};
use std::collections::BTreeSet;

const COLUMNS: [&str; 9] = [
    "member",
    "configured",
    "incarnation",
    "sequence",
    "complete",
    "records",
    "lost",
    "died",
    "damaged",
];
/// Number of columns without a value for a member that has no records.
const RECORD_COLUMNS: usize = COLUMNS.len() - 2;

/// Prints the state of each member that is configured or has records in the store.
///
/// # Errors
/// The store can't be read.
pub fn run(context: &LedgerContext, format: Format) -> CommandResult {
    let store = context.open_existing_store()?;
    let states = store.member_statuses()?;
    let mut table = ResultTable::new(&COLUMNS);
    for name in member_names(context, &states) {
        let configured = context.settings.members.contains_key(name);
        let state = states.iter().find(|state| state.member == name);
        let mut row = vec![json!(name), json!(configured)];
        row.extend(state.map_or(vec![Value::Null; RECORD_COLUMNS], record_values));
        table.push(row);
    }
    table.print(format)?;
    if format == Format::Table {
        print_summary(context, &store)?;
    }
    Ok(())
}

fn member_names<'a>(context: &'a LedgerContext, states: &'a [MemberStatus]) -> BTreeSet<&'a str> {
    let configured = context.settings.members.keys().map(String::as_str);
    let with_records = states.iter().map(|state| state.member.as_str());
    configured.chain(with_records).collect()
}

fn record_values(state: &MemberStatus) -> Vec<Value> {
    vec![
        json!(state.position.incarnation),
        json!(state.position.sequence),
        json!(format_timestamp(state.watermark_ms)),
        json!(state.records),
        json!(state.lost_records),
        json!(state.crashed_runs),
        json!(state.damaged_ranges),
    ]
}

/// Prints the next period to close and the number of unsent documents.
fn print_summary(context: &LedgerContext, store: &Store) -> Result<(), CommandError> {
    let next_period = store
        .next_period(&context.settings.calendar)?
        .map_or("none".into(), |period| period.name());
    let export = &context.settings.export;
    let (to_folder, to_url) = (export.folder.is_some(), export.url.is_some());
    let unsent = if to_folder || to_url {
        store.outbox(to_folder, to_url)?.len()
    } else {
        0
    };
    let text = format!("\nnext period to close: {next_period}\ndocuments to send: {unsent}\n");
    output::print(text.as_bytes())
}
