//! Slopes and ratios computed from the series.

use super::plan::name;
use super::settings::ScaleSettings;
use crate::fit;
use crate::report::{Against, Measure, Outcome, Point, Ratio, Series, Slope};
use crate::units::format_grouped;

/// Largest acceptable cost of a part at the largest fleet, relative to the smallest.
const MAX_RATIO_SERVERS: f64 = 1.5;
/// Largest acceptable cost of a part with the most queries open, relative to the fewest.
const MAX_RATIO_OPEN_QUERIES: f64 = 1.5;
/// Largest acceptable cost of one changed entry at the largest fleet, relative to the smallest.
const MAX_RATIO_CHANGE: f64 = 3.0;

/// Definition of a slope in the report.
struct SlopeDefinition<'a> {
    name: &'a str,
    unit: &'a str,
    series: &'a str,
    measure: Measure,
    against: Against,
}

fn by_size<'a>(
    name: &'a str,
    unit: &'a str,
    series: &'a str,
    measure: Measure,
) -> SlopeDefinition<'a> {
    SlopeDefinition {
        name,
        unit,
        series,
        measure,
        against: Against::Size,
    }
}

/// All slopes of a run.
pub fn slopes(settings: &ScaleSettings, series: &[Series]) -> Vec<Slope> {
    let mut slopes = query_slopes(settings, series);
    slopes.extend(change_slopes(series));
    slopes.extend(list_slopes(series));
    slopes.extend(memory_slopes(series));
    slopes
}

fn query_slopes(settings: &ScaleSettings, series: &[Series]) -> Vec<Slope> {
    const NS_PER_SERVER: &str = "ns a leaf server";
    let most_parts = settings.most_parts();
    let by_servers = name::query_by_servers(most_parts);
    let same_shards = name::query_same_shards(most_parts);
    let by_open = name::query_by_open(most_parts);
    let measure = Measure::QueryProcessorNs;
    let listed_title = "a query's processor time by leaf servers listed";
    let connected_title = "a query's processor time by leaf servers listed, connections open";
    let definitions = [
        by_size(
            "processor time a part",
            "ns a part",
            name::QUERY_BY_PARTS,
            measure,
        ),
        by_size(listed_title, NS_PER_SERVER, &by_servers, measure),
        by_size(connected_title, NS_PER_SERVER, &same_shards, measure),
        by_size(
            "a query's processor time by queries open",
            "ns an open query",
            &by_open,
            measure,
        ),
    ];
    definitions
        .iter()
        .map(|definition| slope(series, definition))
        .collect()
}

fn change_slopes(series: &[Series]) -> Vec<Slope> {
    let (entries, time) = (name::CHANGE_BY_ENTRIES, Measure::ChangeProcessorNs);
    let listed_title = "a change's processor time by leaf servers listed";
    let definitions = [
        by_size(
            "processor time a changed entry",
            "ns an entry",
            entries,
            time,
        ),
        by_size(
            "bytes a changed entry",
            "bytes an entry",
            entries,
            Measure::ChangeBytes,
        ),
        by_size(listed_title, "ns a leaf server", name::CHANGE_ONE, time),
    ];
    definitions
        .iter()
        .map(|definition| slope(series, definition))
        .collect()
}

fn list_slopes(series: &[Series]) -> Vec<Slope> {
    const NS_PER_ENTRY: &str = "ns an entry";
    const BYTES_PER_ENTRY: &str = "bytes an entry";
    let reapply_title = "processor time to take an unchanged entry again";
    let definitions = [
        by_size(
            "bytes an entry of the whole list",
            BYTES_PER_ENTRY,
            name::LIST,
            Measure::ListBytes,
        ),
        by_size(
            "processor time to parse an entry",
            NS_PER_ENTRY,
            name::LIST,
            Measure::ParseProcessorNs,
        ),
        by_size(
            "processor time to take an entry",
            NS_PER_ENTRY,
            name::LIST,
            Measure::ApplyProcessorNs,
        ),
        by_size(
            reapply_title,
            NS_PER_ENTRY,
            name::LIST,
            Measure::ReapplyProcessorNs,
        ),
        by_size(
            "resident memory an entry",
            BYTES_PER_ENTRY,
            name::LIST,
            Measure::ResidentBytes,
        ),
    ];
    definitions
        .iter()
        .map(|definition| slope(series, definition))
        .collect()
}

fn memory_slopes(series: &[Series]) -> Vec<Slope> {
    let measure = Measure::ResidentBytes;
    let definitions = [
        SlopeDefinition {
            name: "resident memory a connection",
            unit: "bytes a connection",
            series: name::CONNECTIONS,
            measure,
            against: Against::Measure(Measure::Connections),
        },
        SlopeDefinition {
            name: "resident memory an open query",
            unit: "bytes a query",
            series: name::OPEN_QUERIES,
            measure,
            against: Against::Measure(Measure::QueriesUnanswered),
        },
    ];
    definitions
        .iter()
        .map(|definition| slope(series, definition))
        .collect()
}

fn slope(all_series: &[Series], definition: &SlopeDefinition) -> Slope {
    let SlopeDefinition {
        name,
        unit,
        series,
        measure,
        against,
    } = *definition;
    let found = all_series.iter().find(|found| found.name == series);
    let points = found.map_or(&[][..], |found| &found.points);
    // A refused size was measured past the bound of the mixer: it is shown in the report but excluded from the fit.
    let fitted = points
        .iter()
        .filter(|point| matches!(point.outcome, Outcome::Measured | Outcome::Cut));
    let pair = |point: &Point| {
        let x = match against {
            Against::Size => point.x,
            Against::Measure(measure) => *point.values.get(&measure)?,
        };
        Some((x, *point.values.get(&measure)?))
    };
    let pairs: Vec<(f64, f64)> = fitted.filter_map(pair).collect();
    let line = fit::line(&pairs);
    Slope {
        name: name.into(),
        unit: unit.into(),
        series: series.into(),
        measure,
        against,
        line,
    }
}

/// Cost at the last size of each series divided by that at the first, with the targets.
pub fn ratios(settings: &ScaleSettings, series: &[Series]) -> Vec<Ratio> {
    let mut ratios = Vec::new();
    let (most_parts, fewest_parts) = (settings.most_parts(), settings.fewest_parts());
    let mut add = |title: String, series_name: &str, measure, target| {
        ratios.push(ratio(series, title, series_name, measure, target))
    };
    use Measure::*;
    add(
        format!("a part of {most_parts}"),
        &name::query_by_servers(most_parts),
        PartProcessorNs,
        Some(MAX_RATIO_SERVERS),
    );
    add(
        format!("a part of {most_parts}"),
        &name::query_by_open(most_parts),
        PartProcessorNs,
        Some(MAX_RATIO_OPEN_QUERIES),
    );
    add(
        "one changed entry".into(),
        name::CHANGE_ONE,
        ChangedEntryProcessorNs,
        Some(MAX_RATIO_CHANGE),
    );
    add(
        format!("a part of {most_parts}, connections open"),
        &name::query_same_shards(most_parts),
        PartProcessorNs,
        None,
    );
    if fewest_parts != most_parts {
        add(
            format!("a part of {fewest_parts}"),
            &name::query_by_servers(fewest_parts),
            PartProcessorNs,
            None,
        );
        add(
            format!("a part of {fewest_parts}"),
            &name::query_by_open(fewest_parts),
            PartProcessorNs,
            None,
        );
    }
    let entries = settings.change_entries;
    add(
        format!("an entry of a change of {entries}"),
        name::CHANGE_MANY,
        ChangedEntryProcessorNs,
        None,
    );
    ratios
}

fn ratio(
    all_series: &[Series],
    title: String,
    series_name: &str,
    measure: Measure,
    target: Option<f64>,
) -> Ratio {
    let series = all_series.iter().find(|series| series.name == series_name);
    let ends = series
        .and_then(|series| Some((series.points.first()?, series.points.last()?, &series.size)));
    let Some((first, last, size)) = ends else {
        return Ratio {
            name: title,
            value: None,
            target,
        };
    };
    let cost = |point: &Point| {
        point
            .values
            .get(&measure)
            .copied()
            .filter(|cost| *cost > 0.0)
    };
    // A single size shows no growth.
    let ends = cost(last).zip(cost(first)).filter(|_| first.x < last.x);
    let value = ends.map(|(last, first)| last / first);
    let name = format!(
        "{title}: {} against {} {size}",
        format_grouped(last.x),
        format_grouped(first.x)
    );
    Ratio {
        name,
        value,
        target,
    }
}
