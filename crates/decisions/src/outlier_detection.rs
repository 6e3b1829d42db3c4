//! Outlier detection: identifies the replicas that receive parts only as a last resort.
//!
//! A replica that fails to respond is ejected for a time that doubles with each consecutive ejection. An ejected
//! replica is not excluded: it still receives a part if no other holder of the shard can. After the ejection time it is
//! on probation: it receives one call, and is a last resort again while that call is in flight.
//!
//! Any of these counts as a response: an answer, an error, a rejection, the start of a streamed response or a
//! successful probe. A replica with parts in flight is unresponsive since its last response, or since the oldest of
//! these parts was sent if that was later.

use crate::batch::Batch;
use crate::hedging::hedge_delay;
use crate::latency_estimates::LatencyEstimates;
use crate::replica_set::EndedAttempt;
use crate::tables::replica_table::{ConnectionKind, Replica, ReplicaTable, Slot};
use crate::{Nanos, Outcome};

/// Duration of the first ejection, in multiples of the shortest latency objective. It doubles with each further
/// consecutive ejection.
const BASE_EJECTION_TIME_IN_OBJECTIVES: f64 = 0.5;
/// Maximum duration of an ejection, in multiples of the shortest latency objective.
const MAX_EJECTION_TIME_IN_OBJECTIVES: f64 = 4.0;
/// Maximum number of doublings of the ejection time, to avoid overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Duration for which a replica is assumed to be at capacity after it rejected a part, in multiples of the shortest
/// latency objective.
const AT_CAPACITY_OBJECTIVES: f64 = 0.125;

/// End of the time for which a replica that rejects a part now is assumed to be at capacity.
pub fn at_capacity_until(batch: &Batch) -> Nanos {
    batch.now + (AT_CAPACITY_OBJECTIVES * batch.timing.shortest_objective) as Nanos
}

/// Whether the end of an attempt counts as a failure of the replica. A cancelled attempt counts if it was in flight for
/// longer than the hedging delay and the replica has not responded since it was sent.
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
                && replica.stats().last_response_at <= attempt.sent_at
        }
        _ => true,
    }
}

/// Records a response of a replica, which ends its suspicion and ejection. Returns the kinds of connection of the
/// attempts that were lost since its previous response.
pub fn record_response(batch: &Batch, table: &mut ReplicaTable, slot: Slot) -> Vec<ConnectionKind> {
    table.set_suspected(slot, false);
    let stats = table.stats_mut(slot);
    stats.last_response_at = batch.now;
    stats.ejected_until = 0;
    stats.consecutive_ejections = 0;
    std::mem::take(&mut stats.lost_connections)
}

/// Ejects a replica that received a part or probe at `sent_at`, unless it has responded since then or is already
/// ejected. Returns whether it was ejected.
pub fn eject_if_unresponsive_since(
    batch: &Batch,
    table: &mut ReplicaTable,
    slot: Slot,
    sent_at: Nanos,
) -> bool {
    let objective = batch.timing.shortest_objective;
    let stats = table.stats_mut(slot);
    if stats.last_response_at > sent_at || batch.now < stats.ejected_until {
        return false;
    }
    let doublings = stats.consecutive_ejections.min(MAX_DOUBLINGS);
    let ejection_time = BASE_EJECTION_TIME_IN_OBJECTIVES * objective * f64::from(1u32 << doublings);
    let max_ejection_time = MAX_EJECTION_TIME_IN_OBJECTIVES * objective;
    stats.consecutive_ejections += 1;
    stats.ejected_until = batch.now + ejection_time.min(max_ejection_time) as Nanos;
    table.set_suspected(slot, true);
    true
}

/// Whether the replica receives parts only as a last resort: it is unresponsive for longer than the hedging delay,
/// ejected, on probation with a call in flight, or at capacity.
pub fn is_outlier(batch: &Batch, latencies: &LatencyEstimates, replica: &Replica) -> bool {
    let unresponsive_for = replica.unresponsive_for(batch.now) as f64;
    let unresponsive = unresponsive_for > hedge_delay(latencies, batch.timing.shortest_objective);
    let stats = replica.stats();
    let ejected_or_on_probation =
        batch.now < stats.ejected_until || !stats.parts_in_flight().is_empty();
    let at_capacity = batch.now < stats.at_capacity_until;
    unresponsive || replica.suspected() && ejected_or_on_probation || at_capacity
}
