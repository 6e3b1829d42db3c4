//! Client connections, requests and replies.

use super::counters::Stats;
use super::timers::Timer;
use super::usage::QueryOutcome;
use super::{ClientId, Effect, Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::http::RequestError;
use crate::protocol::query_json::{ClientRequest, Reply};
use cottonhill_decisions::{Event, Nanos, RequestId};

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
        self.clients.on_request_received(client);
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

    pub(super) fn reject_invalid_request(
        &mut self,
        now: Nanos,
        client: ClientId,
        error: RequestError,
    ) {
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
