//! `cottonhill-lab`: measurements of the mixer against the size it is planned for.

use clap::{Parser, Subcommand};
use cottonhill_lab::scale::settings::Scale;
use cottonhill_lab::{logs, settings, Failure};
use std::path::PathBuf;
use std::process::ExitCode;

/// Measures the mixer against the size it is planned for.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The lab's settings, in INI; the defaults hold without it
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run series that step one size at a time, without sockets
    Scale,
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    let settings = settings::read(arguments.settings.as_deref())?;
    logs::start(&settings)?;
    match arguments.command {
        Command::Scale => Scale::read(&settings).map(drop),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cottonhill-lab: {failure}");
            ExitCode::from(failure.code())
        }
    }
}
