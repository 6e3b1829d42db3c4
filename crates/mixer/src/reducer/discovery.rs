//! Discovery: endpoint updates, the watch, and a switch to another address.

use super::replicas::EndpointChanges;
use super::timers::Timer;
use super::watch_policy::WatchMode;
use super::{Effect, Reducer, UpdateFault, WatchEvent, WatchId, WatchPolicy, NANOS_PER_MS};
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
    /// Whether an update was rejected and no snapshot has arrived since: the changes in it are unknown.
    needs_snapshot: bool,
    /// The address of the last reload; `None` before the first one.
    address: Option<SocketAddr>,
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
            needs_snapshot: false,
            address: None,
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
    /// Applies an update, and stops the watches that its watch has replaced. An update of a watch that was stopped is
    /// ignored.
    pub(super) fn on_endpoints_updated(
        &mut self,
        now: Nanos,
        watch: WatchId,
        update: EndpointUpdate,
    ) {
        if !self.watches.contains(watch) {
            return;
        }
        let replaced = self.watches.on_update(watch);
        if self.is_overtaken(now, &update) {
            self.discovery.last_received_at = now;
        } else {
            self.apply_endpoints(now, update);
        }
        for watch in replaced {
            self.stop_watch(watch, "a newer watch has delivered an update");
        }
    }

    /// Whether another watch has delivered later changes than this update of a new watch, which was on its way meanwhile: a
    /// delta without news must not undo them. A snapshot applies all the same, since discovery may have been restarted;
    /// after a reload it makes no replica ready again that was announced as draining or removed, until discovery must have
    /// caught up.
    fn is_overtaken(&mut self, now: Nanos, update: &EndpointUpdate) -> bool {
        let versions_differ = self.discovery.watch_policy.versions_differ_by_address();
        if versions_differ || update.version >= self.replicas.version() {
            return false;
        }
        if update.snapshot {
            self.expect_lag(now);
        }
        !update.snapshot
    }

    fn apply_endpoints(&mut self, now: Nanos, update: EndpointUpdate) {
        self.discovery.needs_snapshot &= !update.snapshot;
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

    pub(super) fn on_watch_event(&mut self, now: Nanos, watch: WatchId, event: WatchEvent) {
        self.count_watch_event(event);
        match event {
            WatchEvent::Requested => self.watches.on_requested(watch),
            WatchEvent::Heartbeat => self.discovery.last_received_at = now,
            WatchEvent::Ended { .. } => {
                if self.watches.on_connection_ended(watch) {
                    self.stop_watch(watch, "its connection has ended");
                }
            }
            WatchEvent::UpdateRejected(_) => self.discovery.needs_snapshot = true,
            WatchEvent::VersionRegressed => {}
        }
    }

    fn count_watch_event(&mut self, event: WatchEvent) {
        let watches = &mut self.counters.watches;
        let update_faults = &mut self.counters.update_faults;
        match event {
            WatchEvent::Requested => watches.requested += 1,
            WatchEvent::Heartbeat => {}
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
    /// renew the watch. The endpoint list, connections and queries are kept, and so is the watch until the new one has
    /// delivered an update.
    pub(super) fn on_config_reloaded(&mut self, now: Nanos, discovery: Option<SocketAddr>) {
        let Some(address) = discovery else {
            self.counters.reloads.invalid += 1;
            return;
        };
        self.counters.reloads.applied += 1;
        self.discovery.address = Some(address);
        let mut from_version = Some(self.replicas.version());
        if self.discovery.needs_snapshot {
            from_version = None;
        }
        if self.discovery.watch_policy.versions_differ_by_address() {
            // Versions of different addresses are not comparable.
            from_version = None;
            self.expect_lag(now);
        }
        self.replace_watch(address, from_version);
    }

    /// Expects updates that do not have the changes yet that were announced earlier, and requests a snapshot once they
    /// have. Has no effect before the first reload.
    fn expect_lag(&mut self, now: Nanos) {
        let Some(address) = self.discovery.address else {
            return;
        };
        let caught_up_at = self.replicas.on_discovery_switched(now);
        self.timers.cancel_discovery_caught_up();
        self.timers
            .set(caught_up_at, Timer::DiscoveryCaughtUp(address));
    }

    /// Starts a watch in place of the current one, which goes on until the new one has delivered an update or its own
    /// connection ends.
    pub(super) fn replace_watch(&mut self, address: SocketAddr, from_version: Option<u64>) {
        let (watch, stopped) = self.watches.replace_current();
        tracing::debug!(
            target: log_targets::CONNECTIONS, ?watch,
            %address,
            from_version,
            running = self.watches.len(),
            "endpoint watch replaced"
        );
        for watch in stopped {
            self.stop_watch(
                watch,
                "it has no connection, or too many watches are running",
            );
        }
        self.effects.push(Effect::WatchEndpoints {
            watch,
            address,
            from_version,
        });
    }

    fn stop_watch(&mut self, watch: WatchId, reason: &'static str) {
        tracing::debug!(target: log_targets::CONNECTIONS, ?watch, reason, "replaced endpoint watch stopped");
        self.effects.push(Effect::StopWatch { watch });
    }
}
