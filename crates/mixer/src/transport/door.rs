//! A way in for fronts of other protocols: what they ask goes through the same reducer as what native clients do.

use super::clients::Command;
use super::{Shared, MOST_COMMANDS};
use crate::interface::Nanos;
use crate::protocol::query::{Asked, Names, Query, Reply};
use crate::routing::{ClientId, Input};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Asks queries of the reducer, each as a client of its own. Only for tasks of the mixer's own `LocalSet`.
#[derive(Clone)]
pub struct Door {
    shared: Shared,
}

/// A client for as long as its one query is open; dropped before the reply, it has left.
struct Visit {
    shared: Shared,
    client: ClientId,
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.shared.clients.borrow_mut().remove(&self.client);
        self.shared.client_ended.notify_one();
        let (inputs, closed) = (self.shared.inputs.clone(), Input::ClientClosed { client: self.client });
        if let Err(mpsc::error::TrySendError::Full(closed)) = inputs.try_send(closed) {
            tokio::task::spawn_local(async move {
                let _ = inputs.send(closed).await;
            });
        }
    }
}

impl Door {
    pub(super) fn new(shared: Shared) -> Door {
        Door { shared }
    }

    /// What classes and tenants are called, and the bounds of a query.
    pub fn names(&self) -> &Rc<Names> {
        &self.shared.names
    }

    /// Unix nanoseconds, by the mixer's one clock.
    pub fn now(&self) -> Nanos {
        self.shared.clock.now()
    }

    /// Asks a query that `arrived` then and waits for its one reply. Whoever drops this has left.
    pub async fn ask(&self, arrived: Nanos, query: Query) -> Reply {
        let client = self.shared.client();
        let (commands, mut replies) = mpsc::channel(MOST_COMMANDS);
        self.shared.clients.borrow_mut().insert(client, commands);
        let visit = Visit { shared: self.shared.clone(), client };
        let _ = visit.shared.inputs.send(Input::ClientOpened { client }).await;
        let asked = Ok(Asked::Query(query));
        let _ = visit.shared.inputs.send(Input::Asked { client, arrived, asked }).await;
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
