//! `cottonhill-lab`: measurements of the mixer against the size it is planned for.

use clap::{Parser, Subcommand};
use cottonhill_ini::Settings;
use cottonhill_lab::hollow::{self, HollowSettings, PointSpec};
use cottonhill_lab::scale;
use cottonhill_lab::scale::point::{self, Spec};
use cottonhill_lab::scale::settings::Scale;
use cottonhill_lab::{logs, markdown, output, settings, Failure};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures the mixer against the size it is planned for.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The lab's settings, in INI; the defaults hold without it
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run series that step one size at a time, without sockets
    Scale {
        /// Folder for scale.json, scale.md, scale.png and machine.txt
        #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
        out: PathBuf,
        /// Print every slope beside that of an earlier report
        #[arg(long, value_name = "REPORT")]
        against: Option<PathBuf>,
    },
    /// Run mixers without clients over loopback sockets: delays and costs of lists and their changes
    Hollow {
        /// The report, as JSON; its tables are written beside it, with the ending md
        #[arg(long, value_name = "FILE", default_value = "docs/capacity/hollow.json")]
        out: PathBuf,
    },
    /// Print every slope, ratio and cost of two reports side by side, as Markdown
    Compare { before: PathBuf, after: PathBuf },
    /// Measure one point in this process; how `scale` starts itself
    #[command(hide = true)]
    Point {
        /// The point, as JSON
        spec: String,
    },
    /// Measure one size in this process; how `hollow` starts itself
    #[command(hide = true)]
    HollowPoint {
        /// The size, as JSON
        spec: String,
    },
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    match &arguments.command {
        Command::Point { spec } => return point(spec),
        Command::HollowPoint { spec } => return hollow_point(spec),
        _ => {}
    }
    let settings = settings::read(arguments.settings.as_deref())?;
    logs::start(&settings)?;
    match arguments.command {
        Command::Scale { out, against } => scale(&settings, &out, against.as_deref()),
        Command::Compare { before, after } => compare(&before, &after),
        Command::Hollow { out } => hollow(&settings, &out),
        Command::Point { spec } => point(&spec),
        Command::HollowPoint { spec } => hollow_point(&spec),
    }
}

/// One sample on standard output. No logger runs here: logging is not what is measured.
fn point(spec: &str) -> Result<(), Failure> {
    let spec: Spec =
        serde_json::from_str(spec).map_err(|e| Failure::Settings(format!("no point: {e}")))?;
    let sample = serde_json::to_string(&point::measure(&spec)).map_err(Failure::running)?;
    println!("{sample}");
    Ok(())
}

fn scale(settings: &Settings, out: &Path, against: Option<&Path>) -> Result<(), Failure> {
    let scale = Scale::read(settings)?;
    // Read before the run: a wrong name costs seconds, not minutes.
    let before = against.map(output::read).transpose()?;
    let program = std::env::current_exe().map_err(Failure::running)?;
    let report = scale::run(&program, settings, &scale);
    output::write(&report, out)?;
    if let Some(before) = before {
        println!("{}", markdown::comparison(&before, &report));
    }
    println!("{}", markdown::ratios(&report.ratios));
    println!("{}", report.summary());
    Ok(())
}

/// One size on standard output; no logger runs here either.
fn hollow_point(spec: &str) -> Result<(), Failure> {
    let spec: PointSpec =
        serde_json::from_str(spec).map_err(|e| Failure::Settings(format!("no point: {e}")))?;
    let point = serde_json::to_string(&hollow::measure(&spec)?).map_err(Failure::running)?;
    println!("{point}");
    Ok(())
}

fn hollow(settings: &Settings, out: &Path) -> Result<(), Failure> {
    let hollow = HollowSettings::read(settings)?;
    let program = std::env::current_exe().map_err(Failure::running)?;
    let report = hollow::run(&program, &hollow)?;
    output::write_hollow(&report, out)?;
    println!("{}", hollow::tables::page(&report));
    println!("{}", report.summary());
    Ok(())
}

fn compare(before: &Path, after: &Path) -> Result<(), Failure> {
    println!(
        "{}",
        markdown::comparison(&output::read(before)?, &output::read(after)?)
    );
    Ok(())
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("cottonhill-lab: {failure}");
            ExitCode::from(failure.code())
        }
    }
}
