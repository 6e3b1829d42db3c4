//! Turns: alarms that are due, the decisions, what they ask for, and the end.

use super::{
    usage, Alarm, Part, Query, Reducer, GRACE, IDLE_TENTHS, KILL, LAST_WORDS, LONGEST_DEADLINE,
};
use super::{MOST_DATAGRAM, MS};
use crate::log_targets;
use crate::protocol::query_json::{Hit, Reply};
use crate::reducer::leaf_connection::Phase;
use crate::reducer::Effect;
use cottonhill_decisions::{Action, Event, Nanos, Outcome, RequestId};

impl Reducer {
    pub(super) fn turn(&mut self, now: Nanos) {
        while let Some((at, alarm)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, alarm));
            self.ring(now, alarm);
        }
        if self.events.is_empty() || self.unheard {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.module.process_batch(now, &events, &mut actions);
        for action in actions {
            self.act(now, action);
        }
        self.joining.clear();
    }

    pub(super) fn ring(&mut self, now: Nanos, alarm: Alarm) {
        match alarm {
            Alarm::Wake(token) => self.events.push(Event::TimerFired { token }),
            Alarm::Attempt(id) => self.end_attempt(now, id, Outcome::TimedOut),
            Alarm::Connect(connection) => {
                if self
                    .connections
                    .get(&connection)
                    .is_some_and(|(_, it)| it.phase() == Phase::Connecting)
                {
                    self.counters.connections.failed += 1;
                    self.close_link(now, connection);
                }
            }
            Alarm::Idle(connection) => {
                let Some((_, it)) = self.connections.get_mut(&connection) else {
                    return;
                };
                let due = it.idle_since + self.site.connection_idle_timeout / 10 * IDLE_TENTHS;
                if !it.is_idle() {
                    it.idle_alarm = None;
                } else if due > now {
                    it.idle_alarm = Some(due);
                    self.alarms.insert((due, Alarm::Idle(connection)));
                } else {
                    self.counters.connections.idle += 1;
                    self.close_link(now, connection);
                }
            }
            Alarm::Probe(probe) => self.probe_ended(now, probe, Outcome::TimedOut, ""),
            Alarm::LastMoment(id) => {
                // Guards the rule that every query taken is answered in time, should the module miss one.
                self.counters.faults.last_moment += 1;
                tracing::error!(target: log_targets::BATCHES, id, "query still open at the last moment");
                self.events.push(Event::ClientDisconnected { id });
                self.fail(now, id);
            }
            Alarm::Mark => self.mark(now),
            Alarm::Unheard if self.unheard => {
                self.counters.watches.unheard += 1;
                tracing::warn!(
                    target: log_targets::BATCHES, index = self.replicas.index,
                    "discovery is silent: the list held before is in force"
                );
                self.hear_first(now);
            }
            Alarm::Unheard => {}
            Alarm::Settled(address) => self.effects.push(Effect::WatchEndpoints {
                address,
                from_version: None,
            }),
            Alarm::Stuck(connection, given) => self.stuck(now, connection, given),
            Alarm::GraceOver => self.wind_down(),
            Alarm::End => {
                for id in self.queries.keys().copied().collect::<Vec<_>>() {
                    self.events.push(Event::ClientDisconnected { id });
                    self.fail(now, id);
                }
                (self.closing, self.listening) = (true, false);
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
                self.alarms.insert((now + delay, Alarm::Wake(token)));
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

    pub(super) fn terminate(&mut self, now: Nanos) {
        if self.terminated.is_none() {
            self.terminated = Some(now);
            self.alarms.insert((now + GRACE, Alarm::GraceOver));
            self.alarms.insert((now + self.ending(), Alarm::End));
        }
    }

    /// How long the end may take: a kill can follow, and what it finds unanswered is lost.
    pub(super) fn ending(&self) -> Nanos {
        let longest = self
            .site
            .deadlines
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        GRACE.max(longest.min(LONGEST_DEADLINE) + KILL - LAST_WORDS)
    }

    /// The grace is over: no new connections, and those between requests are closed.
    pub(super) fn wind_down(&mut self) {
        self.closing = true;
        self.effects.push(Effect::CloseListener);
        let idle = self.clients.iter().filter(|(_, c)| c.query.is_none());
        self.effects
            .extend(idle.map(|(client, _)| Effect::CloseClient {
                client: *client,
                immediate: false,
            }));
    }

    /// Once all that was taken is answered and every client's connection has ended, nothing is left to do.
    pub(super) fn leave(&mut self) {
        let over =
            self.closing && !self.listening && self.queries.is_empty() && self.clients.is_empty();
        if over && !self.exited {
            self.exited = true;
            self.mark_end();
            self.effects
                .push(Effect::Exit(Box::new(self.counters.clone())));
        }
    }
}
