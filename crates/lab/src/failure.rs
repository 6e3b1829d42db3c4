//! What ends the program early, with its exit code.

/// Why a command ended without a result.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The settings, or what the command line names, cannot be used.
    #[error("{0}")]
    Settings(String),
    /// The run itself failed.
    #[error("{0}")]
    Running(String),
}

impl Failure {
    /// What cannot be used, as its own error says it.
    pub fn settings(why: impl ToString) -> Failure {
        Failure::Settings(why.to_string())
    }

    /// What failed while running.
    pub fn running(why: impl ToString) -> Failure {
        Failure::Running(why.to_string())
    }

    /// Exit code: 1 failed while running, 3 wrong settings, as the program `cottonhill` has them.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Running(_) => 1,
            Failure::Settings(_) => 3,
        }
    }
}
