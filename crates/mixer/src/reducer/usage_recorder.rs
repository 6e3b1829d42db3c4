//! Usage recording: one record for each query that ends, and watermarks that state the time up to which the records are
//! complete.

use super::queries::EndedQuery;
use super::timers::Timer;
use super::usage::{self, DeduplicationKey, QueryOutcome, UsageRecord, Watermark};
use super::{Effect, Reducer};
use crate::protocol::query_json::QueryRequest;
use cottonhill_decisions::{Nanos, RequestId};
use std::collections::BTreeSet;

/// The tenant's name in the counters if the settings name no tenants.
const UNNAMED_TENANT: &str = "all";

/// The state of usage recording, with the open queries.
#[derive(Debug)]
pub(super) struct UsageRecorder {
    watermark_interval: Nanos,
    /// The sequence number of the last record.
    last_sequence: u64,
    /// The time up to which watermarks have declared the records complete.
    complete_until: Nanos,
    /// The open queries in order of arrival.
    open_queries: BTreeSet<(Nanos, RequestId)>,
}

impl UsageRecorder {
    fn new(watermark_interval: Nanos) -> UsageRecorder {
        UsageRecorder {
            watermark_interval,
            last_sequence: 0,
            complete_until: 0,
            open_queries: BTreeSet::new(),
        }
    }

    /// The arrival time of a request: not before the last watermark, even if it was received earlier.
    fn arrival_time(&self, received_at: Nanos) -> Nanos {
        received_at.max(self.complete_until)
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Declares the records complete up to the arrival of the oldest open query, or up to `now` if none is open.
    fn advance_watermark(&mut self, now: Nanos) -> Watermark {
        let oldest_open = self.open_queries.first();
        let complete_until = oldest_open.map_or(now, |(arrived_at, _)| *arrived_at);
        self.complete_until = self.complete_until.max(complete_until);
        self.watermark(false)
    }

    fn watermark(&self, last: bool) -> Watermark {
        Watermark {
            sequence: self.last_sequence,
            complete_until: self.complete_until,
            last,
        }
    }
}

impl Reducer {
    /// Enables usage recording, with a watermark every `watermark_interval` nanoseconds.
    pub fn enable_usage_recording(&mut self, watermark_interval: Nanos) {
        self.usage = Some(UsageRecorder::new(watermark_interval));
        self.timers.set(0, Timer::WatermarkDue);
    }

    /// The deduplication key of a request, derived from the client's idempotency key or else from the content of the
    /// query. 0 if usage recording is off.
    pub(super) fn deduplication_key(&self, request: &QueryRequest) -> DeduplicationKey {
        if self.usage.is_none() {
            return 0;
        }
        let class = self.class_name(request.class);
        if let Some(key) = &request.idempotency_key {
            return usage::key_from_idempotency_key(class, key);
        }
        let parts = request.parts.iter().map(|part| (part.shard, part.weight));
        usage::key_from_content(class, parts, &request.text)
    }

    fn class_name(&self, class: u16) -> &str {
        let name = self.settings.classes.get(usize::from(class));
        name.map_or("", String::as_str)
    }

    fn tenant_name(&self, tenant: u32) -> &str {
        let name = self.settings.tenants.get(tenant as usize);
        name.map_or(UNNAMED_TENANT, String::as_str)
    }

    /// Notes that a query is open. Returns its arrival time.
    pub(super) fn record_query_opened(&mut self, id: RequestId, received_at: Nanos) -> Nanos {
        let Some(recorder) = &mut self.usage else {
            return received_at;
        };
        let arrived_at = recorder.arrival_time(received_at);
        recorder.open_queries.insert((arrived_at, id));
        arrived_at
    }

    /// Notes that a query is no longer open.
    pub(super) fn record_query_ended(&mut self, id: RequestId, arrived_at: Nanos) {
        if let Some(recorder) = &mut self.usage {
            recorder.open_queries.remove(&(arrived_at, id));
        }
    }

    /// Records a query that has ended.
    pub(super) fn record_query(&mut self, ended: &EndedQuery, outcome: QueryOutcome) {
        let EndedQuery { query, parts } = ended;
        let attempts = parts.iter().map(|part| u32::from(part.attempts));
        let cross_zone_attempts = parts.iter().map(|part| u32::from(part.cross_zone_attempts));
        self.push_usage_record(UsageRecord {
            sequence: 0,
            tenant: query.tenant,
            class: query.class as u16,
            arrived_at: query.arrived_at,
            outcome,
            parts: parts.len() as u32,
            attempts: attempts.sum(),
            cross_zone_attempts: cross_zone_attempts.sum(),
            client_retry: query.client_retry,
            key: query.deduplication_key,
            key_from_client: usage::is_client_key(query.deduplication_key),
        });
    }

    /// Records a query that was rejected without being passed to the coordinator.
    pub(super) fn record_rejected_request(&mut self, received_at: Nanos, request: &QueryRequest) {
        let Some(recorder) = &self.usage else {
            return;
        };
        let arrived_at = recorder.arrival_time(received_at);
        let key = self.deduplication_key(request);
        self.push_usage_record(UsageRecord {
            sequence: 0,
            tenant: request.tenant,
            class: request.class,
            arrived_at,
            outcome: QueryOutcome::Rejected,
            parts: request.parts.len() as u32,
            attempts: 0,
            cross_zone_attempts: 0,
            client_retry: request.client_retry,
            key,
            key_from_client: usage::is_client_key(key),
        });
    }

    /// Sets the sequence number of a record and emits the record; does nothing if usage recording is off.
    fn push_usage_record(&mut self, mut record: UsageRecord) {
        let Some(recorder) = &mut self.usage else {
            return;
        };
        record.sequence = recorder.next_sequence();
        let tenant = self.tenant_name(record.tenant);
        let class = self.class_name(record.class);
        let tenant_and_class = format!("{tenant} {class}");
        self.counters.usage_records += 1;
        *self
            .counters
            .usage_records_by_class
            .entry(tenant_and_class)
            .or_default() += 1;
        self.effects.push(Effect::RecordUsage(record));
    }

    /// Records a watermark and sets the timer for the next.
    pub(super) fn record_watermark(&mut self, now: Nanos) {
        if self.lifecycle.has_exited() {
            return;
        }
        let Some(recorder) = &mut self.usage else {
            return;
        };
        let watermark = recorder.advance_watermark(now);
        self.timers
            .set(now + recorder.watermark_interval, Timer::WatermarkDue);
        self.effects.push(Effect::RecordWatermark(watermark));
    }

    /// Records the last watermark, after which no record follows.
    pub(super) fn record_last_watermark(&mut self) {
        if let Some(recorder) = &self.usage {
            let watermark = recorder.watermark(true);
            self.effects.push(Effect::RecordWatermark(watermark));
        }
    }
}
