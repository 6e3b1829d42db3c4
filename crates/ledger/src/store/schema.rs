//! The schema of the store and its migrations.

use super::{Error, Result};
use rusqlite::{Connection, TransactionBehavior};

/// Migrations, each from the previous schema version; a released migration is never changed.
pub(super) const MIGRATIONS: &[&str] = &["
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

/// Migrates a database to the current schema version, in one transaction.
///
/// # Errors
/// [`Error::NewerSchema`] if the schema is of a later version; otherwise the error of SQLite.
pub(super) fn migrate(db: &mut Connection) -> Result<()> {
    // The version is read under the write lock, since another process may migrate at the same time.
    let transaction = db.transaction_with_behavior(TransactionBehavior::Immediate)?;
    let version: usize =
        transaction.pragma_query_value(None, "user_version", |row| row.get::<_, u32>(0))? as usize;
    if version > MIGRATIONS.len() {
        return Err(Error::NewerSchema(version));
    }
    for migration in &MIGRATIONS[version..] {
        transaction.execute_batch(migration)?;
    }
    transaction.pragma_update(None, "user_version", MIGRATIONS.len() as u32)?;
    transaction.commit()?;
    Ok(())
}
