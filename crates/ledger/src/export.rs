//! Documents and their export: each with an id of its own that never changes, to a folder and to a receiver.
//!
//! A document is put into the outbox in the transaction that made it. It is sent until the receiver has said that it
//! has it, always under the same id and as the same bytes, so that a receiver which keeps one of each id ends with
//! each once, whatever became of its acknowledgements.

use crate::period::Period;
use crate::settings::ExportTo;
use crate::store::{CorrectionLine, Outgoing, Statement, StatementLine, TenantTotal};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// What one tenant is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    pub id: String,
    /// `statement`, `credit` or `debit`.
    pub kind: String,
    pub tenant: String,
    /// The period of the statement, or of the statement that is corrected.
    pub period: String,
    /// Micro-units; a credit's is below zero.
    pub amount: i64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<StatementLine>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub corrections: Vec<CorrectionLine>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub totals: Option<TenantTotal>,
    /// The members whose records were missing, by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// Of the statement that a credit or debit corrects: its document and its hash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub corrects: Option<(String, String)>,
}

/// A text as a part of a file's name: other characters than letters, digits, `-`, `_` and `.` are escaped.
fn file_name_part(text: &str) -> String {
    let plain = |c: char| {
        if c.is_ascii_alphanumeric() || "-_.".contains(c) {
            c.to_string()
        } else {
            format!("%{:x}", u32::from(c))
        }
    };
    text.chars().map(plain).collect()
}

fn statement_id(period: &str, tenant: &str) -> String {
    format!(
        "statement-{}-{}",
        file_name_part(&period.replace(':', "")),
        file_name_part(tenant)
    )
}

impl Document {
    /// One for each tenant that a statement says something of.
    pub fn of_statement(statement: &Statement) -> Vec<Document> {
        let document = |totals: &TenantTotal| {
            let tenant = &totals.tenant;
            Document {
                id: statement_id(&statement.period, tenant),
                kind: "statement".into(),
                tenant: tenant.clone(),
                period: statement.period.clone(),
                amount: totals.amount,
                lines: statement
                    .lines
                    .iter()
                    .filter(|line| line.tenant == *tenant)
                    .cloned()
                    .collect(),
                corrections: statement
                    .corrections
                    .iter()
                    .filter(|c| c.tenant == *tenant)
                    .cloned()
                    .collect(),
                totals: Some(totals.clone()),
                missing: statement
                    .members
                    .iter()
                    .filter(|m| m.missing)
                    .map(|m| m.member.clone())
                    .collect(),
                corrects: None,
            }
        };
        statement.tenants.iter().map(document).collect()
    }

    /// The credit or debit for a correction of a closed period.
    pub fn of_correction(correction: &CorrectionLine, period: Period, hash: &str) -> Document {
        let kind = if correction.amount < 0 {
            "credit"
        } else {
            "debit"
        };
        Document {
            id: format!("{kind}-{}", file_name_part(&correction.id)),
            kind: kind.into(),
            tenant: correction.tenant.clone(),
            period: period.name(),
            amount: correction.amount,
            lines: Vec::new(),
            corrections: vec![correction.clone()],
            totals: None,
            missing: Vec::new(),
            corrects: Some((
                statement_id(&period.name(), &correction.tenant),
                hash.into(),
            )),
        }
    }
}

/// Puts a document into a folder: whole or not at all, and once.
///
/// # Errors
/// The folder can't be written.
pub fn to_folder(folder: &Path, document: &Outgoing) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let (half, whole) = (
        folder.join(format!(".{}.half", document.id)),
        folder.join(format!("{}.json", document.id)),
    );
    let mut file = File::create(&half)?;
    file.write_all(document.body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&half, &whole)?;
    File::open(folder)?.sync_all()
}

/// Posts a document; done once the receiver answers with a 2xx, or with a 409 for one that it has already.
///
/// # Errors
/// It did not say so; it may have it all the same.
pub fn post(url: &str, timeout: Duration, document: &Outgoing) -> Result<(), String> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let request = agent
        .post(url)
        .header("Idempotency-Key", &document.id)
        .header("Content-Type", "application/json")
        .send(document.body.as_bytes());
    match request {
        Ok(answer) if answer.status().is_success() || answer.status() == 409 => Ok(()),
        Ok(answer) => Err(format!("the receiver answers {}", answer.status())),
        Err(e) => Err(e.to_string()),
    }
}

/// Wait before a document that has failed so often is sent again: doubled each time, at most 64-fold.
pub fn wait(again: Duration, attempts: u32) -> Duration {
    again * 2u32.pow(attempts.saturating_sub(1).min(6))
}

/// Sends one document to wherever it has still to go; what succeeded and why the rest did not.
pub fn send(to: &ExportTo, document: &Outgoing) -> (bool, bool, Option<String>) {
    let folder = match &to.folder {
        Some(folder) if !document.in_folder => {
            Some(to_folder(folder, document).map_err(|e| e.to_string()))
        }
        _ => None,
    };
    let posted = match &to.url {
        Some(url) if !document.posted => Some(post(url, to.timeout, document)),
        _ => None,
    };
    let done = |sent: &Option<Result<(), String>>| matches!(sent, Some(Ok(())));
    let (in_folder, sent) = (done(&folder), done(&posted));
    let error = [folder, posted]
        .into_iter()
        .flatten()
        .filter_map(Result::err)
        .next();
    (in_folder, sent, error)
}
