//! The one state and its changes.

use super::counters::Counters;
use super::link::{Answered, AttemptId, Job, Link, Phase};
use super::messages::{ClientId, Effect, Input, LinkId};
use super::replicas::Replicas;
use crate::interface::*;
use crate::protocol::discovery::Listing;
use crate::protocol::http::Rejection;
use crate::protocol::leaf::{CallPart, End, FromLeaf, ToLeaf};
use crate::protocol::query::{Asked, Hit, Query as AskedQuery, Reply};
use crate::settings::Site;
use crate::Coordinator;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// Taken off what a client waits: the ways there and back and a late turn of ours.
const MARGIN: Nanos = 8 * MS;
/// After SIGTERM new connections still arrive and clients use theirs for 0.7 s: so long all goes on.
const GRACE: Nanos = 750 * MS;
/// Of the descriptors, the hundredths that connections to leaf servers may take, and those that clients
/// may: more than the third that good ones use at most, so that others do not cost them their place.
const LINK_HUNDREDTHS: usize = 40;
const CLIENT_HUNDREDTHS: usize = 45;
/// From half of what clients may take on, one that has said nothing for so long after an answer is closed.
const CLIENT_IDLE: Nanos = 2_000 * MS;
/// Connections closed for each that opens, as long as there are any to close: what piles up goes faster
/// than it comes.
const CLOSED_AT_ONCE: usize = 2;
/// The most that one message between mixers may hold.
const MOST_DATAGRAM: usize = 256;
/// Share of the idle time after which we close a connection, in tenths: the other end does so at the latest
/// at its end, and what is written from then on is lost.
const IDLE_TENTHS: Nanos = 9;

/// A query that waits for its final answer.
#[derive(Debug)]
struct Query {
    name: Rc<str>,
    client: ClientId,
    class: usize,
    deadline: Nanos,
    parts: Vec<RequestId>,
}

#[derive(Debug)]
struct Part {
    query: RequestId,
    shard: u32,
    weight: f64,
    wire: Rc<str>,
    text: Bytes,
    attempts: u8,
    value: Option<String>,
}

/// An attempt that has not ended. It outlives its query where cancelling is not allowed.
#[derive(Debug)]
struct Attempt {
    replica: ReplicaId,
    link: LinkId,
    until: Nanos,
    shard: u32,
    text: Bytes,
}

#[derive(Debug, Default)]
struct Client {
    query: Option<RequestId>,
    /// When its last reply went out, or it came.
    since: Nanos,
    /// It has sent a query that could be used.
    known: bool,
    /// It has been asked to close.
    closing: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Wake(u64),
    Attempt(AttemptId),
    Connect(LinkId),
    Idle(LinkId),
    Probe(u64),
    LastMoment(RequestId),
    GraceOver,
    End,
}

#[derive(Debug)]
struct Probe {
    replica: ReplicaId,
    link: LinkId,
    asked: Nanos,
}

/// All that the mixer knows and is doing.
pub struct State {
    site: Site,
    module: Coordinator,
    events: Vec<Event>,
    effects: Vec<Effect>,
    alarms: BTreeSet<(Nanos, Alarm)>,
    replicas: Replicas,
    links: BTreeMap<LinkId, (ReplicaId, Link)>,
    clients: BTreeMap<ClientId, Client>,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Of the open queries.
    names: BTreeSet<Rc<str>>,
    attempts: BTreeMap<AttemptId, Attempt>,
    probes: BTreeMap<u64, Probe>,
    /// Numbers given out so far: to requests, connections, probes, and to queries as groups of parts.
    last_id: u64,
    last_group: u32,
    /// Links that have something to write, and those whose last call still takes parts of this turn.
    pending: BTreeSet<LinkId>,
    joining: BTreeSet<LinkId>,
    most_links: usize,
    most_clients: usize,
    listed: bool,
    terminated: Option<Nanos>,
    closing: bool,
    exited: bool,
    counters: Counters,
}

impl State {
    /// Starts with the list as it was last held, which may be old, and as many descriptors as it may hold.
    pub fn new(
        now: Nanos, site: Site, settings: Settings, seed: u64, known: &Listing, descriptors: usize,
    ) -> State {
        let mut state = State {
            most_links: descriptors * LINK_HUNDREDTHS / 100,
            most_clients: descriptors * CLIENT_HUNDREDTHS / 100,
            replicas: Replicas::new(site.zones.clone()),
            site,
            module: Coordinator::new(settings, seed),
            events: Vec::new(),
            effects: Vec::new(),
            alarms: BTreeSet::new(),
            links: BTreeMap::new(),
            clients: BTreeMap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            last_id: 0,
            last_group: 0,
            pending: BTreeSet::new(),
            joining: BTreeSet::new(),
            listed: false,
            terminated: None,
            closing: false,
            exited: false,
            counters: Counters::default(),
        };
        let (_, members, _) = state.replicas.take(known);
        state.listed = state.replicas.any_ready();
        state.events.push(Event::List { kind: ListKind::Remembered, members });
        state.turn(now);
        state
    }

    /// The version of the list that is held: where a watch goes on from.
    pub fn list_index(&self) -> u64 {
        self.replicas.index
    }

    /// Clients' connections that there is room for.
    pub fn most_clients(&self) -> usize {
        self.most_clients
    }

    /// When the next turn is due, whatever comes in until then.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() {
            return Some(0);
        }
        self.alarms.first().map(|(at, _)| *at)
    }

    /// What is held, in things of every kind: flat while the load is, whatever names come and go.
    pub fn held(&self) -> usize {
        let open = self.queries.len() + self.parts.len() + self.names.len() + self.attempts.len();
        let sockets = self.clients.len() + self.links.len() + self.probes.len();
        open + sockets + self.alarms.len() + self.replicas.known() + self.module.held()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The only way in: takes one input at `now` and returns what is to be done about it.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        match input {
            Input::ClientOpened { client } => self.client_opened(now, client),
            Input::Asked { client, arrived, asked } => self.asked(now, client, arrived, asked),
            Input::ClientClosed { client } => self.client_closed(client),
            Input::LinkOpened { link } => {
                if let Some((_, it)) = self.links.get_mut(&link) {
                    it.opened(now);
                    self.pending.insert(link);
                }
            }
            Input::LinkWrote { link } => {
                if let Some((_, it)) = self.links.get_mut(&link) {
                    it.wrote();
                    self.pending.insert(link);
                }
            }
            Input::LinkHeard { link, frame } => self.heard(now, link, frame),
            Input::LinkClosed { link } => {
                if let Some((_, it)) = self.links.get(&link) {
                    let connections = &mut self.counters.connections;
                    match it.phase() {
                        Phase::Connecting => connections.failed += 1,
                        Phase::Open => connections.broken += 1,
                    }
                }
                self.link_ended(now, link);
            }
            Input::Listed(listing) => self.take_list(now, &listing),
            Input::Datagram { from, bytes } => self.events.push(Event::Message { from, bytes }),
            Input::Reloaded { discovery } => self.reloaded(discovery),
            Input::Terminate => self.terminate(now),
            Input::Turn => self.turn(now),
        }
        self.pump(now);
        self.leave();
        std::mem::take(&mut self.effects)
    }

    fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    // ---- Clients --------------------------------------------------------------------------------------

    fn client_opened(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert(client, Client { since: now, ..Client::default() });
        if self.closing {
            // Accepted as the listener went: without a request on it, it would hold up the end.
            self.effects.push(Effect::CloseClient { client });
        } else if self.clients.len() > self.most_clients / 2 {
            self.make_room(now, client);
        }
    }

    /// Closes the clients that need their connection least: those that never sent a query that could be
    /// used, then those that have been idle for longest. Each is asked once: many may come before the first
    /// one asked has gone.
    fn make_room(&mut self, now: Nanos, newest: ClientId) {
        let full = self.clients.len() > self.most_clients;
        let spare = |c: &Client| c.known && now.saturating_sub(c.since) >= CLIENT_IDLE;
        let idle = |id: &ClientId, c: &Client| c.query.is_none() && !c.closing && *id != newest;
        let idle = self.clients.iter().filter(|(id, c)| idle(id, c) && (full || spare(c)));
        let mut idle: Vec<_> = idle.map(|(id, c)| (c.known, c.since, *id)).collect();
        idle.sort_unstable();
        for (_, _, client) in idle.into_iter().take(CLOSED_AT_ONCE) {
            if let Some(state) = self.clients.get_mut(&client) {
                state.closing = true;
                self.effects.push(Effect::CloseClient { client });
            }
        }
    }

    fn asked(&mut self, now: Nanos, client: ClientId, arrived: Nanos, asked: Result<Asked, Rejection>) {
        match asked {
            Ok(Asked::Query(query)) => self.take_query(now, client, arrived, query),
            Ok(Asked::Ready) => {
                let ready = self.listed && self.terminated.is_none();
                self.reply(now, client, Reply::Ready(ready));
            }
            Ok(Asked::Stats) => {
                let text = serde_json::to_vec_pretty(&self.counters).unwrap_or_default();
                self.reply(now, client, Reply::Stats(text));
            }
            Err(rejection) => {
                self.counters.taken.rejected += 1;
                // Some clients send nothing else, as fast as they can: the log would be theirs.
                tracing::debug!(client, status = rejection.status, why = rejection.why, "request rejected");
                self.reply(now, client, Reply::Rejected(rejection));
            }
        }
    }

    fn take_query(&mut self, now: Nanos, client: ClientId, arrived: Nanos, asked: AskedQuery) {
        if !self.clients.contains_key(&client) {
            return;
        }
        // Its parts would have the names that the open one's have at the leaf servers.
        if self.names.contains(&*asked.name) {
            let rejection = Rejection { status: 409, why: "X-Request-ID is that of an open query" };
            return self.asked(now, client, arrived, Err(rejection));
        }
        // A part that is in is not open any more: counting it would refuse queries that there is room for.
        let open_parts = self.parts.values().filter(|part| part.value.is_none()).count();
        if self.queries.len() + open_parts >= self.site.open_cap {
            self.counters.taken.over_cap += 1;
            tracing::info!(queries = self.queries.len(), open_parts, "over the cap: query refused");
            let come_back = Some(self.site.come_back);
            self.reply(now, client, Reply::Refused { come_back });
            return;
        }
        let spent = now.saturating_sub(arrived) + MARGIN;
        let mut patience = asked.timeout.saturating_sub(spent);
        if let Some(at) = self.terminated {
            // What comes during the grace must be over before a kill can follow.
            let end = at + self.site.deadlines.iter().max().copied().unwrap_or_default();
            patience = patience.min(end.saturating_sub(now));
        }
        if patience == 0 {
            self.counters.taken.too_late += 1;
            tracing::info!(timeout_ms = asked.timeout / MS, "no time left: query refused");
            return self.reply(now, client, Reply::Refused { come_back: Some(self.site.come_back) });
        }
        let id = self.id();
        self.last_group = self.last_group.wrapping_add(1);
        let group = self.last_group;
        if let Some(client) = self.clients.get_mut(&client) {
            (client.query, client.known) = (Some(id), true);
        }
        let work = asked.parts.iter().map(|p| p.work).sum();
        let (class, tenant) = (asked.class, asked.tenant);
        self.events.push(Event::Query { id, group, class, tenant, patience, work, repeat: asked.repeat });
        let mut parts = Vec::with_capacity(asked.parts.len());
        for part in &asked.parts {
            let (part_id, shard, weight) = (self.id(), part.shard, part.weight);
            let wire: Rc<str> = format!("{}.{shard}", asked.name).into();
            let text = asked.text.clone();
            let new = Part { query: id, shard, weight, wire, text, attempts: 0, value: None };
            self.parts.insert(part_id, new);
            self.events.push(Event::Part { id: part_id, group, shard, weight });
            parts.push(part_id);
        }
        self.counters.taken.queries += 1;
        self.counters.taken.parts += parts.len() as u64;
        self.counters.taken.repeats += u64::from(asked.repeat);
        let deadline = now + patience;
        self.alarms.insert((deadline, Alarm::LastMoment(id)));
        let name: Rc<str> = asked.name.as_str().into();
        self.names.insert(name.clone());
        self.queries.insert(id, Query { name, client, class: usize::from(class), deadline, parts });
        let patience_ms = patience / MS;
        tracing::debug!(id, name = asked.name, class, patience_ms, open_parts, "query taken");
    }

    fn client_closed(&mut self, client: ClientId) {
        let Some(client) = self.clients.remove(&client) else { return };
        if let Some(id) = client.query {
            self.counters.answered.client_gone += 1;
            self.events.push(Event::ClientGone { id });
            self.end_query(id);
        }
    }

    fn reply(&mut self, now: Nanos, client: ClientId, reply: Reply) {
        let Some(state) = self.clients.get_mut(&client) else { return };
        (state.query, state.since) = (None, now);
        let close = self.closing || state.closing;
        self.effects.push(Effect::Reply { client, reply, close });
    }

    /// Forgets a query and its parts; attempts still out end on their own.
    fn end_query(&mut self, id: RequestId) -> Option<(Query, Vec<Part>)> {
        let query = self.queries.remove(&id)?;
        self.alarms.remove(&(query.deadline, Alarm::LastMoment(id)));
        self.names.remove(&query.name);
        let parts = query.parts.iter().filter_map(|part| self.parts.remove(part)).collect();
        Some((query, parts))
    }

    // ---- Leaf servers ---------------------------------------------------------------------------------

    fn take_list(&mut self, now: Nanos, listing: &Listing) {
        self.counters.lists += 1;
        let (kind, members, stopped) = self.replicas.take(listing);
        self.listed |= self.replicas.any_ready();
        self.events.push(Event::List { kind, members });
        // What waits for a replica that drains or is gone never goes out: the rule counts its first byte.
        for id in stopped {
            let links = self.replicas.get(id).map(|r| r.links.clone()).unwrap_or_default();
            for link in links {
                let unsent = self.links.get(&link).map(|(_, it)| it.unsent()).unwrap_or_default();
                for attempt in unsent {
                    self.end_attempt(now, attempt, Outcome::NotSent);
                }
                self.pending.insert(link);
            }
        }
    }

    /// The list, its version, connections and queries stay; only where the list comes from changes. It is
    /// asked for anew even at the same address: whoever reloads may want just that.
    fn reloaded(&mut self, discovery: Option<SocketAddr>) {
        let Some(address) = discovery else {
            self.counters.reloads.bad += 1;
            return;
        };
        self.counters.reloads.taken += 1;
        self.effects.push(Effect::Watch { address, from: self.replicas.index });
    }

    fn heard(&mut self, now: Nanos, link: LinkId, frame: FromLeaf) {
        let Some((_, it)) = self.links.get_mut(&link) else { return };
        it.hear(now);
        self.pending.insert(link);
        match frame {
            FromLeaf::Answer { id, end, report, value } => {
                let attempt = match it.answered(&id) {
                    Answered::Attempt(attempt) => attempt,
                    Answered::Over => return,
                    Answered::Unknown => return self.spoilt(now, link, None),
                };
                let outcome = match end {
                    End::Ok => Outcome::Ok,
                    End::Err => Outcome::Error,
                    End::Busy => Outcome::Refused,
                };
                if let Some(part) = self.parts.get_mut(&attempt.0).filter(|_| outcome == Outcome::Ok) {
                    // Checked to be text by the codec, so nothing is lost here.
                    part.value.get_or_insert_with(|| String::from_utf8_lossy(&value).into_owned());
                }
                let report = self.report(&report);
                self.ended(attempt, outcome, report);
            }
            FromLeaf::Probed { ok, report } => {
                let Some(probe) = it.probed() else { return };
                let outcome = if ok { Outcome::Ok } else { Outcome::Error };
                self.probe_ended(now, probe, outcome, &report);
            }
            FromLeaf::Complaint(words) => tracing::warn!(link, words, "leaf server could not use a frame"),
            FromLeaf::Spoilt(id) => self.spoilt(now, link, id.as_deref()),
        }
    }

    /// A leaf server sent what can't be read. It is alive and ran what it answered: that attempt has
    /// failed. The others out there wait for what will never come, so they are withdrawn with the
    /// connection, at once.
    fn spoilt(&mut self, now: Nanos, link: LinkId, id: Option<&str>) {
        let Some((replica, it)) = self.links.get_mut(&link) else { return };
        self.counters.connections.spoilt += 1;
        tracing::info!(link, replica = replica.0, id, "spoilt answer: its connection is closed");
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
    fn report(&self, text: &str) -> LoadReport {
        let value = |name: &String| {
            let mut pairs = text.split([',', ';']).filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| key.trim() == name)
                .and_then(|(_, v)| v.trim().parse().ok().filter(|v: &f32| v.is_finite()))
        };
        self.site.report.iter().map(value).collect::<Option<_>>().unwrap_or_default()
    }

    fn link_ended(&mut self, now: Nanos, link: LinkId) {
        let Some((id, it)) = self.links.remove(&link) else { return };
        if let Some(at) = it.idle_alarm {
            self.alarms.remove(&(at, Alarm::Idle(link)));
        }
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.links.retain(|other| *other != link);
        }
        let (attempts, probes) = it.end();
        for (attempt, may_have_run) in attempts {
            let outcome = if may_have_run { Outcome::Broken } else { Outcome::Unreachable };
            self.ended(attempt, outcome, LoadReport::new());
        }
        for probe in probes {
            self.probe_ended(now, probe, Outcome::Unreachable, "");
        }
    }

    /// Closes a connection of ours, for whatever is still on it as if it had broken.
    fn close_link(&mut self, now: Nanos, link: LinkId) {
        self.effects.push(Effect::CloseLink { link });
        self.link_ended(now, link);
    }

    fn open_link(&mut self, now: Nanos, id: ReplicaId) -> Option<LinkId> {
        if self.links.len() >= self.most_links {
            return None;
        }
        let link = self.id();
        let replica = self.replicas.get_mut(id)?;
        replica.links.push(link);
        self.effects.push(Effect::Connect { link, address: replica.address });
        self.counters.connections.opened += 1;
        self.links.insert(link, (id, Link::new(now)));
        self.alarms.insert((now + self.site.connect_timeout, Alarm::Connect(link)));
        Some(link)
    }

    /// A connection with room, the oldest first so that few stay in use; a new one where none has any.
    fn link_for(&mut self, now: Nanos, id: ReplicaId, wire: &str) -> Option<LinkId> {
        let replica = self.replicas.get(id)?;
        let fits =
            |link: &&LinkId| self.links.get(link).is_some_and(|(_, it)| it.has_room(self.site.streams, wire));
        match replica.links.iter().find(fits) {
            Some(link) => Some(*link),
            None => self.open_link(now, id),
        }
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    fn send(&mut self, now: Nanos, id: RequestId, replica: ReplicaId, until: Nanos) {
        let Some(part) = self.parts.get_mut(&id) else {
            self.counters.faults.stray += 1;
            tracing::error!(id, "a send for a part that is over");
            return;
        };
        let attempt = (id, part.attempts);
        part.attempts = part.attempts.saturating_add(1);
        let (wire, shard, text) = (part.wire.clone(), part.shard, part.text.clone());
        let deadline = self.queries.get(&part.query).map_or(now, |query| query.deadline);
        let until = if until == 0 { deadline } else { until.min(deadline) };
        self.counters.sent.attempts += 1;
        self.counters.sent.further_attempts += u64::from(attempt.1 > 0);
        let ready = self.replicas.get(replica).is_some_and(|r| r.standing == Standing::Ready);
        let allowed = usize::from(attempt.1) < self.site.max_attempts && until > now;
        if !ready || !allowed {
            return self.not_placed(attempt, replica, Outcome::NotSent);
        }
        let Some(link) = self.link_for(now, replica, &wire) else {
            return self.not_placed(attempt, replica, Outcome::Unreachable);
        };
        if let Some((_, it)) = self.links.get_mut(&link) {
            it.queue(attempt, wire, !self.joining.insert(link), self.site.call_parts);
        }
        self.pending.insert(link);
        self.alarms.insert((until, Alarm::Attempt(attempt)));
        self.attempts.insert(attempt, Attempt { replica, link, until, shard, text });
    }

    /// An attempt that found no connection; it ends like any other, or the module would wait for it.
    fn not_placed(&mut self, (part, attempt): AttemptId, replica: ReplicaId, outcome: Outcome) {
        self.count(outcome);
        self.events.push(Event::Ended { part, attempt, replica, outcome, report: LoadReport::new() });
    }

    /// The one end of an attempt that was placed.
    fn ended(&mut self, id: AttemptId, outcome: Outcome, report: LoadReport) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.alarms.remove(&(attempt.until, Alarm::Attempt(id)));
        self.count(outcome);
        let (replica, (part, attempt)) = (attempt.replica, id);
        self.events.push(Event::Ended { part, attempt, replica, outcome, report });
    }

    fn count(&mut self, outcome: Outcome) {
        let ended = &mut self.counters.ended;
        *match outcome {
            Outcome::Ok => &mut ended.ok,
            Outcome::Error => &mut ended.error,
            Outcome::Refused => &mut ended.refused,
            Outcome::TimedOut => &mut ended.timed_out,
            Outcome::Unreachable => &mut ended.unreachable,
            Outcome::Broken => &mut ended.broken,
            Outcome::Cancelled => &mut ended.cancelled,
            Outcome::NotSent => &mut ended.not_sent,
        } += 1;
    }

    /// Ends an attempt from our side. One that never went out is known not to have run.
    fn end_attempt(&mut self, now: Nanos, id: AttemptId, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let link = attempt.link;
        let mut outcome = outcome;
        if let Some((_, it)) = self.links.get_mut(&link) {
            let before = it.is_silent();
            let went_out = it.drop_attempt(id, now, 2 * self.site.connect_timeout);
            if !went_out && outcome == Outcome::TimedOut {
                outcome = Outcome::NotSent;
            }
            self.counters.connections.silent += u64::from(it.is_silent() && !before);
        }
        self.pending.insert(link);
        self.ended(id, outcome, LoadReport::new());
    }

    /// What has waited past its time must not go out, though its alarm has yet to ring: the socket may be
    /// free for it a moment before the turn.
    fn drop_expired(&mut self, now: Nanos, link: LinkId) {
        let unsent = self.links.get(&link).map(|(_, it)| it.unsent()).unwrap_or_default();
        for id in unsent {
            if self.attempts.get(&id).is_some_and(|attempt| attempt.until <= now) {
                self.end_attempt(now, id, Outcome::TimedOut);
            }
        }
    }

    /// Hands each connection with work its next frame, and closes those that have none and no future.
    fn pump(&mut self, now: Nanos) {
        while let Some(link) = self.pending.pop_first() {
            self.drop_expired(now, link);
            let Some((id, it)) = self.links.get_mut(&link) else { continue };
            let id = *id;
            if it.is_spent() {
                self.close_link(now, link);
            } else if let Some(job) = it.take_next(now) {
                match self.frame(now, job) {
                    Some(frame) => self.effects.push(Effect::Write { link, frame }),
                    // Nothing was left of it: as if it were written, and on to the next.
                    None => {
                        if let Some((_, it)) = self.links.get_mut(&link) {
                            it.wrote();
                        }
                        self.pending.insert(link);
                    }
                }
            } else if it.is_idle() {
                it.idle_since = now;
                let standing = self.replicas.get(id).map(|r| r.standing);
                if standing != Some(Standing::Ready) {
                    self.close_link(now, link);
                } else {
                    let due = now + self.site.idle_time / 10 * IDLE_TENTHS;
                    if it.idle_alarm.is_none() {
                        it.idle_alarm = Some(due);
                        self.alarms.insert((due, Alarm::Idle(link)));
                    }
                }
            }
        }
    }

    fn frame(&mut self, now: Nanos, job: Job) -> Option<ToLeaf> {
        match job {
            Job::Call(call) => {
                let part = |(id, wire): (AttemptId, Rc<str>)| {
                    let Attempt { until, shard, text, .. } = self.attempts.get(&id)?;
                    let wait_ms = until.saturating_sub(now).div_ceil(MS);
                    Some(CallPart { id: wire, shard: *shard, wait_ms, text: text.clone() })
                };
                let parts: Vec<CallPart> = call.into_iter().filter_map(part).collect();
                self.counters.sent.calls += u64::from(!parts.is_empty());
                (!parts.is_empty()).then_some(ToLeaf::Call(parts))
            }
            Job::GiveUp(wire) => {
                self.counters.sent.give_ups += 1;
                Some(ToLeaf::GiveUp(wire))
            }
            Job::Probe(_) => {
                self.counters.sent.probes += 1;
                Some(if self.site.report.is_empty() { ToLeaf::Probe } else { ToLeaf::ProbeLoad })
            }
        }
    }

    // ---- Probes ---------------------------------------------------------------------------------------

    fn probe(&mut self, now: Nanos, replica: ReplicaId) {
        let listed = self.replicas.get(replica).is_some_and(|r| r.standing != Standing::Gone);
        let link = if listed && self.site.may_probe { self.link_for(now, replica, "") } else { None };
        let Some(link) = link else {
            let (outcome, report) = (Outcome::NotSent, LoadReport::new());
            return self.events.push(Event::Probed { replica, outcome, latency: 0, report });
        };
        let probe = self.id();
        if let Some((_, it)) = self.links.get_mut(&link) {
            it.queue_probe(probe);
        }
        self.pending.insert(link);
        self.alarms.insert((now + self.site.connect_timeout, Alarm::Probe(probe)));
        self.probes.insert(probe, Probe { replica, link, asked: now });
    }

    fn probe_ended(&mut self, now: Nanos, probe: u64, outcome: Outcome, report: &str) {
        let Some(Probe { replica, link, asked }) = self.probes.remove(&probe) else { return };
        self.alarms.remove(&(asked + self.site.connect_timeout, Alarm::Probe(probe)));
        if let Some((_, it)) = self.links.get_mut(&link) {
            it.drop_probe(probe);
        }
        let report = self.report(report);
        self.events.push(Event::Probed { replica, outcome, latency: now.saturating_sub(asked), report });
    }

    // ---- Turns ----------------------------------------------------------------------------------------

    fn turn(&mut self, now: Nanos) {
        while let Some((at, alarm)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, alarm));
            self.ring(now, alarm);
        }
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.module.handle(now, &events, &mut actions);
        for action in actions {
            self.act(now, action);
        }
        self.joining.clear();
    }

    fn ring(&mut self, now: Nanos, alarm: Alarm) {
        match alarm {
            Alarm::Wake(token) => self.events.push(Event::Timer { token }),
            Alarm::Attempt(id) => self.end_attempt(now, id, Outcome::TimedOut),
            Alarm::Connect(link) => {
                if self.links.get(&link).is_some_and(|(_, it)| it.phase() == Phase::Connecting) {
                    self.counters.connections.failed += 1;
                    self.close_link(now, link);
                }
            }
            Alarm::Idle(link) => {
                let Some((_, it)) = self.links.get_mut(&link) else { return };
                let due = it.idle_since + self.site.idle_time / 10 * IDLE_TENTHS;
                if !it.is_idle() {
                    it.idle_alarm = None;
                } else if due > now {
                    it.idle_alarm = Some(due);
                    self.alarms.insert((due, Alarm::Idle(link)));
                } else {
                    self.counters.connections.idle += 1;
                    self.close_link(now, link);
                }
            }
            Alarm::Probe(probe) => self.probe_ended(now, probe, Outcome::TimedOut, ""),
            Alarm::LastMoment(id) => {
                // Guards the rule that every query taken is answered in time, should the module miss one.
                self.counters.faults.last_moment += 1;
                tracing::error!(id, "query still open at the last moment");
                self.events.push(Event::ClientGone { id });
                self.finish(now, id, |state, _| {
                    state.counters.answered.failed += 1;
                    Reply::Failed
                });
            }
            Alarm::GraceOver => self.wind_down(),
            Alarm::End => {
                for id in self.queries.keys().copied().collect::<Vec<_>>() {
                    self.ring(now, Alarm::LastMoment(id));
                }
                self.clients.clear();
            }
        }
    }

    fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { part, replica, until } => self.send(now, part, replica, until),
            Action::Cancel { part, attempt } => self.end_attempt(now, (part, attempt), Outcome::Cancelled),
            Action::Answer { query, whole } => {
                self.finish(now, query, |state, query| state.answer(query, whole));
            }
            Action::Refuse { query, come_back } => self.finish(now, query, |state, _| {
                state.counters.answered.refused += 1;
                Reply::Refused { come_back }
            }),
            Action::Fail { query } => self.finish(now, query, |state, _| {
                state.counters.answered.failed += 1;
                Reply::Failed
            }),
            Action::Wake { token, after } => {
                self.alarms.insert((now + after, Alarm::Wake(token)));
            }
            // Discovery pushes its list here, and the watch asks again by itself.
            Action::Subscribe { .. } | Action::FetchList => {}
            Action::Probe { replica } => self.probe(now, replica),
            Action::CloseIdle { replica } => {
                let links = self.replicas.get(replica).map(|r| r.links.clone()).unwrap_or_default();
                for link in links {
                    if self.links.get(&link).is_some_and(|(_, it)| it.is_idle()) {
                        self.close_link(now, link);
                    }
                }
            }
            Action::Tell { to, bytes } => {
                if self.site.peers && bytes.len() <= MOST_DATAGRAM {
                    self.counters.sent.datagrams += 1;
                    self.effects.push(Effect::Datagram { to, bytes });
                } else {
                    self.counters.faults.stray += 1;
                }
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn finish(
        &mut self, now: Nanos, id: RequestId, word: impl FnOnce(&mut Self, &(Query, Vec<Part>)) -> Reply,
    ) {
        let Some(ended) = self.end_query(id) else { return };
        let reply = word(self, &ended);
        if tracing::enabled!(tracing::Level::DEBUG) {
            let (query, parts) = &ended;
            let attempts: Vec<String> = parts
                .iter()
                .map(|p| format!("{}:{}{}", p.shard, p.attempts, if p.value.is_some() { "+" } else { "-" }))
                .collect();
            let (left_ms, attempts) = (query.deadline.saturating_sub(now) / MS, attempts.join(" "));
            let word = match &reply {
                Reply::Answer { whole: true, .. } => "whole",
                Reply::Answer { .. } => "partial",
                Reply::Refused { .. } => "refused",
                _ => "failed",
            };
            tracing::debug!(id, class = query.class, left_ms, attempts, "query ended: {word}");
        }
        self.reply(now, ended.0.client, reply);
    }

    /// The answer from the values that are in. What the parts do not bear out is not claimed, whatever the
    /// module says: one dishonest answer costs a whole day.
    fn answer(&mut self, (query, parts): &(Query, Vec<Part>), whole: bool) -> Reply {
        let all: f64 = parts.iter().map(|p| p.weight).sum();
        let landed: f64 = parts.iter().filter(|p| p.value.is_some()).map(|p| p.weight).sum();
        let holds =
            |share: &[f64]| landed + 1e-4 >= share.get(query.class).copied().unwrap_or(1.0) * all.min(1.0);
        let bears_whole = holds(&self.site.needs);
        if !holds(&self.site.floors) || whole && !bears_whole {
            self.counters.faults.dishonest += 1;
            tracing::error!(landed, whole, class = query.class, "an answer that its parts do not bear out");
            self.counters.answered.failed += 1;
            return Reply::Failed;
        }
        let hit = |p: &Part| p.value.clone().map(|doc| Hit { shard: p.shard, doc });
        let hits = parts.iter().filter_map(hit).collect();
        if whole {
            self.counters.answered.whole += 1;
        } else {
            self.counters.answered.partial += 1;
        }
        Reply::Answer { whole, hits }
    }

    // ---- The end --------------------------------------------------------------------------------------

    fn terminate(&mut self, now: Nanos) {
        if self.terminated.is_none() {
            self.terminated = Some(now);
            let longest = self.site.deadlines.iter().max().copied().unwrap_or_default();
            self.alarms.insert((now + GRACE, Alarm::GraceOver));
            self.alarms.insert((now + GRACE.max(longest), Alarm::End));
        }
    }

    /// The grace is over: no new connections, and those between requests are closed.
    fn wind_down(&mut self) {
        self.closing = true;
        self.effects.push(Effect::StopListening);
        let idle = self.clients.iter().filter(|(_, c)| c.query.is_none());
        self.effects.extend(idle.map(|(client, _)| Effect::CloseClient { client: *client }));
    }

    /// Once all that was taken is answered and every client's connection has ended, nothing is left to do.
    fn leave(&mut self) {
        if self.closing && !self.exited && self.queries.is_empty() && self.clients.is_empty() {
            self.exited = true;
            self.effects.push(Effect::Exit(Box::new(self.counters.clone())));
        }
    }
}
