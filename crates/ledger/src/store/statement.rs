//! Statements: what a closed period came to, as it is stored, hashed and exported.

use crate::rate::{over, Counts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One line of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementLine {
    pub tenant: String,
    pub class: String,
    /// The period it counts: the statement's own, or an earlier one that late records have changed.
    pub period: String,
    pub adjusts: bool,
    #[serde(flatten)]
    pub counts: Counts,
    /// Micro-units.
    pub amount: i64,
    /// The class has no price; it is counted and free.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub unpriced: bool,
}

/// A correction that stands in a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CorrectionLine {
    pub id: String,
    pub tenant: String,
    pub amount: i64,
    pub reason: String,
    pub author: String,
}

/// One tenant's part of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    pub tenant: String,
    /// Answered uses of the period itself.
    pub answered: i64,
    pub allowance: Option<u64>,
    pub over: i64,
    /// Micro-units, with adjustments and corrections.
    pub amount: i64,
}

/// How far a member's records were there when a period closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    pub member: String,
    /// Complete up to this time.
    pub complete: Option<String>,
    /// It was not complete: the period closed without the rest.
    pub missing: bool,
    /// Records that were never written.
    pub lost: i64,
    /// Runs that ended without their last mark.
    pub died: i64,
    /// Stretches of its log that can't be read.
    pub damaged: i64,
}

/// What a closed period came to. It never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    pub period: String,
    pub end: String,
    pub closed: String,
    pub members: Vec<MemberState>,
    pub lines: Vec<StatementLine>,
    pub corrections: Vec<CorrectionLine>,
    pub tenants: Vec<TenantTotal>,
    /// Micro-units: all lines and corrections.
    pub total: i64,
    pub rounding: String,
    /// SHA-256 of the statement before, in hexadecimal; empty for the first.
    pub previous: String,
}

/// How amounts are rounded, as every statement says.
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
            over: over(answered, allowance),
            amount,
        }
    };
    totals.into_iter().map(total).collect()
}
