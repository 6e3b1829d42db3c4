//! `cottonhill ledger ...`: the settlement, and what operators ask of the ledger. One module for each subcommand.

mod context;
mod correct;
mod dump;
mod export;
mod key;
mod periods;
mod progress;
mod reconcile;
mod serve;
mod statement;
mod status;
mod verify;

use crate::error::CommandResult;
use crate::files::InputFiles;
use crate::output::FormatOption;
use clap::Subcommand;
use context::LedgerContext;
use std::path::PathBuf;

/// What `cottonhill ledger` can do; the comments on the variants and fields are the help texts.
#[derive(Subcommand)]
pub enum LedgerCommand {
    /// Collect from the mixers, close periods and export, until told to end
    Serve,
    /// How far each mixer's records are in the ledger, and what waits to be sent
    Status(#[command(flatten)] FormatOption),
    /// The closed periods and their totals
    Periods(#[command(flatten)] FormatOption),
    /// The lines of a statement; the last one if no period is named
    Statement(#[command(flatten)] statement::Arguments),
    /// Enter a correction; of a closed period it becomes a credit or debit document
    Correct(#[command(flatten)] correct::Arguments),
    /// Send what waits in the outbox now, or list all documents
    Export(#[command(flatten)] export::Arguments),
    /// Set the ledger beside what clients recorded, and beside the mixers' counters
    Reconcile(#[command(flatten)] reconcile::Arguments),
    /// Check statements, documents and totals against the records, and logs byte by byte
    Verify {
        /// Folder of a mixer's usage log
        #[arg(long, value_name = "FOLDER")]
        log: Vec<PathBuf>,
    },
    /// Print records: those in the store, or those of one mixer's log
    Dump {
        #[arg(long, value_name = "FOLDER")]
        log: Option<PathBuf>,
        #[command(flatten)]
        format: FormatOption,
    },
    /// The key under which the uses of an Idempotency-Key stand in the ledger
    Key {
        class: String,
        idempotency_key: String,
    },
}

/// Carries out one subcommand. `key`, and `dump` and `verify` of a usage log, need no store.
///
/// # Errors
/// Settings that can't be used, a store or file that can't be read, or what the subcommand found to be wrong.
pub fn run(files: &InputFiles, command: LedgerCommand) -> CommandResult {
    let context = || LedgerContext::read(files);
    match command {
        LedgerCommand::Serve => serve::run(files, context()?),
        LedgerCommand::Status(format) => status::run(&context()?, format.format),
        LedgerCommand::Periods(format) => periods::run(&context()?, format.format),
        LedgerCommand::Statement(arguments) => statement::run(&context()?, &arguments),
        LedgerCommand::Correct(arguments) => correct::run(&context()?, arguments),
        LedgerCommand::Export(arguments) => export::run(&context()?, &arguments),
        LedgerCommand::Reconcile(arguments) => reconcile::run(&context()?, &arguments),
        LedgerCommand::Verify { log } => verify::run(files, &log),
        LedgerCommand::Dump { log: None, format } => dump::print_store(&context()?, format.format),
        LedgerCommand::Dump {
            log: Some(directory),
            format,
        } => dump::print_log(&directory, format.format),
        LedgerCommand::Key {
            class,
            idempotency_key,
        } => key::run(&class, &idempotency_key),
    }
}
