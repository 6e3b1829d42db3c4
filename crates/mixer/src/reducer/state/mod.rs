//! The one state and its changes.

mod attempts;
mod clients;
mod connections;
mod turns;
mod usage;

use super::counters::Counters;
use super::descriptor_budget::DescriptorBudget;
use super::effect::Effect;
use super::input::{ClientId, ConnectionId, Input};
use super::leaf_connection::{AttemptId, LeafConnection, Phase};
use super::lifecycle::Lifecycle;
use super::probes::Probes;
use super::replicas::Replicas;
use super::timers::{Timer, Timers};
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
use std::rc::Rc;
use std::time::Duration;
use usage::Recording;

const MS: Nanos = 1_000_000;
/// Taken off what a client waits: the ways there and back and a late turn of ours.
const MARGIN: Nanos = 8 * MS;
/// An attempt for a client that has gone may not begin later than this.
const GONE_BEGINS: Nanos = 100 * MS;
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

/// All that the mixer knows and is doing.
pub struct Reducer {
    site: MixerSettings,
    watching: WatchPolicy,
    module: Coordinator,
    events: Vec<Event>,
    effects: Vec<Effect>,
    timers: Timers,
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
    probes: Probes,
    /// Numbers given out so far: to requests, connections, probes, and to queries as groups of parts.
    last_id: u64,
    last_group: u32,
    /// Links that have something to write, and those whose last call still takes parts of this turn.
    pending: BTreeSet<ConnectionId>,
    joining: BTreeSet<ConnectionId>,
    descriptor_budget: DescriptorBudget,
    /// For each class: how long after the first attempt that may have run another may begin, where that is bounded.
    repeat_windows: Vec<Option<Nanos>>,
    lifecycle: Lifecycle,
    /// When discovery last showed a sign of life.
    heard: Nanos,
    counters: Counters,
    /// Set where use is recorded.
    recording: Option<Recording>,
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
        let mut replicas = Replicas::new(site.zones.clone());
        let members = replicas.take_copy(now, known).members;
        let lifecycle = Lifecycle::new(replicas.any_ready(), &site.deadlines);
        let mut state = Reducer {
            repeat_windows: settings.classes.iter().map(window).collect(),
            descriptor_budget: DescriptorBudget::new(descriptors),
            replicas,
            watching: WatchPolicy::new(way(&site, &settings), seed, settings.fleet_size),
            site,
            module: Coordinator::new(settings, seed),
            events: Vec::new(),
            effects: Vec::new(),
            timers: Timers::default(),
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
            lifecycle,
            heard: now,
            counters: Counters::default(),
            recording: None,
        };
        state.events.push(Event::EndpointsUpdated {
            kind: EndpointUpdateKind::CachedSnapshot,
            endpoints: members,
        });
        state.decide(now);
        let discovery_timeout = state.watching.initial_list_timeout().as_nanos() as Nanos;
        state
            .timers
            .set(now + discovery_timeout, Timer::DiscoveryTimeout);
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
        self.descriptor_budget.clients_with_closing()
    }

    /// When the next turn is due, whatever comes in until then.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() && !self.lifecycle.is_awaiting_discovery() {
            return Some(0);
        }
        self.timers.next_due()
    }

    /// What is held, in things of every kind: flat while the load is, whatever names come and go.
    pub fn retained_entries(&self) -> usize {
        let open = self.queries.len() + self.parts.len() + self.names.len() + self.attempts.len();
        let sockets = self.clients.len() + self.connections.len() + self.probes.len();
        open + sockets + self.timers.len() + self.replicas.known() + self.module.retained_entries()
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
            Input::ShutdownRequested => self.request_shutdown(now),
            Input::ListenerClosed => self.lifecycle.on_listener_closed(),
            Input::ProcessBatch => self.process_batch(now),
        }
        self.pump(now);
        self.exit_when_drained();
        std::mem::take(&mut self.effects)
    }

    fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
