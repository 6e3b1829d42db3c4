//! Characterization test of the mixer's HTTP responses: status and headers of each request that the README lists, and the
//! keys of `/-/stats`. The test itself opens the sockets of discovery and of the only replica.

mod support;

use serde_json::{json, Value};
use std::fmt::Write as _;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{assert_golden, program};

/// Fails the test if the program hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const QUERY_BODY: &str = r#"{"shards":[{"shard":0,"weight":1.0}],"q":"c41e77d0"}"#;

/// A loopback address that only this process uses, so that no other process binds a port between its choice and its use.
fn own_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 120 + high % 100, middle, low.max(1))
}

/// An address without a listener.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((own_ip(), 0)).unwrap();
    listener.local_addr().unwrap()
}

struct Mixer {
    child: Child,
    address: SocketAddr,
    discovery: TcpListener,
    /// Connections of the mixer to discovery, which stay open while it runs.
    watches: Vec<TcpStream>,
    _directory: tempfile::TempDir,
}

impl Mixer {
    fn start() -> Mixer {
        let directory = tempfile::tempdir().unwrap();
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = free_address();
        let config = directory.path().join("mixer.json");
        let text = configuration(address, discovery.local_addr().unwrap());
        fs::write(&config, text).unwrap();
        let child = Command::new(program())
            .args(["serve", "--config"])
            .arg(&config)
            .env_remove("COTTONHILL_SETTINGS")
            .env_remove("COTTONHILL_LOG")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mixer = Mixer {
            child,
            address,
            discovery,
            watches: Vec::new(),
            _directory: directory,
        };
        mixer.wait_until("the mixer listens", || TcpStream::connect(address).is_ok());
        mixer
    }

    fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + HANG_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out after 20 s: {what}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Answers the mixer's watch with a list of one replica.
    fn announce_replica(&mut self, replica: SocketAddr) {
        let (mut watch, _) = self.discovery.accept().unwrap();
        read_head(&mut watch);
        let endpoint = json!({"name": "s-1", "address": replica, "zone": "north", "type": "m",
            "group": 0, "status": "up", "weight": 1.0, "since_ms": 0});
        let list = json!({"index": 42, "snapshot": true, "endpoints": [endpoint]}).to_string();
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(watch, "{head}{:x}\r\n{list}\r\n", list.len()).unwrap();
        self.watches.push(watch);
        self.wait_until("the mixer is ready", || {
            self.request("GET /-/ready HTTP/1.1\r\n\r\n")
                .starts_with("HTTP/1.1 200")
        });
    }

    /// Sends one request on a new connection and returns the complete response.
    fn request(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = read_head(&mut stream);
        let length = answer
            .lines()
            .find_map(|line| {
                line.to_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body).unwrap();
        answer += &String::from_utf8(body).unwrap();
        answer
    }

    fn query(&self, line: &str, headers: &str, body: &str) -> String {
        let length = body.len();
        self.request(&format!(
            "{line} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    fn stats(&self) -> Value {
        let answer = self.request("GET /-/stats HTTP/1.1\r\n\r\n");
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        serde_json::from_str(body).unwrap()
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    let text = fs::read_to_string(support::crate_path("tests/data/mixer.json")).unwrap();
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["listen"] = json!(listen);
    config["discovery"] = json!(discovery);
    for key in ["peer_listen", "peers", "peers_all"] {
        config.as_object_mut().unwrap().remove(key);
    }
    config["known"] = json!({"index": 41, "snapshot": true, "endpoints": []});
    for key in ["aim_ns", "give_up_ns"] {
        config["settings"]["classes"][0][key] = json!(200_000_000);
    }
    config.to_string()
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(0) => break,
            Ok(_) => head.extend(byte),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("no answer: {e}"),
        }
    }
    String::from_utf8(head).unwrap()
}

/// Replaces the numbers in Retry-After and Content-Length, which differ between runs, by `N`.
fn mask_numbers(answer: &str) -> String {
    let mask = |line: &str| {
        let lower = line.to_lowercase();
        let varies = lower.starts_with("retry-after") || lower.starts_with("content-length: ");
        let masked = |c: char| if varies && c.is_ascii_digit() { 'N' } else { c };
        let text: String = line.chars().map(masked).collect();
        text.replace("NN", "N")
            .replace("NN", "N")
            .replace("NN", "N")
    };
    answer.lines().map(|line| mask(line) + "\n").collect()
}

/// Appends the path and type of each field of a JSON value.
fn shape(path: &str, value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                shape(&format!("{path}.{key}"), field, text);
            }
            if fields.is_empty() {
                let _ = writeln!(text, "{path}: empty object");
            }
        }
        Value::Array(items) => {
            let _ = writeln!(text, "{path}: array");
            if let Some(first) = items.first() {
                shape(&format!("{path}[]"), first, text);
            }
        }
        Value::Null => drop(writeln!(text, "{path}: null")),
        Value::Bool(_) => drop(writeln!(text, "{path}: boolean")),
        Value::Number(_) => drop(writeln!(text, "{path}: number")),
        Value::String(_) => drop(writeln!(text, "{path}: string")),
    }
}

#[test]
fn responses_have_the_recorded_status_headers_and_body() {
    let mut mixer = Mixer::start();
    let mut text = String::new();
    let mut add = |what: &str, answer: &str| {
        let _ = writeln!(text, "## {what}\n{}", mask_numbers(answer));
    };
    add("not ready", &mixer.request("GET /-/ready HTTP/1.1\r\n\r\n"));
    mixer.announce_replica(free_address());
    add("ready", &mixer.request("GET /-/ready HTTP/1.1\r\n\r\n"));
    let stats = mixer.request("GET /-/stats HTTP/1.1\r\n\r\n");
    let (head, _) = stats.split_once("\r\n\r\n").unwrap();
    add("head of stats", head);
    add(
        "unknown path",
        &mixer.request("GET /-/nothing HTTP/1.1\r\n\r\n"),
    );
    add(
        "GET of a class",
        &mixer.request("GET /chart-ranking HTTP/1.1\r\n\r\n"),
    );
    add("POST to ready", &mixer.query("POST /-/ready", "", ""));
    let headers = "X-Request-ID: q-1\r\nX-Tenant-Id: alpha\r\nX-Timeout: 900m\r\n";
    let class_line = "POST /chart-ranking";
    add(
        "unknown class",
        &mixer.query("POST /charts", headers, QUERY_BODY),
    );
    let without_id = "X-Tenant-Id: alpha\r\n";
    add(
        "no request id",
        &mixer.query(class_line, without_id, QUERY_BODY),
    );
    let tenant = headers.replace("alpha", "omega");
    add(
        "unknown tenant",
        &mixer.query(class_line, &tenant, QUERY_BODY),
    );
    let timeout = headers.replace("900m", "soon");
    add(
        "bad timeout",
        &mixer.query(class_line, &timeout, QUERY_BODY),
    );
    let shard = QUERY_BODY.replace("\"shard\":0", "\"shard\":99");
    add("unknown shard", &mixer.query(class_line, headers, &shard));
    let weight = QUERY_BODY.replace("1.0", "0.4");
    add(
        "weights with a sum below 1",
        &mixer.query(class_line, headers, &weight),
    );
    add("not JSON", &mixer.query(class_line, headers, "{"));
    let both = format!("{headers}Transfer-Encoding: chunked\r\n");
    add(
        "Content-Length and chunked",
        &mixer.query(class_line, &both, QUERY_BODY),
    );
    let large = "x".repeat(65 * 1024);
    add("large body", &mixer.query(class_line, headers, &large));
    let head = format!("{headers}X-Filler: {}\r\n", "x".repeat(9 * 1024));
    add("large head", &mixer.query(class_line, &head, QUERY_BODY));
    add(
        "no replica answers",
        &mixer.query(class_line, headers, QUERY_BODY),
    );
    assert_golden("http_answers.txt", &text);
}

/// Starts a leaf server that closes each connection after the first bytes of a request.
fn start_resetting_replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 64]);
        }
    });
    address
}

/// A query of a non-idempotent class is not retried after a lost connection, since it may have been executed.
#[test]
fn a_failed_query_gets_the_recorded_response() {
    let mut mixer = Mixer::start();
    mixer.announce_replica(start_resetting_replica());
    let headers = "X-Request-ID: q-1\r\nX-Tenant-Id: alpha\r\nX-Timeout: 900m\r\n";
    let answer = mixer.query("POST /preview-lookup", headers, QUERY_BODY);
    assert_golden("http_failed_query.txt", &mask_numbers(&answer));
}

#[test]
fn stats_have_the_recorded_keys() {
    let mut mixer = Mixer::start();
    mixer.announce_replica(free_address());
    let mut text = String::new();
    shape("stats", &mixer.stats(), &mut text);
    assert_golden("stats_keys.txt", &text);
}
