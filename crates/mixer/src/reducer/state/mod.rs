//! The one state and its changes.

mod attempts;
mod clients;
mod connections;
mod turns;
mod usage;

use super::counters::Counters;
use super::effect::Effect;
use super::input::{ClientId, ConnectionId, Input};
use super::leaf_connection::{AttemptId, LeafConnection, Phase};
use super::replicas::Replicas;
use super::usage::DeduplicationKey;
use super::watch_policy::{WatchMode, WatchPolicy};
use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::settings::MixerSettings;
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
    key: DeduplicationKey,
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
    connection: ConnectionId,
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
    Connect(ConnectionId),
    Idle(ConnectionId),
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
    Stuck(ConnectionId, Nanos),
}

#[derive(Debug)]
struct Probe {
    replica: ReplicaId,
    connection: ConnectionId,
    asked: Nanos,
}

/// All that the mixer knows and is doing.
pub struct Reducer {
    site: MixerSettings,
    watching: WatchPolicy,
    module: Coordinator,
    events: Vec<Event>,
    effects: Vec<Effect>,
    alarms: BTreeSet<(Nanos, Alarm)>,
    replicas: Replicas,
    connections: BTreeMap<ConnectionId, (ReplicaId, LeafConnection)>,
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
    pending: BTreeSet<ConnectionId>,
    joining: BTreeSet<ConnectionId>,
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
    connections: usize,
    clients: usize,
    closing: usize,
}

impl Room {
    fn of(descriptors: usize) -> Room {
        let closing = (descriptors / CLOSING_SHARE).clamp(CLOSING.0, CLOSING.1);
        let rest = descriptors.saturating_sub(OWN_DESCRIPTORS + closing);
        let connections = rest * LINK_HUNDREDTHS / (LINK_HUNDREDTHS + CLIENT_HUNDREDTHS);
        let clients = (rest - connections).min(descriptors * CLIENT_HUNDREDTHS / 100);
        Room {
            connections: connections.min(descriptors * LINK_HUNDREDTHS / 100).max(1),
            clients: clients.max(1),
            closing,
        }
    }
}

/// How discovery announces changes, as the settings state it.
fn way(site: &MixerSettings, settings: &Settings) -> WatchMode {
    if settings.discovery_mode == DiscoveryMode::Poll {
        let within = Duration::from_nanos(settings.max_list_staleness);
        WatchMode::Poll {
            max_staleness: Some(within).filter(|within| !within.is_zero()),
        }
    } else {
        WatchMode::Push {
            drain_grace: Duration::from_nanos(site.drain_grace),
        }
    }
}

impl Reducer {
    /// Starts with the list that was last in force, which may be old, and as many descriptors as may be open.
    pub fn new(
        now: Nanos,
        site: MixerSettings,
        settings: Settings,
        seed: u64,
        known: &EndpointUpdate,
        descriptors: usize,
    ) -> Reducer {
        let window = |class: &Class| {
            Some(class.idempotency_window)
                .filter(|_| class.idempotency == Idempotency::IdempotencyKey)
        };
        let mut state = Reducer {
            repeat_windows: settings.classes.iter().map(window).collect(),
            room: Room::of(descriptors),
            listening: true,
            replicas: Replicas::new(site.zones.clone()),
            watching: WatchPolicy::new(way(&site, &settings), seed, settings.fleet_size),
            site,
            module: Coordinator::new(settings, seed),
            events: Vec::new(),
            effects: Vec::new(),
            alarms: BTreeSet::new(),
            connections: BTreeMap::new(),
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
            now + state.watching.initial_list_timeout().as_nanos() as Nanos,
            Alarm::Unheard,
        ));
        state
    }

    /// How fresh the list is kept.
    pub fn watch_policy(&self) -> WatchPolicy {
        self.watching.clone()
    }

    /// Sets the bytes that the process may use, which bound the lists that are accepted.
    pub fn limit_memory(&mut self, memory: usize) {
        self.watching.limit_memory(memory);
    }

    /// The version of the list in force: where a watch goes on from.
    pub fn endpoint_list_version(&self) -> u64 {
        self.replicas.index
    }

    /// Clients' connections that may be open, those that are being closed included.
    pub fn max_clients(&self) -> usize {
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
    pub fn retained_entries(&self) -> usize {
        let open = self.queries.len() + self.parts.len() + self.names.len() + self.attempts.len();
        let sockets = self.clients.len() + self.connections.len() + self.probes.len();
        open + sockets + self.alarms.len() + self.replicas.known() + self.module.retained_entries()
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The only way in: takes one input at `now` and returns what is to be done about it.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        match input {
            Input::ClientOpened { client } => self.client_opened(now, client),
            Input::RequestReceived {
                client,
                received_at,
                request,
            } => self.asked(now, client, received_at, request),
            Input::ClientClosed { client } => self.client_closed(now, client),
            Input::ConnectionOpened { connection } => {
                if let Some((_, it)) = self.connections.get_mut(&connection) {
                    it.opened(now);
                    self.pending.insert(connection);
                }
            }
            Input::FrameWritten { connection } => {
                if let Some((_, it)) = self.connections.get_mut(&connection) {
                    it.wrote();
                    self.pending.insert(connection);
                }
            }
            Input::FrameReceived { connection, frame } => self.heard(now, connection, frame),
            Input::ConnectionClosed { connection } => {
                if let Some((_, it)) = self.connections.get(&connection) {
                    let connections = &mut self.counters.connections;
                    match it.phase() {
                        Phase::Connecting => connections.failed += 1,
                        Phase::Open => connections.broken += 1,
                    }
                }
                self.link_ended(now, connection);
            }
            Input::EndpointsUpdated(listing) => self.take_list(now, listing),
            Input::Watch(news) => self.watched(now, news),
            Input::DatagramReceived { from, bytes } => {
                self.events.push(Event::DatagramReceived { from, bytes })
            }
            Input::ConfigReloaded { discovery } => self.reloaded(now, discovery),
            Input::ShutdownRequested => self.terminate(now),
            Input::ListenerClosed => self.listening = false,
            Input::ProcessBatch => self.turn(now),
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
