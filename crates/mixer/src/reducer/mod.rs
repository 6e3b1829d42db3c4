//! The reducer: all state of the mixer and every change to it. It applies one input at a time and returns effects; it
//! uses no sockets and reads no clock.
//!
//! [`Reducer`] owns one table for each concern (`queries`, `attempts`, `probes`, `leaf_connections`, `clients`,
//! `replicas`, `timers`, `lifecycle`, ...). Tables do not depend on each other. Changes that involve several tables are
//! methods of the reducer, in one module for each subject: `client_requests`, `query_completion`, `dispatch`,
//! `attempt_results`, `connection_handling`, `discovery`, `batch` and `shutdown`. The [`Coordinator`] makes the
//! decisions about queries; it receives all events of a batch in one call.

mod attempt_results;
mod attempts;
mod backoff;
mod batch;
mod client_requests;
mod clients;
mod connection_handling;
pub mod counters;
mod departed_requests;
mod descriptor_budget;
mod discovery;
mod dispatch;
pub mod effect;
mod entry_resolver;
pub mod input;
pub mod leaf_connection;
mod leaf_connections;
mod lifecycle;
mod memory_budget;
mod probes;
mod queries;
mod query_admission;
mod query_completion;
mod query_memory;
mod removed_replicas;
pub mod replica_table;
pub mod replicas;
pub mod resource_usage;
mod response_memory;
mod shutdown;
mod timers;
pub mod usage;
mod usage_recorder;
pub mod watch_policy;
mod watches;

pub use effect::{Effect, ExitReport};
pub use input::{ClientId, ConnectionId, Input, UpdateFault, WatchEvent};
pub use memory_budget::MemoryBudget;
pub use probes::ProbeId;
pub use watch_policy::WatchPolicy;
pub use watches::WatchId;

use crate::protocol::endpoint_updates::EndpointUpdate;
use crate::settings::MixerSettings;
use crate::Coordinator;
use attempts::Attempts;
use clients::Clients;
use cottonhill_decisions::{EndpointUpdateKind, Event, Nanos, Settings};
use counters::Counters;
use departed_requests::DepartedRequests;
use descriptor_budget::DescriptorBudget;
use discovery::Discovery;
use leaf_connections::LeafConnections;
use lifecycle::Lifecycle;
use probes::Probes;
use queries::Queries;
use replicas::Replicas;
use resource_usage::TransportMemory;
use response_memory::ResponseMemory;
use timers::{Timer, Timers};
use usage_recorder::UsageRecorder;
use watches::Watches;

const NANOS_PER_MS: Nanos = 1_000_000;

/// The state of the mixer. After the start, only [`Reducer::apply`] changes it.
pub struct Reducer {
    settings: MixerSettings,
    coordinator: Coordinator,
    /// The events to pass to the coordinator with the next batch.
    events: Vec<Event>,
    /// The effects that the current or next call of [`Reducer::apply`] returns.
    effects: Vec<Effect>,
    counters: Counters,
    ids: IdSequence,
    timers: Timers,
    lifecycle: Lifecycle,
    descriptor_budget: DescriptorBudget,
    memory_budget: MemoryBudget,
    response_memory: ResponseMemory,
    /// The memory of the transport when it last reported it.
    transport_memory: TransportMemory,
    discovery: Discovery,
    watches: Watches,
    replicas: Replicas,
    connections: LeafConnections,
    clients: Clients,
    queries: Queries,
    departed_requests: DepartedRequests,
    attempts: Attempts,
    probes: Probes,
    /// `None` if usage recording is off.
    usage: Option<UsageRecorder>,
}

impl Reducer {
    /// Creates a reducer with the endpoint list that an earlier process cached. `seed` must differ between the mixers
    /// of a fleet; `descriptors` is the number of file descriptors that the process may open.
    pub fn new(
        now: Nanos,
        mixer_settings: MixerSettings,
        settings: Settings,
        seed: u64,
        cached_endpoints: &EndpointUpdate,
        descriptors: usize,
    ) -> Reducer {
        let mut replicas = Replicas::new(mixer_settings.zones.clone());
        let endpoints = replicas.apply_update_ref(now, cached_endpoints).endpoints;
        let mut reducer = Reducer {
            events: vec![Event::EndpointsUpdated {
                kind: EndpointUpdateKind::CachedSnapshot,
                endpoints,
            }],
            effects: Vec::new(),
            counters: Counters::default(),
            ids: IdSequence::default(),
            timers: Timers::default(),
            lifecycle: Lifecycle::new(replicas.has_ready(), &mixer_settings.deadlines),
            descriptor_budget: DescriptorBudget::new(descriptors),
            memory_budget: MemoryBudget::default(),
            response_memory: ResponseMemory::default(),
            transport_memory: TransportMemory::default(),
            discovery: Discovery::new(now, &mixer_settings, &settings, seed),
            watches: Watches::new(),
            replicas,
            connections: LeafConnections::default(),
            clients: Clients::default(),
            queries: Queries::new(&settings.classes),
            departed_requests: DepartedRequests::new(
                mixer_settings.deadlines.iter().copied().max().unwrap_or(0),
                mixer_settings.max_open_requests,
            ),
            attempts: Attempts::default(),
            probes: Probes::default(),
            usage: None,
            settings: mixer_settings,
            coordinator: Coordinator::new(settings, seed),
        };
        reducer.decide(now);
        let timeout = reducer.discovery.initial_list_timeout();
        reducer.timers.set(now + timeout, Timer::DiscoveryTimeout);
        reducer
    }

    /// The schedule and the timeouts of requests for the endpoint list.
    pub fn watch_policy(&self) -> WatchPolicy {
        self.discovery.watch_policy().clone()
    }

    /// Sets the memory limit of the process, in bytes. It bounds the data that clients, leaf servers and discovery can
    /// make it hold.
    pub fn limit_memory(&mut self, memory: usize) {
        self.memory_budget = MemoryBudget::new(memory);
        self.queries.memory.set_budget(self.memory_budget);
        self.response_memory.set_budget(self.memory_budget);
        self.replicas.limit_records(self.memory_budget.endpoints());
        self.discovery.limit_memory(memory);
    }

    /// The limits of the kinds of data.
    pub fn memory_budget(&self) -> MemoryBudget {
        self.memory_budget
    }

    /// Notes that a frontend is being started. The process does not exit before [`Input::FrontendClosed`], except at
    /// the shutdown deadline.
    pub fn add_frontend(&mut self) {
        self.lifecycle.on_frontend_started();
    }

    /// The version of the current endpoint list, from which a watch resumes.
    pub fn endpoint_list_version(&self) -> u64 {
        self.replicas.version()
    }

    /// The maximum number of client connections, including those that are being closed.
    pub fn max_clients(&self) -> usize {
        self.descriptor_budget.max_clients_with_closing()
    }

    /// When [`Input::ProcessBatch`] is due if there is no earlier input; 0 if it is due now, `None` if nothing is
    /// scheduled.
    pub fn next_due(&self) -> Option<Nanos> {
        if !self.events.is_empty() && !self.lifecycle.is_awaiting_discovery() {
            return Some(0);
        }
        self.timers.next_due()
    }

    /// The total number of entries in all tables. Growth under constant load indicates a leak.
    pub fn retained_entries(&self) -> usize {
        self.queries.retained_entries()
            + self.attempts.len()
            + self.probes.len()
            + self.clients.len()
            + self.response_memory.len()
            + self.departed_requests.len()
            + self.connections.len()
            + self.timers.len()
            + self.replicas.len()
            + self.watches.len()
            + self.coordinator.retained_entries()
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Applies one input at `now` and returns the effects that the transport must perform, in order.
    pub fn apply(&mut self, now: Nanos, input: Input) -> Vec<Effect> {
        match input {
            Input::ClientOpened { client } => self.on_client_opened(now, client),
            Input::FrontendClientOpened { client } => self.on_frontend_client_opened(now, client),
            Input::RequestBegun { client } => self.clients.on_request_begun(client),
            Input::RequestReceived {
                client,
                received_at,
                request,
            } => self.on_request(now, client, received_at, request),
            Input::TransportMemory(memory) => self.transport_memory = memory,
            Input::ResponseWritten { client } => self.response_memory.release(client),
            Input::ClientClosed { client } => self.on_client_closed(now, client),
            Input::ConnectionOpened { connection } => self.on_connection_opened(now, connection),
            Input::FrameWritten { connection } => self.on_frame_written(connection),
            Input::FrameReceived { connection, frame } => self.on_frame(now, connection, frame),
            Input::ConnectionClosed { connection } => self.on_connection_closed(now, connection),
            Input::EndpointsUpdated { watch, update } => {
                self.on_endpoints_updated(now, watch, update);
            }
            Input::Watch { watch, event } => self.on_watch_event(now, watch, event),
            Input::DatagramReceived { from, bytes } => {
                self.events.push(Event::DatagramReceived { from, bytes });
            }
            Input::ConfigReloaded { discovery } => self.on_config_reloaded(now, discovery),
            Input::ShutdownRequested => self.request_shutdown(now),
            Input::ListenerClosed => self.lifecycle.on_listener_closed(),
            Input::FrontendClosed => self.on_frontend_closed(),
            Input::ProcessBatch => self.process_batch(now),
        }
        self.flush_connections(now);
        self.exit_when_drained();
        std::mem::take(&mut self.effects)
    }
}

/// Generates unique ids.
#[derive(Debug, Default)]
struct IdSequence {
    last_id: u64,
    last_query_group: u32,
}

impl IdSequence {
    /// An id for a query, a part, a probe or a connection.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// A number that associates a query with its parts.
    fn next_query_group(&mut self) -> u32 {
        self.last_query_group = self.last_query_group.wrapping_add(1);
        self.last_query_group
    }
}
