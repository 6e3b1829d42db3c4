//! Characterization test of the mixer's output. A fixed seed drives the codecs and the reducer through requests,
//! answers, endpoint updates, drains, reloads and a shutdown, with the settings of the harness's four deployments. All
//! output (time, connection, bytes) is compared with a recorded transcript in `tests/golden/`.
//!
//! The transcripts contain wire bytes only. `UPDATE_GOLDEN=1` rewrites them; a commit that does so states the reason.

mod harness;
mod simulation;

use harness::deployments;
use simulation::Simulation;
use std::path::PathBuf;

fn compare_with_golden(name: &str, transcript: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, transcript).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(&path).expect("the golden file can be read");
    let different = golden
        .lines()
        .zip(transcript.lines())
        .position(|(golden, line)| golden != line);
    if let Some(line) = different {
        let (golden, actual) = (golden.lines().nth(line), transcript.lines().nth(line));
        panic!(
            "{name}:{}: expected {golden:?}, actual {actual:?}",
            line + 1
        );
    }
    assert_eq!(
        golden.len(),
        transcript.len(),
        "{name}: the transcripts differ in length"
    );
}

#[test]
fn transcripts_of_four_deployments_match_golden_files() {
    let names = [
        "push.txt",
        "poll.txt",
        "short_deadlines.txt",
        "non_idempotent.txt",
    ];
    for (seed, (settings_text, name)) in deployments().iter().zip(names).enumerate() {
        let settings_text = &format!("{settings_text}limits.may_probe=true\n");
        let transcript = Simulation::new(settings_text, 71 + seed as u64).run();
        compare_with_golden(name, &transcript);
    }
}
