//! Errors of rejected endpoint updates.

use super::MAX_ENTRIES;
use thiserror::Error;

/// The reason why an endpoint update is rejected. The current list is kept.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UpdateError {
    /// The update's text is too long.
    #[error("endpoint update of over {max_bytes} bytes, which is the limit")]
    TooManyBytes {
        /// Maximum size in bytes.
        max_bytes: usize,
    },
    /// The update has more than [`MAX_ENTRIES`] entries.
    #[error("{entries} entries in version {version}, the limit is {max}", max = MAX_ENTRIES)]
    TooManyEntries {
        /// Version of the update.
        version: u64,
        /// Number of entries.
        entries: usize,
    },
    /// The memory limit of the process does not allow as many entries.
    #[error("endpoint update of over {max_entries} entries, which is the limit")]
    OverMemoryLimit {
        /// Maximum number of entries.
        max_entries: usize,
    },
    /// An entry of a delta has no valid name, so that the changed endpoint is unknown.
    #[error("entry {entry} of version {version} has no valid name: {reason}")]
    UnnamedEntry {
        /// Version of the update.
        version: u64,
        /// Index of the entry, counted from 0.
        entry: usize,
        /// Message of the JSON parser.
        reason: String,
    },
    /// The text is not the JSON of an update.
    #[error("malformed endpoint update of {bytes} bytes: {reason}")]
    Malformed {
        /// Length of the text.
        bytes: usize,
        /// Message of the JSON parser.
        reason: String,
    },
}

impl UpdateError {
    /// Whether the update is rejected because of its size.
    pub fn is_too_large(&self) -> bool {
        matches!(
            self,
            UpdateError::TooManyBytes { .. }
                | UpdateError::TooManyEntries { .. }
                | UpdateError::OverMemoryLimit { .. }
        )
    }
}
