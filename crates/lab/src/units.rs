//! Units of measures, and number formats for tables and plots.

use crate::report::Measure;

/// The unit of a measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Nanoseconds,
    Bytes,
    Count,
}

impl Measure {
    pub fn unit(self) -> Unit {
        use Measure::*;
        match self {
            QueryProcessorNs
            | PartProcessorNs
            | ParseProcessorNs
            | ApplyProcessorNs
            | ReapplyProcessorNs
            | ChangeProcessorNs
            | ChangedEntryProcessorNs => Unit::Nanoseconds,
            ListBytes
            | ChangeBytes
            | ResidentBytes
            | FirstPeakResidentBytes
            | PeakResidentBytes => Unit::Bytes,
            QueriesMeasured | QueriesSent | QueriesAnswered | QueriesRefused
            | QueriesUnanswered | DuplicateReplies | Attempts | Calls | Connections | Batches
            | ChangeMessages => Unit::Count,
        }
    }

    /// Whether the measure is processor time or resident memory, as opposed to a count or a message size.
    pub fn is_cost(self) -> bool {
        use Measure::*;
        let memory = matches!(
            self,
            ResidentBytes | FirstPeakResidentBytes | PeakResidentBytes
        );
        memory || self.unit() == Unit::Nanoseconds
    }

    /// Title of the measure's table column.
    pub fn label(self) -> &'static str {
        use Measure::*;
        match self {
            QueryProcessorNs => "processor, a query",
            PartProcessorNs => "processor, a part",
            QueriesMeasured => "measured",
            QueriesSent => "asked",
            QueriesAnswered => "answered",
            QueriesRefused => "refused",
            QueriesUnanswered => "unanswered",
            DuplicateReplies => "replied twice",
            Attempts => "attempts",
            Calls => "calls",
            Connections => "connections",
            Batches => "turns",
            ListBytes => "list",
            ParseProcessorNs => "processor, parse",
            ApplyProcessorNs => "processor, take",
            ReapplyProcessorNs => "processor, take again",
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

/// Formats a value with its unit and three digits, as in `88.2 us` and `14.6 MB`; counts without a fraction, as in
/// `110,000`.
pub fn format_value(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Nanoseconds => scaled(value, &[("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9)]),
        Unit::Bytes => scaled(value, &[("B", 1.0), ("kB", 1e3), ("MB", 1e6), ("GB", 1e9)]),
        Unit::Count => format_grouped(value),
    }
}

fn scaled(value: f64, units: &[(&str, f64)]) -> String {
    let largest_fitting = units
        .iter()
        .rev()
        .find(|(_, factor)| value.abs() >= *factor)
        .or(units.first());
    let (name, factor) = largest_fitting.copied().unwrap_or(("", 1.0));
    format!("{} {name}", format_digits(value / factor))
}

/// Three significant digits, or three decimal places below 1; no fraction from 100 on.
pub fn format_digits(value: f64) -> String {
    let places = match value.abs() {
        magnitude if magnitude >= 99.95 || magnitude == 0.0 => return format_grouped(value),
        magnitude if magnitude >= 9.995 => 1,
        magnitude if magnitude >= 0.9995 => 2,
        _ => 3,
    };
    format!("{value:.places$}")
}

/// Rounds to an integer with commas between groups of three digits.
pub fn format_grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut out = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0.0 && digits != "0" {
        format!("-{out}")
    } else {
        out
    }
}
