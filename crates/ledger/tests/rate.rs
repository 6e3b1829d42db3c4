//! The amount of a statement line, and uses above an allowance.

use cottonhill_ledger::rate::{amount, uses_above_allowance, Counts};
use cottonhill_ledger::settings::ClassPrice;

#[test]
fn a_line_is_rounded_once_half_up_and_differences_add_up() {
    let price = ClassPrice {
        complete: 3,
        partial: 1,
    };
    let line = |whole, share| Counts {
        whole,
        share,
        partial: i64::from(share > 0),
        ..Counts::default()
    };
    let cases = [
        ((2, 0), 6),
        ((0, 499_999), 0),
        ((0, 500_000), 1),
        ((1, 1_499_999), 4),
        ((1, 1_500_000), 5),
    ];
    for ((whole, share), expected) in cases {
        assert_eq!(
            amount(&line(whole, share), price),
            expected,
            "{whole} {share}"
        );
    }
    let (before, after) = (line(1, 400_000), line(2, 900_000));
    assert_eq!((after - before).share, 500_000);
    let mut sum = before;
    sum += after - before;
    assert_eq!(sum, after);
    let max_price = ClassPrice {
        complete: u64::MAX,
        partial: u64::MAX,
    };
    assert_eq!(amount(&line(i64::MAX, i64::MAX), max_price), i64::MAX);
}

#[test]
fn uses_above_the_allowance_are_counted_separately() {
    assert_eq!(
        (
            uses_above_allowance(5, None),
            uses_above_allowance(5, Some(3)),
            uses_above_allowance(3, Some(3)),
            uses_above_allowance(0, Some(0))
        ),
        (0, 2, 0, 0)
    );
}
