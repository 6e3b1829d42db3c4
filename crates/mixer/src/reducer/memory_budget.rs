//! Divides the memory limit of the process between the kinds of data that clients, leaf servers and discovery make it
//! hold, so that no kind can exhaust the memory.
//!
//! Each connection and each open part may hold a small amount in any case, which their numbers bound. Everything
//! beyond that counts towards the limit of its kind. The limits are fractions of the memory limit; about half of a
//! small limit is left for the program itself, the connections and the endpoint list.

use crate::protocol::endpoint_updates::MAX_ENTRIES;

/// Assumed if the configuration sets no limit, in bytes.
const DEFAULT_MEMORY_LIMIT: usize = 2_000_000_000;
/// The memory limit is divided by these for the limits of the kinds.
const REQUEST_DIVISOR: usize = 32;
const TEXT_DIVISOR: usize = 32;
const PART_DIVISOR: usize = 10;
const VALUE_DIVISOR: usize = 32;
const RESPONSE_DIVISOR: usize = 32;
const FRAME_DIVISOR: usize = 32;
const FRONTEND_DIVISOR: usize = 8;
/// The memory for everything but the endpoint list, in bytes.
const RESERVED_BYTES: usize = 24_000_000;
/// Memory of a leaf server's entry and record at their peak, when a list is read and applied, in bytes.
const ENDPOINT_BYTES: usize = 364;
/// Leaf servers that are accepted irrespective of the memory limit.
const MIN_ENDPOINTS: usize = 4096;

/// The limits of the kinds of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    memory_limit: usize,
}

impl Default for MemoryBudget {
    fn default() -> MemoryBudget {
        MemoryBudget::new(DEFAULT_MEMORY_LIMIT)
    }
}

impl MemoryBudget {
    /// Divides a memory limit of this many bytes.
    pub fn new(memory_limit: usize) -> MemoryBudget {
        MemoryBudget { memory_limit }
    }

    /// Bytes of requests that are being received, beyond what each connection may hold.
    pub fn request_bytes(&self) -> usize {
        self.memory_limit / REQUEST_DIVISOR
    }

    /// Bytes of the texts of open queries, beyond what each query may hold.
    pub fn text_bytes(&self) -> usize {
        self.memory_limit / TEXT_DIVISOR
    }

    /// Bytes of the state of open queries and their parts.
    pub fn part_bytes(&self) -> usize {
        self.memory_limit / PART_DIVISOR
    }

    /// Bytes of the values received for open queries, beyond what each part may hold.
    pub fn value_bytes(&self) -> usize {
        self.memory_limit / VALUE_DIVISOR
    }

    /// Bytes of responses that clients have not read, beyond what each connection may hold.
    pub fn response_bytes(&self) -> usize {
        self.memory_limit / RESPONSE_DIVISOR
    }

    /// Bytes of frames that are being received from leaf servers, beyond what each connection may hold.
    pub fn frame_bytes(&self) -> usize {
        self.memory_limit / FRAME_DIVISOR
    }

    /// Bytes of requests and answers that the frontends of other protocols hold.
    pub fn frontend_bytes(&self) -> usize {
        self.memory_limit / FRONTEND_DIVISOR
    }

    /// Number of leaf servers, including removed ones whose records are retained.
    pub fn endpoints(&self) -> usize {
        let bytes = self.memory_limit.saturating_sub(RESERVED_BYTES);
        (bytes / ENDPOINT_BYTES).clamp(MIN_ENDPOINTS, MAX_ENTRIES)
    }
}
