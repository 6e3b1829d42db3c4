//! Turns: alarms that are due, the decisions, what they ask for, and the end.

use super::{usage, Part, Query, Reducer, IDLE_TENTHS};
use super::{MOST_DATAGRAM, MS};
use crate::log_targets;
use crate::protocol::query_json::{Hit, Reply};
use crate::reducer::leaf_connection::Phase;
use crate::reducer::timers::Timer;
use crate::reducer::Effect;
use cottonhill_decisions::{Action, Event, Nanos, Outcome, RequestId};

impl Reducer {
    /// Fires the timers that are due, then decides on what has come in since the batch before.
    pub(super) fn process_batch(&mut self, now: Nanos) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire_timer(now, timer);
        }
        if !self.events.is_empty() && !self.lifecycle.is_awaiting_discovery() {
            self.decide(now);
        }
    }

    /// Passes the events of this batch to the coordinator and performs its actions.
    pub(super) fn decide(&mut self, now: Nanos) {
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.module.process_batch(now, &events, &mut actions);
        for action in actions {
            self.act(now, action);
        }
        self.joining.clear();
    }

    fn fire_timer(&mut self, now: Nanos, timer: Timer) {
        match timer {
            Timer::Coordinator(token) => self.events.push(Event::TimerFired { token }),
            Timer::AttemptDeadline(id) => self.end_attempt(now, id, Outcome::TimedOut),
            Timer::ConnectTimeout(connection) => {
                if self
                    .connections
                    .get(&connection)
                    .is_some_and(|(_, it)| it.phase() == Phase::Connecting)
                {
                    self.counters.connections.failed += 1;
                    self.close_link(now, connection);
                }
            }
            Timer::IdleTimeout(connection) => {
                let Some((_, it)) = self.connections.get_mut(&connection) else {
                    return;
                };
                let due = it.idle_since + self.site.connection_idle_timeout / 10 * IDLE_TENTHS;
                if !it.is_idle() {
                    it.idle_alarm = None;
                } else if due > now {
                    it.idle_alarm = Some(due);
                    self.timers.set(due, Timer::IdleTimeout(connection));
                } else {
                    self.counters.connections.idle += 1;
                    self.close_link(now, connection);
                }
            }
            Timer::ProbeTimeout(probe) => self.probe_ended(now, probe, Outcome::TimedOut, ""),
            Timer::QueryDeadline(id) => {
                // Guards the rule that every query taken is answered in time, should the module miss one.
                self.counters.faults.last_moment += 1;
                tracing::error!(target: log_targets::BATCHES, id, "query still open at the last moment");
                self.events.push(Event::ClientDisconnected { id });
                self.fail(now, id);
            }
            Timer::WatermarkDue => self.mark(now),
            Timer::DiscoveryTimeout if self.lifecycle.is_awaiting_discovery() => {
                self.counters.watches.unheard += 1;
                tracing::warn!(
                    target: log_targets::BATCHES, index = self.replicas.index,
                    "discovery is silent: the list held before is in force"
                );
                self.hear_first(now);
            }
            Timer::DiscoveryTimeout => {}
            Timer::SwitchSettled(address) => self.effects.push(Effect::WatchEndpoints {
                address,
                from_version: None,
            }),
            Timer::WriteStalled(connection, given) => self.stuck(now, connection, given),
            Timer::DrainElapsed => self.begin_graceful_shutdown(),
            Timer::ShutdownDeadline => {
                for id in self.queries.keys().copied().collect::<Vec<_>>() {
                    self.events.push(Event::ClientDisconnected { id });
                    self.fail(now, id);
                }
                self.lifecycle.on_shutdown_deadline();
                self.clients.clear();
            }
        }
    }

    pub(super) fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send {
                part,
                replica,
                expires_at,
            } => self.send(now, part, replica, expires_at),
            Action::Cancel { part, attempt } => {
                self.end_attempt(now, (part, attempt), Outcome::Cancelled)
            }
            Action::Answer { query, complete } => {
                self.finish(now, query, |state, query| state.answer(query, complete));
            }
            Action::Reject { query, retry_after } => self.finish(now, query, |state, _| {
                state.counters.answered.refused += 1;
                Reply::Rejected { retry_after }
            }),
            Action::Fail { query } => self.fail(now, query),
            Action::SetTimer { token, delay } => {
                self.timers.set(now + delay, Timer::Coordinator(token));
            }
            // Discovery pushes its list here, and the watch asks again by itself.
            Action::SubscribeEndpoints { .. } | Action::FetchEndpoints => {}
            Action::Probe { replica } => self.probe(now, replica),
            Action::CloseIdleConnections { replica } => {
                for connection in self.replicas.connections(replica).to_vec() {
                    if self
                        .connections
                        .get(&connection)
                        .is_some_and(|(_, it)| it.is_idle())
                    {
                        self.close_link(now, connection);
                    }
                }
            }
            Action::SendDatagram { to, bytes } => {
                if self.site.peer_messages_enabled && bytes.len() <= MOST_DATAGRAM {
                    self.counters.sent.datagrams += 1;
                    self.effects.push(Effect::SendDatagram { to, bytes });
                } else {
                    self.counters.faults.stray += 1;
                }
            }
            Action::Log(text) => tracing::info!(target: log_targets::BATCHES, "{text}"),
        }
    }

    fn fail(&mut self, now: Nanos, id: RequestId) {
        self.finish(now, id, |state, _| {
            state.counters.answered.failed += 1;
            Reply::Failed
        });
    }

    pub(super) fn finish(
        &mut self,
        now: Nanos,
        id: RequestId,
        word: impl FnOnce(&mut Self, &(Query, Vec<Part>)) -> Reply,
    ) {
        let Some(ended) = self.end_query(now, id) else {
            return;
        };
        let reply = word(self, &ended);
        self.record(&ended.0, &ended.1, usage::outcome(&reply));
        if tracing::enabled!(target: log_targets::BATCHES, tracing::Level::DEBUG) {
            let (query, parts) = &ended;
            let attempts: Vec<String> = parts
                .iter()
                .map(|p| {
                    format!(
                        "{}:{}{}",
                        p.shard,
                        p.attempts,
                        if p.value.is_some() { "+" } else { "-" }
                    )
                })
                .collect();
            let (left_ms, attempts) = (query.deadline.saturating_sub(now) / MS, attempts.join(" "));
            let word = match &reply {
                Reply::Answer { complete: true, .. } => "whole",
                Reply::Answer { .. } => "partial",
                Reply::Rejected { .. } => "refused",
                _ => "failed",
            };
            tracing::debug!(
                target: log_targets::BATCHES, id,
                class = query.class,
                left_ms,
                attempts,
                "query ended: {word}"
            );
        }
        self.reply(now, ended.0.client, reply);
    }

    /// The answer from the values that are in. What the parts do not bear out is not claimed, whatever the
    /// module says: one dishonest answer costs a whole day.
    pub(super) fn answer(&mut self, (query, parts): &(Query, Vec<Part>), whole: bool) -> Reply {
        let all: f64 = parts.iter().map(|p| p.weight).sum();
        let landed: f64 = parts
            .iter()
            .filter(|p| p.value.is_some())
            .map(|p| p.weight)
            .sum();
        let holds = |share: &[f64]| {
            landed + 1e-4 >= share.get(query.class).copied().unwrap_or(1.0) * all.min(1.0)
        };
        let bears_whole = holds(&self.site.completeness_thresholds);
        if !holds(&self.site.minimum_coverages) || whole && !bears_whole {
            self.counters.faults.dishonest += 1;
            tracing::error!(
                target: log_targets::BATCHES, landed,
                whole,
                class = query.class,
                "an answer that its parts do not bear out"
            );
            self.counters.answered.failed += 1;
            return Reply::Failed;
        }
        let hit = |p: &Part| {
            p.value.clone().map(|doc| Hit {
                shard: p.shard,
                doc,
            })
        };
        let hits = parts.iter().filter_map(hit).collect();
        if whole {
            self.counters.answered.whole += 1;
        } else {
            self.counters.answered.partial += 1;
        }
        Reply::Answer {
            complete: whole,
            hits,
        }
    }

    /// Starts the shutdown, unless it has started.
    pub(super) fn request_shutdown(&mut self, now: Nanos) {
        let Some(drain_at) = self.lifecycle.request_shutdown(now) else {
            return;
        };
        self.timers.set(drain_at, Timer::DrainElapsed);
        if let Some(deadline) = self.lifecycle.shutdown_deadline() {
            self.timers.set(deadline, Timer::ShutdownDeadline);
        }
    }

    /// The grace is over: no new connections, and those between requests are closed.
    pub(super) fn begin_graceful_shutdown(&mut self) {
        self.lifecycle.start_draining();
        self.effects.push(Effect::CloseListener);
        let idle = self.clients.iter().filter(|(_, c)| c.query.is_none());
        self.effects
            .extend(idle.map(|(client, _)| Effect::CloseClient {
                client: *client,
                immediate: false,
            }));
    }

    /// Exits once every accepted query is answered and every client has gone.
    pub(super) fn exit_when_drained(&mut self) {
        let drained = self.queries.is_empty() && self.clients.is_empty();
        if drained && self.lifecycle.exit_if_listener_closed() {
            self.mark_end();
            self.effects
                .push(Effect::Exit(Box::new(self.counters.clone())));
        }
    }
}
