//! The reducer's timers. They read no clock: the caller passes the current time.

use super::input::ConnectionId;
use super::leaf_connection::AttemptId;
use super::probes::ProbeId;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A timer, by its purpose. Timers that are due at the same nanosecond fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the coordinator set, by its token.
    Coordinator(u64),
    /// The attempt times out.
    AttemptDeadline(AttemptId),
    /// The connect times out.
    ConnectTimeout(ConnectionId),
    /// The connection is checked for idleness.
    IdleTimeout(ConnectionId),
    /// The probe times out.
    ProbeTimeout(ProbeId),
    /// The query fails if it is still open.
    QueryDeadline(RequestId),
    /// The next watermark of the usage records is due.
    WatermarkDue,
    /// The grace period after the shutdown request ends and draining starts.
    GracePeriodElapsed,
    /// The shutdown must be complete, but for the last responses of the frontends.
    ShutdownDeadline,
    /// The frontends must have written their last responses.
    LastResponsesDue,
    /// The start-up no longer waits for discovery to confirm the cached endpoint list.
    DiscoveryTimeout,
    /// Discovery at this new address has received every change that was announced before the switch.
    DiscoveryCaughtUp(SocketAddr),
    /// The connection is closed if its socket is still writing the call that it received at this time.
    WriteStalled(ConnectionId, Nanos),
}

/// The timers that are set, ordered by due time. A timer may be set for several due times.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Nanos, Timer)>);

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Nanos, timer: Timer) {
        self.0.insert((due, timer));
    }

    /// Cancels the timer that was set for this due time.
    pub(super) fn cancel(&mut self, due: Nanos, timer: Timer) {
        self.0.remove(&(due, timer));
    }

    /// Cancels [`Timer::DiscoveryCaughtUp`] for every address.
    pub(super) fn cancel_discovery_caught_up(&mut self) {
        self.0
            .retain(|(_, timer)| !matches!(timer, Timer::DiscoveryCaughtUp(_)));
    }

    /// The due time of the next timer.
    pub(super) fn next_due(&self) -> Option<Nanos> {
        self.0.first().map(|(due, _)| *due)
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }

    /// Number of timers set.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
