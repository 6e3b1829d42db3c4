//! What settling one period leaves for the next: tries that it has joined, and hints about keys.

use super::Result;
use crate::join::Id;
use crate::settle::Over;
use rusqlite::{params, Connection};
use std::collections::BTreeSet;

/// What the last period before this start has left.
pub(super) fn left_before(db: &Connection, before: i64) -> Result<Over> {
    let last = "SELECT max(start) FROM period WHERE start < ?";
    let last: Option<i64> = db.query_row(last, [before], |row| row.get(0))?;
    left_by(db, last.unwrap_or(i64::MIN))
}

/// The ids that a table holds for a period.
pub(super) fn ids(db: &Connection, table: &str, period: i64) -> Result<BTreeSet<Id>> {
    let mut rows = db.prepare(&format!(
        "SELECT at, member, incarnation, sequence FROM {table} WHERE period = ?"
    ))?;
    let rows = rows.query_map([period], |row| {
        Ok((row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?))
    })?;
    Ok(rows.collect::<rusqlite::Result<_>>()?)
}

/// What settling this period has left.
pub(super) fn left_by(db: &Connection, period: i64) -> Result<Over> {
    Ok(Over {
        carried: ids(db, "carried", period)?,
        hints: ids(db, "hint", period)?,
    })
}

/// Replaces the ids that a table holds for a period.
pub(super) fn put_ids<'a>(
    db: &Connection,
    table: &str,
    period: i64,
    ids: impl Iterator<Item = &'a Id>,
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
