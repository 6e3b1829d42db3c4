//! Graceful shutdown: the grace period, draining, and the exit.

use super::effect::ExitReport;
use super::timers::Timer;
use super::{Effect, Reducer};
use cottonhill_decisions::{Event, Nanos};

impl Reducer {
    /// Starts the grace period, unless a shutdown was requested before.
    pub(super) fn request_shutdown(&mut self, now: Nanos) {
        let Some(grace_period_end) = self.lifecycle.request_shutdown(now) else {
            return;
        };
        self.timers.set(grace_period_end, Timer::GracePeriodElapsed);
        if let Some(deadline) = self.lifecycle.shutdown_deadline() {
            self.timers.set(deadline, Timer::ShutdownDeadline);
        }
    }

    /// Starts draining at the end of the grace period: closes the listener and the clients without an open query. A
    /// request of which a part has arrived is still received and served.
    pub(super) fn begin_draining(&mut self) {
        self.lifecycle.start_draining();
        self.effects.push(Effect::CloseListener);
        self.close_clients_without_open_query(false);
    }

    fn close_clients_without_open_query(&mut self, immediate: bool) {
        let clients = self.clients.without_open_query();
        self.effects
            .extend(clients.map(|client| Effect::CloseClient { client, immediate }));
    }

    /// Notes that a frontend has closed its listener and all its connections.
    pub(super) fn on_frontend_closed(&mut self) {
        self.lifecycle.on_frontend_closed();
    }

    /// Fails the open queries, has the requests refused that are still being received, and stops waiting for clients and
    /// the listener, since the process may be killed soon. A frontend still writes the responses that depend on these
    /// queries; further queries of the same request are rejected at once, since no time remains for them.
    pub(super) fn on_shutdown_deadline(&mut self, now: Nanos) {
        for id in self.queries.ids() {
            self.events.push(Event::ClientDisconnected { id });
            self.fail_query(now, id);
        }
        self.close_clients_without_open_query(true);
        self.effects.push(Effect::RefuseIncompleteRequests);
        if let Some(responses_due) = self.lifecycle.on_shutdown_deadline(now) {
            self.timers.set(responses_due, Timer::LastResponsesDue);
        }
    }

    /// Exits once every accepted query is answered, every client has disconnected, the listener is closed, and the
    /// frontends have answered their requests, each of which may need several queries one after another.
    pub(super) fn exit_when_drained(&mut self) {
        let clients_done = self.clients.is_empty() || self.lifecycle.is_past_deadline();
        let frontends_done = self.lifecycle.open_frontends() == 0;
        if clients_done && frontends_done && self.queries.is_empty() {
            self.exit();
        }
    }

    /// Exits, if the listener is closed.
    pub(super) fn exit(&mut self) {
        if self.lifecycle.exit_if_listener_closed() {
            self.record_last_watermark();
            self.effects.push(Effect::Exit(Box::new(ExitReport {
                counters: self.counters.clone(),
                open_frontends: self.lifecycle.open_frontends(),
            })));
        }
    }
}
