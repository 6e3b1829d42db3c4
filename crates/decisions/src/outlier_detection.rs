//! Outlier detection: which replicas are tried last.
//!
//! A replica that fails to respond is ejected for a while, longer each time in a row. An ejected replica is tried last,
//! not excluded: it still gets a part that no other holder may get. After the ejection it is on probation: it gets one
//! call, and is tried last again while that is in flight.
//!
//! Any response counts: an answer, an error, a rejection, the start of a streamed response or a successful probe. A
//! replica with parts in flight is silent since its last response, or since the oldest of these parts was sent if that
//! was later.

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
const AT_CAPACITY_OBJECTIVES: f64 = 0.125;

/// Until when a replica that rejects a part now is held to be at its capacity.
pub fn at_capacity_until(batch: &Batch) -> Nanos {
    batch.now + (AT_CAPACITY_OBJECTIVES * batch.timing.shortest_objective) as Nanos
}

/// Whether the end of an attempt counts as a failure of the replica. A cancelled one does if it was in flight
/// for longer than the hedging delay and the replica has not responded since it was sent.
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

/// Records that a replica has responded: it is no longer suspected or ejected. Returns the connections of the attempts
/// that were lost since its last response.
pub fn record_response(batch: &Batch, table: &mut ReplicaTable, slot: Slot) -> Vec<ConnectionKind> {
    table.set_suspected(slot, false);
    let stats = table.stats_mut(slot);
    stats.last_response_at = batch.now;
    stats.ejected_until = 0;
    stats.consecutive_ejections = 0;
    std::mem::take(&mut stats.lost_connections)
}

/// Ejects a replica that was sent a part or probe at `sent_at`, unless it has responded since or is ejected already.
/// Returns whether it was ejected.
pub fn eject_if_silent_since(
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
    let ejection_time = BASE_EJECTION_OBJECTIVES * objective * f64::from(1u32 << doublings);
    let max_ejection_time = MAX_EJECTION_OBJECTIVES * objective;
    stats.consecutive_ejections += 1;
    stats.ejected_until = batch.now + ejection_time.min(max_ejection_time) as Nanos;
    table.set_suspected(slot, true);
    true
}

/// Whether the replica is tried last: it is silent for longer than the hedging delay, ejected, on probation with a call
/// in flight, or at its capacity.
pub fn is_outlier(batch: &Batch, latencies: &LatencyEstimates, replica: &Replica) -> bool {
    let silent_for = replica.silent_for(batch.now) as f64;
    let silent = silent_for > hedge_delay(latencies, batch.timing.shortest_objective);
    let stats = replica.stats();
    let ejected_or_on_probation =
        batch.now < stats.ejected_until || !stats.parts_in_flight().is_empty();
    let at_capacity = batch.now < stats.at_capacity_until;
    silent || replica.suspected() && ejected_or_on_probation || at_capacity
}
