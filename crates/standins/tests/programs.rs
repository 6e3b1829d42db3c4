//! Short runs of the demonstration and of the end-to-end tests. They start real mixers, which `make test` builds first.

use std::process::{Command, Output};

/// Runs a program. Returns whether it succeeded, and both of its outputs.
fn run(program: &str, arguments: &[&str]) -> (bool, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program)
        .args(arguments)
        .output()
        .expect("the program can be started");
    (
        status.success(),
        String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr),
    )
}

#[test]
fn the_end_to_end_test_of_the_ledger_passes_on_a_small_run() {
    let arguments = [
        "--queries",
        "2500",
        "--clients",
        "24",
        "--period",
        "4",
        "--seed",
        "11",
    ];
    let (proved, output) = run(env!("CARGO_BIN_EXE_cottonhill-prove-ledger"), &arguments);
    assert!(
        proved
            && output
                .lines()
                .last()
                .is_some_and(|line| line.starts_with("proved: 2500 uses")),
        "{output}"
    );
}

#[test]
fn the_end_to_end_test_of_the_opensearch_front_passes_on_a_small_run() {
    let arguments = ["--queries", "600", "--clients", "6", "--seed", "5"];
    let (proved, output) = run(
        env!("CARGO_BIN_EXE_cottonhill-prove-opensearch"),
        &arguments,
    );
    assert!(
        proved
            && output
                .lines()
                .last()
                .is_some_and(|line| line.starts_with("proved: ")),
        "{output}"
    );
}

#[test]
fn the_demonstration_prints_a_query_command_and_exits_cleanly() {
    let (clean, output) = run(env!("CARGO_BIN_EXE_cottonhill-demo"), &["--seconds", "3"]);
    assert!(
        clean && output.contains("curl -s http://127.") && output.contains("all processes ended\n"),
        "{output}"
    );
}
