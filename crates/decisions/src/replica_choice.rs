//! Replica choice: which holder of a shard gets a part.

use crate::batch::Batch;
use crate::latency_estimates::LatencyEstimates;
use crate::outlier_detection::is_outlier;
use crate::slow_start::SlowStart;
use crate::tables::query_table::Part;
use crate::tables::replica_table::{Replica, ReplicaTable, Slot};

/// Latency that a send to another zone adds for comparison, in shortest latency objectives at a cross-zone cost of 1.
const CROSS_ZONE_OBJECTIVES: f64 = 4.0;

/// The order in which replicas are preferred for a part, by the fields in turn; the least is chosen.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Preference {
    /// Outliers come last, and replicas that the part was sent to before come after others.
    rank: u32,
    /// Latency times calls in flight, plus what a send to another zone counts for, ns.
    expected_delay: f64,
    /// Replicas that are sent parts in this batch already come first: the parts may share a call.
    no_shared_call: bool,
    /// Chooses among equals.
    tie_breaker: u32,
}

/// Chooses the holder of the part's shard that gets it; `None` if none may.
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
        let already_tried = part.was_sent_to(replica.id());
        let outlier = is_outlier(batch, latencies, replica);
        let preference = Preference {
            rank: 2 * u32::from(outlier) + u32::from(already_tried),
            expected_delay: expected_delay(batch, table, latencies, replica),
            no_shared_call: !replica.was_sent_part_at(batch.now),
            tie_breaker: batch.random.u32(..),
        };
        if best.is_none_or(|(least, _)| preference < least) {
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
    queueing + CROSS_ZONE_OBJECTIVES * cross_zone_cost * batch.timing.shortest_objective
}
