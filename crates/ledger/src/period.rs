//! Billing periods: half-open ranges of UTC time, of a fixed length or by the calendar of a time zone. Reads no clock.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, Unit, ZonedRound};

/// One period, in Unix milliseconds: `start` inclusive, `end` exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period {
    pub start: i64,
    pub end: i64,
}

impl Period {
    pub fn contains(&self, at: i64) -> bool {
        (self.start..self.end).contains(&at)
    }

    /// The unique name: the UTC timestamp of the start.
    pub fn name(&self) -> String {
        format_timestamp(self.start)
    }
}

/// Formats Unix milliseconds as a UTC timestamp; the texts sort by time.
pub fn format_timestamp(ms: i64) -> String {
    Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| format!("{at:.3}"))
}

#[derive(Clone, Debug)]
pub enum PeriodLength {
    /// Milliseconds; periods are counted from the Unix epoch.
    FixedMs(i64),
    /// A civil day of the time zone; 23 or 25 hours where daylight saving time changes.
    Day(TimeZone),
    /// A civil month of the time zone.
    Month(TimeZone),
}

/// Divides time into periods without gaps or overlaps.
#[derive(Clone, Debug)]
pub struct Calendar(pub PeriodLength);

impl Calendar {
    /// The period that contains a time in Unix milliseconds.
    pub fn period_at(&self, ms: i64) -> Period {
        match &self.0 {
            PeriodLength::FixedMs(length) => {
                let start = ms.div_euclid(*length) * length;
                Period {
                    start,
                    end: start + length,
                }
            }
            PeriodLength::Day(zone) => self.civil(ms, zone, false).unwrap_or(UNBOUNDED),
            PeriodLength::Month(zone) => self.civil(ms, zone, true).unwrap_or(UNBOUNDED),
        }
    }

    /// The period after `period`.
    pub fn next_period(&self, period: Period) -> Period {
        self.period_at(period.end)
    }

    fn civil(&self, ms: i64, zone: &TimeZone, month: bool) -> Option<Period> {
        let at = Timestamp::from_millisecond(ms).ok()?.to_zoned(zone.clone());
        let day = at
            .round(
                ZonedRound::new()
                    .smallest(Unit::Day)
                    .mode(jiff::RoundMode::Floor),
            )
            .ok()?;
        // Rounding gives the first instant of the day, also on days without a midnight.
        let (start, end) = if month {
            let first = at.first_of_month().ok()?;
            let first = first.start_of_day().ok()?;
            (
                first.clone(),
                first.checked_add(1.month()).ok()?.start_of_day().ok()?,
            )
        } else {
            (
                day.clone(),
                day.checked_add(1.day()).ok()?.start_of_day().ok()?,
            )
        };
        Some(Period {
            start: start.timestamp().as_millisecond(),
            end: end.timestamp().as_millisecond(),
        })
    }
}

/// The period returned for times outside the range of the calendar.
const UNBOUNDED: Period = Period {
    start: i64::MIN,
    end: i64::MAX,
};
