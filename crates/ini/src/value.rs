//! Kinds of setting values and their units.

use std::net::SocketAddr;
use std::time::Duration;

/// The kind of a value, which determines the valid texts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Text,
    /// `yes` or `no`.
    Flag,
    /// A whole number from the first bound to the second, both included.
    Integer(u64, u64),
    /// A duration with its unit: `us`, `ms`, `s`, `m`, `h` or `d`.
    Duration,
    /// An amount of memory or disk with its unit: `B`, `KiB`, `MiB` or `GiB`.
    Bytes,
    /// `ADDRESS:PORT` with a numeric IP address.
    Address,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// A duration, or one of these words.
    DurationOr(&'static [&'static str]),
}

impl Kind {
    /// Checks that `text` is a valid value of this kind.
    ///
    /// # Errors
    /// The reason why it is not valid, as the predicate of a message that starts with the key.
    pub fn check(&self, text: &str) -> Result<(), String> {
        let text = text.trim();
        match self {
            Kind::Text => Ok(()),
            Kind::Flag => match text {
                "yes" | "no" => Ok(()),
                _ => Err("has to be 'yes' or 'no'".into()),
            },
            Kind::Integer(min, max) => match text.parse::<u64>() {
                Ok(number) if (*min..=*max).contains(&number) => Ok(()),
                _ => Err(format!("has to be a whole number from {min} to {max}")),
            },
            Kind::Duration => parse_duration(text).map(drop),
            Kind::Bytes => parse_bytes(text).map(drop),
            Kind::Address => match text.parse::<SocketAddr>() {
                Ok(_) => Ok(()),
                Err(_) => Err("has to be ADDRESS:PORT with a numeric IP address".into()),
            },
            Kind::Choice(words) if words.contains(&text) => Ok(()),
            Kind::Choice(words) => Err(format!(
                "is not a valid value{}",
                crate::suggestion(text, words.iter().copied())
            )),
            Kind::DurationOr(words) if words.contains(&text) => Ok(()),
            Kind::DurationOr(words) => parse_duration(text)
                .map(drop)
                .map_err(|reason| format!("{reason}, or {}", words.join(", "))),
        }
    }
}

/// Parses a whole number that is followed by one of `units`, and multiplies it by the factor of that unit.
fn parse_quantity(text: &str, units: &[(&str, u64)], example: &str) -> Result<u64, String> {
    let text = text.trim();
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let unit_names: Vec<&str> = units.iter().map(|(unit, _)| *unit).collect();
    let invalid = || {
        format!(
            "has to be a whole number and a unit ({}), as in {example}",
            unit_names.join(", ")
        )
    };
    let factor = units
        .iter()
        .find(|(name, _)| *name == unit.trim())
        .map(|(_, factor)| *factor);
    let number: u64 = number.parse().map_err(|_| invalid())?;
    number
        .checked_mul(factor.ok_or_else(invalid)?)
        .ok_or_else(|| "is too large".to_string())
}

/// Parses a duration with its unit, as in `250ms`.
///
/// # Errors
/// The reason for which it is not valid.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let units = [
        ("us", 1),
        ("ms", 1_000),
        ("s", 1_000_000),
        ("m", 60_000_000),
        ("h", 3_600_000_000),
        ("d", 86_400_000_000),
    ];
    parse_quantity(text, &units, "250ms").map(Duration::from_micros)
}

/// Parses an amount of memory or disk with its unit, as in `8MiB`, into bytes.
///
/// # Errors
/// The reason for which it is not valid.
pub fn parse_bytes(text: &str) -> Result<u64, String> {
    parse_quantity(
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
