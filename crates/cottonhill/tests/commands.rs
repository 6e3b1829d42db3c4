//! The command line: output, error messages and exit codes.

use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cottonhill"));
    command
        .args(arguments)
        .env_remove("BALANCER_CONFIG")
        .env_remove("COTTONHILL_SETTINGS");
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the program starts")
}

fn standard_error(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Invalid settings, each with the start of the expected error message after the file name.
const INVALID_SETTINGS: &[(&str, &str)] = &[
    ("[loge]\nlevel = info\n", "1: there is no section [loge]; the nearest is 'log'"),
    ("[log]\n\nlevl = info\n", "3: [log] has no key 'levl'; the nearest is 'level'"),
    ("[log]\nlevel = loud\n", "2: [log] level = loud"),
    ("[usage]\ndirectory = x\nstall = 5\n", "3: [usage] stall = 5: has to be a whole number and a unit"),
    ("[usage]\ndirectory = x\nsegment = 8MB\n", "3: [usage] segment = 8MB"),
    ("[usage]\nlisten = 127.0.0.1:1\n", "2: [usage] listen: requires 'directory': there is no log to collect"),
    ("[usage]\ndirectory = x\nkeep = 1MiB\n", "3: [usage] keep: must be at least twice 'segment'"),
    ("[log]\nlevel = info\nlevel = warn\n", "3: [log] level is set twice"),
    ("[log]\n[log]\n", "2: [log] occurs twice"),
    ("[price]\nwhole = 1\n", "1: [price] has to be of the form [price NAME]"),
    ("[price x]\npartial = 1\n", "1: [price x] whole: is missing"),
    ("[member n0]\naddress = localhost:1\n", "2: [member n0] address"),
    ("[periods]\nevery = weekly\n", "2: [periods] every = weekly"),
    ("[periods]\nzone = Asia/Colomb\n", "2: [periods] zone: unknown time zone 'Asia/Colomb'"),
    ("[export]\nurl = ftp://x\n", "2: [export] url: must start with http://"),
    ("[opensearch]\nlisten = 127.0.0.1:1\n", "2: [opensearch] listen: there is no [index NAME]"),
    ("[opensearch]\nlisten = 127.0.0.1:1\n[index a]\nclass = c\nshards = 0-3,2\n", "5: [index a] shards: shard 2"),
    (
        "[opensearch]\nlisten = 127.0.0.1:1\ntenant-by = network\n[index a]\nclass = c\nshards = 0\n\
         [network x]\ntenant = t\nprefixes = 10.0.0.0/8\n[network y]\ntenant = t\nprefixes = 10.1.0.0/16\n",
        "12: [network y] prefixes: 10.1.0.0/16 is inside a network of 't' already",
    ),
    ("level = info\n", "1: 'level' is not in any section"),
];

#[test]
fn invalid_settings_are_reported_on_one_line_with_exit_code_3() {
    let directory = tempfile::tempdir().unwrap();
    for (number, (text, expected)) in INVALID_SETTINGS.iter().enumerate() {
        let path = directory.path().join(format!("{number}.ini"));
        fs::write(&path, text).unwrap();
        let path = path.display().to_string();
        let output = run(&["check", "--settings", &path]);
        let error_text = standard_error(&output);
        assert_eq!(output.status.code(), Some(3), "{text}: {error_text}");
        assert!(
            error_text.contains(&format!("{path}:{expected}")) && error_text.lines().count() == 1,
            "{text}: {error_text}"
        );
    }
}

#[test]
fn exit_code_depends_on_the_kind_of_failure() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("not.json");
    fs::write(&path, "[workspace]\n").unwrap();
    let json = path.display().to_string();
    let cases: [(&[&str], i32, &str); 8] = [
        (&[], 3, "BALANCER_CONFIG"),
        (&["--config", "/nowhere"], 3, "/nowhere"),
        (&["serve", "--config", &json], 3, "expected"),
        (&["ledger", "status"], 3, "[settlement] store"),
        (&["sever"], 2, "serve"),
        (&["ledger", "statement", "--format", "xml"], 2, "json"),
        (&["ledger", "verify", "--log", "/nowhere"], 1, "/nowhere"),
        (&["ledger", "dump", "--log", "/nowhere"], 1, "/nowhere"),
    ];
    for (arguments, code, expected) in cases {
        let output = run(arguments);
        let error_text = standard_error(&output);
        assert_eq!(
            output.status.code(),
            Some(code),
            "{arguments:?}: {error_text}"
        );
        assert!(
            error_text.contains(expected) && !error_text.contains("panicked"),
            "{arguments:?}: {error_text}"
        );
    }
}

#[test]
fn check_prints_every_value_with_its_origin() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("own.ini");
    fs::write(&path, "[log]\nlevel = warn\n\n[price lookup]\nwhole = 12\n").unwrap();
    let output = run(&["check", "--settings", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let row = |name: &str| {
        text.lines()
            .find(|line| line.contains(name))
            .unwrap_or_default()
            .to_string()
    };
    assert!(
        row("[log] level").contains("warn") && row("[log] level").contains("own.ini:2"),
        "{text}"
    );
    assert!(
        row("[log] format").contains("default") && row("[log] format").contains("at a start"),
        "{text}"
    );
    assert!(row("[price lookup] whole").contains("own.ini:5"), "{text}");
}

/// The sample settings file is valid, and with all keys uncommented no value is left to its default.
#[test]
fn sample_settings_document_every_key_with_its_default() {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cottonhill.ini");
    let text = fs::read_to_string(&sample).unwrap();
    let output = run(&["check", "--settings", sample.to_str().unwrap()]);
    assert!(output.status.success(), "{}", standard_error(&output));
    // The same file with all keys uncommented.
    let folder = tempfile::tempdir().unwrap();
    let all_keys = folder.path().join("all.ini");
    let uncommented: String = text
        .lines()
        .map(|line| format!("{}\n", line.strip_prefix("# ").unwrap_or(line)))
        .collect();
    fs::write(&all_keys, uncommented.replace("; ", "#")).unwrap();
    let output = run(&["check", "--settings", all_keys.to_str().unwrap()]);
    let shown = String::from_utf8(output.stdout.clone()).unwrap();
    assert!(output.status.success(), "{}", standard_error(&output));
    let settings: Vec<&str> = shown
        .lines()
        .filter(|line| line.starts_with('[') || line.starts_with(" ["))
        .collect();
    let missing: Vec<&&str> = settings
        .iter()
        .filter(|line| line.contains(" default "))
        .collect();
    assert!(
        settings.len() >= 28 && missing.is_empty(),
        "not in the sample: {missing:#?}"
    );
}

#[test]
fn closed_standard_output_is_not_an_error_and_completions_are_printed() {
    let mut child = command(&["completions", "bash"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{output:?}"
    );
    let script = run(&["completions", "zsh"]).stdout;
    assert!(String::from_utf8(script)
        .unwrap()
        .contains("#compdef cottonhill"));
    let help = String::from_utf8(run(&["--help"]).stdout).unwrap();
    assert!(
        help.contains("Examples:") && help.contains("Exit codes:"),
        "{help}"
    );
}
