//! The usage log under disk faults: torn tails, flipped bits, a full disk, and a disk that blocks.

use cottonhill_ledger::log::{self, Follower, Item, Position};
use cottonhill_ledger::settings::UsageLogSettings;
use cottonhill_ledger::wire::{entry::What, Outcome, Record};
use cottonhill_ledger::writer::{self, FileStorage, NameTables, SegmentStorage, Writer};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

fn settings(directory: &Path, segment_bytes: u64) -> UsageLogSettings {
    UsageLogSettings {
        directory: directory.into(),
        segment_bytes,
        max_bytes: 1 << 30,
        queue_capacity: 64,
        max_write_delay: Duration::from_millis(5),
        watermark_interval: Duration::from_millis(100),
        listen: None,
    }
}

fn names() -> NameTables {
    NameTables {
        mixer: "n0".into(),
        classes: vec!["c".into()],
        give_up_ns: vec![1_000_000_000],
        tenants: vec!["t".into()],
    }
}

fn record(sequence: u64) -> What {
    What::Record(Record {
        parts: 5,
        key: sequence * 7,
        ..writer::new_record(sequence, 1_000 + sequence, Outcome::Whole, 0)
    })
}

/// Writes records one after another and waits for each, so that none is dropped because the queue is full.
fn write(writer: &mut Writer, sequences: std::ops::RangeInclusive<u64>) {
    let mut written = writer.written_sequence();
    for sequence in sequences {
        assert!(writer.try_enqueue(record(sequence)));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .build()
            .unwrap();
        runtime.block_on(async {
            written
                .wait_for(|written| *written >= sequence)
                .await
                .unwrap()
        });
    }
}

fn write_log(directory: &Path, segment_bytes: u64, records: u64) {
    let mut writer = writer::start_with_storage(
        FileStorage,
        &settings(directory, segment_bytes),
        names(),
        5_000_000,
    )
    .unwrap();
    write(&mut writer, 1..=records);
    writer.close();
}

/// A damaged range: segment, start and end offset.
type Damaged = (String, u64, u64);

/// All that a follower reads: records by run and sequence, and damaged ranges.
fn read_all(
    directory: &Path,
    after: Position,
    max_items: usize,
) -> (Vec<(u64, u64)>, Vec<Damaged>) {
    let mut follower = Follower::new(directory, after);
    let (mut records, mut damage) = (Vec::new(), Vec::new());
    while let Some(batch) = follower.next_batch(max_items).unwrap() {
        let run = batch.header.as_ref().map_or(0, |header| header.incarnation);
        for entry in batch.entries {
            if let Some(What::Record(record)) = entry.what {
                assert_eq!((record.key, record.parts), (record.sequence * 7, 5));
                records.push((run, record.sequence));
            }
        }
        damage.extend(
            batch
                .damage
                .into_iter()
                .map(|damage| (damage.segment, damage.from, damage.to)),
        );
    }
    (records, damage)
}

#[test]
fn a_torn_tail_is_truncated_at_any_length_and_no_complete_record_is_lost() {
    let folder = tempfile::tempdir().unwrap();
    write_log(folder.path(), 1 << 20, 6);
    let segment = log::list_segments(folder.path()).unwrap().remove(0);
    let intact = fs::read(&segment.path).unwrap();
    let (_, start) = log::read_header(&intact).unwrap();
    let ends: Vec<usize> = (1..=6)
        .map(|n| log::read_entries(&intact, start, n).end)
        .collect();
    for length in 0..=intact.len() {
        fs::write(&segment.path, &intact[..length]).unwrap();
        let kept = ends.iter().filter(|end| **end <= length).count() as u64;
        let mut second =
            writer::start_with_storage(FileStorage, &settings(folder.path(), 1 << 20), names(), 0)
                .unwrap();
        write(&mut second, 1..=2);
        second.close();
        let (records, damage) = read_all(folder.path(), Position::default(), 100);
        let old: Vec<u64> = records
            .iter()
            .filter(|record| record.0 == segment.incarnation && kept > 0)
            .map(|record| record.1)
            .collect();
        if length >= start {
            assert_eq!(old, (1..=kept).collect::<Vec<_>>(), "cut at {length}");
        }
        assert!(damage.is_empty(), "cut at {length}: {damage:?}");
        assert_eq!(
            records
                .iter()
                .rev()
                .take(2)
                .map(|record| record.1)
                .collect::<Vec<_>>(),
            [2, 1]
        );
        for later in log::list_segments(folder.path())
            .unwrap()
            .iter()
            .filter(|other| other.path != segment.path)
        {
            fs::remove_file(&later.path).unwrap();
        }
    }
}

#[test]
fn a_flipped_bit_loses_only_its_record_and_is_reported_as_damage() {
    let folder = tempfile::tempdir().unwrap();
    write_log(folder.path(), 1 << 20, 8);
    let segment = log::list_segments(folder.path()).unwrap().remove(0);
    let intact = fs::read(&segment.path).unwrap();
    let (_, start) = log::read_header(&intact).unwrap();
    let ends: Vec<usize> = std::iter::once(start)
        .chain((1..=8).map(|n| log::read_entries(&intact, start, n).end))
        .collect();
    // With a later segment, an invalid end of this one is damage, not a write in progress.
    let mut second =
        writer::start_with_storage(FileStorage, &settings(folder.path(), 1 << 20), names(), 0)
            .unwrap();
    write(&mut second, 1..=1);
    second.close();
    for at in start..intact.len() {
        for bit in [0x01, 0x80] {
            let mut bytes = intact.clone();
            bytes[at] ^= bit;
            fs::write(&segment.path, &bytes).unwrap();
            let damaged = ends
                .windows(2)
                .position(|pair| (pair[0]..pair[1]).contains(&at))
                .unwrap() as u64
                + 1;
            let (records, damage) = read_all(folder.path(), Position::default(), 3);
            let old: Vec<u64> = records
                .iter()
                .filter(|record| record.0 == segment.incarnation)
                .map(|record| record.1)
                .collect();
            assert_eq!(
                old,
                (1..=8).filter(|n| *n != damaged).collect::<Vec<_>>(),
                "at {at}"
            );
            let [(name, from, to)] = &damage[..] else {
                panic!("at {at}: {damage:?}")
            };
            assert_eq!(*name, segment.name());
            assert!(
                (*from..*to).contains(&(at as u64)),
                "{at} is not in {from}..{to}"
            );
        }
    }
    // With a damaged header the entries are still readable.
    let mut bytes = intact.clone();
    bytes[start - 1] ^= 1;
    fs::write(&segment.path, &bytes).unwrap();
    let items = log::read_entries(&bytes, log::MAGIC.len(), 100).items;
    assert_eq!(
        items
            .iter()
            .filter(|item| matches!(item, Item::Entry(_)))
            .count(),
        8
    );
}

#[test]
fn a_follower_continues_from_any_position_over_all_segments() {
    let folder = tempfile::tempdir().unwrap();
    write_log(folder.path(), 1024, 200);
    write_log(folder.path(), 1024, 100);
    assert!(
        log::list_segments(folder.path()).unwrap().len() > 4,
        "the log rotates segments"
    );
    let (all, damage) = read_all(folder.path(), Position::default(), 7);
    assert_eq!((all.len(), damage.len()), (300, 0));
    for (n, (incarnation, sequence)) in all.iter().enumerate() {
        let after = Position {
            incarnation: *incarnation,
            sequence: *sequence,
        };
        assert_eq!(
            read_all(folder.path(), after, 1 + n % 90).0,
            all[n + 1..],
            "after {n}"
        );
    }
    // Settled segments are removed; the others stay, and so does the last one.
    let before = log::list_segments(folder.path()).unwrap().len();
    let upto = Position {
        incarnation: all[120].0,
        sequence: all[120].1,
    };
    let removed = writer::remove_acknowledged_segments(folder.path(), upto).unwrap();
    assert!(removed > 0 && log::list_segments(folder.path()).unwrap().len() == before - removed);
    assert_eq!(read_all(folder.path(), upto, 50).0, all[121..]);
    writer::remove_acknowledged_segments(
        folder.path(),
        Position {
            incarnation: u64::MAX,
            sequence: u64::MAX,
        },
    )
    .unwrap();
    assert_eq!(log::list_segments(folder.path()).unwrap().len(), 1);
}

/// Writes half of the bytes and fails while the flag is set.
struct FullDisk(Arc<AtomicBool>);

impl SegmentStorage for FullDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.0.load(Ordering::SeqCst) {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.write_all(bytes)
    }
}

#[test]
fn a_full_disk_loses_records_and_blocks_no_writer() {
    let folder = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let disk = FullDisk(full.clone());
    let mut writer =
        writer::start_with_storage(disk, &settings(folder.path(), 1 << 20), names(), 0).unwrap();
    write(&mut writer, 1..=3);
    full.store(true, Ordering::SeqCst);
    // Each wait ends although the record cannot be written.
    write(&mut writer, 4..=9);
    full.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(120));
    write(&mut writer, 10..=12);
    writer.close();
    assert_eq!(
        (
            writer.counts().lost.load(Ordering::SeqCst),
            writer.counts().written.load(Ordering::SeqCst)
        ),
        (6, 6)
    );
    let (records, damage) = read_all(folder.path(), Position::default(), 100);
    assert_eq!(
        records.iter().map(|record| record.1).collect::<Vec<_>>(),
        [1, 2, 3, 10, 11, 12]
    );
    assert!(
        damage.is_empty(),
        "a partial write is truncated: {damage:?}"
    );
}

/// Blocks until the sender is dropped.
struct BlockedDisk(Receiver<()>);

impl SegmentStorage for BlockedDisk {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let _ = self.0.recv();
        file.write_all(bytes)
    }
}

#[test]
fn a_blocked_disk_fills_the_queue_and_never_blocks_the_mixer() {
    let folder = tempfile::tempdir().unwrap();
    let (unblock, blocked) = channel();
    let mut writer = writer::start_with_storage(
        BlockedDisk(blocked),
        &settings(folder.path(), 1 << 20),
        names(),
        0,
    )
    .unwrap();
    let queued = (1..=3000)
        .filter(|sequence| writer.try_enqueue(record(*sequence)))
        .count() as u64;
    // The queue, and the batch that the writer is writing.
    assert!((64..=64 + 1024).contains(&queued), "{queued}");
    assert_eq!(
        *writer.written_sequence().borrow(),
        0,
        "no record is reported as written"
    );
    drop(unblock);
    writer.close();
    let (records, _) = read_all(folder.path(), Position::default(), 4096);
    assert_eq!(
        records.len() as u64,
        queued,
        "all queued records are written; the others are a gap in the sequence"
    );
}

#[test]
fn a_log_has_one_writer_and_a_size_limit() {
    let folder = tempfile::tempdir().unwrap();
    let bounded = UsageLogSettings {
        max_bytes: 12 * 1024,
        ..settings(folder.path(), 4096)
    };
    let mut writer = writer::start_with_storage(FileStorage, &bounded, names(), 0).unwrap();
    let second = writer::start_with_storage(FileStorage, &bounded, names(), 0);
    assert!(second.err().unwrap().to_string().contains("another mixer"));
    write(&mut writer, 1..=1000);
    let lost = writer.counts().lost.load(Ordering::SeqCst);
    let size: u64 = log::list_segments(folder.path())
        .unwrap()
        .iter()
        .map(|s| fs::metadata(&s.path).unwrap().len())
        .sum();
    assert!(
        lost > 0 && size <= bounded.max_bytes,
        "{lost} lost, {size} bytes"
    );
    // Once the segments are settled, records are written again.
    writer::remove_acknowledged_segments(
        folder.path(),
        Position {
            incarnation: u64::MAX,
            sequence: u64::MAX,
        },
    )
    .unwrap();
    std::thread::sleep(Duration::from_millis(120));
    write(&mut writer, 1001..=1003);
    assert_eq!(writer.counts().lost.load(Ordering::SeqCst), lost);
    writer.close();
}
