//! What commands print and how they fail.

use std::io::{self, ErrorKind, Write};

/// Why a command ended without success: one line for standard error, and the exit code.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub message: String,
}

impl Failure {
    /// Something went wrong while running.
    pub fn running(message: impl ToString) -> Failure {
        Failure {
            code: 1,
            message: message.to_string(),
        }
    }

    /// The command line asks for what makes no sense.
    pub fn usage(message: impl ToString) -> Failure {
        Failure {
            code: 2,
            message: message.to_string(),
        }
    }

    /// A file of configuration or settings does not do.
    pub fn configuration(message: impl ToString) -> Failure {
        Failure {
            code: 3,
            message: message.to_string(),
        }
    }
}

pub type Done = Result<(), Failure>;

/// Writes to standard output. Whoever reads it may have read enough: a closed pipe is no failure.
pub fn print(bytes: &[u8]) -> Done {
    let mut out = io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            Err(Failure::running(format!("standard output: {e}")))
        }
        _ => Ok(()),
    }
}
