//! What an entry of an endpoint update states of a replica, given what is known of the replica.

use super::replica_table::Replica;
use super::NANOS_PER_MS;
use crate::protocol::endpoint_updates::{Address, EndpointEntry, Status};
use cottonhill_decisions::{EndpointStatus, Nanos};

/// Stands for a zone that the settings do not name.
pub(super) const UNKNOWN_ZONE: u16 = u16::MAX;

/// An entry, with the values that it does not state taken from the replica's record.
pub(super) struct ResolvedEntry {
    /// The replica's name.
    pub(super) name: Box<str>,
    /// Where it listens.
    pub(super) address: Address,
    /// The cell that it holds.
    pub(super) cell: u16,
    /// Its zone's index in the settings, or [`UNKNOWN_ZONE`].
    pub(super) zone: u16,
    /// When it was started, in Unix nanoseconds.
    pub(super) started_at: Nanos,
    /// What may be sent to it.
    pub(super) status: EndpointStatus,
}

/// Completes entries by the settings and by the records of their replicas.
#[derive(Debug, Default)]
pub(super) struct EntryResolver {
    /// The names of the zones, in the order of the settings.
    zones: Vec<String>,
    /// Until then, updates may come from a discovery that lags behind the one before.
    lagging_until: Nanos,
}

impl EntryResolver {
    /// `zones` are the names of the zones, in the order of the settings.
    pub(super) fn new(zones: Vec<String>) -> EntryResolver {
        EntryResolver {
            zones,
            lagging_until: 0,
        }
    }

    /// Until `time`, updates may lag behind what was announced before.
    pub(super) fn set_lagging_until(&mut self, time: Nanos) {
        self.lagging_until = time;
    }

    /// Completes an entry from the record of its name, if there is one. `None` if the address is not known.
    pub(super) fn resolve(
        &self,
        now: Nanos,
        entry: EndpointEntry,
        replica: Option<&Replica>,
    ) -> Option<ResolvedEntry> {
        let started_at = entry.started_ms.saturating_mul(NANOS_PER_MS);
        let status = match entry.status {
            // A server that is up can't be reached without an address: its known address may be a former one.
            Status::Up if entry.address.is_some() => self
                .retained_status(now, replica, started_at)
                .unwrap_or(EndpointStatus::Ready),
            Status::Up | Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Gone,
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

    /// The status that a replica keeps although an update lists it as up, since the update may lag behind: draining or
    /// gone, unless the server has been restarted.
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

    /// The zone's index in the settings.
    fn zone_index(&self, name: &str) -> u16 {
        let index = self.zones.iter().position(|zone| zone == name);
        index.map_or(UNKNOWN_ZONE, |index| index as u16)
    }
}

/// Whether an entry only removes: of a name that is not known it changes nothing.
pub(super) fn is_removal(entry: &EndpointEntry, snapshot: bool) -> bool {
    match entry.status {
        Status::Up => false,
        Status::Draining => !snapshot,
        Status::Removed => true,
    }
}
