//! Replies that wait for their record of use, with a log whose writer moves only when the test says so.

use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::transport::{ClientReply, PendingReplies, Recorder};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// A log whose writer moves only when the test says so.
struct Slow {
    room: bool,
    written: watch::Sender<u64>,
    without: Rc<Cell<u32>>,
}

impl Recorder for Slow {
    fn record(&mut self, _: UsageRecord) -> bool {
        self.room
    }
    fn record_watermark(&mut self, _: Watermark) {}
    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_write_delay(&self) -> Duration {
        Duration::from_millis(5)
    }
    fn count_unrecorded_reply(&mut self) {
        self.without.set(self.without.get() + 1);
    }
    fn close(&mut self) {}
}

fn usage(sequence: u64) -> UsageRecord {
    let outcome = QueryOutcome::Complete;
    let (tenant, class, arrived, parts, attempts, cross_zone_attempts) = (0, 0, 0, 1, 1, 0);
    UsageRecord {
        sequence,
        tenant,
        class,
        arrived,
        outcome,
        parts,
        attempts,
        cross_zone_attempts,
        client_retry: false,
        key: 2,
        key_from_client: false,
    }
}

fn reply(client: u64, reply: Reply) -> ClientReply {
    ClientReply {
        client,
        reply,
        close: false,
    }
}

#[tokio::test(start_paused = true)]
async fn replies_wait_for_their_records_in_order_but_no_longer_than_a_stall() {
    let without = Rc::<Cell<u32>>::default();
    let (written, _keep) = watch::channel(0);
    let slow = Slow {
        room: true,
        written: written.clone(),
        without: without.clone(),
    };
    let mut pending = PendingReplies::new(Box::new(slow));
    for sequence in 1..=3 {
        pending.record(usage(sequence));
        assert!(pending.enqueue(reply(sequence, Reply::Failed)).is_none());
    }
    // What is no query's answer has nothing to wait for.
    assert!(pending.enqueue(reply(9, Reply::Ready(true))).is_some());
    assert!(pending.pop_ready().is_none());
    pending.close_client(2);
    written.send_replace(2);
    pending.wait_for_records().await;
    assert_eq!(
        pending.pop_ready().map(|r| (r.client, r.close)),
        Some((1, false))
    );
    assert_eq!(
        pending.pop_ready().map(|r| (r.client, r.close)),
        Some((2, true))
    );
    assert!(pending.pop_ready().is_none());
    let began = Instant::now();
    tokio::time::sleep_until(pending.next_deadline().unwrap()).await;
    assert_eq!(pending.pop_ready().map(|r| r.client), Some(3));
    assert_eq!(
        (began.elapsed(), without.get()),
        (Duration::from_millis(5), 1)
    );
    // It has stalled: nothing waits until it moves.
    pending.record(usage(4));
    assert!(pending.enqueue(reply(4, Reply::Failed)).is_some());
    assert_eq!(without.get(), 2);
    written.send_replace(4);
    pending.record(usage(5));
    assert!(pending.enqueue(reply(5, Reply::Failed)).is_none());
}

#[tokio::test]
async fn a_reply_whose_record_is_lost_goes_at_once() {
    let (written, _keep) = watch::channel(0);
    let mut pending = PendingReplies::new(Box::new(Slow {
        room: false,
        written,
        without: Default::default(),
    }));
    pending.record(usage(1));
    assert!(pending.enqueue(reply(1, Reply::Failed)).is_some());
}
