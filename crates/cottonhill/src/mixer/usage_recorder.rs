//! The mixer's usage records on their way into the usage log.

use cottonhill_ledger::wire::entry::What;
use cottonhill_ledger::wire::{Outcome as WireOutcome, Record};
use cottonhill_ledger::writer::{self, Writer};
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::transport::Recorder;
use std::time::Duration;
use tokio::sync::watch;

const NANOS_PER_MS: u64 = 1_000_000;

/// Hands usage records and watermarks to the writer of the usage log.
pub struct UsageLogRecorder(pub Writer);

/// An outcome as the log states it, with the share of a partial answer in millionths.
fn wire_outcome(outcome: QueryOutcome) -> (WireOutcome, u32) {
    match outcome {
        QueryOutcome::Complete => (WireOutcome::Whole, 0),
        QueryOutcome::Partial(share) => (WireOutcome::Partial, share),
        QueryOutcome::Rejected => (WireOutcome::Refused, 0),
        QueryOutcome::Failed => (WireOutcome::Failed, 0),
        QueryOutcome::ClientDisconnected => (WireOutcome::Left, 0),
    }
}

fn wire_record(usage: &UsageRecord) -> Record {
    let (outcome, share) = wire_outcome(usage.outcome);
    Record {
        sequence: usage.sequence,
        tenant: usage.tenant,
        class: u32::from(usage.class),
        arrived_ms: usage.arrived_at / NANOS_PER_MS,
        outcome: outcome.into(),
        share,
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

    /// A watermark that is lost is superseded by the next one.
    fn record_watermark(&mut self, watermark: Watermark) {
        let complete_until_ms = watermark.complete_until / NANOS_PER_MS;
        let mark = writer::watermark_entry(watermark.sequence, complete_until_ms, watermark.last);
        self.0.try_enqueue(mark);
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
