//! Documents and their export to a folder and to an HTTP receiver, at least once and under a fixed id.
//!
//! A document enters the outbox in the transaction that creates it. It is sent until the receiver acknowledges it,
//! always with the same id (the idempotency key) and the same bytes, so a receiver that deduplicates by id stores each
//! document once even if acknowledgements are lost.

use crate::period::Period;
use crate::settings::ExportSettings;
use crate::store::{CorrectionLine, OutboxDocument, Statement, StatementLine, TenantTotal};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;

/// A statement, credit or debit of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    pub id: String,
    /// `statement`, `credit` or `debit`.
    pub kind: String,
    pub tenant: String,
    /// The period of the statement, or of the corrected statement.
    pub period: String,
    /// Micro-units; negative for a credit.
    pub amount: i64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<StatementLine>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub corrections: Vec<CorrectionLine>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub totals: Option<TenantTotal>,
    /// Names of the members whose records were incomplete.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// Document id and hash of the statement that a credit or debit corrects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub corrects: Option<(String, String)>,
}

/// Escapes a text for a file name: all characters but ASCII letters, digits, `-`, `_` and `.`.
fn escape_file_name(text: &str) -> String {
    let escape = |c: char| {
        if c.is_ascii_alphanumeric() || "-_.".contains(c) {
            c.to_string()
        } else {
            format!("%{:x}", u32::from(c))
        }
    };
    text.chars().map(escape).collect()
}

fn statement_id(period: &str, tenant: &str) -> String {
    format!(
        "statement-{}-{}",
        escape_file_name(&period.replace(':', "")),
        escape_file_name(tenant)
    )
}

impl Document {
    /// One document for each tenant of a statement.
    pub fn from_statement(statement: &Statement) -> Vec<Document> {
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

    /// The credit or debit for a correction of a closed period. `hash` is that of the period's statement.
    pub fn from_correction(correction: &CorrectionLine, period: Period, hash: &str) -> Document {
        let kind = if correction.amount < 0 {
            "credit"
        } else {
            "debit"
        };
        Document {
            id: format!("{kind}-{}", escape_file_name(&correction.id)),
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

/// Writes a document to a folder atomically; an existing file of the same document is replaced.
///
/// # Errors
/// The folder cannot be written.
pub fn write_to_folder(folder: &Path, document: &OutboxDocument) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let (temporary, complete) = (
        folder.join(format!(".{}.half", document.id)),
        folder.join(format!("{}.json", document.id)),
    );
    let mut file = File::create(&temporary)?;
    file.write_all(document.body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, &complete)?;
    File::open(folder)?.sync_all()
}

/// Posts a document. Succeeds if the receiver answers with 2xx, or with 409 for a document that it already has.
///
/// # Errors
/// The receiver did not acknowledge the document; it may have stored it nevertheless.
pub fn post(url: &str, timeout: Duration, document: &OutboxDocument) -> Result<(), String> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false);
    let agent: ureq::Agent = config.build().into();
    let response = agent
        .post(url)
        .header("Idempotency-Key", &document.id)
        .header("Content-Type", "application/json")
        .send(document.body.as_bytes());
    match response {
        Ok(response) if response.status().is_success() || response.status() == 409 => Ok(()),
        Ok(response) => Err(format!("the receiver answered {}", response.status())),
        Err(e) => Err(e.to_string()),
    }
}

/// Exponential backoff before a document is sent again after `attempts` failures: at most 64 times `base`.
pub fn retry_delay(base: Duration, attempts: u32) -> Duration {
    base * 2u32.pow(attempts.saturating_sub(1).min(6))
}

/// Sends one document to the targets that have not acknowledged it. Returns whether this attempt succeeded for the
/// folder and for the receiver, and the first error.
pub fn send(target: &ExportSettings, document: &OutboxDocument) -> (bool, bool, Option<String>) {
    let folder = match &target.folder {
        Some(folder) if !document.in_folder => {
            Some(write_to_folder(folder, document).map_err(|e| e.to_string()))
        }
        _ => None,
    };
    let posted = match &target.url {
        Some(url) if !document.posted => Some(post(url, target.timeout, document)),
        _ => None,
    };
    let succeeded = |result: &Option<Result<(), String>>| matches!(result, Some(Ok(())));
    let (in_folder, sent) = (succeeded(&folder), succeeded(&posted));
    let error = [folder, posted]
        .into_iter()
        .flatten()
        .filter_map(Result::err)
        .next();
    (in_folder, sent, error)
}
