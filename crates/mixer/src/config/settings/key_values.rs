//! Typed access to settings in the form of `key=value` lines.

use super::super::SettingsError;
use super::wire_names::{self, NAME};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A type of setting values.
pub trait SettingValue: FromStr {
    /// Description of the allowed values for error messages.
    const EXPECTED: &'static str;
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";
}

impl SettingValue for u16 {
    const EXPECTED: &'static str = "an integer of up to 16 bits";
}

impl SettingValue for u32 {
    const EXPECTED: &'static str = "an integer of up to 32 bits";
}

impl SettingValue for u64 {
    const EXPECTED: &'static str = "an integer of up to 64 bits";
}

impl SettingValue for usize {
    const EXPECTED: &'static str = "an integer";
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number";
}

impl SettingValue for String {
    const EXPECTED: &'static str = "text";
}

/// Settings by wire name. If a key occurs more than once, the last value applies.
pub struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Parses `key=value` lines; blank lines are skipped.
    ///
    /// # Errors
    /// [`SettingsError::MalformedLine`] for a line without `=`.
    pub fn parse(text: &'a str) -> Result<Self, SettingsError> {
        let mut values = BTreeMap::new();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let (key, value) =
                line.split_once('=')
                    .ok_or_else(|| SettingsError::MalformedLine {
                        line: line.to_string(),
                    })?;
            values.insert(key, value);
        }
        Ok(KeyValues(values))
    }

    /// Returns the unparsed value.
    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    /// Parses a value; `None` if the setting is missing.
    ///
    /// # Errors
    /// [`SettingsError::InvalidValue`] if the value is not a `T`.
    pub fn optional<T: SettingValue>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        self.text(key)
            .map(|value| parse_value(key, value))
            .transpose()
    }

    /// Parses the value of a required setting.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] or [`SettingsError::InvalidValue`].
    pub fn required<T: SettingValue>(&self, key: &str) -> Result<T, SettingsError> {
        self.optional(key)?.ok_or_else(|| missing(key))
    }

    /// Parses a value; the default of its type (0, false) if the setting is missing.
    ///
    /// # Errors
    /// [`SettingsError::InvalidValue`].
    pub fn or_default<T: SettingValue + Default>(&self, key: &str) -> Result<T, SettingsError> {
        Ok(self.optional(key)?.unwrap_or_default())
    }

    /// Parses a finite number of at least 0; `None` if the setting is missing.
    ///
    /// # Errors
    /// [`SettingsError::InvalidValue`] or [`SettingsError::OutOfRange`].
    pub fn non_negative(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        match self.optional::<f64>(key)? {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(out_of_range(key, number, "a finite number of at least 0"))
            }
            number => Ok(number),
        }
    }

    /// Parses a required integer above 0.
    ///
    /// # Errors
    /// [`SettingsError::Missing`], [`SettingsError::InvalidValue`] or [`SettingsError::OutOfRange`].
    pub fn positive(&self, key: &str) -> Result<u64, SettingsError> {
        match self.required(key)? {
            0 => Err(out_of_range(key, 0, "an integer above 0")),
            number => Ok(number),
        }
    }

    /// Parses a required integer above 0 of up to 32 bits.
    ///
    /// # Errors
    /// The errors of [`KeyValues::positive`], and [`SettingsError::TooLarge`].
    pub fn positive_u32(&self, key: &str) -> Result<u32, SettingsError> {
        let value = self.positive(key)?;
        u32::try_from(value).map_err(|_| SettingsError::TooLarge {
            key: key.to_string(),
            value,
            max: u32::MAX,
        })
    }

    /// Parses item `index` of a list with one item per class.
    ///
    /// # Errors
    /// [`SettingsError::Missing`], [`SettingsError::MissingItem`] or [`SettingsError::InvalidValue`].
    pub fn item<T: SettingValue>(&self, key: &str, index: usize) -> Result<T, SettingsError> {
        let list = self.text(key).ok_or_else(|| missing(key))?;
        let item = list
            .split(',')
            .nth(index)
            .ok_or_else(|| SettingsError::MissingItem {
                key: key.to_string(),
                index,
            })?;
        parse_value(key, item)
    }

    /// Parses item `index`, a number from 0 to 1, of a list with one item per class.
    ///
    /// # Errors
    /// The errors of [`KeyValues::item`], and [`SettingsError::OutOfRange`].
    pub fn fraction_item(&self, key: &str, index: usize) -> Result<f64, SettingsError> {
        let number: f64 = self.item(key, index)?;
        if (0.0..=1.0).contains(&number) {
            Ok(number)
        } else {
            Err(out_of_range(key, number, "a number from 0 to 1"))
        }
    }

    /// Returns the items of a list of scalars without empty ones; an empty list if the setting is missing.
    pub fn list(&self, key: &str) -> Vec<String> {
        let items = self.text(key).unwrap_or_default().split(',');
        items
            .filter(|item| !item.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// Returns the number of items in a list of objects; 0 if the list is missing.
    ///
    /// # Errors
    /// [`SettingsError::InvalidValue`].
    pub fn count(&self, list: &str) -> Result<usize, SettingsError> {
        self.or_default(&wire_names::item_count(list))
    }

    /// Returns the names of the items in a list of objects.
    ///
    /// # Errors
    /// [`SettingsError::Missing`] or [`SettingsError::InvalidValue`].
    pub fn item_names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        (0..self.count(list)?)
            .map(|index| self.required(&wire_names::item_field(list, index, NAME)))
            .collect()
    }
}

fn parse_value<T: SettingValue>(key: &str, value: &str) -> Result<T, SettingsError> {
    value.parse().map_err(|_| SettingsError::InvalidValue {
        key: key.to_string(),
        value: value.to_string(),
        expected: T::EXPECTED,
    })
}

fn missing(key: &str) -> SettingsError {
    SettingsError::Missing {
        key: key.to_string(),
    }
}

fn out_of_range(key: &str, value: impl ToString, expected: &'static str) -> SettingsError {
    SettingsError::OutOfRange {
        key: key.to_string(),
        value: value.to_string(),
        expected,
    }
}
