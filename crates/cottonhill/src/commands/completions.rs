//! `cottonhill completions`: a completion script for a shell.

use super::CommandLine;
use crate::error::CommandResult;
use crate::output;
use clap::CommandFactory;
use clap_complete::Shell;

/// Prints the script.
///
/// # Errors
/// Standard output can't be written.
pub fn run(shell: Shell) -> CommandResult {
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut CommandLine::command(),
        "cottonhill",
        &mut script,
    );
    output::print(&script)
}
