//! Closing periods: each once, with an immutable statement.

use super::corrections::include_open_corrections;
use super::members::MemberStatus;
use super::outbox::enqueue_document;
use super::settling::{billed_totals, next_changed_period, settle};
use super::statement::{totals, MemberState, Statement, StatementLine, ROUNDING};
use super::{digest, Error, Result, Store};
use crate::export::Document;
use crate::period::{format_timestamp, Calendar, Period};
use crate::rate::{amount, Counts};
use crate::settings::ClassPrice;
use crate::settle::{adjustments, JoinLimits};
use rusqlite::{params, Connection, OptionalExtension};
use std::collections::{BTreeMap, HashMap};

/// Parameters of closing a period.
#[derive(Clone, Debug)]
pub struct CloseParameters<'a> {
    pub bounds: JoinLimits,
    pub prices: &'a BTreeMap<String, ClassPrice>,
    pub allowances: &'a BTreeMap<String, u64>,
    /// The members of the period.
    pub members: Vec<String>,
    /// Members whose records are incomplete.
    pub missing: &'a [String],
    /// Unix milliseconds.
    pub now: i64,
}

/// A line of a statement, with ids in place of names.
struct LineWithIds {
    period: Period,
    adjusts: bool,
    /// Tenant and class.
    key: (u32, u32),
    counts: Counts,
    /// Micro-units.
    amount: i64,
    unpriced: bool,
}

/// Names by their ids in the store.
type Names = HashMap<u32, String>;

fn name(names: &Names, id: u32) -> String {
    names.get(&id).cloned().unwrap_or_default()
}

impl Store {
    /// The next period to close; `None` before the first record.
    pub fn next_period(&self, calendar: &Calendar) -> Result<Option<Period>> {
        let last = "SELECT max(end) FROM period WHERE start IN (SELECT period FROM statement)";
        let last: Option<i64> = self.db.query_row(last, [], |row| row.get(0))?;
        if let Some(end) = last {
            return Ok(Some(Period {
                start: end,
                end: calendar.period_at(end).end,
            }));
        }
        let first: Option<i64> = self
            .db
            .query_row("SELECT min(at) FROM record", [], |row| row.get(0))?;
        Ok(first.map(|at| calendar.period_at(at)))
    }

    /// Closes a period in one transaction: stores its lines, the adjustments of earlier periods for late records, its
    /// corrections, the statement, and a document for each tenant.
    ///
    /// # Errors
    /// [`Error::InvalidRequest`] if the period is already closed; otherwise an error of SQLite. The store is
    /// unchanged then.
    pub fn close(&mut self, period: Period, parameters: &CloseParameters) -> Result<Statement> {
        let statuses = self.member_statuses()?;
        let names = self.names()?;
        let transaction = self.begin()?;
        ensure_not_closed(&transaction, period)?;
        upsert_period(&transaction, period, parameters.prices)?;
        let mut lines = settle_earlier(&transaction, period, parameters.bounds, &names)?;
        lines.extend(settle_closing(&transaction, period, parameters, &names)?);
        insert_lines(&transaction, period, &lines)?;
        let corrections = include_open_corrections(&transaction, period)?;
        let lines: Vec<StatementLine> = lines.into_iter().map(|line| line.named(&names)).collect();
        let last = "SELECT hash FROM statement ORDER BY period DESC LIMIT 1";
        let previous: Option<String> = transaction
            .query_row(last, [], |row| row.get(0))
            .optional()?;
        let statement = Statement {
            period: period.name(),
            end: format_timestamp(period.end),
            closed: format_timestamp(parameters.now),
            members: parameters
                .members
                .iter()
                .map(|member| member_state(member, parameters, &statuses))
                .collect(),
            total: lines.iter().map(|line| line.amount).sum::<i64>()
                + corrections.iter().map(|c| c.amount).sum::<i64>(),
            tenants: totals(&lines, &corrections, parameters.allowances),
            lines,
            corrections,
            rounding: ROUNDING.into(),
            previous_hash: previous.unwrap_or_default(),
        };
        insert_statement(&transaction, period, &statement, parameters.now)?;
        transaction.commit()?;
        Ok(statement)
    }

    /// Statements, oldest first, each with its hash and its stored text.
    pub fn statements(&self) -> Result<Vec<(Statement, String, String)>> {
        let mut rows = self
            .db
            .prepare("SELECT body, hash FROM statement ORDER BY period")?;
        let rows = rows.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        })?;
        rows.map(|row| {
            let (body, hash) = row?;
            Ok((serde_json::from_str(&body)?, hash, body))
        })
        .collect()
    }

    /// The periods in the store, and whether each has to be settled again because of late records.
    pub fn periods(&self) -> Result<Vec<(Period, bool)>> {
        let mut rows = self
            .db
            .prepare("SELECT start, end, dirty FROM period ORDER BY start")?;
        let rows = rows.query_map([], |row| {
            Ok((
                Period {
                    start: row.get(0)?,
                    end: row.get(1)?,
                },
                row.get::<_, bool>(2)?,
            ))
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }
}

impl LineWithIds {
    fn named(self, names: &Names) -> StatementLine {
        let LineWithIds {
            period: line_period,
            adjusts,
            key: (tenant, class),
            counts,
            amount,
            unpriced,
        } = self;
        StatementLine {
            tenant: name(names, tenant),
            class: name(names, class),
            period: line_period.name(),
            adjusts,
            counts,
            amount,
            unpriced,
        }
    }
}

fn ensure_not_closed(db: &Connection, period: Period) -> Result<()> {
    let closed = "SELECT count(*) FROM statement WHERE period = ?";
    let closed: i64 = db.query_row(closed, [period.start], |row| row.get(0))?;
    if closed > 0 {
        return Err(Error::InvalidRequest(format!(
            "the period {} is already closed",
            period.name()
        )));
    }
    Ok(())
}

fn upsert_period(
    db: &Connection,
    period: Period,
    prices: &BTreeMap<String, ClassPrice>,
) -> Result<()> {
    let prices = serde_json::to_string(prices)?;
    db.execute(
        "INSERT INTO period VALUES (?, ?, ?, 0)
         ON CONFLICT (start) DO UPDATE SET end = excluded.end, prices = excluded.prices",
        params![period.start, period.end, prices],
    )?;
    Ok(())
}

fn mark_settled(db: &Connection, period: Period) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 0 WHERE start = ?",
        [period.start],
    )?;
    Ok(())
}

/// Settles earlier periods again that late records have changed. Each difference from the billed counts becomes an
/// adjustment line, at the prices of the earlier period.
fn settle_earlier(
    db: &Connection,
    closing: Period,
    bounds: JoinLimits,
    names: &Names,
) -> Result<Vec<LineWithIds>> {
    let mut lines = Vec::new();
    while let Some((earlier, prices)) = next_changed_period(db, closing.start)? {
        let (current, changed) = settle(db, earlier, bounds)?;
        mark_settled(db, earlier)?;
        if changed {
            // The carry-forward has changed, so the next period has to be settled again as well. The period that
            // closes now is settled after these in any case.
            db.execute(
                "UPDATE period SET dirty = 1 WHERE start = (SELECT min(start) FROM period WHERE start > ?)
                   AND start < ?",
                [earlier.start, closing.start],
            )?;
        }
        let (billed, amounts) = billed_totals(db, earlier)?;
        for (key, counts) in adjustments(&current, &billed) {
            let price = prices.get(&name(names, key.1)).copied();
            let due = current
                .get(&key)
                .map_or(0, |counts| amount(counts, price.unwrap_or_default()));
            let difference = due - amounts.get(&key).copied().unwrap_or_default();
            let unpriced = price.is_none();
            lines.push(LineWithIds {
                period: earlier,
                adjusts: true,
                key,
                counts,
                amount: difference,
                unpriced,
            });
        }
    }
    Ok(lines)
}

/// Settles the period that is closing.
fn settle_closing(
    db: &Connection,
    period: Period,
    parameters: &CloseParameters,
    names: &Names,
) -> Result<Vec<LineWithIds>> {
    let (own, _) = settle(db, period, parameters.bounds)?;
    mark_settled(db, period)?;
    let line = |(key, counts): (&(u32, u32), &Counts)| {
        let price = parameters.prices.get(&name(names, key.1)).copied();
        let amount = amount(counts, price.unwrap_or_default());
        let unpriced = price.is_none();
        LineWithIds {
            period,
            adjusts: false,
            key: *key,
            counts: *counts,
            amount,
            unpriced,
        }
    };
    Ok(own.iter().map(line).collect())
}

fn insert_lines(db: &Connection, period: Period, lines: &[LineWithIds]) -> Result<()> {
    for LineWithIds {
        period: line_period,
        key: (tenant, class),
        counts,
        amount,
        ..
    } in lines
    {
        let mut values: Vec<i64> = vec![
            period.start,
            line_period.start,
            i64::from(*tenant),
            i64::from(*class),
        ];
        values.extend(counts.values());
        values.push(*amount);
        let placeholders = vec!["?"; values.len()].join(", ");
        db.execute(
            &format!("INSERT INTO line VALUES ({placeholders})"),
            rusqlite::params_from_iter(values),
        )?;
    }
    Ok(())
}

fn member_state(
    member: &str,
    parameters: &CloseParameters,
    statuses: &[MemberStatus],
) -> MemberState {
    let status = statuses.iter().find(|status| status.member == member);
    MemberState {
        member: member.to_string(),
        complete: status.map(|status| format_timestamp(status.watermark_ms)),
        missing: parameters.missing.iter().any(|missing| missing == member),
        lost_records: status.map_or(0, |status| status.lost_records),
        crashed_runs: status.map_or(0, |status| status.crashed_runs),
        damaged_ranges: status.map_or(0, |status| status.damaged_ranges),
    }
}

/// Stores a statement with its hash, and a document for each tenant.
fn insert_statement(
    db: &Connection,
    period: Period,
    statement: &Statement,
    now: i64,
) -> Result<()> {
    let body = serde_json::to_string(statement)?;
    db.execute(
        "INSERT INTO statement VALUES (?, ?, ?, ?)",
        params![period.start, now, body, digest(body.as_bytes())],
    )?;
    for document in Document::from_statement(statement) {
        enqueue_document(db, &document, now)?;
    }
    Ok(())
}
