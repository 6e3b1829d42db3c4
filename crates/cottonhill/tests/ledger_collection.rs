//! Collection by a running settlement from a mixer whose listener accepts and says nothing.

mod support;

use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use support::program;

/// Fails the test if the settlement does not connect in this time; the silence timeout is 300 ms.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);

/// A settlement process, killed when dropped.
struct Settlement(Child);

impl Drop for Settlement {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a collector that waits without end for a mixer that is held up or whose host has vanished: it has to
/// connect again after the silence timeout.
#[test]
fn collection_from_a_silent_mixer_is_retried_after_the_silence_timeout() {
    let directory = tempfile::tempdir().unwrap();
    let mixer = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = mixer.local_addr().unwrap();
    let settings = directory.path().join("ledger.ini");
    let store = directory.path().join("ledger.sqlite");
    let text = format!(
        "[settlement]\nstore = {}\nsilent = 300ms\nagain = 50ms\n\n[member n0]\naddress = {address}\n",
        store.display()
    );
    std::fs::write(&settings, text).unwrap();
    let child = Command::new(program())
        .args(["ledger", "serve", "--settings"])
        .arg(&settings)
        .env_remove("COTTONHILL_LOG")
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let _settlement = Settlement(child);
    let (accepted, connections) = mpsc::channel();
    thread::spawn(move || {
        for connection in mixer.incoming() {
            // Kept open by the receiver.
            if accepted.send(connection.unwrap()).is_err() {
                return;
            }
        }
    });
    let mut open = Vec::new();
    for number in 1..=3 {
        let connection = connections.recv_timeout(HANG_TIMEOUT);
        open.push(connection.unwrap_or_else(|e| panic!("connection {number}: {e}")));
    }
}
