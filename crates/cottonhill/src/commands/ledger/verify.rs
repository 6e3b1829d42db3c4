//! `cottonhill ledger verify`: checks the store's statements and totals against its records, and usage logs byte by byte.

use super::context::LedgerContext;
use super::progress;
use crate::error::{CommandError, CommandResult, RuntimeError};
use crate::files::InputFiles;
use crate::output;
use crate::schema::SCHEMA;
use cottonhill_ledger::log::{self, Item};
use cottonhill_ledger::settings::LedgerSettings;
use std::path::{Path, PathBuf};

/// Numbers of checked items, and the problems found.
#[derive(Default)]
struct Report {
    segments: usize,
    entries: usize,
    /// Number of statements, documents and periods of the store.
    stored: u64,
    problems: Vec<String>,
}

/// Checks the logs, and the store if the settings name one or no log is given.
///
/// # Errors
/// There are inconsistencies, or a log or the store can't be read.
pub fn run(files: &InputFiles, logs: &[PathBuf]) -> CommandResult {
    let mut report = Report::default();
    for directory in logs {
        check_log(directory, &mut report)?;
    }
    let settings = LedgerSettings::read(&files.read_settings()?, &SCHEMA)?;
    if settings.store.is_some() || logs.is_empty() {
        check_store(files, &mut report)?;
    }
    print_report(&report)?;
    match report.problems.len() {
        0 => Ok(()),
        count => Err(RuntimeError::Inconsistencies(count).into()),
    }
}

fn check_log(directory: &Path, report: &mut Report) -> Result<(), RuntimeError> {
    let read_error = |source| RuntimeError::ReadFile {
        path: directory.to_path_buf(),
        source,
    };
    let segments = log::list_segments(directory).map_err(read_error)?;
    let bar = progress::bar(segments.len(), "segments");
    for (index, segment) in segments.iter().enumerate() {
        let bytes = std::fs::read(&segment.path).map_err(read_error)?;
        let is_last = index + 1 == segments.len();
        check_segment(&segment.name(), &bytes, is_last, report);
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok(())
}

/// The last segment of a log may end in the middle of a write.
fn check_segment(name: &str, bytes: &[u8], is_last: bool, report: &mut Report) {
    let start = match log::read_header(bytes) {
        Some((_, start)) => start,
        None => {
            let problem = format!("{name}: unreadable header at offset 0");
            report.problems.push(problem);
            log::MAGIC.len()
        }
    };
    let read = log::read_entries(bytes, start, usize::MAX);
    for item in &read.items {
        match item {
            Item::Entry(_) => report.entries += 1,
            Item::Damage(from, to) => {
                let problem = format!("{name}: damaged from offset {from} to {to}");
                report.problems.push(problem);
            }
        }
    }
    if read.end < bytes.len() && !is_last {
        let problem = format!(
            "{name}: incomplete record at the end, from offset {}",
            read.end
        );
        report.problems.push(problem);
    }
    report.segments += 1;
}

fn check_store(files: &InputFiles, report: &mut Report) -> Result<(), CommandError> {
    let context = LedgerContext::read(files)?;
    let store = context.open_existing_store()?;
    let (checked, problems) = store.verify(context.bounds())?;
    report.stored = checked;
    report.problems.extend(problems);
    Ok(())
}

fn print_report(report: &Report) -> CommandResult {
    for problem in &report.problems {
        output::print(format!("{problem}\n").as_bytes())?;
    }
    let text = format!(
        "{} segments, {} entries, {} statements, documents and periods checked\n",
        report.segments, report.entries, report.stored
    );
    output::print(text.as_bytes())
}
