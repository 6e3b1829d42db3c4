//! The reducer's timers. No clock is read here: the caller says what time it is.

use super::input::ConnectionId;
use super::leaf_connection::AttemptId;
use super::probes::ProbeId;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What happens when a timer fires. Timers due at the same nanosecond fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the coordinator set, by its token.
    Coordinator(u64),
    /// The attempt expires.
    AttemptDeadline(AttemptId),
    /// The connect must have succeeded.
    ConnectTimeout(ConnectionId),
    /// The connection is checked for idleness.
    IdleTimeout(ConnectionId),
    /// The probe must have been answered.
    ProbeTimeout(ProbeId),
    /// The query must have been answered.
    QueryDeadline(RequestId),
    /// The next watermark of the usage records is due.
    WatermarkDue,
    /// The grace period after the shutdown request is over: draining starts.
    GracePeriodElapsed,
    /// The process must exit.
    ShutdownDeadline,
    /// Discovery must have confirmed the cached endpoint list.
    DiscoveryTimeout,
    /// Discovery at this new address has received every change announced before the switch.
    DiscoveryCaughtUp(SocketAddr),
    /// The socket must have taken the call that it was handed at this time.
    WriteStalled(ConnectionId, Nanos),
}

/// The timers that are set, ordered by when they are due. A timer may be set for several times.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Nanos, Timer)>);

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Nanos, timer: Timer) {
        self.0.insert((due, timer));
    }

    /// Cancels the timer that was set for this time.
    pub(super) fn cancel(&mut self, due: Nanos, timer: Timer) {
        self.0.remove(&(due, timer));
    }

    /// Cancels [`Timer::DiscoveryCaughtUp`], whatever its address.
    pub(super) fn cancel_discovery_caught_up(&mut self) {
        self.0
            .retain(|(_, timer)| !matches!(timer, Timer::DiscoveryCaughtUp(_)));
    }

    /// When the next timer is due.
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
