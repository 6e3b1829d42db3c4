//! The one state and its changes.

mod attempts;
mod clients;
mod links;
mod turns;
mod usage;

use super::counters::Counters;
use super::link::{AttemptId, Link, Phase};
use super::messages::{ClientId, Effect, Input, LinkId};
use super::replicas::Replicas;
use super::usage::JoinKey;
use super::watching::{Watching, Way};
use crate::protocol::discovery::EndpointUpdate;
use crate::settings::Site;
use crate::Coordinator;
use bytes::Bytes;
use cottonhill_decisions::{
    Class, DiscoveryMode, EndpointUpdateKind, Event, Idempotency, Nanos, ReplicaId, RequestId,
    Settings,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use usage::Recording;

const MS: Nanos = 1_000_000;
/// Taken off what a client waits: the ways there and back and a late turn of ours.
const MARGIN: Nanos = 8 * MS;
/// After SIGTERM new connections still arrive and clients use theirs for 0.7 s: so long all goes on.
const GRACE: Nanos = 750 * MS;
/// The kill follows no earlier than this after SIGTERM and the longest deadline, which counts as 3 s where it is
/// longer. The last words leave a little before it.
const KILL: Nanos = 700 * MS;
const LONGEST_DEADLINE: Nanos = 3_000 * MS;
const LAST_WORDS: Nanos = 100 * MS;
/// An attempt for a client that has gone may not begin later than this.
const GONE_BEGINS: Nanos = 100 * MS;
/// Of the descriptors, the hundredths that connections to leaf servers may take, and those that clients
/// may: more than the third that good ones use at most, so that others do not cost them their place.
const LINK_HUNDREDTHS: usize = 40;
const CLIENT_HUNDREDTHS: usize = 45;
/// Descriptors that neither may take, however few there are: standard streams, what the runtime and the signals need,
/// the listeners, the log of use, a file that is read again, and two watches on discovery where one follows another.
const OWN_DESCRIPTORS: usize = 20;
/// Clients' connections above the most at which no more is accepted: so many are being closed to make room. Were
/// there no end to it, a flood would take the descriptors that the rest needs.
const CLOSING: (usize, usize) = (2, 16);
/// Of the descriptors, the share that such ones may be, within those bounds.
const CLOSING_SHARE: usize = 32;
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
    tenant: u32,
    arrived: Nanos,
    repeat: bool,
    /// Joins retries; 0 while no usage is recorded.
    key: JoinKey,
}

#[derive(Debug, Default)]
struct Part {
    query: RequestId,
    shard: u32,
    weight: f64,
    wire: Rc<str>,
    text: Bytes,
    /// When its attempts went to their sockets, of those that may have run.
    begun: Vec<(u8, Nanos)>,
    attempts: u8,
    /// Of the attempts, those to replicas in other zones.
    crossed: u8,
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
    Mark,
    GraceOver,
    End,
    /// Discovery has had its time to say what holds at the start.
    Unheard,
    /// What a discovery at a new address announces counts as its present list from now on.
    Settled(SocketAddr),
    /// A call that the socket had at this time and that may not begin any later.
    Stuck(LinkId, Nanos),
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
    watching: Watching,
    module: Coordinator,
    events: Vec<Event>,
    effects: Vec<Effect>,
    alarms: BTreeSet<(Nanos, Alarm)>,
    replicas: Replicas,
    links: BTreeMap<LinkId, (ReplicaId, Link)>,
    clients: BTreeMap<ClientId, Client>,
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Of the parts, those that no value has come for.
    open_parts: usize,
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
    room: Room,
    /// For each class: how long after the first attempt that may have run another may begin, where that is bounded.
    repeat_windows: Vec<Option<Nanos>>,
    /// Clients' connections are accepted.
    listening: bool,
    listed: bool,
    /// The list in force is the remembered one of an earlier process, and nothing is sent on it yet.
    unheard: bool,
    /// When discovery last showed a sign of life.
    heard: Nanos,
    terminated: Option<Nanos>,
    closing: bool,
    exited: bool,
    counters: Counters,
    /// Set where use is recorded.
    recording: Option<Recording>,
}

/// How the descriptors are shared out.
#[derive(Clone, Copy, Debug)]
struct Room {
    links: usize,
    clients: usize,
    closing: usize,
}

impl Room {
    fn of(descriptors: usize) -> Room {
        let closing = (descriptors / CLOSING_SHARE).clamp(CLOSING.0, CLOSING.1);
        let rest = descriptors.saturating_sub(OWN_DESCRIPTORS + closing);
        let links = rest * LINK_HUNDREDTHS / (LINK_HUNDREDTHS + CLIENT_HUNDREDTHS);
        let clients = (rest - links).min(descriptors * CLIENT_HUNDREDTHS / 100);
        Room {
            links: links.min(descriptors * LINK_HUNDREDTHS / 100).max(1),
            clients: clients.max(1),
            closing,
        }
    }
}

/// How discovery announces changes, as the settings state it.
fn way(site: &Site, settings: &Settings) -> Way {
    if settings.discovery_mode == DiscoveryMode::Poll {
        let within = Duration::from_nanos(settings.max_list_staleness);
        Way::Asked {
            within: Some(within).filter(|within| !within.is_zero()),
        }
    } else {
        Way::Pushed {
            grace: Duration::from_nanos(site.drain_grace),
        }
    }
}

impl State {
    /// Starts with the list that was last in force, which may be old, and as many descriptors as may be open.
    pub fn new(
        now: Nanos,
        site: Site,
        settings: Settings,
        seed: u64,
        known: &EndpointUpdate,
        descriptors: usize,
    ) -> State {
        let window = |class: &Class| {
            Some(class.idempotency_window)
                .filter(|_| class.idempotency == Idempotency::IdempotencyKey)
        };
        let mut state = State {
            repeat_windows: settings.classes.iter().map(window).collect(),
            room: Room::of(descriptors),
            listening: true,
            replicas: Replicas::new(site.zones.clone()),
            watching: Watching::new(way(&site, &settings), seed, settings.fleet_size),
            site,
            module: Coordinator::new(settings, seed),
            events: Vec::new(),
            effects: Vec::new(),
            alarms: BTreeSet::new(),
            links: BTreeMap::new(),
            clients: BTreeMap::new(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            open_parts: 0,
            names: BTreeSet::new(),
            attempts: BTreeMap::new(),
            probes: BTreeMap::new(),
            last_id: 0,
            last_group: 0,
            pending: BTreeSet::new(),
            joining: BTreeSet::new(),
            listed: false,
            unheard: false,
            heard: now,
            terminated: None,
            closing: false,
            exited: false,
            counters: Counters::default(),
            recording: None,
        };
        let members = state.replicas.take_copy(now, known).members;
        state.listed = state.replicas.any_ready();
        state.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::CachedSnapshot,
            endpoints: members,
        });
        state.turn(now);
        state.unheard = true;
        state.alarms.insert((
            now + state.watching.first_list().as_nanos() as Nanos,
            Alarm::Unheard,
        ));
        state
    }

    /// How fresh the list is kept.
    pub fn watching(&self) -> Watching {
        self.watching.clone()
    }

    /// Sets the bytes that the process may use, which bound the lists that are accepted.
    pub fn limit_memory(&mut self, memory: usize) {
        self.watching.limit_memory(memory);
    }

    /// The version of the list in force: where a watch goes on from.
    pub fn list_index(&self) -> u64 {
        self.replicas.index
    }

    /// Clients' connections that may be open, those that are being closed included.
    pub fn most_clients(&self) -> usize {
        self.room.clients + self.room.closing
    }

    /// When the next turn is due, whatever comes in until then.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() && !self.unheard {
            return Some(0);
        }
        self.alarms.first().map(|(at, _)| *at)
    }

    /// What is held, in things of every kind: flat while the load is, whatever names come and go.
    pub fn held(&self) -> usize {
        let open = self.queries.len() + self.parts.len() + self.names.len() + self.attempts.len();
        let sockets = self.clients.len() + self.links.len() + self.probes.len();
        open + sockets + self.alarms.len() + self.replicas.known() + self.module.retained_entries()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The only way in: takes one input at `now` and returns what is to be done about it.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        match input {
            Input::ClientOpened { client } => self.client_opened(now, client),
            Input::Asked {
                client,
                arrived,
                asked,
            } => self.asked(now, client, arrived, asked),
            Input::ClientClosed { client } => self.client_closed(now, client),
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
            Input::Listed(listing) => self.take_list(now, listing),
            Input::Watch(news) => self.watched(now, news),
            Input::Datagram { from, bytes } => {
                self.events.push(Event::DatagramReceived { from, bytes })
            }
            Input::Reloaded { discovery } => self.reloaded(now, discovery),
            Input::Terminate => self.terminate(now),
            Input::StoppedListening => self.listening = false,
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
}
