//! Billing periods: days and months by the calendar of a time zone, and spans of a fixed length.

use cottonhill_ledger::period::{Calendar, Every, Period};
use jiff::tz::TimeZone;
use jiff::Timestamp;

fn ms(text: &str) -> i64 {
    text.parse::<Timestamp>().unwrap().as_millisecond()
}

#[test]
fn periods_follow_each_other_without_gap_also_where_an_hour_is_repeated_or_skipped() {
    let zone = |name| TimeZone::get(name).unwrap();
    let calendars = [
        (
            Calendar(Every::Day(zone("Europe/Berlin"))),
            "2026-10-20T12:00:00Z",
            25,
            23,
        ),
        (
            Calendar(Every::Day(zone("Asia/Colombo"))),
            "2026-10-20T12:00:00Z",
            24,
            24,
        ),
        (
            Calendar(Every::Month(zone("Europe/Berlin"))),
            "2026-01-10T12:00:00Z",
            31 * 24 + 1,
            28 * 24,
        ),
    ];
    for (calendar, from, longest, shortest) in calendars {
        let mut period = calendar.at(ms(from));
        let mut hours = Vec::new();
        for _ in 0..200 {
            assert_eq!(calendar.at(period.start), period);
            assert_eq!(calendar.at(period.end - 1), period);
            hours.push((period.end - period.start) / 3_600_000);
            let next = calendar.after(period);
            assert_eq!(next.start, period.end);
            period = next;
        }
        assert_eq!(
            (hours.iter().max(), hours.iter().min()),
            (Some(&longest), Some(&shortest))
        );
    }
    // Both hours between two and three belong to the one day.
    let berlin = Calendar(Every::Day(zone("Europe/Berlin")));
    assert_eq!(
        berlin.at(ms("2026-10-25T00:30:00Z")),
        berlin.at(ms("2026-10-25T01:30:00Z"))
    );
    assert_eq!(
        Calendar(Every::Ms(5000)).at(12_345),
        Period {
            start: 10_000,
            end: 15_000
        }
    );
}
