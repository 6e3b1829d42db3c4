//! Queries from within the process: frontends of other protocols send them to the same reducer as native clients.

use super::client_connection::ClientCommand;
use super::memory_pool::MemoryPool;
use super::shared::{ClientKind, Shared};
use crate::protocol::query_json::{ClientRequest, QueryRequest, QuerySchema, Reply};
use crate::reducer::{ClientId, Input};
use cottonhill_decisions::Nanos;
use std::rc::Rc;

/// Sends queries to the reducer, each under a separate client id. May be used only by tasks of the mixer's `LocalSet`.
#[derive(Clone)]
pub struct QueryClient {
    shared: Shared,
}

/// The registration of a client with one open query. Dropping it reports to the reducer that the client disconnected.
struct Registration {
    shared: Shared,
    client: ClientId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.unregister_client(self.client);
        self.shared.queue_input(Input::ClientClosed {
            client: self.client,
        });
    }
}

impl QueryClient {
    pub(super) fn new(shared: Shared) -> QueryClient {
        QueryClient { shared }
    }

    /// Returns the names of classes and tenants, and limits, for validating queries.
    pub fn query_schema(&self) -> &Rc<QuerySchema> {
        &self.shared.query_schema
    }

    /// Returns the memory for requests and answers in all frontends.
    pub fn frontend_memory(&self) -> &MemoryPool {
        &self.shared.frontend_memory
    }

    /// Returns the Unix time of the mixer's clock in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.shared.clock.now()
    }

    /// Sends a query that arrived at `received_at` (Unix nanoseconds) and waits for its reply. Returns
    /// [`Reply::Failed`] if the mixer exits first. Dropping the future cancels the query, like the disconnect of a
    /// client.
    pub async fn send_query(&self, received_at: Nanos, query: QueryRequest) -> Reply {
        let (client, mut commands) = self.shared.register_client(ClientKind::Frontend);
        // Dropped when the reply is returned or the future is dropped.
        let _registration = Registration {
            shared: self.shared.clone(),
            client,
        };
        let opened = Input::FrontendClientOpened { client };
        if !self.shared.send_input(opened).await {
            return Reply::Failed;
        }
        let input = Input::RequestReceived {
            client,
            received_at,
            request: Ok(ClientRequest::Query(query)),
        };
        if !self.shared.send_input(input).await {
            return Reply::Failed;
        }
        loop {
            match commands.recv().await {
                Some(ClientCommand::Reply { reply, .. }) => return *reply,
                // Sent before the reducer processed the query; the query is served nevertheless.
                Some(ClientCommand::Close { .. } | ClientCommand::AbortResponse) => {}
                None => return Reply::Failed,
            }
        }
    }

    /// Waits until the mixer accepts no more connections because it is shutting down.
    pub async fn listener_closed(&self) {
        let mut listener_closed = self.shared.listener_closed.subscribe();
        let _ = listener_closed.wait_for(|closed| *closed).await;
    }

    /// Whether the mixer accepts no more connections because it is shutting down.
    pub fn is_listener_closed(&self) -> bool {
        *self.shared.listener_closed.borrow()
    }

    /// Waits until requests that have not arrived completely are to be refused because the mixer exits.
    pub async fn refusing_incomplete(&self) {
        let mut refusing = self.shared.refusing_requests.subscribe();
        let _ = refusing.wait_for(|refusing| *refusing).await;
    }
}
