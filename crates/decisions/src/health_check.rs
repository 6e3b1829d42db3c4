//! Active health checks: while many replicas are suspected, idle replicas are probed, so that failed ones are found at
//! once rather than each by a query that it delays.

use crate::batch::Batch;
use crate::tables::replica_table::{Replica, ReplicaTable};
use crate::{Action, Nanos, ReplicaId};

/// Fraction of the ready replicas that must be suspected for idle replicas to be probed.
const MIN_SUSPECTED_FRACTION: f64 = 0.1;

/// When to probe replicas.
#[derive(Debug, Default)]
pub struct HealthCheck {
    /// A replica was ejected since probes were last considered.
    newly_ejected: bool,
    last_probed_at: Nanos,
}

impl HealthCheck {
    /// A replica was ejected.
    pub fn record_ejection(&mut self, batch: &mut Batch, replica: ReplicaId) {
        if !self.newly_ejected {
            let line = format!("replica {:x} suspected and ejected: no response", replica.0);
            batch.log_lines.push(line);
        }
        self.newly_ejected = true;
    }

    /// Probes the idle replicas, if many are suspected and the last probes were long enough ago.
    pub fn probe_idle_replicas(&mut self, batch: &mut Batch, table: &ReplicaTable) {
        let too_early = batch.age_in_fade_times(self.last_probed_at) < 1.0;
        if !batch.settings.probing_enabled || too_early || !self.newly_ejected {
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

/// Whether nothing is in flight at the replica, and it neither responded nor ended an attempt within the shortest
/// latency objective.
fn is_idle(batch: &Batch, replica: &Replica) -> bool {
    let stats = replica.stats();
    let last_activity_at = stats.last_response_at.max(stats.latency_updated_at);
    let idle_for = batch.now.saturating_sub(last_activity_at) as f64;
    stats.parts_in_flight().is_empty() && idle_for > batch.timing.shortest_objective
}
