//! Characterization test of the command line: help texts, the output of `check`, error messages with exit codes, the keys
//! of the settings file, and the output of the ledger commands for recorded data.

mod support;

use std::fs;
use std::path::Path;
use support::{assert_golden, crate_path, run_in, transcript};

/// Directory with a ledger that an earlier version of the program wrote; its README describes it.
const LEDGER_DATA: &str = "../ledger/tests/data";

/// Runs commands in a directory one after the other and compares all of their output with the golden text.
fn assert_runs(golden: &str, directory: &Path, commands: &[&[&str]]) {
    let mut text = String::new();
    for arguments in commands {
        text += &transcript(arguments, &run_in(directory, arguments));
    }
    assert_golden(golden, &text);
}

#[test]
fn help_texts_are_unchanged() {
    let top: [&[&str]; 5] = [&[], &["serve"], &["check"], &["completions"], &["ledger"]];
    let ledger = [
        "serve",
        "status",
        "periods",
        "statement",
        "correct",
        "export",
        "reconcile",
        "verify",
        "dump",
        "key",
    ];
    let mut text = String::new();
    let commands = top.into_iter().map(<[&str]>::to_vec);
    for mut arguments in commands.chain(ledger.map(|name| vec!["ledger", name])) {
        arguments.push("--help");
        text += &transcript(&arguments, &run_in(&crate_path("tests/data"), &arguments));
    }
    assert_golden("help.txt", &text);
}

#[test]
fn check_prints_the_recorded_values_and_origins() {
    assert_runs(
        "check.txt",
        &crate_path("tests/data"),
        &[
            &["check"],
            &["check", "--config", "mixer.json"],
            &["check", "--settings", "cottonhill.ini"],
            &[
                "check",
                "--config",
                "mixer.json",
                "--settings",
                "cottonhill.ini",
            ],
        ],
    );
}

#[test]
fn invalid_command_lines_fail_with_the_recorded_message() {
    assert_runs(
        "usage_errors.txt",
        &crate_path("tests/data"),
        &[
            &["sever"],
            &["--nothing"],
            &["ledger"],
            &["ledger", "statement", "--format", "xml"],
            &["ledger", "correct", "--tenant", "alpha"],
            &["ledger", "key", "only-a-class"],
            &["completions", "tcsh"],
            &["ledger", "key", "chart-ranking", "order-17"],
            &["ledger", "verify", "--log", "missing"],
            &["ledger", "dump", "--log", "missing"],
        ],
    );
}

#[test]
fn invalid_configurations_fail_with_the_recorded_message() {
    let directory = tempfile::tempdir().unwrap();
    let config = fs::read_to_string(crate_path("tests/data/mixer.json")).unwrap();
    let changed = |from: &str, to: &str| {
        assert!(config.contains(from), "{from}");
        config.replacen(from, to, 1)
    };
    let configs = [
        ("not-json.json", "[workspace]\n".to_string()),
        ("empty.json", "{}".to_string()),
        ("listen.json", changed("127.0.0.1:7070", "somewhere")),
        ("seed.json", changed("8c1f30d27a5be964", "tomorrow")),
        (
            "deadline.json",
            changed("\"give_up_ns\": 1200000000", "\"give_up_ns\": 0"),
        ),
        ("semantics.json", changed("read_like", "whatever")),
        (
            "phase.json",
            changed("\"second_step\": [0,", "\"second_step\": [1,"),
        ),
        (
            "sockets.json",
            changed("\"sockets\": 1024", "\"sockets\": 4"),
        ),
    ];
    for (name, text) in &configs {
        fs::write(directory.path().join(name), text).unwrap();
    }
    let mut commands: Vec<Vec<&str>> = vec![vec!["serve"], vec![]];
    commands.push(vec!["serve", "--config", "missing.json"]);
    for (name, _) in &configs {
        commands.push(vec!["check", "--config", name]);
    }
    let commands: Vec<&[&str]> = commands.iter().map(Vec::as_slice).collect();
    assert_runs("configuration_errors.txt", directory.path(), &commands);
}

#[test]
fn invalid_settings_fail_with_the_recorded_message() {
    let directory = tempfile::tempdir().unwrap();
    let settings = [
        ("section.ini", "[loge]\nlevel = info\n"),
        ("key.ini", "[log]\nlevl = info\n"),
        ("level.ini", "[log]\nlevel = loud\n"),
        ("targets.ini", "[log]\ntargets = a=b=c\n"),
        ("unit.ini", "[usage]\ndirectory = x\nstall = 5\n"),
        ("size.ini", "[usage]\ndirectory = x\nkeep = 1MiB\n"),
        ("zone.ini", "[periods]\nzone = Asia/Colomb\n"),
        ("price.ini", "[price x]\npartial = 1\n"),
        ("url.ini", "[export]\nurl = ftp://x\n"),
        ("index.ini", "[opensearch]\nlisten = 127.0.0.1:1\n"),
        ("two-errors.ini", "[log]\nlevl = info\n[price]\nwhole = 1\n"),
        ("store.ini", "[settlement]\nstore = missing.sqlite\n"),
    ];
    for (name, text) in settings {
        fs::write(directory.path().join(name), text).unwrap();
    }
    let mut commands: Vec<Vec<&str>> = settings
        .iter()
        .map(|(name, _)| vec!["check", "--settings", name])
        .collect();
    commands.push(vec!["check", "--settings", "missing.ini"]);
    commands.push(vec!["ledger", "status"]);
    commands.push(vec!["ledger", "serve"]);
    for command in ["status", "periods", "verify", "dump", "export"] {
        commands.push(vec!["ledger", command, "--settings", "store.ini"]);
    }
    let store = ["ledger", "reconcile", "--settings", "store.ini"];
    commands.push(store.to_vec());
    let commands: Vec<&[&str]> = commands.iter().map(Vec::as_slice).collect();
    assert_runs("settings_errors.txt", directory.path(), &commands);
}

/// The sample settings with all keys uncommented.
fn uncommented(sample: &str) -> String {
    let lines = sample
        .lines()
        .map(|line| format!("{}\n", line.strip_prefix("# ").unwrap_or(line)));
    lines.collect::<String>().replace("; ", "#")
}

/// Every key of `deploy/cottonhill.ini`, its value there, and whether a reload applies a change. The column with the line
/// of the value is omitted, because edits of comments move the lines.
#[test]
fn the_keys_of_the_settings_file_are_unchanged() {
    let sample = fs::read_to_string(crate_path("../../deploy/cottonhill.ini")).unwrap();
    let directory = tempfile::tempdir().unwrap();
    fs::write(directory.path().join("all.ini"), uncommented(&sample)).unwrap();
    let output = run_in(directory.path(), &["check", "--settings", "all.ini"]);
    assert!(output.status.success(), "{output:?}");
    let table = String::from_utf8(output.stdout).unwrap();
    let header = table.lines().next().unwrap();
    let (from, changes) = (
        header.find("FROM").unwrap(),
        header.find("CHANGES").unwrap(),
    );
    let row = |line: &str| format!("{}{}\n", &line[..from], line[changes..].trim_end());
    assert_golden(
        "settings_keys.txt",
        &table.lines().map(row).collect::<String>(),
    );
}

fn copy_ledger_data(to: &Path) {
    let from = crate_path(LEDGER_DATA);
    for name in ["ledger.sqlite", "ledger.ini"] {
        fs::copy(from.join(name), to.join(name)).unwrap();
    }
    for member in ["n0.usage", "n1.usage", "n2.usage"] {
        fs::create_dir(to.join(member)).unwrap();
        for segment in fs::read_dir(from.join(member)).unwrap() {
            let segment = segment.unwrap();
            fs::copy(segment.path(), to.join(member).join(segment.file_name())).unwrap();
        }
    }
}

/// A ledger command with the recorded settings.
fn ledger<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    [&["ledger", "--settings", "ledger.ini"], arguments].concat()
}

#[test]
fn ledger_commands_print_the_recorded_output() {
    let directory = tempfile::tempdir().unwrap();
    copy_ledger_data(directory.path());
    let periods: Vec<String> = fs::read_to_string(crate_path(LEDGER_DATA).join("periods.txt"))
        .unwrap()
        .lines()
        .map(str::to_string)
        .collect();
    let mut commands = vec![
        ledger(&["status"]),
        ledger(&["status", "--format", "csv"]),
        ledger(&["periods"]),
        ledger(&["periods", "--format", "json"]),
        ledger(&["statement"]),
        ledger(&["statement", "--format", "csv"]),
        ledger(&["statement", "--tenant", "alpha", "--format", "json"]),
        ledger(&["statement", "2026-01-01T00:00:00Z"]),
        ledger(&["statement", "yesterday"]),
        ledger(&["export", "--list"]),
        ledger(&["export", "--list", "--format", "csv"]),
        ledger(&["export"]),
        ledger(&["reconcile"]),
        ledger(&["verify"]),
        ledger(&["verify", "--log", "n0.usage", "--log", "n1.usage"]),
        vec!["ledger", "verify", "--log", "n2.usage"],
    ];
    for period in &periods {
        let mut command = ledger(&["statement"]);
        command.push(period);
        commands.push(command);
    }
    let commands: Vec<&[&str]> = commands.iter().map(Vec::as_slice).collect();
    assert_runs("ledger.txt", directory.path(), &commands);
}

/// Corrections of a closed period, of an open period and with an id that already exists, and the documents that `export`
/// sends.
#[test]
fn corrections_and_exports_produce_the_recorded_output_and_documents() {
    let directory = tempfile::tempdir().unwrap();
    copy_ledger_data(directory.path());
    let settings = directory.path().join("ledger.ini");
    let text = fs::read_to_string(&settings).unwrap() + "\n[export]\nfolder = documents\n";
    fs::write(&settings, text).unwrap();
    let correct = |period, id| {
        let mut command = ledger(&["correct", "--tenant", "gamma", "--amount", "-45"]);
        command.extend(["--reason", "wrong class", "--author", "op1"]);
        command.extend(["--period", period, "--id", id]);
        command
    };
    let commands = [
        correct("2026-12-03T09:34:10Z", "c-3"),
        correct("2026-12-03T09:34:10Z", "c-3"),
        correct("2026-12-03T09:34:15Z", "c-4"),
        correct("2026-12-03T09:35:30Z", "c-5"),
        correct("noon", "c-6"),
        ledger(&["status"]),
        ledger(&["export", "--within", "soon"]),
        ledger(&["export", "--format", "csv"]),
        ledger(&["status"]),
        ledger(&["verify"]),
    ];
    let commands: Vec<&[&str]> = commands.iter().map(Vec::as_slice).collect();
    assert_runs("ledger_corrections.txt", directory.path(), &commands);
    let documents = fs::read_dir(directory.path().join("documents")).unwrap();
    let mut paths: Vec<_> = documents.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let mut text = String::new();
    for path in paths {
        let name = path.file_name().unwrap().to_str().unwrap();
        let bytes = fs::read(&path).unwrap();
        text += &format!("{name} {}\n", cottonhill_ledger::store::digest(&bytes));
    }
    assert_golden("ledger_documents.txt", &text);
}

/// Flipped bits in a usage log, and client records and counters that differ from the ledger.
#[test]
fn damage_and_differences_are_reported_as_recorded() {
    let directory = tempfile::tempdir().unwrap();
    copy_ledger_data(directory.path());
    let segment = fs::read_dir(directory.path().join("n1.usage"))
        .unwrap()
        .next()
        .unwrap()
        .unwrap()
        .path();
    let mut bytes = fs::read(&segment).unwrap();
    bytes[5000] ^= 1;
    bytes[12_000] ^= 0x80;
    fs::write(&segment, &bytes).unwrap();
    fs::write(
        directory.path().join("clients.csv"),
        "at_ms,tenant,class,outcome,tries,key\n1796290471000,alpha,chart-ranking,whole,1,\n",
    )
    .unwrap();
    fs::write(
        directory.path().join("n0.json"),
        "{\"recorded_of\": {\"alpha\": 1}}\n",
    )
    .unwrap();
    let commands = [
        ledger(&["verify", "--log", "n1.usage"]),
        ledger(&["reconcile", "--counters", "n0.json"]),
        ledger(&["reconcile", "--counters", "n0=n0.json"]),
        ledger(&["reconcile", "--clients", "missing.csv"]),
        ledger(&["reconcile", "--clients", "clients.csv", "--format", "csv"]),
    ];
    let commands: Vec<&[&str]> = commands.iter().map(Vec::as_slice).collect();
    assert_runs("ledger_damage.txt", directory.path(), &commands);
}

#[test]
fn dumps_of_recorded_data_are_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    copy_ledger_data(directory.path());
    // Only the first lines of each dump are recorded in full, and a digest of all lines.
    let mut text = String::new();
    for options in [vec![], vec!["--log", "n0.usage"], vec!["--log", "n2.usage"]] {
        let mut arguments = ledger(&["dump", "--format", "csv"]);
        arguments.extend::<Vec<&str>>(options);
        let output = run_in(directory.path(), &arguments);
        assert!(output.status.success(), "{output:?}");
        let digest = cottonhill_ledger::store::digest(&output.stdout);
        let dump = String::from_utf8(output.stdout).unwrap();
        text += &format!("$ cottonhill {}\n", arguments.join(" "));
        dump.lines().take(20).for_each(|line| {
            text += line;
            text += "\n";
        });
        text += &format!("{} lines, SHA-256 {digest}\n\n", dump.lines().count());
    }
    assert_golden("ledger_dump.txt", &text);
}
