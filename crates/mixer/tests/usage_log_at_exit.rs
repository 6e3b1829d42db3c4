//! Shutdown of a complete mixer on loopback sockets whose usage log is blocked.

mod harness;
mod loopback;

use cottonhill_mixer::reducer::usage::{UsageRecord, Watermark};
use cottonhill_mixer::transport::{Control, Recorder};
use harness::deployments;
use loopback::{
    http_get, query_text, read_response, send_text, watch_response, MixerOptions, TestClock,
};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Duration, Instant};

const DESCRIPTORS: usize = 64;
/// How long a reply waits for its record to be written.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(5);
/// How long the blocked log delays its close.
const CLOSE_DELAY: Duration = Duration::from_secs(2);
/// Fails the test if it hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);
/// SIGKILL follows SIGTERM after the client timeout of these settings and 0.7 s.
const SIGKILL_AFTER: Duration = Duration::from_millis(600 + 700);
/// When the shutdown has to be complete, after SIGTERM.
const SHUTDOWN_DEADLINE: Duration = Duration::from_millis(600 + 700 - 100);

/// A usage log on a blocked disk: it accepts records and writes none.
struct BlockedRecorder {
    written: watch::Sender<u64>,
}

impl Recorder for BlockedRecorder {
    fn record(&mut self, _: UsageRecord) -> bool {
        true
    }
    fn record_watermark(&mut self, _: Watermark) {}
    fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_write_delay(&self) -> Duration {
        MAX_WRITE_DELAY
    }
    fn count_unrecorded_reply(&mut self) {}
    fn close(&mut self) {
        std::thread::sleep(CLOSE_DELAY);
    }
}

fn blocked_recorder() -> Box<dyn Recorder> {
    let (written, _) = watch::channel(0);
    Box::new(BlockedRecorder { written })
}

/// Guards against replies of the shutdown deadline that wait until the usage log is closed: on a blocked disk they came
/// after SIGKILL was due.
#[test]
fn replies_at_the_shutdown_deadline_do_not_wait_for_a_blocked_usage_log() {
    let [_, _, short_deadlines, _] = deployments();
    // Answers after the latency objective have a value here, so a query stays open until its deadline.
    let settings_text = short_deadlines + "classes.1.late_value=0.9\ndiscovery=pushed\n";
    let options = MixerOptions {
        recorder: Some(blocked_recorder),
        ..MixerOptions::new(&settings_text, DESCRIPTORS, TestClock::Real)
    };
    loopback::run_mixer(options, |mixer| async move {
        let leaf_address = mixer.leaf.local_addr().unwrap();
        let (mut watch, _) = mixer.discovery.accept().await.unwrap();
        send_text(&mut watch, &watch_response(3, leaf_address, "up")).await;
        while !http_get(mixer.address, "/-/ready").await.has_status(200) {
            sleep(Duration::from_millis(5)).await;
        }
        mixer.control.send(Control::Terminate).await.unwrap();
        let requested_at = Instant::now();
        sleep(Duration::from_millis(700)).await;
        let mut client = TcpStream::connect(mixer.address).await.unwrap();
        send_text(&mut client, &query_text("late", "")).await;
        // The leaf server accepts no connection. The process is held up across the shutdown deadline, so that the reply
        // is due at the same time as the exit.
        sleep_until(requested_at + SHUTDOWN_DEADLINE - Duration::from_millis(30)).await;
        std::thread::sleep(Duration::from_millis(40));
        let response = timeout(HANG_TIMEOUT, read_response(&mut client)).await;
        let elapsed = requested_at.elapsed();
        assert!(response.is_ok(), "no reply after {elapsed:?}");
        assert!(elapsed < SIGKILL_AFTER, "{elapsed:?}");
    });
}
