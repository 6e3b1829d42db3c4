//! The mixer's records on their way into the usage log.

use cottonhill_ledger::wire::entry::What;
use cottonhill_ledger::wire::{Outcome as WireOutcome, Record};
use cottonhill_ledger::writer::{self, Writer};
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::transport::Recorder;
use std::time::Duration;
use tokio::sync::watch;

const MS: u64 = 1_000_000;

pub struct UsageLogRecorder(pub Writer);

impl Recorder for UsageLogRecorder {
    fn record(&mut self, usage: UsageRecord) -> bool {
        let (outcome, share) = match usage.outcome {
            QueryOutcome::Complete => (WireOutcome::Whole, 0),
            QueryOutcome::Partial(share) => (WireOutcome::Partial, share),
            QueryOutcome::Rejected => (WireOutcome::Refused, 0),
            QueryOutcome::Failed => (WireOutcome::Failed, 0),
            QueryOutcome::ClientDisconnected => (WireOutcome::Left, 0),
        };
        let taken = self.0.offer(What::Record(Record {
            sequence: usage.sequence,
            tenant: usage.tenant,
            class: u32::from(usage.class),
            arrived_ms: usage.arrived / MS,
            outcome: outcome.into(),
            share,
            parts: usage.parts,
            attempts: usage.attempts,
            crossed: usage.cross_zone_attempts,
            repeat: usage.client_retry,
            key: usage.key,
            keyed: usage.key_from_client,
        }));
        if !taken {
            self.0.note_lost();
        }
        taken
    }

    /// A mark that is lost is made good by the next one.
    fn record_watermark(&mut self, mark: Watermark) {
        self.0.offer(writer::mark(
            mark.sequence,
            mark.complete_until / MS,
            mark.last,
        ));
    }

    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.0.watch()
    }

    fn max_write_delay(&self) -> Duration {
        self.0.stall_bound()
    }

    fn count_unrecorded_reply(&mut self) {
        self.0.note_late();
    }

    fn close(&mut self) {
        self.0.finish();
    }
}
