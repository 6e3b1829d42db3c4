//! Replies that wait for their usage records: a record is written before its reply leaves, unless the log stalls.

use crate::protocol::query_json::Reply;
use crate::reducer::usage::{UsageRecord, Watermark};
use crate::reducer::ClientId;
use std::collections::VecDeque;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Where usage records go. No method may block: they are called on the mixer's one thread.
pub trait Recorder {
    /// Hands a record on; false if there was no room and it is lost.
    fn record(&mut self, usage: UsageRecord) -> bool;
    /// Hands a mark on.
    fn mark(&mut self, mark: Watermark);
    /// The sequence number up to which records are with the operating system.
    fn written(&self) -> watch::Receiver<u64>;
    /// The longest time that a reply waits for its record.
    fn stall(&self) -> Duration;
    /// Counts a reply that left before its record was written.
    fn note_unrecorded(&mut self);
    /// Writes what is still waiting, for a bounded time.
    fn close(&mut self);
}

/// A reply on its way to a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReply {
    /// The client whose connection it leaves on.
    pub client: ClientId,
    /// What the client is answered.
    pub reply: Reply,
    /// Whether the connection ends with it.
    pub close: bool,
}

/// A reply whose record has been handed on and is not known to be written.
struct PendingReply {
    sequence: u64,
    /// When it leaves without its record.
    deadline: Instant,
    reply: ClientReply,
}

/// The recorder and the replies that wait for it, in the order of their records.
pub struct PendingReplies {
    recorder: Box<dyn Recorder>,
    written: watch::Receiver<u64>,
    stall: Duration,
    queue: VecDeque<PendingReply>,
    /// The record whose reply comes next.
    last_record: Option<u64>,
    /// How far the log was when a reply last left without its record: until it moves, none waits.
    stalled_at: Option<u64>,
}

impl PendingReplies {
    /// An empty queue in front of this recorder.
    pub fn new(recorder: Box<dyn Recorder>) -> PendingReplies {
        let (written, stall) = (recorder.written(), recorder.stall());
        PendingReplies {
            recorder,
            written,
            stall,
            queue: VecDeque::new(),
            last_record: None,
            stalled_at: None,
        }
    }

    /// Hands the record of a query on; the next reply is that query's.
    pub fn record(&mut self, usage: UsageRecord) {
        let sequence = usage.sequence;
        self.last_record = self.recorder.record(usage).then_some(sequence);
    }

    /// Hands a mark on.
    pub fn mark(&mut self, mark: Watermark) {
        self.recorder.mark(mark);
    }

    /// Queues a reply until its record is written; returns it if there is nothing to wait for.
    pub fn enqueue(&mut self, reply: ClientReply) -> Option<ClientReply> {
        let written = *self.written.borrow();
        match self.last_record.take() {
            Some(sequence) if written < sequence && self.stalled_at == Some(written) => {
                self.recorder.note_unrecorded();
                Some(reply)
            }
            Some(sequence) if written < sequence => {
                let deadline = Instant::now() + self.stall;
                self.queue.push_back(PendingReply {
                    sequence,
                    deadline,
                    reply,
                });
                None
            }
            _ => Some(reply),
        }
    }

    /// Has a client's connection end with its reply, if that is still queued.
    pub fn close_client(&mut self, client: ClientId) {
        for pending in self
            .queue
            .iter_mut()
            .filter(|pending| pending.reply.client == client)
        {
            pending.reply.close = true;
        }
    }

    /// When the first queued reply leaves even without its record.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.front().map(|pending| pending.deadline)
    }

    /// Returns once records were written that replies wait for; never while none is queued.
    pub async fn progress(&mut self) {
        if self.queue.is_empty() {
            return std::future::pending().await;
        }
        if self.written.changed().await.is_err() {
            // The writer is gone: there is nothing to wait for.
            self.queue
                .iter_mut()
                .for_each(|pending| pending.deadline = Instant::now());
        }
    }

    /// The next reply that may leave: its record is written, or its deadline has passed.
    pub fn pop_ready(&mut self) -> Option<ClientReply> {
        let first = self.queue.front()?;
        let recorded = *self.written.borrow() >= first.sequence;
        if !recorded && Instant::now() < first.deadline {
            return None;
        }
        if !recorded {
            self.stalled_at = Some(*self.written.borrow());
            self.recorder.note_unrecorded();
        }
        self.queue.pop_front().map(|pending| pending.reply)
    }

    /// Writes what waits, then returns every queued reply.
    pub fn close(&mut self) -> Vec<ClientReply> {
        self.recorder.close();
        self.queue.drain(..).map(|pending| pending.reply).collect()
    }
}
