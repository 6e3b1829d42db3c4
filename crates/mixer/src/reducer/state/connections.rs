//! Leaf servers: the list, the connections and what comes in on them.

use super::{Reducer, MS};
use crate::log_targets;
use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::protocol::leaf_frames::{LeafResponse, PartStatus};
use crate::reducer::leaf_connection::{Answered, LeafConnection, Phase};
use crate::reducer::replicas::Change;
use crate::reducer::timers::Timer;
use crate::reducer::{ConnectionId, Effect, UpdateFault, WatchEvent};
use cottonhill_decisions::{
    EndpointUpdateKind, Event, LoadReport, Nanos, Outcome, ReplicaId, RequestId,
};
use std::net::SocketAddr;

/// The same where the settings leave no grace: half of what the protocol adds to each time limit.
const LEAST_STUCK: Nanos = 25 * MS;

impl Reducer {
    /// Puts a list in force.
    pub(super) fn take_list(&mut self, now: Nanos, listing: EndpointUpdate) {
        let (index, lines, whole) = (listing.version, listing.entries.len(), listing.snapshot);
        let unusable = listing.invalid_entries as u64;
        let Change {
            members,
            leaving,
            left,
            repeated,
            unknown,
        } = self.replicas.take(now, listing);
        self.counters.lists += 1;
        self.counters.bad_lists.unusable += unusable;
        self.counters.bad_lists.repeated += repeated;
        self.counters.bad_lists.unknown += unknown;
        let since_heard_ms = now.saturating_sub(self.heard) / MS;
        let (changed, leave) = (members.len(), leaving.len());
        tracing::debug!(
            target: log_targets::CONNECTIONS, index,
            lines,
            whole,
            changed,
            leaving = leave,
            since_heard_ms,
            "list taken"
        );
        self.heard = now;
        if self.replicas.any_ready() {
            self.lifecycle.on_ready_endpoint();
        }
        // A whole list comes as what it changes too: whom it leaves out is among its members as gone.
        self.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: members,
        });
        // What waits for a replica that drains or is gone never goes out: the rule counts its first byte. Nor does
        // what waits for an address that was left; others go on at the new one.
        for id in leaving {
            tracing::debug!(target: log_targets::CONNECTIONS, replica = id.0, index, "replica announced as leaving");
            for connection in self.replicas.connections(id).to_vec() {
                self.withdraw(now, connection);
            }
        }
        for connection in left {
            self.withdraw(now, connection);
        }
        if self.lifecycle.is_awaiting_discovery() {
            self.hear_first(now);
        }
    }

    /// Takes back what has not gone to the socket. What has may still wait there for its first byte.
    fn withdraw(&mut self, now: Nanos, connection: ConnectionId) {
        let Some((_, it)) = self.connections.get(&connection) else {
            return;
        };
        if let Some(given) = it.call_given() {
            // Half of the grace is for the socket to say that it took the call, the other for the connection to go.
            let due = now + (self.site.drain_grace / 2).max(LEAST_STUCK);
            self.timers.set(due, Timer::WriteStalled(connection, given));
        }
        let unsent = it.unsent();
        self.counters.watches.withdrawn += unsent.len() as u64;
        for attempt in unsent {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
        self.pending.insert(connection);
    }

    /// The socket still has a call that may not begin any more: its replica has left, its client has, or the time in
    /// which repeats are dropped where it goes is over.
    pub(super) fn stuck(&mut self, now: Nanos, connection: ConnectionId, given: Nanos) {
        if self
            .connections
            .get(&connection)
            .and_then(|(_, it)| it.call_given())
            == Some(given)
        {
            self.counters.connections.stuck += 1;
            tracing::info!(
                target: log_targets::CONNECTIONS, link = connection,
                "a call was not taken by its connection while it might begin: closed"
            );
            self.close_link(now, connection);
        }
    }

    pub(super) fn watched(&mut self, now: Nanos, news: WatchEvent) {
        let watches = &mut self.counters.watches;
        match news {
            WatchEvent::Requested => watches.asked += 1,
            WatchEvent::Heartbeat => self.heard = now,
            WatchEvent::Ended { silent } => {
                watches.ended += 1;
                watches.silent += u64::from(silent);
            }
            WatchEvent::UpdateRejected(fault) => {
                let bad = &mut self.counters.bad_lists;
                *match fault {
                    UpdateFault::TooLarge => &mut bad.over_bound,
                    UpdateFault::Malformed => &mut bad.unreadable,
                    UpdateFault::VersionRegressed => &mut bad.went_back,
                } += 1;
            }
            WatchEvent::VersionRegressed => self.counters.bad_lists.whole_went_back += 1,
        }
    }

    /// The first list of this life is in, or is not waited for any longer: what came until now is decided. Its time
    /// has gone on meanwhile.
    pub(super) fn hear_first(&mut self, now: Nanos) {
        self.lifecycle.on_discovery_settled();
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
            let left = self
                .queries
                .get(id)
                .map_or(0, |query| query.deadline.saturating_sub(now));
            *network_delay += client_timeout.saturating_sub(left);
            *client_timeout = left;
        }
    }

    /// The list, its version, connections and queries stay; only where the list comes from changes. It is
    /// asked for anew even at the same address: whoever reloads may want just that.
    pub(super) fn reloaded(&mut self, now: Nanos, discovery: Option<SocketAddr>) {
        let Some(address) = discovery else {
            self.counters.reloads.bad += 1;
            return;
        };
        self.counters.reloads.taken += 1;
        let mut from_version = Some(self.replicas.index);
        if self.watching.versions_differ_by_address() {
            // Its versions are its own: they do not compare with that of the list in force.
            from_version = None;
            let settled = self.replicas.moved(now);
            self.timers.cancel_switch_settled();
            self.timers.set(settled, Timer::SwitchSettled(address));
        }
        self.effects.push(Effect::WatchEndpoints {
            address,
            from_version,
        });
    }

    pub(super) fn heard(&mut self, now: Nanos, connection: ConnectionId, frame: LeafResponse) {
        let Some((_, it)) = self.connections.get_mut(&connection) else {
            return;
        };
        it.hear(now);
        self.pending.insert(connection);
        match frame {
            LeafResponse::Answer {
                id,
                status,
                report,
                value,
            } => {
                let attempt = match it.answered(&id) {
                    Answered::Attempt(attempt) => attempt,
                    Answered::Over => return,
                    Answered::Unknown => return self.spoilt(now, connection, None),
                };
                let outcome = match status {
                    PartStatus::Ok => Outcome::Ok,
                    PartStatus::Error => Outcome::Error,
                    PartStatus::Busy => Outcome::Rejected,
                };
                if outcome == Outcome::Ok {
                    self.keep_value(attempt.0, &value);
                }
                let report = self.report(&report);
                self.ended(attempt, outcome, report);
            }
            LeafResponse::ProbeAnswer { ok, report } => {
                let Some(probe) = it.probed() else { return };
                let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                self.probe_ended(now, probe, outcome, &report);
            }
            LeafResponse::ProtocolError(words) => {
                tracing::warn!(target: log_targets::CONNECTIONS, link = connection, words, "leaf server could not use a frame")
            }
            LeafResponse::Malformed(id) => self.spoilt(now, connection, id.as_deref()),
        }
    }

    /// Keeps the first value that comes for a part.
    fn keep_value(&mut self, part: RequestId, value: &[u8]) {
        let Some(part) = self
            .parts
            .get_mut(&part)
            .filter(|part| part.value.is_none())
        else {
            return;
        };
        // Checked to be text by the codec, so nothing is lost here.
        part.value = Some(String::from_utf8_lossy(value).into_owned());
        self.open_parts -= 1;
    }

    /// A leaf server sent what can't be read. It is alive and ran what it answered: that attempt has
    /// failed. The others out there wait for what will never come, so they are withdrawn with the
    /// connection, at once.
    pub(super) fn spoilt(&mut self, now: Nanos, connection: ConnectionId, id: Option<&str>) {
        let Some((replica, it)) = self.connections.get_mut(&connection) else {
            return;
        };
        self.counters.connections.spoilt += 1;
        tracing::info!(
            target: log_targets::CONNECTIONS, link = connection,
            replica = replica.0,
            id,
            "spoilt answer: its connection is closed"
        );
        let failed = it.spoilt(id);
        let others = it.written();
        if let Some(failed) = failed {
            self.ended(failed, Outcome::Error, LoadReport::new());
        }
        for other in others.into_iter().filter(|other| Some(*other) != failed) {
            self.ended(other, Outcome::Cancelled, LoadReport::new());
        }
        self.close_link(now, connection);
    }

    /// The values of a report, in the order that the settings state; `-` or what lacks one is no report.
    pub(super) fn report(&self, text: &str) -> LoadReport {
        let value = |name: &String| {
            let mut pairs = text
                .split([',', ';'])
                .filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| key.trim() == name)
                .and_then(|(_, v)| v.trim().parse().ok().filter(|v: &f32| v.is_finite()))
        };
        self.site
            .load_report_fields
            .iter()
            .map(value)
            .collect::<Option<_>>()
            .unwrap_or_default()
    }

    pub(super) fn link_ended(&mut self, now: Nanos, connection: ConnectionId) {
        let Some((id, it)) = self.connections.remove(&connection) else {
            return;
        };
        if let Some(at) = it.idle_alarm {
            self.timers.cancel(at, Timer::IdleTimeout(connection));
        }
        self.replicas.disconnect(id, connection);
        let (attempts, probes) = it.end();
        for (attempt, may_have_run) in attempts {
            let outcome = if may_have_run {
                Outcome::ConnectionReset
            } else {
                Outcome::ConnectFailed
            };
            self.ended(attempt, outcome, LoadReport::new());
        }
        for probe in probes {
            self.probe_ended(now, probe, Outcome::ConnectFailed, "");
        }
    }

    /// Closes a connection of ours, for whatever is still on it as if it had broken. The socket may have taken the
    /// last byte of a call a moment ago and not have said so yet: that call may run.
    pub(super) fn close_link(&mut self, now: Nanos, connection: ConnectionId) {
        if let Some((_, it)) = self
            .connections
            .get_mut(&connection)
            .filter(|(_, it)| it.call_given().is_some())
        {
            it.wrote();
        }
        self.effects.push(Effect::CloseConnection { connection });
        self.link_ended(now, connection);
    }

    pub(super) fn open_link(&mut self, now: Nanos, id: ReplicaId) -> Option<ConnectionId> {
        if self.connections.len() >= self.descriptor_budget.leaf_connections() && !self.evict(now) {
            return None;
        }
        let connection = self.id();
        let address = self.replicas.connect(id, connection)?;
        self.effects.push(Effect::Connect {
            connection,
            address,
        });
        self.counters.connections.opened += 1;
        self.connections
            .insert(connection, (id, LeafConnection::new(now)));
        self.timers.set(
            now + self.site.connect_timeout,
            Timer::ConnectTimeout(connection),
        );
        Some(connection)
    }

    /// Closes the connection that has been idle for longest. There may be more leaf servers than descriptors.
    fn evict(&mut self, now: Nanos) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, (_, it))| it.phase() == Phase::Open && it.is_idle());
        let Some(connection) = idle
            .min_by_key(|(_, (_, it))| it.idle_since)
            .map(|(connection, _)| *connection)
        else {
            return false;
        };
        self.counters.connections.evicted += 1;
        self.close_link(now, connection);
        true
    }

    /// A connection with room, the oldest first so that few stay in use; a new one where none has any.
    pub(super) fn link_for(
        &mut self,
        now: Nanos,
        id: ReplicaId,
        wire: &str,
    ) -> Option<ConnectionId> {
        let fits = |connection: &&ConnectionId| {
            self.connections
                .get(connection)
                .is_some_and(|(_, it)| it.has_room(self.site.max_streams_per_connection, wire))
        };
        match self.replicas.connections(id).iter().find(fits) {
            Some(connection) => Some(*connection),
            None => self.open_link(now, id),
        }
    }
}
