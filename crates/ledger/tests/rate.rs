//! What a line of a statement costs, and the use over an allowance.

use cottonhill_ledger::rate::{amount, over, Counts};
use cottonhill_ledger::settings::Price;

#[test]
fn a_line_is_rounded_once_half_up_and_differences_add_up() {
    let price = Price {
        whole: 3,
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
    for ((whole, share), due) in cases {
        assert_eq!(amount(&line(whole, share), price), due, "{whole} {share}");
    }
    let (before, after) = (line(1, 400_000), line(2, 900_000));
    assert_eq!((after - before).share, 500_000);
    let mut sum = before;
    sum += after - before;
    assert_eq!(sum, after);
    let most = Price {
        whole: u64::MAX,
        partial: u64::MAX,
    };
    assert_eq!(amount(&line(i64::MAX, i64::MAX), most), i64::MAX);
}

#[test]
fn use_over_the_allowance_stands_apart() {
    assert_eq!(
        (
            over(5, None),
            over(5, Some(3)),
            over(3, Some(3)),
            over(0, Some(0))
        ),
        (0, 2, 0, 0)
    );
}
