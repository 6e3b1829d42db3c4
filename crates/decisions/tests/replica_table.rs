//! The replica table against a plain walk over all replicas, and what it visits.

use cottonhill_decisions::replica_table::{Replica, ReplicaTable, Slot};
use cottonhill_decisions::{Endpoint, EndpointStatus, ReplicaId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// How long what was learned of one that is gone is kept.
const FADE: u64 = 50;
const REPLICAS: u64 = 8;
const CALL_PARTS: u32 = 2;

/// The oracle: every question is answered by a walk over all replicas.
#[derive(Default)]
struct Walk {
    cells: u32,
    reach: u32,
    replicas: BTreeMap<ReplicaId, Plain>,
}

#[derive(Debug, Default, PartialEq)]
struct Plain {
    cell: u16,
    zone: u16,
    started: u64,
    status: EndpointStatus,
    suspected: bool,
    learned: u64,
    latency: Option<f64>,
    open: BTreeMap<u64, u32>,
}

impl Walk {
    fn list(&mut self, endpoints: &[Endpoint], whole: bool) {
        let listed: BTreeSet<ReplicaId> = endpoints.iter().map(|m| m.replica).collect();
        for (_, replica) in self
            .replicas
            .iter_mut()
            .filter(|(id, _)| whole && !listed.contains(id))
        {
            replica.status = EndpointStatus::Gone;
        }
        for member in endpoints {
            let new = Plain {
                started: member.started,
                ..Plain::default()
            };
            let replica = self.replicas.entry(member.replica).or_insert(new);
            (replica.cell, replica.zone, replica.status) =
                (member.cell, member.zone, member.status);
            if member.status == EndpointStatus::Ready && replica.started != member.started {
                (replica.started, replica.suspected, replica.latency) =
                    (member.started, false, None);
            }
        }
    }

    fn forget_gone(&mut self, faded: u64) {
        let kept =
            |r: &Plain| r.status != EndpointStatus::Gone || !r.open.is_empty() || r.learned > faded;
        self.replicas.retain(|_, replica| kept(replica));
    }

    fn holders(&self, shard: u32) -> Vec<ReplicaId> {
        let holds = |cell: u16| {
            (u32::from(cell) + self.cells - shard % self.cells) % self.cells < self.reach
        };
        self.replicas
            .iter()
            .filter(|(_, r)| holds(r.cell))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Parts out at a replica, and calls that have no room for one sent now.
    fn out(&self, id: ReplicaId, now: u64) -> (u32, u32) {
        let Some(replica) = self.replicas.get(&id) else {
            return (0, 0);
        };
        let full = |(sent, parts): (&u64, &u32)| {
            if *sent == now {
                parts / CALL_PARTS
            } else {
                parts.div_ceil(CALL_PARTS)
            }
        };
        (
            replica.open.values().sum(),
            replica.open.iter().map(full).sum(),
        )
    }

    fn ready(&self) -> Vec<ReplicaId> {
        let ready = self
            .replicas
            .iter()
            .filter(|(_, r)| r.status == EndpointStatus::Ready);
        ready.map(|(id, _)| *id).collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Time(u64),
    List {
        endpoints: Vec<Endpoint>,
        whole: bool,
    },
    Open(u64),
    /// The oldest part that is out at a replica is back.
    Close(u64),
    Learn(u64),
    Suspect(u64, bool),
}

fn a_member() -> impl Strategy<Value = Endpoint> {
    let cell = prop_oneof![8 => 0u16..10, 1 => 0..=u16::MAX];
    let status = prop_oneof![2 => Just(EndpointStatus::Ready), 1 => Just(EndpointStatus::Draining), 1 => Just(EndpointStatus::Gone)];
    (1..=REPLICAS, cell, 0u16..3, 0u64..3, status).prop_map(
        |(replica, cell, zone, started, status)| Endpoint {
            replica: ReplicaId(replica),
            cell,
            zone,
            started,
            status,
        },
    )
}

fn a_step() -> impl Strategy<Value = Step> {
    let replica = 1..=REPLICAS;
    prop_oneof![
        2 => prop_oneof![Just(0u64), 1u64..30, Just(FADE)].prop_map(Step::Time),
        2 => prop::collection::vec(a_member(), 0..4).prop_map(|endpoints| Step::List { endpoints, whole: false }),
        1 => prop::collection::vec(a_member(), 0..16).prop_map(|endpoints| Step::List { endpoints, whole: true }),
        2 => replica.clone().prop_map(Step::Open),
        2 => replica.clone().prop_map(Step::Close),
        1 => replica.clone().prop_map(Step::Learn),
        1 => (replica, any::<bool>()).prop_map(|(replica, suspected)| Step::Suspect(replica, suspected)),
    ]
}

/// Cells and reach: few cells, more than any replica names, and a reach past the number of cells.
fn a_layout() -> impl Strategy<Value = (u32, u32)> {
    prop_oneof![
        4 => (1u32..8, 0u32..10),
        1 => (Just(100_000u32), prop_oneof![0u32..4, Just(99_000u32), Just(200_000)]),
    ]
}

fn take(step: Step, now: &mut u64, table: &mut ReplicaTable, walk: &mut Walk) {
    match step {
        Step::Time(by) => *now += by,
        Step::List { endpoints, whole } => {
            table.apply_update(&endpoints, whole);
            walk.list(&endpoints, whole);
            table.forget_gone(now.saturating_sub(FADE));
            walk.forget_gone(now.saturating_sub(FADE));
        }
        Step::Open(id) => {
            let Some(slot) = table
                .slot(ReplicaId(id))
                .filter(|slot| table.replica(*slot).is_ready())
            else {
                return;
            };
            table.open_part(slot, *now);
            *walk
                .replicas
                .get_mut(&ReplicaId(id))
                .unwrap()
                .open
                .entry(*now)
                .or_default() += 1;
        }
        Step::Close(id) => {
            let Some(plain) = walk.replicas.get_mut(&ReplicaId(id)) else {
                return;
            };
            let Some((sent, parts)) = plain.open.pop_first() else {
                return;
            };
            if parts > 1 {
                plain.open.insert(sent, parts - 1);
            }
            table.close_part(table.slot(ReplicaId(id)).unwrap(), sent);
        }
        Step::Learn(id) => {
            let Some(slot) = table.slot(ReplicaId(id)) else {
                return;
            };
            let stats = table.stats_mut(slot);
            (stats.latency_updated_at, stats.latency) = (*now, Some(1.5));
            let plain = walk.replicas.get_mut(&ReplicaId(id)).unwrap();
            (plain.learned, plain.latency) = (*now, Some(1.5));
        }
        Step::Suspect(id, suspected) => {
            let Some(slot) = table.slot(ReplicaId(id)) else {
                return;
            };
            table.set_suspected(slot, suspected);
            walk.replicas.get_mut(&ReplicaId(id)).unwrap().suspected = suspected;
        }
    }
}

fn known(table: &ReplicaTable, id: ReplicaId) -> Option<Plain> {
    table.get(id).map(|replica| Plain {
        cell: replica.cell(),
        zone: replica.zone(),
        started: replica.started(),
        status: replica.status(),
        suspected: replica.suspected(),
        learned: replica.stats().latency_updated_at,
        latency: replica.stats().latency,
        open: replica
            .stats()
            .open()
            .by_time()
            .map(|open| (open.sent_at, open.parts))
            .collect(),
    })
}

fn ids(table: &ReplicaTable, slots: &[Slot]) -> Vec<ReplicaId> {
    slots.iter().map(|slot| table.replica(*slot).id()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(32), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn the_table_answers_as_a_walk_over_all_replicas_does(
        (cells, reach) in a_layout(), steps in prop::collection::vec(a_step(), 1..80)
    ) {
        let mut table = ReplicaTable::new(cells, reach, CALL_PARTS);
        let mut walk = Walk { cells, reach, ..Walk::default() };
        let mut now = FADE + 1;
        for step in steps {
            take(step, &mut now, &mut table, &mut walk);
            prop_assert_eq!(table.len(), walk.replicas.len());
            for id in (1..=REPLICAS).map(ReplicaId) {
                let known = known(&table, id);
                prop_assert_eq!(known.as_ref(), walk.replicas.get(&id));
                let open = |r: &Replica| (r.stats().open().parts(), r.stats().open().calls(now, CALL_PARTS));
                prop_assert_eq!(table.get(id).map_or((0, 0), open), walk.out(id, now));
            }
            for shard in (0..10).chain([65_530, 99_999, 100_001, u32::MAX]) {
                prop_assert_eq!(ids(&table, &table.holders(shard)), walk.holders(shard));
            }
            let ready = walk.ready();
            prop_assert_eq!(table.ready_count(), ready.len());
            prop_assert_eq!(ids(&table, &table.ready_slots()), ready.clone());
            let suspected = ready.iter().filter(|id| walk.replicas[id].suspected).count();
            prop_assert_eq!(table.suspected_ready_count(), suspected);
        }
    }
}

fn fleet(replicas: u64) -> Vec<Endpoint> {
    (0..replicas)
        .map(|r| Endpoint {
            replica: ReplicaId(r + 1),
            cell: (r / 3) as u16,
            zone: 0,
            started: 0,
            status: EndpointStatus::Ready,
        })
        .collect()
}

fn visits(table: &mut ReplicaTable, mut of: impl FnMut(&mut ReplicaTable)) -> u64 {
    let before = table.replicas_visited();
    of(table);
    table.replicas_visited() - before
}

#[test]
fn a_lookup_and_a_change_visit_no_more_in_a_large_fleet() {
    let counts = |replicas: u64| {
        let mut table = ReplicaTable::new(replicas.div_ceil(3) as u32, 1, 1);
        table.apply_update(&fleet(replicas), true);
        let lookup = visits(&mut table, |table| drop(table.holders(7)));
        let gone = Endpoint {
            status: EndpointStatus::Gone,
            ..fleet(replicas)[10].clone()
        };
        let change = visits(&mut table, |table| {
            table.apply_update(std::slice::from_ref(&gone), false);
            table.forget_gone(0);
        });
        assert_eq!(
            table.len(),
            replicas as usize - 1,
            "the one that is gone was never contacted"
        );
        (lookup, change)
    };
    assert_eq!(counts(300), (3, 2));
    assert_eq!(counts(30_000), (3, 2));
}

#[test]
fn one_that_goes_and_returns_again_and_again_is_queued_once() {
    let mut table = ReplicaTable::new(1, 1, 1);
    let ready = fleet(1);
    let gone = [Endpoint {
        status: EndpointStatus::Gone,
        ..ready[0].clone()
    }];
    table.apply_update(&ready, false);
    let slot = table.slot(ReplicaId(1)).unwrap();
    table.stats_mut(slot).latency_updated_at = 100;
    for _ in 0..50 {
        table.apply_update(&gone, false);
        table.forget_gone(50);
        table.apply_update(&ready, false);
        table.forget_gone(50);
    }
    table.apply_update(&gone, false);
    assert_eq!(
        visits(&mut table, |table| table.forget_gone(99)),
        0,
        "too early"
    );
    assert_eq!(visits(&mut table, |table| table.forget_gone(100)), 1);
    assert!(table.is_empty());
}

#[test]
fn what_is_learned_of_one_that_is_gone_puts_off_when_it_is_forgotten() {
    let mut table = ReplicaTable::new(1, 1, 1);
    table.apply_update(&fleet(2), true);
    let slot = table.slot(ReplicaId(1)).unwrap();
    table.stats_mut(slot).latency_updated_at = 100;
    table.apply_update(&fleet(2)[1..], true);
    table.stats_mut(slot).latency_updated_at = 120;
    table.forget_gone(119);
    assert_eq!(table.len(), 2);
    table.forget_gone(120);
    assert_eq!(table.len(), 1);
}

/// Every mixer of a large fleet holds all entries; most of them it has never met.
#[test]
fn the_entry_of_one_that_was_never_contacted_is_small() {
    assert!(
        std::mem::size_of::<Replica>() <= 32,
        "{} bytes",
        std::mem::size_of::<Replica>()
    );
}
