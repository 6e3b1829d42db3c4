//! The settlement's store under duplicate, late, reordered and missing records, and crashes between the steps.

use cottonhill_ledger::export::{self, Document};
use cottonhill_ledger::log::Position;
use cottonhill_ledger::period::{Calendar, Period, PeriodLength};
use cottonhill_ledger::rate::Counts;
use cottonhill_ledger::settings::{ClassPrice, ExportSettings};
use cottonhill_ledger::settle::JoinLimits;
use cottonhill_ledger::store::{CloseParameters, CorrectionLine, Statement, Store};
use cottonhill_ledger::wire::{entry::What, Batch, Class, Entry, Header, Mark, Outcome, Record};
use cottonhill_ledger::writer;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

const BOUNDS: JoinLimits = JoinLimits {
    horizon_ms: 150,
    skew_ms: 20,
};
const PERIOD: i64 = 1000;
const FIRST: i64 = 1_000_000;

fn calendar() -> Calendar {
    Calendar(PeriodLength::FixedMs(PERIOD))
}

fn period(n: i64) -> Period {
    Period {
        start: FIRST + n * PERIOD,
        end: FIRST + (n + 1) * PERIOD,
    }
}

struct Fixture {
    _folder: tempfile::TempDir,
    path: PathBuf,
    store: Store,
    prices: BTreeMap<String, ClassPrice>,
    allowances: BTreeMap<String, u64>,
}

impl Fixture {
    fn new() -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("ledger.sqlite");
        let store = Store::open(&path).unwrap();
        let prices = BTreeMap::from([(
            "c".to_string(),
            ClassPrice {
                complete: 10,
                partial: 7,
            },
        )]);
        Fixture {
            _folder: folder,
            path,
            store,
            prices,
            allowances: BTreeMap::from([("t".to_string(), 1)]),
        }
    }

    /// The process crashes here and starts again.
    fn crash(&mut self) {
        self.store = Store::open(&self.path).unwrap();
    }

    fn ingest(&mut self, member: &str, batch: &Batch) -> cottonhill_ledger::store::Ingested {
        self.store
            .ingest(member, batch, &calendar(), BOUNDS)
            .unwrap()
    }

    fn close(&mut self, n: i64, missing: &[&str]) -> Statement {
        let missing: Vec<String> = missing.iter().map(|name| name.to_string()).collect();
        let parameters = CloseParameters {
            bounds: BOUNDS,
            prices: &self.prices,
            allowances: &self.allowances,
            members: vec!["n0".into(), "n1".into()],
            missing: &missing,
            now: FIRST + 100 * PERIOD,
        };
        self.store.close(period(n), &parameters).unwrap()
    }

    fn assert_consistent(&self) {
        let (checked, problems) = self.store.verify(BOUNDS).unwrap();
        assert!(checked > 0 && problems.is_empty(), "{problems:?}");
    }
}

fn header(incarnation: u64, tenants: &[&str]) -> Option<Header> {
    let classes = vec![Class {
        name: "c".into(),
        give_up_ms: 100,
    }];
    let tenants = tenants.iter().map(|name| name.to_string()).collect();
    Some(Header {
        version: 1,
        mixer: "n0".into(),
        incarnation,
        first_sequence: 1,
        classes,
        tenants,
    })
}

fn batch(incarnation: u64, entries: Vec<What>) -> Batch {
    let entries = entries
        .into_iter()
        .map(|what| Entry { what: Some(what) })
        .collect();
    Batch {
        header: header(incarnation, &["t", "u"]),
        entries,
        damage: Vec::new(),
    }
}

fn answered(sequence: u64, at: i64, key: u64) -> Record {
    Record {
        key,
        parts: 1,
        attempts: 1,
        ..writer::new_record(sequence, at as u64, Outcome::Whole, 0)
    }
}

fn retry(record: Record) -> What {
    What::Record(Record {
        repeat: true,
        ..record
    })
}

fn rejected(sequence: u64, at: i64, key: u64) -> What {
    What::Record(Record {
        outcome: Outcome::Refused.into(),
        ..answered(sequence, at, key)
    })
}

fn watermark(sequence: u64, complete: i64, end: bool) -> What {
    What::Mark(Mark {
        sequence,
        complete_ms: complete as u64,
        end,
    })
}

fn uses(statement: &Statement, adjusts: bool) -> i64 {
    statement
        .lines
        .iter()
        .filter(|line| line.adjusts == adjusts)
        .map(|line| line.counts.uses)
        .sum()
}

#[test]
fn duplicate_records_in_any_order_and_after_a_crash_change_nothing() {
    let mut fixture = Fixture::new();
    let first = batch(
        1,
        vec![
            What::Record(answered(1, FIRST, 2)),
            rejected(2, FIRST + 5, 4),
        ],
    );
    let second = batch(
        1,
        vec![
            retry(answered(3, FIRST + 60, 4)),
            watermark(3, FIRST + 5000, false),
        ],
    );
    assert_eq!(fixture.ingest("n0", &first).new, 2);
    // A crash between ingestion and acknowledgement: the batch is sent again.
    fixture.crash();
    assert_eq!(
        (
            fixture.ingest("n0", &first).duplicates,
            fixture.ingest("n0", &second).new,
            fixture.ingest("n0", &first).duplicates
        ),
        (2, 1, 2)
    );
    assert_eq!(
        fixture.store.position("n0").unwrap(),
        Position {
            incarnation: 1,
            sequence: 3
        }
    );
    let statement = fixture.close(0, &[]);
    assert_eq!(
        (
            uses(&statement, false),
            statement.total,
            statement.lines[0].counts.tries
        ),
        (2, 20, 3)
    );
    assert_eq!(fixture.store.member_statuses().unwrap()[0].lost_records, 0);
    assert!(
        (
            statement.tenants[0].above_allowance,
            statement.tenants[0].answered
        ) == (1, 2),
        "one use above the allowance of one"
    );
    fixture.assert_consistent();
}

#[test]
fn late_records_adjust_the_next_statement_and_keep_the_closed_one() {
    let mut fixture = Fixture::new();
    // A retry at the start of one period whose first attempt, at the end of the period before, is not yet collected.
    let orphan = batch(
        1,
        vec![
            retry(answered(1, FIRST + PERIOD + 30, 4)),
            watermark(1, FIRST + 9000, false),
        ],
    );
    fixture.ingest("n0", &orphan);
    let empty = fixture.close(0, &["n1"]);
    assert_eq!(
        (
            uses(&empty, false),
            empty.members[1].missing,
            empty.members[1].complete.clone()
        ),
        (0, true, None)
    );
    let first = fixture.close(1, &["n1"]);
    assert_eq!((uses(&first, false), first.total), (1, 10));
    let before = fixture.store.statements().unwrap();
    // The missing member delivers the first attempt: one use, in the period of the first attempt.
    let late = fixture.ingest(
        "n1",
        &batch(
            7,
            vec![
                rejected(1, FIRST + PERIOD - 20, 4),
                watermark(1, FIRST + 9000, false),
            ],
        ),
    );
    assert_eq!(late.late, 1);
    let next = fixture.close(2, &[]);
    let lines: Vec<(String, i64, i64)> = next
        .lines
        .iter()
        .map(|line| (line.period.clone(), line.counts.uses, line.amount))
        .collect();
    assert_eq!(
        lines,
        [(period(0).name(), 1, 10), (period(1).name(), -1, -10)]
    );
    assert_eq!(
        fixture.store.statements().unwrap()[..2],
        before[..],
        "byte for byte"
    );
    fixture.assert_consistent();
}

#[test]
fn a_late_record_from_before_the_first_period_is_not_lost() {
    let mut fixture = Fixture::new();
    fixture.ingest(
        "n0",
        &batch(1, vec![What::Record(answered(1, FIRST + 10, 2))]),
    );
    fixture.close(0, &[]);
    fixture.ingest(
        "n0",
        &batch(
            1,
            vec![What::Record(answered(2, FIRST - 5 * PERIOD + 10, 4))],
        ),
    );
    let next = fixture.close(1, &[]);
    assert_eq!(
        (uses(&next, true), next.lines[0].period.clone()),
        (1, period(-5).name())
    );
    fixture.assert_consistent();
}

#[test]
fn clock_skew_and_a_clock_set_back_count_each_use_once() {
    let mut fixture = Fixture::new();
    // The clock of n1 is behind: its retry seems to precede the first attempt, across the end of the period.
    fixture.ingest(
        "n0",
        &batch(
            1,
            vec![
                rejected(1, FIRST + PERIOD + 5, 4),
                watermark(1, FIRST + 5000, false),
            ],
        ),
    );
    fixture.ingest(
        "n1",
        &batch(
            1,
            vec![
                retry(answered(1, FIRST + PERIOD - 10, 4)),
                watermark(1, FIRST + 5000, false),
            ],
        ),
    );
    assert_eq!(uses(&fixture.close(0, &[]), false), 0);
    let first = fixture.close(1, &[]);
    assert_eq!(
        (
            uses(&first, false),
            first.lines[0].counts.whole,
            first.lines[0].counts.tries
        ),
        (1, 1, 2)
    );
    // A restart sets a clock back: its records are late, and counted nevertheless.
    fixture.ingest(
        "n0",
        &batch(
            2,
            vec![
                What::Record(answered(1, FIRST + 500, 6)),
                watermark(1, FIRST + 900, false),
            ],
        ),
    );
    assert_eq!(
        fixture.store.member_statuses().unwrap()[0].watermark_ms,
        FIRST + 900,
        "the watermark of the latest run applies"
    );
    let second = fixture.close(2, &[]);
    assert_eq!(
        (uses(&second, true), second.lines[0].period.clone()),
        (1, period(0).name())
    );
    fixture.assert_consistent();
}

#[test]
fn an_answer_right_before_a_mixer_crash_accepts_a_retry() {
    let mut fixture = Fixture::new();
    let last = vec![
        watermark(0, FIRST, false),
        What::Record(answered(1, FIRST + 10, 4)),
    ];
    fixture.ingest("n0", &batch(1, last));
    fixture.ingest(
        "n1",
        &batch(
            1,
            vec![
                retry(answered(1, FIRST + 60, 4)),
                watermark(1, FIRST + 5000, false),
            ],
        ),
    );
    // The mixer may still be running: its answer and the retry are two uses.
    let first = fixture.close(0, &["n0"]);
    assert_eq!(
        (uses(&first, false), first.lines[0].counts.ambiguous),
        (2, 1)
    );
    // A new run without a final watermark of the old one: the retry joins the answered attempt.
    fixture.ingest("n0", &batch(2, vec![watermark(0, FIRST + 5000, false)]));
    let next = fixture.close(1, &[]);
    assert_eq!(
        (uses(&next, true), next.total, next.members[0].crashed_runs),
        (-1, -10, 1)
    );
    fixture.assert_consistent();
}

#[test]
fn statements_report_gaps_crashes_and_damage_and_keep_uses_of_a_removed_tenant() {
    let mut fixture = Fixture::new();
    let mut records = batch(
        1,
        vec![
            What::Record(answered(1, FIRST, 2)),
            What::Record(answered(5, FIRST + 1, 4)),
        ],
    );
    records.damage.push(cottonhill_ledger::wire::Damage {
        segment: "s".into(),
        from: 3,
        to: 9,
    });
    fixture.ingest("n0", &records);
    fixture.ingest("n0", &batch(1, vec![watermark(7, FIRST + 10, false)]));
    // The settings of the next run have one tenant less.
    let next = Batch {
        header: header(2, &["u"]),
        entries: vec![Entry {
            what: Some(What::Record(answered(1, FIRST + 20, 6))),
        }],
        damage: Vec::new(),
    };
    fixture.ingest("n0", &next);
    let statement = fixture.close(0, &["n1"]);
    let member = &statement.members[0];
    assert_eq!(
        (
            member.lost_records,
            member.crashed_runs,
            member.damaged_ranges
        ),
        (5, 1, 1)
    );
    let by: Vec<(&str, i64)> = statement
        .lines
        .iter()
        .map(|line| (line.tenant.as_str(), line.counts.uses))
        .collect();
    assert_eq!(by, [("t", 2), ("u", 1)]);
}

#[test]
fn a_correction_is_part_of_an_open_statement_or_a_document_that_names_a_closed_one() {
    let mut fixture = Fixture::new();
    fixture.ingest("n0", &batch(1, vec![What::Record(answered(1, FIRST, 2))]));
    let correction = |id: &str, amount| CorrectionLine {
        id: id.into(),
        tenant: "t".into(),
        amount,
        reason: "r".into(),
        author: "a".into(),
    };
    assert!(fixture
        .store
        .correct(&correction("early", -3), period(0), FIRST)
        .unwrap()
        .is_none());
    let statement = fixture.close(0, &[]);
    assert_eq!((statement.total, statement.corrections.len()), (7, 1));
    let credit = fixture
        .store
        .correct(&correction("late", -4), period(0), FIRST)
        .unwrap()
        .unwrap();
    let (_, hash, _) = fixture.store.statements().unwrap().remove(0);
    assert_eq!(
        (
            credit.kind.as_str(),
            credit.amount,
            credit.corrects.clone().unwrap().1
        ),
        ("credit", -4, hash)
    );
    assert_eq!(
        credit.corrects.unwrap().0,
        Document::from_statement(&statement)[0].id
    );
    assert_eq!(
        fixture
            .store
            .correct(&correction("more", 4), period(0), FIRST)
            .unwrap()
            .unwrap()
            .kind,
        "debit"
    );
    assert!(
        fixture
            .store
            .correct(&correction("late", -4), period(0), FIRST)
            .is_err(),
        "correction ids are unique"
    );
    assert_eq!(fixture.store.outbox(false, false).unwrap().len(), 3);
    fixture.assert_consistent();
}

/// Crashes between closing and export, and between an export and its record in the outbox: the same document is sent
/// again.
#[test]
fn a_document_survives_crashes_under_one_id_with_the_same_bytes() {
    let mut fixture = Fixture::new();
    fixture.ingest("n0", &batch(1, vec![What::Record(answered(1, FIRST, 2))]));
    fixture.close(0, &[]);
    fixture.crash();
    let folder = tempfile::tempdir().unwrap();
    let target = ExportSettings {
        folder: Some(folder.path().into()),
        url: None,
        timeout: Duration::from_secs(1),
        retry_delay: Duration::from_millis(1),
    };
    let unsent = fixture.store.outbox(true, false).unwrap();
    assert_eq!(export::send(&target, &unsent[0]), (true, false, None));
    let bytes =
        |folder: &Path| std::fs::read(folder.join(format!("{}.json", unsent[0].id))).unwrap();
    let first = bytes(folder.path());
    // The document was sent, and the process crashed before the delivery was recorded.
    fixture.crash();
    let again = fixture.store.outbox(true, false).unwrap();
    assert_eq!(again, unsent);
    assert_eq!(export::send(&target, &again[0]), (true, false, None));
    fixture
        .store
        .record_delivery(&again[0].id, true, false, None, FIRST)
        .unwrap();
    assert_eq!(
        (
            bytes(folder.path()),
            std::fs::read_dir(folder.path()).unwrap().count()
        ),
        (first, 1)
    );
    assert!(fixture.store.outbox(true, false).unwrap().is_empty());
    let base = Duration::from_millis(10);
    assert_eq!(
        [1, 2, 7, 99].map(|n| export::retry_delay(base, n).as_millis()),
        [10, 20, 640, 640]
    );
}

#[test]
fn verify_finds_tampering_and_a_later_schema_is_rejected() {
    let tampering = [
        (
            "UPDATE statement SET body = replace(body, '\"total\":10', '\"total\":11')",
            "its text does not match its hash",
        ),
        (
            "UPDATE line SET uses = uses + 1",
            "differ from the records by -1",
        ),
        ("DELETE FROM record", "differ from the records by -1"),
        (
            "UPDATE outbox SET body = body || ' '",
            "document statement-",
        ),
        (
            "DELETE FROM statement WHERE period = 1000000",
            "its link to the previous statement does not match",
        ),
    ];
    for (sql, found) in tampering {
        let mut fixture = Fixture::new();
        fixture.ingest("n0", &batch(1, vec![What::Record(answered(1, FIRST, 2))]));
        fixture.close(0, &[]);
        fixture.close(1, &[]);
        fixture.assert_consistent();
        rusqlite::Connection::open(&fixture.path)
            .unwrap()
            .execute(sql, [])
            .unwrap();
        let (_, problems) = fixture.store.verify(BOUNDS).unwrap();
        assert!(
            problems.iter().any(|line| line.contains(found)),
            "{sql}: {problems:?}"
        );
    }
    let fixture = Fixture::new();
    rusqlite::Connection::open(&fixture.path)
        .unwrap()
        .pragma_update(None, "user_version", 99)
        .unwrap();
    assert!(Store::open(&fixture.path)
        .err()
        .unwrap()
        .to_string()
        .contains("later program"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random records of two members in random batches, some delivered twice, some after their period has closed.
    /// Members restart with and without a final watermark, and the settlement crashes. All statements together must
    /// equal the result of joining all records at once.
    #[test]
    fn statements_equal_the_records_for_any_delivery(
        records in prop::collection::vec((0i64..3 * PERIOD, 0u64..4, any::<bool>(), 0i32..5, 0u8..8, 0u8..4), 1..60),
        ends in any::<u64>(), marks in any::<u64>(),
    ) {
        let mut fixture = Fixture::new();
        let (mut sent, mut run) = ([0u64; 2], [1u64; 2]);
        let mut delivery: Vec<(u8, usize, u64, Vec<What>)> = Vec::new();
        for (n, (at, key, repeat, outcome, choice, step)) in records.iter().enumerate() {
            let member = usize::from(choice % 2);
            if *choice < 2 && sent[member] > 0 {
                // The member crashes, or ends with a final watermark.
                if ends >> (n % 64) & 1 == 0 {
                    delivery.push((*step, member, run[member], vec![watermark(sent[member], FIRST, true)]));
                }
                run[member] += 1;
                sent[member] = 0;
            }
            sent[member] += 1;
            let keyed = *key == 0;
            let key = if keyed { 1 } else { key * 2 };
            let (outcome, share) = (*outcome, if *outcome == 1 { 600_000 } else { 0 });
            let record = Record { repeat: *repeat, keyed, outcome, share, ..answered(sent[member], FIRST + at, key) };
            let mut what = vec![What::Record(record)];
            if marks >> (n % 64) & 1 == 0 {
                what.push(watermark(sent[member], FIRST, false));
            }
            delivery.push((*step, member, run[member], what));
        }
        for n in 0..4u8 {
            for (i, (step, member, run, what)) in delivery.iter().enumerate() {
                if *step == n || (*step < n && i % 3 == 0) {
                    fixture.ingest(["n0", "n1"][*member], &batch(*run, what.clone()));
                }
            }
            fixture.crash();
            fixture.close(i64::from(n), &[]);
        }
        // One more period, for records that are late for the last one.
        fixture.close(4, &[]);
        fixture.assert_consistent();
        let mut billed = Counts::default();
        for (statement, ..) in fixture.store.statements().unwrap() {
            for line in &statement.lines {
                billed += line.counts;
            }
        }
        let mut all = Counts::default();
        let mut joiner = cottonhill_ledger::join::Joiner::new(BOUNDS.skew_ms, BOUNDS.horizon_ms);
        for attempt in fixture.store.client_attempts(i64::MIN, i64::MAX).unwrap() {
            joiner.push(attempt, &mut |joined| all.add(&joined));
        }
        joiner.finish(&mut |joined| all.add(&joined));
        prop_assert_eq!(billed, all);
        prop_assert_eq!(billed.tries, records.len() as i64);
    }
}
