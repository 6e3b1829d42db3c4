//! The machine and the build of a run.

use serde::{Deserialize, Serialize};
use std::fs;
use std::process::Command;

/// The environment that a run's figures depend on. Contains no host names and no paths.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Number of processors available to this process.
    pub cores: usize,
    pub memory_bytes: u64,
    /// Kernel release.
    pub kernel: String,
    /// Processor model.
    pub processor: String,
    /// The commit measured: `unknown` outside a Git working copy, with the suffix `+changes` if files differ from it.
    pub commit: String,
    /// Start of the run in UTC, in seconds precision.
    #[serde(rename = "began")]
    pub started: String,
    /// `release` or `debug`.
    pub build: String,
}

impl Machine {
    /// Reads the values from the kernel and from Git.
    pub fn read() -> Machine {
        let uname = rustix::system::uname();
        Machine {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory_bytes: value_of("/proc/meminfo", "MemTotal")
                .and_then(|text| kib(&text))
                .unwrap_or_default(),
            kernel: uname.release().to_string_lossy().into_owned(),
            processor: value_of("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown".into()),
            commit: commit(),
            started: jiff::Timestamp::now()
                .strftime("%Y-%m-%dT%H:%M:%SZ")
                .to_string(),
            build: if cfg!(debug_assertions) {
                "debug"
            } else {
                "release"
            }
            .into(),
        }
    }
}

/// The value of the first `key: value` line with this key.
fn value_of(file: &str, key: &str) -> Option<String> {
    let text = fs::read_to_string(file).ok()?;
    let mut pairs = text.lines().filter_map(|line| line.split_once(':'));
    pairs
        .find(|(name, _)| name.trim() == key)
        .map(|(_, value)| value.trim().to_string())
}

/// Converts a number with the suffix `kB` to bytes; the kernel's `kB` are KiB.
fn kib(text: &str) -> Option<u64> {
    text.trim_end_matches("kB")
        .trim()
        .parse::<u64>()
        .ok()
        .map(|kib| kib * 1024)
}

fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    output
        .status
        .success()
        .then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
}

fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "--short=12", "HEAD"]) else {
        return "unknown".into();
    };
    let changed = git(&[
        "status",
        "--porcelain",
        "--untracked-files=no",
        "--",
        "crates",
        "Cargo.toml",
    ]);
    if changed.is_some_and(|changed| !changed.is_empty()) {
        format!("{commit}+changes")
    } else {
        commit
    }
}
