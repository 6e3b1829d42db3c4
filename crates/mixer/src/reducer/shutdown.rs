//! Graceful shutdown: the grace period, draining, and the exit.

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

    /// Starts draining at the end of the grace period: closes the listener and the clients without an open query.
    pub(super) fn begin_draining(&mut self) {
        self.lifecycle.start_draining();
        self.effects.push(Effect::CloseListener);
        for client in self.clients.without_open_query() {
            self.effects.push(Effect::CloseClient {
                client,
                immediate: false,
            });
        }
    }

    /// Fails the open queries and stops waiting for clients and the listener, since the process may be killed soon.
    pub(super) fn on_shutdown_deadline(&mut self, now: Nanos) {
        for id in self.queries.ids() {
            self.events.push(Event::ClientDisconnected { id });
            self.fail_query(now, id);
        }
        self.lifecycle.on_shutdown_deadline();
        self.clients.clear();
    }

    /// Exits once every accepted query is answered, every client has disconnected and the listener is closed.
    pub(super) fn exit_when_drained(&mut self) {
        let drained = self.queries.is_empty() && self.clients.is_empty();
        if drained && self.lifecycle.exit_if_listener_closed() {
            self.record_last_watermark();
            self.effects
                .push(Effect::Exit(Box::new(self.counters.clone())));
        }
    }
}
