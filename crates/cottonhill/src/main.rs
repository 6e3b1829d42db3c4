//! `cottonhill`: the mixer and its ledger on one command line.

mod check;
mod commands;
mod fronts;
mod logs;
mod output;
mod program;
mod recorder;
mod settings;

use clap::{CommandFactory, Parser, Subcommand};
use output::Failure;
use std::path::PathBuf;
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  cottonhill check --config mixer.json --settings cottonhill.ini
  cottonhill serve --config mixer.json
  cottonhill ledger statement --settings cottonhill.ini --format csv
  cottonhill completions bash > /etc/bash_completion.d/cottonhill

Exit codes: 0 done, 1 failed while running, 2 wrong use of the command line, 3 wrong configuration or settings.";

/// A query mixer over replicated shards, and the ledger of what it was used for.
#[derive(Parser)]
#[command(version, about, after_help = EXAMPLES)]
struct Line {
    #[command(flatten)]
    files: Files,
    #[command(subcommand)]
    command: Option<Command>,
}

/// The files that every command may need.
#[derive(clap::Args, Clone)]
pub struct Files {
    /// The platform's configuration of this mixer, in JSON
    #[arg(long, env = "BALANCER_CONFIG", global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Our own settings, in INI; the defaults hold without it
    #[arg(long, env = "COTTONHILL_SETTINGS", global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve queries until told to end (what happens without a command)
    Serve,
    /// Validate both files and print what is in force and where each value came from
    Check,
    /// The ledger of use by tenant
    #[command(subcommand)]
    Ledger(commands::Ledger),
    /// Print a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.command {
        None | Some(Command::Serve) => program::run(&line.files),
        Some(Command::Check) => check::run(&line.files),
        Some(Command::Ledger(command)) => commands::run(&line.files, command),
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "cottonhill", &mut script);
            output::print(&script)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, message }) => {
            eprintln!("cottonhill: {}", message.trim().replace('\n', " "));
            ExitCode::from(code)
        }
    }
}
