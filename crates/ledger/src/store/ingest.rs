//! Storing batches of the members' logs.

use super::records::{unconfirmed_runs, RunId, UnconfirmedRun};
use super::{Result, Store};
use crate::period::Calendar;
use crate::settle::JoinLimits;
use crate::wire::{entry::What, Batch, Damage, Header, Mark, Record};
use rusqlite::{params, Connection, OptionalExtension, Statement};
use std::collections::{BTreeSet, HashMap};

/// Numbers of records of a stored batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ingested {
    pub new: u64,
    /// Records that the store had already.
    pub duplicates: u64,
    /// New records that may change a closed period.
    pub late: u64,
}

/// The ids in the store of the names in a batch.
struct BatchNames {
    member: u32,
    tenants: Vec<u32>,
    /// The tenant of records whose tenant has no name in the header.
    default_tenant: u32,
    /// Class id and give-up time in milliseconds of each class.
    classes: Vec<(u32, i64)>,
    unknown_class: u32,
}

/// The collection progress of one run of a member.
struct RunProgress {
    sequence: i64,
    /// The watermark: all records of arrivals before this time (Unix milliseconds) are stored.
    watermark_ms: i64,
    /// The sequence of the last watermark.
    confirmed_sequence: i64,
    ended: bool,
    /// Records missing in the sequence.
    lost_records: i64,
}

impl RunProgress {
    fn read(db: &Connection, (member, incarnation): (u32, i64)) -> Result<RunProgress> {
        let stored =
            "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?";
        let progress = db.query_row(stored, params![member, incarnation], |row| {
            Ok(RunProgress {
                sequence: row.get(0)?,
                watermark_ms: row.get(1)?,
                confirmed_sequence: row.get(2)?,
                ended: row.get(3)?,
                lost_records: row.get(4)?,
            })
        });
        let new = RunProgress {
            sequence: 0,
            watermark_ms: i64::MIN,
            confirmed_sequence: 0,
            ended: false,
            lost_records: 0,
        };
        Ok(progress.optional()?.unwrap_or(new))
    }

    fn write(&self, db: &Connection, (member, incarnation): (u32, i64)) -> Result<()> {
        let RunProgress {
            sequence,
            watermark_ms,
            confirmed_sequence,
            ended,
            lost_records,
        } = self;
        db.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![
                member,
                incarnation,
                sequence,
                watermark_ms,
                confirmed_sequence,
                ended,
                lost_records
            ],
        )?;
        Ok(())
    }

    /// Counts a new record. It follows the last one directly, leaves a gap of missing records before it, or fills part
    /// of an earlier gap.
    fn apply_record(&mut self, sequence: i64) {
        let expected = self.sequence + 1;
        self.lost_records += if sequence >= expected {
            sequence - expected
        } else {
            -1
        };
        self.sequence = self.sequence.max(sequence);
    }

    fn apply_watermark(&mut self, watermark: &Mark) {
        let sequence = watermark.sequence as i64;
        self.lost_records += (sequence - self.sequence).max(0);
        self.sequence = self.sequence.max(sequence);
        self.confirmed_sequence = self.confirmed_sequence.max(sequence);
        self.watermark_ms = self.watermark_ms.max(watermark.complete_ms as i64);
        self.ended |= watermark.end;
    }
}

impl Store {
    /// Stores a batch of a member's log. Storing the same batch again changes nothing.
    ///
    /// # Errors
    /// An error of SQLite; then no record of the batch is stored.
    pub fn ingest(
        &mut self,
        member: &str,
        batch: &Batch,
        calendar: &Calendar,
        bounds: JoinLimits,
    ) -> Result<Ingested> {
        let Some(header) = &batch.header else {
            return Ok(Ingested::default());
        };
        let names = self.batch_names(member, header)?;
        let run = (names.member, header.incarnation as i64);
        let transaction = self.begin()?;
        insert_damage(&transaction, names.member, &batch.damage)?;
        let closed_until = "SELECT coalesce(max(end), ?) FROM period";
        let closed_until: i64 =
            transaction.query_row(closed_until, [i64::MIN], |row| row.get(0))?;
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
                            ingested.duplicates += 1;
                            continue;
                        }
                        ingested.new += 1;
                        progress.apply_record(record.sequence as i64);
                        let arrived_ms = record.arrived_ms as i64;
                        // Settling a closed period has included retries for some time after its end.
                        if arrived_ms < closed_until.saturating_add(bounds.lookahead_ms()) {
                            ingested.late += 1;
                            mark_periods_of_late_record(
                                &transaction,
                                arrived_ms,
                                arrived_ms < closed_until,
                                calendar,
                                bounds,
                            )?;
                        }
                    }
                    Some(What::Mark(watermark)) => progress.apply_watermark(watermark),
                    None => {}
                }
            }
        }
        progress.write(&transaction, run)?;
        let now_unconfirmed = unconfirmed_runs(&transaction, Some(names.member))?;
        mark_periods_of_changed_runs(&transaction, &unconfirmed, &now_unconfirmed, bounds)?;
        transaction.commit()?;
        Ok(ingested)
    }

    fn batch_names(&mut self, member: &str, header: &Header) -> Result<BatchNames> {
        let member = self.name_id("member", member)?;
        let tenants = header
            .tenants
            .iter()
            .map(|tenant| self.name_id("tenant", tenant));
        let tenants = tenants.collect::<Result<_>>()?;
        let default_tenant = self.name_id("tenant", "all")?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push((self.name_id("class", &class.name)?, class.give_up_ms as i64));
        }
        let unknown_class = self.name_id("class", "unknown")?;
        Ok(BatchNames {
            member,
            tenants,
            default_tenant,
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

/// Inserts a record; returns whether it is new.
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
        .unwrap_or(names.default_tenant);
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

/// Marks the closed periods that a late record concerns, so that they are settled again. Inserts a period if the record
/// is from a closed time without a period. `closed` is whether the arrival precedes the end of the last period.
fn mark_periods_of_late_record(
    db: &Connection,
    arrived_ms: i64,
    closed: bool,
    calendar: &Calendar,
    bounds: JoinLimits,
) -> Result<()> {
    db.prepare_cached("UPDATE period SET dirty = 1 WHERE start - ?2 <= ?1 AND end + ?3 > ?1")?
        .execute([arrived_ms, bounds.skew_ms, bounds.lookahead_ms()])?;
    let covering = "SELECT count(*) FROM period WHERE start <= ? AND end > ?";
    let covering: i64 = db
        .prepare_cached(covering)?
        .query_row([arrived_ms, arrived_ms], |row| row.get(0))?;
    if closed && covering == 0 {
        let period = calendar.period_at(arrived_ms);
        // Clipped to its neighbours, in case the calendar has changed since.
        let after = "SELECT min(start) FROM period WHERE start > ?";
        let after: Option<i64> = db.query_row(after, [arrived_ms], |row| row.get(0))?;
        let before: Option<i64> = db.query_row(
            "SELECT max(end) FROM period WHERE end <= ?",
            [arrived_ms],
            |row| row.get(0),
        )?;
        let start = period.start.max(before.unwrap_or(i64::MIN));
        let end = period.end.min(after.unwrap_or(i64::MAX));
        db.execute("INSERT INTO period VALUES (?, ?, '{}', 1)", [start, end])?;
    }
    Ok(())
}

/// Marks the periods to settle again because runs have become unconfirmed, or are no longer.
fn mark_periods_of_changed_runs(
    db: &Connection,
    before: &HashMap<RunId, UnconfirmedRun>,
    after: &HashMap<RunId, UnconfirmedRun>,
    bounds: JoinLimits,
) -> Result<()> {
    let runs: BTreeSet<_> = before.keys().chain(after.keys()).copied().collect();
    for run in runs
        .into_iter()
        .filter(|run| before.get(run) != after.get(run))
    {
        let states = [before.get(&run), after.get(&run)];
        let confirmed_sequence = states
            .iter()
            .flatten()
            .map(|run| run.confirmed_sequence)
            .min()
            .unwrap_or_default();
        let watermark_ms = states
            .iter()
            .flatten()
            .map(|run| run.watermark_ms)
            .min()
            .unwrap_or_default();
        mark_periods_of_run(db, run, confirmed_sequence, watermark_ms, bounds)?;
    }
    Ok(())
}

/// Marks the closed periods with attempts whose delivery has become uncertain, or certain: their retries may now be
/// joined differently. These are the attempts of `run` with a sequence above `confirmed_sequence`; all of them arrived
/// at or after `watermark_ms` (Unix milliseconds).
fn mark_periods_of_run(
    db: &Connection,
    run: RunId,
    confirmed_sequence: u64,
    watermark_ms: i64,
    bounds: JoinLimits,
) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 1 WHERE end + ?6 > ?4 AND EXISTS (SELECT 1 FROM record
           WHERE at >= max(start - ?5, ?4) AND at < end + ?6 AND member = ?1 AND incarnation = ?2 AND sequence > ?3)",
        params![run.0, run.1 as i64, confirmed_sequence as i64, watermark_ms, bounds.skew_ms, bounds.lookahead_ms()],
    )?;
    Ok(())
}
