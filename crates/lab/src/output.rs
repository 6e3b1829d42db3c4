//! Reads and writes the report files of a run.

use crate::hollow::{self, HollowReport};
use crate::report::{Report, FORMAT};
use crate::{markdown, plot, Failure};
use std::fs;
use std::path::Path;

/// Writes `scale.json`, `scale.md`, `scale.png` and `machine.txt` into `folder`.
///
/// # Errors
/// A folder or file cannot be written.
pub fn write(report: &Report, folder: &Path) -> Result<(), Failure> {
    fs::create_dir_all(folder).map_err(|e| write_failure(folder, e))?;
    let json = serde_json::to_string_pretty(report).map_err(Failure::running)? + "\n";
    write_file(folder, "scale.json", &json)?;
    write_file(folder, "scale.md", &markdown::page(report))?;
    write_file(folder, "machine.txt", &machine(report))?;
    plot::draw(report, &folder.join("scale.png"))
}

/// Writes the report of a hollow-mixer run to `file` as JSON, and its tables to the same path with the extension `md`.
///
/// # Errors
/// A folder or file cannot be written.
pub fn write_hollow(report: &HollowReport, file: &Path) -> Result<(), Failure> {
    if let Some(folder) = file.parent() {
        fs::create_dir_all(folder).map_err(|e| write_failure(folder, e))?;
    }
    let json = serde_json::to_string_pretty(report).map_err(Failure::running)? + "\n";
    fs::write(file, json).map_err(|e| write_failure(file, e))?;
    let page = file.with_extension("md");
    let machine = markdown::machine(&report.machine);
    let text = format!(
        "# Hollow mixers\n\n{machine}.\n\n{}\n`{}`\n",
        hollow::tables::page(report),
        report.summary()
    );
    fs::write(&page, text).map_err(|e| write_failure(&page, e))
}

fn write_file(folder: &Path, name: &str, text: &str) -> Result<(), Failure> {
    let path = folder.join(name);
    fs::write(&path, text).map_err(|e| write_failure(&path, e))
}

fn write_failure(path: &Path, error: std::io::Error) -> Failure {
    Failure::Running(format!("cannot write {}: {error}", path.display()))
}

fn machine(report: &Report) -> String {
    let machine = &report.machine;
    let lines = [
        format!("cores      {}", machine.cores),
        format!("memory     {} bytes", machine.memory_bytes),
        format!("kernel     {}", machine.kernel),
        format!("processor  {}", machine.processor),
        format!("commit     {}", machine.commit),
        format!("build      {}", machine.build),
        format!("began      {}", machine.started),
        format!("took       {:.1} s", report.wall_seconds),
    ];
    lines.join("\n") + "\n"
}

/// Reads the JSON report of a scale run.
///
/// # Errors
/// The file cannot be read, is not a report, or has another format version.
pub fn read(path: &Path) -> Result<Report, Failure> {
    let shown = path.display();
    let text = fs::read_to_string(path)
        .map_err(|e| Failure::Settings(format!("cannot read the report {shown}: {e}")))?;
    let report: Report = serde_json::from_str(&text)
        .map_err(|e| Failure::Settings(format!("{shown} is not a report: {e}")))?;
    if report.format != FORMAT {
        return Err(Failure::Settings(format!(
            "{shown} has report format {}; this program reads format {FORMAT}",
            report.format
        )));
    }
    Ok(report)
}
