//! The scale runs at small sizes. Assertions are on counts and on ratios of operations, never on times.

use cottonhill_ini::Settings;
use cottonhill_lab::report::{Measure, Outcome, Point, Report, Values};
use cottonhill_lab::scale::driver::{Driver, Workload};
use cottonhill_lab::scale::fleet::{EndpointStatus, Fleet};
use cottonhill_lab::scale::point::{measure, Spec, Work};
use cottonhill_lab::scale::settings::ScaleSettings;
use cottonhill_lab::scale::{child, watch};
use cottonhill_lab::settings::SCHEMA;
use cottonhill_lab::{machine, output, Failure};
use cottonhill_mixer::protocol::endpoint_updates::{self, MAX_UPDATE_BYTES};
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_cottonhill-lab");
const SMALL: &str = "\
[log]
level = warn
[scale]
servers = 60, 240
parts = 4, 12
part_steps = 1, 4, 12
open = 2, 8
links = 30, 60
base_servers = 60
base_open = 4
queries = 60
warm_queries = 10
change_messages = 6
change_entries = 5
point_time = 20s
";
const SERIES: [&str; 13] = [
    "whole-list-by-servers",
    "change-of-one-entry-by-servers",
    "change-of-many-entries-by-servers",
    "change-of-a-zone-by-servers",
    "change-by-entries",
    "query-of-4-parts-by-servers",
    "query-of-12-parts-by-servers",
    "query-of-12-parts-by-servers-same-shards",
    "query-by-parts",
    "query-of-4-parts-by-open-queries",
    "query-of-12-parts-by-open-queries",
    "memory-by-connections",
    OPEN_QUERIES,
];
/// The only series whose queries stay open.
const OPEN_QUERIES: &str = "memory-by-open-queries";

fn lab(settings: &str, arguments: &[&str]) -> (tempfile::TempDir, Output) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("scale.ini");
    std::fs::write(&file, settings).expect("settings written");
    let out = folder.path().join("out");
    let mut command = Command::new(LAB);
    command.arg("--settings").arg(&file).args(arguments);
    if arguments.first() == Some(&"scale") {
        command.arg("--out").arg(&out);
    }
    let output = command.output().expect("the lab runs");
    (folder, output)
}

fn report(folder: &Path) -> Report {
    output::read(&folder.join("out/scale.json")).expect("a report")
}

fn value(point: &Point, measure: Measure) -> f64 {
    *point
        .values
        .get(&measure)
        .unwrap_or_else(|| panic!("{measure:?} at {}", point.x))
}

fn fleet(servers: u64) -> Fleet {
    Fleet {
        servers,
        replicas: 3,
        zones: 15,
    }
}

fn workload(parts: u64, open_queries: u64) -> Workload {
    Workload {
        parts,
        open_queries,
        leaf_latency_ns: 60_000_000,
        shards: u64::MAX,
    }
}

fn spec(servers: u64, work: Work) -> Spec {
    Spec {
        fleet: fleet(servers),
        seed: 7,
        work,
        time_limit_ms: 20_000,
    }
}

fn counts(values: &Values) -> Vec<(Measure, f64)> {
    use cottonhill_lab::units::Unit;
    let counted = values
        .iter()
        .filter(|(measure, _)| measure.unit() == Unit::Count);
    counted.map(|(measure, value)| (*measure, *value)).collect()
}

#[test]
fn a_run_measures_all_series_and_answers_each_query_once() {
    let (folder, output) = lab(SMALL, &["scale"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let report = report(folder.path());
    let names: Vec<&str> = report
        .series
        .iter()
        .map(|series| series.name.as_str())
        .collect();
    assert_eq!(names, SERIES);
    for series in &report.series {
        assert!(series.points.len() >= 2, "{}", series.name);
        for point in &series.points {
            let at = format!("{} at {}: {}", series.name, point.x, point.note);
            assert_eq!(point.outcome, Outcome::Measured, "{at}");
            if !point.values.contains_key(&Measure::QueriesAnswered) {
                continue;
            }
            assert_eq!(value(point, Measure::DuplicateReplies), 0.0, "{at}");
            assert_eq!(value(point, Measure::QueriesRefused), 0.0, "{at}");
            if series.name == OPEN_QUERIES {
                assert_eq!(value(point, Measure::QueriesUnanswered), point.x, "{at}");
            } else {
                assert_eq!(value(point, Measure::QueriesUnanswered), 0.0, "{at}");
                assert_eq!(
                    value(point, Measure::QueriesAnswered),
                    value(point, Measure::QueriesSent),
                    "{at}"
                );
            }
            if series.name.starts_with("query") {
                let sent = value(point, Measure::QueriesSent);
                assert!((70.0..=78.0).contains(&sent), "{sent} sent, {at}");
                let measured = value(point, Measure::QueriesMeasured);
                assert!(
                    (50.0..=60.0).contains(&measured),
                    "{measured} measured, {at}"
                );
            }
        }
    }
    assert!(
        report.slopes.iter().all(|slope| slope.line.is_some()),
        "{:?}",
        report.slopes
    );
    assert!(
        report.ratios.iter().all(|ratio| ratio.value.is_some()),
        "{:?}",
        report.ratios
    );
    let targets: Vec<f64> = report
        .ratios
        .iter()
        .filter_map(|ratio| ratio.target)
        .collect();
    assert_eq!(targets, [1.5, 1.5, 3.0]);
    let written = String::from_utf8_lossy(&output.stdout);
    let last = written.lines().last().unwrap_or_default();
    assert_eq!(last, report.summary().to_string());
    assert!(
        last.starts_with("SCALE series 13, points 29, cut 0, refused 0, failed 0, aims "),
        "{last}"
    );
    for file in ["scale.json", "scale.md", "scale.png", "machine.txt"] {
        let length = std::fs::metadata(folder.path().join("out").join(file))
            .expect(file)
            .len();
        assert!(length > 100, "{file}: {length} bytes");
    }
    let page = std::fs::read_to_string(folder.path().join("out/scale.md")).expect("the page");
    for text in names
        .into_iter()
        .chain(["in process, without sockets", "resident memory an entry"])
    {
        assert!(page.contains(text), "{text} is not on the page");
    }
    assert!(
        report.ratios.iter().all(|ratio| page.contains(&ratio.name)),
        "{page}"
    );
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let work = Work::Queries {
        workload: workload(12, 8),
        warm_up: 20,
        queries: 200,
    };
    let first = measure(&spec(300, work.clone()));
    let second = measure(&spec(300, work));
    assert_eq!(first.outcome, Outcome::Measured, "{}", first.note);
    assert_eq!(counts(&first.values), counts(&second.values));
}

#[test]
fn a_query_needs_the_same_operations_in_a_fleet_ten_times_as_large() {
    let same_shards = Workload {
        shards: 100,
        ..workload(12, 8)
    };
    let work = Work::Queries {
        workload: same_shards,
        warm_up: 200,
        queries: 200,
    };
    let sample = |servers| measure(&spec(servers, work.clone())).values;
    let (small, large) = (sample(300), sample(3_000));
    for measure in [Measure::Attempts, Measure::Calls, Measure::Batches] {
        let ratio = large[&measure] / small[&measure];
        assert!(
            (0.95..=1.05).contains(&ratio),
            "{measure:?}: {} and {}",
            small[&measure],
            large[&measure]
        );
    }
    let parts = 12.0 * large[&Measure::QueriesSent];
    assert!(
        large[&Measure::Attempts] <= 1.05 * parts,
        "{} attempts for {parts} parts",
        large[&Measure::Attempts]
    );
}

#[test]
fn the_bytes_of_a_change_do_not_depend_on_the_size_of_the_fleet() {
    let bytes = |servers, entries| {
        let sample = measure(&spec(
            servers,
            Work::Changes {
                entries,
                messages: 4,
            },
        ));
        assert_eq!(sample.outcome, Outcome::Measured, "{}", sample.note);
        sample.values[&Measure::ChangeBytes]
    };
    assert_eq!(bytes(300, 1), bytes(6_000, 1));
    assert_eq!(bytes(300, 50), bytes(6_000, 50));
    let (one, fifty) = (bytes(300, 1), bytes(300, 50));
    assert!(fifty / 50.0 < one, "{one} bytes for one, {fifty} for fifty");
}

#[test]
fn the_watch_reads_the_snapshot_and_changes_that_a_fleet_writes() {
    let snapshot = watch::read_snapshot(fleet(1_000), 9).expect("a list");
    assert_eq!(
        (snapshot.update.version, snapshot.update.snapshot),
        (9, true)
    );
    let chunks: String = fleet(1_000).snapshot(9).collect();
    assert_eq!(chunks.len(), snapshot.bytes);
    assert_eq!(
        endpoint_updates::parse(chunks.as_bytes()),
        Ok(Some(snapshot.update.clone()))
    );
    let groups: Vec<u16> = snapshot
        .update
        .entries
        .iter()
        .map(|entry| entry.cell)
        .collect();
    assert_eq!(
        groups,
        (0..1_000).map(|number| number / 3).collect::<Vec<u16>>()
    );
    let change = endpoint_updates::parse(
        fleet(1_000)
            .change(10, 998, 4, EndpointStatus::Draining)
            .as_bytes(),
    );
    let change = change.expect("a change").expect("a change with entries");
    let names: Vec<&str> = change.entries.iter().map(|entry| &*entry.name).collect();
    assert_eq!(
        names,
        [
            "leaf-000003e6",
            "leaf-000003e7",
            "leaf-00000000",
            "leaf-00000001"
        ]
    );
}

#[test]
fn a_snapshot_over_the_watch_size_limit_is_reported_as_refused_with_its_size() {
    const MIN_ENTRY_BYTES: u64 = 120;
    let servers = MAX_UPDATE_BYTES as u64 / MIN_ENTRY_BYTES + 1;
    let fleet = Fleet {
        servers,
        replicas: 64,
        zones: 15,
    };
    let sample = measure(&Spec {
        fleet,
        seed: 7,
        work: Work::List,
        time_limit_ms: 60_000,
    });
    assert_eq!(sample.outcome, Outcome::Refused, "{}", sample.note);
    assert!(
        sample.note.starts_with("refused: over the bound"),
        "{}",
        sample.note
    );
    assert!(sample.values[&Measure::ListBytes] > MAX_UPDATE_BYTES as f64);
}

#[test]
fn a_point_past_its_time_limit_is_cut_and_its_note_says_so() {
    let work = Work::Queries {
        workload: workload(12, 8),
        warm_up: 0,
        queries: 1_000_000,
    };
    let sample = measure(&Spec {
        time_limit_ms: 1_000,
        ..spec(300, work)
    });
    assert_eq!(sample.outcome, Outcome::Cut);
    let measured = sample.values[&Measure::QueriesMeasured];
    assert!(measured > 0.0 && measured < 1e6);
    assert_eq!(sample.note, format!("cut after {measured} queries"));
}

#[test]
fn a_process_that_exceeds_its_time_limit_or_fails_gives_a_failed_point() {
    let work = Work::Queries {
        workload: workload(12, 8),
        warm_up: 0,
        queries: 1_000_000,
    };
    let endless = Spec {
        time_limit_ms: 60_000,
        ..spec(300, work)
    };
    let started_at = Instant::now();
    let sample = child::measure(Path::new(LAB), &endless, Duration::from_millis(200));
    assert_eq!(sample.outcome, Outcome::Failed);
    assert_eq!(sample.note, "process killed after its time limit of 0.2 s");
    assert!(started_at.elapsed() < Duration::from_secs(30));
    let not_started = child::measure(
        Path::new("/nowhere/cottonhill-lab"),
        &endless,
        Duration::from_secs(1),
    );
    assert_eq!(not_started.outcome, Outcome::Failed);
    let quick = spec(
        30,
        Work::Changes {
            entries: 1,
            messages: 1,
        },
    );
    let sample = child::measure(Path::new(LAB), &quick, Duration::from_secs(20));
    assert_eq!(
        (sample.outcome, sample.note.as_str()),
        (Outcome::Measured, "")
    );
}

#[test]
fn open_queries_are_answered_once_after_the_virtual_clock_advances() {
    let workload_40_open = workload(12, 40);
    let mut driver = Driver::new(fleet(300), 7).expect("a mixer");
    driver.apply_update(watch::read_snapshot(fleet(300), 1).expect("a list").update);
    driver.connect_clients(&workload_40_open);
    driver.send_on_all_clients(&workload_40_open, 100);
    assert_eq!(
        (driver.counts().unanswered(), driver.counts().attempts),
        (40, 480)
    );
    driver.drain(Instant::now() + Duration::from_secs(20));
    let counts = driver.counts();
    assert_eq!(
        (
            counts.answered,
            counts.refused,
            counts.duplicate_replies,
            counts.unanswered()
        ),
        (40, 0, 0, 0)
    );
}

fn settings_error(settings: &str) -> String {
    let read = Settings::parse(&SCHEMA, "scale.ini", settings).map_err(Failure::settings);
    let failure = read
        .and_then(|settings| ScaleSettings::read(&settings))
        .expect_err("invalid settings");
    assert_eq!(failure.code(), 3);
    failure.to_string()
}

#[test]
fn invalid_settings_are_reported_with_their_line_and_the_nearest_key() {
    let cases = [
        (
            "[scale]\nservres = 300\n",
            "scale.ini:2: [scale] has no key 'servres'; the nearest is 'servers'",
        ),
        (
            "[scal]\nservers = 300\n",
            "scale.ini:1: there is no section [scal]; the nearest is 'scale'",
        ),
        (
            "[scale]\n\nservers = 300, 200\n",
            "scale.ini:3: [scale] servers: has to be whole numbers from 1 to 1000000",
        ),
        (
            "[scale]\nopen = 8, many\n",
            "scale.ini:2: [scale] open: has to be whole numbers",
        ),
        (
            "[scale]\nparts = \n",
            "scale.ini:2: [scale] parts: has to be whole numbers",
        ),
        (
            "[scale]\ncopies = 0\n",
            "scale.ini:2: [scale] copies = 0: has to be a whole number from 1 to 64",
        ),
        (
            "[scale]\npoint_time = 10\n",
            "scale.ini:2: [scale] point_time = 10: ",
        ),
        (
            "[scale]\nservers = 30, 300\n",
            "scale.ini:2: [scale] servers: the smallest fleet has fewer shards",
        ),
        (
            "[scale]\nservers = 300, 200000\n",
            "scale.ini:2: [scale] servers: the largest fleet has more than 65536",
        ),
        (
            "[scale]\nlinks = 300, 4000\n",
            "scale.ini:2: [scale] links: more connections than base_servers",
        ),
        (
            "[log]\nformat = jsn\n",
            "scale.ini:2: [log] format = jsn: the nearest is 'json'",
        ),
    ];
    for (settings, expected) in cases {
        let message = settings_error(settings);
        assert!(message.starts_with(expected), "{settings}: {message}");
    }
}

#[test]
fn the_command_line_reports_invalid_settings_with_exit_code_3() {
    let (_folder, output) = lab("[scale]\nqueriess = 1\n", &["scale"]);
    assert_eq!(output.status.code(), Some(3));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("the nearest is 'queries'"), "{message}");
}

#[test]
fn the_committed_settings_file_writes_out_all_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/scale.ini");
    let text = std::fs::read_to_string(path).expect("the settings file");
    let committed = Settings::parse(&SCHEMA, "lab/scale.ini", &text).expect("valid settings");
    let scale = |settings: &Settings| ScaleSettings::read(settings).expect("valid settings");
    assert_eq!(scale(&committed), scale(&Settings::defaults()));
    for setting in committed.effective_values(&SCHEMA) {
        assert_ne!(
            setting.origin,
            cottonhill_ini::Origin::Default,
            "{} is missing from the file",
            setting.key
        );
    }
}

#[test]
fn the_machine_record_contains_no_host_name() {
    let written = format!("{:?}", machine::Machine::read());
    let host = std::fs::read_to_string("/proc/sys/kernel/hostname").unwrap_or_default();
    assert!(
        host.trim().is_empty() || !written.contains(host.trim()),
        "{written}"
    );
    assert!(
        !written.contains('/') || written.contains("unknown"),
        "{written}"
    );
}
