//! The report of a hollow-mixer run as Markdown tables.

use super::report::{Cost, DelayStats, HollowPoint, HollowReport, OutageStep, RateStep, Step};
use crate::markdown::{table, NO_VALUE};
use crate::report::Outcome;
use crate::units::format_grouped;

/// The tables of delays, costs and steady rates.
pub fn page(report: &HollowReport) -> String {
    let mut delays = table(DELAYS);
    let mut costs = table(COSTS);
    let mut rates = table(RATES);
    for point in &report.points {
        delays.add_row(delays_row(point));
        costs.add_row(costs_row(point));
        rates.add_rows(point.rates.iter().map(|rate| rate_row(point, rate)));
    }
    let [before, after] = report.load_average;
    format!(
        "Delays in ms: median / 99th percentile / worst. Load average of the machine {before:.1} at the start, \
         {after:.1} at the end.\n\n{delays}\n\n{costs}\n\n{rates}\n"
    )
}

const DELAYS: [&str; 10] = [
    "mixers",
    "entries",
    "way",
    "whole list",
    "one change",
    "zone",
    "return",
    "return, whole lists",
    "silence",
    "outcome",
];

const COSTS: [&str; 12] = [
    "mixers",
    "entries",
    "way",
    "whole list, B",
    "change, B",
    "us a mixer and change",
    "zone, B a mixer",
    "zone, us a mixer",
    "calls after the return",
    "most calls in 100 ms",
    "resident, MB",
    "peak, MB",
];

const RATES: [&str; 7] = [
    "mixers",
    "entries",
    "changes a second",
    "B a second a mixer",
    "% of a core a mixer",
    "% of a core, discovery",
    "in force",
];

fn size_cells(point: &HollowPoint) -> [String; 3] {
    [
        format_grouped(point.mixers as f64),
        format_grouped(point.entries as f64),
        point.mode.to_string(),
    ]
}

fn delays_cell(step: Option<&Step>) -> String {
    let Some(Step {
        in_force,
        lagging_mixers,
        ..
    }) = step
    else {
        return NO_VALUE.into();
    };
    let DelayStats {
        samples,
        median_ms,
        p99_ms,
        worst_ms,
    } = in_force;
    let lagging = if *lagging_mixers > 0 {
        format!(", {lagging_mixers} lagging")
    } else {
        String::new()
    };
    if *samples == 0 {
        return format!("{NO_VALUE}{lagging}");
    }
    format!("{median_ms:.1} / {p99_ms:.1} / {worst_ms:.1}{lagging}")
}

fn number(value: Option<f64>) -> String {
    value.map_or(NO_VALUE.into(), |value| format_grouped(value.round()))
}

fn delays_row(point: &HollowPoint) -> Vec<String> {
    let outage_delays =
        |outage: Option<&OutageStep>| delays_cell(outage.map(|outage| &outage.step));
    let outcome = match point.outcome {
        Outcome::Measured => "measured".into(),
        Outcome::Cut | Outcome::Refused | Outcome::Failed => point.note.clone(),
    };
    let steps = [
        delays_cell(point.start.as_ref()),
        delays_cell(point.change.as_ref()),
        delays_cell(point.zone.as_ref().map(|zone| &zone.step)),
        outage_delays(point.outage.as_ref()),
        outage_delays(point.outage_without_history.as_ref()),
        delays_cell(point.silence.as_ref()),
        outcome,
    ];
    size_cells(point).into_iter().chain(steps).collect()
}

/// Processor time of one change at each mixer, in microseconds.
fn change_us(point: &HollowPoint) -> Option<f64> {
    let step = point.change?;
    let changes = step.in_force.samples as f64 / point.mixers as f64;
    (changes > 0.0).then(|| step.cost.processor_us_per_mixer / changes)
}

fn costs_row(point: &HollowPoint) -> Vec<String> {
    let start = point
        .start
        .map(|step| step.cost)
        .filter(|cost| cost.snapshot_messages > 0);
    let zone = point.zone.map(|zone| zone.step.cost);
    let calls = |cost: Cost| (cost.list_calls + cost.watch_calls) as f64;
    // Memory is 0 for a point that ended before the idle step, where it is read.
    let megabytes = |bytes: u64| (bytes > 0).then_some(bytes as f64 / 1e6);
    let cells = [
        start.map(|cost| cost.bytes_per_snapshot_message),
        point.change.map(|step| step.cost.bytes_per_change_message),
        change_us(point),
        zone.map(|cost| cost.socket_bytes_per_mixer),
        zone.map(|cost| cost.processor_us_per_mixer),
        point.outage.map(|outage| calls(outage.step.cost)),
        point
            .outage
            .map(|outage| outage.peak_calls_per_100_ms as f64),
        megabytes(point.resident_bytes),
        megabytes(point.peak_resident_bytes),
    ];
    size_cells(point)
        .into_iter()
        .chain(cells.map(number))
        .collect()
}

fn rate_row(point: &HollowPoint, rate: &RateStep) -> Vec<String> {
    let [mixers, entries, _] = size_cells(point);
    vec![
        mixers,
        entries,
        rate.changes_per_second.to_string(),
        number(Some(rate.socket_bytes_per_second_per_mixer)),
        format!("{:.3}", rate.processor_percent_of_a_core_per_mixer),
        format!("{:.1}", rate.discovery_processor_percent_of_a_core),
        delays_cell(Some(&rate.step)),
    ]
}
