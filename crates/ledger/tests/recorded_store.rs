//! A store and usage logs that an earlier version wrote (`tests/data`) must verify and give the same statements.

use cottonhill_ledger::log::{self, Item};
use cottonhill_ledger::settle::JoinLimits;
use cottonhill_ledger::store::Store;
use std::fs;
use std::path::{Path, PathBuf};

/// The values of `tests/data/ledger.ini`.
const BOUNDS: JoinLimits = JoinLimits {
    horizon_ms: 2000,
    skew_ms: 100,
};
/// Statements, documents and periods in the store.
const CHECKED: u64 = 30;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Opens a copy: opening a store may write to it.
fn open_copy(directory: &Path) -> Store {
    let path = directory.join("ledger.sqlite");
    fs::copy(data("ledger.sqlite"), &path).unwrap();
    Store::open(&path).unwrap()
}

#[test]
fn a_store_of_an_earlier_version_verifies() {
    let directory = tempfile::tempdir().unwrap();
    let (checked, problems) = open_copy(directory.path()).verify(BOUNDS).unwrap();
    assert_eq!((checked, problems), (CHECKED, Vec::new()));
}

#[test]
fn statements_of_an_earlier_version_read_the_same() {
    let directory = tempfile::tempdir().unwrap();
    let statements = open_copy(directory.path()).statements().unwrap();
    let periods = fs::read_to_string(data("periods.txt")).unwrap();
    let names: Vec<&str> = statements
        .iter()
        .map(|(statement, ..)| statement.period.as_str())
        .collect();
    assert_eq!(names, periods.lines().collect::<Vec<_>>());
    for (statement, ..) in &statements {
        let file = format!("statements/{}.json", statement.period.replace(':', ""));
        let expected = fs::read_to_string(data(&file)).unwrap();
        let found = serde_json::to_string_pretty(statement).unwrap();
        assert_eq!(found, expected.trim_end(), "{file}");
    }
}

/// Entries and records of each member, as the earlier version counted them (`ledger verify`, `ledger dump`).
#[test]
fn usage_logs_of_an_earlier_version_are_read_without_damage() {
    let expected = [("n0", 849, 294), ("n1", 873, 318), ("n2", 360, 130)];
    for (member, entries, records) in expected {
        let segments = log::list_segments(&data(&format!("{member}.usage"))).unwrap();
        assert_eq!(segments.len(), 1, "{member}");
        let bytes = fs::read(&segments[0].path).unwrap();
        let (header, start) = log::read_header(&bytes).expect("a header");
        assert_eq!(header.mixer, member);
        assert_eq!(header.tenants, ["alpha", "beta", "gamma", "delta"]);
        let read = log::read_entries(&bytes, start, usize::MAX);
        assert_eq!(read.end, bytes.len(), "{member}: read to its end");
        let sequences = read.items.iter().filter_map(record_sequence);
        assert!(
            sequences.eq(1..=records),
            "{member}: {records} records in order"
        );
        assert_eq!(read.items.len(), entries, "{member}");
    }
}

fn record_sequence(item: &Item) -> Option<u64> {
    use cottonhill_ledger::wire::entry::What;
    match item {
        Item::Entry(entry) => match entry.what.as_ref()? {
            What::Record(record) => Some(record.sequence),
            _ => None,
        },
        Item::Damage(from, to) => panic!("damaged from {from} to {to}"),
    }
}
