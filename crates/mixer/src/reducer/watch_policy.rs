//! The schedule and the timeouts of requests for the endpoint list, which keep the list current.
//!
//! A change of the list *counts as announced* to a mixer from a defined time, whether or not the mixer has received it.
//! For a replica that is draining or removed, the drain grace starts at that time: after the drain grace, no attempt
//! may start there. There is one rule for each [`WatchMode`]:
//!
//! - Push: an agent on the mixer's own machine. Requests to it are cheap, and a change counts as announced as soon as
//!   the agent has it, even if the mixer is not connected to the agent. During a delay the mixer misses such changes,
//!   so delays are a small fraction of the drain grace, regardless of the size of the fleet and of the number of
//!   failures.
//! - Poll: one service for all mixers, which serves one request at a time. Failed requests are repeated after a backoff
//!   with jitter (`Backoff`), limited by the staleness bound and by the maximum staleness of the settings.

use super::backoff::Backoff;
use super::memory_budget::MemoryBudget;
use crate::protocol::endpoint_updates::{self, MAX_ENTRIES, MAX_UPDATE_BYTES};
use std::time::Duration;

/// The kind of service that serves the endpoint list. Both modes use the same watch, which delivers each change. They
/// differ in when a change counts as announced, in the delay before an ended watch is requested again, and in whether
/// versions are valid at another address of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// An agent on the mixer's own machine, whose changes count as announced at once. Requests have a short, constant
    /// minimum interval; the agent's `Retry-After` is ignored.
    Push {
        /// No attempt may start at a replica later than this after it was announced as draining or removed.
        drain_grace: Duration,
    },
    /// One service for all mixers, whose list counts as announced after [`STALENESS_BOUND`]. An ended watch is
    /// requested again after a backoff with jitter, which respects the service's `Retry-After` within the bound.
    Poll {
        /// After this time without a request, the service's current list counts as announced; `None` if the settings do
        /// not limit it.
        max_staleness: Option<Duration>,
    },
}

/// The end of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Its duration, from the start of the connect.
    pub duration: Duration,
    /// Whether an update or a heartbeat was received on it.
    pub received_any: bool,
    /// Whether it timed out: no connection was established, or no update or heartbeat was received, in time.
    pub timed_out: bool,
    /// How long the service took to answer when it last did, from the start of the connect; `None` before that.
    pub answer_time: Option<Duration>,
    /// The service's `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// A change counts as announced to this mixer this long after discovery has received it, if discovery can be reached,
/// regardless of failed requests in between. A change that a stalled watch misses counts as announced this long after
/// the last message of the watch.
pub const STALENESS_BOUND: Duration = Duration::from_secs(6);
/// The least part of [`STALENESS_BOUND`] that is reserved for the successful request, to connect and to be answered.
const RESERVED_REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// While the service takes longer to answer, this multiple of its last answer time is reserved.
const RESERVED_ANSWER_TIMES: f64 = 1.25;
/// Heartbeats are due every 2 s; the timeout allows for a delay of half an interval. A false timeout costs one request.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// A request may wait while the service serves others; this timeout is longer than the service's own.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const POLL_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of requests per drain grace to an agent that rejects or resets them at once.
const REQUESTS_PER_DRAIN_GRACE: u32 = 5;
/// The bounds of the interval between requests to an agent, regardless of the drain grace.
const MIN_PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(25);
const MAX_PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// An agent that stalls answers as soon as it recovers; this timeout detects a connection that the agent has lost.
const PUSH_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum time that a new process waits for its first endpoint update.
const MAX_INITIAL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The schedule and the timeouts of requests for the endpoint list.
#[derive(Clone, Debug)]
pub struct WatchPolicy {
    mode: WatchMode,
    backoff: Backoff,
    max_update_bytes: usize,
    max_entries: usize,
}

impl WatchPolicy {
    /// Creates the policy for one of `mixers` mixers. Each must have a different seed, or they send their requests in
    /// lockstep.
    pub fn new(mode: WatchMode, seed: u64, mixers: u32) -> WatchPolicy {
        WatchPolicy {
            mode,
            backoff: Backoff::new(seed, mixers, max_retry_interval(mode)),
            max_update_bytes: MAX_UPDATE_BYTES,
            max_entries: MAX_ENTRIES,
        }
    }

    /// Sets the memory limit of the process, in bytes; an update may use a fraction of it.
    pub fn limit_memory(&mut self, memory: usize) {
        self.max_update_bytes = endpoint_updates::max_update_bytes(memory);
        self.max_entries = MemoryBudget::new(memory).endpoints();
    }

    /// The maximum size of an update, in bytes; a larger one is rejected.
    pub fn max_update_bytes(&self) -> usize {
        self.max_update_bytes
    }

    /// The maximum number of entries of an update; one with more is rejected.
    pub fn max_entries(&self) -> usize {
        self.max_entries
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
            // Leaves time for the next request to start within the interval if this one is not answered.
            WatchMode::Poll { .. } => {
                POLL_ANSWER_TIMEOUT.min(max_retry_interval(self.mode) - self.connect_timeout())
            }
        }
    }

    /// How long a new process waits for its first endpoint update. No attempt starts before that, since changes that
    /// discovery received longer ago than the staleness bound count as announced to a new process, too. If discovery
    /// does not answer in time, the cached list is used.
    pub fn initial_list_timeout(&self) -> Duration {
        MAX_INITIAL_LIST_TIMEOUT.min(self.answer_timeout())
    }

    /// Whether versions are specific to an address of discovery: each agent has its own, a service has one list for all
    /// mixers.
    pub fn versions_differ_by_address(&self) -> bool {
        matches!(self.mode, WatchMode::Push { .. })
    }

    /// The maximum time between two messages on a watch.
    pub fn heartbeat_timeout(&self) -> Duration {
        HEARTBEAT_TIMEOUT
    }

    /// The delay between the end of a watch and the start of the next one.
    pub fn next_delay(&mut self, ended: WatchEnd) -> Duration {
        let retry_interval = max_retry_interval(self.mode);
        match self.mode {
            // The agent's changes count as announced at once, so its Retry-After is ignored.
            WatchMode::Push { .. } => retry_interval.saturating_sub(ended.duration),
            WatchMode::Poll { .. } => {
                let retry_interval =
                    retry_interval.min(STALENESS_BOUND - reserved_request_time(ended));
                let limit = max_poll_delay(retry_interval, ended).min(retry_interval);
                self.backoff
                    .next_delay(ended.received_any, ended.retry_after, limit)
            }
        }
    }
}

/// The time to reserve for the next request, within the timeouts of a request.
fn reserved_request_time(ended: WatchEnd) -> Duration {
    let answer_time = ended.answer_time.unwrap_or_default();
    answer_time.mul_f64(RESERVED_ANSWER_TIMES).clamp(
        RESERVED_REQUEST_TIME,
        POLL_CONNECT_TIMEOUT + POLL_ANSWER_TIMEOUT,
    )
}

/// The longest delay after which the next request still meets the staleness bound.
fn max_poll_delay(retry_interval: Duration, ended: WatchEnd) -> Duration {
    match (ended.received_any, ended.timed_out) {
        // The staleness is measured from the last message of the watch.
        (true, true) => STALENESS_BOUND
            .saturating_sub(HEARTBEAT_TIMEOUT)
            .saturating_sub(reserved_request_time(ended)),
        (true, false) => retry_interval,
        // Discovery may have recovered right after this request was started, so its duration counts.
        (false, _) => retry_interval.saturating_sub(ended.duration),
    }
}

/// The longest time between the starts of two failed requests.
fn max_retry_interval(mode: WatchMode) -> Duration {
    match mode {
        WatchMode::Push { drain_grace } => (drain_grace / REQUESTS_PER_DRAIN_GRACE)
            .clamp(MIN_PUSH_RETRY_INTERVAL, MAX_PUSH_RETRY_INTERVAL),
        WatchMode::Poll { max_staleness } => {
            (STALENESS_BOUND - RESERVED_REQUEST_TIME).min(max_staleness.unwrap_or(Duration::MAX))
        }
    }
}
