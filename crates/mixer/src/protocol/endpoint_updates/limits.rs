//! How large an endpoint update may be.

/// Entries of the longest list that is accepted.
pub const MAX_ENTRIES: usize = 131_072;
/// Bytes that an entry may take on average in a list of [`MAX_ENTRIES`]. Entries of shorter lists may take more.
const MEAN_ENTRY_BYTES: usize = 256;
/// Bytes of the largest update that is accepted, if the memory limit leaves room for it: 32 MiB.
pub const MAX_UPDATE_BYTES: usize = MAX_ENTRIES * MEAN_ENTRY_BYTES;
/// Divisor of the memory limit for the text of one update. What is parsed from it takes as much again, and half of the
/// memory is left for everything else.
const MEMORY_LIMIT_DIVISOR: usize = 4;
/// Bytes that an update may have whatever the memory limit: 4,096 entries of 1,024 bytes.
const MIN_UPDATE_LIMIT_BYTES: usize = 4096 * 1024;

/// Bytes of the largest update that is accepted by a process that may use `memory_limit` bytes.
pub fn max_update_bytes(memory_limit: usize) -> usize {
    (memory_limit / MEMORY_LIMIT_DIVISOR).clamp(MIN_UPDATE_LIMIT_BYTES, MAX_UPDATE_BYTES)
}
