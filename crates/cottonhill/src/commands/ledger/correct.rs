//! `cottonhill ledger correct`: enters a correction by an operator.

use super::context::LedgerContext;
use crate::error::CommandResult;
use crate::output;
use cottonhill_ledger::period::Period;
use cottonhill_ledger::settlement;
use cottonhill_ledger::store::{digest, CorrectionLine};

/// Length of a generated id: the leading hexadecimal digits of a digest.
const GENERATED_ID_DIGITS: usize = 16;

/// Arguments of `correct`; the comments on the fields are the help texts.
#[derive(clap::Args)]
pub struct Arguments {
    #[arg(long)]
    tenant: String,
    /// The start of the period to correct, as `periods` prints it
    #[arg(long)]
    period: String,
    /// In micro-units; a negative amount is a credit
    #[arg(long, allow_hyphen_values = true)]
    amount: i64,
    #[arg(long)]
    reason: String,
    #[arg(long)]
    author: String,
    /// Unique id of the correction; generated if not given
    #[arg(long)]
    id: Option<String>,
}

/// Enters the correction and prints the resulting document or the period whose statement will include it.
///
/// # Errors
/// The store can't be written, no such period exists, or a correction with this id already exists.
pub fn run(context: &LedgerContext, arguments: Arguments) -> CommandResult {
    let mut store = context.open_existing_store()?;
    let period = context.find_period(&store, &arguments.period)?;
    let now = settlement::unix_ms_now();
    let correction = correction_line(arguments, period, now);
    let document = store.correct(&correction, period, now)?;
    let CorrectionLine { id, amount, .. } = &correction;
    let text = match document {
        Some(document) => format!(
            "correction {id}: document {} of {amount} micro-units\n",
            document.id
        ),
        None => format!(
            "correction {id}: will be included in the statement of {}\n",
            period.name()
        ),
    };
    output::print(text.as_bytes())
}

/// `now` is in Unix milliseconds.
fn correction_line(arguments: Arguments, period: Period, now: i64) -> CorrectionLine {
    let generated_id = generate_id(&arguments, period, now);
    CorrectionLine {
        id: arguments.id.unwrap_or(generated_id),
        tenant: arguments.tenant,
        amount: arguments.amount,
        reason: arguments.reason,
        author: arguments.author,
    }
}

fn generate_id(arguments: &Arguments, period: Period, now: i64) -> String {
    let Arguments {
        tenant,
        amount,
        reason,
        author,
        ..
    } = arguments;
    let content = format!("{tenant} {} {amount} {reason} {author} {now}", period.start);
    digest(content.as_bytes())[..GENERATED_ID_DIGITS].to_string()
}
