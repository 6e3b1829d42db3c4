//! `cottonhill ledger key`: prints the key that the ledger stores for an Idempotency-Key.

use crate::error::CommandResult;
use crate::output;
use cottonhill_mixer::reducer::usage;

/// Prints the key in hexadecimal.
///
/// # Errors
/// Standard output can't be written.
pub fn run(class: &str, idempotency_key: &str) -> CommandResult {
    let key = usage::key_from_idempotency_key(class, idempotency_key);
    output::print(format!("{key:016x}\n").as_bytes())
}
