//! When the endpoint list is requested from discovery again, and the timeouts of these requests, so that the list stays
//! fresh. There is one rule for each [`WatchMode`]:
//!
//! - Push: an agent on the mixer's own machine. Requests to it are cheap, and its list is in force whether or not it is
//!   watched. During any delay a change that is in force is not known here, so delays are a small fraction of
//!   the drain grace, whatever the size of the fleet and however often the agent has failed.
//! - Poll: one service for all mixers, which serves one request after another. Requests are spread and become fewer as
//!   they fail (`Backoff`), within the time after which its list counts as announced and the longest time that
//!   the settings allow without a request.

use super::backoff::Backoff;
use crate::protocol::endpoint_updates::{self, MAX_UPDATE_BYTES};
use std::time::Duration;

/// What serves the endpoint list. Both modes hold the same watch, which delivers each change. They differ in when a
/// change counts as announced, in when a watch that ended is requested again, and in whether versions are valid at
/// another address of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// An agent on the mixer's own machine, whose list is in force at once. Requests keep a short, constant least
    /// interval, whatever the agent's `Retry-After`.
    Push {
        /// No attempt may start at a replica later than this after it was announced as draining or gone.
        drain_grace: Duration,
    },
    /// One service for the whole fleet, whose list counts as announced after [`STALENESS_BOUND`]. A watch that ended is
    /// requested again after a backoff with jitter, which includes the service's `Retry-After` as far as the bound
    /// allows.
    Poll {
        /// After this time without a request its current list counts as announced; `None` if the settings do not
        /// bound it.
        max_staleness: Option<Duration>,
    },
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// How long it lasted, from the start of its connect.
    pub duration: Duration,
    /// An update or a heartbeat was received on it.
    pub received: bool,
    /// It timed out: no connection, update or heartbeat in time.
    pub timed_out: bool,
    /// The service's `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// How long after discovery has a change it counts as announced here, if discovery can be reached, whichever requests
/// have failed meanwhile. What a timed_out watch misses counts as announced this long after it
/// fell timed_out.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// The part of [`STALENESS_BOUND`] that is reserved for the request that succeeds, to connect and to be answered.
const RESERVED_REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// Heartbeats are due every 2 s; one is late by half of that. Mistaking a live watch for a timed_out one costs one
/// request.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// A request may wait at the service while it serves others; the mixer gives up later than the service does.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests to an agent that rejects or resets them at once start no closer together than one in so many of the drain
/// grace.
const REQUESTS_PER_DRAIN_GRACE: u32 = 5;
/// The bounds of the interval between requests to an agent, whatever the drain grace.
const MIN_PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(25);
const MAX_PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// An agent that is timed_out now answers as soon as it can again; a connection that it has lost is found out by then.
const PUSH_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest that a new process waits for its first endpoint update.
const MAX_INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// When the endpoint list is requested again, and the timeouts of these requests.
#[derive(Clone, Debug)]
pub struct WatchPolicy {
    mode: WatchMode,
    backoff: Backoff,
    max_update_bytes: usize,
}

impl WatchPolicy {
    /// For one of `mixers` mixers. They must have different seeds, or they would send their requests in lockstep.
    pub fn new(mode: WatchMode, seed: u64, mixers: u32) -> WatchPolicy {
        WatchPolicy {
            mode,
            backoff: Backoff::new(seed, mixers, max_retry_interval(mode)),
            max_update_bytes: MAX_UPDATE_BYTES,
        }
    }

    /// Sets the memory that the process may use, in bytes, of which an update may take a fraction.
    pub fn limit_memory(&mut self, memory: usize) {
        self.max_update_bytes = endpoint_updates::max_update_bytes(memory);
    }

    /// The most bytes of one update; a larger one is rejected.
    pub fn max_update_bytes(&self) -> usize {
        self.max_update_bytes
    }

    /// How long a connect to discovery may take.
    pub fn connect_timeout(&self) -> Duration {
        let retry_interval = max_retry_interval(self.mode);
        match self.mode {
            WatchMode::Push { .. } => 2 * retry_interval,
            WatchMode::Poll { .. } => POLL_CONNECT_TIMEOUT.min(retry_interval / 4),
        }
    }

    /// How long a new watch may take until an update or a heartbeat is received.
    pub fn answer_timeout(&self) -> Duration {
        match self.mode {
            WatchMode::Push { .. } => PUSH_ANSWER_TIMEOUT,
            // The next request starts in time even if this one is never answered.
            WatchMode::Poll { .. } => {
                POLL_ANSWER_TIMEOUT.min(max_retry_interval(self.mode) - self.connect_timeout())
            }
        }
    }

    /// How long a new process waits for its first endpoint update, before which no attempt is made: changes that
    /// discovery has had for the staleness bound count as announced to a new process as well. If discovery does not
    /// answer in this time, the cached list is used.
    pub fn initial_list_timeout(&self) -> Duration {
        MAX_INITIAL_LIST_TIMEOUT.min(self.answer_timeout())
    }

    /// Whether each address of discovery has versions of its own: agents do, a service has one list for all.
    pub fn versions_differ_by_address(&self) -> bool {
        matches!(self.mode, WatchMode::Push { .. })
    }

    /// How long nothing may be received on a watch that has received something.
    pub fn heartbeat_timeout(&self) -> Duration {
        HEARTBEAT_TIMEOUT
    }

    /// How long to wait after a watch that has ended, until the next one is started.
    pub fn next_delay(&mut self, ended: WatchEnd) -> Duration {
        let retry_interval = max_retry_interval(self.mode);
        match self.mode {
            // The agent's list is in force at once, so its Retry-After does not count.
            WatchMode::Push { .. } => retry_interval.saturating_sub(ended.duration),
            WatchMode::Poll { .. } => {
                let limit = max_poll_delay(retry_interval, ended).min(retry_interval);
                self.backoff
                    .next_delay(ended.received, ended.retry_after, limit)
            }
        }
    }
}

/// The longest delay after which the next request is still in time.
fn max_poll_delay(retry_interval: Duration, ended: WatchEnd) -> Duration {
    match (ended.received, ended.timed_out) {
        // The staleness counts from when the watch fell timed_out.
        (true, true) => STALENESS_BOUND - HEARTBEAT_TIMEOUT - RESERVED_REQUEST_TIME,
        (true, false) => retry_interval,
        // Discovery may have recovered right after this request was started.
        (false, _) => retry_interval.saturating_sub(ended.duration),
    }
}

/// The longest time between the starts of two requests that fail.
fn max_retry_interval(mode: WatchMode) -> Duration {
    match mode {
        WatchMode::Push { drain_grace } => (drain_grace / REQUESTS_PER_DRAIN_GRACE)
            .clamp(MIN_PUSH_RETRY_INTERVAL, MAX_PUSH_RETRY_INTERVAL),
        WatchMode::Poll { max_staleness } => {
            (STALENESS_BOUND - RESERVED_REQUEST_TIME).min(max_staleness.unwrap_or(Duration::MAX))
        }
    }
}
