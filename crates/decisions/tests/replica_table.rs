//! Compares the replica table with a full scan of all replicas, and checks the number of entries that it visits.

use cottonhill_decisions::replica_table::{Replica, ReplicaTable, Slot};
use cottonhill_decisions::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// Retention time of a removed replica after its last observation, ns.
const RETENTION: Nanos = 50;
const REPLICAS: u64 = 8;
const PARTS_PER_CALL: u32 = 2;
/// The latency that steps record.
const LATENCY: f64 = 1.5;

/// The reference implementation, in which every lookup scans all replicas.
#[derive(Default)]
struct FullScan {
    cells: u32,
    replication_factor: u32,
    replicas: BTreeMap<ReplicaId, ExpectedReplica>,
}

#[derive(Debug, Default, PartialEq)]
struct ExpectedReplica {
    cell: u16,
    zone: u16,
    started_at: Nanos,
    status: EndpointStatus,
    suspected: bool,
    last_observed: Nanos,
    latency: Option<f64>,
    /// Number of parts in flight by the time when they were sent.
    parts_in_flight: BTreeMap<Nanos, u32>,
}

/// Number of parts in flight at a replica, and number of calls in flight that cannot include another part sent now.
type InFlight = (u32, u32);

impl FullScan {
    fn update(&mut self, endpoints: &[Endpoint], snapshot: bool) {
        if snapshot {
            self.mark_missing_as_removed(endpoints);
        }
        for endpoint in endpoints {
            let new = ExpectedReplica {
                started_at: endpoint.started_at,
                ..ExpectedReplica::default()
            };
            let replica = self.replicas.entry(endpoint.replica).or_insert(new);
            replica.cell = endpoint.cell;
            replica.zone = endpoint.zone;
            replica.status = endpoint.status;
            if endpoint.status == EndpointStatus::Ready && replica.started_at != endpoint.started_at
            {
                replica.started_at = endpoint.started_at;
                replica.suspected = false;
                replica.latency = None;
            }
        }
    }

    fn mark_missing_as_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ReplicaId> = endpoints.iter().map(|e| e.replica).collect();
        for (id, replica) in &mut self.replicas {
            if !listed.contains(id) {
                replica.status = EndpointStatus::Removed;
            }
        }
    }

    /// Evicts removed replicas without parts in flight that were last observed at `until` or before.
    fn evict_removed(&mut self, until: Nanos) {
        self.replicas.retain(|_, replica| {
            replica.status != EndpointStatus::Removed
                || !replica.parts_in_flight.is_empty()
                || replica.last_observed > until
        });
    }

    fn holders(&self, shard: u32) -> Vec<ReplicaId> {
        let holds_shard = |cell: u16| {
            let cells_after_shard =
                (u32::from(cell) + self.cells - shard % self.cells) % self.cells;
            cells_after_shard < self.replication_factor
        };
        self.replicas
            .iter()
            .filter(|(_, replica)| holds_shard(replica.cell))
            .map(|(id, _)| *id)
            .collect()
    }

    fn in_flight(&self, id: ReplicaId, now: Nanos) -> InFlight {
        let Some(replica) = self.replicas.get(&id) else {
            return (0, 0);
        };
        let full_calls = |(sent, parts): (&Nanos, &u32)| {
            if *sent == now {
                parts / PARTS_PER_CALL
            } else {
                parts.div_ceil(PARTS_PER_CALL)
            }
        };
        (
            replica.parts_in_flight.values().sum(),
            replica.parts_in_flight.iter().map(full_calls).sum(),
        )
    }

    fn ready(&self) -> Vec<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.status == EndpointStatus::Ready)
            .map(|(id, _)| *id)
            .collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceTime(Nanos),
    UpdateEndpoints {
        endpoints: Vec<Endpoint>,
        snapshot: bool,
    },
    SendPart(ReplicaId),
    /// Ends the oldest part in flight at a replica.
    EndPart(ReplicaId),
    RecordLatency(ReplicaId),
    SetSuspected(ReplicaId, bool),
}

fn any_endpoint() -> impl Strategy<Value = Endpoint> {
    let cell = prop_oneof![8 => 0u16..10, 1 => 0..=u16::MAX];
    let status = prop_oneof![
        2 => Just(EndpointStatus::Ready),
        1 => Just(EndpointStatus::Draining),
        1 => Just(EndpointStatus::Removed),
    ];
    (1..=REPLICAS, cell, 0u16..3, 0u64..3, status).prop_map(
        |(replica, cell, zone, started_at, status)| Endpoint {
            replica: ReplicaId(replica),
            cell,
            zone,
            started_at,
            status,
        },
    )
}

fn any_step() -> impl Strategy<Value = Step> {
    let duration = prop_oneof![Just(0u64), 1u64..30, Just(RETENTION)];
    let replica = (1..=REPLICAS).prop_map(ReplicaId);
    let update = |max_entries, snapshot| {
        prop::collection::vec(any_endpoint(), 0..max_entries).prop_map(move |endpoints| {
            Step::UpdateEndpoints {
                endpoints,
                snapshot,
            }
        })
    };
    prop_oneof![
        2 => duration.prop_map(Step::AdvanceTime),
        2 => update(4, false),
        1 => update(16, true),
        2 => replica.clone().prop_map(Step::SendPart),
        2 => replica.clone().prop_map(Step::EndPart),
        1 => replica.clone().prop_map(Step::RecordLatency),
        1 => (replica, any::<bool>()).prop_map(|(id, suspected)| Step::SetSuspected(id, suspected)),
    ]
}

/// Number of cells and replication factor. Includes few cells, more cells than the endpoints use, and replication
/// factors above the number of cells.
fn any_layout() -> impl Strategy<Value = (u32, u32)> {
    prop_oneof![
        4 => (1u32..8, 0u32..10),
        1 => (Just(100_000u32), prop_oneof![0u32..4, Just(99_000u32), Just(200_000)]),
    ]
}

/// The table and the reference implementation, to which the same steps are applied.
struct Comparison {
    now: Nanos,
    table: ReplicaTable,
    reference: FullScan,
}

impl Comparison {
    fn new(cells: u32, replication_factor: u32) -> Comparison {
        Comparison {
            now: RETENTION + 1,
            table: ReplicaTable::new(cells, replication_factor, PARTS_PER_CALL),
            reference: FullScan {
                cells,
                replication_factor,
                ..FullScan::default()
            },
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceTime(duration) => self.now += duration,
            Step::UpdateEndpoints {
                endpoints,
                snapshot,
            } => self.update(&endpoints, snapshot),
            Step::SendPart(id) => self.send_part(id),
            Step::EndPart(id) => self.end_part(id),
            Step::RecordLatency(id) => self.record_latency(id),
            Step::SetSuspected(id, suspected) => self.set_suspected(id, suspected),
        }
    }

    fn update(&mut self, endpoints: &[Endpoint], snapshot: bool) {
        let evict_until = self.now.saturating_sub(RETENTION);
        self.table.apply_update(endpoints, snapshot);
        self.reference.update(endpoints, snapshot);
        self.table.evict_removed(evict_until);
        self.reference.evict_removed(evict_until);
    }

    fn expected(&mut self, id: ReplicaId) -> &mut ExpectedReplica {
        self.reference
            .replicas
            .get_mut(&id)
            .expect("the replica is in the reference implementation")
    }

    fn send_part(&mut self, id: ReplicaId) {
        let slot = self.table.slot(id);
        let Some(slot) = slot.filter(|slot| self.table.replica(*slot).is_ready()) else {
            return;
        };
        let now = self.now;
        self.table.add_part_in_flight(slot, now);
        *self.expected(id).parts_in_flight.entry(now).or_default() += 1;
    }

    fn end_part(&mut self, id: ReplicaId) {
        let Some(expected) = self.reference.replicas.get_mut(&id) else {
            return;
        };
        let Some((sent, parts)) = expected.parts_in_flight.pop_first() else {
            return;
        };
        if parts > 1 {
            expected.parts_in_flight.insert(sent, parts - 1);
        }
        let slot = self
            .table
            .slot(id)
            .expect("the replica is in the reference implementation");
        self.table.remove_part_in_flight(slot, sent);
    }

    fn record_latency(&mut self, id: ReplicaId) {
        let Some(slot) = self.table.slot(id) else {
            return;
        };
        let now = self.now;
        let stats = self.table.stats_mut(slot);
        stats.latency_updated_at = now;
        stats.latency = Some(LATENCY);
        let expected = self.expected(id);
        expected.last_observed = now;
        expected.latency = Some(LATENCY);
    }

    fn set_suspected(&mut self, id: ReplicaId, suspected: bool) {
        let Some(slot) = self.table.slot(id) else {
            return;
        };
        self.table.set_suspected(slot, suspected);
        self.expected(id).suspected = suspected;
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.table.len(), self.reference.replicas.len());
        for id in (1..=REPLICAS).map(ReplicaId) {
            let known = known_replica(&self.table, id);
            prop_assert_eq!(known.as_ref(), self.reference.replicas.get(&id));
            let in_flight = self.in_flight(id);
            prop_assert_eq!(in_flight, self.reference.in_flight(id, self.now));
        }
        for shard in (0..10).chain([65_530, 99_999, 100_001, u32::MAX]) {
            let holders = replica_ids(&self.table, &self.table.holders(shard));
            prop_assert_eq!(holders, self.reference.holders(shard));
        }
        self.check_ready()
    }

    fn check_ready(&self) -> Result<(), TestCaseError> {
        let ready = self.reference.ready();
        prop_assert_eq!(self.table.ready_count(), ready.len());
        let ready_in_table = replica_ids(&self.table, &self.table.ready_slots());
        prop_assert_eq!(ready_in_table, ready.clone());
        let suspected = ready
            .iter()
            .filter(|id| self.reference.replicas[id].suspected)
            .count();
        prop_assert_eq!(self.table.suspected_ready_count(), suspected);
        Ok(())
    }

    fn in_flight(&self, id: ReplicaId) -> InFlight {
        let Some(replica) = self.table.get(id) else {
            return (0, 0);
        };
        let in_flight = replica.stats().parts_in_flight();
        (in_flight.parts(), in_flight.calls(self.now, PARTS_PER_CALL))
    }
}

fn known_replica(table: &ReplicaTable, id: ReplicaId) -> Option<ExpectedReplica> {
    table.get(id).map(|replica| ExpectedReplica {
        cell: replica.cell(),
        zone: replica.zone(),
        started_at: replica.started_at(),
        status: replica.status(),
        suspected: replica.suspected(),
        last_observed: replica.stats().latency_updated_at,
        latency: replica.stats().latency,
        parts_in_flight: replica
            .stats()
            .parts_in_flight()
            .by_time()
            .map(|sent| (sent.sent_at, sent.parts))
            .collect(),
    })
}

fn replica_ids(table: &ReplicaTable, slots: &[Slot]) -> Vec<ReplicaId> {
    slots.iter().map(|slot| table.replica(*slot).id()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(32), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn lookups_match_full_scan_of_all_replicas(
        (cells, replication_factor) in any_layout(),
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut comparison = Comparison::new(cells, replication_factor);
        for step in steps {
            comparison.apply(step);
            comparison.check()?;
        }
    }
}

/// Ready endpoints, three in each cell.
fn ready_endpoints(replicas: u64) -> Vec<Endpoint> {
    (0..replicas)
        .map(|index| Endpoint {
            replica: ReplicaId(index + 1),
            cell: (index / 3) as u16,
            zone: 0,
            started_at: 0,
            status: EndpointStatus::Ready,
        })
        .collect()
}

fn removed(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        status: EndpointStatus::Removed,
        ..endpoint.clone()
    }
}

/// Number of entries that an operation visits.
fn entries_visited(table: &mut ReplicaTable, operation: impl FnOnce(&mut ReplicaTable)) -> u64 {
    let before = table.replicas_visited();
    operation(table);
    table.replicas_visited() - before
}

/// Number of entries visited by a lookup and by the removal of one endpoint.
fn visited_by_lookup_and_removal(replicas: u64) -> (u64, u64) {
    let cells = replicas.div_ceil(3) as u32;
    let mut table = ReplicaTable::new(cells, 1, 1);
    let endpoints = ready_endpoints(replicas);
    table.apply_update(&endpoints, true);
    let by_lookup = entries_visited(&mut table, |table| drop(table.holders(7)));
    let by_removal = entries_visited(&mut table, |table| {
        table.apply_update(&[removed(&endpoints[10])], false);
        table.evict_removed(0);
    });
    assert_eq!(
        table.len(),
        replicas as usize - 1,
        "the removed replica is evicted, since it was never contacted"
    );
    (by_lookup, by_removal)
}

#[test]
fn entries_visited_by_lookup_and_update_do_not_grow_with_fleet_size() {
    assert_eq!(visited_by_lookup_and_removal(300), (3, 2));
    assert_eq!(visited_by_lookup_and_removal(30_000), (3, 2));
}

#[test]
fn replica_removed_and_added_repeatedly_is_queued_once() {
    let mut table = ReplicaTable::new(1, 1, 1);
    let ready = ready_endpoints(1);
    let removed = [removed(&ready[0])];
    table.apply_update(&ready, false);
    let slot = table.slot(ReplicaId(1)).unwrap();
    table.stats_mut(slot).latency_updated_at = 100;
    for _ in 0..50 {
        table.apply_update(&removed, false);
        table.evict_removed(50);
        table.apply_update(&ready, false);
        table.evict_removed(50);
    }
    table.apply_update(&removed, false);
    let visited_before_due = entries_visited(&mut table, |table| table.evict_removed(99));
    assert_eq!(visited_before_due, 0, "the eviction is not due");
    let visited_when_due = entries_visited(&mut table, |table| table.evict_removed(100));
    assert_eq!(visited_when_due, 1);
    assert!(table.is_empty());
}

#[test]
fn observation_after_removal_delays_eviction() {
    let mut table = ReplicaTable::new(1, 1, 1);
    let endpoints = ready_endpoints(2);
    table.apply_update(&endpoints, true);
    let slot = table.slot(ReplicaId(1)).unwrap();
    table.stats_mut(slot).latency_updated_at = 100;
    table.apply_update(&endpoints[1..], true);
    table.stats_mut(slot).latency_updated_at = 120;
    table.evict_removed(119);
    assert_eq!(table.len(), 2);
    table.evict_removed(120);
    assert_eq!(table.len(), 1);
}

/// Models how the table's slab stores a replica.
#[allow(dead_code)]
enum StoredReplica {
    Vacant(usize),
    Occupied(Replica),
}

/// Every coordinator of a large fleet stores an entry for each replica, most of which it never contacts.
#[test]
fn entry_of_uncontacted_replica_is_small() {
    let size = std::mem::size_of::<Replica>();
    assert!(size <= 32, "{size} bytes");
    let stored = std::mem::size_of::<StoredReplica>();
    assert_eq!(
        stored, size,
        "a vacant slot of the slab needs no space beyond that of a replica"
    );
}
