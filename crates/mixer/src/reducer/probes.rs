//! The open probes: those that have not ended.

use super::input::ConnectionId;
use cottonhill_decisions::{Nanos, ReplicaId};
use std::collections::BTreeMap;

/// Identifies a probe. Ids are not reused.
pub type ProbeId = u64;

/// An open probe.
#[derive(Debug)]
pub(super) struct Probe {
    /// The replica that is probed.
    pub(super) replica: ReplicaId,
    /// The connection that the probe is sent on.
    pub(super) connection: ConnectionId,
    /// When the probe was queued; its latency and its timeout are measured from this time.
    pub(super) queued_at: Nanos,
}

/// The open probes by id.
pub(super) type Probes = BTreeMap<ProbeId, Probe>;
