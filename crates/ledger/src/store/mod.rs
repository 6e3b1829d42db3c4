//! The settlement's store: one SQLite file with one writer at a time; each step is a transaction.
//!
//! [`ingest`](Store::ingest) stores batches of the members' logs, [`close`](Store::close) closes a period with a
//! statement, and [`verify`](Store::verify) checks the stored data for consistency.

mod carry_forward;
mod closing;
mod corrections;
mod ingest;
mod members;
mod outbox;
mod records;
mod schema;
mod settling;
mod statement;
mod verify;

pub use closing::CloseParameters;
pub use ingest::Ingested;
pub use members::MemberStatus;
pub use outbox::OutboxDocument;
pub use statement::{CorrectionLine, MemberState, Statement, StatementLine, TenantTotal};

use crate::join::RecordId;
use crate::period::Period;
use rusqlite::{params, Connection, Transaction, TransactionBehavior};
use schema::MIGRATIONS;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::time::Duration;

/// Errors of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("store: {0}")]
    Sqlite(#[from] rusqlite::Error),
    #[error("the store has schema version {0} of a later program; this program supports up to {known}", known = MIGRATIONS.len())]
    NewerSchema(usize),
    #[error("{0}")]
    InvalidRequest(String),
    #[error("invalid JSON in the store or a document: {0}")]
    Json(#[from] serde_json::Error),
}

type Result<T> = std::result::Result<T, Error>;

/// How long a transaction waits for the lock of another process.
const BUSY_TIMEOUT: Duration = Duration::from_secs(60);

/// An open store.
pub struct Store {
    db: Connection,
    /// Cache of name ids by kind and text.
    name_ids: HashMap<(&'static str, String), u32>,
}

/// SHA-256, in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

impl Store {
    /// Opens the store and migrates it to the current version of the schema.
    ///
    /// # Errors
    /// It cannot be opened, or its schema is of a later version.
    pub fn open(path: &Path) -> Result<Store> {
        let mut db = Connection::open(path)?;
        db.busy_timeout(BUSY_TIMEOUT)?;
        db.pragma_update(None, "journal_mode", "wal")?;
        db.pragma_update(None, "synchronous", "full")?;
        db.pragma_update(None, "cache_size", -8192)?;
        schema::migrate(&mut db)?;
        Ok(Store {
            db,
            name_ids: HashMap::new(),
        })
    }

    fn begin(&mut self) -> Result<Transaction<'_>> {
        Ok(self
            .db
            .transaction_with_behavior(TransactionBehavior::Immediate)?)
    }

    /// The id of a name; a new name is inserted.
    fn name_id(&mut self, kind: &'static str, text: &str) -> Result<u32> {
        if let Some(id) = self.name_ids.get(&(kind, text.to_string())) {
            return Ok(*id);
        }
        self.db.execute(
            "INSERT OR IGNORE INTO name (kind, text) VALUES (?, ?)",
            params![kind, text],
        )?;
        let id = "SELECT id FROM name WHERE kind = ? AND text = ?";
        let id: u32 = self
            .db
            .query_row(id, params![kind, text], |row| row.get(0))?;
        self.name_ids.insert((kind, text.to_string()), id);
        Ok(id)
    }

    /// All names by their ids.
    pub fn names(&self) -> Result<HashMap<u32, String>> {
        let mut rows = self.db.prepare("SELECT id, text FROM name")?;
        let names = rows.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(names.collect::<rusqlite::Result<_>>()?)
    }

    /// First attempts of the uses of a period that have an ambiguous join.
    pub fn ambiguous_uses(&self, period: Period) -> Result<BTreeSet<RecordId>> {
        carry_forward::load_ids(&self.db, "ambiguous", period.start)
    }
}
