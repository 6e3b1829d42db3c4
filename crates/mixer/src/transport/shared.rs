//! What the tasks of all connections share.

use super::buffer_pool::BufferPool;
use super::client_connection::ClientCommand;
use super::Clock;
use crate::protocol::query_json::QuerySchema;
use crate::reducer::{ClientId, Input, WatchPolicy};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, watch, Notify};

/// Inputs that may be queued; once the queue is full, sockets are not read.
pub(super) const MAX_QUEUED_INPUTS: usize = 1024;
/// Inputs from discovery that may be queued. They may be large, and the next one can wait at its socket.
pub const MAX_QUEUED_UPDATES: usize = 2;
/// Commands that may be queued at one connection. The reducer issues one frame or reply at a time.
pub(super) const MAX_QUEUED_COMMANDS: usize = 4;

/// State that all tasks of the transport share; clones refer to the same state.
#[derive(Clone)]
pub(super) struct Shared {
    /// The mixer's clock.
    pub clock: Clock,
    /// How the watch on discovery is kept up.
    pub watch_policy: WatchPolicy,
    /// Buffers of the connections.
    pub buffers: BufferPool,
    /// Inputs for the reducer.
    pub inputs: mpsc::Sender<Input>,
    /// Inputs from discovery, which do not queue behind the others.
    pub updates: mpsc::Sender<Input>,
    /// The names and bounds of the queries that are served.
    pub query_schema: Rc<QuerySchema>,
    /// True once no more connections are accepted.
    pub listener_closed: Rc<watch::Sender<bool>>,
    /// Where each registered client takes commands.
    clients: Rc<RefCell<HashMap<ClientId, mpsc::Sender<ClientCommand>>>>,
    /// Notified whenever a client's connection has ended, as one more may be accepted.
    client_ended: Rc<Notify>,
    /// The last client id that was given out.
    last_client: Rc<Cell<ClientId>>,
}

impl Shared {
    /// The state at the start, without clients.
    pub fn new(
        clock: Clock,
        watch_policy: WatchPolicy,
        query_schema: QuerySchema,
        inputs: mpsc::Sender<Input>,
        updates: mpsc::Sender<Input>,
    ) -> Shared {
        Shared {
            clock,
            watch_policy,
            buffers: BufferPool::default(),
            inputs,
            updates,
            query_schema: Rc::new(query_schema),
            listener_closed: Rc::new(watch::channel(false).0),
            clients: Rc::default(),
            client_ended: Rc::default(),
            last_client: Rc::default(),
        }
    }

    /// Passes an input to the reducer. False if the driver has ended.
    pub async fn send_input(&self, input: Input) -> bool {
        self.inputs.send(input).await.is_ok()
    }

    /// Adds a client under a new id; its commands arrive at the receiver.
    pub fn register_client(&self) -> (ClientId, mpsc::Receiver<ClientCommand>) {
        self.last_client.set(self.last_client.get() + 1);
        let client = self.last_client.get();
        let (commands, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        self.clients.borrow_mut().insert(client, commands);
        (client, receiver)
    }

    /// Removes a client whose connection has ended.
    pub fn unregister_client(&self, client: ClientId) {
        self.clients.borrow_mut().remove(&client);
        self.client_ended.notify_one();
    }

    /// Hands a command to a client's task, if the client is still registered.
    ///
    /// # Errors
    /// The task has ended or its queue is full.
    pub fn command_client(
        &self,
        client: ClientId,
        command: ClientCommand,
    ) -> Result<(), mpsc::error::TrySendError<ClientCommand>> {
        match self.clients.borrow().get(&client) {
            Some(commands) => commands.try_send(command),
            None => Ok(()),
        }
    }

    /// How many clients are registered.
    pub fn client_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns once fewer than `max_clients` clients are registered.
    pub async fn client_capacity(&self, max_clients: usize) {
        while self.client_count() >= max_clients {
            self.client_ended.notified().await;
        }
    }
}
