//! A report as Markdown tables, and the comparison of two reports.

use crate::machine::Machine;
use crate::report::{Measure, Outcome, Point, Ratio, Report, Scope, Series, Slope};
use crate::units::{format_digits, format_grouped, format_value};
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;
use std::collections::BTreeSet;

/// Table cell for a missing value.
pub(crate) const NO_VALUE: &str = "-";

pub(crate) fn table<'a>(header: impl IntoIterator<Item = &'a str>) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(header);
    table
}

/// The page of a report.
pub fn page(report: &Report) -> String {
    let mut parts = vec![
        "# Scale runs".to_string(),
        format!(
            "Written by `make scale`; see [CAPACITY.md](../CAPACITY.md). Figures from one machine: {}. \
             Conclusions rest on the ratios within the run, not on the absolute times.",
            machine(&report.machine)
        ),
        format!("`{}`, in {} s.", report.summary(), format_digits(report.wall_seconds)),
        "## Slopes".to_string(),
        slopes(&report.slopes),
        "The residual is the root mean square deviation from the line, relative to the mean; a line through two \
         points has none. Refused sizes are excluded from the fits. Processor times of queries and changes are those of the reducer \
         and its decisions, each the median over the slices of a point; their counts cover the complete point."
            .to_string(),
        "## Ratios".to_string(),
        ratios(&report.ratios),
        "## Series".to_string(),
    ];
    parts.extend(report.series.iter().map(series));
    parts.join("\n\n") + "\n"
}

/// The machine in a line.
pub fn machine(machine: &Machine) -> String {
    let Machine {
        cores,
        memory_bytes,
        kernel,
        processor,
        commit,
        started,
        build,
    } = machine;
    let memory = format_digits(*memory_bytes as f64 / 1e9);
    format!(
        "{cores} cores of {processor}, {memory} GB, kernel {kernel}; commit {commit}, {build} build, {started}"
    )
}

fn slopes(slopes: &[Slope]) -> String {
    let mut table = table([
        "slope", "value", "unit", "at zero", "residual", "points", "series",
    ]);
    for slope in slopes {
        let line = slope.line.map(|line| {
            let at_zero = format_value(line.intercept, slope.measure.unit());
            [
                format_digits(line.slope),
                at_zero,
                percent(line.residual),
                line.points.to_string(),
            ]
        });
        let [value, at_zero, residual, points] =
            line.unwrap_or_else(|| [NO_VALUE; 4].map(String::from));
        table.add_row([
            &slope.name,
            &value,
            &slope.unit,
            &at_zero,
            &residual,
            &points,
            &slope.series,
        ]);
    }
    table.to_string()
}

fn percent(fraction: f64) -> String {
    format!("{} %", format_digits(fraction * 100.0))
}

/// The table of ratios with their targets, for the page and the terminal.
pub fn ratios(ratios: &[Ratio]) -> String {
    let mut table = table(["ratio", "value", "aim", "reached"]);
    for ratio in ratios {
        let reached = match ratio.reached() {
            None => NO_VALUE,
            Some(true) => "reached",
            Some(false) => "not reached",
        };
        table.add_row([
            ratio.name.as_str(),
            &format_optional(ratio.value),
            &format_optional(ratio.target),
            reached,
        ]);
    }
    table.to_string()
}

fn format_optional(value: Option<f64>) -> String {
    value.map_or(NO_VALUE.into(), format_digits)
}

fn series(series: &Series) -> String {
    let scope = match series.scope {
        Scope::InProcess => "in process, without sockets",
        Scope::Sockets => "over loopback sockets",
    };
    let measures: BTreeSet<Measure> = series
        .points
        .iter()
        .flat_map(|point| point.values.keys().copied())
        .collect();
    let header =
        std::iter::once(series.size.as_str()).chain(measures.iter().map(|measure| measure.label()));
    let mut table = table(header.chain(["outcome"]));
    for point in &series.points {
        let values = measures.iter().map(|measure| {
            let value = point.values.get(measure);
            value.map_or(NO_VALUE.into(), |value| {
                format_value(*value, measure.unit())
            })
        });
        table.add_row(
            std::iter::once(format_grouped(point.x))
                .chain(values)
                .chain([outcome(point)]),
        );
    }
    format!(
        "### {} (`{}`, {scope})\n\n{table}",
        series.title, series.name
    )
}

fn outcome(point: &Point) -> String {
    match point.outcome {
        Outcome::Measured => "measured".into(),
        Outcome::Failed => format!("failed: {}", point.note),
        Outcome::Cut | Outcome::Refused => point.note.clone(),
    }
}

/// Slopes, ratios and point costs of two reports side by side.
pub fn comparison(before: &Report, after: &Report) -> String {
    let mut slopes = table(["slope", "unit", "before", "after", "after / before"]);
    for slope in &after.slopes {
        let same =
            |earlier: &&Slope| earlier.series == slope.series && earlier.measure == slope.measure;
        let earlier = before.slopes.iter().find(same);
        let earlier = earlier
            .and_then(|earlier| earlier.line)
            .map(|line| line.slope);
        let now = slope.line.map(|line| line.slope);
        slopes.add_row([
            &slope.name,
            &slope.unit,
            &format_optional(earlier),
            &format_optional(now),
            &quotient(earlier, now),
        ]);
    }
    let mut ratios = table(["ratio", "aim", "before", "after"]);
    for ratio in &after.ratios {
        let earlier = before
            .ratios
            .iter()
            .find(|earlier| earlier.name == ratio.name)
            .and_then(|earlier| earlier.value);
        ratios.add_row([
            &ratio.name,
            &format_optional(ratio.target),
            &format_optional(earlier),
            &format_optional(ratio.value),
        ]);
    }
    let (earlier, now) = (machine(&before.machine), machine(&after.machine));
    format!(
        "Before: {earlier}.\nAfter: {now}.\n\n{slopes}\n\n{ratios}\n\n{}\n",
        points(before, after)
    )
}

/// Processor time and memory of each point of `after`, with the value of `before` for the same series and size.
fn points(before: &Report, after: &Report) -> String {
    let mut table = table([
        "series",
        "size",
        "measure",
        "before",
        "after",
        "after / before",
    ]);
    for series in &after.series {
        let Some(earlier_series) = before.series(&series.name) else {
            continue;
        };
        for point in &series.points {
            let earlier_point = earlier_series
                .points
                .iter()
                .find(|earlier| earlier.x == point.x);
            for (measure, now) in point.values.iter().filter(|(measure, _)| measure.is_cost()) {
                let earlier = earlier_point
                    .and_then(|point| point.values.get(measure))
                    .copied();
                let formatted = |value: f64| format_value(value, measure.unit());
                let cells = [
                    earlier.map_or(NO_VALUE.into(), formatted),
                    formatted(*now),
                    quotient(earlier, Some(*now)),
                ];
                let label = measure.label().to_string();
                table.add_row(
                    [series.name.clone(), format_grouped(point.x), label]
                        .into_iter()
                        .chain(cells),
                );
            }
        }
    }
    table.to_string()
}

fn quotient(earlier: Option<f64>, now: Option<f64>) -> String {
    let quotient = earlier
        .filter(|earlier| *earlier != 0.0)
        .zip(now)
        .map(|(earlier, now)| now / earlier);
    format_optional(quotient)
}
