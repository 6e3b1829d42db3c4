//! `cottonhill completions`: a completion script for a shell.

use crate::error::CommandResult;
use crate::output;
use clap::Command;
use clap_complete::Shell;

/// Prints the completion script for this command line.
///
/// # Errors
/// Standard output can't be written.
pub fn run(shell: Shell, mut command_line: Command) -> CommandResult {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command_line, "cottonhill", &mut script);
    output::print(&script)
}
