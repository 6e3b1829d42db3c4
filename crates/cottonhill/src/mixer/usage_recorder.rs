//! Translation of the mixer's usage records into entries of the usage log.

use cottonhill_ledger::wire::entry::What;
use cottonhill_ledger::wire::{Outcome as WireOutcome, Record};
use cottonhill_ledger::writer::{self, Writer};
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::transport::Recorder;
use std::time::Duration;
use tokio::sync::watch;

const NANOS_PER_MS: u64 = 1_000_000;

/// Queues usage records and watermarks for the writer of the usage log.
pub struct UsageLogRecorder(pub Writer);

/// The outcome in the log, and the coverage of a partial answer in millionths (0 for other outcomes).
fn wire_outcome(outcome: QueryOutcome) -> (WireOutcome, u32) {
    match outcome {
        QueryOutcome::Complete => (WireOutcome::Whole, 0),
        QueryOutcome::Partial(coverage) => (WireOutcome::Partial, coverage),
        QueryOutcome::Rejected => (WireOutcome::Refused, 0),
        QueryOutcome::Failed => (WireOutcome::Failed, 0),
        QueryOutcome::ClientDisconnected => (WireOutcome::Left, 0),
    }
}

fn wire_record(usage: &UsageRecord) -> Record {
    let (outcome, coverage) = wire_outcome(usage.outcome);
    Record {
        sequence: usage.sequence,
        tenant: usage.tenant,
        class: u32::from(usage.class),
        arrived_ms: usage.arrived_at / NANOS_PER_MS,
        outcome: outcome.into(),
        share: coverage,
        parts: usage.parts,
        attempts: usage.attempts,
        crossed: usage.cross_zone_attempts,
        repeat: usage.client_retry,
        key: usage.key,
        keyed: usage.key_from_client,
    }
}

impl Recorder for UsageLogRecorder {
    fn record(&mut self, usage: UsageRecord) -> bool {
        let accepted = self.0.try_enqueue(What::Record(wire_record(&usage)));
        if !accepted {
            self.0.count_lost_record();
        }
        accepted
    }

    /// A watermark that does not fit in the queue is dropped: the next one supersedes it.
    fn record_watermark(&mut self, watermark: Watermark) {
        let complete_until_ms = watermark.complete_until / NANOS_PER_MS;
        let entry = writer::watermark_entry(watermark.sequence, complete_until_ms, watermark.last);
        self.0.try_enqueue(entry);
    }

    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.0.written_sequence()
    }

    fn max_write_delay(&self) -> Duration {
        self.0.max_write_delay()
    }

    fn count_unrecorded_reply(&mut self) {
        self.0.count_unrecorded_reply();
    }

    fn close(&mut self) {
        self.0.close();
    }
}
