//! The settlement's store: one SQLite file, one writer at a time, every step a transaction.
//!
//! [`ingest`](Store::ingest) takes the members' logs, [`close`](Store::close) makes statements of them, and
//! [`verify`](Store::verify) checks that what is stored still agrees.

mod carried;
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

pub use closing::Terms;
pub use ingest::Ingested;
pub use members::Standing;
pub use outbox::Outgoing;
pub use statement::{CorrectionLine, MemberState, Statement, StatementLine, TenantTotal};

use crate::join::Id;
use crate::period::Period;
use rusqlite::{params, Connection, Transaction, TransactionBehavior};
use schema::MIGRATIONS;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
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

/// How long a step waits for another process that writes.
const BUSY_TIMEOUT: Duration = Duration::from_secs(60);

/// An open store.
pub struct Store {
    db: Connection,
    /// The numbers of names by kind and text, as far as they were asked for.
    names: HashMap<(&'static str, String), u32>,
}

/// SHA-256, in hexadecimal.
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
        db.busy_timeout(BUSY_TIMEOUT)?;
        db.pragma_update(None, "journal_mode", "wal")?;
        db.pragma_update(None, "synchronous", "full")?;
        db.pragma_update(None, "cache_size", -8192)?;
        schema::migrate(&mut db)?;
        Ok(Store {
            db,
            names: HashMap::new(),
        })
    }

    fn begin(&mut self) -> Result<Transaction<'_>> {
        Ok(self
            .db
            .transaction_with_behavior(TransactionBehavior::Immediate)?)
    }

    /// The number of a name, made where it is new.
    fn number(&mut self, kind: &'static str, text: &str) -> Result<u32> {
        if let Some(id) = self.names.get(&(kind, text.to_string())) {
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
        self.names.insert((kind, text.to_string()), id);
        Ok(id)
    }

    /// The names by their numbers.
    pub fn names(&self) -> Result<HashMap<u32, String>> {
        let mut rows = self.db.prepare("SELECT id, text FROM name")?;
        let names = rows.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
        Ok(names.collect::<rusqlite::Result<_>>()?)
    }

    /// First tries of uses with a join that might have been another, by period.
    pub fn ambiguous(&self, period: Period) -> Result<BTreeSet<Id>> {
        carried::ids(&self.db, "ambiguous", period.start)
    }
}
