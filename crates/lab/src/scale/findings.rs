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

/// The slopes that are read from a run.
pub fn slopes(scale: &Scale, series: &[Series]) -> Vec<Slope> {
    use Measure::*;
    let wide = scale.widest();
    let by_servers = name::query_by_servers(wide);
    let same_shards = name::query_same_shards(wide);
    let by_open = name::query_by_open(wide);
    let size = Against::Size;
    let wanted: [(&str, &str, &str, Measure, Against); 14] = [
        ("processor time a part", "ns a part", name::QUERY_BY_PARTS, QueryProcessorNs, size),
        (
            "a query's processor time by leaf servers listed",
            "ns a leaf server",
            &by_servers,
            QueryProcessorNs,
            size,
        ),
        ("the same, connections open", "ns a leaf server", &same_shards, QueryProcessorNs, size),
        ("a query's processor time by queries open", "ns an open query", &by_open, QueryProcessorNs, size),
        ("processor time a changed entry", "ns an entry", name::CHANGE_BY_ENTRIES, ChangeProcessorNs, size),
        ("bytes a changed entry", "bytes an entry", name::CHANGE_BY_ENTRIES, ChangeBytes, size),
        (
            "a change's processor time by leaf servers listed",
            "ns a leaf server",
            name::CHANGE_ONE,
            ChangeProcessorNs,
            size,
        ),
        ("bytes an entry of the whole list", "bytes an entry", name::LIST, ListBytes, size),
        ("processor time to parse an entry", "ns an entry", name::LIST, ParseProcessorNs, size),
        ("processor time to take an entry", "ns an entry", name::LIST, TakeProcessorNs, size),
        (
            "processor time to take an unchanged entry again",
            "ns an entry",
            name::LIST,
            RetakeProcessorNs,
            size,
        ),
        ("resident memory an entry", "bytes an entry", name::LIST, ResidentBytes, size),
        (
            "resident memory a connection",
            "bytes a connection",
            name::CONNECTIONS,
            ResidentBytes,
            Against::Measure(Connections),
        ),
        (
            "resident memory an open query",
            "bytes a query",
            name::OPEN_QUERIES,
            ResidentBytes,
            Against::Measure(QueriesUnanswered),
        ),
    ];
    wanted
        .into_iter()
        .map(|(what, unit, of, measure, against)| slope(series, what, unit, of, measure, against))
        .collect()
}

fn slope(all: &[Series], what: &str, unit: &str, of: &str, measure: Measure, against: Against) -> Slope {
    let points = all.iter().find(|series| series.name == of).map_or(&[][..], |series| &series.points);
    // A refused size was measured past the bound that refuses it: it is shown, and enters no fit.
    let usable = points.iter().filter(|point| matches!(point.outcome, Outcome::Measured | Outcome::Cut));
    let pair = |point: &Point| {
        let x = match against {
            Against::Size => point.x,
            Against::Measure(measure) => *point.values.get(&measure)?,
        };
        Some((x, *point.values.get(&measure)?))
    };
    let pairs: Vec<(f64, f64)> = usable.filter_map(pair).collect();
    Slope {
        name: what.into(),
        unit: unit.into(),
        series: of.into(),
        measure,
        against,
        line: fit::line(&pairs),
    }
}

/// Last size of each series against its first, with the aims.
pub fn ratios(scale: &Scale, series: &[Series]) -> Vec<Ratio> {
    let mut ratios = Vec::new();
    let (wide, narrow) = (scale.widest(), scale.narrowest());
    let mut add = |what: String, of: &str, measure, aim| ratios.push(ratio(series, what, of, measure, aim));
    use Measure::*;
    add(format!("a part of {wide}"), &name::query_by_servers(wide), PartProcessorNs, Some(AIM_SERVERS));
    add(format!("a part of {wide}"), &name::query_by_open(wide), PartProcessorNs, Some(AIM_OPEN));
    add("one changed entry".into(), name::CHANGE_ONE, ChangedEntryProcessorNs, Some(AIM_CHANGE));
    add(format!("a part of {wide}, connections open"), &name::query_same_shards(wide), PartProcessorNs, None);
    if narrow != wide {
        add(format!("a part of {narrow}"), &name::query_by_servers(narrow), PartProcessorNs, None);
        add(format!("a part of {narrow}"), &name::query_by_open(narrow), PartProcessorNs, None);
    }
    let many = scale.change_entries;
    add(format!("an entry of a change of {many}"), name::CHANGE_MANY, ChangedEntryProcessorNs, None);
    ratios
}

fn ratio(all: &[Series], what: String, of: &str, measure: Measure, aim: Option<f64>) -> Ratio {
    let series = all.iter().find(|series| series.name == of);
    let ends = series.and_then(|series| Some((series.points.first()?, series.points.last()?, &series.size)));
    let Some((first, last, size)) = ends else { return Ratio { name: what, value: None, aim } };
    let cost = |point: &Point| point.values.get(&measure).copied().filter(|cost| *cost > 0.0);
    let value = cost(last).zip(cost(first)).map(|(last, first)| last / first);
    let name = format!("{what}: {} against {} {size}", grouped(last.x), grouped(first.x));
    Ratio { name, value, aim }
}
