//! Batches of the members' logs, on their way into the store.

use super::records::{unconfirmed_runs, RunId, Unconfirmed};
use super::{Result, Store};
use crate::period::Calendar;
use crate::settle::Bounds;
use crate::wire::{entry::What, Batch, Damage, Header, Mark, Record};
use rusqlite::{params, Connection, OptionalExtension, Statement};
use std::collections::{BTreeSet, HashMap};

/// What a batch of records came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ingested {
    pub new: u64,
    pub known: u64,
    /// Of the new ones, those of a period that was closed by then.
    pub late: u64,
}

/// The numbers in the store of the names that a batch's records use.
struct BatchNames {
    member: u32,
    tenants: Vec<u32>,
    /// The tenant of all use where the platform names no tenants.
    all: u32,
    /// Each class, and after how many milliseconds its clients give up.
    classes: Vec<(u32, i64)>,
    unknown_class: u32,
}

/// How far one run of a member is in the store.
struct RunProgress {
    sequence: i64,
    /// All that arrived before this time (Unix milliseconds) and has ended is recorded.
    complete: i64,
    /// The last sequence that a mark has confirmed.
    marked: i64,
    ended: bool,
    /// Records that never came.
    lost: i64,
}

impl RunProgress {
    fn read(db: &Connection, (member, incarnation): (u32, i64)) -> Result<RunProgress> {
        let known =
            "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?";
        let progress = db.query_row(known, params![member, incarnation], |row| {
            Ok(RunProgress {
                sequence: row.get(0)?,
                complete: row.get(1)?,
                marked: row.get(2)?,
                ended: row.get(3)?,
                lost: row.get(4)?,
            })
        });
        let new = RunProgress {
            sequence: 0,
            complete: i64::MIN,
            marked: 0,
            ended: false,
            lost: 0,
        };
        Ok(progress.optional()?.unwrap_or(new))
    }

    fn write(&self, db: &Connection, (member, incarnation): (u32, i64)) -> Result<()> {
        let RunProgress {
            sequence,
            complete,
            marked,
            ended,
            lost,
        } = self;
        db.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![member, incarnation, sequence, complete, marked, ended, lost],
        )?;
        Ok(())
    }

    /// A record that was not known before: it widens the gap of those that never came, or fills a part of it.
    fn note_record(&mut self, sequence: i64) {
        let expected = self.sequence + 1;
        self.lost += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.sequence = self.sequence.max(sequence);
    }

    fn note_mark(&mut self, mark: &Mark) {
        let sequence = mark.sequence as i64;
        self.lost += (sequence - self.sequence).max(0);
        self.sequence = self.sequence.max(sequence);
        self.marked = self.marked.max(sequence);
        self.complete = self.complete.max(mark.complete_ms as i64);
        self.ended |= mark.end;
    }
}

impl Store {
    /// Takes what a member's log holds. The same batch again changes nothing.
    ///
    /// # Errors
    /// What SQLite reports; then no record of the batch is in the store.
    pub fn ingest(
        &mut self,
        member: &str,
        batch: &Batch,
        calendar: &Calendar,
        bounds: Bounds,
    ) -> Result<Ingested> {
        let Some(header) = &batch.header else {
            return Ok(Ingested::default());
        };
        let names = self.batch_names(member, header)?;
        let run = (names.member, header.incarnation as i64);
        let transaction = self.begin()?;
        insert_damage(&transaction, names.member, &batch.damage)?;
        let closed = "SELECT coalesce(max(end), ?) FROM period";
        let closed: i64 = transaction.query_row(closed, [i64::MIN], |row| row.get(0))?;
        let mut progress = RunProgress::read(&transaction, run)?;
        let unconfirmed = unconfirmed_runs(&transaction, Some(names.member))?;
        let mut ingested = Ingested::default();
        {
            let mut insert = transaction.prepare_cached(
                "INSERT OR IGNORE INTO record VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            )?;
            for entry in &batch.entries {
                match &entry.what {
                    Some(What::Record(record)) => {
                        if !insert_record(&mut insert, &names, run, record)? {
                            ingested.known += 1;
                            continue;
                        }
                        ingested.new += 1;
                        progress.note_record(record.sequence as i64);
                        let at = record.arrived_ms as i64;
                        // A closed period has seen a while past its end, where its retries are.
                        if at < closed.saturating_add(bounds.after()) {
                            ingested.late += 1;
                            note_late(&transaction, at, at < closed, calendar, bounds)?;
                        }
                    }
                    Some(What::Mark(mark)) => progress.note_mark(mark),
                    None => {}
                }
            }
        }
        progress.write(&transaction, run)?;
        let now_unconfirmed = unconfirmed_runs(&transaction, Some(names.member))?;
        note_changed_runs(&transaction, &unconfirmed, &now_unconfirmed, bounds)?;
        transaction.commit()?;
        Ok(ingested)
    }

    fn batch_names(&mut self, member: &str, header: &Header) -> Result<BatchNames> {
        let member = self.number("member", member)?;
        let tenants = header
            .tenants
            .iter()
            .map(|tenant| self.number("tenant", tenant));
        let tenants = tenants.collect::<Result<_>>()?;
        let all = self.number("tenant", "all")?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push((self.number("class", &class.name)?, class.give_up_ms as i64));
        }
        let unknown_class = self.number("class", "unknown")?;
        Ok(BatchNames {
            member,
            tenants,
            all,
            classes,
            unknown_class,
        })
    }
}

fn insert_damage(db: &Connection, member: u32, damage: &[Damage]) -> Result<()> {
    for damage in damage {
        db.execute(
            "INSERT OR IGNORE INTO damage VALUES (?, ?, ?, ?)",
            params![member, damage.segment, damage.from as i64, damage.to as i64],
        )?;
    }
    Ok(())
}

/// Whether the record is new.
fn insert_record(
    insert: &mut Statement,
    names: &BatchNames,
    (member, incarnation): (u32, i64),
    record: &Record,
) -> Result<bool> {
    let class = names.classes.get(record.class as usize).copied();
    let (class, give_up) = class.unwrap_or((names.unknown_class, 0));
    let tenant = names
        .tenants
        .get(record.tenant as usize)
        .copied()
        .unwrap_or(names.all);
    let flags = i64::from(record.repeat) | i64::from(record.keyed) << 1;
    let inserted = insert.execute(params![
        record.arrived_ms as i64,
        member,
        incarnation,
        record.sequence as i64,
        tenant,
        class,
        record.outcome,
        record.share,
        record.parts,
        record.attempts,
        record.crossed,
        flags,
        record.key as i64,
        give_up
    ])?;
    Ok(inserted > 0)
}

/// A record has come that closed periods should have seen, or for a time that no period was ever made for.
fn note_late(
    db: &Connection,
    at: i64,
    closed: bool,
    calendar: &Calendar,
    bounds: Bounds,
) -> Result<()> {
    db.prepare_cached("UPDATE period SET dirty = 1 WHERE start - ?2 <= ?1 AND end + ?3 > ?1")?
        .execute([at, bounds.skew, bounds.after()])?;
    let covering = "SELECT count(*) FROM period WHERE start <= ? AND end > ?";
    let covering: i64 = db
        .prepare_cached(covering)?
        .query_row([at, at], |row| row.get(0))?;
    if closed && covering == 0 {
        let period = calendar.at(at);
        // Not over its neighbours, should the calendar have been another then.
        let after = "SELECT min(start) FROM period WHERE start > ?";
        let after: Option<i64> = db.query_row(after, [at], |row| row.get(0))?;
        let before: Option<i64> =
            db.query_row("SELECT max(end) FROM period WHERE end <= ?", [at], |row| {
                row.get(0)
            })?;
        let start = period.start.max(before.unwrap_or(i64::MIN));
        let end = period.end.min(after.unwrap_or(i64::MAX));
        db.execute("INSERT INTO period VALUES (?, ?, '{}', 1)", [start, end])?;
    }
    Ok(())
}

/// Has periods settled again that runs concern whose last answers have come into doubt, or out of it.
fn note_changed_runs(
    db: &Connection,
    before: &HashMap<RunId, Unconfirmed>,
    after: &HashMap<RunId, Unconfirmed>,
    bounds: Bounds,
) -> Result<()> {
    let runs: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    for run in runs
        .into_iter()
        .filter(|run| before.get(run) != after.get(run))
    {
        let both = [before.get(&run), after.get(&run)];
        let past = both
            .iter()
            .flatten()
            .map(|it| it.marked)
            .min()
            .unwrap_or_default();
        let since = both
            .iter()
            .flatten()
            .map(|it| it.complete)
            .min()
            .unwrap_or_default();
        note_changed_run(db, run, past, since, bounds)?;
    }
    Ok(())
}

/// A run's last answers have come into doubt, or out of it: whoever retried them may be joined otherwise now, and
/// periods closed with the other reading are settled again.
fn note_changed_run(
    db: &Connection,
    run: RunId,
    past: u64,
    since: i64,
    bounds: Bounds,
) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 1 WHERE end + ?6 > ?4 AND EXISTS (SELECT 1 FROM record
           WHERE at >= max(start - ?5, ?4) AND at < end + ?6 AND member = ?1 AND incarnation = ?2 AND sequence > ?3)",
        params![run.0, run.1 as i64, past as i64, since, bounds.skew, bounds.after()],
    )?;
    Ok(())
}
