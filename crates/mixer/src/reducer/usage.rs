//! Usage records, which the ledger counts: one for each query that ended.

use cottonhill_decisions::Nanos;
use xxhash_rust::xxh3::Xxh3;

/// Joins a query with its client's retries of it: the same at every mixer and in every run, so that a retry at another
/// mixer is recognised. Odd if it comes from the client's idempotency key; 0 stands for no key.
pub type DeduplicationKey = u64;

/// The key of a query that has an idempotency key of its client's.
pub fn key_from_idempotency_key(class: &str, key: &str) -> DeduplicationKey {
    let mut hash = hash_class(class);
    hash.update(key.as_bytes());
    hash.digest() | 1
}

/// The key of a query by its content: the class, the parts (shard and weight) in any order, and the text.
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

/// Whether a key comes from a client's idempotency key.
pub fn is_client_key(key: DeduplicationKey) -> bool {
    key & 1 != 0
}

fn hash_class(class: &str) -> Xxh3 {
    let mut hash = Xxh3::new();
    hash.update(class.as_bytes());
    hash.update(&[0]);
    hash
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered from parts whose weight reaches the class's completeness threshold.
    Complete,
    /// Answered from parts with this share of the weight, in millionths.
    Partial(u32),
    /// Rejected, with a Retry-After if one is known.
    Rejected,
    /// Neither answered nor rejected in time.
    Failed,
    /// The client disconnected before the reply.
    ClientDisconnected,
}

/// One query that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageRecord {
    /// Numbers the records of this process from 1, without a gap.
    pub sequence: u64,
    /// The tenant's index in the settings.
    pub tenant: u32,
    /// The class's index in the settings.
    pub class: u16,
    /// When the request arrived, in Unix nanoseconds by this mixer's clock; not before any watermark recorded earlier.
    pub arrived_at: Nanos,
    /// How it ended for its client.
    pub outcome: QueryOutcome,
    /// Number of parts requested.
    pub parts: u32,
    /// Number of attempts at the parts, retries and hedged requests included.
    pub attempts: u32,
    /// Of the attempts, those to replicas in other zones.
    pub cross_zone_attempts: u32,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// Joins it with its client's retries.
    pub key: DeduplicationKey,
    /// The key comes from the client's idempotency key.
    pub key_from_client: bool,
}

/// Up to when the records are complete: all queries that arrived before `complete_until` have ended and are recorded
/// with numbers up to `sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The number of the last record before the watermark.
    pub sequence: u64,
    /// Unix nanoseconds by this mixer's clock.
    pub complete_until: Nanos,
    /// No record follows, since the process exits.
    pub last: bool,
}
