//! Active health checks: while many replicas are suspected, idle replicas are probed, so that failed replicas are
//! detected by probes instead of by queries that they delay.

use crate::batch::Batch;
use crate::tables::replica_table::{Replica, ReplicaTable};
use crate::{Action, Nanos, ReplicaId};

/// Minimum fraction of the ready replicas that are suspected for idle replicas to be probed.
const MIN_SUSPECTED_FRACTION: f64 = 0.1;

/// The state that decides when idle replicas are probed.
#[derive(Debug, Default)]
pub struct HealthCheck {
    /// Whether a replica was ejected since the last check for probes.
    newly_ejected: bool,
    last_probed_at: Nanos,
}

impl HealthCheck {
    /// Records the ejection of a replica. Only the first ejection since the last check for probes is logged.
    pub fn record_ejection(&mut self, batch: &mut Batch, replica: ReplicaId) {
        if !self.newly_ejected {
            let line = format!(
                "replica {:x} suspected and ejected: attempt or probe overdue, or its connection failed",
                replica.0
            );
            batch.log_lines.push(line);
        }
        self.newly_ejected = true;
    }

    /// Probes the idle replicas if many replicas are suspected and the last probes were at least
    /// [`crate::timing::Timing::decay_time`] ago.
    pub fn probe_idle_replicas(&mut self, batch: &mut Batch, table: &ReplicaTable) {
        let probed_recently = batch.age_in_decay_times(self.last_probed_at) < 1.0;
        if !batch.settings.probing_enabled || probed_recently || !self.newly_ejected {
            return;
        }
        self.newly_ejected = false;
        let suspected = table.suspected_ready_count() as f64;
        if suspected < MIN_SUSPECTED_FRACTION * table.ready_count() as f64 {
            return;
        }
        for slot in table.ready_slots() {
            let replica = table.replica(slot);
            if is_idle(batch, replica) {
                batch.actions.push(Action::Probe {
                    replica: replica.id(),
                });
            }
        }
        self.last_probed_at = batch.now;
    }
}

/// Whether no part is in flight at the replica, and no response or end of an attempt was recorded for it within the
/// shortest latency objective.
fn is_idle(batch: &Batch, replica: &Replica) -> bool {
    let stats = replica.stats();
    let last_activity_at = stats.last_response_at.max(stats.latency_updated_at);
    let idle_for = batch.now.saturating_sub(last_activity_at) as f64;
    stats.parts_in_flight().is_empty() && idle_for > batch.timing.shortest_objective
}
