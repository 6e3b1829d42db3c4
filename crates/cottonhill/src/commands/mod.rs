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

Exit codes: 0 success, 1 runtime failure, 2 invalid command line, 3 invalid configuration or settings.";

// The comments on the subcommands and their arguments are the help texts.

/// A query mixer over replicated shards, and the ledger of its usage.
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
    /// Serve queries until a signal ends the mixer (the default command)
    Serve,
    /// Validate both files and print the effective values with the origin of each
    Check,
    /// The ledger of usage by tenant
    #[command(subcommand)]
    Ledger(LedgerCommand),
    /// Print a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

/// Runs the command that the command line names, or `serve` if it names none.
///
/// # Errors
/// The command failed; [`exit_code`](crate::error::CommandError::exit_code) returns the exit code of the process.
pub fn run(line: CommandLine) -> CommandResult {
    match line.command {
        None | Some(Command::Serve) => serve::run(&line.files),
        Some(Command::Check) => check::run(&line.files),
        Some(Command::Ledger(command)) => ledger::run(&line.files, command),
        Some(Command::Completions { shell }) => completions::run(shell, CommandLine::command()),
    }
}
