//! Discovery: endpoint updates, the watch, and a switch to another address.

use super::replicas::EndpointChanges;
use super::timers::Timer;
use super::watch_policy::WatchMode;
use super::{Effect, Reducer, UpdateFault, WatchEvent, WatchPolicy, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::settings::MixerSettings;
use cottonhill_decisions::{DiscoveryMode, EndpointUpdateKind, Event, Nanos, Settings};
use std::net::SocketAddr;
use std::time::Duration;

/// The policy for requests to discovery, and the time of its last message.
#[derive(Debug)]
pub(super) struct Discovery {
    watch_policy: WatchPolicy,
    /// When an update or a heartbeat was last received; initially the start of the process.
    last_received_at: Nanos,
}

impl Discovery {
    pub(super) fn new(
        now: Nanos,
        mixer_settings: &MixerSettings,
        settings: &Settings,
        seed: u64,
    ) -> Discovery {
        let mode = watch_mode(mixer_settings, settings);
        Discovery {
            watch_policy: WatchPolicy::new(mode, seed, settings.fleet_size),
            last_received_at: now,
        }
    }

    /// The schedule and the timeouts of requests for the endpoint list.
    pub(super) fn watch_policy(&self) -> &WatchPolicy {
        &self.watch_policy
    }

    /// Sets the memory limit of the process, in bytes. It bounds the size of accepted endpoint updates.
    pub(super) fn limit_memory(&mut self, memory: usize) {
        self.watch_policy.limit_memory(memory);
    }

    /// How long a new process waits for its first endpoint update before it uses the cached list.
    pub(super) fn initial_list_timeout(&self) -> Nanos {
        self.watch_policy.initial_list_timeout().as_nanos() as Nanos
    }

    /// Milliseconds since an update or a heartbeat was last received.
    pub(super) fn ms_since_last_message(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.last_received_at) / NANOS_PER_MS
    }
}

/// The watch mode according to the settings.
fn watch_mode(mixer_settings: &MixerSettings, settings: &Settings) -> WatchMode {
    match settings.discovery_mode {
        DiscoveryMode::Poll => {
            let max_staleness = Duration::from_nanos(settings.max_list_staleness);
            WatchMode::Poll {
                max_staleness: (!max_staleness.is_zero()).then_some(max_staleness),
            }
        }
        DiscoveryMode::Push => WatchMode::Push {
            drain_grace: Duration::from_nanos(mixer_settings.drain_grace),
        },
    }
}

impl Reducer {
    pub(super) fn on_endpoints_updated(&mut self, now: Nanos, update: EndpointUpdate) {
        let (version, snapshot) = (update.version, update.snapshot);
        let entries = update.entries.len();
        let invalid_entries = update.invalid_entries as u64;
        let changes = self.replicas.apply_update(now, update);
        self.count_update(invalid_entries, &changes);
        tracing::debug!(
            target: log_targets::CONNECTIONS, version,
            entries,
            snapshot,
            changed_endpoints = changes.endpoints.len(),
            not_ready = changes.not_ready.len(),
            ms_since_last_message = self.discovery.ms_since_last_message(now),
            "endpoint update applied"
        );
        self.discovery.last_received_at = now;
        if self.replicas.has_ready() {
            self.lifecycle.on_ready_endpoint();
        }
        // A snapshot has been reduced to its changes, which include unlisted endpoints as removed.
        self.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: changes.endpoints,
        });
        // Unsent attempts at a draining or removed replica, or at the former address of a replica, are withdrawn.
        for replica in changes.not_ready {
            tracing::debug!(target: log_targets::CONNECTIONS, replica = replica.0, version, "replica announced as draining or removed");
            for connection in self.replicas.connections(replica).to_vec() {
                self.withdraw_unsent_attempts(now, connection);
            }
        }
        for connection in changes.stale_connections {
            self.withdraw_unsent_attempts(now, connection);
        }
        self.stop_awaiting_discovery(now);
    }

    fn count_update(&mut self, invalid_entries: u64, changes: &EndpointChanges) {
        self.counters.endpoint_updates += 1;
        let update_faults = &mut self.counters.update_faults;
        update_faults.invalid_entries += invalid_entries;
        update_faults.duplicate_entries += changes.duplicate_entries;
        update_faults.unlisted_removals += changes.unlisted_removals;
        self.counters.memory.ignored_endpoints += changes.ignored_entries;
    }

    pub(super) fn on_discovery_timeout(&mut self, now: Nanos) {
        if !self.lifecycle.is_awaiting_discovery() {
            return;
        }
        self.counters.watches.startup_timeouts += 1;
        tracing::warn!(
            target: log_targets::BATCHES, version = self.replicas.version(),
            "no endpoint update in time at startup, cached endpoint list used"
        );
        self.stop_awaiting_discovery(now);
    }

    /// Ends the wait for the first endpoint update, which was received or has timed out. From now on batches are
    /// decided, including the queries received so far.
    fn stop_awaiting_discovery(&mut self, now: Nanos) {
        if self.lifecycle.is_awaiting_discovery() {
            self.lifecycle.stop_awaiting_discovery();
            self.deduct_waiting_time(now);
        }
    }

    /// Deducts the time that queries have waited for discovery from their client timeouts and adds it to their network
    /// delays.
    fn deduct_waiting_time(&mut self, now: Nanos) {
        for event in &mut self.events {
            let Event::QueryReceived {
                id,
                client_timeout,
                network_delay,
                ..
            } = event
            else {
                continue;
            };
            let remaining_time = match self.queries.get(*id) {
                Some(query) => query.deadline.saturating_sub(now),
                None => 0,
            };
            *network_delay += client_timeout.saturating_sub(remaining_time);
            *client_timeout = remaining_time;
        }
    }

    pub(super) fn on_watch_event(&mut self, now: Nanos, event: WatchEvent) {
        let watches = &mut self.counters.watches;
        let update_faults = &mut self.counters.update_faults;
        match event {
            WatchEvent::Requested => watches.requested += 1,
            WatchEvent::Heartbeat => self.discovery.last_received_at = now,
            WatchEvent::Ended { timed_out } => {
                watches.ended += 1;
                watches.timed_out += u64::from(timed_out);
            }
            WatchEvent::UpdateRejected(UpdateFault::TooLarge) => update_faults.too_large += 1,
            WatchEvent::UpdateRejected(UpdateFault::Malformed) => update_faults.malformed += 1,
            WatchEvent::UpdateRejected(UpdateFault::VersionRegressed) => {
                update_faults.version_regressed += 1
            }
            WatchEvent::VersionRegressed => update_faults.snapshot_version_regressed += 1,
        }
    }

    /// Starts a new watch at the configured address, even if the address is unchanged, since an operator may reload to
    /// renew the watch. The endpoint list, connections and queries are kept.
    pub(super) fn on_config_reloaded(&mut self, now: Nanos, discovery: Option<SocketAddr>) {
        let Some(address) = discovery else {
            self.counters.reloads.invalid += 1;
            return;
        };
        self.counters.reloads.applied += 1;
        let mut from_version = Some(self.replicas.version());
        if self.discovery.watch_policy.versions_differ_by_address() {
            // Versions of different addresses are not comparable.
            from_version = None;
            let caught_up_at = self.replicas.on_discovery_switched(now);
            self.timers.cancel_discovery_caught_up();
            self.timers
                .set(caught_up_at, Timer::DiscoveryCaughtUp(address));
        }
        self.effects.push(Effect::WatchEndpoints {
            address,
            from_version,
        });
    }
}
