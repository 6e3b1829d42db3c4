//! The mixer's records on their way into the usage log.

use cottonhill_ledger::wire::entry::What;
use cottonhill_ledger::wire::{Outcome as WireOutcome, Record};
use cottonhill_ledger::writer::{self, Writer};
use cottonhill_mixer::routing::usage::{Mark, Outcome, Usage};
use cottonhill_mixer::transport::Recorder;
use std::time::Duration;
use tokio::sync::watch;

const MS: u64 = 1_000_000;

pub struct UsageLogRecorder(pub Writer);

impl Recorder for UsageLogRecorder {
    fn record(&mut self, usage: Usage) -> bool {
        let (outcome, share) = match usage.outcome {
            Outcome::Whole => (WireOutcome::Whole, 0),
            Outcome::Partial(share) => (WireOutcome::Partial, share),
            Outcome::Refused => (WireOutcome::Refused, 0),
            Outcome::Failed => (WireOutcome::Failed, 0),
            Outcome::Left => (WireOutcome::Left, 0),
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
            crossed: usage.crossed,
            repeat: usage.repeat,
            key: usage.key,
            keyed: usage.keyed,
        }));
        if !taken {
            self.0.note_lost();
        }
        taken
    }

    /// A mark that is lost is made good by the next one.
    fn mark(&mut self, mark: Mark) {
        self.0
            .offer(writer::mark(mark.sequence, mark.complete / MS, mark.end));
    }

    fn written(&self) -> watch::Receiver<u64> {
        self.0.watch()
    }

    fn stall(&self) -> Duration {
        self.0.stall_bound()
    }

    fn note_unrecorded(&mut self) {
        self.0.note_late();
    }

    fn close(&mut self) {
        self.0.finish();
    }
}
