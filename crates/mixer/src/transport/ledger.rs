//! Replies that wait for their record of use: what a client is told is in the log first, unless the log stalls.

use crate::protocol::query::Reply;
use crate::routing::usage::{Mark, Usage};
use crate::routing::ClientId;
use std::collections::VecDeque;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Where records of use go. None of this may block: it is called between the sockets' turns.
pub trait Recorder {
    /// Hands a record on; false if there was no room and it is lost.
    fn record(&mut self, usage: Usage) -> bool;
    fn mark(&mut self, mark: Mark);
    /// The sequence up to which records are with the operating system.
    fn written(&self) -> watch::Receiver<u64>;
    /// How long a reply waits for its record at the most.
    fn stall(&self) -> Duration;
    /// A reply has left before its record was written.
    fn left_without(&mut self);
    /// Writes what is still waiting, for a bounded time.
    fn close(&mut self);
}

struct Held {
    sequence: u64,
    until: Instant,
    reply: (ClientId, Reply, bool),
}

/// The recorder and the replies that wait for it, in the order of their records.
pub struct Ledger {
    recorder: Box<dyn Recorder>,
    written: watch::Receiver<u64>,
    stall: Duration,
    held: VecDeque<Held>,
    /// The record whose reply comes next.
    next: Option<u64>,
    /// How far the log was when a reply last left without its record: until it moves, none waits.
    stalled: Option<u64>,
}

impl Ledger {
    /// A queue without replies, in front of this recorder.
    pub fn new(recorder: Box<dyn Recorder>) -> Ledger {
        let (written, stall) = (recorder.written(), recorder.stall());
        Ledger { recorder, written, stall, held: VecDeque::new(), next: None, stalled: None }
    }

    /// Hands the record of a query on; its reply is the next one.
    pub fn record(&mut self, usage: Usage) {
        let sequence = usage.sequence;
        self.next = self.recorder.record(usage).then_some(sequence);
    }

    /// Hands a mark on.
    pub fn mark(&mut self, mark: Mark) {
        self.recorder.mark(mark);
    }

    /// Holds a reply until its record is written; gives it back if there is nothing to wait for.
    pub fn hold(&mut self, client: ClientId, reply: Reply, close: bool) -> Option<(ClientId, Reply, bool)> {
        let reply = (client, reply, close);
        let written = *self.written.borrow();
        match self.next.take() {
            Some(sequence) if written < sequence && self.stalled == Some(written) => {
                self.recorder.left_without();
                Some(reply)
            }
            Some(sequence) if written < sequence => {
                self.held.push_back(Held { sequence, until: Instant::now() + self.stall, reply });
                None
            }
            _ => Some(reply),
        }
    }

    /// A connection is to close: with its reply, if that is still held.
    pub fn close_client(&mut self, client: ClientId) {
        for held in self.held.iter_mut().filter(|held| held.reply.0 == client) {
            held.reply.2 = true;
        }
    }

    /// When the first reply held has waited for long enough.
    pub fn until(&self) -> Option<Instant> {
        self.held.front().map(|held| held.until)
    }

    /// Returns once records were written that replies wait for; never while none is held.
    pub async fn progress(&mut self) {
        if self.held.is_empty() {
            return std::future::pending().await;
        }
        if self.written.changed().await.is_err() {
            // The writer is gone: there is nothing to wait for.
            self.held.iter_mut().for_each(|held| held.until = Instant::now());
        }
    }

    /// The next reply that may go.
    pub fn release(&mut self) -> Option<(ClientId, Reply, bool)> {
        let front = self.held.front()?;
        let written = *self.written.borrow() >= front.sequence;
        if !written && Instant::now() < front.until {
            return None;
        }
        if !written {
            self.stalled = Some(*self.written.borrow());
            self.recorder.left_without();
        }
        self.held.pop_front().map(|held| held.reply)
    }

    /// Writes what waits, then gives back every reply.
    pub fn close(&mut self) -> Vec<(ClientId, Reply, bool)> {
        self.recorder.close();
        self.held.drain(..).map(|held| held.reply).collect()
    }
}
