//! Outlier detection: replicas that are silent are ejected for a while, longer each time, and then get one call until
//! they answer.

use crate::batch::Batch;
use crate::hedging::hedge_delay;
use crate::latency_estimates::LatencyEstimates;
use crate::replica_set::EndedAttempt;
use crate::tables::replica_table::{ConnectionKind, Replica, ReplicaTable, Slot};
use crate::{Nanos, Outcome};

/// First ejection time, in shortest latency objectives; each further one in a row is twice as long.
const BASE_EJECTION_OBJECTIVES: f64 = 0.5;
/// Longest ejection time, in shortest latency objectives.
const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Most times that the ejection time doubles, against overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Time for which a replica that rejected a part is held to be at its capacity, in shortest latency objectives.
const FULL_OBJECTIVES: f64 = 0.125;

/// Until when a replica that rejects a part now is held to be at its capacity.
pub fn full_until(batch: &Batch) -> Nanos {
    batch.now + (FULL_OBJECTIVES * batch.timing.shortest_objective) as Nanos
}

/// Whether the end of an attempt counts as a failure of the replica. A cancelled one does if the replica has been
/// silent since it was sent, for longer than a hedged request is waited for.
pub fn is_failure(
    batch: &Batch,
    latencies: &LatencyEstimates,
    replica: &Replica,
    attempt: &EndedAttempt,
) -> bool {
    match attempt.outcome {
        Outcome::Ok | Outcome::NotSent => false,
        Outcome::Cancelled => {
            let age = (batch.now - attempt.sent_at) as f64;
            age > hedge_delay(latencies, batch.timing.shortest_objective)
                && replica.stats().last_alive_at <= attempt.sent_at
        }
        _ => true,
    }
}

/// Records a sign of life: the replica is no longer suspected or ejected. Returns the connections of the attempts that
/// were lost since the last one.
pub fn record_alive(batch: &Batch, table: &mut ReplicaTable, slot: Slot) -> Vec<ConnectionKind> {
    table.set_suspected(slot, false);
    let stats = table.stats_mut(slot);
    stats.last_alive_at = batch.now;
    stats.ejected_until = 0;
    stats.consecutive_ejections = 0;
    std::mem::take(&mut stats.lost_connections)
}

/// Ejects a replica that failed to respond to what was sent at `sent_at`, unless it has given a sign of life since or
/// is ejected already. Whether it was ejected.
pub fn eject_silent(batch: &Batch, table: &mut ReplicaTable, slot: Slot, sent_at: Nanos) -> bool {
    let objective = batch.timing.shortest_objective;
    let stats = table.stats_mut(slot);
    if stats.last_alive_at > sent_at || batch.now < stats.ejected_until {
        return false;
    }
    let doublings = stats.consecutive_ejections.min(MAX_DOUBLINGS);
    let ejection_time = BASE_EJECTION_OBJECTIVES * objective * f64::from(1u32 << doublings);
    let max_ejection_time = MAX_EJECTION_OBJECTIVES * objective;
    stats.consecutive_ejections += 1;
    stats.ejected_until = batch.now + ejection_time.min(max_ejection_time) as Nanos;
    table.set_suspected(slot, true);
    true
}

/// Whether other replicas are preferred: it is silent, ejected, still to answer its first call after an ejection, or at
/// its capacity.
pub fn is_outlier(batch: &Batch, latencies: &LatencyEstimates, replica: &Replica) -> bool {
    let silent_for = replica.silent_for(batch.now) as f64;
    let silent = silent_for > hedge_delay(latencies, batch.timing.shortest_objective);
    let stats = replica.stats();
    let ejected_or_on_trial = batch.now < stats.ejected_until || !stats.open().is_empty();
    let at_capacity = batch.now < stats.full_until;
    silent || replica.suspected() && ejected_or_on_trial || at_capacity
}
