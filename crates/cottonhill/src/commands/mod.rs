//! The command line: one module for each subcommand.

mod check;
mod completions;
mod ledger;
mod serve;

use crate::error::CommandResult;
use crate::files::InputFiles;
use clap::{CommandFactory, Parser, Subcommand};
use ledger::LedgerCommand;

const EXAMPLES: &str = "\
Examples:
  cottonhill check --config mixer.json --settings cottonhill.ini
  cottonhill serve --config mixer.json
  cottonhill ledger statement --settings cottonhill.ini --format csv
  cottonhill completions bash > /etc/bash_completion.d/cottonhill

Exit codes: 0 done, 1 failed while running, 2 wrong use of the command line, 3 wrong configuration or settings.";

// The comments on the types of the command line are the help texts.

/// A query mixer over replicated shards, and the ledger of what it was used for.
#[derive(Parser)]
#[command(version, about, after_help = EXAMPLES)]
pub struct CommandLine {
    #[command(flatten)]
    files: InputFiles,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve queries until told to end (what happens without a command)
    Serve,
    /// Validate both files and print what is in force and where each value came from
    Check,
    /// The ledger of use by tenant
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Print a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

/// Carries out the command that the command line names.
///
/// # Errors
/// Why it ended without success; [`exit_code`](crate::error::CommandError::exit_code) tells what to exit with.
pub fn run(line: CommandLine) -> CommandResult {
    match line.command {
        None | Some(Command::Serve) => serve::run(&line.files),
        Some(Command::Check) => check::run(&line.files),
        Some(Command::Ledger(command)) => ledger::run(&line.files, command),
        Some(Command::Completions { shell }) => completions::run(shell, CommandLine::command()),
    }
}
