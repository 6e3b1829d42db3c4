//! The running watches on discovery. A reload replaces the current watch by one at the configured address. The replaced
//! watch goes on until a newer one has delivered an update, so that changes arrive however slow or unreachable the new
//! address is, and however many reloads follow each other.

/// Identifies a watch. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WatchId(u64);

impl WatchId {
    /// The watch that is started with the mixer.
    pub const FIRST: WatchId = WatchId(1);
}

/// Maximum number of running watches, the current one included. Each holds a descriptor.
const MAX_WATCHES: usize = 4;

#[derive(Debug)]
struct Watch {
    id: WatchId,
    /// Whether its last connection has ended and no further request was sent.
    is_between_requests: bool,
}

/// The running watches, oldest first. The last one is the current one: it is at the configured address, and its
/// connections are renewed.
#[derive(Debug)]
pub(super) struct Watches(Vec<Watch>);

impl Watches {
    /// With the first watch as the current one.
    pub(super) fn new() -> Watches {
        Watches(vec![Watch::new(WatchId::FIRST)])
    }

    /// Number of running watches.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the watch is running.
    pub(super) fn contains(&self, id: WatchId) -> bool {
        self.0.iter().any(|watch| watch.id == id)
    }

    /// Replaces the current watch. Returns the id of the new one and the watches to stop: a replaced watch goes on only if
    /// it has a connection. Of too many the youngest replaced one is stopped, since older ones are answered sooner.
    pub(super) fn replace_current(&mut self) -> (WatchId, Vec<WatchId>) {
        let last_id = self.0.last().map_or(0, |watch| watch.id.0);
        let mut stopped = Vec::new();
        stopped.extend(self.0.pop_if(|watch| watch.is_between_requests));
        if self.0.len() >= MAX_WATCHES {
            stopped.extend(self.0.pop());
        }
        let id = WatchId(last_id + 1);
        self.0.push(Watch::new(id));
        (id, stopped.into_iter().map(|watch| watch.id).collect())
    }

    /// Notes that a watch has sent a request.
    pub(super) fn on_requested(&mut self, id: WatchId) {
        self.set_between_requests(id, false);
    }

    /// Notes that a connection of a watch has ended. Returns whether to stop the watch, because it is replaced.
    pub(super) fn on_connection_ended(&mut self, id: WatchId) -> bool {
        self.set_between_requests(id, true);
        let is_replaced = self.0.last().is_some_and(|current| current.id != id);
        if is_replaced {
            self.0.retain(|watch| watch.id != id);
        }
        is_replaced
    }

    /// Notes that a watch has delivered an update. Returns the watches to stop, those that it has replaced.
    pub(super) fn on_update(&mut self, id: WatchId) -> Vec<WatchId> {
        let newer = self.0.partition_point(|watch| watch.id < id);
        self.0.drain(..newer).map(|watch| watch.id).collect()
    }

    fn set_between_requests(&mut self, id: WatchId, is_between_requests: bool) {
        if let Some(watch) = self.0.iter_mut().find(|watch| watch.id == id) {
            watch.is_between_requests = is_between_requests;
        }
    }
}

impl Watch {
    fn new(id: WatchId) -> Watch {
        Watch {
            id,
            is_between_requests: false,
        }
    }
}
