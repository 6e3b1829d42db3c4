//! `cottonhill-lab`: measurements of the mixer at the fleet size that it is planned for.

use clap::{Parser, Subcommand};
use cottonhill_ini::Settings;
use cottonhill_lab::hollow::{self, HollowSettings, PointSpec};
use cottonhill_lab::scale;
use cottonhill_lab::scale::point::{self, Spec};
use cottonhill_lab::scale::settings::ScaleSettings;
use cottonhill_lab::{logs, markdown, output, settings, Failure};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures the mixer at the fleet size that it is planned for.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Settings file, in INI; without it all settings have their defaults
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run series that vary one size at a time, without sockets
    Scale {
        /// Folder for scale.json, scale.md, scale.png and machine.txt
        #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
        out: PathBuf,
        /// Print every slope next to that of an earlier report
        #[arg(long, value_name = "REPORT")]
        against: Option<PathBuf>,
    },
    /// Run mixers without clients over loopback sockets: delay and cost of endpoint lists and their changes
    Hollow {
        /// The report, as JSON; its tables are written to the same folder, with the extension md
        #[arg(long, value_name = "FILE", default_value = "docs/capacity/hollow.json")]
        out: PathBuf,
    },
    /// Print every slope, ratio and cost of two reports side by side, as Markdown
    Compare { before: PathBuf, after: PathBuf },
    /// Measure one point in this process; `scale` runs itself with this subcommand
    #[command(hide = true)]
    Point {
        /// The point, as JSON
        spec: String,
    },
    /// Measure one size in this process; `hollow` runs itself with this subcommand
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
    logs::init(&settings)?;
    match arguments.command {
        Command::Scale { out, against } => scale(&settings, &out, against.as_deref()),
        Command::Compare { before, after } => compare(&before, &after),
        Command::Hollow { out } => hollow(&settings, &out),
        Command::Point { spec } => point(&spec),
        Command::HollowPoint { spec } => hollow_point(&spec),
    }
}

/// Writes one sample to standard output. Logging is not started, so that its cost is not measured.
fn point(spec: &str) -> Result<(), Failure> {
    let spec: Spec = serde_json::from_str(spec)
        .map_err(|e| Failure::Settings(format!("invalid point specification: {e}")))?;
    let sample = serde_json::to_string(&point::measure(&spec)).map_err(Failure::running)?;
    println!("{sample}");
    Ok(())
}

fn scale(settings: &Settings, out: &Path, against: Option<&Path>) -> Result<(), Failure> {
    let scale = ScaleSettings::read(settings)?;
    // Read before the run, so that a wrong file name fails in seconds, not after minutes of measuring.
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

/// Writes the results of one size to standard output, also without logging.
fn hollow_point(spec: &str) -> Result<(), Failure> {
    let spec: PointSpec = serde_json::from_str(spec)
        .map_err(|e| Failure::Settings(format!("invalid point specification: {e}")))?;
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
