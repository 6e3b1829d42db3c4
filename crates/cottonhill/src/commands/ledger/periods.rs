//! `cottonhill ledger periods`: lists the closed periods and their totals.

use super::context::LedgerContext;
use crate::error::CommandResult;
use crate::output::{Format, ResultTable};
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::store::Statement;
use serde_json::{json, Value};

const COLUMNS: [&str; 9] = [
    "period",
    "end",
    "closed",
    "uses",
    "adjusted",
    "ambiguous",
    "missing",
    "total",
    "hash",
];
/// Number of hexadecimal digits of a statement's hash in the table.
const SHORT_HASH_DIGITS: usize = 12;

/// Prints one row for each closed period.
///
/// # Errors
/// The store can't be read.
pub fn run(context: &LedgerContext, format: Format) -> CommandResult {
    let store = context.open_existing_store()?;
    let mut table = ResultTable::new(&COLUMNS);
    for (statement, hash, _) in store.statements()? {
        table.push(period_row(&statement, &hash));
    }
    table.print(format)
}

fn period_row(statement: &Statement, hash: &str) -> Vec<Value> {
    let missing: Vec<&str> = statement
        .members
        .iter()
        .filter(|member| member.missing)
        .map(|member| member.member.as_str())
        .collect();
    vec![
        json!(statement.period),
        json!(statement.end),
        json!(statement.closed),
        json!(sum(statement, false, |counts| counts.uses)),
        json!(sum(statement, true, |counts| counts.uses)),
        json!(sum(statement, false, |counts| counts.ambiguous)),
        json!(missing.join(" ")),
        json!(statement.total),
        json!(hash[..SHORT_HASH_DIGITS]),
    ]
}

/// Sums one count over the lines of the period itself, or over those that adjust earlier periods.
fn sum(statement: &Statement, adjustments: bool, count: fn(&Counts) -> i64) -> i64 {
    statement
        .lines
        .iter()
        .filter(|line| line.adjusts == adjustments)
        .map(|line| count(&line.counts))
        .sum()
}
