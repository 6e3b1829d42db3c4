//! Replies that are delayed until their usage record is written, up to a maximum delay.

use crate::protocol::query_json::Reply;
use crate::reducer::usage::{UsageRecord, Watermark};
use crate::reducer::ClientId;
use std::collections::VecDeque;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Writes usage records. No method may block, since the mixer has a single thread.
pub trait Recorder {
    /// Queues a record. Returns false if the queue is full; the record is lost then.
    fn record(&mut self, usage: UsageRecord) -> bool;
    /// Queues a watermark.
    fn record_watermark(&mut self, watermark: Watermark);
    /// The sequence number up to which records have been written to the operating system or, after a failed write,
    /// dropped.
    fn written_sequence(&self) -> watch::Receiver<u64>;
    /// Maximum time that a reply waits for its record to be written.
    fn max_write_delay(&self) -> Duration;
    /// Counts a reply that is sent before its record is written.
    fn count_unrecorded_reply(&mut self);
    /// Writes the queued records, for a limited time.
    fn close(&mut self);
}

/// A reply to be sent on a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReply {
    /// The client's connection.
    pub client: ClientId,
    /// The reply.
    pub reply: Reply,
    /// Whether to close the connection after the reply.
    pub close: bool,
}

/// A reply whose record is queued but not yet reported as written.
struct PendingReply {
    /// Sequence number of the record.
    sequence: u64,
    /// The reply is sent at this time even if its record is not written.
    deadline: Instant,
    reply: ClientReply,
}

/// The recorder and the replies that wait for it, in the order of their records.
pub struct PendingReplies {
    recorder: Box<dyn Recorder>,
    written_sequence: watch::Receiver<u64>,
    max_write_delay: Duration,
    queue: VecDeque<PendingReply>,
    /// Sequence number of the record of the next reply, if it was queued.
    next_reply_sequence: Option<u64>,
    /// Value of `written_sequence` when a reply was last sent before its record was written. While `written_sequence`
    /// has this value, further replies are sent without delay.
    stalled_sequence: Option<u64>,
}

impl PendingReplies {
    /// Creates an empty queue of replies for a recorder.
    pub fn new(recorder: Box<dyn Recorder>) -> PendingReplies {
        PendingReplies {
            written_sequence: recorder.written_sequence(),
            max_write_delay: recorder.max_write_delay(),
            recorder,
            queue: VecDeque::new(),
            next_reply_sequence: None,
            stalled_sequence: None,
        }
    }

    /// Passes the record of a query to the recorder. The next enqueued reply must be the reply to this query.
    pub fn record(&mut self, usage: UsageRecord) {
        let sequence = usage.sequence;
        self.next_reply_sequence = self.recorder.record(usage).then_some(sequence);
    }

    /// Passes a watermark to the recorder.
    pub fn record_watermark(&mut self, watermark: Watermark) {
        self.recorder.record_watermark(watermark);
    }

    /// Delays a reply until its record is written. Returns the reply if it can be sent immediately.
    pub fn enqueue(&mut self, reply: ClientReply) -> Option<ClientReply> {
        let written = *self.written_sequence.borrow();
        let Some(sequence) = self.next_reply_sequence.take() else {
            return Some(reply);
        };
        if written >= sequence {
            return Some(reply);
        }
        if self.stalled_sequence == Some(written) {
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

    /// Marks the pending replies of a client so that its connection is closed after them.
    pub fn close_client(&mut self, client: ClientId) {
        for pending in &mut self.queue {
            if pending.reply.client == client {
                pending.reply.close = true;
            }
        }
    }

    /// Returns the deadline of the first pending reply.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.front().map(|pending| pending.deadline)
    }

    /// Waits until more records are written. Never returns while no reply is pending.
    pub async fn wait_for_records(&mut self) {
        if self.queue.is_empty() {
            return std::future::pending().await;
        }
        if self.written_sequence.changed().await.is_err() {
            // The writer has ended, so no further records will be written.
            let now = Instant::now();
            for pending in &mut self.queue {
                pending.deadline = now;
            }
        }
    }

    /// Removes and returns the first pending reply if its record is written or its deadline has passed.
    pub fn pop_ready(&mut self) -> Option<ClientReply> {
        let first = self.queue.front()?;
        let written = *self.written_sequence.borrow();
        if written < first.sequence {
            if Instant::now() < first.deadline {
                return None;
            }
            self.stalled_sequence = Some(written);
            self.recorder.count_unrecorded_reply();
        }
        self.queue.pop_front().map(|pending| pending.reply)
    }

    /// Closes the recorder. No reply should be pending any more.
    pub fn close_recorder(&mut self) {
        self.recorder.close();
    }
}
