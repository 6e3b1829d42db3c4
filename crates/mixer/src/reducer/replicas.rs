//! The leaf servers as announced by discovery, with their ids for the coordinator. Updates are applied in time
//! proportional to their number of entries, regardless of the size of the fleet.

use super::entry_resolver::{is_removal, EntryResolver, ResolvedEntry, UNKNOWN_ZONE};
use super::input::ConnectionId;
use super::removed_replicas::RemovedReplicas;
use super::replica_table::{Replica, ReplicaTable, Slot};
use super::watch_policy::STALENESS_BOUND;
use crate::log_targets;
use crate::protocol::endpoint_updates::{Address, EndpointEntry, EndpointUpdate};
use cottonhill_decisions::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// How long an update may lag behind changes that were announced earlier, in nanoseconds: the staleness bound of
/// discovery. This long after a switch to another address, the updates from there count as current. The record of a
/// removed replica is retained for the same time.
pub const MAX_UPDATE_LAG: Nanos = STALENESS_BOUND.as_nanos() as Nanos;

/// The maximum numbers of duplicate entries and of unlisted removals that are logged for an update; the counters
/// include all.
const MAX_LOGGED_ENTRIES: u64 = 16;

/// The changes of an endpoint update.
#[derive(Debug, Default)]
pub struct EndpointChanges {
    /// For a delta, its entries. For a snapshot, the entries that differ from the previous list, and the replicas that
    /// it does not list, as removed.
    pub endpoints: Vec<Endpoint>,
    /// The changed replicas that are not ready: they receive no new attempts.
    pub not_ready: Vec<ReplicaId>,
    /// Connections to former addresses of their replicas.
    pub stale_connections: Vec<ConnectionId>,
    /// Number of entries for a name that occurs earlier in the same update; the last entry applies.
    pub duplicate_entries: u64,
    /// Number of entries that announce an unlisted server as removed or, in a delta, as draining.
    pub unlisted_removals: u64,
    /// Number of entries for new servers that were ignored, since there are as many records as allowed.
    pub ignored_entries: u64,
}

/// The listed replicas, and the removed replicas whose records are still needed: they have connections, or an update
/// that lags behind may mention them. A replica keeps its id as long as its record exists; ids are not reused.
#[derive(Debug, Default)]
pub struct Replicas {
    table: ReplicaTable,
    /// The connections of each replica that has any, oldest first, excluding those to a former address.
    connections: HashMap<ReplicaId, Vec<ConnectionId>>,
    removed: RemovedReplicas,
    resolver: EntryResolver,
    /// Number of ready replicas.
    ready: usize,
    last_id: u64,
    version: u64,
    visited_records: u64,
    /// Maximum number of records; `None` without a limit.
    max_records: Option<usize>,
}

/// An entry that was applied.
struct AppliedEntry {
    slot: Slot,
    endpoint: Endpoint,
    /// A value that is passed to the coordinator has changed.
    changed: bool,
}

impl Replicas {
    /// Creates an empty table. `zones` are the names of the zones, in the order of the settings.
    pub fn new(zones: Vec<String>) -> Replicas {
        Replicas {
            resolver: EntryResolver::new(zones),
            ..Replicas::default()
        }
    }

    /// Limits the number of records, including those of removed replicas.
    pub fn limit_records(&mut self, max_records: usize) {
        self.max_records = Some(max_records);
    }

    /// The version of the current endpoint list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The replica with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.table.get(id)
    }

    /// The id of the replica with this name.
    pub fn id_by_name(&self, name: &str) -> Option<ReplicaId> {
        let slot = self.table.slot_by_name(name)?;
        self.table.record(slot).map(|replica| replica.id)
    }

    /// Number of replicas, including removed ones whose records are retained.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Whether any replica is ready.
    pub fn has_ready(&self) -> bool {
        self.ready > 0
    }

    /// Number of records visited by updates so far, a measure of their cost.
    pub fn visited_records(&self) -> u64 {
        self.visited_records
    }

    /// The connections to the current address of a replica, oldest first.
    pub fn connections(&self, id: ReplicaId) -> &[ConnectionId] {
        self.connections.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Adds a connection to a replica. Returns the address to connect to; `None` if the replica is not known.
    pub fn add_connection(
        &mut self,
        id: ReplicaId,
        connection: ConnectionId,
    ) -> Option<SocketAddr> {
        let address = self.table.get(id)?.address();
        self.connections.entry(id).or_default().push(connection);
        Some(address)
    }

    /// Removes a connection that has ended.
    pub fn remove_connection(&mut self, id: ReplicaId, connection: ConnectionId) {
        let Some(connections) = self.connections.get_mut(&id) else {
            return;
        };
        connections.retain(|other| *other != connection);
        if connections.is_empty() {
            self.remove_all_connections(id);
        }
    }

    fn remove_all_connections(&mut self, id: ReplicaId) -> Vec<ConnectionId> {
        self.removed.schedule_expiry(id);
        self.connections.remove(&id).unwrap_or_default()
    }

    /// Notes that updates now come from another address. Discovery there may not have received earlier changes yet:
    /// until it has caught up, its updates can't make a draining or removed replica ready, unless the server was
    /// restarted. Returns the time by which it has caught up.
    pub fn on_discovery_switched(&mut self, now: Nanos) -> Nanos {
        let caught_up_at = now + MAX_UPDATE_LAG;
        self.resolver.set_lagging_until(caught_up_at);
        caught_up_at
    }

    /// Applies an update and returns its changes.
    pub fn apply_update(&mut self, now: Nanos, update: EndpointUpdate) -> EndpointChanges {
        let (version, snapshot) = (update.version, update.snapshot);
        let mut unlisted = Vec::new();
        if snapshot && self.is_full(update.entries.len()) {
            // Their records may be evicted for those of new replicas.
            let names = update.entries.iter().map(|entry| &*entry.name);
            let listed = names.filter_map(|name| self.table.slot_by_name(name));
            let listed: HashSet<Slot> = listed.collect();
            self.mark_unlisted_as_removed(now, &listed, &mut unlisted);
        }
        let mut changes = self.apply_entries(now, version, snapshot, update.entries.into_iter());
        changes.endpoints.splice(0..0, unlisted);
        changes.not_ready = self.not_ready_among(&changes.endpoints);
        changes
    }

    /// Whether there would be more records than allowed with this many more.
    fn is_full(&self, additional: usize) -> bool {
        self.max_records
            .is_some_and(|max_records| self.table.len() + additional > max_records)
    }

    /// Removes the record of the replica that was removed first and has no connections. Returns false if there is none.
    fn evict_removed(&mut self) -> bool {
        let connections = &self.connections;
        let evicted = self
            .removed
            .by_expiry()
            .find(|id| !connections.contains_key(id));
        let Some(id) = evicted else {
            return false;
        };
        self.removed.remove(id);
        self.table.remove(id);
        true
    }

    /// Applies an update without consuming it.
    pub fn apply_update_ref(&mut self, now: Nanos, update: &EndpointUpdate) -> EndpointChanges {
        let entries = update.entries.iter().cloned();
        self.apply_entries(now, update.version, update.snapshot, entries)
    }

    fn apply_entries(
        &mut self,
        now: Nanos,
        version: u64,
        snapshot: bool,
        entries: impl ExactSizeIterator<Item = EndpointEntry>,
    ) -> EndpointChanges {
        self.remove_expired(now);
        if self.table.is_empty() {
            self.table.reserve(entries.len());
        }
        let mut changes = EndpointChanges::default();
        let mut listed: HashSet<Slot> = HashSet::with_capacity(entries.len());
        for entry in entries {
            let applied = self.apply_entry(now, version, snapshot, entry, &mut changes);
            let Some(applied) = applied else { continue };
            if !listed.insert(applied.slot) {
                self.on_duplicate_entry(version, &applied, &mut changes);
            }
            if applied.changed || !snapshot {
                changes.endpoints.push(applied.endpoint);
            }
        }
        if snapshot {
            self.mark_unlisted_as_removed(now, &listed, &mut changes.endpoints);
        }
        self.version = version;
        changes.not_ready = self.not_ready_among(&changes.endpoints);
        changes
    }

    /// Removes the records of replicas that were removed [`MAX_UPDATE_LAG`] ago and have no connections: no update can
    /// mention them any more.
    fn remove_expired(&mut self, now: Nanos) {
        while let Some(id) = self.removed.pop_expired(now) {
            self.visited_records += 1;
            if !self.connections.contains_key(&id) {
                self.removed.remove(id);
                self.table.remove(id);
            }
        }
    }

    /// Applies an entry; `None` if it has no effect, because the address is not known.
    fn apply_entry(
        &mut self,
        now: Nanos,
        version: u64,
        snapshot: bool,
        entry: EndpointEntry,
        changes: &mut EndpointChanges,
    ) -> Option<AppliedEntry> {
        self.visited_records += 1;
        let known = self.table.slot_by_name(&entry.name);
        if known.is_none() && is_removal(&entry, snapshot) {
            self.on_unlisted_removal(version, &entry, changes);
        }
        if known.is_none() && self.is_full(1) && !self.evict_removed() {
            self.on_ignored_entry(version, &entry, changes);
            return None;
        }
        let replica = known.and_then(|slot| self.table.record(slot));
        let resolved = self.resolver.resolve(now, entry, replica)?;
        self.update_replica(now, resolved, known, &mut changes.stale_connections)
    }

    fn on_unlisted_removal(
        &self,
        version: u64,
        entry: &EndpointEntry,
        changes: &mut EndpointChanges,
    ) {
        changes.unlisted_removals += 1;
        if changes.unlisted_removals > MAX_LOGGED_ENTRIES {
            return;
        }
        tracing::info!(
            target: log_targets::REPLICAS, version,
            name = entry.name,
            status = ?entry.status,
            current_version = self.version,
            known_replicas = self.table.len(),
            "endpoint update announces an unlisted server as draining or removed"
        );
    }

    fn on_ignored_entry(&self, version: u64, entry: &EndpointEntry, changes: &mut EndpointChanges) {
        changes.ignored_entries += 1;
        if changes.ignored_entries == 1 {
            tracing::error!(
                target: log_targets::REPLICAS, version,
                name = entry.name,
                records = self.table.len(),
                "endpoints ignored from this one on: the memory limit allows no more"
            );
        }
    }

    fn on_duplicate_entry(
        &self,
        version: u64,
        applied: &AppliedEntry,
        changes: &mut EndpointChanges,
    ) {
        changes.duplicate_entries += 1;
        if changes.duplicate_entries > MAX_LOGGED_ENTRIES {
            return;
        }
        let replica = self.table.record(applied.slot);
        tracing::warn!(
            target: log_targets::REPLICAS, version,
            name = replica.map(|replica| &*replica.name),
            status = ?applied.endpoint.status,
            "duplicate endpoint in update, last entry used"
        );
    }

    /// The endpoints that are not ready.
    fn not_ready_among(&self, endpoints: &[Endpoint]) -> Vec<ReplicaId> {
        let is_not_ready = |id: &ReplicaId| {
            self.get(*id)
                .is_some_and(|replica| replica.status != EndpointStatus::Ready)
        };
        endpoints
            .iter()
            .map(|endpoint| endpoint.replica)
            .filter(is_not_ready)
            .collect()
    }

    /// Updates the record of a replica, or adds one. Connections to its former address are moved to
    /// `stale_connections`.
    fn update_replica(
        &mut self,
        now: Nanos,
        entry: ResolvedEntry,
        known: Option<Slot>,
        stale_connections: &mut Vec<ConnectionId>,
    ) -> Option<AppliedEntry> {
        let ResolvedEntry {
            name,
            address,
            cell,
            zone,
            started_at,
            status,
        } = entry;
        let slot = known.unwrap_or_else(|| self.add_replica(name, address.clone(), started_at));
        let replica = self.table.record_mut(slot)?;
        let id = replica.id;
        let unchanged = (replica.cell, replica.zone, replica.status) == (cell, zone, status)
            && replica.started_at == started_at
            && !replica.started_earlier;
        let address_changed = replica.address != address;
        replica.started_earlier = started_at < replica.started_at;
        replica.started_at = started_at.max(replica.started_at);
        replica.address = address;
        replica.cell = cell;
        replica.zone = zone;
        self.set_status(now, slot, status);
        if address_changed {
            stale_connections.extend(self.remove_all_connections(id));
        }
        Some(AppliedEntry {
            slot,
            endpoint: Endpoint {
                replica: id,
                cell,
                zone,
                started_at,
                status,
            },
            changed: known.is_none() || !unchanged,
        })
    }

    /// Adds a record with the next id; the caller fills in the other fields.
    fn add_replica(&mut self, name: Box<str>, address: Address, started_at: Nanos) -> Slot {
        self.last_id += 1;
        let id = ReplicaId(self.last_id);
        // Ids are local to the process: logs of several mixers can be joined only by name.
        tracing::debug!(target: log_targets::REPLICAS, replica = id.0, name, address = %SocketAddr::from(&address), "replica id assigned");
        self.table.insert(Replica {
            id,
            name,
            address,
            started_at,
            cell: 0,
            zone: UNKNOWN_ZONE,
            status: EndpointStatus::Draining,
            started_earlier: false,
        })
    }

    /// Sets the status of a replica, and updates the number of ready replicas and the removed replicas.
    fn set_status(&mut self, now: Nanos, slot: Slot, status: EndpointStatus) {
        let Some(replica) = self.table.record_mut(slot) else {
            return;
        };
        let id = replica.id;
        let before = std::mem::replace(&mut replica.status, status);
        self.ready -= usize::from(before == EndpointStatus::Ready);
        self.ready += usize::from(status == EndpointStatus::Ready);
        if status == EndpointStatus::Removed {
            self.removed.insert(id, now);
        } else {
            self.removed.remove(id);
        }
    }

    /// Marks the replicas that a snapshot does not list as removed.
    fn mark_unlisted_as_removed(
        &mut self,
        now: Nanos,
        listed: &HashSet<Slot>,
        endpoints: &mut Vec<Endpoint>,
    ) {
        self.visited_records += self.table.len() as u64;
        let mut unlisted: Vec<(ReplicaId, Slot)> = Vec::new();
        for (slot, replica) in self.table.iter() {
            if replica.status != EndpointStatus::Removed && !listed.contains(&slot) {
                unlisted.push((replica.id, slot));
            }
        }
        unlisted.sort_unstable();
        for (_, slot) in unlisted {
            self.set_status(now, slot, EndpointStatus::Removed);
            if let Some(replica) = self.table.record(slot) {
                endpoints.push(Endpoint {
                    replica: replica.id,
                    cell: replica.cell,
                    zone: replica.zone,
                    started_at: replica.started_at,
                    status: replica.status,
                });
            }
        }
    }
}
