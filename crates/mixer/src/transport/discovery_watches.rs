//! The tasks of the running watches on discovery.

use super::discovery_watch::{AnswerTime, DiscoveryWatch};
use super::shared::Shared;
use crate::reducer::WatchId;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::{spawn_local, AbortHandle};

/// The tasks of the running watches.
#[derive(Default)]
pub(super) struct DiscoveryWatches {
    running: HashMap<WatchId, AbortHandle>,
    /// How long discovery takes to answer, which a new watch has to know from those before it.
    answer_time: AnswerTime,
}

impl DiscoveryWatches {
    /// Starts a watch for changes after version `from_version`; it requests a snapshot first if that is `None`.
    pub(super) fn start(
        &mut self,
        shared: &Shared,
        id: WatchId,
        address: SocketAddr,
        from_version: Option<u64>,
    ) {
        let watch = DiscoveryWatch::new(
            id,
            shared.updates.clone(),
            shared.watch_policy.clone(),
            address,
            from_version,
            self.answer_time.clone(),
        );
        let task = spawn_local(watch.run()).abort_handle();
        self.running.insert(id, task);
    }

    /// Stops a watch, if it is running.
    pub(super) fn stop(&mut self, id: WatchId) {
        if let Some(task) = self.running.remove(&id) {
            task.abort();
        }
    }
}
