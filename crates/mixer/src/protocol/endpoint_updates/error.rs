//! Why an endpoint update is rejected.

use super::MAX_ENTRIES;
use thiserror::Error;

/// Why an endpoint update is rejected. The current list is kept.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UpdateError {
    /// The text is too long.
    #[error("a list of over {max_bytes} bytes, the most that is accepted in one message")]
    TooManyBytes {
        /// The limit.
        max_bytes: usize,
    },
    /// The list has more than [`MAX_ENTRIES`] entries.
    #[error("{entries} entries in version {version}, {max} at most are accepted", max = MAX_ENTRIES)]
    TooManyEntries {
        /// The update's version.
        version: u64,
        /// The number of entries.
        entries: usize,
    },
    /// An entry of a delta has no usable name, so that it is not known which endpoint changes.
    #[error("entry {entry} of version {version} names nobody: {reason}")]
    UnnamedEntry {
        /// The update's version.
        version: u64,
        /// The entry, counted from 0.
        entry: usize,
        /// What is wrong with it.
        reason: String,
    },
    /// Not the JSON of an update.
    #[error("{reason}, in an object of {bytes} bytes")]
    Malformed {
        /// The length of the text.
        bytes: usize,
        /// What is wrong with it.
        reason: String,
    },
}

impl UpdateError {
    /// Whether the update is larger than any that is accepted.
    pub fn is_too_large(&self) -> bool {
        matches!(
            self,
            UpdateError::TooManyBytes { .. } | UpdateError::TooManyEntries { .. }
        )
    }
}
