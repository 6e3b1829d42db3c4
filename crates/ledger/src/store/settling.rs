//! Settling of periods from their records: at closing, and again after late records.

use super::carry_forward::{load_carry_forward, load_previous_carry_forward, replace_ids};
use super::records::for_each_attempt;
use super::Result;
use crate::period::Period;
use crate::rate::Counts;
use crate::settings::ClassPrice;
use crate::settle::{JoinLimits, Lines, PeriodSettler};
use rusqlite::{Connection, OptionalExtension, Row};
use std::collections::BTreeMap;

/// Amounts in micro-units, by tenant and class.
pub(super) type Amounts = BTreeMap<(u32, u32), i64>;

/// Settles a period from its records and stores its carry-forward. Returns the lines, and whether the carry-forward has
/// changed.
pub(super) fn settle(db: &Connection, period: Period, bounds: JoinLimits) -> Result<(Lines, bool)> {
    let (from, until) = bounds.arrival_range(period);
    let mut settler = PeriodSettler::new(
        period,
        bounds,
        load_previous_carry_forward(db, period.start)?,
    );
    // Streams the attempts: memory use depends on the open uses, not on the length of the period.
    for_each_attempt(db, from, until, |attempt| settler.push(attempt))?;
    let settled = settler.finish();
    let changed = load_carry_forward(db, period.start)? != settled.carry_forward;
    replace_ids(
        db,
        "carried",
        period.start,
        settled.carry_forward.joined_attempts.iter(),
    )?;
    replace_ids(
        db,
        "hint",
        period.start,
        settled.carry_forward.ambiguous_retries.iter(),
    )?;
    replace_ids(db, "ambiguous", period.start, settled.ambiguous.iter())?;
    Ok((settled.lines, changed))
}

/// The first period before `before` that has to be settled again, with its prices. Queried one by one, since settling a
/// period may mark the next one.
pub(super) fn next_changed_period(
    db: &Connection,
    before: i64,
) -> Result<Option<(Period, BTreeMap<String, ClassPrice>)>> {
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

/// The counts and amounts that statements have billed for a period so far.
pub(super) fn billed_totals(db: &Connection, period: Period) -> Result<(Lines, Amounts)> {
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
