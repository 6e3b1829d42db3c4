//! Admission of queries before the coordinator decides on them: ids, limits, memory and time.

use super::leaf_connection::LeafConnection;
use super::queries::{Part, Query};
use super::query_memory::CallWriter;
use super::timers::Timer;
use super::{ClientId, Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::http::RequestError;
use crate::protocol::query_json::{QueryRequest, Reply};
use cottonhill_decisions::{Event, Nanos, RequestId};
use std::rc::Rc;

/// Subtracted from the client's timeout to cover the network round trip and a delayed batch.
const CLIENT_TIMEOUT_MARGIN: Nanos = 8 * NANOS_PER_MS;

impl Reducer {
    pub(super) fn on_query(
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
