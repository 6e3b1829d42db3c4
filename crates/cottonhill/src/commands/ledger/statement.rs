//! `cottonhill ledger statement`: prints the lines of one statement.

use super::context::LedgerContext;
use crate::error::{CommandError, CommandResult, RuntimeError};
use crate::output::{self, Format, FormatOption, ResultTable};
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::store::{
    CorrectionLine, MemberState, Statement, StatementLine, Store, TenantTotal,
};
use serde_json::{json, Value};

/// Arguments of `statement`; the comments on the fields are the help texts.
#[derive(clap::Args)]
pub struct Arguments {
    /// The start of the period, as `periods` prints it
    period: Option<String>,
    /// Only this tenant's lines
    #[arg(long)]
    tenant: Option<String>,
    #[command(flatten)]
    format: FormatOption,
}

impl Arguments {
    fn selects(&self, tenant: &str) -> bool {
        self.tenant
            .as_deref()
            .is_none_or(|selected| selected == tenant)
    }
}

/// Prints the statement. JSON output contains all tenants even if one is selected.
///
/// # Errors
/// The store can't be read, or there is no such statement.
pub fn run(context: &LedgerContext, arguments: &Arguments) -> CommandResult {
    let store = context.open_existing_store()?;
    let statement = find_statement(context, &store, arguments.period.as_deref())?;
    let format = arguments.format.format;
    if format == Format::Json {
        let text = serde_json::to_string_pretty(&statement).map_err(RuntimeError::FormatJson)?;
        return output::print(format!("{text}\n").as_bytes());
    }
    lines_table(&statement, arguments).print(format)?;
    if format == Format::Table {
        output::print(summary(&statement, arguments).as_bytes())?;
    }
    Ok(())
}

/// The statement of the period that starts at `start`; the last statement if `start` is `None`.
fn find_statement(
    context: &LedgerContext,
    store: &Store,
    start: Option<&str>,
) -> Result<Statement, CommandError> {
    let mut statements = store.statements()?.into_iter().map(|(first, ..)| first);
    let found = match start {
        Some(start) => {
            let name = context.find_period(store, start)?.name();
            statements.find(|statement| statement.period == name)
        }
        None => statements.next_back(),
    };
    Ok(found.ok_or(RuntimeError::NoSuchStatement)?)
}

fn lines_table(statement: &Statement, arguments: &Arguments) -> ResultTable {
    let mut columns = vec!["statement", "tenant", "class", "period", "kind"];
    columns.extend(Counts::NAMES);
    columns.push("amount");
    let mut table = ResultTable::new(&columns);
    for line in &statement.lines {
        if arguments.selects(&line.tenant) {
            table.push(line_row(statement, line));
        }
    }
    for correction in &statement.corrections {
        if arguments.selects(&correction.tenant) {
            table.push(correction_row(statement, correction));
        }
    }
    table
}

fn line_row(statement: &Statement, line: &StatementLine) -> Vec<Value> {
    let kind = if line.adjusts { "adjustment" } else { "use" };
    let mut row = vec![
        json!(statement.period),
        json!(line.tenant),
        json!(line.class),
        json!(line.period),
        json!(kind),
    ];
    row.extend(line.counts.values().map(|count| json!(count)));
    row.push(json!(line.amount));
    row
}

fn correction_row(statement: &Statement, correction: &CorrectionLine) -> Vec<Value> {
    let mut row = vec![
        json!(statement.period),
        json!(correction.tenant),
        json!("-"),
        json!(statement.period),
        json!("correction"),
    ];
    row.extend(Counts::default().values().map(|count| json!(count)));
    row.push(json!(correction.amount));
    row
}

/// The text below the table: the period, members with missing or damaged records, and totals of the tenants.
fn summary(statement: &Statement, arguments: &Arguments) -> String {
    let mut text = format!(
        "\nperiod {} to {}, closed {}; rounded {}\n",
        statement.period, statement.end, statement.closed, statement.rounding
    );
    for member in &statement.members {
        if member.missing || member.lost_records + member.crashed_runs + member.damaged_ranges > 0 {
            text += &member_line(member);
        }
    }
    for total in &statement.tenants {
        if arguments.selects(&total.tenant) {
            text += &tenant_line(total);
        }
    }
    text + &format!("total {} micro-units\n", statement.total)
}

fn member_line(member: &MemberState) -> String {
    format!(
        "member {}: {}complete up to {}, {} records lost, {} runs died, {} damaged stretches\n",
        member.member,
        if member.missing { "MISSING, " } else { "" },
        member.complete.as_deref().unwrap_or("never"),
        member.lost_records,
        member.crashed_runs,
        member.damaged_ranges
    )
}

fn tenant_line(total: &TenantTotal) -> String {
    let allowance = total
        .allowance
        .map_or("none".to_string(), |allowance| allowance.to_string());
    format!(
        "tenant {}: {} answered, allowance {allowance}, {} over it, {} micro-units\n",
        total.tenant, total.answered, total.above_allowance, total.amount
    )
}
