//! Corrections that an operator enters, and the statements that include them.

use super::outbox::enqueue_document;
use super::{CorrectionLine, Error, Result, Store};
use crate::export::Document;
use crate::period::{format_timestamp, Period};
use rusqlite::{params, Connection, OptionalExtension, Row};

impl Store {
    /// Enters a correction. It is included in the statement of its period if that is still open; otherwise it becomes a
    /// separate document, which is returned.
    ///
    /// # Errors
    /// [`Error::InvalidRequest`] if a correction with the same id exists.
    pub fn correct(
        &mut self,
        correction: &CorrectionLine,
        period: Period,
        now: i64,
    ) -> Result<Option<Document>> {
        let transaction = self.begin()?;
        let closed: Option<String> = transaction
            .query_row(
                "SELECT hash FROM statement WHERE period = ?",
                [period.start],
                |row| row.get(0),
            )
            .optional()?;
        let CorrectionLine {
            id,
            tenant,
            amount,
            reason,
            author,
        } = correction;
        let added = transaction.execute(
            "INSERT OR IGNORE INTO correction VALUES (?, ?, ?, ?, ?, ?, ?, NULL)",
            params![id, now, tenant, period.start, amount, reason, author],
        )?;
        if added == 0 {
            return Err(Error::InvalidRequest(format!(
                "correction {id} already exists"
            )));
        }
        let document = closed.map(|hash| Document::from_correction(correction, period, &hash));
        if let Some(document) = &document {
            enqueue_document(&transaction, document, now)?;
        }
        transaction.commit()?;
        Ok(document)
    }

    /// All corrections, each with the name of its period and whether the period's statement includes it.
    pub fn corrections(&self) -> Result<Vec<(CorrectionLine, String, bool)>> {
        let mut rows = self.db.prepare(
            "SELECT id, tenant, amount, reason, author, period, statement IS NOT NULL FROM correction
             ORDER BY made, id",
        )?;
        let rows = rows.query_map([], |row| {
            Ok((correction(row)?, format_timestamp(row.get(5)?), row.get(6)?))
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }
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

/// Assigns the open corrections of a period to its statement and returns them.
pub(super) fn include_open_corrections(
    db: &Connection,
    period: Period,
) -> Result<Vec<CorrectionLine>> {
    let mut rows = db.prepare(
        "SELECT id, tenant, amount, reason, author FROM correction
         WHERE statement IS NULL AND period = ? ORDER BY made, id",
    )?;
    let rows = rows.query_map([period.start], correction)?;
    let corrections = rows.collect::<rusqlite::Result<_>>()?;
    db.execute(
        "UPDATE correction SET statement = ?1 WHERE statement IS NULL AND period = ?1",
        [period.start],
    )?;
    Ok(corrections)
}
