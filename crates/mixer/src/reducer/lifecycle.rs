//! The phases of the process, from its start to its exit.

use super::NANOS_PER_MS;
use cottonhill_decisions::Nanos;

/// How long the mixer serves on unchanged after a shutdown request: new connections still arrive, and clients go on
/// using theirs for 0.7 s.
const GRACE_PERIOD: Nanos = 750 * NANOS_PER_MS;
/// The process is killed no earlier than this after the shutdown request and the longest deadline of a query, which
/// counts as [`MAX_COUNTED_DEADLINE`] at most.
const KILL_DELAY: Nanos = 700 * NANOS_PER_MS;
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * NANOS_PER_MS;
/// How long before the kill the last replies are sent.
const LAST_REPLIES_MARGIN: Nanos = 100 * NANOS_PER_MS;

/// The phase of the start-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartupPhase {
    /// Discovery has yet to confirm the cached endpoint list. Queries are accepted, but nothing is decided.
    AwaitingDiscovery {
        /// The cached list has an endpoint that is ready.
        has_ready_endpoint: bool,
    },
    /// No endpoint has been ready so far.
    AwaitingReadyEndpoint,
    /// An endpoint is ready, or was.
    Started,
}

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// A shutdown was requested; clients are still accepted and served.
    GracePeriod { requested_at: Nanos },
    /// Accepted queries are answered; idle clients are closed.
    Draining {
        requested_at: Nanos,
        /// The listener may still hand over connections.
        listening: bool,
    },
    /// The exit was requested from the transport.
    Exited { requested_at: Nanos },
}

/// Start-up and shutdown of the process.
#[derive(Debug)]
pub(super) struct Lifecycle {
    startup: StartupPhase,
    shutdown: ShutdownPhase,
    shutdown_duration: Nanos,
}

impl Lifecycle {
    /// A process that has loaded its cached endpoint list. `deadlines` are the longest that queries may take.
    pub(super) fn new(has_ready_endpoint: bool, deadlines: &[Nanos]) -> Lifecycle {
        Lifecycle {
            startup: StartupPhase::AwaitingDiscovery { has_ready_endpoint },
            shutdown: ShutdownPhase::Running,
            shutdown_duration: shutdown_duration(deadlines),
        }
    }

    /// Whether discovery has yet to confirm the cached endpoint list, so that nothing is decided.
    pub(super) fn is_awaiting_discovery(&self) -> bool {
        matches!(self.startup, StartupPhase::AwaitingDiscovery { .. })
    }

    /// An endpoint is ready, now or earlier.
    pub(super) fn on_ready_endpoint(&mut self) {
        self.startup = match self.startup {
            StartupPhase::AwaitingDiscovery { .. } => StartupPhase::AwaitingDiscovery {
                has_ready_endpoint: true,
            },
            StartupPhase::AwaitingReadyEndpoint | StartupPhase::Started => StartupPhase::Started,
        };
    }

    /// Discovery has confirmed or replaced the cached endpoint list, or is not waited for any longer.
    pub(super) fn stop_awaiting_discovery(&mut self) {
        if let StartupPhase::AwaitingDiscovery { has_ready_endpoint } = self.startup {
            self.startup = if has_ready_endpoint {
                StartupPhase::Started
            } else {
                StartupPhase::AwaitingReadyEndpoint
            };
        }
    }

    /// Whether a load balancer may send clients here.
    pub(super) fn is_ready(&self) -> bool {
        self.startup == StartupPhase::Started && self.shutdown == ShutdownPhase::Running
    }

    /// Starts the grace period; returns when it ends, or `None` if a shutdown was requested before.
    pub(super) fn request_shutdown(&mut self, now: Nanos) -> Option<Nanos> {
        if self.shutdown != ShutdownPhase::Running {
            return None;
        }
        self.shutdown = ShutdownPhase::GracePeriod { requested_at: now };
        Some(now + GRACE_PERIOD)
    }

    /// When the process must exit; `None` while no shutdown is requested.
    pub(super) fn shutdown_deadline(&self) -> Option<Nanos> {
        Some(self.shutdown_requested_at()? + self.shutdown_duration)
    }

    /// The grace period is over.
    pub(super) fn start_draining(&mut self) {
        if let ShutdownPhase::GracePeriod { requested_at } = self.shutdown {
            self.shutdown = ShutdownPhase::Draining {
                requested_at,
                listening: true,
            };
        }
    }

    /// Whether clients are closed after their replies: from the end of the grace period on.
    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.shutdown,
            ShutdownPhase::Draining { .. } | ShutdownPhase::Exited { .. }
        )
    }

    /// The listener hands over no more connections. It is closed only while draining.
    pub(super) fn on_listener_closed(&mut self) {
        if let ShutdownPhase::Draining { listening, .. } = &mut self.shutdown {
            *listening = false;
        }
    }

    /// The shutdown's time is over: the listener is waited for no longer.
    pub(super) fn on_shutdown_deadline(&mut self) {
        self.start_draining();
        self.on_listener_closed();
    }

    /// Marks the process as exited once it drains and its listener is closed; true if it does so now.
    pub(super) fn exit_if_listener_closed(&mut self) -> bool {
        let ShutdownPhase::Draining {
            requested_at,
            listening: false,
        } = self.shutdown
        else {
            return false;
        };
        self.shutdown = ShutdownPhase::Exited { requested_at };
        true
    }

    /// Whether the exit was requested from the transport.
    pub(super) fn has_exited(&self) -> bool {
        matches!(self.shutdown, ShutdownPhase::Exited { .. })
    }

    fn shutdown_requested_at(&self) -> Option<Nanos> {
        match self.shutdown {
            ShutdownPhase::Running => None,
            ShutdownPhase::GracePeriod { requested_at }
            | ShutdownPhase::Draining { requested_at, .. }
            | ShutdownPhase::Exited { requested_at } => Some(requested_at),
        }
    }
}

/// How long a shutdown may take before the process can be killed, which would lose open queries.
fn shutdown_duration(deadlines: &[Nanos]) -> Nanos {
    let longest_deadline = deadlines.iter().max().copied().unwrap_or_default();
    let until_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    GRACE_PERIOD.max(until_kill - LAST_REPLIES_MARGIN)
}
