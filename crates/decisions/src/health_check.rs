//! Active health checks: while many replicas are suspected, replicas without news are probed, or queries would find the
//! failed ones one by one.

use crate::batch::Batch;
use crate::tables::replica_table::{Replica, ReplicaTable};
use crate::{Action, Nanos, ReplicaId};

/// Fraction of the ready replicas that are suspected from which on the others are probed.
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

    /// Probes the replicas without recent news, if many are suspected and the last probes were long enough ago.
    pub fn probe_quiet_replicas(&mut self, batch: &mut Batch, table: &ReplicaTable) {
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
            if is_quiet(batch, replica) {
                batch.actions.push(Action::Probe {
                    replica: replica.id(),
                });
            }
        }
        self.last_probed_at = batch.now;
    }
}

/// Whether nothing is in flight at the replica and there is no news of it within the shortest latency objective.
fn is_quiet(batch: &Batch, replica: &Replica) -> bool {
    let stats = replica.stats();
    let last_news_at = stats.last_alive_at.max(stats.latency_updated_at);
    let news_age = batch.now.saturating_sub(last_news_at) as f64;
    stats.open().is_empty() && news_age > batch.timing.shortest_objective
}
