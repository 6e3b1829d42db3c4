//! Figures for people to read.

use crate::report::Measure;

/// What a measure counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Nanoseconds,
    Bytes,
    Count,
}

impl Measure {
    /// What it counts.
    pub fn unit(self) -> Unit {
        use Measure::*;
        match self {
            QueryProcessorNs
            | PartProcessorNs
            | ParseProcessorNs
            | TakeProcessorNs
            | RetakeProcessorNs
            | ChangeProcessorNs
            | ChangedEntryProcessorNs => Unit::Nanoseconds,
            ListBytes
            | ChangeBytes
            | ResidentBytes
            | FirstPeakResidentBytes
            | PeakResidentBytes => Unit::Bytes,
            QueriesMeasured | QueriesAsked | QueriesAnswered | QueriesRefused
            | QueriesUnanswered | RepliesTwice | Attempts | Calls | Connections | Turns
            | ChangeMessages => Unit::Count,
        }
    }

    /// Whether it is processor time or memory; the rest is counted.
    pub fn is_cost(self) -> bool {
        use Measure::*;
        let memory = matches!(
            self,
            ResidentBytes | FirstPeakResidentBytes | PeakResidentBytes
        );
        memory || self.unit() == Unit::Nanoseconds
    }

    /// The head of its column.
    pub fn label(self) -> &'static str {
        use Measure::*;
        match self {
            QueryProcessorNs => "processor, a query",
            PartProcessorNs => "processor, a part",
            QueriesMeasured => "measured",
            QueriesAsked => "asked",
            QueriesAnswered => "answered",
            QueriesRefused => "refused",
            QueriesUnanswered => "unanswered",
            RepliesTwice => "replied twice",
            Attempts => "attempts",
            Calls => "calls",
            Connections => "connections",
            Turns => "turns",
            ListBytes => "list",
            ParseProcessorNs => "processor, parse",
            TakeProcessorNs => "processor, take",
            RetakeProcessorNs => "processor, take again",
            ChangeMessages => "messages",
            ChangeBytes => "a message",
            ChangeProcessorNs => "processor, a message",
            ChangedEntryProcessorNs => "processor, an entry",
            ResidentBytes => "resident, added",
            FirstPeakResidentBytes => "resident, first peak",
            PeakResidentBytes => "resident, peak",
        }
    }
}

/// A figure with its unit, to three digits: `88.2 us`, `14.6 MB`; counts whole, as `110,000`.
pub fn shown(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Nanoseconds => scaled(value, &[("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9)]),
        Unit::Bytes => scaled(value, &[("B", 1.0), ("kB", 1e3), ("MB", 1e6), ("GB", 1e9)]),
        Unit::Count => grouped(value),
    }
}

fn scaled(value: f64, units: &[(&str, f64)]) -> String {
    let fitting = units
        .iter()
        .rev()
        .find(|(_, factor)| value.abs() >= *factor)
        .or(units.first());
    let (name, factor) = fitting.copied().unwrap_or(("", 1.0));
    format!("{} {name}", digits(value / factor))
}

/// Three digits, and whole from 100 on.
pub fn digits(value: f64) -> String {
    let places = match value.abs() {
        size if size >= 99.95 || size == 0.0 => return grouped(value),
        size if size >= 9.995 => 1,
        size if size >= 0.9995 => 2,
        _ => 3,
    };
    format!("{value:.places$}")
}

/// A whole number with a comma at each thousand.
pub fn grouped(value: f64) -> String {
    let plain = format!("{:.0}", value.abs());
    let mut out = String::new();
    for (at, digit) in plain.chars().enumerate() {
        if at > 0 && (plain.len() - at) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0.0 && plain != "0" {
        format!("-{out}")
    } else {
        out
    }
}
