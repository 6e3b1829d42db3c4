//! Replies that wait for their record of use, with a log whose writer moves only when the test says so.

use cottonhill_mixer::protocol::query::Reply;
use cottonhill_mixer::routing::usage::{Mark, Outcome, Usage};
use cottonhill_mixer::transport::{Ledger, Recorder};
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
    fn record(&mut self, _: Usage) -> bool {
        self.room
    }
    fn mark(&mut self, _: Mark) {}
    fn written(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn stall(&self) -> Duration {
        Duration::from_millis(5)
    }
    fn left_without(&mut self) {
        self.without.set(self.without.get() + 1);
    }
    fn close(&mut self) {}
}

fn usage(sequence: u64) -> Usage {
    let outcome = Outcome::Whole;
    let (tenant, class, arrived, parts, attempts, crossed) = (0, 0, 0, 1, 1, 0);
    Usage {
        sequence,
        tenant,
        class,
        arrived,
        outcome,
        parts,
        attempts,
        crossed,
        repeat: false,
        key: 2,
        keyed: false,
    }
}

#[tokio::test(start_paused = true)]
async fn replies_wait_for_their_records_in_order_but_no_longer_than_a_stall() {
    let without = Rc::<Cell<u32>>::default();
    let (written, _keep) = watch::channel(0);
    let slow = Slow { room: true, written: written.clone(), without: without.clone() };
    let mut ledger = Ledger::new(Box::new(slow));
    for sequence in 1..=3 {
        ledger.record(usage(sequence));
        assert!(ledger.hold(sequence, Reply::Failed, false).is_none());
    }
    // What is no query's answer has nothing to wait for.
    assert!(ledger.hold(9, Reply::Ready(true), false).is_some());
    assert!(ledger.release().is_none());
    ledger.close_client(2);
    written.send_replace(2);
    ledger.progress().await;
    assert_eq!(ledger.release().map(|r| (r.0, r.2)), Some((1, false)));
    assert_eq!(ledger.release().map(|r| (r.0, r.2)), Some((2, true)));
    assert!(ledger.release().is_none());
    let began = Instant::now();
    tokio::time::sleep_until(ledger.until().unwrap()).await;
    assert_eq!(ledger.release().map(|r| r.0), Some(3));
    assert_eq!((began.elapsed(), without.get()), (Duration::from_millis(5), 1));
    // It has stalled: nothing waits until it moves.
    ledger.record(usage(4));
    assert!(ledger.hold(4, Reply::Failed, false).is_some());
    assert_eq!(without.get(), 2);
    written.send_replace(4);
    ledger.record(usage(5));
    assert!(ledger.hold(5, Reply::Failed, false).is_none());
}

#[tokio::test]
async fn a_reply_whose_record_is_lost_goes_at_once() {
    let (written, _keep) = watch::channel(0);
    let mut ledger = Ledger::new(Box::new(Slow { room: false, written, without: Default::default() }));
    ledger.record(usage(1));
    assert!(ledger.hold(1, Reply::Failed, false).is_some());
}
