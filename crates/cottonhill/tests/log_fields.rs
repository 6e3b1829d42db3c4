//! Characterization test of the log lines of this crate: level, target and field names, by which operators filter and
//! search. The messages are not part of the test.

mod support;

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Lines};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use support::{assert_golden, crate_path, program};

/// Targets of this crate; the other crates test their own.
const OWN_TARGETS: &str = "cottonhill::";

struct Program {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

impl Program {
    fn start(directory: &Path, arguments: &[&str]) -> Program {
        let mut child = Command::new(program())
            .args(arguments)
            .current_dir(directory)
            .env_remove("BALANCER_CONFIG")
            .env_remove("COTTONHILL_SETTINGS")
            .env_remove("COTTONHILL_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Program { child, log }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Level, target and field names of the next `count` lines of this crate.
    fn lines(&mut self, event: &str, count: usize) -> String {
        let mut text = format!("# {event}\n");
        let mut found = 0;
        while found < count {
            let line = self.log.next().expect("another log line").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap_or_else(|_| panic!("{line}"));
            let target = line["target"].as_str().unwrap();
            if !target.starts_with(OWN_TARGETS) {
                continue;
            }
            found += 1;
            let level = line["level"].as_str().unwrap();
            let fields = line.as_object().unwrap().keys().map(String::as_str);
            let is_field =
                |name: &&str| !["timestamp", "level", "message", "target"].contains(name);
            let fields: Vec<&str> = fields.filter(is_field).collect();
            text += &format!("{level} {target} [{}]\n", fields.join(" "));
        }
        text
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(name);
    fs::write(&path, text).unwrap();
    path
}

/// A configuration with system-chosen ports and an unreachable discovery.
fn configuration(name: &str) -> String {
    let text = fs::read_to_string(crate_path("tests/data/mixer.json")).unwrap();
    let mut config: Value = serde_json::from_str(&text).unwrap();
    config["name"] = json!(name);
    config["listen"] = json!("127.0.0.1:0");
    config["discovery"] = json!("127.0.0.1:1");
    for key in ["peer_listen", "peers", "peers_all"] {
        config.as_object_mut().unwrap().remove(key);
    }
    config.to_string()
}

const MIXER_SETTINGS: &str =
    "[log]\nformat = json\nlevel = debug\n\n[opensearch]\nlisten = 127.0.0.1:0\n\n\
[index charts]\nclass = chart-ranking\nshards = 0-3\n";
const LEDGER_SETTINGS: &str = "[log]\nformat = json\n\n[settlement]\nstore = ledger.sqlite\n";

#[test]
fn a_mixer_logs_the_recorded_targets_and_fields() {
    let directory = tempfile::tempdir().unwrap();
    let folder = directory.path();
    write(folder, "mixer.json", &configuration("n3"));
    write(folder, "own.ini", MIXER_SETTINGS);
    let arguments = ["--config", "mixer.json", "--settings", "own.ini"];
    let mut mixer = Program::start(folder, &arguments);
    let mut text = mixer.lines("start", 3);
    write(folder, "mixer.json", &configuration("n4"));
    let changed = MIXER_SETTINGS.replace("0-3", "0-4");
    write(folder, "own.ini", &changed);
    mixer.signal("-HUP");
    text += &mixer.lines("reload of changes that need a restart", 3);
    write(folder, "mixer.json", "{");
    write(folder, "own.ini", "{");
    mixer.signal("-HUP");
    text += &mixer.lines("reload of invalid files", 2);
    mixer.signal("-TERM");
    text += &mixer.lines("shutdown", 1);
    assert_golden("mixer_log_fields.txt", &text);
}

#[test]
fn a_settlement_logs_the_recorded_targets_and_fields() {
    let directory = tempfile::tempdir().unwrap();
    let folder = directory.path();
    write(folder, "own.ini", LEDGER_SETTINGS);
    let arguments = ["ledger", "serve", "--settings", "own.ini"];
    let mut settlement = Program::start(folder, &arguments);
    let mut text = settlement.lines("start", 1);
    settlement.signal("-HUP");
    text += &settlement.lines("reload", 1);
    write(folder, "own.ini", "{");
    settlement.signal("-HUP");
    text += &settlement.lines("reload of invalid settings", 1);
    settlement.signal("-TERM");
    assert!(settlement.child.wait().unwrap().success());
    assert_golden("ledger_log_fields.txt", &text);
}
