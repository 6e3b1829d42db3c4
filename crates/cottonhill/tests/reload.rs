//! The running program: a reload of a changed and of an invalid configuration on SIGHUP, and the shutdown after both.

use serde_json::json;
use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::unix::pipe;
use tokio::net::{TcpListener, TcpStream};

/// Fails the test if the program hangs; no test waits for a fixed time.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

struct Program {
    child: Child,
    config: PathBuf,
    log: Lines<BufReader<pipe::Receiver>>,
}

impl Program {
    fn start(name: &str, discovery: &str) -> Program {
        let config =
            std::env::temp_dir().join(format!("cottonhill-{}-{name}.json", std::process::id()));
        fs::write(&config, configuration(discovery)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_cottonhill"))
            .env("BALANCER_CONFIG", &config)
            .env("COTTONHILL_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = pipe::Receiver::from_owned_fd(child.stderr.take().unwrap().into()).unwrap();
        Program {
            child,
            config,
            log: BufReader::new(log).lines(),
        }
    }

    /// Reads the log up to a line that contains this text.
    async fn wait_for_log(&mut self, message: &str) {
        loop {
            let line = tokio::time::timeout(HANG_TIMEOUT, self.log.next_line()).await;
            let line = line
                .unwrap_or_else(|_| panic!("never logged: '{message}'"))
                .unwrap();
            let line =
                line.unwrap_or_else(|| panic!("the program ended before it logged '{message}'"));
            if line.contains(message) {
                return;
            }
        }
    }

    /// Sends a signal and waits for the log line that follows it.
    async fn signal(&mut self, signal: &str, message: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &pid])
            .status()
            .unwrap()
            .success());
        self.wait_for_log(message).await;
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config);
    }
}

fn configuration(discovery: &str) -> String {
    let known = json!({"index": 41, "snapshot": true, "endpoints": []});
    let settings = json!({
        "classes": [{"name": "a", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5,
    });
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1", "known": known,
        "settings": settings})
    .to_string()
}

async fn discovery() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

/// Answers the next request to discovery with an empty list of this version; returns the request.
async fn answer_with_empty_list(listener: &TcpListener, index: u64) -> (TcpStream, String) {
    answer_with(
        listener,
        &json!({"index": index, "snapshot": true, "endpoints": []}).to_string(),
    )
    .await
}

/// Answers the next request to discovery with this update; returns the request.
async fn answer_with(listener: &TcpListener, list: &str) -> (TcpStream, String) {
    let (mut stream, _) = tokio::time::timeout(HANG_TIMEOUT, listener.accept())
        .await
        .expect("a watch")
        .unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await.unwrap());
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .write_all(format!("{head}{:x}\r\n{list}\r\n", list.len()).as_bytes())
        .await
        .unwrap();
    (stream, String::from_utf8(request).unwrap())
}

#[tokio::test]
async fn reload_moves_the_watch_and_an_invalid_file_changes_nothing() {
    let (old, new) = (discovery().await, discovery().await);
    let mut program = Program::start("reload", &old.1);
    let (mut first, request) = answer_with_empty_list(&old.0, 42).await;
    assert!(
        request.contains("watch=1&from=41 "),
        "the watch continues from the cached list: {request}"
    );
    fs::write(&program.config, "{").unwrap();
    program.signal("-HUP", "configuration reload failed").await;
    fs::write(&program.config, configuration(&new.1)).unwrap();
    program.signal("-HUP", "configuration reloaded").await;
    let (_snapshot, request) = answer_with_empty_list(&new.0, 7).await;
    assert!(
        request.starts_with("GET /api/targets HTTP/1.1"),
        "the versions of the old discovery do not apply: {request}"
    );
    let (_second, request) = answer_with_empty_list(&new.0, 7).await;
    assert!(
        request.contains("watch=1&from=7 "),
        "the watch continues from the fetched list: {request}"
    );
    let mut remaining = Vec::new();
    assert_eq!(
        first.read_to_end(&mut remaining).await.unwrap(),
        0,
        "the old watch has ended"
    );
    fs::write(&program.config, configuration(&old.1)).unwrap();
    program.signal("-HUP", "configuration reloaded").await;
    let _third = answer_with_empty_list(&old.0, 43).await;
    program
        .signal(
            "-TERM",
            "shutdown complete, every accepted request answered or failed",
        )
        .await;
    assert!(program.child.wait().unwrap().success());
}

#[tokio::test]
async fn unusable_delta_is_logged_and_a_snapshot_requested() {
    for (n, (changes, message)) in [
        (
            r#"{"index":43,"snapshot":false,"endpoints":[{"status":"draining"}]}"#,
            "entry 0 of version 43 has no valid name",
        ),
        (
            r#"{"index":43,"snapshot":[]}"#,
            "invalid type: sequence, expected a boolean at line 1",
        ),
        (
            r#"{"index":7,"snapshot":false,"endpoints":[]}"#,
            "delta to version 7 is older than the current version 41",
        ),
    ]
    .into_iter()
    .enumerate()
    {
        let (listener, address) = discovery().await;
        let mut program = Program::start(&format!("unusable-delta-{n}"), &address);
        let _first = answer_with(&listener, changes).await;
        program.wait_for_log(message).await;
        let (_snapshot, request) = answer_with_empty_list(&listener, 7).await;
        assert!(
            request.starts_with("GET /api/targets HTTP/1.1"),
            "{request}"
        );
    }
}
