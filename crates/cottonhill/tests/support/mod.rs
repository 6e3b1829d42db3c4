//! Golden texts and the program that prints them.
//!
//! `UPDATE_GOLDEN=1` rewrites the texts; the commit message then says why. `GOLDEN_PROGRAM` names another build of
//! the program to run, such as that of an earlier commit.

#![allow(dead_code)] // Each test file uses only some of the functions.

use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Width at which help texts are wrapped.
const COLUMNS: &str = "100";

pub fn program() -> OsString {
    std::env::var_os("GOLDEN_PROGRAM").unwrap_or_else(|| env!("CARGO_BIN_EXE_cottonhill").into())
}

/// A path relative to the crate.
pub fn crate_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Runs the program in a directory, without the environment variables that it reads.
pub fn run_in(directory: &Path, arguments: &[&str]) -> Output {
    Command::new(program())
        .args(arguments)
        .current_dir(directory)
        .env("COLUMNS", COLUMNS)
        .env_remove("BALANCER_CONFIG")
        .env_remove("COTTONHILL_SETTINGS")
        .env_remove("COTTONHILL_LOG")
        .stdin(Stdio::null())
        .output()
        .expect("the program starts")
}

/// The command line, output and exit code of a run.
pub fn transcript(arguments: &[&str], output: &Output) -> String {
    let mut text = format!("$ cottonhill {}\n", arguments.join(" "));
    for (name, bytes) in [("", &output.stdout), ("stderr:\n", &output.stderr)] {
        if !bytes.is_empty() {
            text += name;
            text += std::str::from_utf8(bytes).expect("UTF-8");
        }
    }
    let code = output.status.code().expect("an exit code");
    text + &format!("exit code {code}\n\n")
}

/// Compares a text with the golden text, line by line.
pub fn assert_golden(name: &str, found: &str) {
    let path = crate_path("tests/golden").join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, found).unwrap();
    }
    let expected = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
    for (line, (expected, found)) in expected.lines().zip(found.lines()).enumerate() {
        assert_eq!(expected, found, "line {} of {name}", line + 1);
    }
    assert_eq!(expected, found, "{name}");
}
