//! Consistency check of the store.

use super::carry_forward::load_previous_carry_forward;
use super::records::for_each_attempt;
use super::settling::billed_totals;
use super::{digest, Result, Statement, Store};
use crate::settle::{adjustments, JoinLimits, PeriodSettler};

impl Store {
    /// Checks the chain of statements, the sums of lines, the hashes of documents, and that all statements together
    /// match the records. Returns the number of checked items and the problems found.
    ///
    /// # Errors
    /// The store cannot be read.
    pub fn verify(&self, bounds: JoinLimits) -> Result<(u64, Vec<String>)> {
        let mut problems = Vec::new();
        let check: String = self
            .db
            .query_row("PRAGMA integrity_check", [], |row| row.get(0))?;
        if check != "ok" {
            problems.push(format!("the SQLite file is damaged: {check}"));
        }
        let statements = self.verify_statements(&mut problems)?;
        let documents = self.verify_documents(&mut problems)?;
        let periods = self.verify_periods(bounds, &mut problems)?;
        Ok((statements + documents + periods, problems))
    }

    /// Checks the chain of statements and their sums; returns the number of statements.
    fn verify_statements(&self, problems: &mut Vec<String>) -> Result<u64> {
        let mut previous = String::new();
        let mut checked = 0;
        for (statement, hash, body) in self.statements()? {
            let name = &statement.period;
            if digest(body.as_bytes()) != hash {
                problems.push(format!(
                    "statement {name}: its text does not match its hash"
                ));
            }
            if statement.previous_hash != previous {
                problems.push(format!(
                    "statement {name}: its link to the previous statement does not match"
                ));
            }
            problems.extend(sum_problem(&statement));
            previous = hash;
            checked += 1;
        }
        Ok(checked)
    }

    /// Checks the hashes of the documents; returns the number of documents.
    fn verify_documents(&self, problems: &mut Vec<String>) -> Result<u64> {
        let mut checked = 0;
        let mut rows = self.db.prepare("SELECT id, body, hash FROM outbox")?;
        let mut rows = rows.query([])?;
        while let Some(row) = rows.next()? {
            let (id, body, hash): (String, String, String) =
                (row.get(0)?, row.get(1)?, row.get(2)?);
            if digest(body.as_bytes()) != hash {
                problems.push(format!("document {id}: its text does not match its hash"));
            }
            checked += 1;
        }
        Ok(checked)
    }

    /// Compares the billed counts of settled periods with the records; returns the number of periods.
    fn verify_periods(&self, bounds: JoinLimits, problems: &mut Vec<String>) -> Result<u64> {
        let mut checked = 0;
        let names = self.names()?;
        for (period, dirty) in self.periods()? {
            if dirty {
                continue;
            }
            let (from, until) = bounds.arrival_range(period);
            let mut settler = PeriodSettler::new(
                period,
                bounds,
                load_previous_carry_forward(&self.db, period.start)?,
            );
            for_each_attempt(&self.db, from, until, |attempt| settler.push(attempt))?;
            let current = settler.finish().lines;
            let (billed, _) = billed_totals(&self.db, period)?;
            for ((tenant, class), counts) in adjustments(&current, &billed) {
                let (tenant, class) = (names.get(&tenant), names.get(&class));
                problems.push(format!(
                    "period {}: {tenant:?} {class:?}: the counts in the statements differ from the records by {} uses (other counts may differ, too)",
                    period.name(),
                    counts.uses
                ));
            }
            checked += 1;
        }
        Ok(checked)
    }
}

/// The problem of a statement whose sums do not match.
fn sum_problem(statement: &Statement) -> Option<String> {
    let lines: i64 = statement.lines.iter().map(|line| line.amount).sum();
    let corrections: i64 = statement.corrections.iter().map(|line| line.amount).sum();
    let tenants: i64 = statement.tenants.iter().map(|tenant| tenant.amount).sum();
    (lines + corrections != statement.total || tenants != statement.total).then(|| {
        let Statement { period, total, .. } = statement;
        format!(
            "statement {period}: the sum of its lines and corrections ({}), the sum of its tenants ({tenants}) and its total ({total}) are not equal",
            lines + corrections
        )
    })
}
