//! Replica choice: selects the holder of a shard that receives a part.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::outlier_detection::is_outlier;
use crate::slow_start::SlowStart;
use crate::tables::query_table::Part;
use crate::tables::replica_table::{Replica, ReplicaTable, Slot};

/// Penalty on the expected delay of a replica in another zone at a cross-zone cost of 1, in multiples of the shortest
/// latency objective.
const CROSS_ZONE_PENALTY_IN_OBJECTIVES: f64 = 4.0;

/// Sort key of the candidate replicas for a part, compared field by field. The replica with the lowest key is chosen.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Preference {
    /// Outliers rank after all other replicas. Among both, replicas that an attempt of the part was sent to rank after
    /// those without one.
    rank: u32,
    /// Latency times the calls in flight including the new one, plus the penalty for another zone, ns.
    expected_delay: f64,
    /// False for replicas that already receive parts in this batch, which are preferred: the parts may share a call.
    needs_new_call: bool,
    /// Random value that decides between otherwise equal replicas.
    tie_breaker: u32,
}

/// Selects the holder of the part's shard that receives the part; `None` if no holder can.
pub fn choose_replica(
    batch: &mut Batch,
    table: &mut ReplicaTable,
    latencies: &LatencyEstimates,
    slow_start: &SlowStart,
    part: &Part,
) -> Option<Slot> {
    slow_start.refresh_jitter(batch, table, part.shard);
    let mut best: Option<(Preference, Slot)> = None;
    for slot in table.holders(part.shard).iter().copied() {
        let replica = table.replica(slot);
        let may_send =
            replica.is_ready() && slow_start.has_capacity(batch, table, latencies, replica);
        if !may_send || part.is_in_flight_at(replica.id()) {
            continue;
        }
        let already_attempted = part.was_sent_to(replica.id());
        let outlier = is_outlier(batch, latencies, replica);
        let preference = Preference {
            rank: 2 * u32::from(outlier) + u32::from(already_attempted),
            expected_delay: expected_delay(batch, table, latencies, replica),
            needs_new_call: !replica.was_sent_part_at(batch.now),
            tie_breaker: batch.random.u32(..),
        };
        if best.is_none_or(|(best_preference, _)| preference < best_preference) {
            best = Some((preference, slot));
        }
    }
    best.map(|(_, slot)| slot)
}

fn expected_delay(
    batch: &Batch,
    table: &ReplicaTable,
    latencies: &LatencyEstimates,
    replica: &Replica,
) -> f64 {
    let in_other_zone = replica.zone() != batch.settings.zone;
    let cross_zone_cost = batch.settings.cross_zone_cost * f64::from(u8::from(in_other_zone));
    let calls = table.calls_in_flight(replica, batch.now) + 1;
    let queueing = latencies.latency(batch, replica) * f64::from(calls);
    queueing + CROSS_ZONE_PENALTY_IN_OBJECTIVES * cross_zone_cost * batch.timing.shortest_objective
}
