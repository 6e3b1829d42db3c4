//! The list of replicas against a plain walk over all of them, and what a change costs by counts.

mod harness;

use cottonhill_decisions::{
    Action, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Outcome, ReplicaId, Settings,
};
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointEntry, EndpointUpdate, Status};
use cottonhill_mixer::reducer::replica_table::Replica;
use cottonhill_mixer::reducer::replicas::{EndpointChanges, Replicas, LATE_UPDATE_WINDOW};
use cottonhill_mixer::reducer::ConnectionId;
use cottonhill_mixer::{settings, Coordinator};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::size_of;
use std::net::SocketAddr;

const MS: u64 = 1_000_000;

// ---- A plain walk as the oracle -----------------------------------------------------------------------

#[derive(Debug)]
struct Plain {
    address: SocketAddr,
    zone: u16,
    status: EndpointStatus,
    connections: Vec<ConnectionId>,
    started: u64,
    gone: Option<u64>,
}

/// Every rule of the list, by a walk over all that is known for each list.
#[derive(Debug, Default)]
struct Oracle {
    numbers: BTreeMap<String, ReplicaId>,
    known: BTreeMap<ReplicaId, Plain>,
    last: u64,
    behind_until: u64,
}

struct Expected {
    kind: EndpointUpdateKind,
    members: Vec<Endpoint>,
    /// Every replica that may get nothing new, whether or not it may have before.
    leaving: BTreeSet<ReplicaId>,
    /// Those of them that were leaving before.
    left_before: BTreeSet<ReplicaId>,
    left: Vec<ConnectionId>,
    repeated: u64,
    unknown: u64,
}

impl Oracle {
    fn take(&mut self, now: u64, listing: &EndpointUpdate) -> Expected {
        self.known.retain(|_, r| {
            r.gone.is_none_or(|gone| now < gone + LATE_UPDATE_WINDOW) || !r.connections.is_empty()
        });
        let known = &self.known;
        self.numbers.retain(|_, id| known.contains_key(id));
        let left_before = self.leaving();
        let (mut left, mut unknown, mut names) = (Vec::new(), 0, Vec::new());
        let mut members = Vec::new();
        for endpoint in &listing.entries {
            let takes = match endpoint.status {
                Status::Up => false,
                Status::Draining => !listing.snapshot,
                Status::Removed => true,
            };
            unknown += u64::from(takes && !self.numbers.contains_key(&*endpoint.name));
            if let Some(member) = self.member(now, endpoint, &mut left) {
                members.push(member);
                names.push(endpoint.name.clone());
            }
        }
        let distinct: BTreeSet<_> = names.iter().collect();
        let repeated = (names.len() - distinct.len()) as u64;
        if listing.snapshot {
            let listed: BTreeSet<ReplicaId> = members.iter().map(|m| m.replica).collect();
            for (_, replica) in self.known.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                replica.status = EndpointStatus::Gone;
                replica.gone.get_or_insert(now);
            }
        }
        let kind = if listing.snapshot {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        Expected {
            kind,
            members,
            leaving: self.leaving(),
            left_before,
            left,
            repeated,
            unknown,
        }
    }

    fn leaving(&self) -> BTreeSet<ReplicaId> {
        let leaving = self
            .known
            .iter()
            .filter(|(_, r)| r.status != EndpointStatus::Ready);
        leaving.map(|(id, _)| *id).collect()
    }

    fn member(
        &mut self,
        now: u64,
        endpoint: &EndpointEntry,
        left: &mut Vec<ConnectionId>,
    ) -> Option<Endpoint> {
        let number = self.numbers.get(&*endpoint.name).copied();
        let known = number.and_then(|id| self.known.get(&id));
        let started = endpoint.started_ms * MS;
        let leaving = known.filter(|r| r.status != EndpointStatus::Ready && started <= r.started);
        let leaving = leaving
            .filter(|_| now < self.behind_until)
            .map(|r| r.status);
        let stated = endpoint.address.as_ref().map(SocketAddr::from);
        let status = match endpoint.status {
            Status::Up if stated.is_some() => leaving.unwrap_or(EndpointStatus::Ready),
            Status::Up | Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Gone,
        };
        let address = stated.or(known.map(|r| r.address))?;
        let id = *self
            .numbers
            .entry(endpoint.name.to_string())
            .or_insert_with(|| {
                self.last += 1;
                ReplicaId(self.last)
            });
        let zone = ["north", "south"]
            .iter()
            .position(|zone| **zone == *endpoint.zone);
        let zone = zone.map_or(u16::MAX, |zone| zone as u16);
        let new = Plain {
            address,
            zone,
            status,
            connections: Vec::new(),
            started,
            gone: None,
        };
        let replica = self.known.entry(id).or_insert(new);
        if replica.address != address {
            left.append(&mut replica.connections);
        }
        let gone = (status == EndpointStatus::Gone).then(|| replica.gone.unwrap_or(now));
        (replica.address, replica.zone, replica.status) = (address, zone, status);
        (replica.started, replica.gone) = (started.max(replica.started), gone);
        Some(Endpoint {
            replica: id,
            cell: endpoint.cell,
            zone,
            started,
            status,
        })
    }
}

/// What a decision module knows of a replica by the lists alone, and how often what it learned of it was dropped since
/// it had started anew.
#[derive(Clone, Debug, PartialEq)]
struct Heard {
    cell: u16,
    zone: u16,
    status: EndpointStatus,
    started: u64,
    restarts: u32,
}

/// What a decision module knows by the lists alone.
#[derive(Debug, Default)]
struct View(BTreeMap<ReplicaId, Heard>);

impl View {
    fn take(&mut self, event: &Event) {
        let Event::EndpointsUpdated { kind, endpoints } = event else {
            panic!("{event:?}")
        };
        if *kind == EndpointUpdateKind::Snapshot {
            self.0
                .retain(|id, _| endpoints.iter().any(|member| member.replica == *id));
        }
        for &Endpoint {
            replica,
            cell,
            zone,
            started,
            status,
        } in endpoints
        {
            let new = Heard {
                cell,
                zone,
                status,
                started,
                restarts: 0,
            };
            let heard = self.0.entry(replica).or_insert(new);
            (heard.cell, heard.zone, heard.status) = (cell, zone, status);
            if status == EndpointStatus::Ready && heard.started != started {
                heard.started = started;
                heard.restarts += 1;
            }
            // Of those gone it keeps what it has yet to end, which no list changes; of others there is nothing learned
            // that a new start could drop.
            if status == EndpointStatus::Gone {
                self.0.remove(&replica);
            }
        }
    }
}

// ---- Both side by side --------------------------------------------------------------------------------

/// The list and its oracle, each with a decision module that hears of it.
struct Pair {
    now: u64,
    replicas: Replicas,
    oracle: Oracle,
    module: Coordinator,
    oracle_module: Coordinator,
    view: View,
    oracle_view: View,
    /// What both modules hear next beside the list.
    ends: Vec<Event>,
    connections: Vec<(ReplicaId, ConnectionId)>,
    next: u64,
    index: u64,
}

fn module_settings() -> Settings {
    settings::parse_decisions(&harness::SETTINGS.replace("extra.places=1", "extra.places=3"))
        .unwrap()
}

impl Pair {
    fn new() -> Pair {
        Pair {
            now: 1_000_000 * MS,
            replicas: Replicas::new(vec!["north".into(), "south".into()]),
            oracle: Oracle::default(),
            module: Coordinator::new(module_settings(), 7),
            oracle_module: Coordinator::new(module_settings(), 7),
            view: View::default(),
            oracle_view: View::default(),
            ends: Vec::new(),
            connections: Vec::new(),
            next: 0,
            index: 0,
        }
    }

    fn list(&mut self, snapshot: bool, entries: &[(u8, u8, u8, u8, u8)]) {
        self.index += 1;
        let entry = |&(name, place, zone, status, since): &(u8, u8, u8, u8, u8)| {
            let address = if place == 0 {
                "nowhere".into()
            } else {
                format!("127.0.{name}.{place}:7070")
            };
            let zone = ["north", "south", "attic"][usize::from(zone % 3)];
            let status = ["up", "up", "draining", "removed"][usize::from(status % 4)];
            serde_json::json!({"name": format!("s-{name}"), "address": address, "group": (name + place) % 3,
                "zone": zone, "status": status, "since_ms": since})
        };
        let entries: Vec<_> = entries.iter().map(entry).collect();
        let text =
            serde_json::json!({"index": self.index, "snapshot": snapshot, "endpoints": entries});
        let listing = endpoint_updates::parse(text.to_string().as_bytes())
            .unwrap()
            .unwrap();
        let expected = self.oracle.take(self.now, &listing);
        let change = self.replicas.apply_update(self.now, listing);
        self.compare(&change, &expected);
        let list = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: change.endpoints,
        };
        let oracle_list = Event::EndpointsUpdated {
            kind: expected.kind,
            endpoints: expected.members,
        };
        self.view.take(&list);
        self.oracle_view.take(&oracle_list);
        assert_eq!(
            self.view.0, self.oracle_view.0,
            "what the modules know of the replicas"
        );
        self.decide(list, oracle_list);
    }

    fn compare(&self, change: &EndpointChanges, expected: &Expected) {
        assert_eq!(change.stale_connections, expected.left);
        assert_eq!(
            (change.duplicate_entries, change.unknown_removals),
            (expected.repeated, expected.unknown)
        );
        let leaving: BTreeSet<ReplicaId> = change.leaving.iter().copied().collect();
        assert!(
            leaving.is_subset(&expected.leaving),
            "{leaving:?}, {:?}",
            expected.leaving
        );
        let newly: BTreeSet<_> = expected
            .leaving
            .difference(&expected.left_before)
            .copied()
            .collect();
        assert!(
            newly.is_subset(&leaving),
            "{newly:?} leave now, {leaving:?} are withdrawn"
        );
        assert_eq!(self.replicas.len(), self.oracle.known.len());
        let ready = self
            .oracle
            .known
            .values()
            .any(|r| r.status == EndpointStatus::Ready);
        assert_eq!(self.replicas.has_ready(), ready);
        for name in (0..4).map(|name| format!("s-{name}")) {
            assert_eq!(
                self.replicas.id_of_name(&name),
                self.oracle.numbers.get(&name).copied(),
                "{name}"
            );
        }
        for (id, plain) in &self.oracle.known {
            let replica = self.replicas.get(*id).expect("known to the oracle");
            let found = (replica.address(), replica.zone, replica.status);
            assert_eq!(found, (plain.address, plain.zone, plain.status), "{id:?}");
            assert_eq!(self.replicas.connections(*id), plain.connections, "{id:?}");
        }
    }

    /// Both modules hear of the list, each in its way, and of a query. They must decide alike.
    fn decide(&mut self, list: Event, oracle_list: Event) {
        self.next += 10;
        let id = self.next;
        let network_delay = 0;
        let query = Event::QueryReceived {
            id,
            group: id as u32,
            class: 0,
            tenant: 0,
            client_timeout: 3000 * MS,
            network_delay,
            work: None,
            client_retry: false,
        };
        let part = |shard: u32| Event::PartReceived {
            id: id + 1 + u64::from(shard),
            group: id as u32,
            shard,
            weight: 0.25,
        };
        let mut rest = std::mem::take(&mut self.ends);
        rest.push(query);
        rest.extend((0..4).map(part));
        let decide = |module: &mut Coordinator, list: Event| {
            let mut actions = Vec::new();
            let events: Vec<Event> = std::iter::once(list).chain(rest.iter().cloned()).collect();
            module.process_batch(self.now, &events, &mut actions);
            actions
        };
        let actions = decide(&mut self.module, list);
        assert_eq!(actions, decide(&mut self.oracle_module, oracle_list));
        assert_eq!(
            self.module.retained_entries(),
            self.oracle_module.retained_entries(),
            "the same is kept"
        );
        let mut attempts: BTreeMap<u64, u8> = BTreeMap::new();
        for action in actions {
            let Action::Send { part, replica, .. } = action else {
                continue;
            };
            let attempt = *attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
            let outcome = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Rejected,
                Outcome::TimedOut,
            ][part as usize % 4];
            self.ends.push(Event::AttemptEnded {
                part,
                attempt,
                replica,
                outcome,
                report: Vec::new(),
            });
        }
    }

    fn connect(&mut self, name: u8) {
        let Some(id) = self.replicas.id_of_name(&format!("s-{name}")) else {
            return;
        };
        self.next += 10;
        let connection = self.next;
        let at = self.replicas.add_connection(id, connection);
        let plain = self.oracle.known.get_mut(&id).unwrap();
        plain.connections.push(connection);
        assert_eq!(at, Some(plain.address));
        self.connections.push((id, connection));
    }

    fn disconnect(&mut self, dice: u8) {
        if !self.connections.is_empty() {
            let (id, connection) = self
                .connections
                .remove(usize::from(dice) % self.connections.len());
            self.replicas.remove_connection(id, connection);
            if let Some(plain) = self.oracle.known.get_mut(&id) {
                plain.connections.retain(|other| *other != connection);
            }
        }
    }

    fn moved(&mut self) {
        self.oracle.behind_until = self.now + LATE_UPDATE_WINDOW;
        assert_eq!(
            self.replicas.on_discovery_switched(self.now),
            self.now + LATE_UPDATE_WINDOW
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Changes(Vec<(u8, u8, u8, u8, u8)>),
    Whole(Vec<(u8, u8, u8, u8, u8)>),
    Connect(u8),
    Disconnect(u8),
    Moved,
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let entry = || {
        (
            0u8..4,
            prop_oneof![1 => Just(0u8), 9 => 1u8..3],
            0u8..3,
            0u8..4,
            0u8..3,
        )
    };
    let step = prop_oneof![
        4 => prop::collection::vec(entry(), 0..4).prop_map(Step::Changes),
        2 => prop::collection::vec(entry(), 0..6).prop_map(Step::Whole),
        3 => (0u8..4).prop_map(Step::Connect),
        3 => any::<u8>().prop_map(Step::Disconnect),
        1 => Just(Step::Moved),
        3 => prop_oneof![0u64..400, 1000u64..7000, Just(LATE_UPDATE_WINDOW / MS)].prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..60)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(600))]

    /// Names that return, addresses that move, connections that outlive their replica, discovery at a new address.
    #[test]
    fn lists_applied_by_their_changes_are_those_of_a_plain_walk(steps in steps()) {
        let mut pair = Pair::new();
        for step in steps {
            match step {
                Step::Changes(entries) => pair.list(false, &entries),
                Step::Whole(entries) => pair.list(true, &entries),
                Step::Connect(name) => pair.connect(name),
                Step::Disconnect(dice) => pair.disconnect(dice),
                Step::Moved => pair.moved(),
                Step::Pass(ms) => pair.now += ms * MS,
            }
        }
    }
}

// ---- Costs, by counts and sizes -----------------------------------------------------------------------

fn entry(server: u64, status: &str) -> String {
    let (group, [_, a, b, c]) = (server / 3 % 1000, (server as u32).to_be_bytes());
    format!(
        "{{\"name\":\"s-{server:08x}\",\"address\":\"10.{a}.{b}.{c}:7070\",\"zone\":\"north\",\"type\":\"m2\",\
\"group\":{group},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

fn listing(index: u64, snapshot: bool, entries: &[String]) -> EndpointUpdate {
    let text = format!(
        "{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}",
        entries.join(",")
    );
    endpoint_updates::parse(text.as_bytes()).unwrap().unwrap()
}

fn fleet(servers: u64) -> Replicas {
    let entries: Vec<String> = (0..servers).map(|server| entry(server, "up")).collect();
    let mut replicas = Replicas::new(vec!["north".into()]);
    replicas.apply_update(0, listing(1, true, &entries));
    replicas
}

/// Records that are looked at for a change of one entry, one that goes and is forgotten, and a whole list of no news.
fn visits(servers: u64) -> [u64; 3] {
    let mut replicas = fleet(servers);
    let mut before = replicas.visited_records();
    let mut since_last = |replicas: &Replicas| {
        let visited = replicas.visited_records();
        visited - std::mem::replace(&mut before, visited)
    };
    let change = replicas.apply_update(MS, listing(2, false, &[entry(1, "draining")]));
    assert_eq!((change.endpoints.len(), change.leaving.len()), (1, 1));
    let one = since_last(&replicas);
    replicas.apply_update(2 * MS, listing(3, false, &[entry(1, "removed")]));
    replicas.apply_update(LATE_UPDATE_WINDOW + 2 * MS, listing(4, false, &[]));
    assert_eq!(replicas.len() as u64, servers - 1);
    let gone = since_last(&replicas);
    let entries: Vec<String> = (0..servers)
        .filter(|s| *s != 1)
        .map(|server| entry(server, "up"))
        .collect();
    let change = replicas.apply_update(LATE_UPDATE_WINDOW + 3 * MS, listing(5, true, &entries));
    assert!(
        change.endpoints.is_empty() && change.leaving.is_empty(),
        "nothing has changed"
    );
    [one, gone, since_last(&replicas)]
}

#[test]
fn a_change_costs_its_entries_whatever_the_size_of_the_fleet() {
    assert_eq!(visits(300), [1, 2, 2 * 299]);
    assert_eq!(
        visits(30_000),
        [1, 2, 2 * 29_999],
        "a whole list is walked twice at the most"
    );
}

#[test]
fn what_is_kept_of_an_entry_is_small_and_its_name_once() {
    // Before: 88 bytes in one tree, and the name with its number, 32 bytes, in another.
    assert!(size_of::<Replica>() <= 56, "{}", size_of::<Replica>());
    assert_eq!(
        size_of::<Option<Replica>>(),
        size_of::<Replica>(),
        "an empty slot costs no more"
    );
    // As read: before, 88 bytes and three texts on the heap.
    assert!(
        size_of::<EndpointEntry>() <= 64,
        "{}",
        size_of::<EndpointEntry>()
    );
    let read = listing(1, true, &[entry(1, "up"), entry(2, "up")]);
    assert!(
        std::sync::Arc::ptr_eq(&read.entries[0].zone, &read.entries[1].zone),
        "a zone's name once"
    );
}

#[test]
fn a_whole_list_is_applied_as_what_it_changes() {
    let mut replicas = fleet(100);
    let mut entries: Vec<String> = (0..99).map(|server| entry(server, "up")).collect();
    entries[5] = entry(5, "draining");
    entries.push(entry(100, "up"));
    let change = replicas.apply_update(MS, listing(2, true, &entries));
    let found: Vec<_> = change
        .endpoints
        .iter()
        .map(|m| (m.replica.0, m.status))
        .collect();
    assert_eq!(
        found,
        [
            (6, EndpointStatus::Draining),
            (101, EndpointStatus::Ready),
            (100, EndpointStatus::Gone)
        ]
    );
    assert_eq!(change.leaving, [ReplicaId(6), ReplicaId(100)]);
}
