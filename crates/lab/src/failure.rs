//! Errors that end the program, with their exit codes.

/// Why a command ended without a result.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Invalid settings or command-line arguments.
    #[error("{0}")]
    Settings(String),
    /// The run failed.
    #[error("{0}")]
    Running(String),
}

impl Failure {
    /// Converts an error about the settings or arguments.
    pub fn settings(error: impl ToString) -> Failure {
        Failure::Settings(error.to_string())
    }

    /// Converts an error that occurred during the run.
    pub fn running(error: impl ToString) -> Failure {
        Failure::Running(error.to_string())
    }

    /// Exit code: 1 for a failed run, 3 for invalid settings; the same codes as those of `cottonhill`.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Running(_) => 1,
            Failure::Settings(_) => 3,
        }
    }
}
