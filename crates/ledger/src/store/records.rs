//! Reading the usage records of the store.

use super::{Result, Store};
use crate::join::{ClientAttempt, Outcome};
use crate::wire::Outcome as WireOutcome;
use rusqlite::{params, Connection, Row};
use std::collections::HashMap;

/// One run of a member: the member's id and the incarnation.
pub(super) type RunId = (u32, u64);

/// A run that ended without a final watermark: answers after its last watermark may not have been delivered.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct UnconfirmedRun {
    /// The sequence of the last watermark; delivery is uncertain for later records.
    pub(super) confirmed_sequence: u64,
    /// No later record can have arrived before this time, in Unix milliseconds.
    pub(super) watermark_ms: i64,
}

impl Store {
    /// All attempts that arrived in `from..until` (Unix milliseconds), for checks and dumps.
    pub fn client_attempts(&self, from: i64, until: i64) -> Result<Vec<ClientAttempt>> {
        let mut all = Vec::new();
        for_each_attempt(&self.db, from, until, |attempt| all.push(attempt))?;
        Ok(all)
    }
}

/// Visits the attempts that arrived in `from..until` (Unix milliseconds), in the order of their ids.
pub(super) fn for_each_attempt(
    db: &Connection,
    from: i64,
    until: i64,
    mut visit: impl FnMut(ClientAttempt),
) -> Result<()> {
    let unconfirmed = unconfirmed_runs(db, None)?;
    let mut rows = db.prepare_cached(
        "SELECT at, member, incarnation, sequence, tenant, class, outcome, share, parts, attempts, crossed, flags,
           key, give_up FROM record WHERE at >= ? AND at < ? ORDER BY at, member, incarnation, sequence",
    )?;
    let mut rows = rows.query(params![from, until])?;
    while let Some(row) = rows.next()? {
        let mut attempt = read_attempt(row)?;
        attempt.delivery_uncertain = unconfirmed
            .get(&(attempt.member, attempt.incarnation))
            .is_some_and(|run| attempt.sequence > run.confirmed_sequence);
        visit(attempt);
    }
    Ok(())
}

/// The runs without a final watermark whose member has a later run.
pub(super) fn unconfirmed_runs(
    db: &Connection,
    member: Option<u32>,
) -> Result<HashMap<RunId, UnconfirmedRun>> {
    let mut runs = db.prepare_cached(
        "SELECT member, incarnation, marked, complete FROM position p WHERE NOT ended AND member = coalesce(?, member)
           AND EXISTS (SELECT 1 FROM position o WHERE o.member = p.member AND o.incarnation > p.incarnation)",
    )?;
    let runs = runs.query_map([member], |row| {
        let unconfirmed = UnconfirmedRun {
            confirmed_sequence: row.get(2)?,
            watermark_ms: row.get(3)?,
        };
        Ok(((row.get(0)?, row.get(1)?), unconfirmed))
    })?;
    Ok(runs.collect::<rusqlite::Result<_>>()?)
}

fn read_attempt(row: &Row) -> rusqlite::Result<ClientAttempt> {
    let (outcome, coverage): (i32, u32) = (row.get(6)?, row.get(7)?);
    let flags: i64 = row.get(11)?;
    let key: i64 = row.get(12)?;
    Ok(ClientAttempt {
        arrived_ms: row.get(0)?,
        member: row.get(1)?,
        incarnation: row.get(2)?,
        sequence: row.get(3)?,
        tenant: row.get(4)?,
        class: row.get(5)?,
        outcome: match WireOutcome::try_from(outcome) {
            Ok(WireOutcome::Whole) => Outcome::Complete,
            Ok(WireOutcome::Partial) => Outcome::Partial(coverage),
            Ok(WireOutcome::Refused) => Outcome::Rejected,
            Ok(WireOutcome::Left) => Outcome::ClientDisconnected,
            Ok(WireOutcome::Failed) | Err(_) => Outcome::Failed,
        },
        parts: row.get(8)?,
        part_attempts: row.get(9)?,
        cross_zone_attempts: row.get(10)?,
        client_retry: flags & 1 != 0,
        key_from_client: flags & 2 != 0,
        key: key as u64,
        retry_window_ms: row.get(13)?,
        delivery_uncertain: false,
    })
}
