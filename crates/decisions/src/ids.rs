//! Identifiers and the unit of time that are common to settings, events and actions.

/// Nanoseconds: a timestamp of the caller's clock, or a duration. The clock is monotonic and its origin is arbitrary,
/// but all timestamps, including [`crate::Endpoint::started_at`], must be on the same clock.
pub type Nanos = u64;

/// Identifies a query or a part. Ids are never reused.
pub type RequestId = u64;

/// Identifies a replica, which is a leaf server that holds shards. The caller assigns the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);
