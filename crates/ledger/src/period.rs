//! Billing periods: half-open spans of UTC, whatever calendar they follow. No clock is read here.

use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan, Unit, ZonedRound};

/// One period, in Unix milliseconds: from `start`, up to and without `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period {
    pub start: i64,
    pub end: i64,
}

impl Period {
    pub fn holds(&self, at: i64) -> bool {
        (self.start..self.end).contains(&at)
    }

    /// Its name: the UTC time of its start, which no other period has.
    pub fn name(&self) -> String {
        stamp(self.start)
    }
}

/// A time in Unix milliseconds as UTC text that sorts as the time does.
pub fn stamp(ms: i64) -> String {
    Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| format!("{at:.3}"))
}

#[derive(Clone, Debug)]
pub enum Every {
    /// As many milliseconds, counted from the start of 1970.
    Ms(i64),
    /// A civil day or month: 23 or 25 hours long where the clocks change.
    Day(TimeZone),
    Month(TimeZone),
}

/// Cuts time into periods without gap or overlap.
#[derive(Clone, Debug)]
pub struct Calendar(pub Every);

impl Calendar {
    /// The period that holds a time in Unix milliseconds.
    pub fn at(&self, ms: i64) -> Period {
        match &self.0 {
            Every::Ms(length) => {
                let start = ms.div_euclid(*length) * length;
                Period {
                    start,
                    end: start + length,
                }
            }
            Every::Day(zone) => self.civil(ms, zone, false).unwrap_or(FOREVER),
            Every::Month(zone) => self.civil(ms, zone, true).unwrap_or(FOREVER),
        }
    }

    /// The period that follows.
    pub fn after(&self, period: Period) -> Period {
        self.at(period.end)
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
        // Rounding takes the day's own first instant, also where midnight does not exist.
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

/// Where time is past what a calendar knows.
const FOREVER: Period = Period {
    start: i64::MIN,
    end: i64::MAX,
};
