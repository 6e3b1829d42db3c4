//! How far the members' logs have been collected.

use super::{Result, Store};
use crate::log::Position;
use rusqlite::{params, OptionalExtension, Row};
use std::collections::BTreeMap;

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

impl Store {
    /// Up to where a member's log is in the store.
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
                position: Position {
                    incarnation: row.get(1)?,
                    sequence: row.get(2)?,
                },
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
        let rows = rows.query_map(params![member, incarnation as i64], |row| {
            Ok((row.get(0)?, row.get(1)?))
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }
}
