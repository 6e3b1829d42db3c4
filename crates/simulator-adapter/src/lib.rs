//! The decision module on the simulator's wire: batches of events come in, replies with actions go out. It only
//! translates; every decision is in `cottonhill_decisions`.
//!
//! [`wire`] turns bytes into inputs and actions into bytes, [`session`] keeps the instances.

#![warn(missing_docs)]

pub mod error;
pub mod session;
pub mod wire;

use error::AdapterError;
use session::Session;
use std::io::{Read, Write};
use wire::Batch;

/// Answers each batch with one reply until the input ends.
///
/// # Errors
/// Input that can't be read or decoded, settings that can't be used, or output that can't be written.
pub fn answer_batches(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    while let Some(batch) = Batch::read(input)? {
        let reply = session.process_batch(&batch)?;
        output
            .write_all(&reply.to_bytes(batch.number))
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}
