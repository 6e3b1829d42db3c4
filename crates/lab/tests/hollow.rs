//! Hollow mixers at small sizes, over loopback. Assertions are on counts and message sizes, never on times.

use cottonhill_lab::hollow::{
    measure, DiscoveryMode, HollowPoint, HollowReport, HollowSettings, PointSpec,
};
use cottonhill_lab::report::Outcome;
use cottonhill_lab::settings::SCHEMA;
use cottonhill_lab::Failure;
use std::process::Command;

const MIXERS: u64 = 20;
/// Difference in message size, in bytes: the version has one more digit if the list is ten times as long.
const VERSION_DIGITS: f64 = 1.0;
/// Each mixer sends one call after an outage, and a second one if its first was interrupted.
const CALLS_PER_MIXER: u64 = 2;

const SMALL: &str =
    "[hollow]\nthreads = 2\nchanges = 4\nrates = 20\nrate_time = 400ms\nzone_entries = 200\n\
    rest_time = 200ms\nabsent_time = 300ms\nstep_time = 15s\n";

fn read(text: &str) -> Result<HollowSettings, Failure> {
    let settings =
        cottonhill_ini::Settings::parse(&SCHEMA, "lab.ini", text).map_err(Failure::settings)?;
    HollowSettings::read(&settings)
}

fn point(entries: u64, mode: DiscoveryMode) -> HollowPoint {
    let settings = read(SMALL).unwrap();
    measure(&PointSpec {
        mixers: MIXERS,
        entries,
        mode,
        settings,
    })
    .unwrap()
}

/// Checks the counts that are the same at every size.
fn check(point: &HollowPoint) {
    assert_eq!(
        (point.outcome, point.note.as_str()),
        (Outcome::Measured, ""),
        "every mixer has every version in force"
    );
    let start = point.start.unwrap();
    assert_eq!(start.in_force.samples, MIXERS, "one first list per mixer");
    assert_eq!(
        start.cost.snapshot_messages, MIXERS,
        "one snapshot per mixer"
    );
    assert_eq!(
        (start.cost.list_calls, start.cost.watch_calls),
        (MIXERS, MIXERS)
    );

    let idle = point.idle.unwrap();
    assert_eq!(
        (idle.connections, idle.list_calls, idle.watch_calls),
        (0, 0, 0),
        "an idle fleet sends no calls"
    );
    let change = point.change.unwrap();
    assert_eq!(
        (change.in_force.samples, change.cost.change_messages),
        (4 * MIXERS, 4 * MIXERS)
    );
    assert_eq!(
        (change.cost.connections, change.cost.snapshot_messages),
        (0, 0),
        "changes are sent on the open watch"
    );

    let rate = &point.rates[0];
    assert_eq!((rate.changes, rate.step.in_force.samples), (8, 8 * MIXERS));
    let zone = point.zone.unwrap();
    assert_eq!(zone.changed_entries, 200);
    assert_eq!(
        (
            zone.step.cost.change_messages,
            zone.step.cost.snapshot_messages
        ),
        (MIXERS, 0)
    );

    let outage = point.outage.unwrap();
    assert_eq!(outage.step.lagging_mixers, 0);
    assert_eq!(
        outage.step.in_force.samples, MIXERS,
        "each mixer has the version of the outage in force"
    );
    let calls = outage.step.cost.list_calls + outage.step.cost.watch_calls;
    assert!(
        (MIXERS..=CALLS_PER_MIXER * MIXERS).contains(&calls),
        "{calls} calls after the outage"
    );
    assert_eq!(
        outage.step.cost.snapshot_messages, 0,
        "a mixer that has a version is sent only the changes"
    );
    let without_history = point.outage_without_history.unwrap().step;
    assert_eq!(
        (
            without_history.in_force.samples,
            without_history.lagging_mixers
        ),
        (MIXERS, 0)
    );
    assert!(
        (MIXERS..=CALLS_PER_MIXER * MIXERS).contains(&without_history.cost.snapshot_messages),
        "{without_history:?}"
    );

    let silence = point.silence.unwrap();
    assert_eq!(
        (silence.in_force.samples, silence.lagging_mixers),
        (MIXERS, 0)
    );
    assert_eq!(silence.cost.connections, MIXERS, "one new watch per mixer");
}

#[test]
fn all_mixers_reach_the_last_version_and_change_size_does_not_depend_on_list_size() {
    let (small, large) = std::thread::scope(|scope| {
        let large = scope.spawn(|| point(3_000, DiscoveryMode::Polled));
        (point(300, DiscoveryMode::Polled), large.join().unwrap())
    });
    [&small, &large].into_iter().for_each(check);
    let change_bytes = |point: &HollowPoint| point.change.unwrap().cost.bytes_per_change_message;
    assert!(
        (change_bytes(&large) - change_bytes(&small)).abs() <= VERSION_DIGITS,
        "{} and {}",
        change_bytes(&small),
        change_bytes(&large)
    );
    let snapshot_bytes = |point: &HollowPoint| point.start.unwrap().cost.bytes_per_snapshot_message;
    assert!(
        snapshot_bytes(&large) > 9.0 * snapshot_bytes(&small),
        "the snapshot grows with the list"
    );
}

#[test]
fn pushed_mode_has_the_same_counts_as_polled_mode() {
    check(&point(300, DiscoveryMode::Pushed));
}

#[test]
fn invalid_settings_are_reported_with_file_line_key_and_nearest_key() {
    let message_for = |text: &str| read(text).unwrap_err().to_string();
    let unknown = message_for("[hollow]\nmixer = 10\n");
    assert!(
        unknown.contains("lab.ini:2") && unknown.contains("'mixer'"),
        "{unknown}"
    );
    assert!(unknown.contains("the nearest is 'mixers'"), "{unknown}");
    for line in [
        "mixers = 10, none",
        "entries = 300, 110001",
        "mixers = 4501",
        "rates = 0",
        "ways = asked, told",
    ] {
        let message = message_for(&format!("[hollow]\n\n{line}\n"));
        let key = line.split_once(' ').unwrap().0;
        assert!(
            message.contains("lab.ini:3") && message.contains(key),
            "{line}: {message}"
        );
    }
}

#[test]
fn the_command_writes_a_readable_report_and_prints_the_summary_last() {
    let folder = tempfile::tempdir().unwrap();
    let (settings, out) = (
        folder.path().join("lab.ini"),
        folder.path().join("hollow.json"),
    );
    let text = SMALL.to_string()
        + "mixers = 2, 4\nentries = 15\nbase_mixers = 2\nbase_entries = 15\nways = asked\n";
    std::fs::write(&settings, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonhill-lab"));
    command
        .arg("--settings")
        .arg(&settings)
        .arg("hollow")
        .arg("--out")
        .arg(&out);
    let output = command.output().unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let printed = String::from_utf8(output.stdout).unwrap();
    assert_eq!(
        printed.lines().last(),
        Some("HOLLOW points 2, measured 2, cut 0, refused 0, failed 0")
    );
    let report: HollowReport = serde_json::from_slice(&std::fs::read(&out).unwrap()).unwrap();
    let sizes: Vec<_> = report
        .points
        .iter()
        .map(|point| (point.mixers, point.entries))
        .collect();
    assert_eq!(sizes, [(2, 15), (4, 15)]);
    assert!(folder.path().join("hollow.md").is_file());
}
