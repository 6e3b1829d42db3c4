//! Adapter between the decision module and the simulator's wire format: it reads batches of events and writes replies
//! with actions. It only translates; all decisions are made in `cottonhill_decisions`.
//!
//! [`wire`] decodes events and encodes actions, [`session`] holds the instances of the decision module, one
//! for each simulated mixer.

#![warn(missing_docs)]

pub mod error;
pub mod session;
pub mod wire;

use error::AdapterError;
use session::Session;
use std::io::{Read, Write};
use wire::Batch;

/// Writes one reply to each batch until the input ends.
///
/// # Errors
/// The input can't be read or decoded, the settings are invalid, or the output can't be written.
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
