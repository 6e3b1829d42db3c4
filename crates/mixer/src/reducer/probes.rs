//! The probes that have not ended.

use super::input::ConnectionId;
use cottonhill_decisions::{Nanos, ReplicaId};
use std::collections::BTreeMap;

/// Identifies a probe. No id is ever used twice.
pub type ProbeId = u64;

/// A probe that has not ended.
#[derive(Debug)]
pub(super) struct Probe {
    /// The replica that is probed.
    pub(super) replica: ReplicaId,
    /// The connection that the probe is sent on.
    pub(super) connection: ConnectionId,
    /// When the probe was queued; its latency and its timeout count from here.
    pub(super) queued_at: Nanos,
}

/// The probes that have not ended, by id.
pub(super) type Probes = BTreeMap<ProbeId, Probe>;
