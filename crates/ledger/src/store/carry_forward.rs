//! The carry-forward from one period to the next: attempts that are already counted, and ambiguous retries.

use super::Result;
use crate::join::RecordId;
use crate::settle::CarryForward;
use rusqlite::{params, Connection};
use std::collections::BTreeSet;

/// The carry-forward of the last period that starts before `before` (Unix milliseconds).
pub(super) fn load_previous_carry_forward(db: &Connection, before: i64) -> Result<CarryForward> {
    let last = "SELECT max(start) FROM period WHERE start < ?";
    let last: Option<i64> = db.query_row(last, [before], |row| row.get(0))?;
    load_carry_forward(db, last.unwrap_or(i64::MIN))
}

/// The record ids in a table for a period.
pub(super) fn load_ids(db: &Connection, table: &str, period: i64) -> Result<BTreeSet<RecordId>> {
    let mut rows = db.prepare(&format!(
        "SELECT at, member, incarnation, sequence FROM {table} WHERE period = ?"
    ))?;
    let rows = rows.query_map([period], |row| {
        Ok((row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?))
    })?;
    Ok(rows.collect::<rusqlite::Result<_>>()?)
}

/// The carry-forward of the period that starts at `period`.
pub(super) fn load_carry_forward(db: &Connection, period: i64) -> Result<CarryForward> {
    Ok(CarryForward {
        joined_attempts: load_ids(db, "carried", period)?,
        ambiguous_retries: load_ids(db, "hint", period)?,
    })
}

/// Replaces the record ids in a table for a period.
pub(super) fn replace_ids<'a>(
    db: &Connection,
    table: &str,
    period: i64,
    ids: impl Iterator<Item = &'a RecordId>,
) -> Result<()> {
    db.execute(&format!("DELETE FROM {table} WHERE period = ?"), [period])?;
    let mut insert = db.prepare(&format!("INSERT INTO {table} VALUES (?, ?, ?, ?, ?)"))?;
    for (at, member, incarnation, sequence) in ids {
        insert.execute(params![
            period,
            at,
            member,
            *incarnation as i64,
            *sequence as i64
        ])?;
    }
    Ok(())
}
