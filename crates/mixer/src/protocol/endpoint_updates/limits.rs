//! Size limits of endpoint updates.

/// Maximum number of entries in an endpoint update.
pub const MAX_ENTRIES: usize = 131_072;
/// Average size of the entries, in bytes, up to which a list of [`MAX_ENTRIES`] is accepted. Entries of shorter lists
/// may be larger.
const MEAN_ENTRY_BYTES: usize = 256;
/// Maximum size of an update in bytes, unless the memory limit requires less: 32 MiB.
pub const MAX_UPDATE_BYTES: usize = MAX_ENTRIES * MEAN_ENTRY_BYTES;
/// The text of one update may take the memory limit divided by this. The parsed update takes the same amount again, so
/// that half of the memory remains for everything else.
const MEMORY_LIMIT_DIVISOR: usize = 4;
/// Size of updates, in bytes, that are accepted irrespective of the memory limit: 4,096 entries of 1,024 bytes.
const MIN_UPDATE_LIMIT_BYTES: usize = 4096 * 1024;

/// Returns the maximum size of an update in bytes for a process with a memory limit of `memory_limit` bytes.
pub fn max_update_bytes(memory_limit: usize) -> usize {
    (memory_limit / MEMORY_LIMIT_DIVISOR).clamp(MIN_UPDATE_LIMIT_BYTES, MAX_UPDATE_BYTES)
}
