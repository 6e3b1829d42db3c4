//! Usage records for the ledger: one for each query that has ended.

use cottonhill_decisions::Nanos;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a query and its client's retries of it. The same at every mixer and in every process, so that a retry at
/// another mixer is recognised. Odd if derived from the client's idempotency key; 0 means no key.
pub type DeduplicationKey = u64;

/// The deduplication key of a query with an idempotency key.
pub fn key_from_idempotency_key(class: &str, key: &str) -> DeduplicationKey {
    let mut hash = hash_class(class);
    hash.update(key.as_bytes());
    hash.digest() | 1
}

/// The deduplication key of a query without an idempotency key: a hash of its class, its parts (shard and weight) in
/// any order, and its text.
pub fn key_from_content(
    class: &str,
    parts: impl Iterator<Item = (u32, f64)>,
    text: &[u8],
) -> DeduplicationKey {
    let mut parts: Vec<_> = parts
        .map(|(shard, weight)| (shard, weight.to_bits()))
        .collect();
    parts.sort_unstable();
    let mut hash = hash_class(class);
    for (shard, weight) in parts {
        hash.update(&shard.to_le_bytes());
        hash.update(&weight.to_le_bytes());
    }
    hash.update(text);
    // Even, and never 0.
    hash.digest() & !1 | 2
}

/// Whether a key is derived from a client's idempotency key.
pub fn is_client_key(key: DeduplicationKey) -> bool {
    key & 1 != 0
}

fn hash_class(class: &str) -> Xxh3 {
    let mut hash = Xxh3::new();
    hash.update(class.as_bytes());
    hash.update(&[0]);
    hash
}

/// The outcome of a query for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered from parts whose weight reaches the class's completeness threshold.
    Complete,
    /// Answered from parts with this fraction of the weight, in millionths.
    Partial(u32),
    /// Rejected, with a `Retry-After` if one is configured.
    Rejected,
    /// Neither answered nor rejected in time.
    Failed,
    /// The client disconnected before the reply.
    ClientDisconnected,
}

/// The usage of a query that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageRecord {
    /// The number of the record in this process: from 1, without gaps.
    pub sequence: u64,
    /// The tenant's index in the settings.
    pub tenant: u32,
    /// The class's index in the settings.
    pub class: u16,
    /// When the request arrived, in Unix nanoseconds by this mixer's clock; not before an earlier watermark.
    pub arrived_at: Nanos,
    /// The outcome for its client.
    pub outcome: QueryOutcome,
    /// Number of parts requested.
    pub parts: u32,
    /// Number of attempts at the parts, retries and hedged requests included.
    pub attempts: u32,
    /// Number of attempts at replicas in other zones.
    pub cross_zone_attempts: u32,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// Identifies the query and its client's retries of it.
    pub key: DeduplicationKey,
    /// The key is derived from the client's idempotency key.
    pub key_from_client: bool,
}

/// States that the records are complete up to a time: all queries that arrived before `complete_until` have ended and
/// are recorded with sequence numbers up to `sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The sequence number of the last record before the watermark.
    pub sequence: u64,
    /// Unix nanoseconds by this mixer's clock.
    pub complete_until: Nanos,
    /// No record follows, because the process exits.
    pub last: bool,
}
