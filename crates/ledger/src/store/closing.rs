//! Closing periods: each once, into a statement that never changes.

use super::corrections::take_waiting;
use super::members::Standing;
use super::outbox::put_document;
use super::settling::{next_unsettled, settle, stated};
use super::statement::{totals, MemberState, Statement, StatementLine, ROUNDING};
use super::{digest, Error, Result, Store};
use crate::export::Document;
use crate::period::{stamp, Calendar, Period};
use crate::rate::{amount, Counts};
use crate::settings::Price;
use crate::settle::{adjustments, Bounds};
use rusqlite::{params, Connection, OptionalExtension};
use std::collections::{BTreeMap, HashMap};

/// What closing a period needs beside the store.
#[derive(Clone, Debug)]
pub struct Terms<'a> {
    pub bounds: Bounds,
    pub prices: &'a BTreeMap<String, Price>,
    pub allowances: &'a BTreeMap<String, u64>,
    /// Members that took part, and those without which it closes.
    pub members: Vec<String>,
    pub missing: &'a [String],
    /// Unix milliseconds.
    pub now: i64,
}

/// A line of a statement, with numbers in place of names.
struct NumberedLine {
    of: Period,
    adjusts: bool,
    /// Tenant and class.
    key: (u32, u32),
    counts: Counts,
    /// Micro-units.
    amount: i64,
    unpriced: bool,
}

/// Names by their numbers in the store.
type Names = HashMap<u32, String>;

fn name(names: &Names, number: u32) -> String {
    names.get(&number).cloned().unwrap_or_default()
}

impl Store {
    /// The period to close next; none before the first record.
    pub fn next_period(&self, calendar: &Calendar) -> Result<Option<Period>> {
        let last = "SELECT max(end) FROM period WHERE start IN (SELECT period FROM statement)";
        let last: Option<i64> = self.db.query_row(last, [], |row| row.get(0))?;
        if let Some(end) = last {
            return Ok(Some(Period {
                start: end,
                end: calendar.at(end).end,
            }));
        }
        let first: Option<i64> = self
            .db
            .query_row("SELECT min(at) FROM record", [], |row| row.get(0))?;
        Ok(first.map(|at| calendar.at(at)))
    }

    /// Closes a period: its lines, what late records have changed of earlier ones, corrections that wait for it,
    /// the statement, and a document for each tenant, all or nothing.
    ///
    /// # Errors
    /// [`Error::Asked`] if the period is closed already; else what SQLite reports. Nothing has changed then.
    pub fn close(&mut self, period: Period, terms: &Terms) -> Result<Statement> {
        let standings = self.standings()?;
        let names = self.names()?;
        let transaction = self.begin()?;
        refuse_closed(&transaction, period)?;
        put_period(&transaction, period, terms.prices)?;
        let mut lines = settle_earlier(&transaction, period, terms.bounds, &names)?;
        lines.extend(settle_own(&transaction, period, terms, &names)?);
        put_lines(&transaction, period, &lines)?;
        let corrections = take_waiting(&transaction, period)?;
        let lines: Vec<StatementLine> = lines.into_iter().map(|line| line.named(&names)).collect();
        let last = "SELECT hash FROM statement ORDER BY period DESC LIMIT 1";
        let previous: Option<String> = transaction
            .query_row(last, [], |row| row.get(0))
            .optional()?;
        let statement = Statement {
            period: period.name(),
            end: stamp(period.end),
            closed: stamp(terms.now),
            members: terms
                .members
                .iter()
                .map(|member| member_state(member, terms, &standings))
                .collect(),
            total: lines.iter().map(|line| line.amount).sum::<i64>()
                + corrections.iter().map(|c| c.amount).sum::<i64>(),
            tenants: totals(&lines, &corrections, terms.allowances),
            lines,
            corrections,
            rounding: ROUNDING.into(),
            previous: previous.unwrap_or_default(),
        };
        put_statement(&transaction, period, &statement, terms.now)?;
        transaction.commit()?;
        Ok(statement)
    }

    /// Statements, oldest first, with their hashes.
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

    /// The closed periods, and whether late records wait to be settled.
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

impl NumberedLine {
    fn named(self, names: &Names) -> StatementLine {
        let NumberedLine {
            of,
            adjusts,
            key: (tenant, class),
            counts,
            amount,
            unpriced,
        } = self;
        StatementLine {
            tenant: name(names, tenant),
            class: name(names, class),
            period: of.name(),
            adjusts,
            counts,
            amount,
            unpriced,
        }
    }
}

fn refuse_closed(db: &Connection, period: Period) -> Result<()> {
    let closed = "SELECT count(*) FROM statement WHERE period = ?";
    let closed: i64 = db.query_row(closed, [period.start], |row| row.get(0))?;
    if closed > 0 {
        return Err(Error::Asked(format!(
            "the period {} is closed",
            period.name()
        )));
    }
    Ok(())
}

fn put_period(db: &Connection, period: Period, prices: &BTreeMap<String, Price>) -> Result<()> {
    let prices = serde_json::to_string(prices)?;
    db.execute(
        "INSERT INTO period VALUES (?, ?, ?, 0)
         ON CONFLICT (start) DO UPDATE SET end = excluded.end, prices = excluded.prices",
        params![period.start, period.end, prices],
    )?;
    Ok(())
}

fn note_settled(db: &Connection, period: Period) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 0 WHERE start = ?",
        [period.start],
    )?;
    Ok(())
}

/// Settles the earlier periods again that late records have changed: a line for each difference from what statements
/// have said, at the prices that were in force.
fn settle_earlier(
    db: &Connection,
    closing: Period,
    bounds: Bounds,
    names: &Names,
) -> Result<Vec<NumberedLine>> {
    let mut lines = Vec::new();
    while let Some((earlier, prices)) = next_unsettled(db, closing.start)? {
        let (now, changed) = settle(db, earlier, bounds)?;
        note_settled(db, earlier)?;
        if changed {
            // What it took of the next one's tries is another: that one is to be settled again as well. The
            // one that closes now is settled after all of them in any case.
            db.execute(
                "UPDATE period SET dirty = 1 WHERE start = (SELECT min(start) FROM period WHERE start > ?)
                   AND start < ?",
                [earlier.start, closing.start],
            )?;
        }
        let (stated, amounts) = stated(db, earlier)?;
        for (key, counts) in adjustments(&now, &stated) {
            let price = prices.get(&name(names, key.1)).copied();
            let due = now
                .get(&key)
                .map_or(0, |counts| amount(counts, price.unwrap_or_default()));
            let difference = due - amounts.get(&key).copied().unwrap_or_default();
            let unpriced = price.is_none();
            lines.push(NumberedLine {
                of: earlier,
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

/// Settles the period that closes.
fn settle_own(
    db: &Connection,
    period: Period,
    terms: &Terms,
    names: &Names,
) -> Result<Vec<NumberedLine>> {
    let (own, _) = settle(db, period, terms.bounds)?;
    note_settled(db, period)?;
    let line = |(key, counts): (&(u32, u32), &Counts)| {
        let price = terms.prices.get(&name(names, key.1)).copied();
        let amount = amount(counts, price.unwrap_or_default());
        let unpriced = price.is_none();
        NumberedLine {
            of: period,
            adjusts: false,
            key: *key,
            counts: *counts,
            amount,
            unpriced,
        }
    };
    Ok(own.iter().map(line).collect())
}

fn put_lines(db: &Connection, period: Period, lines: &[NumberedLine]) -> Result<()> {
    for NumberedLine {
        of,
        key: (tenant, class),
        counts,
        amount,
        ..
    } in lines
    {
        let mut values: Vec<i64> = vec![
            period.start,
            of.start,
            i64::from(*tenant),
            i64::from(*class),
        ];
        values.extend(counts.values());
        values.push(*amount);
        let marks = vec!["?"; values.len()].join(", ");
        db.execute(
            &format!("INSERT INTO line VALUES ({marks})"),
            rusqlite::params_from_iter(values),
        )?;
    }
    Ok(())
}

fn member_state(member: &str, terms: &Terms, standings: &[Standing]) -> MemberState {
    let standing = standings.iter().find(|standing| standing.member == member);
    MemberState {
        member: member.to_string(),
        complete: standing.map(|standing| stamp(standing.complete)),
        missing: terms.missing.iter().any(|missing| missing == member),
        lost: standing.map_or(0, |standing| standing.lost),
        died: standing.map_or(0, |standing| standing.died),
        damaged: standing.map_or(0, |standing| standing.damaged),
    }
}

/// Stores a statement with its hash, and a document for each tenant.
fn put_statement(db: &Connection, period: Period, statement: &Statement, now: i64) -> Result<()> {
    let body = serde_json::to_string(statement)?;
    db.execute(
        "INSERT INTO statement VALUES (?, ?, ?, ?)",
        params![period.start, now, body, digest(body.as_bytes())],
    )?;
    for document in Document::of_statement(statement) {
        put_document(db, &document, now)?;
    }
    Ok(())
}
