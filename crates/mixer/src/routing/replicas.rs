//! The leaf servers as discovery has told them, and their numbers for the decision module.

use super::messages::LinkId;
use crate::interface::{ListKind, Member, ReplicaId, Standing};
use crate::protocol::discovery::{Endpoint, Listing, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Debug)]
pub struct Replica {
    pub address: SocketAddr,
    pub zone: u16,
    pub standing: Standing,
    /// Its connections, oldest first.
    pub links: Vec<LinkId>,
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
}

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

    /// Takes a list over. Returns its lines for the module and the replicas that may get nothing new now.
    pub fn take(&mut self, listing: &Listing) -> (ListKind, Vec<Member>, Vec<ReplicaId>) {
        self.index = listing.index;
        // Those gone for longer than since the last list have nothing left to end.
        self.known.retain(|_, r| r.standing != Standing::Gone || !r.links.is_empty());
        let known = &self.known;
        self.numbers.retain(|_, id| known.contains_key(id));
        let members: Vec<Member> = listing.endpoints.iter().filter_map(|e| self.member(e)).collect();
        let mut stopped = Vec::new();
        if listing.snapshot {
            let listed: BTreeSet<ReplicaId> = members.iter().map(|m| m.replica).collect();
            for (id, replica) in self.known.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                replica.standing = Standing::Gone;
                stopped.push(*id);
            }
        }
        stopped.extend(members.iter().filter(|m| m.standing != Standing::Ready).map(|m| m.replica));
        let kind = if listing.snapshot { ListKind::Full } else { ListKind::Changes };
        (kind, members, stopped)
    }

    fn member(&mut self, endpoint: &Endpoint) -> Option<Member> {
        let number = self.numbers.get(&endpoint.name).copied();
        let known = number.and_then(|id| self.known.get(&id)).map(|r| r.address);
        let stated = endpoint.address.parse().ok();
        if stated.is_none() {
            tracing::warn!(
                name = endpoint.name,
                address = endpoint.address,
                "listed without a usable address"
            );
        }
        let standing = match endpoint.status {
            // What is up can't be reached without one; it may have left where it was.
            Status::Up if stated.is_some() => Standing::Ready,
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
        let replica = self.known.entry(id).or_insert(Replica { address, zone, standing, links: Vec::new() });
        if replica.address != address {
            // It has moved: its old connections lead elsewhere and only end what is out on them.
            replica.links.clear();
        }
        (replica.address, replica.zone, replica.standing) = (address, zone, standing);
        Some(Member {
            replica: id,
            cell: endpoint.group,
            zone,
            started: endpoint.since_ms.saturating_mul(1_000_000),
            standing,
        })
    }
}
