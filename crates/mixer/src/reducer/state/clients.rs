//! Clients: their connections, what they ask, and the replies.

use super::{
    Attempt, Client, Part, Query, Reducer, CLIENT_IDLE, CLOSED_AT_ONCE, GONE_BEGINS, MARGIN, MS,
};
use crate::log_targets;
use crate::protocol::http::RequestError;
use crate::protocol::query_json::{ClientRequest, QueryRequest, Reply};
use crate::reducer::counters::Stats;
use crate::reducer::leaf_connection::AttemptId;
use crate::reducer::timers::Timer;
use crate::reducer::usage::QueryOutcome;
use crate::reducer::{ClientId, Effect};
use cottonhill_decisions::{Event, Nanos, RequestId};
use std::rc::Rc;

impl Reducer {
    pub(super) fn client_opened(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert(
            client,
            Client {
                since: now,
                ..Client::default()
            },
        );
        if self.lifecycle.is_draining() {
            // Accepted as the listener went: without a request on it, it would hold up the end.
            self.effects.push(Effect::CloseClient {
                client,
                immediate: false,
            });
        } else if self.clients.len() > self.descriptor_budget.clients() / 2 {
            self.make_room(now, client);
        }
    }

    /// Closes the clients that need their connection least: those that never sent a query that could be
    /// used, then those that have been idle for longest. Each is asked once: many may come before the first
    /// one asked has gone.
    pub(super) fn make_room(&mut self, now: Nanos, newest: ClientId) {
        let full = self.clients.len() > self.descriptor_budget.clients();
        let spare = |c: &Client| c.known && now.saturating_sub(c.since) >= CLIENT_IDLE;
        let idle = |id: &ClientId, c: &Client| c.query.is_none() && !c.closing && *id != newest;
        let idle = self
            .clients
            .iter()
            .filter(|(id, c)| idle(id, c) && (full || spare(c)));
        let mut idle: Vec<_> = idle.map(|(id, c)| (c.known, c.since, *id)).collect();
        idle.sort_unstable();
        for (_, _, client) in idle.into_iter().take(CLOSED_AT_ONCE) {
            if let Some(state) = self.clients.get_mut(&client) {
                state.closing = true;
                self.effects.push(Effect::CloseClient {
                    client,
                    immediate: true,
                });
            }
        }
    }

    pub(super) fn asked(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        asked: Result<ClientRequest, RequestError>,
    ) {
        match asked {
            Ok(ClientRequest::Query(query)) => self.take_query(now, client, arrived, query),
            Ok(ClientRequest::Ready) => {
                let ready = self.lifecycle.is_ready();
                self.reply(now, client, Reply::Ready(ready));
            }
            Ok(ClientRequest::Stats) => {
                let (list, heard_ms_ago) =
                    (self.replicas.index, now.saturating_sub(self.heard) / MS);
                let stats = Stats {
                    counters: &self.counters,
                    list,
                    heard_ms_ago,
                };
                let text = serde_json::to_vec_pretty(&stats).unwrap_or_default();
                self.reply(now, client, Reply::Stats(text));
            }
            Err(rejection) => {
                self.counters.taken.rejected += 1;
                // Some clients send nothing else, as fast as they can: the log would be theirs.
                tracing::debug!(
                    target: log_targets::CLIENTS, client,
                    status = rejection.status,
                    why = rejection.reason,
                    "request rejected"
                );
                self.reply(now, client, Reply::InvalidRequest(rejection));
            }
        }
    }

    pub(super) fn take_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        asked: QueryRequest,
    ) {
        if !self.clients.contains_key(&client) {
            return;
        }
        // Its parts would have the names that the open one's have at the leaf servers.
        if self.names.contains(&*asked.request_id) {
            let rejection = RequestError {
                status: 409,
                reason: "X-Request-ID is that of an open query",
            };
            return self.asked(now, client, arrived, Err(rejection));
        }
        // A part that is in is not open any more: counting it would refuse queries that there is room for.
        let open_parts = self.open_parts;
        if self.queries.len() + open_parts >= self.site.max_open_requests {
            self.counters.taken.over_cap += 1;
            tracing::info!(
                target: log_targets::CLIENTS, queries = self.queries.len(),
                open_parts,
                "over the cap: query refused"
            );
            self.turned_away(arrived, &asked);
            let retry_after = Some(self.site.max_retry_after);
            self.reply(now, client, Reply::Rejected { retry_after });
            return;
        }
        let spent = now.saturating_sub(arrived) + MARGIN;
        let mut patience = asked.timeout.saturating_sub(spent);
        if let Some(deadline) = self.lifecycle.shutdown_deadline() {
            // What comes during the grace must be over before a kill can follow.
            patience = patience.min(deadline.saturating_sub(now));
        }
        if patience == 0 {
            self.counters.taken.too_late += 1;
            tracing::info!(
                target: log_targets::CLIENTS, timeout_ms = asked.timeout / MS,
                "no time left: query refused"
            );
            self.turned_away(arrived, &asked);
            return self.reply(
                now,
                client,
                Reply::Rejected {
                    retry_after: Some(self.site.max_retry_after),
                },
            );
        }
        let id = self.id();
        self.last_group = self.last_group.wrapping_add(1);
        let group = self.last_group;
        if let Some(client) = self.clients.get_mut(&client) {
            (client.query, client.known) = (Some(id), true);
        }
        let work = asked.parts.iter().map(|p| p.work).sum();
        let (class, tenant) = (asked.class, asked.tenant);
        self.events.push(Event::QueryReceived {
            id,
            group,
            class,
            tenant,
            client_timeout: patience,
            network_delay: spent,
            work,
            client_retry: asked.client_retry,
        });
        let mut parts = Vec::with_capacity(asked.parts.len());
        for part in &asked.parts {
            let (part_id, shard, weight) = (self.id(), part.shard, part.weight);
            let wire: Rc<str> = format!("{}.{shard}", asked.request_id).into();
            let text = asked.text.clone();
            let new = Part {
                query: id,
                shard,
                weight,
                wire,
                text,
                ..Part::default()
            };
            self.parts.insert(part_id, new);
            self.open_parts += 1;
            self.events.push(Event::PartReceived {
                id: part_id,
                group,
                shard,
                weight,
            });
            parts.push(part_id);
        }
        self.counters.taken.queries += 1;
        self.counters.taken.parts += parts.len() as u64;
        self.counters.taken.repeats += u64::from(asked.client_retry);
        let deadline = now + patience;
        self.timers.set(deadline, Timer::QueryDeadline(id));
        let name: Rc<str> = asked.request_id.as_str().into();
        self.names.insert(name.clone());
        let (key, repeat) = (self.join_key(&asked), asked.client_retry);
        let arrived = self.note_open(id, arrived);
        let class_at = usize::from(class);
        let query = Query {
            name,
            client,
            class: class_at,
            deadline,
            parts,
            tenant,
            arrived,
            repeat,
            key,
        };
        self.queries.insert(id, query);
        let patience_ms = patience / MS;
        tracing::debug!(
            target: log_targets::CLIENTS, id,
            name = asked.request_id,
            class,
            patience_ms,
            open_parts,
            "query taken"
        );
    }

    pub(super) fn client_closed(&mut self, now: Nanos, client: ClientId) {
        let Some(client) = self.clients.remove(&client) else {
            return;
        };
        if let Some(id) = client.query {
            self.counters.answered.client_gone += 1;
            self.events.push(Event::ClientDisconnected { id });
            if let Some((query, parts)) = self.end_query(now, id) {
                self.expect_taken(now, &query);
                self.record(&query, &parts, QueryOutcome::ClientDisconnected);
            }
        }
    }

    /// A call of a client that has gone may still wait at its socket for its first byte, even one that was given up
    /// before. Half of the time in which it may begin is for the socket to say that it took it.
    fn expect_taken(&mut self, now: Nanos, query: &Query) {
        for (connection, (_, it)) in &self.connections {
            if let Some(given) = it
                .call_given()
                .filter(|_| query.parts.iter().any(|part| it.is_writing(*part)))
            {
                self.timers.set(
                    now + GONE_BEGINS / 2,
                    Timer::WriteStalled(*connection, given),
                );
            }
        }
    }

    pub(super) fn reply(&mut self, now: Nanos, client: ClientId, reply: Reply) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        (state.query, state.since) = (None, now);
        let close = self.lifecycle.is_draining() || state.closing;
        self.effects.push(Effect::Reply {
            client,
            reply,
            close,
        });
    }

    /// Forgets a query and its parts. Attempts that are out end on their own; those that wait for a connection never
    /// go out, whether or not the module may cancel what has.
    pub(super) fn end_query(&mut self, now: Nanos, id: RequestId) -> Option<(Query, Vec<Part>)> {
        let query = self.queries.remove(&id)?;
        for part in &query.parts {
            let attempts = self.attempts.range((*part, 0)..=(*part, u8::MAX));
            let waits = |(id, attempt): (&AttemptId, &Attempt)| {
                self.connections
                    .get(&attempt.connection)
                    .is_some_and(|(_, it)| it.unsent().contains(id))
                    .then_some(*id)
            };
            for waiting in attempts.filter_map(waits).collect::<Vec<_>>() {
                self.end_attempt(now, waiting, cottonhill_decisions::Outcome::Cancelled);
            }
        }
        self.timers.cancel(query.deadline, Timer::QueryDeadline(id));
        self.names.remove(&query.name);
        self.note_over(id, query.arrived);
        let parts: Vec<Part> = query
            .parts
            .iter()
            .filter_map(|part| self.parts.remove(part))
            .collect();
        self.open_parts -= parts.iter().filter(|part| part.value.is_none()).count();
        Some((query, parts))
    }
}
