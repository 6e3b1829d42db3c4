//! `cottonhill ledger export`: sends or lists the documents of the outbox.

use super::context::LedgerContext;
use super::progress;
use crate::error::{CommandError, CommandResult, ConfigurationError, RuntimeError, UsageError};
use crate::output::{Format, FormatOption, ResultTable};
use cottonhill_ledger::settings::ExportSettings;
use cottonhill_ledger::store::{OutboxDocument, Store};
use cottonhill_ledger::{export, settlement};
use serde_json::json;
use std::time::{Duration, Instant};

/// Upper bound of the delay between two attempts to send a document.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Arguments of `export`; the comments on the fields are the help texts.
#[derive(clap::Args)]
pub struct Arguments {
    /// Only list the documents
    #[arg(long)]
    list: bool,
    /// Time limit for sending all documents
    #[arg(long, default_value = "60s", value_name = "TIME")]
    within: String,
    #[command(flatten)]
    format: FormatOption,
}

/// Sends the unsent documents unless `--list` is set, then lists all documents.
///
/// # Errors
/// The settings name no target, a document is not acknowledged in time, or the store can't be read or written.
pub fn run(context: &LedgerContext, arguments: &Arguments) -> CommandResult {
    let store = context.open_existing_store()?;
    if !arguments.list {
        send_outbox(context, &store, &arguments.within)?;
    }
    print_documents(&store, arguments.format.format)
}

fn send_outbox(context: &LedgerContext, store: &Store, within: &str) -> Result<(), CommandError> {
    let timeout =
        cottonhill_ini::parse_duration(within).map_err(|reason| UsageError::InvalidDuration {
            value: within.to_string(),
            reason: reason.to_string(),
        })?;
    let target = &context.settings.export;
    let (to_folder, to_url) = (target.folder.is_some(), target.url.is_some());
    if !to_folder && !to_url {
        return Err(ConfigurationError::NoExportTarget.into());
    }
    let deadline = Instant::now() + timeout;
    let unsent = store.outbox(to_folder, to_url)?;
    let bar = progress::bar(unsent.len(), "documents");
    for document in unsent {
        send_document(store, target, document, deadline)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(())
}

/// Sends one document, with retries until it is acknowledged or the deadline passes. Each attempt is recorded in the
/// store.
fn send_document(
    store: &Store,
    target: &ExportSettings,
    mut document: OutboxDocument,
    deadline: Instant,
) -> Result<(), CommandError> {
    loop {
        let (in_folder, posted, error) = export::send(target, &document);
        let now = settlement::unix_ms_now();
        store.record_delivery(&document.id, in_folder, posted, error.as_deref(), now)?;
        document.in_folder |= in_folder;
        document.posted |= posted;
        document.attempts += 1;
        let Some(reason) = error else { return Ok(()) };
        if Instant::now() >= deadline {
            let id = document.id;
            return Err(RuntimeError::DocumentNotAcknowledged { id, reason }.into());
        }
        let delay = export::retry_delay(target.retry_delay, document.attempts);
        std::thread::sleep(delay.min(MAX_RETRY_DELAY));
    }
}

fn print_documents(store: &Store, format: Format) -> CommandResult {
    let columns = ["document", "in_folder", "posted", "attempts", "error"];
    let mut table = ResultTable::new(&columns);
    for document in store.outbox(false, false)? {
        table.push(vec![
            json!(document.id),
            json!(document.in_folder),
            json!(document.posted),
            json!(document.attempts),
            json!(document.error),
        ]);
    }
    table.print(format)
}
