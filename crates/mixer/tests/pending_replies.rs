//! Replies that wait until their usage record is written, with a log whose writer the test controls.

use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::usage::{QueryOutcome, UsageRecord, Watermark};
use cottonhill_mixer::reducer::ClientId;
use cottonhill_mixer::transport::{ClientReply, PendingReplies, Recorder};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// How long a reply waits for its record to be written.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(5);

/// A usage log whose records count as written only when the test says so.
struct ManualRecorder {
    accepts_records: bool,
    /// The sequence number of the last written record.
    written: watch::Sender<u64>,
    /// The number of replies that were sent before their record was written.
    unrecorded: Rc<Cell<u32>>,
}

impl Recorder for ManualRecorder {
    fn record(&mut self, _: UsageRecord) -> bool {
        self.accepts_records
    }
    fn record_watermark(&mut self, _: Watermark) {}
    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_write_delay(&self) -> Duration {
        MAX_WRITE_DELAY
    }
    fn count_unrecorded_reply(&mut self) {
        self.unrecorded.set(self.unrecorded.get() + 1);
    }
    fn close(&mut self) {}
}

fn usage_record(sequence: u64) -> UsageRecord {
    UsageRecord {
        sequence,
        tenant: 0,
        class: 0,
        arrived_at: 0,
        outcome: QueryOutcome::Complete,
        parts: 1,
        attempts: 1,
        cross_zone_attempts: 0,
        client_retry: false,
        key: 2,
        key_from_client: false,
    }
}

fn client_reply(client: ClientId, reply: Reply) -> ClientReply {
    ClientReply {
        client,
        reply,
        close: false,
    }
}

/// Records a query and enqueues its reply; returns whether the reply may be sent immediately.
fn record_and_enqueue(pending: &mut PendingReplies, sequence: u64) -> bool {
    pending.record(usage_record(sequence));
    let reply = client_reply(sequence, Reply::Failed);
    pending.enqueue(reply).is_some()
}

/// The client of the next reply that may be sent, and whether its connection is closed after that.
fn pop_ready(pending: &mut PendingReplies) -> Option<(ClientId, bool)> {
    pending.pop_ready().map(|ready| (ready.client, ready.close))
}

#[tokio::test(start_paused = true)]
async fn replies_wait_for_their_records_in_order_up_to_write_delay() {
    let unrecorded = Rc::<Cell<u32>>::default();
    let (written, _keep_open) = watch::channel(0);
    let recorder = ManualRecorder {
        accepts_records: true,
        written: written.clone(),
        unrecorded: unrecorded.clone(),
    };
    let mut pending = PendingReplies::new(Box::new(recorder));
    for sequence in 1..=3 {
        assert!(!record_and_enqueue(&mut pending, sequence));
    }
    // A reply to a request that is not a query does not wait.
    let readiness = client_reply(9, Reply::Ready(true));
    assert!(pending.enqueue(readiness).is_some());
    assert!(pending.pop_ready().is_none());
    pending.close_client(2);
    written.send_replace(2);
    pending.wait_for_records().await;
    assert_eq!(pop_ready(&mut pending), Some((1, false)));
    assert_eq!(pop_ready(&mut pending), Some((2, true)));
    assert!(pending.pop_ready().is_none());
    let started = Instant::now();
    tokio::time::sleep_until(pending.next_deadline().unwrap()).await;
    assert_eq!(pending.pop_ready().map(|ready| ready.client), Some(3));
    assert_eq!((started.elapsed(), unrecorded.get()), (MAX_WRITE_DELAY, 1));
    // The writer has stalled: until it makes progress, no reply waits.
    assert!(record_and_enqueue(&mut pending, 4));
    assert_eq!(unrecorded.get(), 2);
    written.send_replace(4);
    assert!(!record_and_enqueue(&mut pending, 5));
}

#[tokio::test]
async fn reply_without_record_is_sent_at_once() {
    let (written, _keep_open) = watch::channel(0);
    let mut pending = PendingReplies::new(Box::new(ManualRecorder {
        accepts_records: false,
        written,
        unrecorded: Default::default(),
    }));
    assert!(record_and_enqueue(&mut pending, 1));
}
