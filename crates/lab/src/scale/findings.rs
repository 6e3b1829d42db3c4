//! What follows from the series: slopes and ratios.

use super::plan::name;
use super::settings::Scale;
use crate::fit;
use crate::report::{Against, Measure, Outcome, Point, Ratio, Series, Slope};
use crate::units::grouped;

/// The most that a part may cost at the largest fleet, against the smallest.
const AIM_SERVERS: f64 = 1.5;
/// The most that a part may cost with the most queries open, against the fewest.
const AIM_OPEN: f64 = 1.5;
/// The most that one changed entry may cost at the largest fleet, against the smallest.
const AIM_CHANGE: f64 = 3.0;

/// A slope that is read from a run.
struct Wanted<'a> {
    name: &'a str,
    unit: &'a str,
    series: &'a str,
    measure: Measure,
    against: Against,
}

fn by_size<'a>(name: &'a str, unit: &'a str, series: &'a str, measure: Measure) -> Wanted<'a> {
    Wanted {
        name,
        unit,
        series,
        measure,
        against: Against::Size,
    }
}

/// The slopes that are read from a run.
pub fn slopes(scale: &Scale, series: &[Series]) -> Vec<Slope> {
    let mut slopes = query_slopes(scale, series);
    slopes.extend(change_slopes(series));
    slopes.extend(list_slopes(series));
    slopes.extend(memory_slopes(series));
    slopes
}

fn query_slopes(scale: &Scale, series: &[Series]) -> Vec<Slope> {
    const SERVER: &str = "ns a leaf server";
    let wide = scale.widest();
    let by_servers = name::query_by_servers(wide);
    let same_shards = name::query_same_shards(wide);
    let by_open = name::query_by_open(wide);
    let measure = Measure::QueryProcessorNs;
    let listed = "a query's processor time by leaf servers listed";
    let listed_open = "a query's processor time by leaf servers listed, connections open";
    let wanted = [
        by_size(
            "processor time a part",
            "ns a part",
            name::QUERY_BY_PARTS,
            measure,
        ),
        by_size(listed, SERVER, &by_servers, measure),
        by_size(listed_open, SERVER, &same_shards, measure),
        by_size(
            "a query's processor time by queries open",
            "ns an open query",
            &by_open,
            measure,
        ),
    ];
    wanted.iter().map(|wanted| slope(series, wanted)).collect()
}

fn change_slopes(series: &[Series]) -> Vec<Slope> {
    let (entries, time) = (name::CHANGE_BY_ENTRIES, Measure::ChangeProcessorNs);
    let listed = "a change's processor time by leaf servers listed";
    let wanted = [
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
        by_size(listed, "ns a leaf server", name::CHANGE_ONE, time),
    ];
    wanted.iter().map(|wanted| slope(series, wanted)).collect()
}

fn list_slopes(series: &[Series]) -> Vec<Slope> {
    const TIME: &str = "ns an entry";
    const BYTES: &str = "bytes an entry";
    let again = "processor time to take an unchanged entry again";
    let wanted = [
        by_size(
            "bytes an entry of the whole list",
            BYTES,
            name::LIST,
            Measure::ListBytes,
        ),
        by_size(
            "processor time to parse an entry",
            TIME,
            name::LIST,
            Measure::ParseProcessorNs,
        ),
        by_size(
            "processor time to take an entry",
            TIME,
            name::LIST,
            Measure::TakeProcessorNs,
        ),
        by_size(again, TIME, name::LIST, Measure::RetakeProcessorNs),
        by_size(
            "resident memory an entry",
            BYTES,
            name::LIST,
            Measure::ResidentBytes,
        ),
    ];
    wanted.iter().map(|wanted| slope(series, wanted)).collect()
}

fn memory_slopes(series: &[Series]) -> Vec<Slope> {
    let measure = Measure::ResidentBytes;
    let wanted = [
        Wanted {
            name: "resident memory a connection",
            unit: "bytes a connection",
            series: name::CONNECTIONS,
            measure,
            against: Against::Measure(Measure::Connections),
        },
        Wanted {
            name: "resident memory an open query",
            unit: "bytes a query",
            series: name::OPEN_QUERIES,
            measure,
            against: Against::Measure(Measure::QueriesUnanswered),
        },
    ];
    wanted.iter().map(|wanted| slope(series, wanted)).collect()
}

fn slope(all: &[Series], wanted: &Wanted) -> Slope {
    let Wanted {
        name,
        unit,
        series,
        measure,
        against,
    } = *wanted;
    let found = all.iter().find(|found| found.name == series);
    let points = found.map_or(&[][..], |found| &found.points);
    // A refused size was measured past the bound that refuses it: it is shown, and enters no fit.
    let usable = points
        .iter()
        .filter(|point| matches!(point.outcome, Outcome::Measured | Outcome::Cut));
    let pair = |point: &Point| {
        let x = match against {
            Against::Size => point.x,
            Against::Measure(measure) => *point.values.get(&measure)?,
        };
        Some((x, *point.values.get(&measure)?))
    };
    let pairs: Vec<(f64, f64)> = usable.filter_map(pair).collect();
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

/// Last size of each series against its first, with the aims.
pub fn ratios(scale: &Scale, series: &[Series]) -> Vec<Ratio> {
    let mut ratios = Vec::new();
    let (wide, narrow) = (scale.widest(), scale.narrowest());
    let mut add =
        |what: String, of: &str, measure, aim| ratios.push(ratio(series, what, of, measure, aim));
    use Measure::*;
    add(
        format!("a part of {wide}"),
        &name::query_by_servers(wide),
        PartProcessorNs,
        Some(AIM_SERVERS),
    );
    add(
        format!("a part of {wide}"),
        &name::query_by_open(wide),
        PartProcessorNs,
        Some(AIM_OPEN),
    );
    add(
        "one changed entry".into(),
        name::CHANGE_ONE,
        ChangedEntryProcessorNs,
        Some(AIM_CHANGE),
    );
    add(
        format!("a part of {wide}, connections open"),
        &name::query_same_shards(wide),
        PartProcessorNs,
        None,
    );
    if narrow != wide {
        add(
            format!("a part of {narrow}"),
            &name::query_by_servers(narrow),
            PartProcessorNs,
            None,
        );
        add(
            format!("a part of {narrow}"),
            &name::query_by_open(narrow),
            PartProcessorNs,
            None,
        );
    }
    let many = scale.change_entries;
    add(
        format!("an entry of a change of {many}"),
        name::CHANGE_MANY,
        ChangedEntryProcessorNs,
        None,
    );
    ratios
}

fn ratio(all: &[Series], what: String, of: &str, measure: Measure, aim: Option<f64>) -> Ratio {
    let series = all.iter().find(|series| series.name == of);
    let ends = series
        .and_then(|series| Some((series.points.first()?, series.points.last()?, &series.size)));
    let Some((first, last, size)) = ends else {
        return Ratio {
            name: what,
            value: None,
            aim,
        };
    };
    let cost = |point: &Point| {
        point
            .values
            .get(&measure)
            .copied()
            .filter(|cost| *cost > 0.0)
    };
    // One size says nothing about growth.
    let ends = cost(last).zip(cost(first)).filter(|_| first.x < last.x);
    let value = ends.map(|(last, first)| last / first);
    let name = format!(
        "{what}: {} against {} {size}",
        grouped(last.x),
        grouped(first.x)
    );
    Ratio { name, value, aim }
}
