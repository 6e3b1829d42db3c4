//! `cottonhill`: the command line program of the mixer and its ledger.
//!
//! [`commands`] has one module for each subcommand, [`mixer`] runs the mixer's process, and [`files`] reads the two
//! input files: the mixer's configuration (JSON), and the settings (INI), which it validates against [`schema`].

mod commands;
mod error;
mod files;
mod log_targets;
mod logging;
mod mixer;
mod output;
mod schema;

use clap::Parser;
use commands::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = error.to_string();
            eprintln!("cottonhill: {}", message.trim().replace('\n', " "));
            ExitCode::from(error.exit_code())
        }
    }
}
