//! The outbox: documents to export to the folder and the receiver.

use super::{digest, Result, Store};
use crate::export::Document;
use rusqlite::{params, Connection};

/// A document and its delivery state.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboxDocument {
    pub id: String,
    pub body: String,
    pub in_folder: bool,
    pub posted: bool,
    pub attempts: u32,
    pub error: Option<String>,
}

impl Store {
    /// Documents, oldest first. With `folder` or `url` set, only those not yet delivered to that target.
    pub fn outbox(&self, folder: bool, url: bool) -> Result<Vec<OutboxDocument>> {
        let mut rows = self.db.prepare(
            "SELECT id, body, folder IS NOT NULL, posted IS NOT NULL, attempts, error FROM outbox
             WHERE (?1 AND folder IS NULL) OR (?2 AND posted IS NULL) OR NOT (?1 OR ?2) ORDER BY made, id",
        )?;
        let rows = rows.query_map([folder, url], |row| {
            Ok(OutboxDocument {
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

    /// Records a delivery attempt: success by target, or the error.
    pub fn record_delivery(
        &self,
        id: &str,
        folder: bool,
        posted: bool,
        error: Option<&str>,
        now: i64,
    ) -> Result<()> {
        let done = |done: bool| done.then_some(now);
        self.db.execute(
            "UPDATE outbox SET folder = coalesce(folder, ?), posted = coalesce(posted, ?), error = ?,
               attempts = attempts + 1 WHERE id = ?",
            params![done(folder), done(posted), error, id],
        )?;
        Ok(())
    }
}

/// Adds a document to the outbox, in the transaction that created it. `now` is Unix milliseconds.
pub(super) fn enqueue_document(db: &Connection, document: &Document, now: i64) -> Result<()> {
    let body = serde_json::to_string(document)?;
    db.execute(
        "INSERT INTO outbox VALUES (?, ?, ?, ?, NULL, NULL, 0, NULL)",
        params![document.id, now, body, digest(body.as_bytes())],
    )?;
    Ok(())
}
