//! Usage records, as the ledger counts them: one for each query that ended.

use cottonhill_decisions::Nanos;
use xxhash_rust::xxh3::Xxh3;

/// The key that joins the tries of one use: the same at every mixer and in every run, so that a retry at another mixer
/// is recognised. Odd if the client gave it; 0 is no key.
pub type DeduplicationKey = u64;

/// The key of a use for which the client gave an idempotency key.
pub fn key_of_client(class: &str, key: &str) -> DeduplicationKey {
    let mut hash = hash_of(class);
    hash.update(key.as_bytes());
    hash.digest() | 1
}

/// The key of a use by the content of its query: the class, the parts (shard and weight) in any order, and the text.
pub fn key_of_query(
    class: &str,
    parts: impl Iterator<Item = (u32, f64)>,
    text: &[u8],
) -> DeduplicationKey {
    let mut parts: Vec<_> = parts
        .map(|(shard, weight)| (shard, weight.to_bits()))
        .collect();
    parts.sort_unstable();
    let mut hash = hash_of(class);
    for (shard, weight) in parts {
        hash.update(&shard.to_le_bytes());
        hash.update(&weight.to_le_bytes());
    }
    hash.update(text);
    // Even, and never 0.
    hash.digest() & !1 | 2
}

/// Whether a key is one that the client gave.
pub fn is_client_key(key: DeduplicationKey) -> bool {
    key & 1 != 0
}

fn hash_of(class: &str) -> Xxh3 {
    let mut hash = Xxh3::new();
    hash.update(class.as_bytes());
    hash.update(&[0]);
    hash
}

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryOutcome {
    /// Answered from all parts.
    Complete,
    /// Answered from parts with this share of the weight, in millionths.
    Partial(u32),
    /// Refused, with advice to come back.
    Rejected,
    /// Neither answered nor refused in time.
    Failed,
    /// The client left before the answer.
    ClientDisconnected,
}

/// One query that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageRecord {
    /// Counts from 1 over the records of this run, without a gap.
    pub sequence: u64,
    /// The tenant's index in the settings.
    pub tenant: u32,
    /// The class's index in the settings.
    pub class: u16,
    /// Unix nanoseconds by this mixer's clock; never before what a mark has said to be complete.
    pub arrived: Nanos,
    /// How it ended for its client.
    pub outcome: QueryOutcome,
    /// Parts that the query asked for.
    pub parts: u32,
    /// Attempts at them, with repeats.
    pub attempts: u32,
    /// Of the attempts, those to replicas in other zones.
    pub cross_zone_attempts: u32,
    /// The client marked it as a repeat of an earlier try.
    pub client_retry: bool,
    /// Joins it with other tries of the same use.
    pub key: DeduplicationKey,
    /// The key is one that the client gave.
    pub key_from_client: bool,
}

/// Every query that arrived before `complete` and has ended is recorded with a sequence up to `sequence`, and none
/// that arrived before it will follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    /// The last sequence number that it covers.
    pub sequence: u64,
    /// Unix nanoseconds by this mixer's clock.
    pub complete_until: Nanos,
    /// No record follows: the mixer ends.
    pub last: bool,
}
