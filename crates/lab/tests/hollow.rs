//! Hollow mixers at small sizes, on loopback. Verdicts are on counts; no test looks at how long anything took.

use cottonhill_lab::hollow::{measure, HollowPoint, HollowReport, HollowSettings, PointSpec, Way};
use cottonhill_lab::report::Outcome;
use cottonhill_lab::settings::SCHEMA;
use cottonhill_lab::Failure;
use std::process::Command;

const MIXERS: u64 = 20;
/// The version in a message has one digit more where the list is ten times as long.
const DIGITS: f64 = 1.0;
/// After a return each mixer asks once; as many again is room for one that was cut off while it asked.
const CALLS_PER_MIXER: u64 = 2;

const SMALL: &str =
    "[hollow]\nthreads = 2\nchanges = 4\nrates = 20\nrate_time = 400ms\nzone_entries = 200\n\
    rest_time = 200ms\nabsent_time = 300ms\nstep_time = 15s\n";

fn read(text: &str) -> Result<HollowSettings, Failure> {
    let settings =
        cottonhill_ini::Settings::parse(&SCHEMA, "lab.ini", text).map_err(Failure::settings)?;
    HollowSettings::read(&settings)
}

fn point(entries: u64, way: Way) -> HollowPoint {
    let settings = read(SMALL).unwrap();
    measure(&PointSpec {
        mixers: MIXERS,
        entries,
        way,
        settings,
    })
    .unwrap()
}

/// What holds at every size.
fn check(point: &HollowPoint) {
    assert_eq!(
        (point.outcome, point.note.as_str()),
        (Outcome::Measured, ""),
        "every mixer held every version"
    );
    let start = point.start.unwrap();
    assert_eq!(
        start.in_force.samples, MIXERS,
        "each mixer's first list counts once"
    );
    assert_eq!(start.cost.whole_messages, MIXERS, "one whole list a mixer");
    assert_eq!(
        (start.cost.list_calls, start.cost.watch_calls),
        (MIXERS, MIXERS)
    );

    let rest = point.rest.unwrap();
    assert_eq!(
        (rest.connections, rest.list_calls, rest.watch_calls),
        (0, 0, 0),
        "a fleet at rest asks nothing"
    );
    let change = point.change.unwrap();
    assert_eq!(
        (change.in_force.samples, change.cost.change_messages),
        (4 * MIXERS, 4 * MIXERS)
    );
    assert_eq!(
        (change.cost.connections, change.cost.whole_messages),
        (0, 0),
        "on the open watch"
    );

    let rate = &point.rates[0];
    assert_eq!((rate.changes, rate.step.in_force.samples), (8, 8 * MIXERS));
    let zone = point.zone.unwrap();
    assert_eq!(zone.changed_entries, 200);
    assert_eq!(
        (
            zone.step.cost.change_messages,
            zone.step.cost.whole_messages
        ),
        (MIXERS, 0)
    );

    let back = point.back.unwrap();
    assert_eq!(back.step.lagging_mixers, 0);
    assert_eq!(
        back.step.in_force.samples, MIXERS,
        "each holds the version that was made meanwhile"
    );
    let calls = back.step.cost.list_calls + back.step.cost.watch_calls;
    assert!(
        (MIXERS..=CALLS_PER_MIXER * MIXERS).contains(&calls),
        "{calls} calls after the return"
    );
    assert_eq!(
        back.step.cost.whole_messages, 0,
        "changes are enough for who holds a version"
    );
    let forgetful = point.back_without_history.unwrap().step;
    assert_eq!(
        (forgetful.in_force.samples, forgetful.lagging_mixers),
        (MIXERS, 0)
    );
    assert!(
        (MIXERS..=CALLS_PER_MIXER * MIXERS).contains(&forgetful.cost.whole_messages),
        "{forgetful:?}"
    );

    let silence = point.silence.unwrap();
    assert_eq!(
        (silence.in_force.samples, silence.lagging_mixers),
        (MIXERS, 0)
    );
    assert_eq!(silence.cost.connections, MIXERS, "one new watch each");
}

#[test]
fn each_mixer_holds_the_last_version_and_a_change_costs_the_same_whatever_the_list() {
    let (small, large) = std::thread::scope(|scope| {
        let large = scope.spawn(|| point(3_000, Way::Asked));
        (point(300, Way::Asked), large.join().unwrap())
    });
    [&small, &large].into_iter().for_each(check);
    let bytes = |point: &HollowPoint| point.change.unwrap().cost.bytes_per_change_message;
    assert!(
        (bytes(&large) - bytes(&small)).abs() <= DIGITS,
        "{} and {}",
        bytes(&small),
        bytes(&large)
    );
    let whole = |point: &HollowPoint| point.start.unwrap().cost.bytes_per_whole_message;
    assert!(
        whole(&large) > 9.0 * whole(&small),
        "a whole list does grow"
    );
}

#[test]
fn a_list_of_each_way_is_followed_over_one_connection_a_mixer() {
    check(&point(300, Way::Pushed));
}

#[test]
fn wrong_settings_are_named_with_file_line_key_and_the_nearest_name() {
    let wrong = |text: &str| read(text).unwrap_err().to_string();
    let unknown = wrong("[hollow]\nmixer = 10\n");
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
        let why = wrong(&format!("[hollow]\n\n{line}\n"));
        let key = line.split_once(' ').unwrap().0;
        assert!(
            why.contains("lab.ini:3") && why.contains(key),
            "{line}: {why}"
        );
    }
}

#[test]
fn the_command_writes_a_report_that_reads_back_and_a_summary_last() {
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
