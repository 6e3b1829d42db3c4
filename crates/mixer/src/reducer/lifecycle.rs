//! The phases of the process, from start-up to exit.

use super::NANOS_PER_MS;
use cottonhill_decisions::Nanos;

/// How long the mixer continues to serve normally after a shutdown request. Within this time new connections still
/// arrive, and clients continue to use the existing ones for 0.7 s after the request.
const GRACE_PERIOD: Nanos = 750 * NANOS_PER_MS;
/// The platform guarantees that it does not kill the process before this delay plus the longest query deadline has
/// passed since the shutdown request. The deadline counts as at most [`MAX_COUNTED_DEADLINE`].
const KILL_DELAY: Nanos = 700 * NANOS_PER_MS;
const MAX_COUNTED_DEADLINE: Nanos = 3_000 * NANOS_PER_MS;
/// How long before the earliest kill the last replies are sent.
const LAST_REPLIES_MARGIN: Nanos = 100 * NANOS_PER_MS;
/// How long after the shutdown deadline the frontends may write the last responses, half of [`LAST_REPLIES_MARGIN`].
const LAST_RESPONSES_TIMEOUT: Nanos = 50 * NANOS_PER_MS;

/// A phase of the start-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartupPhase {
    /// Discovery has not confirmed the cached endpoint list yet. Queries are accepted, but no batch is decided.
    AwaitingDiscovery {
        /// The endpoint list has a ready endpoint.
        has_ready_endpoint: bool,
    },
    /// No endpoint has been ready yet.
    AwaitingReadyEndpoint,
    /// At least one endpoint has been ready.
    Started,
}

/// A phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownPhase {
    /// No shutdown was requested.
    Running,
    /// A shutdown was requested; clients are still accepted and served normally.
    GracePeriod { requested_at: Nanos },
    /// Accepted queries are answered; idle clients are closed.
    Draining {
        requested_at: Nanos,
        /// The listener may still accept connections.
        listening: bool,
    },
    /// The exit effect was emitted.
    Exited { requested_at: Nanos },
}

/// Start-up and shutdown of the process.
#[derive(Debug)]
pub(super) struct Lifecycle {
    startup: StartupPhase,
    shutdown: ShutdownPhase,
    shutdown_duration: Nanos,
    /// Whether the shutdown deadline has passed.
    is_past_deadline: bool,
    /// The frontends that have not closed their listener and all their connections.
    open_frontends: usize,
}

impl Lifecycle {
    /// The lifecycle of a process that has loaded its cached endpoint list. `deadlines` are the maximum durations of
    /// queries.
    pub(super) fn new(has_ready_endpoint: bool, deadlines: &[Nanos]) -> Lifecycle {
        Lifecycle {
            startup: StartupPhase::AwaitingDiscovery { has_ready_endpoint },
            shutdown: ShutdownPhase::Running,
            shutdown_duration: shutdown_duration(deadlines),
            is_past_deadline: false,
            open_frontends: 0,
        }
    }

    /// Notes that a frontend was started.
    pub(super) fn on_frontend_started(&mut self) {
        self.open_frontends += 1;
    }

    /// Notes that a frontend has closed its listener and all its connections.
    pub(super) fn on_frontend_closed(&mut self) {
        self.open_frontends = self.open_frontends.saturating_sub(1);
    }

    /// The number of frontends that have not closed their listener and all their connections.
    pub(super) fn open_frontends(&self) -> usize {
        self.open_frontends
    }

    /// Whether discovery has not confirmed the cached endpoint list yet, so that no batch is decided.
    pub(super) fn is_awaiting_discovery(&self) -> bool {
        matches!(self.startup, StartupPhase::AwaitingDiscovery { .. })
    }

    /// Notes that an endpoint is ready.
    pub(super) fn on_ready_endpoint(&mut self) {
        self.startup = match self.startup {
            StartupPhase::AwaitingDiscovery { .. } => StartupPhase::AwaitingDiscovery {
                has_ready_endpoint: true,
            },
            StartupPhase::AwaitingReadyEndpoint | StartupPhase::Started => StartupPhase::Started,
        };
    }

    /// Ends the wait for discovery, which has confirmed or replaced the cached endpoint list, or has timed out.
    pub(super) fn stop_awaiting_discovery(&mut self) {
        if let StartupPhase::AwaitingDiscovery { has_ready_endpoint } = self.startup {
            self.startup = if has_ready_endpoint {
                StartupPhase::Started
            } else {
                StartupPhase::AwaitingReadyEndpoint
            };
        }
    }

    /// Whether a load balancer may route clients to this mixer.
    pub(super) fn is_ready(&self) -> bool {
        self.startup == StartupPhase::Started && self.shutdown == ShutdownPhase::Running
    }

    /// Starts the grace period; returns its end, or `None` if a shutdown was requested before.
    pub(super) fn request_shutdown(&mut self, now: Nanos) -> Option<Nanos> {
        if self.shutdown != ShutdownPhase::Running {
            return None;
        }
        self.shutdown = ShutdownPhase::GracePeriod { requested_at: now };
        Some(now + GRACE_PERIOD)
    }

    /// When the shutdown must be complete; `None` if no shutdown was requested.
    pub(super) fn shutdown_deadline(&self) -> Option<Nanos> {
        Some(self.shutdown_requested_at()? + self.shutdown_duration)
    }

    /// Ends the grace period and starts draining.
    pub(super) fn start_draining(&mut self) {
        if let ShutdownPhase::GracePeriod { requested_at } = self.shutdown {
            self.shutdown = ShutdownPhase::Draining {
                requested_at,
                listening: true,
            };
        }
    }

    /// Whether clients are closed after their replies, which is the case after the grace period.
    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.shutdown,
            ShutdownPhase::Draining { .. } | ShutdownPhase::Exited { .. }
        )
    }

    /// Notes that the listener accepts no more connections. It is closed only while draining.
    pub(super) fn on_listener_closed(&mut self) {
        if let ShutdownPhase::Draining { listening, .. } = &mut self.shutdown {
            *listening = false;
        }
    }

    /// Continues the shutdown at its deadline without waiting for the listener. Returns until when it waits for the
    /// frontends, or `None` if none is open.
    pub(super) fn on_shutdown_deadline(&mut self, now: Nanos) -> Option<Nanos> {
        self.start_draining();
        self.on_listener_closed();
        self.is_past_deadline = true;
        (self.open_frontends > 0).then_some(now + LAST_RESPONSES_TIMEOUT)
    }

    /// Whether the shutdown deadline has passed.
    pub(super) fn is_past_deadline(&self) -> bool {
        self.is_past_deadline
    }

    /// Marks the process as exited if it is draining and its listener is closed; returns whether it did so.
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

    /// Whether the exit effect was emitted.
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

/// How long a shutdown may take: it must be complete before the process can be killed, which would lose open queries.
fn shutdown_duration(deadlines: &[Nanos]) -> Nanos {
    let longest_deadline = deadlines.iter().max().copied().unwrap_or_default();
    let until_kill = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    GRACE_PERIOD.max(until_kill - LAST_REPLIES_MARGIN)
}
