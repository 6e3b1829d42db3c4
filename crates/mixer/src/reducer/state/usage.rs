//! The ledger's hook: a record for each query that ends, and marks that say up to when the records are complete.

use super::{Part, Query, Reducer};
use crate::protocol::query_json::{QueryRequest, Reply};
use crate::reducer::timers::Timer;
use crate::reducer::usage::{self, DeduplicationKey, QueryOutcome, UsageRecord, Watermark};
use crate::reducer::Effect;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::BTreeSet;

#[derive(Debug)]
pub(super) struct Recording {
    every: Nanos,
    sequence: u64,
    /// What marks have said to be complete.
    complete: Nanos,
    /// When the open queries arrived.
    open: BTreeSet<(Nanos, RequestId)>,
}

/// How a reply counts.
pub(super) fn outcome(reply: &Reply) -> QueryOutcome {
    match reply {
        Reply::Answer { complete: true, .. } => QueryOutcome::Complete,
        Reply::Answer { .. } => QueryOutcome::Partial(0),
        Reply::Rejected { .. } => QueryOutcome::Rejected,
        _ => QueryOutcome::Failed,
    }
}

impl Reducer {
    /// Records use from now on, with a mark each `every`.
    pub fn record_usage(&mut self, every: Nanos) {
        self.recording = Some(Recording {
            every,
            sequence: 0,
            complete: 0,
            open: BTreeSet::new(),
        });
        self.timers.set(0, Timer::WatermarkDue);
    }

    /// Joins the tries of one use: what the client says, else what it asks.
    pub(super) fn join_key(&self, asked: &QueryRequest) -> DeduplicationKey {
        if self.recording.is_none() {
            return 0;
        }
        let class = self
            .site
            .classes
            .get(usize::from(asked.class))
            .map_or("", String::as_str);
        match &asked.idempotency_key {
            Some(key) => usage::key_of_client(class, key),
            None => usage::key_of_query(
                class,
                asked.parts.iter().map(|p| (p.shard, p.weight)),
                &asked.text,
            ),
        }
    }

    /// When a query counts as arrived: not before what is said to be complete, be it by the time that it waited
    /// for its turn here.
    pub(super) fn note_open(&mut self, id: RequestId, arrived: Nanos) -> Nanos {
        let Some(recording) = &mut self.recording else {
            return arrived;
        };
        let arrived = arrived.max(recording.complete);
        recording.open.insert((arrived, id));
        arrived
    }

    pub(super) fn note_over(&mut self, id: RequestId, arrived: Nanos) {
        if let Some(recording) = &mut self.recording {
            recording.open.remove(&(arrived, id));
        }
    }

    fn push(&mut self, mut usage: UsageRecord) {
        let Some(recording) = &mut self.recording else {
            return;
        };
        recording.sequence += 1;
        usage.sequence = recording.sequence;
        self.counters.recorded += 1;
        // Where the platform names no tenants, all use is one's.
        let tenant = self
            .site
            .tenants
            .get(usage.tenant as usize)
            .map_or("all", String::as_str);
        let class = self
            .site
            .classes
            .get(usize::from(usage.class))
            .map_or("", String::as_str);
        *self
            .counters
            .recorded_of
            .entry(format!("{tenant} {class}"))
            .or_default() += 1;
        self.effects.push(Effect::RecordUsage(usage));
    }

    /// Records a query that has ended.
    pub(super) fn record(&mut self, query: &Query, parts: &[Part], outcome: QueryOutcome) {
        if self.recording.is_none() {
            return;
        }
        let outcome = match outcome {
            QueryOutcome::Partial(_) => {
                let all: f64 = parts.iter().map(|part| part.weight).sum();
                let landed: f64 = parts
                    .iter()
                    .filter(|p| p.value.is_some())
                    .map(|p| p.weight)
                    .sum();
                QueryOutcome::Partial(
                    (landed / all.max(f64::MIN_POSITIVE) * 1e6)
                        .round()
                        .clamp(0.0, 1e6) as u32,
                )
            }
            other => other,
        };
        let count = |of: fn(&Part) -> u8| parts.iter().map(|part| u32::from(of(part))).sum();
        self.push(UsageRecord {
            sequence: 0,
            tenant: query.tenant,
            class: query.class as u16,
            arrived: query.arrived,
            outcome,
            parts: parts.len() as u32,
            attempts: count(|part| part.attempts),
            cross_zone_attempts: count(|part| part.crossed),
            client_retry: query.repeat,
            key: query.key,
            key_from_client: usage::is_client_key(query.key),
        });
    }

    /// Records a query that was refused before any decision.
    pub(super) fn turned_away(&mut self, arrived: Nanos, asked: &QueryRequest) {
        let Some(recording) = &self.recording else {
            return;
        };
        let arrived = arrived.max(recording.complete);
        let key = self.join_key(asked);
        self.push(UsageRecord {
            sequence: 0,
            tenant: asked.tenant,
            class: asked.class,
            arrived,
            outcome: QueryOutcome::Rejected,
            parts: asked.parts.len() as u32,
            attempts: 0,
            cross_zone_attempts: 0,
            client_retry: asked.client_retry,
            key,
            key_from_client: usage::is_client_key(key),
        });
    }

    /// Says up to when the records are complete: the arrival of the oldest open query, else now.
    pub(super) fn mark(&mut self, now: Nanos) {
        let Some(recording) = self
            .recording
            .as_mut()
            .filter(|_| !self.lifecycle.has_exited())
        else {
            return;
        };
        let oldest = recording.open.first().map_or(now, |(arrived, _)| *arrived);
        recording.complete = recording.complete.max(oldest);
        let mark = Watermark {
            sequence: recording.sequence,
            complete_until: recording.complete,
            last: false,
        };
        self.timers.set(now + recording.every, Timer::WatermarkDue);
        self.effects.push(Effect::RecordWatermark(mark));
    }

    /// The last mark.
    pub(super) fn mark_end(&mut self) {
        let Some(recording) = &self.recording else {
            return;
        };
        let mark = Watermark {
            sequence: recording.sequence,
            complete_until: recording.complete,
            last: true,
        };
        self.effects.push(Effect::RecordWatermark(mark));
    }
}
