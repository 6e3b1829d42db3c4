//! The end of queries: answers, rejections and failures.

use super::queries::EndedQuery;
use super::query_memory::CallWriter;
use super::timers::Timer;
use super::usage::QueryOutcome;
use super::{ClientId, Effect, Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::query_json::{self, Hit, Reply};
use cottonhill_decisions::{Nanos, Outcome, RequestId};

/// How far the sum of the weights may be below a threshold, since the weights are rounded.
const WEIGHT_TOLERANCE: f64 = 1e-4;

impl Reducer {
    /// Answers a query with the received values.
    pub(super) fn answer_query(&mut self, now: Nanos, id: RequestId, complete: bool) {
        if let Some(ended) = self.end_query(now, id) {
            let reply = self.build_answer(now, &ended, complete);
            self.finish_query(now, id, &ended, reply);
        }
    }

    /// Rejects a query.
    pub(super) fn reject_query(&mut self, now: Nanos, id: RequestId, retry_after: Option<Nanos>) {
        if let Some(ended) = self.end_query(now, id) {
            self.counters.replies.rejected += 1;
            self.finish_query(now, id, &ended, Reply::Rejected { retry_after });
        }
    }

    /// Fails a query.
    pub(super) fn fail_query(&mut self, now: Nanos, id: RequestId) {
        if let Some(ended) = self.end_query(now, id) {
            self.counters.replies.failed += 1;
            self.finish_query(now, id, &ended, Reply::Failed);
        }
    }

    /// Removes a query and its parts. Cancels its attempts that have not been passed to a socket, even if the
    /// cancellation of sent attempts is disabled. Sent attempts end independently of the query.
    pub(super) fn end_query(&mut self, now: Nanos, id: RequestId) -> Option<EndedQuery> {
        let writers = self.limit_writes_of_large_text(now, id);
        let ended = self.queries.remove(id, writers)?;
        for part in &ended.query.parts {
            self.cancel_unsent_attempts(now, *part);
        }
        self.timers
            .cancel(ended.query.deadline, Timer::QueryDeadline(id));
        self.record_query_ended(id, ended.query.arrived_at);
        Some(ended)
    }

    /// Limits how long sockets may hold a large text after its query has ended. Returns the connections that are writing
    /// calls with it.
    fn limit_writes_of_large_text(&mut self, now: Nanos, id: RequestId) -> Vec<CallWriter> {
        let parts = self.queries.parts_with_large_text(id);
        if parts.is_empty() {
            return Vec::new();
        }
        let writers = self.connections.writing_any_part(parts);
        for (connection, write_started_at) in &writers {
            let due = now + self.settings.connect_timeout;
            self.timers
                .set(due, Timer::WriteStalled(*connection, *write_started_at));
        }
        writers
    }

    fn cancel_unsent_attempts(&mut self, now: Nanos, part: RequestId) {
        let mut unsent = Vec::new();
        for (id, attempt) in self.attempts.for_part(part) {
            let unsent_on_connection = self.connections.unsent_attempts(attempt.connection);
            if unsent_on_connection.contains(&id) {
                unsent.push(id);
            }
        }
        for attempt in unsent {
            self.cancel_attempt(now, attempt, Outcome::Cancelled);
        }
    }

    /// Records a query that has ended, and replies to its client.
    fn finish_query(&mut self, now: Nanos, id: RequestId, ended: &EndedQuery, reply: Reply) {
        self.record_query(ended, usage_outcome(ended, &reply));
        log_query_ended(now, id, ended, &reply);
        self.send_reply(now, ended.query.client, reply);
    }

    /// Builds the answer from the received values. Fails the query if the coordinator's decision claims more coverage
    /// than the parts have: an answer that overstates its coverage is worse than a failed query.
    fn build_answer(&mut self, now: Nanos, ended: &EndedQuery, complete: bool) -> Reply {
        let is_complete = reaches(ended, &self.settings.completeness_thresholds);
        let is_sufficient = reaches(ended, &self.settings.minimum_coverages);
        if !is_sufficient || complete && !is_complete {
            self.counters.faults.overstated_answers += 1;
            self.counters.replies.failed += 1;
            tracing::error!(
                target: log_targets::BATCHES, answered_weight = ended.answered_weight(),
                complete,
                class = ended.query.class,
                "query failed: answer claims more coverage than its parts have"
            );
            return Reply::Failed;
        }
        let hits = hits(ended);
        if !self.reserve_response(now, ended.query.client, &hits) {
            self.counters.memory.failed_responses += 1;
            self.counters.replies.failed += 1;
            tracing::debug!(
                target: log_targets::BATCHES, client = ended.query.client,
                request_id = &*ended.query.request_id,
                used_bytes = self.response_memory.used(),
                "query failed: no memory for its response"
            );
            return Reply::Failed;
        }
        if complete {
            self.counters.replies.complete += 1;
        } else {
            self.counters.replies.partial += 1;
        }
        Reply::Answer { complete, hits }
    }

    /// Reserves memory for a response if it is large. While memory is short, the connections of clients that do not read
    /// their responses are closed.
    fn reserve_response(&mut self, now: Nanos, client: ClientId, hits: &[Hit]) -> bool {
        let response_bytes = query_json::answer_length(hits);
        if response_bytes <= query_json::LARGE_RESPONSE_BYTES {
            return true;
        }
        // The values and the rendered response exist at the same time.
        let value_bytes: usize = hits.iter().map(|hit| hit.doc.len()).sum();
        let bytes = response_bytes + value_bytes;
        for client in self.response_memory.unread(bytes, now) {
            if self.clients.is_connection(client) {
                self.counters.memory.aborted_responses += 1;
                self.effects.push(Effect::AbortResponse { client });
            }
        }
        self.response_memory.try_reserve(client, bytes, now)
    }
}

/// Whether the weight of the received values reaches the threshold of the query's class.
fn reaches(ended: &EndedQuery, thresholds: &[f64]) -> bool {
    let threshold = thresholds.get(ended.query.class).copied().unwrap_or(1.0);
    ended.answered_weight() + WEIGHT_TOLERANCE >= threshold * ended.total_weight().min(1.0)
}

/// Copies the values for the answer; the query and its values are dropped right after it.
fn hits(ended: &EndedQuery) -> Vec<Hit> {
    let mut hits = Vec::new();
    for part in &ended.parts {
        if let Some(value) = &part.value {
            hits.push(Hit {
                shard: part.shard,
                doc: value.clone(),
            });
        }
    }
    hits
}

/// The outcome of a reply in the usage records.
fn usage_outcome(ended: &EndedQuery, reply: &Reply) -> QueryOutcome {
    match reply {
        Reply::Answer { complete: true, .. } => QueryOutcome::Complete,
        Reply::Answer { .. } => QueryOutcome::Partial(coverage_millionths(ended)),
        Reply::Rejected { .. } => QueryOutcome::Rejected,
        _ => QueryOutcome::Failed,
    }
}

/// The answered fraction of the total weight, in millionths.
fn coverage_millionths(ended: &EndedQuery) -> u32 {
    let coverage = ended.answered_weight() / ended.total_weight().max(f64::MIN_POSITIVE);
    (coverage * 1e6).round().clamp(0.0, 1e6) as u32
}

fn log_query_ended(now: Nanos, id: RequestId, ended: &EndedQuery, reply: &Reply) {
    if !tracing::enabled!(target: log_targets::BATCHES, tracing::Level::DEBUG) {
        return;
    }
    let outcome = match reply {
        Reply::Answer { complete: true, .. } => "complete",
        Reply::Answer { .. } => "partial",
        Reply::Rejected { .. } => "rejected",
        _ => "failed",
    };
    tracing::debug!(
        target: log_targets::BATCHES, id,
        request_id = &*ended.query.request_id,
        class = ended.query.class,
        remaining_ms = ended.query.deadline.saturating_sub(now) / NANOS_PER_MS,
        attempts = attempts_by_shard(ended),
        "query ended: {outcome}"
    );
}

/// Formats each part as `SHARD:ATTEMPTS`, followed by `+` if it has a value and by `-` if it has none.
fn attempts_by_shard(ended: &EndedQuery) -> String {
    let mut parts = Vec::with_capacity(ended.parts.len());
    for part in &ended.parts {
        let sign = if part.value.is_some() { "+" } else { "-" };
        parts.push(format!("{}:{}{sign}", part.shard, part.attempts));
    }
    parts.join(" ")
}
