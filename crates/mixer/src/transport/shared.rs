//! State that the tasks of all connections share.

use super::client_connection::ClientCommand;
use super::memory_pool::{MemoryPool, MemoryReservation};
use super::request_reader::PIECES_PER_TURN;
use super::Clock;
use crate::protocol::query_json::QuerySchema;
use crate::reducer::resource_usage::TransportMemory;
use crate::reducer::{ClientId, Input, MemoryBudget, WatchPolicy};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, watch, Notify, Semaphore};

/// Capacity of the queue of inputs. Sockets are not read while it is full.
pub(super) const MAX_QUEUED_INPUTS: usize = 1024;
/// Capacity of the queue of inputs from discovery. It is small because updates may be large; further ones wait in the
/// socket's receive buffer.
pub const MAX_QUEUED_UPDATES: usize = 2;
/// Capacity of the command queue of one connection. The reducer issues one frame or reply at a time.
pub(super) const MAX_QUEUED_COMMANDS: usize = 4;

/// An input in the queue for the reducer.
pub(super) struct QueuedInput {
    pub input: Input,
    /// The memory of the input, which is released once the reducer has it.
    pub memory: Option<MemoryReservation>,
}

/// Whether a client holds a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientKind {
    /// A connection of the native protocol.
    Connection,
    /// A query of a frontend.
    Frontend,
}

/// A client that the reducer may send commands to.
struct RegisteredClient {
    kind: ClientKind,
    commands: mpsc::Sender<ClientCommand>,
}

/// State that all tasks of the transport share. Clones refer to the same state.
#[derive(Clone)]
pub(super) struct Shared {
    /// The mixer's clock.
    pub clock: Clock,
    /// Timeouts, delays and limits of the watch on discovery.
    pub watch_policy: WatchPolicy,
    /// Memory of requests that are being received.
    pub request_memory: MemoryPool,
    /// Turns in which pieces of large requests are decoded.
    pub request_turns: Rc<Semaphore>,
    /// Memory of frames that are being received from leaf servers.
    pub frame_memory: MemoryPool,
    /// Memory of requests and answers in the frontends of other protocols.
    pub frontend_memory: MemoryPool,
    /// Queue of inputs for the reducer.
    inputs: mpsc::Sender<QueuedInput>,
    /// Queue of inputs from discovery, separate so that they do not wait behind the others.
    pub updates: mpsc::Sender<Input>,
    /// Names of classes and tenants, and limits, for validating queries.
    pub query_schema: Rc<QuerySchema>,
    /// True once the mixer accepts no more connections.
    pub listener_closed: Rc<watch::Sender<bool>>,
    /// True once requests that the reducer does not have yet are refused, since the process ends.
    pub refusing_requests: Rc<watch::Sender<bool>>,
    /// The registered clients.
    clients: Rc<RefCell<HashMap<ClientId, RegisteredClient>>>,
    /// Number of the registered clients that are connections.
    connection_count: Rc<Cell<usize>>,
    /// True while no further connection can be accepted, since too many are registered.
    at_capacity: Rc<watch::Sender<bool>>,
    /// Notified when a client's connection has ended, so that another one can be accepted.
    connection_ended: Rc<Notify>,
    /// The last assigned client id.
    last_client: Rc<Cell<ClientId>>,
}

impl Shared {
    /// Creates the state without clients.
    pub fn new(
        clock: Clock,
        watch_policy: WatchPolicy,
        query_schema: QuerySchema,
        memory: MemoryBudget,
        inputs: mpsc::Sender<QueuedInput>,
        updates: mpsc::Sender<Input>,
    ) -> Shared {
        Shared {
            clock,
            watch_policy,
            request_memory: MemoryPool::new(memory.request_bytes()),
            request_turns: Rc::new(Semaphore::new(PIECES_PER_TURN)),
            frame_memory: MemoryPool::new(memory.frame_bytes()),
            frontend_memory: MemoryPool::new(memory.frontend_bytes()),
            inputs,
            updates,
            query_schema: Rc::new(query_schema),
            listener_closed: Rc::new(watch::channel(false).0),
            refusing_requests: Rc::new(watch::channel(false).0),
            clients: Rc::default(),
            connection_count: Rc::default(),
            at_capacity: Rc::new(watch::channel(false).0),
            connection_ended: Rc::default(),
            last_client: Rc::default(),
        }
    }

    /// The memory that the tasks hold.
    pub fn transport_memory(&self) -> TransportMemory {
        TransportMemory {
            request_bytes: self.request_memory.usage(),
            evicted_requests: self.request_memory.evictions(),
            frame_bytes: self.frame_memory.usage(),
            frontend_bytes: self.frontend_memory.usage(),
        }
    }

    /// Queues an input for the reducer. Returns false if the driver has ended.
    pub async fn send_input(&self, input: Input) -> bool {
        let memory = None;
        self.inputs
            .send(QueuedInput { input, memory })
            .await
            .is_ok()
    }

    /// Queues an input for the reducer, and holds its memory until the reducer has it. Returns false if the driver has
    /// ended.
    pub async fn send_input_with_memory(&self, input: Input, memory: MemoryReservation) -> bool {
        let memory = Some(memory);
        self.inputs
            .send(QueuedInput { input, memory })
            .await
            .is_ok()
    }

    /// Queues an input for the reducer without waiting: while the queue is full, a task does. Has to be called within
    /// the mixer's `LocalSet`.
    pub fn queue_input(&self, input: Input) {
        let queued = QueuedInput {
            input,
            memory: None,
        };
        if let Err(mpsc::error::TrySendError::Full(queued)) = self.inputs.try_send(queued) {
            let inputs = self.inputs.clone();
            tokio::task::spawn_local(async move {
                let _ = inputs.send(queued).await;
            });
        }
    }

    /// Queues an input that the reducer can do without: dropped while the queue is full.
    pub fn queue_hint(&self, input: Input) {
        let memory = None;
        let _ = self.inputs.try_send(QueuedInput { input, memory });
    }

    /// Registers a client under a new id and returns the receiver of its commands.
    pub fn register_client(&self, kind: ClientKind) -> (ClientId, mpsc::Receiver<ClientCommand>) {
        self.last_client.set(self.last_client.get() + 1);
        let client = self.last_client.get();
        let (commands, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let registered = RegisteredClient { kind, commands };
        self.clients.borrow_mut().insert(client, registered);
        if kind == ClientKind::Connection {
            self.connection_count.set(self.connection_count.get() + 1);
        }
        (client, receiver)
    }

    /// Unregisters a client whose connection or query has ended.
    pub fn unregister_client(&self, client: ClientId) {
        let removed = self.clients.borrow_mut().remove(&client);
        if removed.is_some_and(|client| client.kind == ClientKind::Connection) {
            self.connection_count.set(self.connection_count.get() - 1);
            self.connection_ended.notify_one();
        }
    }

    /// Passes a command to a client's task; does nothing if the client is not registered.
    ///
    /// # Errors
    /// The task has ended or its queue is full.
    pub fn command_client(
        &self,
        client: ClientId,
        command: ClientCommand,
    ) -> Result<(), mpsc::error::TrySendError<ClientCommand>> {
        match self.clients.borrow().get(&client) {
            Some(client) => client.commands.try_send(command),
            None => Ok(()),
        }
    }

    /// Returns the number of registered clients that are connections.
    pub fn connection_count(&self) -> usize {
        self.connection_count.get()
    }

    /// Waits until fewer than `max_clients` connections are registered.
    pub async fn wait_for_client_capacity(&self, max_clients: usize) {
        while self.connection_count() >= max_clients {
            self.at_capacity.send_replace(true);
            self.connection_ended.notified().await;
        }
        self.at_capacity.send_replace(false);
    }

    /// Waits until no further connection can be accepted, since too many are registered.
    pub async fn capacity_reached(&self) {
        let mut at_capacity = self.at_capacity.subscribe();
        let _ = at_capacity.wait_for(|reached| *reached).await;
    }
}
