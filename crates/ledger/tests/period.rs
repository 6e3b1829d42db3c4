//! Billing periods: days and months in a time zone, and periods of a fixed length.

use cottonhill_ledger::period::{Calendar, Period, PeriodLength};
use jiff::tz::TimeZone;
use jiff::Timestamp;

fn ms(text: &str) -> i64 {
    text.parse::<Timestamp>().unwrap().as_millisecond()
}

#[test]
fn periods_have_no_gaps_where_daylight_saving_time_repeats_or_skips_an_hour() {
    let zone = |name| TimeZone::get(name).unwrap();
    let calendars = [
        (
            Calendar(PeriodLength::Day(zone("Europe/Berlin"))),
            "2026-10-20T12:00:00Z",
            25,
            23,
        ),
        (
            Calendar(PeriodLength::Day(zone("Asia/Colombo"))),
            "2026-10-20T12:00:00Z",
            24,
            24,
        ),
        (
            Calendar(PeriodLength::Month(zone("Europe/Berlin"))),
            "2026-01-10T12:00:00Z",
            31 * 24 + 1,
            28 * 24,
        ),
    ];
    for (calendar, from, longest, shortest) in calendars {
        let mut period = calendar.period_at(ms(from));
        let mut hours = Vec::new();
        for _ in 0..200 {
            assert_eq!(calendar.period_at(period.start), period);
            assert_eq!(calendar.period_at(period.end - 1), period);
            hours.push((period.end - period.start) / 3_600_000);
            let next = calendar.next_period(period);
            assert_eq!(next.start, period.end);
            period = next;
        }
        assert_eq!(
            (hours.iter().max(), hours.iter().min()),
            (Some(&longest), Some(&shortest))
        );
    }
    // The repeated hour between two and three belongs to one day.
    let berlin = Calendar(PeriodLength::Day(zone("Europe/Berlin")));
    assert_eq!(
        berlin.period_at(ms("2026-10-25T00:30:00Z")),
        berlin.period_at(ms("2026-10-25T01:30:00Z"))
    );
    assert_eq!(
        Calendar(PeriodLength::FixedMs(5000)).period_at(12_345),
        Period {
            start: 10_000,
            end: 15_000
        }
    );
}
