//! Fits, number formats and the comparison of two reports, on known data.

use cottonhill_lab::fit::{line, median, Line};
use cottonhill_lab::machine::Machine;
use cottonhill_lab::markdown::{comparison, page};
use cottonhill_lab::report::{
    Against, Measure, Outcome, Point, Ratio, Report, Scope, Series, Slope, Values, FORMAT,
};
use cottonhill_lab::scale::findings;
use cottonhill_lab::scale::settings::ScaleSettings;
use cottonhill_lab::units::{format_digits, format_grouped, format_value, Unit};
use cottonhill_lab::{output, Failure};

fn default_settings() -> ScaleSettings {
    ScaleSettings::read(&cottonhill_ini::Settings::defaults()).expect("the defaults are valid")
}

fn point(x: f64, outcome: Outcome, values: Values) -> Point {
    Point {
        x,
        outcome,
        note: format!("{outcome:?}"),
        values,
        wall_seconds: 0.1,
    }
}

fn list_series(points: Vec<Point>) -> Series {
    Series {
        name: "whole-list-by-servers".into(),
        title: "Whole list".into(),
        scope: Scope::InProcess,
        size: "leaf servers".into(),
        points,
    }
}

fn sample_report(slope: f64) -> Report {
    let line = Line {
        slope,
        intercept: 1_000.0,
        residual: 0.02,
        points: 3,
    };
    let values = Values::from([
        (Measure::ApplyProcessorNs, slope * 1e6),
        (Measure::ListBytes, 4e6),
    ]);
    Report {
        format: FORMAT,
        machine: Machine {
            cores: 8,
            commit: "abc".into(),
            ..Machine::default()
        },
        settings: Default::default(),
        wall_seconds: 61.0,
        series: vec![list_series(vec![
            point(30_000.0, Outcome::Measured, values.clone()),
            point(110_000.0, Outcome::Refused, values),
        ])],
        slopes: vec![Slope {
            name: "processor time to take an entry".into(),
            unit: "ns an entry".into(),
            series: "whole-list-by-servers".into(),
            measure: Measure::ApplyProcessorNs,
            against: Against::Size,
            line: Some(line),
        }],
        ratios: vec![
            Ratio {
                name: "one changed entry".into(),
                value: Some(slope / 10.0),
                target: Some(3.0),
            },
            Ratio {
                name: "a part".into(),
                value: None,
                target: Some(1.5),
            },
            Ratio {
                name: "explains".into(),
                value: Some(9.0),
                target: None,
            },
        ],
    }
}

#[test]
fn collinear_points_are_fitted_exactly() {
    let points: Vec<(f64, f64)> = (1..6)
        .map(|x| (f64::from(x), 7.0 + 2.5 * f64::from(x)))
        .collect();
    let Line {
        slope,
        intercept,
        residual,
        points,
    } = line(&points).expect("a line");
    assert!((slope - 2.5).abs() < 1e-12 && (intercept - 7.0).abs() < 1e-12 && residual < 1e-12);
    assert_eq!(points, 5);
}

#[test]
fn the_residual_is_the_relative_root_mean_square_error() {
    // Computed by hand: slope 1, intercept 0, residuals of magnitude 1 at all four points, mean 2.5.
    let fitted = line(&[(1.0, 2.0), (2.0, 1.0), (3.0, 2.0), (4.0, 5.0)]).expect("a line");
    assert!(
        (fitted.slope - 1.0).abs() < 1e-12 && fitted.intercept.abs() < 1e-12,
        "{fitted:?}"
    );
    assert!((fitted.residual - 1.0 / 2.5).abs() < 1e-12, "{fitted:?}");
}

#[test]
fn no_line_is_fitted_to_fewer_than_two_distinct_sizes() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(1.0, 2.0)]), None);
    assert_eq!(line(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(line(&[(1.0, 2.0), (2.0, f64::NAN)]), None);
    assert!(line(&[(1.0, 0.0), (2.0, 0.0)])
        .is_some_and(|line| line.residual == 0.0 && line.slope == 0.0));
}

#[test]
fn the_median_is_not_affected_by_outliers() {
    assert_eq!(median(vec![]), None);
    assert_eq!(median(vec![3.0]), Some(3.0));
    assert_eq!(median(vec![900.0, 2.0, 1.0]), Some(2.0));
    assert_eq!(median(vec![4.0, 900.0, 2.0, 1.0]), Some(3.0));
}

#[test]
fn a_refused_size_is_shown_but_excluded_from_the_fit() {
    let values = |x: f64| Values::from([(Measure::ResidentBytes, 1_000.0 * x)]);
    let series = [list_series(vec![
        point(300.0, Outcome::Measured, values(300.0)),
        point(3_000.0, Outcome::Cut, values(3_000.0)),
        point(30_000.0, Outcome::Failed, Values::new()),
        point(110_000.0, Outcome::Refused, values(1.0)),
    ])];
    let slopes = findings::slopes(&default_settings(), &series);
    let memory = slopes
        .iter()
        .find(|slope| slope.name == "resident memory an entry")
        .expect("the slope");
    let fitted = memory.line.expect("a line");
    assert_eq!(fitted.points, 2);
    assert!((fitted.slope - 1_000.0).abs() < 1e-6, "{fitted:?}");
    let report = Report {
        series: series.to_vec(),
        slopes,
        ..sample_report(1.0)
    };
    let page = page(&report);
    assert!(
        page.contains("110,000") && page.contains("Refused"),
        "{page}"
    );
    let summary = report.summary();
    assert_eq!((summary.cut, summary.refused, summary.failed), (1, 1, 1));
}

#[test]
fn a_target_without_a_value_is_not_reached() {
    let summary = sample_report(10.0).summary();
    assert_eq!((summary.targets, summary.reached), (2, 1));
    assert_eq!(
        summary.to_string(),
        "SCALE series 1, points 2, cut 0, refused 1, failed 0, aims 1 of 2 reached"
    );
    let missing = findings::ratios(&default_settings(), &[]);
    assert_eq!(
        missing
            .iter()
            .filter_map(Ratio::reached)
            .collect::<Vec<_>>(),
        [false, false, false]
    );
}

#[test]
fn a_series_of_one_size_does_not_reach_its_target() {
    let change = |servers: &[f64]| {
        let cost = |x: f64| Values::from([(Measure::ChangedEntryProcessorNs, 10.0 * x)]);
        let points = servers
            .iter()
            .map(|x| point(*x, Outcome::Measured, cost(*x)))
            .collect();
        let series = Series {
            name: "change-of-one-entry-by-servers".into(),
            ..list_series(points)
        };
        let ratios = findings::ratios(&default_settings(), &[series]);
        let one = ratios
            .into_iter()
            .find(|ratio| ratio.name.starts_with("one changed entry"));
        one.map(|ratio| (ratio.value, ratio.reached()))
    };
    assert_eq!(change(&[300.0]), Some((None, Some(false))));
    assert_eq!(change(&[300.0, 600.0]), Some((Some(2.0), Some(true))));
    assert_eq!(change(&[300.0, 3_000.0]), Some((Some(10.0), Some(false))));
}

#[test]
fn the_comparison_shows_both_reports_side_by_side() {
    let text = comparison(&sample_report(100.0), &sample_report(20.0));
    let row = |name: &str| {
        text.lines()
            .find(|line| line.contains(name))
            .unwrap_or_default()
            .to_string()
    };
    let cells = |name: &str| {
        row(name)
            .split('|')
            .map(|cell| cell.trim().to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        cells("processor time to take an entry"),
        [
            "",
            "processor time to take an entry",
            "ns an entry",
            "100",
            "20.0",
            "0.200",
            ""
        ]
    );
    assert_eq!(
        cells("one changed entry"),
        ["", "one changed entry", "3.00", "10.0", "2.00", ""]
    );
    assert!(
        text.contains("100 ms") && text.contains("20.0 ms"),
        "{text}"
    );
}

#[test]
fn a_written_report_is_read_back_unchanged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let report = sample_report(3.0);
    output::write(&report, folder.path()).expect("written");
    assert_eq!(
        output::read(&folder.path().join("scale.json")).expect("a report"),
        report
    );
    let missing = output::read(&folder.path().join("other.json")).expect_err("no such file");
    assert!(
        matches!(&missing, Failure::Settings(message) if message.contains("other.json")),
        "{missing}"
    );
}

#[test]
fn figures_have_three_digits_and_a_unit() {
    assert_eq!(format_value(87_960.0, Unit::Nanoseconds), "88.0 us");
    assert_eq!(format_value(312_400_000.0, Unit::Nanoseconds), "312 ms");
    assert_eq!(format_value(14_969_756.0, Unit::Bytes), "15.0 MB");
    assert_eq!(format_value(110_000.0, Unit::Count), "110,000");
    assert_eq!(format_value(0.0, Unit::Bytes), "0 B");
    assert_eq!(format_value(999.96, Unit::Nanoseconds), "1,000 ns");
    assert_eq!(
        (
            format_digits(0.0123),
            format_digits(-4.567),
            format_digits(99.96)
        ),
        ("0.012".into(), "-4.57".into(), "100".into())
    );
    assert_eq!(
        (
            format_grouped(-1_234_567.0),
            format_grouped(12.0),
            format_grouped(-0.2)
        ),
        ("-1,234,567".into(), "12".into(), "0".into())
    );
}
