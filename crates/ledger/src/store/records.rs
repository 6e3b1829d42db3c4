//! The records of uses, as the settlement reads them.

use super::{Result, Store};
use crate::join::{Outcome, Try};
use crate::wire::Outcome as WireOutcome;
use rusqlite::{params, Connection, Row};
use std::collections::HashMap;

/// One run of a member, by the member's number and the run's incarnation.
pub(super) type RunId = (u32, u64);

/// From where on the records of an unconfirmed run are in doubt.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Unconfirmed {
    /// The last sequence that a mark has confirmed; records past it are in doubt.
    pub(super) marked: u64,
    /// Nothing past it can have arrived before this time, in Unix milliseconds.
    pub(super) complete: i64,
}

impl Store {
    /// All tries that arrived from `from` up to without `until` (Unix milliseconds), for checks and dumps.
    pub fn tries(&self, from: i64, until: i64) -> Result<Vec<Try>> {
        let mut all = Vec::new();
        for_each_try(&self.db, from, until, |one| all.push(one))?;
        Ok(all)
    }
}

/// The records that arrived from `from` up to without `until`, in the order of their ids, one after another.
pub(super) fn for_each_try(
    db: &Connection,
    from: i64,
    until: i64,
    mut with: impl FnMut(Try),
) -> Result<()> {
    let doubtful = unconfirmed_runs(db, None)?;
    let mut rows = db.prepare_cached(
        "SELECT at, member, incarnation, sequence, tenant, class, outcome, share, parts, attempts, crossed, flags,
           key, give_up FROM record WHERE at >= ? AND at < ? ORDER BY at, member, incarnation, sequence",
    )?;
    let mut rows = rows.query(params![from, until])?;
    while let Some(row) = rows.next()? {
        let mut one = read_try(row)?;
        one.doubtful = doubtful
            .get(&(one.member, one.incarnation))
            .is_some_and(|run| one.sequence > run.marked);
        with(one);
    }
    Ok(())
}

/// The runs whose last answers are in doubt: a later run of their member began and they never said that they ended.
pub(super) fn unconfirmed_runs(
    db: &Connection,
    member: Option<u32>,
) -> Result<HashMap<RunId, Unconfirmed>> {
    let mut runs = db.prepare_cached(
        "SELECT member, incarnation, marked, complete FROM position p WHERE NOT ended AND member = coalesce(?, member)
           AND EXISTS (SELECT 1 FROM position o WHERE o.member = p.member AND o.incarnation > p.incarnation)",
    )?;
    let runs = runs.query_map([member], |row| {
        let unconfirmed = Unconfirmed {
            marked: row.get(2)?,
            complete: row.get(3)?,
        };
        Ok(((row.get(0)?, row.get(1)?), unconfirmed))
    })?;
    Ok(runs.collect::<rusqlite::Result<_>>()?)
}

fn read_try(row: &Row) -> rusqlite::Result<Try> {
    let (outcome, share): (i32, u32) = (row.get(6)?, row.get(7)?);
    let flags: i64 = row.get(11)?;
    let key: i64 = row.get(12)?;
    Ok(Try {
        at: row.get(0)?,
        member: row.get(1)?,
        incarnation: row.get(2)?,
        sequence: row.get(3)?,
        tenant: row.get(4)?,
        class: row.get(5)?,
        outcome: match WireOutcome::try_from(outcome) {
            Ok(WireOutcome::Whole) => Outcome::Whole,
            Ok(WireOutcome::Partial) => Outcome::Partial(share),
            Ok(WireOutcome::Refused) => Outcome::Refused,
            Ok(WireOutcome::Left) => Outcome::Left,
            Ok(WireOutcome::Failed) | Err(_) => Outcome::Failed,
        },
        parts: row.get(8)?,
        attempts: row.get(9)?,
        crossed: row.get(10)?,
        repeat: flags & 1 != 0,
        keyed: flags & 2 != 0,
        key: key as u64,
        window: row.get(13)?,
        doubtful: false,
    })
}
