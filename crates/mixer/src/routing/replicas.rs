//! The leaf servers as discovery has told them, and their numbers for the decision module.

use super::messages::LinkId;
use crate::interface::{ListKind, Member, Nanos, ReplicaId, Standing};
use crate::protocol::discovery::{Endpoint, Listing, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Debug)]
pub struct Replica {
    pub address: SocketAddr,
    pub zone: u16,
    pub standing: Standing,
    /// Its connections, oldest first; those to an address that it has left are not among them.
    pub links: Vec<LinkId>,
    started: Nanos,
    /// When it was told gone.
    gone: Option<Nanos>,
}

/// What a list changes.
#[derive(Debug)]
pub struct Change {
    pub kind: ListKind,
    pub members: Vec<Member>,
    /// The replicas that may get nothing new now.
    pub leaving: Vec<ReplicaId>,
    /// Connections to addresses that replicas have left.
    pub left: Vec<LinkId>,
}

/// The replicas listed, and those gone that still have connections. Each name has one number while it is
/// known; no number is given twice.
#[derive(Debug, Default)]
pub struct Replicas {
    numbers: BTreeMap<String, ReplicaId>,
    known: BTreeMap<ReplicaId, Replica>,
    last: u64,
    zones: Vec<String>,
    /// The version of the last list taken.
    pub index: u64,
    /// Until then lists may come from a discovery that is behind the one before it.
    behind_until: Nanos,
}

/// Whatever discovery has to tell it tells within this time; what it says later is its last word.
pub const LATE: Nanos = 6_000_000_000;

/// A zone that the settings do not name: nobody's own.
const NO_ZONE: u16 = u16::MAX;

impl Replicas {
    pub fn new(zones: Vec<String>) -> Replicas {
        Replicas { zones, ..Replicas::default() }
    }

    pub fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.known.get(&id)
    }

    pub fn get_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.known.get_mut(&id)
    }

    /// How many are known, those gone included.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    pub fn any_ready(&self) -> bool {
        self.known.values().any(|r| r.standing == Standing::Ready)
    }

    /// Lists come from elsewhere from now on. That one may have yet to hear what was told before: until it must
    /// have, it brings nothing back that is leaving. Returns when that is.
    pub fn moved(&mut self, now: Nanos) -> Nanos {
        self.behind_until = now + LATE;
        self.behind_until
    }

    /// Takes a list over.
    pub fn take(&mut self, now: Nanos, listing: &Listing) -> Change {
        self.index = listing.index;
        // Those gone for long have nothing left to end, and no late list can mean them.
        self.known.retain(|_, r| r.gone.is_none_or(|gone| now < gone + LATE) || !r.links.is_empty());
        let known = &self.known;
        self.numbers.retain(|_, id| known.contains_key(id));
        let mut left = Vec::new();
        let members: Vec<Member> =
            listing.endpoints.iter().filter_map(|e| self.member(now, e, &mut left)).collect();
        let mut leaving = Vec::new();
        if listing.snapshot {
            let listed: BTreeSet<ReplicaId> = members.iter().map(|m| m.replica).collect();
            for (id, replica) in self.known.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                replica.standing = Standing::Gone;
                replica.gone.get_or_insert(now);
                leaving.push(*id);
            }
        }
        leaving.extend(members.iter().filter(|m| m.standing != Standing::Ready).map(|m| m.replica));
        let kind = if listing.snapshot { ListKind::Full } else { ListKind::Changes };
        Change { kind, members, leaving, left }
    }

    fn member(&mut self, now: Nanos, endpoint: &Endpoint, left: &mut Vec<LinkId>) -> Option<Member> {
        let number = self.numbers.get(&endpoint.name).copied();
        let held = number.and_then(|id| self.known.get(&id));
        let known = held.map(|r| r.address);
        let started = endpoint.since_ms.saturating_mul(1_000_000);
        let leaving = held.filter(|r| r.standing != Standing::Ready && started <= r.started);
        let leaving = leaving.filter(|_| now < self.behind_until).map(|r| r.standing);
        let stated = endpoint.address.parse().ok();
        if stated.is_none() && endpoint.status == Status::Up {
            let Endpoint { name, address, .. } = endpoint;
            tracing::warn!(name, address, "listed as up without a usable address");
        }
        let standing = match endpoint.status {
            // What is up can't be reached without an address; it may have left where it was.
            Status::Up if stated.is_some() => leaving.unwrap_or(Standing::Ready),
            Status::Up | Status::Draining => Standing::Draining,
            Status::Removed => Standing::Gone,
        };
        let address = stated.or(known)?;
        let id = *self.numbers.entry(endpoint.name.clone()).or_insert_with(|| {
            self.last += 1;
            // Numbers are this process's own: the name is what ties the logs of a fleet together.
            tracing::debug!(replica = self.last, name = endpoint.name, %address, "replica numbered");
            ReplicaId(self.last)
        });
        let zone = self.zones.iter().position(|zone| *zone == endpoint.zone);
        let zone = zone.map_or(NO_ZONE, |zone| zone as u16);
        let new = Replica { address, zone, standing, links: Vec::new(), started, gone: None };
        let replica = self.known.entry(id).or_insert(new);
        if replica.address != address {
            left.append(&mut replica.links);
        }
        let gone = (standing == Standing::Gone).then(|| replica.gone.unwrap_or(now));
        (replica.address, replica.zone, replica.standing) = (address, zone, standing);
        (replica.started, replica.gone) = (started.max(replica.started), gone);
        Some(Member { replica: id, cell: endpoint.group, zone, started, standing })
    }
}
