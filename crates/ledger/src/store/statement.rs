//! Statements of closed periods, as they are stored, hashed and exported.

use crate::rate::{uses_above_allowance, Counts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementLine {
    pub tenant: String,
    pub class: String,
    /// The period that the line counts: that of the statement, or an earlier one that late records have changed.
    pub period: String,
    /// The line is an adjustment of an earlier period.
    pub adjusts: bool,
    #[serde(flatten)]
    pub counts: Counts,
    /// Micro-units.
    pub amount: i64,
    /// The class has no price: its uses are counted and free.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unpriced: bool,
}

/// A correction of an amount by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CorrectionLine {
    pub id: String,
    pub tenant: String,
    /// Micro-units; negative for a credit.
    pub amount: i64,
    pub reason: String,
    pub author: String,
}

/// The totals of one tenant in a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    pub tenant: String,
    /// Answered uses of the statement's own period, without adjustments.
    pub answered: i64,
    pub allowance: Option<u64>,
    /// Answered uses above the allowance.
    #[serde(rename = "over")]
    pub above_allowance: i64,
    /// Micro-units, including adjustments and corrections.
    pub amount: i64,
}

/// The collection state of a member when the period closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    pub member: String,
    /// The watermark: records are complete up to this time; `None` if the member was never collected.
    pub complete: Option<String>,
    /// The records of the period were incomplete.
    pub missing: bool,
    /// Records missing in the sequence.
    #[serde(rename = "lost")]
    pub lost_records: i64,
    /// Earlier runs without a final watermark.
    #[serde(rename = "died")]
    pub crashed_runs: i64,
    /// Unreadable ranges of the log.
    #[serde(rename = "damaged")]
    pub damaged_ranges: i64,
}

/// The statement of a closed period; immutable once stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    pub period: String,
    pub end: String,
    pub closed: String,
    pub members: Vec<MemberState>,
    pub lines: Vec<StatementLine>,
    pub corrections: Vec<CorrectionLine>,
    pub tenants: Vec<TenantTotal>,
    /// Micro-units: the sum of all lines and corrections.
    pub total: i64,
    pub rounding: String,
    /// SHA-256 of the previous statement, in hexadecimal; empty for the first.
    #[serde(rename = "previous")]
    pub previous_hash: String,
}

/// The rounding of amounts, as every statement describes it.
pub(super) const ROUNDING: &str = "once a line, half a micro-unit up";

/// The totals of each tenant that has a line or a correction, by name.
pub(super) fn totals(
    lines: &[StatementLine],
    corrections: &[CorrectionLine],
    allowances: &BTreeMap<String, u64>,
) -> Vec<TenantTotal> {
    let mut totals: BTreeMap<&str, (i64, i64)> = BTreeMap::new();
    for line in lines {
        let (answered, amount) = totals.entry(&line.tenant).or_default();
        *answered += if line.adjusts {
            0
        } else {
            line.counts.answered()
        };
        *amount += line.amount;
    }
    for correction in corrections {
        totals.entry(&correction.tenant).or_default().1 += correction.amount;
    }
    let total = |(tenant, (answered, amount)): (&str, (i64, i64))| {
        let allowance = allowances.get(tenant).copied();
        TenantTotal {
            tenant: tenant.into(),
            answered,
            allowance,
            above_allowance: uses_above_allowance(answered, allowance),
            amount,
        }
    };
    totals.into_iter().map(total).collect()
}
