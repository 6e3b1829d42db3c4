//! The end of queries: answers, rejections and failures.

use super::queries::EndedQuery;
use super::timers::Timer;
use super::usage::QueryOutcome;
use super::{Reducer, NANOS_PER_MS};
use crate::log_targets;
use crate::protocol::query_json::{Hit, Reply};
use cottonhill_decisions::{Nanos, Outcome, RequestId};

/// How far the sum of the weights may be below a threshold, since the weights are rounded.
const WEIGHT_TOLERANCE: f64 = 1e-4;

impl Reducer {
    /// Answers a query with the received values.
    pub(super) fn answer_query(&mut self, now: Nanos, id: RequestId, complete: bool) {
        if let Some(ended) = self.end_query(now, id) {
            let reply = self.build_answer(&ended, complete);
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
        let ended = self.queries.remove(id)?;
        for part in &ended.query.parts {
            self.cancel_unsent_attempts(now, *part);
        }
        self.timers
            .cancel(ended.query.deadline, Timer::QueryDeadline(id));
        self.record_query_ended(id, ended.query.arrived_at);
        Some(ended)
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
    fn build_answer(&mut self, ended: &EndedQuery, complete: bool) -> Reply {
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
        if complete {
            self.counters.replies.complete += 1;
        } else {
            self.counters.replies.partial += 1;
        }
        let hits = hits(ended);
        Reply::Answer { complete, hits }
    }
}

/// Whether the weight of the received values reaches the threshold of the query's class.
fn reaches(ended: &EndedQuery, thresholds: &[f64]) -> bool {
    let threshold = thresholds.get(ended.query.class).copied().unwrap_or(1.0);
    ended.answered_weight() + WEIGHT_TOLERANCE >= threshold * ended.total_weight().min(1.0)
}

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
