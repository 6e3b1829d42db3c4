//! `cottonhill-lab scale`: series that step one size at a time, on the reducer and its decisions, without sockets.
//!
//! Time in a run is the run's own: leaf servers answer after a fixed time, and processor time is what is measured:
//! that of the reducer alone, without that of the [`driver`], which plays the sockets' part.

pub mod child;
pub mod driver;
pub mod findings;
pub mod fleet;
pub mod plan;
pub mod point;
pub mod settings;
pub mod watch;

use crate::machine::Machine;
use crate::report::{Point, Report, Scope, Series, FORMAT};
use crate::settings::SCHEMA;
use cottonhill_ini::Settings;
use plan::Planned;
use point::Sample;
use settings::Scale;
use std::path::Path;
use std::time::Instant;

/// Measures every series, each point in a new process of `program`.
pub fn run(program: &Path, settings: &Settings, scale: &Scale) -> Report {
    let began = Instant::now();
    let machine = Machine::read();
    let series: Vec<Series> = plan::series(scale)
        .into_iter()
        .map(|planned| measure(program, scale, planned))
        .collect();
    let slopes = findings::slopes(scale, &series);
    let ratios = findings::ratios(scale, &series);
    let shown = settings.effective_values(&SCHEMA).into_iter();
    Report {
        format: FORMAT,
        machine,
        settings: shown
            .map(|it| (format!("[{}] {}", it.section, it.key), it.value))
            .collect(),
        wall_seconds: began.elapsed().as_secs_f64(),
        series,
        slopes,
        ratios,
    }
}

fn measure(program: &Path, scale: &Scale, planned: Planned) -> Series {
    let Planned {
        name,
        title,
        size,
        points,
    } = planned;
    let points = points.into_iter().map(|(x, spec)| {
        let began = Instant::now();
        let Sample {
            outcome,
            note,
            values,
        } = child::measure(program, &spec, scale.point_limit);
        let wall_seconds = began.elapsed().as_secs_f64();
        tracing::info!(
            series = name,
            size = x,
            ?outcome,
            note,
            seconds = wall_seconds,
            "point measured"
        );
        Point {
            x: x as f64,
            outcome,
            note,
            values,
            wall_seconds,
        }
    });
    let points = points.collect();
    Series {
        name,
        title,
        scope: Scope::InProcess,
        size: size.into(),
        points,
    }
}
