//! Leaf servers: the list, the connections and what comes in on them.

use super::{Alarm, State, MS};
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::leaf::{End, FromLeaf};
use crate::routing::link::{Answered, Link, Phase};
use crate::routing::messages::{Effect, LinkId, ListFault, WatchNews};
use crate::routing::replicas::Change;
use cottonhill_decisions::{
    EndpointUpdateKind, Event, LoadReport, Nanos, Outcome, ReplicaId, RequestId,
};
use std::net::SocketAddr;

/// The same where the settings leave no grace: half of what the protocol adds to each time limit.
const LEAST_STUCK: Nanos = 25 * MS;

impl State {
    /// Puts a list in force.
    pub(super) fn take_list(&mut self, now: Nanos, listing: EndpointUpdate) {
        let (index, lines, whole) = (listing.index, listing.endpoints.len(), listing.snapshot);
        let unusable = listing.unusable as u64;
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
            index,
            lines,
            whole,
            changed,
            leaving = leave,
            since_heard_ms,
            "list taken"
        );
        self.heard = now;
        self.listed |= self.replicas.any_ready();
        // A whole list comes as what it changes too: whom it leaves out is among its members as gone.
        self.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Delta,
            endpoints: members,
        });
        // What waits for a replica that drains or is gone never goes out: the rule counts its first byte. Nor does
        // what waits for an address that was left; others go on at the new one.
        for id in leaving {
            tracing::debug!(replica = id.0, index, "replica announced as leaving");
            for link in self.replicas.links(id).to_vec() {
                self.withdraw(now, link);
            }
        }
        for link in left {
            self.withdraw(now, link);
        }
        if self.unheard {
            self.hear_first(now);
        }
    }

    /// Takes back what has not gone to the socket. What has may still wait there for its first byte.
    fn withdraw(&mut self, now: Nanos, link: LinkId) {
        let Some((_, it)) = self.links.get(&link) else {
            return;
        };
        if let Some(given) = it.call_given() {
            // Half of the grace is for the socket to say that it took the call, the other for the connection to go.
            let due = now + (self.site.drain_grace / 2).max(LEAST_STUCK);
            self.alarms.insert((due, Alarm::Stuck(link, given)));
        }
        let unsent = it.unsent();
        self.counters.watches.withdrawn += unsent.len() as u64;
        for attempt in unsent {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
        self.pending.insert(link);
    }

    /// The socket still has a call that may not begin any more: its replica has left, its client has, or the time in
    /// which repeats are dropped where it goes is over.
    pub(super) fn stuck(&mut self, now: Nanos, link: LinkId, given: Nanos) {
        if self.links.get(&link).and_then(|(_, it)| it.call_given()) == Some(given) {
            self.counters.connections.stuck += 1;
            tracing::info!(
                link,
                "a call was not taken by its connection while it might begin: closed"
            );
            self.close_link(now, link);
        }
    }

    pub(super) fn watched(&mut self, now: Nanos, news: WatchNews) {
        let watches = &mut self.counters.watches;
        match news {
            WatchNews::Asked => watches.asked += 1,
            WatchNews::Alive => self.heard = now,
            WatchNews::Ended { silent } => {
                watches.ended += 1;
                watches.silent += u64::from(silent);
            }
            WatchNews::Refused(fault) => {
                let bad = &mut self.counters.bad_lists;
                *match fault {
                    ListFault::OverBound => &mut bad.over_bound,
                    ListFault::Unreadable => &mut bad.unreadable,
                    ListFault::WentBack => &mut bad.went_back,
                } += 1;
            }
            WatchNews::WentBack => self.counters.bad_lists.whole_went_back += 1,
        }
    }

    /// The first list of this life is in, or is not waited for any longer: what came until now is decided. Its time
    /// has gone on meanwhile.
    pub(super) fn hear_first(&mut self, now: Nanos) {
        self.unheard = false;
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
        let mut from = Some(self.replicas.index);
        if self.watching.moves() {
            // Its versions are its own: they do not compare with that of the list in force.
            from = None;
            let settled = self.replicas.moved(now);
            self.alarms
                .retain(|(_, alarm)| !matches!(alarm, Alarm::Settled(_)));
            self.alarms.insert((settled, Alarm::Settled(address)));
        }
        self.effects.push(Effect::Watch { address, from });
    }

    pub(super) fn heard(&mut self, now: Nanos, link: LinkId, frame: FromLeaf) {
        let Some((_, it)) = self.links.get_mut(&link) else {
            return;
        };
        it.hear(now);
        self.pending.insert(link);
        match frame {
            FromLeaf::Answer {
                id,
                end,
                report,
                value,
            } => {
                let attempt = match it.answered(&id) {
                    Answered::Attempt(attempt) => attempt,
                    Answered::Over => return,
                    Answered::Unknown => return self.spoilt(now, link, None),
                };
                let outcome = match end {
                    End::Ok => Outcome::Ok,
                    End::Err => Outcome::Error,
                    End::Busy => Outcome::Rejected,
                };
                if outcome == Outcome::Ok {
                    self.keep_value(attempt.0, &value);
                }
                let report = self.report(&report);
                self.ended(attempt, outcome, report);
            }
            FromLeaf::Probed { ok, report } => {
                let Some(probe) = it.probed() else { return };
                let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                self.probe_ended(now, probe, outcome, &report);
            }
            FromLeaf::Complaint(words) => {
                tracing::warn!(link, words, "leaf server could not use a frame")
            }
            FromLeaf::Spoilt(id) => self.spoilt(now, link, id.as_deref()),
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
    pub(super) fn spoilt(&mut self, now: Nanos, link: LinkId, id: Option<&str>) {
        let Some((replica, it)) = self.links.get_mut(&link) else {
            return;
        };
        self.counters.connections.spoilt += 1;
        tracing::info!(
            link,
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
        self.close_link(now, link);
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
            .report
            .iter()
            .map(value)
            .collect::<Option<_>>()
            .unwrap_or_default()
    }

    pub(super) fn link_ended(&mut self, now: Nanos, link: LinkId) {
        let Some((id, it)) = self.links.remove(&link) else {
            return;
        };
        if let Some(at) = it.idle_alarm {
            self.alarms.remove(&(at, Alarm::Idle(link)));
        }
        self.replicas.disconnect(id, link);
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
    pub(super) fn close_link(&mut self, now: Nanos, link: LinkId) {
        if let Some((_, it)) = self
            .links
            .get_mut(&link)
            .filter(|(_, it)| it.call_given().is_some())
        {
            it.wrote();
        }
        self.effects.push(Effect::CloseLink { link });
        self.link_ended(now, link);
    }

    pub(super) fn open_link(&mut self, now: Nanos, id: ReplicaId) -> Option<LinkId> {
        if self.links.len() >= self.room.links && !self.evict(now) {
            return None;
        }
        let link = self.id();
        let address = self.replicas.connect(id, link)?;
        self.effects.push(Effect::Connect { link, address });
        self.counters.connections.opened += 1;
        self.links.insert(link, (id, Link::new(now)));
        self.alarms
            .insert((now + self.site.connect_timeout, Alarm::Connect(link)));
        Some(link)
    }

    /// Closes the connection that has been idle for longest. There may be more leaf servers than descriptors.
    fn evict(&mut self, now: Nanos) -> bool {
        let idle = self
            .links
            .iter()
            .filter(|(_, (_, it))| it.phase() == Phase::Open && it.is_idle());
        let Some(link) = idle
            .min_by_key(|(_, (_, it))| it.idle_since)
            .map(|(link, _)| *link)
        else {
            return false;
        };
        self.counters.connections.evicted += 1;
        self.close_link(now, link);
        true
    }

    /// A connection with room, the oldest first so that few stay in use; a new one where none has any.
    pub(super) fn link_for(&mut self, now: Nanos, id: ReplicaId, wire: &str) -> Option<LinkId> {
        let fits = |link: &&LinkId| {
            self.links
                .get(link)
                .is_some_and(|(_, it)| it.has_room(self.site.streams, wire))
        };
        match self.replicas.links(id).iter().find(fits) {
            Some(link) => Some(*link),
            None => self.open_link(now, id),
        }
    }
}
