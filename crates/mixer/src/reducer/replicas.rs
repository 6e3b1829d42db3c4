//! The leaf servers as discovery has announced them, and their numbers for the decision module. Changes are applied
//! in time proportional to their entries, whatever the size of the fleet.

use super::input::ConnectionId;
use super::replica_table::{Replica, ReplicaTable, Slot};
use crate::log_targets;
use crate::protocol::endpoint_updates::{Address, EndpointEntry, EndpointUpdate, Status};
use cottonhill_decisions::{Endpoint, EndpointStatus, Nanos, ReplicaId};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// What a list changes.
#[derive(Debug, Default)]
pub struct Change {
    /// The entries of changes; of a whole list those that differ from what was in force, and what it leaves out as
    /// gone.
    pub members: Vec<Endpoint>,
    /// The replicas that may get nothing new from now on.
    pub leaving: Vec<ReplicaId>,
    /// Connections to addresses that replicas have left.
    pub left: Vec<ConnectionId>,
    /// Entries whose name had come before in the same list: the last one holds.
    pub repeated: u64,
    /// Entries that take away what was not in the list in force.
    pub unknown: u64,
}

/// The replicas listed, and those gone that still have connections or may be meant by a late list. Each name has one
/// number while it is known; no number is given twice.
#[derive(Debug, Default)]
pub struct Replicas {
    table: ReplicaTable,
    /// Connections of each replica that has any, oldest first; those to an address that it has left are not among
    /// them.
    connections: HashMap<ReplicaId, Vec<ConnectionId>>,
    /// When those that are gone were announced so.
    gone: HashMap<ReplicaId, Nanos>,
    /// When those that are gone are to be forgotten, the first one first. One that has connections then is in it
    /// again once they have ended.
    expiry: BTreeSet<(Nanos, ReplicaId)>,
    /// How many are ready.
    ready: usize,
    last: u64,
    zones: Vec<String>,
    /// The version of the list in force.
    pub index: u64,
    /// Until then lists may come from a discovery that is behind the one before it.
    behind_until: Nanos,
    visited: u64,
}

/// Within this time, ns, whatever discovery had to announce counts as announced; a list that it sends later is its
/// present one.
pub const LATE: Nanos = 6_000_000_000;

/// Entries of one list that are logged for what is odd about them; the counters have all.
const MOST_LOGGED: u64 = 16;

/// A zone that the settings do not name: nobody's own.
const NO_ZONE: u16 = u16::MAX;

/// An entry as it is applied.
struct Stated {
    name: Box<str>,
    address: Address,
    cell: u16,
    zone: u16,
    started: Nanos,
    status: EndpointStatus,
}

/// An entry that was applied.
struct Put {
    slot: Slot,
    member: Endpoint,
    /// Something that the decision module knows has changed.
    differs: bool,
}

impl Replicas {
    /// None yet; `zones` are the names of the zones in the order of the settings.
    pub fn new(zones: Vec<String>) -> Replicas {
        Replicas {
            zones,
            ..Replicas::default()
        }
    }

    /// A replica by its number.
    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.table.get(id)
    }

    /// The number of a name.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.table
            .at(self.table.slot_of_name(name)?)
            .map(|replica| replica.id)
    }

    /// How many are known, those gone included.
    pub fn known(&self) -> usize {
        self.table.len()
    }

    /// Whether any may get something new.
    pub fn any_ready(&self) -> bool {
        self.ready > 0
    }

    /// Records that lists have looked at so far.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// The connections to where a replica is, oldest first.
    pub fn connections(&self, id: ReplicaId) -> &[ConnectionId] {
        self.connections.get(&id).map_or(&[], Vec::as_slice)
    }

    /// Notes a new connection to a replica; returns where it leads, none where the replica is not known.
    pub fn connect(&mut self, id: ReplicaId, connection: ConnectionId) -> Option<SocketAddr> {
        let address = self.table.get(id)?.address();
        self.connections.entry(id).or_default().push(connection);
        Some(address)
    }

    /// Notes that a connection has ended.
    pub fn disconnect(&mut self, id: ReplicaId, connection: ConnectionId) {
        let Some(connections) = self.connections.get_mut(&id) else {
            return;
        };
        connections.retain(|other| *other != connection);
        if connections.is_empty() {
            self.take_links(id);
        }
    }

    /// Takes all connections off a replica.
    fn take_links(&mut self, id: ReplicaId) -> Vec<ConnectionId> {
        if let Some(since) = self.gone.get(&id) {
            self.expiry.insert((since + LATE, id));
        }
        self.connections.remove(&id).unwrap_or_default()
    }

    /// Lists come from elsewhere from now on. That one may have yet to hear what was announced before: until it must
    /// have, it brings nothing back that is leaving. Returns when that is.
    pub fn moved(&mut self, now: Nanos) -> Nanos {
        self.behind_until = now + LATE;
        self.behind_until
    }

    /// Applies a list, whole or changed.
    pub fn take(&mut self, now: Nanos, listing: EndpointUpdate) -> Change {
        let EndpointUpdate {
            version,
            snapshot,
            entries,
            ..
        } = listing;
        self.apply(now, version, snapshot, entries.into_iter())
    }

    /// The same with a list that is kept elsewhere.
    pub fn take_copy(&mut self, now: Nanos, listing: &EndpointUpdate) -> Change {
        self.apply(
            now,
            listing.version,
            listing.snapshot,
            listing.entries.iter().cloned(),
        )
    }

    fn apply(
        &mut self,
        now: Nanos,
        index: u64,
        whole: bool,
        entries: impl ExactSizeIterator<Item = EndpointEntry>,
    ) -> Change {
        self.forget(now);
        if self.table.is_empty() {
            self.table.reserve(entries.len());
        }
        let mut change = Change::default();
        let mut listed: HashSet<Slot> = HashSet::with_capacity(entries.len());
        for entry in entries {
            self.visited += 1;
            let known = self.table.slot_of_name(&entry.name);
            if known.is_none() && takes_away(&entry, whole) {
                change.unknown += 1;
                if change.unknown <= MOST_LOGGED {
                    let (name, status) = (&entry.name, entry.status);
                    let (in_force, known) = (self.index, self.table.len());
                    tracing::info!(
                        target: log_targets::REPLICAS, index,
                        name,
                        ?status,
                        in_force,
                        known,
                        "takes away a server that is not listed"
                    );
                }
            }
            let Some(stated) = self.stated(now, entry, known) else {
                continue;
            };
            let put = self.put(now, stated, known, &mut change.left);
            let Some(Put {
                slot,
                member,
                differs,
            }) = put
            else {
                continue;
            };
            if !listed.insert(slot) {
                change.repeated += 1;
                if change.repeated <= MOST_LOGGED {
                    let (name, status) = (
                        self.table.at(slot).map(|replica| &*replica.name),
                        member.status,
                    );
                    tracing::warn!(
                        target: log_targets::REPLICAS, index,
                        name,
                        standing = ?status,
                        "listed twice in one list: the last entry holds"
                    );
                }
            }
            if differs || !whole {
                change.members.push(member);
            }
        }
        if whole {
            self.remove_unlisted(now, &listed, &mut change.members);
        }
        self.index = index;
        let leaves = |member: &&Endpoint| {
            self.get(member.replica)
                .is_some_and(|r| r.status != EndpointStatus::Ready)
        };
        change.leaving = change
            .members
            .iter()
            .filter(leaves)
            .map(|member| member.replica)
            .collect();
        change
    }

    /// Forgets those that are gone for long: they have nothing left to end, and no late list can mean them.
    fn forget(&mut self, now: Nanos) {
        while let Some((due, id)) = self.expiry.first().copied().filter(|(due, _)| *due <= now) {
            self.expiry.remove(&(due, id));
            self.visited += 1;
            if !self.connections.contains_key(&id) {
                self.gone.remove(&id);
                self.table.remove(id);
            }
        }
    }

    /// What an entry states, given the record of its name; none where nobody knows its address.
    fn stated(&self, now: Nanos, entry: EndpointEntry, known: Option<Slot>) -> Option<Stated> {
        let known = known.and_then(|slot| self.table.at(slot));
        let started = entry.started_ms.saturating_mul(1_000_000);
        let behind = now < self.behind_until;
        let leaving =
            known.filter(|r| behind && r.status != EndpointStatus::Ready && started <= r.started);
        let status = match entry.status {
            // What is up can't be reached without an address; it may have left where it was.
            Status::Up if entry.address.is_some() => {
                leaving.map_or(EndpointStatus::Ready, |r| r.status)
            }
            Status::Up | Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Gone,
        };
        let address = entry.address.or_else(|| known.map(|r| r.address.clone()))?;
        let zone = self.zones.iter().position(|zone| **zone == *entry.zone);
        let zone = zone.map_or(NO_ZONE, |zone| zone as u16);
        Some(Stated {
            name: entry.name,
            address,
            cell: entry.cell,
            zone,
            started,
            status,
        })
    }

    /// Puts what is stated of a name into its record, which is a new one where there is none.
    fn put(
        &mut self,
        now: Nanos,
        stated: Stated,
        known: Option<Slot>,
        left: &mut Vec<ConnectionId>,
    ) -> Option<Put> {
        let Stated {
            name,
            address,
            cell,
            zone,
            started,
            status,
        } = stated;
        let slot = known.unwrap_or_else(|| self.add(name, address.clone(), started));
        let replica = self.table.at_mut(slot)?;
        let id = replica.id;
        let member = Endpoint {
            replica: id,
            cell,
            zone,
            started,
            status,
        };
        let same = (replica.cell, replica.zone, replica.status) == (cell, zone, status)
            && replica.started == started
            && !replica.started_earlier;
        let moved = replica.address != address;
        replica.started_earlier = started < replica.started;
        replica.started = started.max(replica.started);
        (replica.address, replica.cell, replica.zone) = (address, cell, zone);
        self.stand(now, slot, status);
        if moved {
            left.extend(self.take_links(id));
        }
        Some(Put {
            slot,
            member,
            differs: known.is_none() || !same,
        })
    }

    /// Adds a record under the next number, for what is stated of it to be put in.
    fn add(&mut self, name: Box<str>, address: Address, started: Nanos) -> Slot {
        self.last += 1;
        let id = ReplicaId(self.last);
        // Numbers are this process's own: the name is what ties the logs of a fleet together.
        tracing::debug!(target: log_targets::REPLICAS, replica = id.0, name, address = %SocketAddr::from(&address), "replica numbered");
        let (cell, zone, status) = (0, NO_ZONE, EndpointStatus::Draining);
        self.table.insert(Replica {
            id,
            name,
            address,
            started,
            cell,
            zone,
            status,
            started_earlier: false,
        })
    }

    /// Sets how a replica stands, with all that is counted by it.
    fn stand(&mut self, now: Nanos, slot: Slot, status: EndpointStatus) {
        let Some(replica) = self.table.at_mut(slot) else {
            return;
        };
        let (id, before) = (replica.id, std::mem::replace(&mut replica.status, status));
        self.ready -= usize::from(before == EndpointStatus::Ready);
        self.ready += usize::from(status == EndpointStatus::Ready);
        if status != EndpointStatus::Gone {
            if let Some(since) = self.gone.remove(&id) {
                self.expiry.remove(&(since + LATE, id));
            }
        } else {
            let since = *self.gone.entry(id).or_insert(now);
            self.expiry.insert((since + LATE, id));
        }
    }

    /// Whom a whole list leaves out is gone.
    fn remove_unlisted(&mut self, now: Nanos, listed: &HashSet<Slot>, members: &mut Vec<Endpoint>) {
        self.visited += self.table.len() as u64;
        let unlisted = |(slot, r): &(Slot, &Replica)| {
            r.status != EndpointStatus::Gone && !listed.contains(slot)
        };
        let mut unlisted: Vec<(ReplicaId, Slot)> = self
            .table
            .iter()
            .filter(unlisted)
            .map(|(slot, r)| (r.id, slot))
            .collect();
        unlisted.sort_unstable();
        for (replica, slot) in unlisted {
            self.stand(now, slot, EndpointStatus::Gone);
            let Some(&Replica {
                cell,
                zone,
                started,
                status,
                ..
            }) = self.table.at(slot)
            else {
                continue;
            };
            members.push(Endpoint {
                replica,
                cell,
                zone,
                started,
                status,
            });
        }
    }
}

/// Whether an entry only takes away: of a name that is not known it changes nothing that was in force.
fn takes_away(entry: &EndpointEntry, whole: bool) -> bool {
    match entry.status {
        Status::Up => false,
        Status::Draining => !whole,
        Status::Removed => true,
    }
}
