//! Identifiers and the unit of time that settings, events and actions share.

/// Nanoseconds: a point on the caller's clock, or a duration. The clock may start anywhere and never runs backwards.
pub type Nanos = u64;

/// Identifies a query or a part. No id is ever used twice.
pub type RequestId = u64;

/// Identifies a replica: a leaf server that holds shards. Its owner chooses the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);
