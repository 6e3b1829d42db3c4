//! The files of a run.

use crate::hollow::{self, HollowReport};
use crate::report::{Report, FORMAT};
use crate::{markdown, plot, Failure};
use std::fs;
use std::path::Path;

/// Writes `scale.json`, `scale.md`, `scale.png` and `machine.txt` into `folder`.
///
/// # Errors
/// A file that cannot be written.
pub fn write(report: &Report, folder: &Path) -> Result<(), Failure> {
    fs::create_dir_all(folder).map_err(|e| unwritten(folder, e))?;
    let json = serde_json::to_string_pretty(report).map_err(Failure::running)? + "\n";
    put(folder, "scale.json", &json)?;
    put(folder, "scale.md", &markdown::page(report))?;
    put(folder, "machine.txt", &machine(report))?;
    plot::draw(report, &folder.join("scale.png"))
}

/// Writes the report of a run with hollow mixers to `file` as JSON, and its tables beside it with the ending `md`.
///
/// # Errors
/// A file that cannot be written.
pub fn write_hollow(report: &HollowReport, file: &Path) -> Result<(), Failure> {
    if let Some(folder) = file.parent() {
        fs::create_dir_all(folder).map_err(|e| unwritten(folder, e))?;
    }
    let json = serde_json::to_string_pretty(report).map_err(Failure::running)? + "\n";
    fs::write(file, json).map_err(|e| unwritten(file, e))?;
    let page = file.with_extension("md");
    let machine = markdown::machine(&report.machine);
    let text = format!(
        "# Hollow mixers\n\n{machine}.\n\n{}\n`{}`\n",
        hollow::tables::page(report),
        report.summary()
    );
    fs::write(&page, text).map_err(|e| unwritten(&page, e))
}

fn put(folder: &Path, name: &str, text: &str) -> Result<(), Failure> {
    let path = folder.join(name);
    fs::write(&path, text).map_err(|e| unwritten(&path, e))
}

fn unwritten(path: &Path, why: std::io::Error) -> Failure {
    Failure::Running(format!("cannot write {}: {why}", path.display()))
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
        format!("began      {}", machine.began),
        format!("took       {:.1} s", report.wall_seconds),
    ];
    lines.join("\n") + "\n"
}

/// Reads a report that a run wrote.
///
/// # Errors
/// A file that cannot be read, or is no report of this form.
pub fn read(path: &Path) -> Result<Report, Failure> {
    let shown = path.display();
    let text = fs::read_to_string(path)
        .map_err(|e| Failure::Settings(format!("cannot read the report {shown}: {e}")))?;
    let report: Report = serde_json::from_str(&text)
        .map_err(|e| Failure::Settings(format!("{shown} is no report: {e}")))?;
    if report.format != FORMAT {
        return Err(Failure::Settings(format!(
            "{shown} has form {}; this program reads {FORMAT}",
            report.format
        )));
    }
    Ok(report)
}
