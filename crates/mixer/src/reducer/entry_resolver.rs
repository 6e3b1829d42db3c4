//! Completes the entries of endpoint updates from the known records of their replicas.

use super::replica_table::Replica;
use super::NANOS_PER_MS;
use crate::protocol::endpoint_updates::{Address, EndpointEntry, Status};
use cottonhill_decisions::{EndpointStatus, Nanos};

/// The index of a zone that is not in the settings.
pub(super) const UNKNOWN_ZONE: u16 = u16::MAX;

/// An entry of an endpoint update, with missing values filled in from the replica's record.
pub(super) struct ResolvedEntry {
    /// The replica's name.
    pub(super) name: Box<str>,
    /// The address on which it listens.
    pub(super) address: Address,
    /// The cell that it serves.
    pub(super) cell: u16,
    /// Its zone's index in the settings, or [`UNKNOWN_ZONE`].
    pub(super) zone: u16,
    /// When it was started, in Unix nanoseconds.
    pub(super) started_at: Nanos,
    /// Its status, which determines what may be sent to it.
    pub(super) status: EndpointStatus,
}

/// Completes entries from the settings and from the records of their replicas.
#[derive(Debug, Default)]
pub(super) struct EntryResolver {
    /// The names of the zones, in the order of the settings.
    zones: Vec<String>,
    /// Until this time, updates may come from a discovery service that lags behind the previous one.
    lagging_until: Nanos,
}

impl EntryResolver {
    /// Creates a resolver. `zones` are the names of the zones, in the order of the settings.
    pub(super) fn new(zones: Vec<String>) -> EntryResolver {
        EntryResolver {
            zones,
            lagging_until: 0,
        }
    }

    /// Sets the time until which updates may lag behind changes that were announced earlier.
    pub(super) fn set_lagging_until(&mut self, time: Nanos) {
        self.lagging_until = time;
    }

    /// Completes an entry from the record of its replica, if there is one. `None` if the address is not known.
    pub(super) fn resolve(
        &self,
        now: Nanos,
        entry: EndpointEntry,
        replica: Option<&Replica>,
    ) -> Option<ResolvedEntry> {
        let started_at = entry.started_ms.saturating_mul(NANOS_PER_MS);
        let status = match entry.status {
            // Without an address the server counts as draining, since its known address may be out of date.
            Status::Up if entry.address.is_some() => self
                .retained_status(now, replica, started_at)
                .unwrap_or(EndpointStatus::Ready),
            Status::Up | Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Removed,
        };
        let address = entry
            .address
            .or_else(|| replica.map(|replica| replica.address.clone()))?;
        Some(ResolvedEntry {
            name: entry.name,
            address,
            cell: entry.cell,
            zone: self.zone_index(&entry.zone),
            started_at,
            status,
        })
    }

    /// The status of a draining or removed replica that an update lists as up while updates may lag behind: it is
    /// retained, unless the server has been restarted. `None` if the update applies.
    fn retained_status(
        &self,
        now: Nanos,
        replica: Option<&Replica>,
        started_at: Nanos,
    ) -> Option<EndpointStatus> {
        let replica = replica?;
        let is_lagging = now < self.lagging_until;
        let was_restarted = started_at > replica.started_at;
        let is_not_ready = replica.status != EndpointStatus::Ready;
        (is_lagging && is_not_ready && !was_restarted).then_some(replica.status)
    }

    /// The zone's index in the settings, or [`UNKNOWN_ZONE`].
    fn zone_index(&self, name: &str) -> u16 {
        let index = self.zones.iter().position(|zone| zone == name);
        index.map_or(UNKNOWN_ZONE, |index| index as u16)
    }
}

/// Whether an entry announces a server as draining or removed without listing it; such an entry has no effect on an
/// unlisted server. In a snapshot, a draining entry does list its server.
pub(super) fn is_removal(entry: &EndpointEntry, snapshot: bool) -> bool {
    match entry.status {
        Status::Up => false,
        Status::Draining => !snapshot,
        Status::Removed => true,
    }
}
