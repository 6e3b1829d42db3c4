//! The settlement's store: one SQLite file, one writer at a time, every step a transaction.

use crate::export::Document;
use crate::join::{Id, Outcome, Try};
use crate::log::Position;
use crate::period::{stamp, Calendar, Period};
use crate::rate::{amount, over, Counts};
use crate::settings::Price;
use crate::settle::{adjustments, Bounds, Lines, Over, Settling};
use crate::wire::{entry::What, Batch, Outcome as WireOutcome};
use rusqlite::{params, Connection, OptionalExtension, Row, Transaction, TransactionBehavior};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::time::Duration;

/// What can go wrong with the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the store: {0}")]
    Sqlite(#[from] rusqlite::Error),
    #[error("the store is of version {0}, made by a later program: this one knows {known}", known = MIGRATIONS.len())]
    Newer(usize),
    #[error("{0}")]
    Asked(String),
    #[error("a document can't be written: {0}")]
    Json(#[from] serde_json::Error),
}

type Result<T> = std::result::Result<T, Error>;

/// The schema's versions, each made from the one before; never changed once they are out.
const MIGRATIONS: &[&str] = &["
CREATE TABLE name (id INTEGER PRIMARY KEY, kind TEXT NOT NULL, text TEXT NOT NULL, UNIQUE (kind, text));
CREATE TABLE record (
  at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL, sequence INTEGER NOT NULL,
  tenant INTEGER NOT NULL, class INTEGER NOT NULL, outcome INTEGER NOT NULL, share INTEGER NOT NULL,
  parts INTEGER NOT NULL, attempts INTEGER NOT NULL, crossed INTEGER NOT NULL, flags INTEGER NOT NULL,
  key INTEGER NOT NULL, give_up INTEGER NOT NULL,
  PRIMARY KEY (at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE position (
  member INTEGER NOT NULL, incarnation INTEGER NOT NULL, sequence INTEGER NOT NULL, complete INTEGER NOT NULL,
  marked INTEGER NOT NULL, ended INTEGER NOT NULL, lost INTEGER NOT NULL,
  PRIMARY KEY (member, incarnation)) WITHOUT ROWID;
CREATE TABLE damage (
  member INTEGER NOT NULL, segment TEXT NOT NULL, first INTEGER NOT NULL, last INTEGER NOT NULL,
  PRIMARY KEY (member, segment, first)) WITHOUT ROWID;
CREATE TABLE period (start INTEGER PRIMARY KEY, end INTEGER NOT NULL, prices TEXT NOT NULL, dirty INTEGER NOT NULL);
CREATE TABLE carried (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE hint (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE ambiguous (
  period INTEGER NOT NULL, at INTEGER NOT NULL, member INTEGER NOT NULL, incarnation INTEGER NOT NULL,
  sequence INTEGER NOT NULL, PRIMARY KEY (period, at, member, incarnation, sequence)) WITHOUT ROWID;
CREATE TABLE statement (
  period INTEGER PRIMARY KEY, closed INTEGER NOT NULL, body TEXT NOT NULL, hash TEXT NOT NULL);
CREATE TABLE line (
  statement INTEGER NOT NULL, period INTEGER NOT NULL, tenant INTEGER NOT NULL, class INTEGER NOT NULL,
  uses INTEGER NOT NULL, whole INTEGER NOT NULL, partial INTEGER NOT NULL, share INTEGER NOT NULL,
  refused INTEGER NOT NULL, failed INTEGER NOT NULL, gone INTEGER NOT NULL, tries INTEGER NOT NULL,
  parts INTEGER NOT NULL, attempts INTEGER NOT NULL, crossed INTEGER NOT NULL, ambiguous INTEGER NOT NULL,
  amount INTEGER NOT NULL, PRIMARY KEY (statement, period, tenant, class)) WITHOUT ROWID;
CREATE TABLE correction (
  id TEXT PRIMARY KEY, made INTEGER NOT NULL, tenant TEXT NOT NULL, period INTEGER NOT NULL,
  amount INTEGER NOT NULL, reason TEXT NOT NULL, author TEXT NOT NULL, statement INTEGER);
CREATE TABLE outbox (
  id TEXT PRIMARY KEY, made INTEGER NOT NULL, body TEXT NOT NULL, hash TEXT NOT NULL, folder INTEGER, posted INTEGER,
  attempts INTEGER NOT NULL, error TEXT);
"];

/// One line of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementLine {
    pub tenant: String,
    pub class: String,
    /// The period it counts: the statement's own, or an earlier one that late records have changed.
    pub period: String,
    pub adjusts: bool,
    #[serde(flatten)]
    pub counts: Counts,
    /// Micro-units.
    pub amount: i64,
    /// The class has no price; it is counted and free.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unpriced: bool,
}

/// A correction that stands in a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CorrectionLine {
    pub id: String,
    pub tenant: String,
    pub amount: i64,
    pub reason: String,
    pub author: String,
}

/// One tenant's part of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    pub tenant: String,
    /// Answered uses of the period itself.
    pub answered: i64,
    pub allowance: Option<u64>,
    pub over: i64,
    /// Micro-units, with adjustments and corrections.
    pub amount: i64,
}

/// How far a member's records were there when a period closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    pub member: String,
    /// Complete up to this time.
    pub complete: Option<String>,
    /// It was not complete: the period closed without the rest.
    pub missing: bool,
    /// Records that were never written.
    pub lost: i64,
    /// Runs that ended without a word.
    pub died: i64,
    /// Stretches of its log that can't be read.
    pub damaged: i64,
}

/// What a closed period came to. It never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    pub period: String,
    pub end: String,
    pub closed: String,
    pub members: Vec<MemberState>,
    pub lines: Vec<StatementLine>,
    pub corrections: Vec<CorrectionLine>,
    pub tenants: Vec<TenantTotal>,
    /// Micro-units: all lines and corrections.
    pub total: i64,
    pub rounding: String,
    /// SHA-256 of the statement before, in hexadecimal; empty for the first.
    pub previous: String,
}

const ROUNDING: &str = "once a line, half a micro-unit up";

/// What a batch of records came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ingested {
    pub new: u64,
    pub known: u64,
    /// Of the new ones, those of a period that was closed by then.
    pub late: u64,
}

/// How a member stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    pub member: String,
    pub position: Position,
    pub complete: i64,
    pub ended: bool,
    pub records: i64,
    pub lost: i64,
    pub died: i64,
    pub damaged: i64,
}

/// A document to send, or sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    pub id: String,
    pub body: String,
    pub in_folder: bool,
    pub posted: bool,
    pub attempts: u32,
    pub error: Option<String>,
}

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

/// A line of a statement before it is worded.
struct Due {
    of: Period,
    adjusts: bool,
    key: (u32, u32),
    counts: Counts,
    amount: i64,
    unpriced: bool,
}

/// Amounts by tenant and class.
type Amounts = BTreeMap<(u32, u32), i64>;

pub struct Store {
    db: Connection,
    names: HashMap<(&'static str, String), u32>,
}

pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

impl Store {
    /// Opens the store, and brings it to the present version of the schema.
    ///
    /// # Errors
    /// It can't be opened, or a later program made it.
    pub fn open(path: &Path) -> Result<Store> {
        let mut db = Connection::open(path)?;
        db.busy_timeout(Duration::from_secs(60))?;
        db.pragma_update(None, "journal_mode", "wal")?;
        db.pragma_update(None, "synchronous", "full")?;
        db.pragma_update(None, "cache_size", -8192)?;
        // Another process may be doing the same: whoever comes second finds it done.
        let begin = db.transaction_with_behavior(TransactionBehavior::Immediate)?;
        let version: usize =
            begin.pragma_query_value(None, "user_version", |row| row.get::<_, u32>(0))? as usize;
        if version > MIGRATIONS.len() {
            return Err(Error::Newer(version));
        }
        for migration in &MIGRATIONS[version..] {
            begin.execute_batch(migration)?;
        }
        begin.pragma_update(None, "user_version", MIGRATIONS.len() as u32)?;
        begin.commit()?;
        Ok(Store { db, names: HashMap::new() })
    }

    fn begin(&mut self) -> Result<Transaction<'_>> {
        Ok(self.db.transaction_with_behavior(TransactionBehavior::Immediate)?)
    }

    /// The number of a name, made where it is new.
    fn number(&mut self, kind: &'static str, text: &str) -> Result<u32> {
        if let Some(id) = self.names.get(&(kind, text.to_string())) {
            return Ok(*id);
        }
        self.db.execute("INSERT OR IGNORE INTO name (kind, text) VALUES (?, ?)", params![kind, text])?;
        let id = "SELECT id FROM name WHERE kind = ? AND text = ?";
        let id: u32 = self.db.query_row(id, params![kind, text], |row| row.get(0))?;
        self.names.insert((kind, text.to_string()), id);
        Ok(id)
    }

    /// The names by their numbers.
    pub fn names(&self) -> Result<HashMap<u32, String>> {
        let mut rows = self.db.prepare("SELECT id, text FROM name")?;
        let names = rows.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(names.collect::<rusqlite::Result<_>>()?)
    }

    /// Up to where a member's log is in the store.
    pub fn position(&self, member: &str) -> Result<Position> {
        let last = "SELECT incarnation, sequence FROM position JOIN name ON name.id = member
            WHERE kind = 'member' AND text = ? ORDER BY incarnation DESC LIMIT 1";
        let position = |row: &Row| Ok(Position { incarnation: row.get(0)?, sequence: row.get(1)? });
        Ok(self.db.query_row(last, [member], position).optional()?.unwrap_or_default())
    }

    /// Takes what a member's log holds. The same batch again changes nothing.
    pub fn ingest(
        &mut self, member: &str, batch: &Batch, calendar: &Calendar, bounds: Bounds,
    ) -> Result<Ingested> {
        let Some(header) = &batch.header else { return Ok(Ingested::default()) };
        let who = self.number("member", member)?;
        let mut tenants = Vec::new();
        for tenant in &header.tenants {
            tenants.push(self.number("tenant", tenant)?);
        }
        // Where the platform names no tenants, all use is one's.
        let all = self.number("tenant", "all")?;
        let mut classes = Vec::new();
        for class in &header.classes {
            classes.push((self.number("class", &class.name)?, class.give_up_ms as i64));
        }
        let unknown = self.number("class", "unknown")?;
        let mut ingested = Ingested::default();
        let begin = self.begin()?;
        for damage in &batch.damage {
            begin.execute(
                "INSERT OR IGNORE INTO damage VALUES (?, ?, ?, ?)",
                params![who, damage.segment, damage.from as i64, damage.to as i64],
            )?;
        }
        let closed: i64 =
            begin.query_row("SELECT coalesce(max(end), ?) FROM period", [i64::MIN], |row| row.get(0))?;
        let run = header.incarnation as i64;
        let before = begin
            .query_row(
                "SELECT sequence, complete, marked, ended, lost FROM position WHERE member = ? AND incarnation = ?",
                params![who, run],
                |row| {
                    Ok((row.get::<_, i64>(0)?, row.get::<_, i64>(1)?, row.get::<_, i64>(2)?, row.get(3)?, row.get(4)?))
                },
            )
            .optional()?;
        let doubted = doubts(&begin, Some(who))?;
        let (mut sequence, mut complete, mut marked, mut ended, mut lost): (i64, i64, i64, bool, i64) =
            before.unwrap_or((0, i64::MIN, 0, false, 0));
        {
            let mut insert = begin.prepare_cached(
                "INSERT OR IGNORE INTO record VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            )?;
            for entry in &batch.entries {
                match &entry.what {
                    Some(What::Record(it)) => {
                        let at = it.arrived_ms as i64;
                        let (class, give_up) =
                            classes.get(it.class as usize).copied().unwrap_or((unknown, 0));
                        let tenant = tenants.get(it.tenant as usize).copied().unwrap_or(all);
                        let flags = i64::from(it.repeat) | i64::from(it.keyed) << 1;
                        let row = params![
                            at,
                            who,
                            run,
                            it.sequence as i64,
                            tenant,
                            class,
                            it.outcome,
                            it.share,
                            it.parts,
                            it.attempts,
                            it.crossed,
                            flags,
                            it.key as i64,
                            give_up
                        ];
                        if insert.execute(row)? == 0 {
                            ingested.known += 1;
                            continue;
                        }
                        ingested.new += 1;
                        let expected = sequence + 1;
                        let got = it.sequence as i64;
                        // One that fills a gap after all, or widens it.
                        lost += if got >= expected { got - expected } else { -1 };
                        sequence = sequence.max(got);
                        // A closed period has seen a while past its end, where its retries are.
                        if at < closed.saturating_add(bounds.after()) {
                            ingested.late += 1;
                            note_late(&begin, at, at < closed, calendar, bounds)?;
                        }
                    }
                    Some(What::Mark(mark)) => {
                        let said = mark.sequence as i64;
                        lost += (said - sequence).max(0);
                        sequence = sequence.max(said);
                        marked = marked.max(said);
                        complete = complete.max(mark.complete_ms as i64);
                        ended |= mark.end;
                    }
                    None => {}
                }
            }
        }
        begin.execute(
            "INSERT OR REPLACE INTO position VALUES (?, ?, ?, ?, ?, ?, ?)",
            params![who, run, sequence, complete, marked, ended, lost],
        )?;
        let doubt = doubts(&begin, Some(who))?;
        let runs: BTreeSet<_> = doubted.keys().chain(doubt.keys()).copied().collect();
        for run in runs.into_iter().filter(|run| doubted.get(run) != doubt.get(run)) {
            let both = [doubted.get(&run), doubt.get(&run)];
            let past = both.iter().flatten().map(|it| it.0).min().unwrap_or_default();
            let since = both.iter().flatten().map(|it| it.1).min().unwrap_or_default();
            note_doubt(&begin, run, past, since, bounds)?;
        }
        begin.commit()?;
        Ok(ingested)
    }

    /// How the members stand that were ever heard of.
    pub fn standings(&self) -> Result<Vec<Standing>> {
        let mut rows = self.db.prepare(
            "SELECT text, p.incarnation, p.sequence, p.complete, p.ended,
               (SELECT sum(sequence - lost) FROM position o WHERE o.member = p.member),
               (SELECT sum(lost) FROM position o WHERE o.member = p.member),
               (SELECT count(*) FROM position o
                  WHERE o.member = p.member AND NOT o.ended AND o.incarnation < p.incarnation),
               (SELECT count(*) FROM damage d WHERE d.member = p.member)
             FROM position p JOIN name ON name.id = p.member
             WHERE p.incarnation = (SELECT max(incarnation) FROM position o WHERE o.member = p.member) ORDER BY text",
        )?;
        let rows = rows.query_map([], |row| {
            Ok(Standing {
                member: row.get(0)?,
                position: Position { incarnation: row.get(1)?, sequence: row.get(2)? },
                complete: row.get(3)?,
                ended: row.get(4)?,
                records: row.get(5)?,
                lost: row.get(6)?,
                died: row.get(7)?,
                damaged: row.get(8)?,
            })
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// Records of one run of a member, by `TENANT CLASS` as the mixer's own counters have them.
    pub fn recorded(&self, member: &str, incarnation: u64) -> Result<BTreeMap<String, u64>> {
        let mut rows = self.db.prepare(
            "SELECT t.text || ' ' || c.text, count(*) FROM record r JOIN name t ON t.id = r.tenant
             JOIN name c ON c.id = r.class JOIN name m ON m.id = r.member
             WHERE m.kind = 'member' AND m.text = ? AND r.incarnation = ? GROUP BY 1",
        )?;
        let rows =
            rows.query_map(params![member, incarnation as i64], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// The period to close next; none before the first record.
    pub fn next_period(&self, calendar: &Calendar) -> Result<Option<Period>> {
        let last = "SELECT max(end) FROM period WHERE start IN (SELECT period FROM statement)";
        let last: Option<i64> = self.db.query_row(last, [], |row| row.get(0))?;
        if let Some(end) = last {
            return Ok(Some(Period { start: end, end: calendar.at(end).end }));
        }
        let first: Option<i64> = self.db.query_row("SELECT min(at) FROM record", [], |row| row.get(0))?;
        Ok(first.map(|at| calendar.at(at)))
    }

    /// The records that arrived from `from` up to without `until`, in the order of their ids, one after another.
    fn each(db: &Connection, from: i64, until: i64, mut with: impl FnMut(Try)) -> Result<()> {
        let doubt = doubts(db, None)?;
        let mut rows = db.prepare_cached(
            "SELECT at, member, incarnation, sequence, tenant, class, outcome, share, parts, attempts, crossed, flags,
               key, give_up FROM record WHERE at >= ? AND at < ? ORDER BY at, member, incarnation, sequence",
        )?;
        let mut rows = rows.query(params![from, until])?;
        while let Some(row) = rows.next()? {
            let mut one = read_try(row)?;
            one.doubtful =
                doubt.get(&(one.member, one.incarnation)).is_some_and(|(marked, _)| one.sequence > *marked);
            with(one);
        }
        Ok(())
    }

    /// Everything in the store, for checks and dumps.
    pub fn tries(&self, from: i64, until: i64) -> Result<Vec<Try>> {
        let mut all = Vec::new();
        Store::each(&self.db, from, until, |one| all.push(one))?;
        Ok(all)
    }

    fn over(db: &Connection, before: i64) -> Result<Over> {
        let last = "SELECT max(start) FROM period WHERE start < ?";
        let last: Option<i64> = db.query_row(last, [before], |row| row.get(0))?;
        over_of(db, last.unwrap_or(i64::MIN))
    }

    /// Settles a period anew from its records, and remembers what it carries. True if that has changed.
    fn settle_again(db: &Connection, period: Period, bounds: Bounds) -> Result<(Lines, bool)> {
        let (from, until) = bounds.seen(period);
        let mut settling = Settling::new(period, bounds, Store::over(db, period.start)?);
        // One by one: memory holds what may yet be joined, however long the period is.
        Store::each(db, from, until, |one| settling.take(one))?;
        let settled = settling.finish();
        let changed = over_of(db, period.start)? != settled.over;
        put_ids(db, "carried", period.start, settled.over.carried.iter())?;
        put_ids(db, "hint", period.start, settled.over.hints.iter())?;
        put_ids(db, "ambiguous", period.start, settled.ambiguous.iter())?;
        Ok((settled.lines, changed))
    }

    /// Closes a period: its lines, what late records have changed of earlier ones, corrections that wait for it,
    /// the statement, and a document for each tenant, all or nothing.
    pub fn close(&mut self, period: Period, terms: &Terms) -> Result<Statement> {
        let standings = self.standings()?;
        let names = self.names()?;
        let name = |id: &u32| names.get(id).cloned().unwrap_or_default();
        let begin = self.begin()?;
        if begin.query_row("SELECT count(*) FROM statement WHERE period = ?", [period.start], |r| {
            r.get::<_, i64>(0)
        })? > 0
        {
            return Err(Error::Asked(format!("the period {} is closed", period.name())));
        }
        let prices = serde_json::to_string(terms.prices)?;
        begin.execute(
            "INSERT INTO period VALUES (?, ?, ?, 0)
             ON CONFLICT (start) DO UPDATE SET end = excluded.end, prices = excluded.prices",
            params![period.start, period.end, prices],
        )?;
        let mut lines: Vec<Due> = Vec::new();
        while let Some((earlier, prices)) = dirty(&begin, period.start)? {
            let (now, changed) = Store::settle_again(&begin, earlier, terms.bounds)?;
            begin.execute("UPDATE period SET dirty = 0 WHERE start = ?", [earlier.start])?;
            if changed {
                // What it took of the next one's tries is another: that one is to be settled again as well. The
                // one that closes now is settled after all of them in any case.
                begin.execute(
                    "UPDATE period SET dirty = 1 WHERE start = (SELECT min(start) FROM period WHERE start > ?)
                       AND start < ?",
                    [earlier.start, period.start],
                )?;
            }
            let (said, amounts) = said(&begin, earlier)?;
            for (key, counts) in adjustments(&now, &said) {
                let price = prices.get(&name(&key.1)).copied();
                let due = now.get(&key).map_or(0, |counts| amount(counts, price.unwrap_or_default()));
                let difference = due - amounts.get(&key).copied().unwrap_or_default();
                lines.push(Due {
                    of: earlier,
                    adjusts: true,
                    key,
                    counts,
                    amount: difference,
                    unpriced: price.is_none(),
                });
            }
        }
        let (own, _) = Store::settle_again(&begin, period, terms.bounds)?;
        begin.execute("UPDATE period SET dirty = 0 WHERE start = ?", [period.start])?;
        for (key, counts) in &own {
            let price = terms.prices.get(&name(&key.1)).copied();
            let due = amount(counts, price.unwrap_or_default());
            lines.push(Due {
                of: period,
                adjusts: false,
                key: *key,
                counts: *counts,
                amount: due,
                unpriced: price.is_none(),
            });
        }
        for Due { of, key: (tenant, class), counts, amount, .. } in &lines {
            let mut values: Vec<i64> = vec![period.start, of.start, i64::from(*tenant), i64::from(*class)];
            values.extend(counts.values());
            values.push(*amount);
            let marks = vec!["?"; values.len()].join(", ");
            begin
                .execute(&format!("INSERT INTO line VALUES ({marks})"), rusqlite::params_from_iter(values))?;
        }
        let corrections = waiting_corrections(&begin, period)?;
        begin.execute(
            "UPDATE correction SET statement = ?1 WHERE statement IS NULL AND period = ?1",
            [period.start],
        )?;
        let line = |Due { of, adjusts, key: (tenant, class), counts, amount, unpriced }| StatementLine {
            tenant: name(&tenant),
            class: name(&class),
            period: Period::name(&of),
            adjusts,
            counts,
            amount,
            unpriced,
        };
        let lines: Vec<StatementLine> = lines.into_iter().map(line).collect();
        let last = "SELECT hash FROM statement ORDER BY period DESC LIMIT 1";
        let previous: Option<String> = begin.query_row(last, [], |row| row.get(0)).optional()?;
        let member = |member: &String| {
            let standing = standings.iter().find(|standing| standing.member == *member);
            MemberState {
                member: member.clone(),
                complete: standing.map(|standing| stamp(standing.complete)),
                missing: terms.missing.contains(member),
                lost: standing.map_or(0, |standing| standing.lost),
                died: standing.map_or(0, |standing| standing.died),
                damaged: standing.map_or(0, |standing| standing.damaged),
            }
        };
        let statement = Statement {
            period: period.name(),
            end: stamp(period.end),
            closed: stamp(terms.now),
            members: terms.members.iter().map(member).collect(),
            total: lines.iter().map(|line| line.amount).sum::<i64>()
                + corrections.iter().map(|c| c.amount).sum::<i64>(),
            tenants: totals(&lines, &corrections, terms.allowances),
            lines,
            corrections,
            rounding: ROUNDING.into(),
            previous: previous.unwrap_or_default(),
        };
        let body = serde_json::to_string(&statement)?;
        begin.execute(
            "INSERT INTO statement VALUES (?, ?, ?, ?)",
            params![period.start, terms.now, body, digest(body.as_bytes())],
        )?;
        for document in Document::of_statement(&statement) {
            put_document(&begin, &document, terms.now)?;
        }
        begin.commit()?;
        Ok(statement)
    }

    /// Statements, oldest first, with their hashes.
    pub fn statements(&self) -> Result<Vec<(Statement, String, String)>> {
        let mut rows = self.db.prepare("SELECT body, hash FROM statement ORDER BY period")?;
        let rows = rows.query_map([], |row| Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?)))?;
        rows.map(|row| {
            let (body, hash) = row?;
            Ok((serde_json::from_str(&body)?, hash, body))
        })
        .collect()
    }

    /// Enters a correction: into the statement of its period if that is still open, else as a document of its own.
    pub fn correct(
        &mut self, correction: &CorrectionLine, period: Period, now: i64,
    ) -> Result<Option<Document>> {
        let begin = self.begin()?;
        let closed: Option<String> = begin
            .query_row("SELECT hash FROM statement WHERE period = ?", [period.start], |row| row.get(0))
            .optional()?;
        let CorrectionLine { id, tenant, amount, reason, author } = correction;
        let added = begin.execute(
            "INSERT OR IGNORE INTO correction VALUES (?, ?, ?, ?, ?, ?, ?, NULL)",
            params![id, now, tenant, period.start, amount, reason, author],
        )?;
        if added == 0 {
            return Err(Error::Asked(format!("there is a correction {id} already")));
        }
        let document = closed.map(|hash| Document::of_correction(correction, period, &hash));
        if let Some(document) = &document {
            put_document(&begin, document, now)?;
        }
        begin.commit()?;
        Ok(document)
    }

    /// All corrections: the period's name, and whether they stand in its statement.
    pub fn corrections(&self) -> Result<Vec<(CorrectionLine, String, bool)>> {
        let mut rows = self.db.prepare(
            "SELECT id, tenant, amount, reason, author, period, statement IS NOT NULL FROM correction
             ORDER BY made, id",
        )?;
        let rows = rows.query_map([], |row| Ok((correction(row)?, stamp(row.get(5)?), row.get(6)?)))?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// Documents, oldest first; only those still to be sent to the folder or the URL if asked.
    pub fn outbox(&self, folder: bool, url: bool) -> Result<Vec<Outgoing>> {
        let mut rows = self.db.prepare(
            "SELECT id, body, folder IS NOT NULL, posted IS NOT NULL, attempts, error FROM outbox
             WHERE (?1 AND folder IS NULL) OR (?2 AND posted IS NULL) OR NOT (?1 OR ?2) ORDER BY made, id",
        )?;
        let rows = rows.query_map([folder, url], |row| {
            Ok(Outgoing {
                id: row.get(0)?,
                body: row.get(1)?,
                in_folder: row.get(2)?,
                posted: row.get(3)?,
                attempts: row.get(4)?,
                error: row.get(5)?,
            })
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// Notes that a document is in the folder, was posted, or failed.
    pub fn sent(&self, id: &str, folder: bool, posted: bool, error: Option<&str>, now: i64) -> Result<()> {
        let done = |done: bool| done.then_some(now);
        self.db.execute(
            "UPDATE outbox SET folder = coalesce(folder, ?), posted = coalesce(posted, ?), error = ?,
               attempts = attempts + 1 WHERE id = ?",
            params![done(folder), done(posted), error, id],
        )?;
        Ok(())
    }

    /// Checks everything that the store claims: the chain of statements, that lines add up to totals, that the
    /// documents are as they were made, and that the statements together come to what the records do.
    ///
    /// # Errors
    /// The store can't be read; what is wrong with it is returned.
    pub fn verify(&self, bounds: Bounds) -> Result<(u64, Vec<String>)> {
        let mut wrong = Vec::new();
        let check: String = self.db.query_row("PRAGMA integrity_check", [], |row| row.get(0))?;
        if check != "ok" {
            wrong.push(format!("the file is damaged: {check}"));
        }
        let mut previous = String::new();
        let mut checked = 0;
        for (statement, hash, body) in self.statements()? {
            let name = &statement.period;
            if digest(body.as_bytes()) != hash {
                wrong.push(format!("statement {name}: its text is not what was hashed"));
            }
            if statement.previous != previous {
                wrong.push(format!("statement {name}: does not follow the one before it"));
            }
            let lines: i64 = statement.lines.iter().map(|line| line.amount).sum();
            let corrections: i64 = statement.corrections.iter().map(|line| line.amount).sum();
            let tenants: i64 = statement.tenants.iter().map(|tenant| tenant.amount).sum();
            if lines + corrections != statement.total || tenants != statement.total {
                wrong.push(format!(
                    "statement {name}: its lines come to {}, its total is {}",
                    lines + corrections,
                    statement.total
                ));
            }
            previous = hash;
            checked += 1;
        }
        let mut rows = self.db.prepare("SELECT id, body, hash FROM outbox")?;
        let mut rows = rows.query([])?;
        while let Some(row) = rows.next()? {
            let (id, body, hash): (String, String, String) = (row.get(0)?, row.get(1)?, row.get(2)?);
            if digest(body.as_bytes()) != hash {
                wrong.push(format!("document {id}: its text is not what was hashed"));
            }
            checked += 1;
        }
        let names = self.names()?;
        for (period, dirty) in periods(&self.db)? {
            if dirty {
                continue;
            }
            let (from, until) = bounds.seen(period);
            let mut settling = Settling::new(period, bounds, Store::over(&self.db, period.start)?);
            Store::each(&self.db, from, until, |one| settling.take(one))?;
            let now = settling.finish().lines;
            let (said, _) = said(&self.db, period)?;
            for ((tenant, class), counts) in adjustments(&now, &said) {
                let (tenant, class) = (names.get(&tenant), names.get(&class));
                wrong.push(format!(
                    "period {}: {tenant:?} {class:?}: statements differ from the records by {} uses",
                    period.name(),
                    counts.uses
                ));
            }
            checked += 1;
        }
        Ok((checked, wrong))
    }

    /// The closed periods, and whether late records wait to be settled.
    pub fn periods(&self) -> Result<Vec<(Period, bool)>> {
        periods(&self.db)
    }

    /// First tries of uses with a join that might have been another, by period.
    pub fn ambiguous(&self, period: Period) -> Result<BTreeSet<Id>> {
        ids(&self.db, "ambiguous", period.start)
    }
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

/// A record has come that closed periods should have seen, or for a time that no period was ever made for.
fn note_late(db: &Connection, at: i64, closed: bool, calendar: &Calendar, bounds: Bounds) -> Result<()> {
    db.prepare_cached("UPDATE period SET dirty = 1 WHERE start - ?2 <= ?1 AND end + ?3 > ?1")?.execute([
        at,
        bounds.skew,
        bounds.after(),
    ])?;
    let held = "SELECT count(*) FROM period WHERE start <= ? AND end > ?";
    let held: i64 = db.prepare_cached(held)?.query_row([at, at], |row| row.get(0))?;
    if closed && held == 0 {
        let period = calendar.at(at);
        // Not over its neighbours, should the calendar have been another then.
        let after = "SELECT min(start) FROM period WHERE start > ?";
        let after: Option<i64> = db.query_row(after, [at], |row| row.get(0))?;
        let before: Option<i64> =
            db.query_row("SELECT max(end) FROM period WHERE end <= ?", [at], |row| row.get(0))?;
        let start = period.start.max(before.unwrap_or(i64::MIN));
        let end = period.end.min(after.unwrap_or(i64::MAX));
        db.execute("INSERT INTO period VALUES (?, ?, '{}', 1)", [start, end])?;
    }
    Ok(())
}

/// The runs of which the last answers are in doubt: a later one of their member began and they never said that they
/// ended. For each the sequence past which they are, and the time before which nothing past it can have arrived.
fn doubts(db: &Connection, member: Option<u32>) -> Result<HashMap<(u32, u64), (u64, i64)>> {
    let mut runs = db.prepare_cached(
        "SELECT member, incarnation, marked, complete FROM position p WHERE NOT ended AND member = coalesce(?, member)
           AND EXISTS (SELECT 1 FROM position o WHERE o.member = p.member AND o.incarnation > p.incarnation)",
    )?;
    let runs =
        runs.query_map([member], |row| Ok(((row.get(0)?, row.get(1)?), (row.get(2)?, row.get(3)?))))?;
    Ok(runs.collect::<rusqlite::Result<_>>()?)
}

/// A run's last answers have come into doubt, or out of it: whoever retried them may be joined otherwise now, and
/// periods closed with the other reading are settled again.
fn note_doubt(db: &Connection, run: (u32, u64), past: u64, since: i64, bounds: Bounds) -> Result<()> {
    db.execute(
        "UPDATE period SET dirty = 1 WHERE end + ?6 > ?4 AND EXISTS (SELECT 1 FROM record
           WHERE at >= max(start - ?5, ?4) AND at < end + ?6 AND member = ?1 AND incarnation = ?2 AND sequence > ?3)",
        params![run.0, run.1 as i64, past as i64, since, bounds.skew, bounds.after()],
    )?;
    Ok(())
}

fn ids(db: &Connection, table: &str, period: i64) -> Result<BTreeSet<Id>> {
    let mut rows =
        db.prepare(&format!("SELECT at, member, incarnation, sequence FROM {table} WHERE period = ?"))?;
    let rows = rows.query_map([period], |row| Ok((row.get(0)?, row.get(1)?, row.get(2)?, row.get(3)?)))?;
    Ok(rows.collect::<rusqlite::Result<_>>()?)
}

fn over_of(db: &Connection, period: i64) -> Result<Over> {
    Ok(Over { carried: ids(db, "carried", period)?, hints: ids(db, "hint", period)? })
}

fn put_ids<'a>(db: &Connection, table: &str, period: i64, ids: impl Iterator<Item = &'a Id>) -> Result<()> {
    db.execute(&format!("DELETE FROM {table} WHERE period = ?"), [period])?;
    let mut insert = db.prepare(&format!("INSERT INTO {table} VALUES (?, ?, ?, ?, ?)"))?;
    for (at, member, incarnation, sequence) in ids {
        insert.execute(params![period, at, member, *incarnation as i64, *sequence as i64])?;
    }
    Ok(())
}

/// The next closed period that has to be settled again, with its prices, one after another: settling one may call
/// for the one after it.
fn dirty(db: &Connection, before: i64) -> Result<Option<(Period, BTreeMap<String, Price>)>> {
    let next = "SELECT start, end, prices FROM period WHERE dirty AND start < ? ORDER BY start LIMIT 1";
    let read = |row: &Row| Ok((Period { start: row.get(0)?, end: row.get(1)? }, row.get::<_, String>(2)?));
    match db.query_row(next, [before], read).optional()? {
        Some((period, prices)) => Ok(Some((period, serde_json::from_str(&prices)?))),
        None => Ok(None),
    }
}

/// What statements have said of a period so far: its counts and its amounts.
fn said(db: &Connection, period: Period) -> Result<(Lines, Amounts)> {
    let mut rows = db.prepare(
        "SELECT tenant, class, sum(uses), sum(whole), sum(partial), sum(share), sum(refused), sum(failed), sum(gone),
           sum(tries), sum(parts), sum(attempts), sum(crossed), sum(ambiguous), sum(amount)
         FROM line WHERE period = ? GROUP BY tenant, class",
    )?;
    let mut rows = rows.query([period.start])?;
    let (mut lines, mut amounts) = (Lines::new(), Amounts::new());
    while let Some(row) = rows.next()? {
        let key = (row.get(0)?, row.get(1)?);
        let mut values = [0; 12];
        for (i, value) in values.iter_mut().enumerate() {
            *value = row.get(i + 2)?;
        }
        lines.insert(key, Counts::from_values(values));
        amounts.insert(key, row.get(14)?);
    }
    Ok((lines, amounts))
}

fn periods(db: &Connection) -> Result<Vec<(Period, bool)>> {
    let mut rows = db.prepare("SELECT start, end, dirty FROM period ORDER BY start")?;
    let rows = rows
        .query_map([], |row| Ok((Period { start: row.get(0)?, end: row.get(1)? }, row.get::<_, bool>(2)?)))?;
    Ok(rows.collect::<rusqlite::Result<_>>()?)
}

fn correction(row: &Row) -> rusqlite::Result<CorrectionLine> {
    Ok(CorrectionLine {
        id: row.get(0)?,
        tenant: row.get(1)?,
        amount: row.get(2)?,
        reason: row.get(3)?,
        author: row.get(4)?,
    })
}

fn waiting_corrections(db: &Connection, period: Period) -> Result<Vec<CorrectionLine>> {
    let mut rows = db.prepare(
        "SELECT id, tenant, amount, reason, author FROM correction
         WHERE statement IS NULL AND period = ? ORDER BY made, id",
    )?;
    let rows = rows.query_map([period.start], correction)?;
    Ok(rows.collect::<rusqlite::Result<_>>()?)
}

fn put_document(db: &Connection, document: &Document, now: i64) -> Result<()> {
    let body = serde_json::to_string(document)?;
    db.execute(
        "INSERT INTO outbox VALUES (?, ?, ?, ?, NULL, NULL, 0, NULL)",
        params![document.id, now, body, digest(body.as_bytes())],
    )?;
    Ok(())
}

fn totals(
    lines: &[StatementLine], corrections: &[CorrectionLine], allowances: &BTreeMap<String, u64>,
) -> Vec<TenantTotal> {
    let mut totals: BTreeMap<&str, (i64, i64)> = BTreeMap::new();
    for line in lines {
        let (answered, amount) = totals.entry(&line.tenant).or_default();
        *answered += if line.adjusts { 0 } else { line.counts.answered() };
        *amount += line.amount;
    }
    for correction in corrections {
        totals.entry(&correction.tenant).or_default().1 += correction.amount;
    }
    let total = |(tenant, (answered, amount)): (&str, (i64, i64))| {
        let allowance = allowances.get(tenant).copied();
        TenantTotal { tenant: tenant.into(), answered, allowance, over: over(answered, allowance), amount }
    };
    totals.into_iter().map(total).collect()
}
