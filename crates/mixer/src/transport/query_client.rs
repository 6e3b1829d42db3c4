//! Queries from inside the process: fronts of other protocols ask the same reducer as native clients do.

use super::client_connections::Command;
use super::{Shared, MOST_COMMANDS};
use crate::protocol::query_json::{ClientRequest, QueryRequest, QuerySchema, Reply};
use crate::reducer::{ClientId, Input};
use cottonhill_decisions::Nanos;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Asks queries of the reducer, each as a client of its own. Only for tasks of the mixer's own `LocalSet`.
#[derive(Clone)]
pub struct QueryClient {
    shared: Shared,
}

/// The registration of a client whose one query is open. Dropped before the reply, it reports that the client left.
struct Registration {
    shared: Shared,
    client: ClientId,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.clients.borrow_mut().remove(&self.client);
        self.shared.client_ended.notify_one();
        let (inputs, closed) = (
            self.shared.inputs.clone(),
            Input::ClientClosed {
                client: self.client,
            },
        );
        if let Err(mpsc::error::TrySendError::Full(closed)) = inputs.try_send(closed) {
            tokio::task::spawn_local(async move {
                let _ = inputs.send(closed).await;
            });
        }
    }
}

impl QueryClient {
    pub(super) fn new(shared: Shared) -> QueryClient {
        QueryClient { shared }
    }

    /// The names of classes and tenants, and the bounds of a query.
    pub fn query_schema(&self) -> &Rc<QuerySchema> {
        &self.shared.query_schema
    }

    /// The time in Unix nanoseconds, by the mixer's one clock.
    pub fn now(&self) -> Nanos {
        self.shared.clock.now()
    }

    /// Asks a query that arrived at `arrived` (Unix nanoseconds) and waits for its one reply; [`Reply::Failed`] if the
    /// mixer ends before. Dropping the future withdraws the query, as a client that closes its connection does.
    pub async fn ask(&self, received_at: Nanos, query: QueryRequest) -> Reply {
        let client = self.shared.client();
        let (commands, mut replies) = mpsc::channel(MOST_COMMANDS);
        self.shared.clients.borrow_mut().insert(client, commands);
        let registration = Registration {
            shared: self.shared.clone(),
            client,
        };
        let _ = registration
            .shared
            .inputs
            .send(Input::ClientOpened { client })
            .await;
        let request = Ok(ClientRequest::Query(query));
        let _ = registration
            .shared
            .inputs
            .send(Input::RequestReceived {
                client,
                received_at,
                request,
            })
            .await;
        loop {
            match replies.recv().await {
                Some(Command::Reply(reply, _)) => return *reply,
                // Crossed by the query, which is taken.
                Some(Command::Close { .. }) => {}
                None => return Reply::Failed,
            }
        }
    }

    /// Returns once the mixer takes no more connections: it is about to end.
    pub async fn stopped(&self) {
        let mut stopped = self.shared.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }
}
