//! `cottonhill-lab scale`: series that vary one size at a time, on the reducer and its decisions, without sockets.
//!
//! A run has a virtual clock, on which leaf servers answer after a fixed latency. The processor time measured is that
//! of the reducer alone, without that of the [`driver`], which simulates the sockets.

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
use plan::SeriesPlan;
use point::Sample;
use settings::ScaleSettings;
use std::path::Path;
use std::time::Instant;

/// Measures all series, each point in a new process of `program`.
pub fn run(program: &Path, settings: &Settings, scale: &ScaleSettings) -> Report {
    let started_at = Instant::now();
    let machine = Machine::read();
    let series: Vec<Series> = plan::series(scale)
        .into_iter()
        .map(|plan| measure(program, scale, plan))
        .collect();
    let slopes = findings::slopes(scale, &series);
    let ratios = findings::ratios(scale, &series);
    let effective_settings = settings.effective_values(&SCHEMA).into_iter();
    Report {
        format: FORMAT,
        machine,
        settings: effective_settings
            .map(|setting| {
                (
                    format!("[{}] {}", setting.section, setting.key),
                    setting.value,
                )
            })
            .collect(),
        wall_seconds: started_at.elapsed().as_secs_f64(),
        series,
        slopes,
        ratios,
    }
}

fn measure(program: &Path, scale: &ScaleSettings, plan: SeriesPlan) -> Series {
    let SeriesPlan {
        name,
        title,
        size,
        points,
    } = plan;
    let points = points.into_iter().map(|(x, spec)| {
        let started_at = Instant::now();
        let Sample {
            outcome,
            note,
            values,
        } = child::measure(program, &spec, scale.process_time_limit);
        let wall_seconds = started_at.elapsed().as_secs_f64();
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
