//! `cottonhill ledger ...`: the settlement and the operators' commands on its store. One module for each subcommand.

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

/// The subcommands of `cottonhill ledger`; the comments on the variants and fields are the help texts.
#[derive(Subcommand)]
pub enum LedgerCommand {
    /// Collect the mixers' usage logs, close periods and export, until a signal ends it
    Serve,
    /// Show how far each mixer's records are collected, and the number of unsent documents
    Status(#[command(flatten)] FormatOption),
    /// List the closed periods and their totals
    Periods(#[command(flatten)] FormatOption),
    /// Print the lines of a statement; of the last one if no period is given
    Statement(#[command(flatten)] statement::Arguments),
    /// Enter a correction; for a closed period it creates a credit or debit document
    Correct(#[command(flatten)] correct::Arguments),
    /// Send the unsent documents of the outbox, or list all documents
    Export(#[command(flatten)] export::Arguments),
    /// Compare the ledger with the records of clients and with the mixers' counters
    Reconcile(#[command(flatten)] reconcile::Arguments),
    /// Check statements, documents and totals against the records, and logs byte by byte
    Verify {
        /// Folder of a mixer's usage log
        #[arg(long, value_name = "FOLDER")]
        log: Vec<PathBuf>,
    },
    /// Print the records of the store, or of one mixer's usage log
    Dump {
        #[arg(long, value_name = "FOLDER")]
        log: Option<PathBuf>,
        #[command(flatten)]
        format: FormatOption,
    },
    /// Print the key that the ledger stores for an Idempotency-Key
    Key {
        class: String,
        idempotency_key: String,
    },
}

/// Runs one subcommand. `key`, and `dump` and `verify` of a usage log, need no store.
///
/// # Errors
/// The settings are invalid, a store or file can't be read, or the subcommand found differences or inconsistencies.
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
