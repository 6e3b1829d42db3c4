//! Compares the mixer's incremental updates of its replicas with a full scan of them, and checks the cost of an update
//! in visited entries and bytes.

mod harness;

use cottonhill_decisions::{
    Action, Endpoint, EndpointStatus, EndpointUpdateKind, Event, Nanos, Outcome, ReplicaId,
    Settings,
};
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointEntry, EndpointUpdate, Status};
use cottonhill_mixer::reducer::replica_table::Replica;
use cottonhill_mixer::reducer::replicas::{EndpointChanges, Replicas, MAX_UPDATE_LAG};
use cottonhill_mixer::reducer::ConnectionId;
use cottonhill_mixer::{settings, Coordinator};
use harness::MS;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::size_of;
use std::net::SocketAddr;

/// The zones of the settings.
const ZONES: [&str; 2] = ["north", "south"];
/// The distance between the ids of two queries: a query's id is followed by the ids of its parts.
const IDS_PER_QUERY: u64 = 10;
const PARTS_PER_QUERY: u32 = 4;

// ---- A full scan as the oracle --------------------------------------------------------------------------

#[derive(Debug)]
struct ExpectedReplica {
    address: SocketAddr,
    zone: u16,
    status: EndpointStatus,
    connections: Vec<ConnectionId>,
    started: Nanos,
    removed_since: Option<Nanos>,
}

impl ExpectedReplica {
    fn is_not_ready(&self) -> bool {
        self.status != EndpointStatus::Ready
    }

    /// Whether the replica's record is retained.
    fn is_retained(&self, now: Nanos) -> bool {
        let is_recent = |removed_since: Nanos| now < removed_since + MAX_UPDATE_LAG;
        self.removed_since.is_none_or(is_recent) || !self.connections.is_empty()
    }
}

/// Implements all rules of endpoint updates by a scan of all known replicas at each update.
#[derive(Debug, Default)]
struct Oracle {
    ids: BTreeMap<String, ReplicaId>,
    replicas: BTreeMap<ReplicaId, ExpectedReplica>,
    last_id: u64,
    /// Until then, updates from the new discovery address may lag behind those from the previous one.
    stale_until: Nanos,
}

struct ExpectedChange {
    kind: EndpointUpdateKind,
    endpoints: Vec<Endpoint>,
    /// All replicas to which no new attempt may be sent.
    not_ready: BTreeSet<ReplicaId>,
    /// All replicas to which no new attempt was allowed before the update.
    not_ready_before: BTreeSet<ReplicaId>,
    /// Connections to an address that their replica no longer has.
    stale_connections: Vec<ConnectionId>,
    duplicate_entries: u64,
    unlisted_removals: u64,
}

impl Oracle {
    fn update(&mut self, now: Nanos, update: &EndpointUpdate) -> ExpectedChange {
        self.evict_removed(now);
        let not_ready_before = self.not_ready();
        let mut stale_connections = Vec::new();
        let mut unlisted_removals = 0;
        let mut names = BTreeSet::new();
        let mut endpoints = Vec::new();
        for entry in &update.entries {
            unlisted_removals += u64::from(self.is_unlisted_removal(entry, update.snapshot));
            if let Some(endpoint) = self.update_entry(now, entry, &mut stale_connections) {
                endpoints.push(endpoint);
                names.insert(entry.name.clone());
            }
        }
        let kind = if update.snapshot {
            self.remove_unlisted(now, &endpoints);
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        ExpectedChange {
            kind,
            not_ready: self.not_ready(),
            not_ready_before,
            stale_connections,
            duplicate_entries: (endpoints.len() - names.len()) as u64,
            unlisted_removals,
            endpoints,
        }
    }

    fn evict_removed(&mut self, now: Nanos) {
        self.replicas.retain(|_, replica| replica.is_retained(now));
        let replicas = &self.replicas;
        self.ids.retain(|_, id| replicas.contains_key(id));
    }

    fn remove_unlisted(&mut self, now: Nanos, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ReplicaId> = endpoints.iter().map(|e| e.replica).collect();
        for (id, replica) in &mut self.replicas {
            if !listed.contains(id) {
                replica.status = EndpointStatus::Removed;
                replica.removed_since.get_or_insert(now);
            }
        }
    }

    /// Whether an entry removes or drains an endpoint that is not known.
    fn is_unlisted_removal(&self, entry: &EndpointEntry, snapshot: bool) -> bool {
        let is_removal = match entry.status {
            Status::Up => false,
            Status::Draining => !snapshot,
            Status::Removed => true,
        };
        is_removal && !self.ids.contains_key(&*entry.name)
    }

    fn not_ready(&self) -> BTreeSet<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.is_not_ready())
            .map(|(id, _)| *id)
            .collect()
    }

    fn known(&self, name: &str) -> Option<&ExpectedReplica> {
        self.ids.get(name).and_then(|id| self.replicas.get(id))
    }

    fn status_of(&self, now: Nanos, entry: &EndpointEntry) -> EndpointStatus {
        let started = entry.started_ms * MS;
        let known_not_ready = self
            .known(&entry.name)
            .filter(|known| known.is_not_ready() && started <= known.started)
            .filter(|_| now < self.stale_until);
        match entry.status {
            Status::Up if entry.address.is_some() => {
                known_not_ready.map_or(EndpointStatus::Ready, |known| known.status)
            }
            Status::Up | Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Removed,
        }
    }

    fn id_of(&mut self, name: &str) -> ReplicaId {
        let last_id = &mut self.last_id;
        *self.ids.entry(name.to_string()).or_insert_with(|| {
            *last_id += 1;
            ReplicaId(*last_id)
        })
    }

    /// `None` if the endpoint is unknown and its entry has no valid address.
    fn update_entry(
        &mut self,
        now: Nanos,
        entry: &EndpointEntry,
        stale_connections: &mut Vec<ConnectionId>,
    ) -> Option<Endpoint> {
        let status = self.status_of(now, entry);
        let stated = entry.address.as_ref().map(SocketAddr::from);
        let address = stated.or(self.known(&entry.name).map(|known| known.address))?;
        let started = entry.started_ms * MS;
        let zone = ZONES.iter().position(|zone| **zone == *entry.zone);
        let zone = zone.map_or(u16::MAX, |zone| zone as u16);
        let id = self.id_of(&entry.name);
        let replica = self.replicas.entry(id).or_insert(ExpectedReplica {
            address,
            zone,
            status,
            connections: Vec::new(),
            started,
            removed_since: None,
        });
        if replica.address != address {
            stale_connections.append(&mut replica.connections);
        }
        let is_removed = status == EndpointStatus::Removed;
        replica.removed_since = is_removed.then(|| replica.removed_since.unwrap_or(now));
        replica.address = address;
        replica.zone = zone;
        replica.status = status;
        replica.started = started.max(replica.started);
        Some(Endpoint {
            replica: id,
            cell: entry.cell,
            zone,
            started_at: started,
            status,
        })
    }
}

/// The state of a replica in a coordinator as far as endpoint updates determine it, and how often the coordinator
/// discarded the replica's statistics because it had restarted.
#[derive(Clone, Debug, PartialEq)]
struct KnownReplica {
    cell: u16,
    zone: u16,
    status: EndpointStatus,
    started: Nanos,
    restarts: u32,
}

/// The state of a coordinator as far as endpoint updates determine it.
#[derive(Debug, Default, PartialEq)]
struct CoordinatorView(BTreeMap<ReplicaId, KnownReplica>);

impl CoordinatorView {
    fn update(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        if kind == EndpointUpdateKind::Snapshot {
            let is_listed = |id| endpoints.iter().any(|endpoint| endpoint.replica == id);
            self.0.retain(|id, _| is_listed(*id));
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        // Of a removed replica the coordinator retains only the attempts in flight, which no update changes. A removed
        // replica without attempts in flight has no statistics left that a restart could discard.
        if endpoint.status == EndpointStatus::Removed {
            self.0.remove(&endpoint.replica);
            return;
        }
        let new = KnownReplica {
            cell: endpoint.cell,
            zone: endpoint.zone,
            status: endpoint.status,
            started: endpoint.started_at,
            restarts: 0,
        };
        let known = self.0.entry(endpoint.replica).or_insert(new);
        known.cell = endpoint.cell;
        known.zone = endpoint.zone;
        known.status = endpoint.status;
        if endpoint.status == EndpointStatus::Ready && known.started != endpoint.started_at {
            known.started = endpoint.started_at;
            known.restarts += 1;
        }
    }
}

// ---- Comparison with the oracle -------------------------------------------------------------------------

/// A random entry of an endpoint update.
#[derive(Clone, Copy, Debug)]
struct RandomEntry {
    name: u8,
    /// The last byte of the address; 0 for an invalid address.
    address_byte: u8,
    zone: u8,
    status: u8,
    started_ms: u8,
}

impl RandomEntry {
    fn to_json(self) -> serde_json::Value {
        let RandomEntry {
            name, address_byte, ..
        } = self;
        let address = if address_byte == 0 {
            "nowhere".into()
        } else {
            format!("127.0.{name}.{address_byte}:7070")
        };
        let zone = ["north", "south", "attic"][usize::from(self.zone % 3)];
        let status = ["up", "up", "draining", "removed"][usize::from(self.status % 4)];
        serde_json::json!({
            "name": format!("s-{name}"),
            "address": address,
            "group": (name + address_byte) % 3,
            "zone": zone,
            "status": status,
            "since_ms": self.started_ms,
        })
    }
}

/// A connection to a replica.
struct OpenConnection {
    replica: ReplicaId,
    connection: ConnectionId,
}

/// The replicas and their oracle, each with a coordinator that receives the updates.
struct Comparison {
    now: Nanos,
    replicas: Replicas,
    oracle: Oracle,
    coordinator: Coordinator,
    oracle_coordinator: Coordinator,
    view: CoordinatorView,
    oracle_view: CoordinatorView,
    /// The attempt ends in the next batch of both coordinators.
    ended_attempts: Vec<Event>,
    connections: Vec<OpenConnection>,
    last_id: u64,
    version: u64,
}

fn coordinator_settings() -> Settings {
    settings::parse_decisions(&harness::SETTINGS.replace("extra.places=1", "extra.places=3"))
        .unwrap()
}

impl Comparison {
    fn new() -> Comparison {
        Comparison {
            now: 1_000_000 * MS,
            replicas: Replicas::new(ZONES.map(String::from).to_vec()),
            oracle: Oracle::default(),
            coordinator: Coordinator::new(coordinator_settings(), 7),
            oracle_coordinator: Coordinator::new(coordinator_settings(), 7),
            view: CoordinatorView::default(),
            oracle_view: CoordinatorView::default(),
            ended_attempts: Vec::new(),
            connections: Vec::new(),
            last_id: 0,
            version: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Delta(entries) => self.update(false, &entries),
            Step::Snapshot(entries) => self.update(true, &entries),
            Step::Connect(name) => self.connect(name),
            Step::Disconnect(random_value) => self.disconnect(random_value),
            Step::SwitchDiscovery => self.switch_discovery(),
            Step::AdvanceMs(duration_ms) => self.now += duration_ms * MS,
        }
    }

    fn update(&mut self, snapshot: bool, entries: &[RandomEntry]) {
        self.version += 1;
        let entries: Vec<serde_json::Value> = entries.iter().map(|entry| entry.to_json()).collect();
        let text = serde_json::json!({
            "index": self.version,
            "snapshot": snapshot,
            "endpoints": entries,
        });
        let update = endpoint_updates::parse(text.to_string().as_bytes())
            .unwrap()
            .unwrap();
        let expected = self.oracle.update(self.now, &update);
        let change = self.replicas.apply_update(self.now, update);
        self.compare_change(&change, &expected);
        self.compare_replicas();
        self.view
            .update(EndpointUpdateKind::Delta, &change.endpoints);
        self.oracle_view.update(expected.kind, &expected.endpoints);
        assert_eq!(
            self.view, self.oracle_view,
            "both updates must result in the same coordinator state"
        );
        let updated = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: change.endpoints,
        };
        let oracle_updated = Event::EndpointsUpdated {
            kind: expected.kind,
            endpoints: expected.endpoints,
        };
        self.compare_decisions(updated, oracle_updated);
    }

    fn compare_change(&self, change: &EndpointChanges, expected: &ExpectedChange) {
        assert_eq!(change.stale_connections, expected.stale_connections);
        assert_eq!(
            (change.duplicate_entries, change.unlisted_removals),
            (expected.duplicate_entries, expected.unlisted_removals)
        );
        let not_ready: BTreeSet<ReplicaId> = change.not_ready.iter().copied().collect();
        assert!(
            not_ready.is_subset(&expected.not_ready),
            "{not_ready:?}, {:?}",
            expected.not_ready
        );
        let newly_not_ready: BTreeSet<ReplicaId> = expected
            .not_ready
            .difference(&expected.not_ready_before)
            .copied()
            .collect();
        assert!(
            newly_not_ready.is_subset(&not_ready),
            "{newly_not_ready:?} are no longer ready, but the update reports {not_ready:?}"
        );
    }

    fn compare_replicas(&self) {
        let expected = &self.oracle.replicas;
        assert_eq!(self.replicas.len(), expected.len());
        let any_ready = expected.values().any(|replica| !replica.is_not_ready());
        assert_eq!(self.replicas.has_ready(), any_ready);
        for name in (0..4).map(|name| format!("s-{name}")) {
            assert_eq!(
                self.replicas.id_by_name(&name),
                self.oracle.ids.get(&name).copied(),
                "{name}"
            );
        }
        for (id, expected) in expected {
            let replica = self.replicas.get(*id).expect("known to the oracle");
            assert_eq!(
                (replica.address(), replica.zone, replica.status),
                (expected.address, expected.zone, expected.status),
                "{id:?}"
            );
            assert_eq!(
                self.replicas.connections(*id),
                expected.connections,
                "{id:?}"
            );
        }
    }

    /// Sends each coordinator its form of the update, and both the same query. Their decisions must be equal.
    fn compare_decisions(&mut self, updated: Event, oracle_updated: Event) {
        let mut other_events = std::mem::take(&mut self.ended_attempts);
        other_events.extend(self.next_query());
        let events = [vec![updated], other_events.clone()].concat();
        let oracle_events = [vec![oracle_updated], other_events].concat();
        let mut actions = Vec::new();
        self.coordinator
            .process_batch(self.now, &events, &mut actions);
        let mut oracle_actions = Vec::new();
        self.oracle_coordinator
            .process_batch(self.now, &oracle_events, &mut oracle_actions);
        assert_eq!(actions, oracle_actions);
        assert_eq!(
            self.coordinator.retained_entries(),
            self.oracle_coordinator.retained_entries(),
            "both coordinators must retain the same number of entries"
        );
        self.end_attempts(&actions);
    }

    fn next_query(&mut self) -> Vec<Event> {
        self.last_id += IDS_PER_QUERY;
        let id = self.last_id;
        let group = id as u32;
        let query = Event::QueryReceived {
            id,
            group,
            class: 0,
            tenant: 0,
            client_timeout: 3000 * MS,
            network_delay: 0,
            work: None,
            client_retry: false,
        };
        let parts = (0..PARTS_PER_QUERY).map(|shard| Event::PartReceived {
            id: id + 1 + u64::from(shard),
            group,
            shard,
            weight: 0.25,
        });
        std::iter::once(query).chain(parts).collect()
    }

    /// Ends each attempt that was sent, with an outcome that depends on the part's id.
    fn end_attempts(&mut self, actions: &[Action]) {
        const OUTCOMES: [Outcome; 4] = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Rejected,
            Outcome::TimedOut,
        ];
        let mut next_attempts: BTreeMap<u64, u8> = BTreeMap::new();
        for action in actions {
            let Action::Send { part, replica, .. } = *action else {
                continue;
            };
            let next_attempt = next_attempts.entry(part).or_default();
            self.ended_attempts.push(Event::AttemptEnded {
                part,
                attempt: *next_attempt,
                replica,
                outcome: OUTCOMES[part as usize % OUTCOMES.len()],
                report: Vec::new(),
            });
            *next_attempt += 1;
        }
    }

    fn connect(&mut self, name: u8) {
        let Some(replica) = self.replicas.id_by_name(&format!("s-{name}")) else {
            return;
        };
        self.last_id += IDS_PER_QUERY;
        let connection = self.last_id;
        let address = self.replicas.add_connection(replica, connection);
        let expected = self.oracle.replicas.get_mut(&replica).unwrap();
        expected.connections.push(connection);
        assert_eq!(address, Some(expected.address));
        self.connections.push(OpenConnection {
            replica,
            connection,
        });
    }

    fn disconnect(&mut self, random_value: u8) {
        if self.connections.is_empty() {
            return;
        }
        let index = usize::from(random_value) % self.connections.len();
        let OpenConnection {
            replica,
            connection,
        } = self.connections.remove(index);
        self.replicas.remove_connection(replica, connection);
        if let Some(expected) = self.oracle.replicas.get_mut(&replica) {
            expected.connections.retain(|other| *other != connection);
        }
    }

    fn switch_discovery(&mut self) {
        self.oracle.stale_until = self.now + MAX_UPDATE_LAG;
        assert_eq!(
            self.replicas.on_discovery_switched(self.now),
            self.now + MAX_UPDATE_LAG
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Delta(Vec<RandomEntry>),
    Snapshot(Vec<RandomEntry>),
    /// Connects to the replica with this name.
    Connect(u8),
    /// Closes the open connection with this index, modulo their number.
    Disconnect(u8),
    SwitchDiscovery,
    AdvanceMs(u64),
}

fn any_entry() -> impl Strategy<Value = RandomEntry> {
    let address_byte = prop_oneof![1 => Just(0u8), 9 => 1u8..3];
    (0u8..4, address_byte, 0u8..3, 0u8..4, 0u8..3).prop_map(
        |(name, address_byte, zone, status, started_ms)| RandomEntry {
            name,
            address_byte,
            zone,
            status,
            started_ms,
        },
    )
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => prop::collection::vec(any_entry(), 0..4).prop_map(Step::Delta),
        2 => prop::collection::vec(any_entry(), 0..6).prop_map(Step::Snapshot),
        3 => (0u8..4).prop_map(Step::Connect),
        3 => any::<u8>().prop_map(Step::Disconnect),
        1 => Just(Step::SwitchDiscovery),
        3 => prop_oneof![0u64..400, 1000u64..7000, Just(MAX_UPDATE_LAG / MS)].prop_map(Step::AdvanceMs),
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

    /// The steps include names that are listed again, changed addresses, connections that outlive their replica, and
    /// switches to another discovery address.
    #[test]
    fn incremental_updates_match_full_scan(steps in any_steps()) {
        let mut comparison = Comparison::new();
        for step in steps {
            comparison.apply(step);
        }
    }
}

// ---- Cost in visited entries and bytes ------------------------------------------------------------------

fn entry_text(server: u64, status: &str) -> String {
    let (group, [_, a, b, c]) = (server / 3 % 1000, (server as u32).to_be_bytes());
    format!(
        "{{\"name\":\"s-{server:08x}\",\"address\":\"10.{a}.{b}.{c}:7070\",\"zone\":\"north\",\"type\":\"m2\",\
\"group\":{group},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
    )
}

fn endpoint_update(version: u64, snapshot: bool, entries: &[String]) -> EndpointUpdate {
    let text = format!(
        "{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[{}]}}",
        entries.join(",")
    );
    endpoint_updates::parse(text.as_bytes()).unwrap().unwrap()
}

fn up_entries(servers: impl Iterator<Item = u64>) -> Vec<String> {
    servers.map(|server| entry_text(server, "up")).collect()
}

fn replicas_of_fleet(servers: u64) -> Replicas {
    let mut replicas = Replicas::new(vec!["north".into()]);
    replicas.apply_update(0, endpoint_update(1, true, &up_entries(0..servers)));
    replicas
}

/// The number of entries that an operation visits.
fn entries_visited(replicas: &mut Replicas, operation: impl FnOnce(&mut Replicas)) -> u64 {
    let before = replicas.visited_records();
    operation(replicas);
    replicas.visited_records() - before
}

/// The numbers of entries visited by a delta of one entry, by a removal and the later eviction of its record, and by a
/// snapshot that changes nothing.
fn entries_visited_by_updates(servers: u64) -> [u64; 3] {
    let mut replicas = replicas_of_fleet(servers);
    let by_delta = entries_visited(&mut replicas, |replicas| {
        let drain = endpoint_update(2, false, &[entry_text(1, "draining")]);
        let change = replicas.apply_update(MS, drain);
        assert_eq!((change.endpoints.len(), change.not_ready.len()), (1, 1));
    });
    let by_removal = entries_visited(&mut replicas, |replicas| {
        let removal = endpoint_update(3, false, &[entry_text(1, "removed")]);
        replicas.apply_update(2 * MS, removal);
        replicas.apply_update(MAX_UPDATE_LAG + 2 * MS, endpoint_update(4, false, &[]));
        assert_eq!(replicas.len() as u64, servers - 1);
    });
    let by_snapshot = entries_visited(&mut replicas, |replicas| {
        let remaining = up_entries((0..servers).filter(|server| *server != 1));
        let change = replicas.apply_update(
            MAX_UPDATE_LAG + 3 * MS,
            endpoint_update(5, true, &remaining),
        );
        assert!(
            change.endpoints.is_empty() && change.not_ready.is_empty(),
            "nothing has changed"
        );
    });
    [by_delta, by_removal, by_snapshot]
}

#[test]
fn cost_of_update_depends_on_its_entries_not_fleet_size() {
    assert_eq!(entries_visited_by_updates(300), [1, 2, 2 * 299]);
    assert_eq!(
        entries_visited_by_updates(30_000),
        [1, 2, 2 * 29_999],
        "a snapshot visits each entry at most twice"
    );
}

/// The layout in which the table's slab stores a replica.
#[allow(dead_code)]
enum StoredReplica {
    Vacant(usize),
    Occupied(Replica),
}

#[test]
fn entries_are_small_and_share_zone_names() {
    assert!(size_of::<Replica>() <= 56, "{}", size_of::<Replica>());
    assert_eq!(
        size_of::<Option<Replica>>(),
        size_of::<Replica>(),
        "an empty slot takes no additional space"
    );
    assert_eq!(
        size_of::<StoredReplica>(),
        size_of::<Replica>(),
        "the index of the next free slot fits in the space of a replica"
    );
    assert!(
        size_of::<EndpointEntry>() <= 64,
        "{}",
        size_of::<EndpointEntry>()
    );
    let update = endpoint_update(1, true, &up_entries(1..3));
    assert!(
        std::sync::Arc::ptr_eq(&update.entries[0].zone, &update.entries[1].zone),
        "the name of a zone is stored once"
    );
}

#[test]
fn snapshot_is_applied_as_difference_from_current_list() {
    let mut replicas = replicas_of_fleet(100);
    let mut entries = up_entries(0..99);
    entries[5] = entry_text(5, "draining");
    entries.push(entry_text(100, "up"));
    let change = replicas.apply_update(MS, endpoint_update(2, true, &entries));
    let changed: Vec<(u64, EndpointStatus)> = change
        .endpoints
        .iter()
        .map(|endpoint| (endpoint.replica.0, endpoint.status))
        .collect();
    assert_eq!(
        changed,
        [
            (6, EndpointStatus::Draining),
            (101, EndpointStatus::Ready),
            (100, EndpointStatus::Removed)
        ]
    );
    assert_eq!(change.not_ready, [ReplicaId(6), ReplicaId(100)]);
}
