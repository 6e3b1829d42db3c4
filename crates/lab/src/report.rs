//! The report of a scale run: series of points, slopes fitted to them, ratios with their targets.

use crate::fit::Line;
use crate::machine::Machine;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the report format; readers reject any other.
pub const FORMAT: u32 = 1;

/// A quantity measured at a point. Its name in the report ends in its unit, except for counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Processor time of the reducer and its decisions for one query with all its parts: the median
    /// over the slices of the point.
    QueryProcessorNs,
    /// [`Measure::QueryProcessorNs`] divided by the parts of a query.
    PartProcessorNs,
    /// Queries that ended while processor time was measured; the other counts cover the complete point.
    QueriesMeasured,
    /// Queries that clients sent.
    #[serde(rename = "queries_asked")]
    QueriesSent,
    /// Queries that ended with an answer.
    QueriesAnswered,
    /// Queries that ended with a refusal or a failure.
    QueriesRefused,
    /// Queries without a reply at the end of the point.
    QueriesUnanswered,
    /// Replies to clients without an open query: the query had its reply already.
    #[serde(rename = "replies_twice")]
    DuplicateReplies,
    /// Attempts sent to leaf servers.
    Attempts,
    /// Calls sent to leaf servers, each with one or more attempts.
    Calls,
    /// Connections opened to leaf servers.
    Connections,
    /// Batches that the reducer processed.
    #[serde(rename = "turns")]
    Batches,
    /// Bytes of the snapshot of the endpoint list, as JSON.
    ListBytes,
    /// Processor time to frame and parse the snapshot.
    ParseProcessorNs,
    /// Processor time to apply a parsed snapshot to the reducer and process the batch.
    #[serde(rename = "take_processor_ns")]
    ApplyProcessorNs,
    /// Processor time to apply the same entries again, in a newer snapshot.
    #[serde(rename = "retake_processor_ns")]
    ReapplyProcessorNs,
    /// Change messages that were applied.
    ChangeMessages,
    /// Bytes of one change message, as JSON.
    ChangeBytes,
    /// Processor time to parse and apply one change message and process the batch: the median over the slices.
    ChangeProcessorNs,
    /// [`Measure::ChangeProcessorNs`] divided by the entries of the message.
    ChangedEntryProcessorNs,
    /// Resident memory added by the state that the point measures, in bytes.
    ResidentBytes,
    /// Peak resident memory of the process until the first snapshot was applied, in bytes, the program included.
    FirstPeakResidentBytes,
    /// Peak resident memory of the process over the complete point, in bytes, the program included.
    PeakResidentBytes,
}

/// The measured values of one point.
pub type Values = BTreeMap<Measure, f64>;

/// How a point ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Measured,
    /// Stopped by a time limit; the values cover the work done until then.
    Cut,
    /// The size exceeds a bound of the mixer. Any values were measured past the bound and are excluded from fits.
    Refused,
    /// The measurement failed.
    Failed,
}

/// One size of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The value of the size that the series varies.
    pub x: f64,
    pub outcome: Outcome,
    /// Why the point was cut, refused or failed; empty for a measured one.
    pub note: String,
    pub values: Values,
    /// Run time of the point's process.
    pub wall_seconds: f64,
}

/// What part of the system a series measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// The reducer with its decisions, without sockets.
    InProcess,
    /// The mixer over loopback sockets.
    Sockets,
}

/// Points that differ in a single size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Lower-case with hyphens; unique in a report.
    pub name: String,
    pub title: String,
    pub scope: Scope,
    /// What the varied size counts, such as `leaf servers`.
    pub size: String,
    pub points: Vec<Point>,
}

/// The quantity on the x axis of a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Against {
    /// The size that the series varies.
    Size,
    /// A quantity measured at the point.
    Measure(Measure),
}

/// A line fitted to the points of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Title for readers, such as `resident memory an entry`.
    pub name: String,
    /// Unit of the slope, such as `ns an entry`.
    pub unit: String,
    pub series: String,
    pub measure: Measure,
    pub against: Against,
    /// `None` if the usable points have fewer than two distinct sizes.
    pub line: Option<Line>,
}

/// Quotient of a measure at two points of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    pub name: String,
    /// `None` if a point has no value, or if the series has a single size.
    pub value: Option<f64>,
    /// The largest acceptable value; `None` for a ratio that only explains another.
    #[serde(rename = "aim")]
    pub target: Option<f64>,
}

impl Ratio {
    /// Whether the target is reached; `None` without a target. A missing value does not reach its target.
    pub fn reached(&self) -> Option<bool> {
        self.target
            .map(|target| self.value.is_some_and(|value| value <= target))
    }
}

/// The results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub format: u32,
    pub machine: Machine,
    /// Effective value of every setting, by `[section] key`.
    pub settings: BTreeMap<String, String>,
    pub wall_seconds: f64,
    pub series: Vec<Series>,
    pub slopes: Vec<Slope>,
    pub ratios: Vec<Ratio>,
}

/// The counts in the last line that a run prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Series and their points, then the points by outcome.
    pub series: usize,
    pub points: usize,
    pub cut: usize,
    pub refused: usize,
    pub failed: usize,
    /// Ratios that have a target, and those that reach it.
    pub targets: usize,
    pub reached: usize,
}

impl Report {
    pub fn series(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }

    /// Counts the series, points and targets of the report.
    pub fn summary(&self) -> Summary {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let with_outcome = |outcome| points().filter(|point| point.outcome == outcome).count();
        let targets: Vec<bool> = self.ratios.iter().filter_map(Ratio::reached).collect();
        Summary {
            series: self.series.len(),
            points: points().count(),
            cut: with_outcome(Outcome::Cut),
            refused: with_outcome(Outcome::Refused),
            failed: with_outcome(Outcome::Failed),
            targets: targets.len(),
            reached: targets.into_iter().filter(|reached| *reached).count(),
        }
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Summary {
            series,
            points,
            cut,
            refused,
            failed,
            targets,
            reached,
        } = self;
        write!(f, "SCALE series {series}, points {points}, cut {cut}, refused {refused}, failed {failed}, ")?;
        write!(f, "aims {reached} of {targets} reached")
    }
}
