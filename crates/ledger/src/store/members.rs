//! The collection state of the members' logs.

use super::{Result, Store};
use crate::log::Position;
use rusqlite::{params, OptionalExtension, Row};
use std::collections::BTreeMap;

/// The collection state of one member: position and watermark of its latest run, and totals of all its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub member: String,
    pub position: Position,
    /// All records of arrivals before this time (Unix milliseconds) are in the store.
    pub watermark_ms: i64,
    /// Whether the latest run was shut down gracefully.
    pub ended: bool,
    /// Records in the store.
    pub records: i64,
    /// Records missing in the sequence.
    pub lost_records: i64,
    /// Earlier runs without a final watermark.
    pub crashed_runs: i64,
    /// Unreadable ranges of the log.
    pub damaged_ranges: i64,
}

impl Store {
    /// The position up to which a member's log is in the store.
    pub fn position(&self, member: &str) -> Result<Position> {
        let last = "SELECT incarnation, sequence FROM position JOIN name ON name.id = member
            WHERE kind = 'member' AND text = ? ORDER BY incarnation DESC LIMIT 1";
        let position = |row: &Row| {
            Ok(Position {
                incarnation: row.get(0)?,
                sequence: row.get(1)?,
            })
        };
        Ok(self
            .db
            .query_row(last, [member], position)
            .optional()?
            .unwrap_or_default())
    }

    /// The state of every member with a collected batch.
    pub fn member_statuses(&self) -> Result<Vec<MemberStatus>> {
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
            Ok(MemberStatus {
                member: row.get(0)?,
                position: Position {
                    incarnation: row.get(1)?,
                    sequence: row.get(2)?,
                },
                watermark_ms: row.get(3)?,
                ended: row.get(4)?,
                records: row.get(5)?,
                lost_records: row.get(6)?,
                crashed_runs: row.get(7)?,
                damaged_ranges: row.get(8)?,
            })
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// Number of records of one run of a member, by `TENANT CLASS` like the mixer's own counters.
    pub fn record_counts(&self, member: &str, incarnation: u64) -> Result<BTreeMap<String, u64>> {
        let mut rows = self.db.prepare(
            "SELECT t.text || ' ' || c.text, count(*) FROM record r JOIN name t ON t.id = r.tenant
             JOIN name c ON c.id = r.class JOIN name m ON m.id = r.member
             WHERE m.kind = 'member' AND m.text = ? AND r.incarnation = ? GROUP BY 1",
        )?;
        let rows = rows.query_map(params![member, incarnation as i64], |row| {
            Ok((row.get(0)?, row.get(1)?))
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }
}
