//! Kinds of values, with their units.

use std::net::SocketAddr;
use std::time::Duration;

/// What a value has to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Text,
    /// `yes` or `no`.
    Flag,
    /// A whole number within these bounds, both included.
    Count(u64, u64),
    /// A length of time with its unit: `us`, `ms`, `s`, `m`, `h` or `d`.
    Time,
    /// An amount of memory or disk with its unit: `B`, `KiB`, `MiB` or `GiB`.
    Bytes,
    /// `ADDRESS:PORT`, numeric.
    Address,
    Choice(&'static [&'static str]),
    /// A length of time, or one of these words.
    TimeOr(&'static [&'static str]),
}

impl Kind {
    /// # Errors
    /// Why `text` is no such value.
    pub fn check(&self, text: &str) -> Result<(), String> {
        let text = text.trim();
        match self {
            Kind::Text => Ok(()),
            Kind::Flag => match text {
                "yes" | "no" => Ok(()),
                _ => Err("has to be 'yes' or 'no'".into()),
            },
            Kind::Count(least, most) => match text.parse::<u64>() {
                Ok(number) if (*least..=*most).contains(&number) => Ok(()),
                _ => Err(format!("has to be a whole number from {least} to {most}")),
            },
            Kind::Time => time(text).map(drop),
            Kind::Bytes => bytes(text).map(drop),
            Kind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(()),
                Err(_) => Err("has to be ADDRESS:PORT, in numbers".into()),
            },
            Kind::Choice(words) if words.contains(&text) => Ok(()),
            Kind::Choice(words) => {
                Err(crate::suggestion(text, words.iter().copied())[2..].to_string())
            }
            Kind::TimeOr(words) if words.contains(&text) => Ok(()),
            Kind::TimeOr(words) => time(text)
                .map(drop)
                .map_err(|why| format!("{why}, or {}", words.join(", "))),
        }
    }
}

fn measure(text: &str, units: &[(&str, u64)], example: &str) -> Result<u64, String> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let words: Vec<&str> = units.iter().map(|(unit, _)| *unit).collect();
    let wrong = || {
        format!(
            "has to be a whole number and a unit ({}), as in {example}",
            words.join(", ")
        )
    };
    let factor = units
        .iter()
        .find(|(word, _)| *word == unit.trim())
        .map(|(_, factor)| *factor);
    let number: u64 = number.parse().map_err(|_| wrong())?;
    number
        .checked_mul(factor.ok_or_else(wrong)?)
        .ok_or_else(|| "is too large".to_string())
}

/// A length of time with its unit.
///
/// # Errors
/// Why it is none.
pub fn time(text: &str) -> Result<Duration, String> {
    let units = [
        ("us", 1),
        ("ms", 1_000),
        ("s", 1_000_000),
        ("m", 60_000_000),
        ("h", 3_600_000_000),
        ("d", 86_400_000_000),
    ];
    measure(text, &units, "250ms").map(Duration::from_micros)
}

/// An amount of memory or disk with its unit, in bytes.
///
/// # Errors
/// Why it is none.
pub fn bytes(text: &str) -> Result<u64, String> {
    measure(
        text,
        &[
            ("B", 1),
            ("KiB", 1 << 10),
            ("MiB", 1 << 20),
            ("GiB", 1 << 30),
        ],
        "8MiB",
    )
}
