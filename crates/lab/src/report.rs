//! What a run found: series of points, slopes fitted to them, ratios with their aims.

use crate::fit::Line;
use crate::machine::Machine;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form of the report, for readers of older ones.
pub const FORMAT: u32 = 1;

/// One quantity measured at a point. The name in the report ends in its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Processor time of the reducer and its decisions for one query, all its parts included: the
    /// median of the slices that a point is measured in.
    QueryProcessorNs,
    /// The same divided by the parts of a query.
    PartProcessorNs,
    /// Queries that ended while processor time was measured; the other counts are of the whole point.
    QueriesMeasured,
    /// Queries that clients put.
    QueriesAsked,
    /// Queries that ended in an answer.
    QueriesAnswered,
    /// Queries that ended in a refusal or a failure.
    QueriesRefused,
    /// Queries that had no reply at the end.
    QueriesUnanswered,
    /// Replies to queries that had one already.
    RepliesTwice,
    /// Attempts sent to leaf servers.
    Attempts,
    /// Calls, each with one or more attempts, sent to leaf servers.
    Calls,
    /// Connections opened to leaf servers.
    Connections,
    /// Times that the decisions were asked.
    Turns,
    /// Bytes of the whole list as JSON.
    ListBytes,
    /// Processor time to frame and parse the whole list.
    ParseProcessorNs,
    /// Processor time to take a parsed list into the reducer and decide on it.
    TakeProcessorNs,
    /// Processor time to take the same list again, with nothing changed.
    RetakeProcessorNs,
    /// Messages of changes that were taken.
    ChangeMessages,
    /// Bytes of one message as JSON.
    ChangeBytes,
    /// Processor time of one change message, parsed, taken and decided on: the median of slices.
    ChangeProcessorNs,
    /// The same divided by the entries of the message.
    ChangedEntryProcessorNs,
    /// Resident memory that this point's state added, in bytes.
    ResidentBytes,
    /// The most that the process held until the list was taken, its program included, in bytes.
    FirstPeakResidentBytes,
    /// The most that the process held over the whole point, its program included, in bytes.
    PeakResidentBytes,
}

/// The values of one point.
pub type Values = BTreeMap<Measure, f64>;

/// How a point ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Measured,
    /// Ended by its time bound; the values are those of what was done by then.
    Cut,
    /// The program refuses this size. Values, where there are any, were taken past the bound and enter no fit.
    Refused,
    /// The measurement itself failed.
    Failed,
}

/// One size of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size that the series steps.
    pub x: f64,
    pub outcome: Outcome,
    /// Why it was cut, refused or failed; empty for one that was measured.
    pub note: String,
    pub values: Values,
    /// How long its process ran.
    pub wall_seconds: f64,
}

/// Where a series was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// On the reducer with its decisions, without sockets.
    InProcess,
    /// Over loopback sockets.
    Sockets,
}

/// Points that differ in one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// In small letters with hyphens; unique in a report.
    pub name: String,
    pub title: String,
    pub scope: Scope,
    /// The size that is stepped, with what it counts: `leaf servers`.
    pub size: String,
    pub points: Vec<Point>,
}

/// What a slope is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Against {
    /// The size that the series steps.
    Size,
    /// What was counted at the point.
    Measure(Measure),
}

/// A line fitted to the points of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What a reader looks for: `resident memory an entry`.
    pub name: String,
    /// Unit of the slope: `ns an entry`.
    pub unit: String,
    pub series: String,
    pub measure: Measure,
    pub against: Against,
    /// None where fewer than two points were measured.
    pub line: Option<Line>,
}

/// Two points of one run against each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    pub name: String,
    /// None where one of the two points has no value.
    pub value: Option<f64>,
    /// The most that it should be; none for a ratio that only explains another.
    pub aim: Option<f64>,
}

impl Ratio {
    /// Whether the aim is reached; none without an aim. A value that is missing reaches none.
    pub fn reached(&self) -> Option<bool> {
        self.aim
            .map(|aim| self.value.is_some_and(|value| value <= aim))
    }
}

/// All that one run found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub format: u32,
    pub machine: Machine,
    /// Every setting in force, as `[section] key`.
    pub settings: BTreeMap<String, String>,
    pub wall_seconds: f64,
    pub series: Vec<Series>,
    pub slopes: Vec<Slope>,
    pub ratios: Vec<Ratio>,
}

/// The counts of a report's last line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Series and their points, then the points by how they ended.
    pub series: usize,
    pub points: usize,
    pub cut: usize,
    pub refused: usize,
    pub failed: usize,
    /// Ratios that have an aim, and those of them that reach it.
    pub aims: usize,
    pub reached: usize,
}

impl Report {
    /// The series of this name.
    pub fn series(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }

    /// Counts what the report holds.
    pub fn summary(&self) -> Summary {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let ended = |outcome| points().filter(|point| point.outcome == outcome).count();
        let aims: Vec<bool> = self.ratios.iter().filter_map(Ratio::reached).collect();
        Summary {
            series: self.series.len(),
            points: points().count(),
            cut: ended(Outcome::Cut),
            refused: ended(Outcome::Refused),
            failed: ended(Outcome::Failed),
            aims: aims.len(),
            reached: aims.into_iter().filter(|reached| *reached).count(),
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
            aims,
            reached,
        } = self;
        write!(f, "SCALE series {series}, points {points}, cut {cut}, refused {refused}, failed {failed}, ")?;
        write!(f, "aims {reached} of {aims} reached")
    }
}
