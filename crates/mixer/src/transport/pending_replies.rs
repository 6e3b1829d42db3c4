//! Replies that are held until their usage record is written, or until the usage log has delayed them for too long.

use crate::protocol::query_json::Reply;
use crate::reducer::usage::{UsageRecord, Watermark};
use crate::reducer::ClientId;
use std::collections::VecDeque;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Writes usage records. No method may block: they are called on the mixer's one thread.
pub trait Recorder {
    /// Queues a record. False if there was no room: the record is lost.
    fn record(&mut self, usage: UsageRecord) -> bool;
    /// Queues a watermark.
    fn record_watermark(&mut self, watermark: Watermark);
    /// The sequence number up to which records are written, that is, with the operating system.
    fn written_sequence(&self) -> watch::Receiver<u64>;
    /// The longest that a reply is held for its record.
    fn max_write_delay(&self) -> Duration;
    /// Counts a reply that was sent before its record was written.
    fn count_unrecorded_reply(&mut self);
    /// Writes what is queued, for a bounded time.
    fn close(&mut self);
}

/// A reply on its way to a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReply {
    /// The client's connection.
    pub client: ClientId,
    /// The reply.
    pub reply: Reply,
    /// Closes the connection after it.
    pub close: bool,
}

/// A reply whose record has been queued and is not known to be written.
struct PendingReply {
    /// The record's sequence number.
    sequence: u64,
    /// When the reply is sent without its record.
    deadline: Instant,
    reply: ClientReply,
}

/// The recorder, and the replies that are held for it in the order of their records.
pub struct PendingReplies {
    recorder: Box<dyn Recorder>,
    written_sequence: watch::Receiver<u64>,
    max_write_delay: Duration,
    queue: VecDeque<PendingReply>,
    /// The record that belongs to the next reply.
    last_record: Option<u64>,
    /// `written_sequence` when a reply was last sent without its record. Until it moves, no reply is held.
    stalled_at: Option<u64>,
}

impl PendingReplies {
    /// An empty queue in front of this recorder.
    pub fn new(recorder: Box<dyn Recorder>) -> PendingReplies {
        PendingReplies {
            written_sequence: recorder.written_sequence(),
            max_write_delay: recorder.max_write_delay(),
            recorder,
            queue: VecDeque::new(),
            last_record: None,
            stalled_at: None,
        }
    }

    /// Passes the record of a query to the recorder; the next reply is that query's.
    pub fn record(&mut self, usage: UsageRecord) {
        let sequence = usage.sequence;
        self.last_record = self.recorder.record(usage).then_some(sequence);
    }

    /// Passes a watermark to the recorder.
    pub fn record_watermark(&mut self, watermark: Watermark) {
        self.recorder.record_watermark(watermark);
    }

    /// Holds a reply until its record is written; returns it if it can be sent at once.
    pub fn enqueue(&mut self, reply: ClientReply) -> Option<ClientReply> {
        let written = *self.written_sequence.borrow();
        let Some(sequence) = self.last_record.take() else {
            return Some(reply);
        };
        if written >= sequence {
            return Some(reply);
        }
        if self.stalled_at == Some(written) {
            self.recorder.count_unrecorded_reply();
            return Some(reply);
        }
        self.queue.push_back(PendingReply {
            sequence,
            deadline: Instant::now() + self.max_write_delay,
            reply,
        });
        None
    }

    /// Closes a client's connection with its reply, if that is still held.
    pub fn close_client(&mut self, client: ClientId) {
        for pending in &mut self.queue {
            if pending.reply.client == client {
                pending.reply.close = true;
            }
        }
    }

    /// When the first held reply is sent even without its record.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.front().map(|pending| pending.deadline)
    }

    /// Returns once more records are written; never while no reply is held.
    pub async fn wait_for_records(&mut self) {
        if self.queue.is_empty() {
            return std::future::pending().await;
        }
        if self.written_sequence.changed().await.is_err() {
            // The writer has ended: there is nothing to wait for.
            let now = Instant::now();
            for pending in &mut self.queue {
                pending.deadline = now;
            }
        }
    }

    /// The next reply that can be sent: its record is written, or its deadline has passed.
    pub fn pop_ready(&mut self) -> Option<ClientReply> {
        let first = self.queue.front()?;
        let written = *self.written_sequence.borrow();
        if written < first.sequence {
            if Instant::now() < first.deadline {
                return None;
            }
            self.stalled_at = Some(written);
            self.recorder.count_unrecorded_reply();
        }
        self.queue.pop_front().map(|pending| pending.reply)
    }

    /// Closes the recorder, then returns every reply that is still held.
    pub fn close(&mut self) -> Vec<ClientReply> {
        self.recorder.close();
        self.queue.drain(..).map(|pending| pending.reply).collect()
    }
}
