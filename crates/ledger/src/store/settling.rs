//! Settling periods from their records, the first time and again when late records have come.

use super::carried::{left_before, left_by, put_ids};
use super::records::for_each_try;
use super::Result;
use crate::period::Period;
use crate::rate::Counts;
use crate::settings::Price;
use crate::settle::{Bounds, Lines, Settling};
use rusqlite::{Connection, OptionalExtension, Row};
use std::collections::BTreeMap;

/// Amounts in micro-units, by tenant and class.
pub(super) type Amounts = BTreeMap<(u32, u32), i64>;

/// Settles a period anew from its records, and remembers what it carries. True if that has changed.
pub(super) fn settle(db: &Connection, period: Period, bounds: Bounds) -> Result<(Lines, bool)> {
    let (from, until) = bounds.seen(period);
    let mut settling = Settling::new(period, bounds, left_before(db, period.start)?);
    // One by one: memory holds what may yet be joined, however long the period is.
    for_each_try(db, from, until, |one| settling.take(one))?;
    let settled = settling.finish();
    let changed = left_by(db, period.start)? != settled.over;
    put_ids(db, "carried", period.start, settled.over.carried.iter())?;
    put_ids(db, "hint", period.start, settled.over.hints.iter())?;
    put_ids(db, "ambiguous", period.start, settled.ambiguous.iter())?;
    Ok((settled.lines, changed))
}

/// The next closed period that has to be settled again, with its prices, one after another: settling one may call
/// for the one after it.
pub(super) fn next_unsettled(
    db: &Connection,
    before: i64,
) -> Result<Option<(Period, BTreeMap<String, Price>)>> {
    let next =
        "SELECT start, end, prices FROM period WHERE dirty AND start < ? ORDER BY start LIMIT 1";
    let read = |row: &Row| {
        Ok((
            Period {
                start: row.get(0)?,
                end: row.get(1)?,
            },
            row.get::<_, String>(2)?,
        ))
    };
    match db.query_row(next, [before], read).optional()? {
        Some((period, prices)) => Ok(Some((period, serde_json::from_str(&prices)?))),
        None => Ok(None),
    }
}

/// The counts and amounts that statements so far have given for a period.
pub(super) fn stated(db: &Connection, period: Period) -> Result<(Lines, Amounts)> {
    let mut rows = db.prepare(
        "SELECT tenant, class, sum(uses), sum(whole), sum(partial), sum(share), sum(refused), sum(failed), sum(gone),
           sum(tries), sum(parts), sum(attempts), sum(crossed), sum(ambiguous), sum(amount)
         FROM line WHERE period = ? GROUP BY tenant, class",
    )?;
    let mut rows = rows.query([period.start])?;
    let (mut lines, mut amounts) = (Lines::new(), Amounts::new());
    while let Some(row) = rows.next()? {
        let key = (row.get(0)?, row.get(1)?);
        let mut values = [0; Counts::FIELDS];
        for (i, value) in values.iter_mut().enumerate() {
            *value = row.get(i + 2)?;
        }
        lines.insert(key, Counts::from_values(values));
        amounts.insert(key, row.get(14)?);
    }
    Ok((lines, amounts))
}
