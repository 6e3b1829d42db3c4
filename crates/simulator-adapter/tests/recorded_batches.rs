//! Characterization test of the simulator's wire format: the replies to recorded batches must be the recorded replies,
//! byte for byte.
//!
//! `tests/golden/batches.txt` contains the batches and `tests/golden/replies.txt` the replies, one record per line in
//! hexadecimal without the zero bytes at its end. Log records are excluded from the comparison.
//!
//! `UPDATE_GOLDEN=1` generates the batches again (fixed seed) and records both; the commit message then says why.
//! `GOLDEN_PROGRAM` names another build of the program to run, such as that of an earlier commit.

mod recording;

use recording::program::Adapter;
use recording::simulation::Simulation;
use recording::text::{batch_text, parse_batches, reply_text};
use std::fs;
use std::path::PathBuf;

const SEED: u64 = 11;
const BATCHES: u32 = 300;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Runs the simulation against the program and records batches and replies.
fn record() {
    let mut adapter = Adapter::start();
    let mut simulation = Simulation::new(SEED);
    let (mut batches, mut replies) = (String::new(), String::new());
    for number in 1..=BATCHES {
        let batch = simulation.next_batch(number);
        let reply = adapter.exchange(&batch.bytes());
        batches += &batch_text(&batch);
        replies += &reply_text(&reply);
        simulation.apply_reply(&reply);
    }
    adapter.finish();
    fs::write(golden("batches.txt"), batches).unwrap();
    fs::write(golden("replies.txt"), replies).unwrap();
}

#[test]
fn replies_to_recorded_batches_are_unchanged() {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        record();
    }
    let batches = parse_batches(&fs::read_to_string(golden("batches.txt")).unwrap());
    let expected = fs::read_to_string(golden("replies.txt")).unwrap();
    assert_eq!(batches.len(), BATCHES as usize);
    let mut adapter = Adapter::start();
    let mut replies = String::new();
    for batch in &batches {
        replies += &reply_text(&adapter.exchange(&batch.bytes()));
    }
    adapter.finish();
    let lines = expected.lines().zip(replies.lines()).enumerate();
    for (line, (expected, found)) in lines {
        assert_eq!(expected, found, "line {} of replies.txt", line + 1);
    }
    assert_eq!(expected.lines().count(), replies.lines().count());
}

/// A kind of record that does not occur in the recording would not be tested.
#[test]
fn the_recording_contains_every_kind_of_event_and_action() {
    let batches = parse_batches(&fs::read_to_string(golden("batches.txt")).unwrap());
    let replies = fs::read_to_string(golden("replies.txt")).unwrap();
    for code in 1..=11u8 {
        let occurs = batches
            .iter()
            .flat_map(|batch| &batch.records)
            .any(|record| record[0] == code);
        assert!(occurs, "no event of code {code}");
    }
    // The others (log, crash, datagram, fetch of the endpoint list) are excluded or do not occur: see reply_layout.rs.
    for code in [1u8, 2, 3, 4, 5, 6, 7, 11, 13] {
        let start = format!("action {code:02x}");
        assert!(
            replies.lines().any(|line| line.starts_with(&start)),
            "no action of code {code}"
        );
    }
}
