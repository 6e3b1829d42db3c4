//! The report's plot: four panels on logarithmic axes.

use crate::report::{Measure, Report, Series};
use crate::units::format_value;
use crate::Failure;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (1280, 960);
const FONT: &str = "sans-serif";
const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    BLACK,
];

/// One curve: a measure of a series.
struct Curve<'a> {
    series: &'a Series,
    measure: Measure,
}

impl Curve<'_> {
    fn points(&self) -> Vec<(f64, f64)> {
        let value =
            |measure: &Measure, point: &crate::report::Point| point.values.get(measure).copied();
        let points = self.series.points.iter();
        let pairs = points.filter_map(|point| Some((point.x, value(&self.measure, point)?)));
        pairs.filter(|(x, y)| *x > 0.0 && *y > 0.0).collect()
    }
}

struct Panel<'a> {
    title: &'a str,
    size: &'a str,
    curves: Vec<Curve<'a>>,
}

/// Draws the report into a PNG file.
///
/// # Errors
/// The file cannot be written, or the font cannot be used.
pub fn draw(report: &Report, path: &Path) -> Result<(), Failure> {
    // The font is compiled into the program, so that no system font is needed.
    plotters::style::register_font(FONT, FontStyle::Normal, epaint_default_fonts::UBUNTU_LIGHT)
        .map_err(|_| Failure::Running("the plot's font cannot be used".into()))?;
    let root = BitMapBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(Failure::running)?;
    let areas = root.split_evenly((2, 2));
    for (area, panel) in areas.iter().zip(panels(report)) {
        draw_panel(area, &panel).map_err(Failure::Running)?;
    }
    root.present().map_err(Failure::running)
}

fn panels(report: &Report) -> [Panel<'_>; 4] {
    let curves = |measure: Measure, selects: &dyn Fn(&str) -> bool| {
        let series = report.series.iter().filter(|series| selects(&series.name));
        series
            .map(|series| Curve { series, measure })
            .collect::<Vec<_>>()
    };
    let queries_by_servers =
        |name: &str| name.starts_with("query-of") && name.contains("by-servers");
    let queries_by_open =
        |name: &str| name.starts_with("query-of") && name.ends_with("by-open-queries");
    let changes = |name: &str| name.starts_with("change-of");
    let list = |name: &str| name == crate::scale::plan::name::LIST;
    let mut list_curves = curves(Measure::ParseProcessorNs, &list);
    list_curves.extend(curves(Measure::ApplyProcessorNs, &list));
    list_curves.extend(curves(Measure::ReapplyProcessorNs, &list));
    let servers = "leaf servers";
    [
        Panel {
            title: "Processor time of a query",
            size: servers,
            curves: curves(Measure::QueryProcessorNs, &queries_by_servers),
        },
        Panel {
            title: "Processor time of a query",
            size: "open queries",
            curves: curves(Measure::QueryProcessorNs, &queries_by_open),
        },
        Panel {
            title: "Processor time of a change",
            size: servers,
            curves: curves(Measure::ChangeProcessorNs, &changes),
        },
        Panel {
            title: "Processor time of the whole list",
            size: servers,
            curves: list_curves,
        },
    ]
}

/// The range of the values, extended by a factor of 1.5 at both ends; `None` without values.
fn range(values: impl Iterator<Item = f64>) -> Option<std::ops::Range<f64>> {
    let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
    for value in values {
        (least, most) = (least.min(value), most.max(value));
    }
    least.is_finite().then(|| least / 1.5..most * 1.5)
}

fn draw_panel(area: &DrawingArea<BitMapBackend, Shift>, panel: &Panel) -> Result<(), String> {
    let points: Vec<(f64, f64)> = panel.curves.iter().flat_map(Curve::points).collect();
    let (Some(x), Some(y)) = (
        range(points.iter().map(|p| p.0)),
        range(points.iter().map(|p| p.1)),
    ) else {
        return Ok(());
    };
    let Some(first) = panel.curves.first() else {
        return Ok(());
    };
    let (x_unit, y_unit) = (crate::units::Unit::Count, first.measure.unit());
    let mut chart = ChartBuilder::on(area)
        .margin(14)
        .caption(format!("{} by {}", panel.title, panel.size), (FONT, 22))
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(x.log_scale(), y.log_scale())
        .map_err(|e| e.to_string())?;
    chart
        .configure_mesh()
        .x_desc(panel.size)
        .label_style((FONT, 15))
        .x_label_formatter(&|x| format_value(*x, x_unit))
        .y_label_formatter(&|y| format_value(*y, y_unit))
        .x_labels(6)
        .y_labels(6)
        .max_light_lines(4)
        .light_line_style(RGBColor(240, 240, 240))
        .draw()
        .map_err(|e| e.to_string())?;
    for (curve, colour) in panel.curves.iter().zip(COLOURS.iter().cycle()) {
        let label = if panel
            .curves
            .iter()
            .all(|other| other.measure == first.measure)
        {
            curve.series.title.clone()
        } else {
            curve.measure.label().to_string()
        };
        let line = LineSeries::new(curve.points(), colour.stroke_width(2)).point_size(4);
        let drawn = chart.draw_series(line).map_err(|e| e.to_string())?;
        let legend_mark =
            move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2));
        drawn.label(label).legend(legend_mark);
    }
    let mut legend = chart.configure_series_labels();
    legend
        .position(SeriesLabelPosition::UpperLeft)
        .label_font((FONT, 14))
        .background_style(WHITE.mix(0.8));
    legend
        .border_style(RGBColor(200, 200, 200))
        .draw()
        .map_err(|e| e.to_string())
}
