//! Client connections, requests and replies.

use super::counters::Stats;
use super::leaf_connection::LeafConnection;
use super::queries::{Part, Query};
use super::query_memory::CallWriter;
use super::timers::Timer;
use super::usage::QueryOutcome;
use super::{ClientId, Effect, Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::http::RequestError;
use crate::protocol::query_json::{ClientRequest, QueryRequest, Reply};
use cottonhill_decisions::{Event, Nanos, RequestId};
use std::rc::Rc;

/// Subtracted from the client's timeout to cover the network round trip and a delayed batch.
const CLIENT_TIMEOUT_MARGIN: Nanos = 8 * NANOS_PER_MS;
/// How long an attempt may still start after its client has disconnected.
const MAX_START_AFTER_DISCONNECT: Nanos = 100 * NANOS_PER_MS;

impl Reducer {
    pub(super) fn on_client_opened(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert_connection(client, now);
        if self.lifecycle.is_draining() {
            // Accepted while the listener was being closed: a client without a request would delay the exit.
            self.effects.push(Effect::CloseClient {
                client,
                immediate: false,
            });
        } else if self.clients.connection_count() > self.descriptor_budget.max_clients() / 2 {
            self.close_idle_clients(now, client);
        }
    }

    pub(super) fn on_frontend_client_opened(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert_frontend_client(client, now);
    }

    fn close_idle_clients(&mut self, now: Nanos, newest: ClientId) {
        let limit = self.descriptor_budget.max_clients();
        for client in self.clients.select_for_closing(now, newest, limit) {
            self.effects.push(Effect::CloseClient {
                client,
                immediate: true,
            });
        }
    }

    pub(super) fn on_client_closed(&mut self, now: Nanos, client: ClientId) {
        self.response_memory.release(client);
        let Some(client) = self.clients.remove(client) else {
            return;
        };
        let Some(id) = client.open_query else {
            return;
        };
        self.counters.replies.client_disconnected += 1;
        self.events.push(Event::ClientDisconnected { id });
        if let Some(ended) = self.end_query(now, id) {
            if ended.parts.iter().any(|part| part.was_sent) {
                self.departed_requests
                    .insert(&ended.query.request_id, ended.query.deadline);
            }
            self.limit_write_after_disconnect(now, &ended.query.parts);
            self.record_query(&ended, QueryOutcome::ClientDisconnected);
        }
    }

    /// Limits how long a call for a disconnected client may remain in its socket. Even a cancelled call may not have
    /// been written yet. Half of [`MAX_START_AFTER_DISCONNECT`] is for the socket to report the call as written, half
    /// for closing the connection.
    fn limit_write_after_disconnect(&mut self, now: Nanos, parts: &[RequestId]) {
        let due = now + MAX_START_AFTER_DISCONNECT / 2;
        for (connection, write_started_at) in self.connections.writing_any_part(parts) {
            self.timers
                .set(due, Timer::WriteStalled(connection, write_started_at));
        }
    }

    pub(super) fn on_request(
        &mut self,
        now: Nanos,
        client: ClientId,
        received_at: Nanos,
        request: Result<ClientRequest, RequestError>,
    ) {
        match request {
            Ok(ClientRequest::Query(query)) => self.on_query(now, client, received_at, query),
            Ok(ClientRequest::Ready) => {
                let ready = self.lifecycle.is_ready();
                self.send_reply(now, client, Reply::Ready(ready));
            }
            Ok(ClientRequest::Stats) => {
                let stats = self.stats_json(now);
                self.send_reply(now, client, Reply::Stats(stats));
            }
            Err(error) => self.reject_invalid_request(now, client, error),
        }
    }

    fn stats_json(&self, now: Nanos) -> Vec<u8> {
        let stats = Stats {
            counters: &self.counters,
            resources: self.resource_usage(),
            endpoint_list_version: self.replicas.version(),
            ms_since_discovery_message: self.discovery.ms_since_last_message(now),
        };
        serde_json::to_vec_pretty(&stats).unwrap_or_default()
    }

    fn reject_invalid_request(&mut self, now: Nanos, client: ClientId, error: RequestError) {
        if error == RequestError::out_of_memory() {
            self.counters.memory.rejected_requests += 1;
        } else {
            self.counters.requests.invalid += 1;
        }
        // At debug level, since a client that sends only invalid requests could fill the log.
        tracing::debug!(
            target: log_targets::CLIENTS, client,
            status = error.status,
            reason = error.reason,
            "request rejected"
        );
        self.send_reply(now, client, Reply::InvalidRequest(error));
    }

    fn on_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        received_at: Nanos,
        request: QueryRequest,
    ) {
        if !self.clients.contains(client) {
            return;
        }
        // Leaf servers could not distinguish the parts of two queries with the same id.
        if self.queries.contains_request_id(&request.request_id) {
            let error = RequestError {
                status: 409,
                reason: "X-Request-ID is that of an open query",
            };
            return self.reject_invalid_request(now, client, error);
        }
        if self.departed_requests.contains(now, &request.request_id) {
            let error = RequestError {
                status: 409,
                reason: "X-Request-ID is that of a query that may still run",
            };
            return self.reject_invalid_request(now, client, error);
        }
        let open_parts = self.queries.unanswered_parts();
        if self.queries.len() + open_parts >= self.settings.max_open_requests {
            self.counters.requests.over_limit += 1;
            if is_logged(self.counters.requests.over_limit) {
                tracing::info!(
                    target: log_targets::CLIENTS, queries = self.queries.len(),
                    open_parts,
                    "query rejected: open-query limit reached"
                );
            }
            return self.reject_before_decision(now, client, received_at, &request);
        }
        if !self.has_query_memory(&request) {
            self.counters.memory.rejected_queries += 1;
            tracing::debug!(
                target: log_targets::CLIENTS, client,
                request_id = request.request_id,
                text_bytes = request.text.len(),
                usage = ?self.queries.memory.usage(),
                "query rejected: no memory for it"
            );
            return self.reject_before_decision(now, client, received_at, &request);
        }
        let remaining_time = self.remaining_time(now, received_at, &request);
        if remaining_time == 0 {
            self.counters.requests.deadline_exceeded += 1;
            if is_logged(self.counters.requests.deadline_exceeded) {
                tracing::info!(
                    target: log_targets::CLIENTS, timeout_ms = request.timeout / NANOS_PER_MS,
                    "query rejected: no time remains before its deadline"
                );
            }
            return self.reject_before_decision(now, client, received_at, &request);
        }
        self.accept_query(now, client, received_at, request, remaining_time);
    }

    fn has_query_memory(&mut self, request: &QueryRequest) -> bool {
        let connections = &self.connections;
        let is_writing = |(connection, since): CallWriter| {
            let connection = connections.get(connection);
            connection.and_then(LeafConnection::writing_call_since) == Some(since)
        };
        self.queries.memory.has_capacity(request, is_writing)
    }

    /// The time in which the query must be answered: the rest of the client's timeout, less the time to deliver the
    /// reply. During a shutdown the shutdown deadline limits it, since the process may be killed after that.
    fn remaining_time(&self, now: Nanos, received_at: Nanos, request: &QueryRequest) -> Nanos {
        let remaining_time = request
            .timeout
            .saturating_sub(network_delay(now, received_at));
        match self.lifecycle.shutdown_deadline() {
            Some(deadline) => remaining_time.min(deadline.saturating_sub(now)),
            None => remaining_time,
        }
    }

    fn reject_before_decision(
        &mut self,
        now: Nanos,
        client: ClientId,
        received_at: Nanos,
        request: &QueryRequest,
    ) {
        self.record_rejected_request(received_at, request);
        let retry_after = Some(self.settings.retry_after);
        self.send_reply(now, client, Reply::Rejected { retry_after });
    }

    fn accept_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        received_at: Nanos,
        request: QueryRequest,
        remaining_time: Nanos,
    ) {
        let open_parts = self.queries.unanswered_parts();
        let id = self.ids.next_id();
        let group = self.ids.next_query_group();
        self.clients.on_query_accepted(client, id);
        self.events.push(Event::QueryReceived {
            id,
            group,
            class: request.class,
            tenant: request.tenant,
            client_timeout: remaining_time,
            network_delay: network_delay(now, received_at),
            work: request.parts.iter().map(|part| part.work).sum(),
            client_retry: request.client_retry,
        });
        let parts = self.accept_parts(id, group, &request);
        self.count_accepted(&request);
        let deadline = now + remaining_time;
        self.timers.set(deadline, Timer::QueryDeadline(id));
        let query = Query {
            request_id: request.request_id.as_str().into(),
            client,
            class: usize::from(request.class),
            deadline,
            parts,
            text_bytes: request.text.len(),
            tenant: request.tenant,
            arrived_at: self.record_query_opened(id, received_at),
            client_retry: request.client_retry,
            deduplication_key: self.deduplication_key(&request),
        };
        self.queries.insert(id, query);
        tracing::debug!(
            target: log_targets::CLIENTS, id,
            request_id = request.request_id,
            class = request.class,
            remaining_ms = remaining_time / NANOS_PER_MS,
            open_parts,
            "query accepted"
        );
    }

    fn count_accepted(&mut self, request: &QueryRequest) {
        let requests = &mut self.counters.requests;
        requests.queries += 1;
        requests.parts += request.parts.len() as u64;
        requests.client_retries += u64::from(request.client_retry);
    }

    /// Adds the parts of a query; returns their ids.
    fn accept_parts(
        &mut self,
        query: RequestId,
        group: u32,
        request: &QueryRequest,
    ) -> Vec<RequestId> {
        let mut ids = Vec::with_capacity(request.parts.len());
        for requested in &request.parts {
            let (shard, weight) = (requested.shard, requested.weight);
            let wire_id: Rc<str> = format!("{}.{shard}", request.request_id).into();
            let part = Part::new(query, shard, weight, wire_id, request.text.clone());
            let id = self.ids.next_id();
            self.queries.insert_part(id, part);
            self.events.push(Event::PartReceived {
                id,
                group,
                shard,
                weight,
            });
            ids.push(id);
        }
        ids
    }

    /// Sends the reply to a client's request, unless the client has disconnected.
    pub(super) fn send_reply(&mut self, now: Nanos, client: ClientId, reply: Reply) {
        let Some(close_requested) = self.clients.on_reply(client, now) else {
            return;
        };
        self.effects.push(Effect::Reply {
            client,
            reply,
            close: close_requested || self.lifecycle.is_draining(),
        });
    }
}

/// Whether an event of which this many have occurred is logged: the first, the second, the fourth, and so on, since
/// clients can cause any number of them.
fn is_logged(count: u64) -> bool {
    count.is_power_of_two()
}

/// The part of the client's timeout that is spent on the network and on waiting for this batch.
fn network_delay(now: Nanos, received_at: Nanos) -> Nanos {
    now.saturating_sub(received_at) + CLIENT_TIMEOUT_MARGIN
}
