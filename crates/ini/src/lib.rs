//! Settings from INI files that are validated against a schema.
//!
//! A program declares its sections and keys as a [`Schema`]: the kind, unit and default of each value, and whether a
//! running program applies a change of it. [`Settings::parse`] validates a file against the schema and reports all
//! violations at once, each with file, line, key and the most similar valid name; a syntax error is reported alone. The
//! parsed settings keep the origin of
//! each value, so that a program can print it.

mod value;

pub use value::{parse_bytes, parse_duration, Kind};

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The key as it is written in the file.
    pub name: &'static str,
    pub kind: Kind,
    /// The value of a key that the file does not set; `None` if the key then has no value.
    pub default: Option<&'static str>,
    /// Whether a running program applies a change on SIGHUP; otherwise a change needs a restart.
    pub reloadable: bool,
    /// A sentence for the documentation of the key.
    pub doc: &'static str,
}

/// One section. A named section may occur several times, as `[section NAME]`.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// The first word of the section's header.
    pub name: &'static str,
    /// Whether the header has the form `[section NAME]` instead of `[section]`.
    pub named: bool,
    pub keys: &'static [Key],
}

/// All sections that a file may contain.
#[derive(Clone, Copy, Debug)]
pub struct Schema(pub &'static [Section]);

impl Schema {
    fn section(&self, name: &str) -> Option<&'static Section> {
        self.0.iter().find(|section| section.name == name)
    }
}

/// The origin of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A line of the file; the first is 1.
    Line(usize),
    Default,
}

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {message}", .line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct SettingsError {
    pub file: String,
    pub line: Option<usize>,
    pub message: String,
}

/// All errors in a settings file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<String> = self.0.iter().map(SettingsError::to_string).collect();
        f.write_str(&all.join("; "))
    }
}

#[derive(Clone, Debug, PartialEq)]
struct ConfiguredValue {
    text: String,
    line: usize,
}

/// The effective values: those that the file sets, and the schema's defaults for all other keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    file: String,
    /// The values of the file by section, section name (empty for a section without one) and key.
    configured: BTreeMap<(&'static str, String, &'static str), ConfiguredValue>,
    /// By named section: the names in the file, with the lines of their headers.
    section_names: BTreeMap<&'static str, BTreeMap<String, usize>>,
}

/// One effective value, as text for display.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The section's header without brackets.
    pub section: String,
    /// The key.
    pub key: &'static str,
    /// The text of the value; `(not set)` if there is none.
    pub value: String,
    /// Where the value comes from.
    pub origin: Origin,
    /// Whether a running program applies a change on SIGHUP; otherwise a change needs a restart.
    pub reloadable: bool,
}

/// The line numbers of the sections and keys of a text, which the INI parser does not report.
struct LineIndex {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

impl LineIndex {
    fn build(text: &str) -> LineIndex {
        let (mut sections, mut keys) = (BTreeMap::new(), BTreeMap::new());
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                section = name.trim().to_string();
                sections
                    .entry(section.clone())
                    .or_insert_with(Vec::new)
                    .push(number + 1);
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                if !line.starts_with([';', '#']) {
                    let key = (section.clone(), key.trim().to_string());
                    keys.entry(key).or_insert_with(Vec::new).push(number + 1);
                }
            }
        }
        LineIndex { sections, keys }
    }

    /// The first line with the header of this section.
    fn section_line(&self, name: &str) -> Option<usize> {
        self.sections
            .get(name)
            .and_then(|lines| lines.first())
            .copied()
    }

    /// All lines that set this key of this section.
    fn key_lines(&self, section: &str, key: &str) -> &[usize] {
        self.keys
            .get(&(section.to_string(), key.to_string()))
            .map_or(&[], Vec::as_slice)
    }
}

/// The valid name that is most similar to `name`; `None` if none is similar.
fn nearest<'a>(name: &str, valid: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let similarities = valid.map(|valid| (strsim::jaro_winkler(name, valid), valid));
    similarities
        .filter(|(similarity, _)| *similarity > 0.7)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, valid)| valid)
}

/// The part of an error message that suggests valid names instead of `name`.
fn suggestion<'a>(name: &str, valid: impl Iterator<Item = &'a str> + Clone) -> String {
    match nearest(name, valid.clone()) {
        Some(near) => format!("; the nearest is '{near}'"),
        None => format!("; expected one of {}", valid.collect::<Vec<_>>().join(", ")),
    }
}

impl Settings {
    /// The default settings, without a file. Errors in them name `no file` as the file.
    pub fn defaults() -> Settings {
        Settings {
            file: "no file".into(),
            configured: BTreeMap::new(),
            section_names: BTreeMap::new(),
        }
    }

    /// Parses `text`, the contents of `file`, and validates it against `schema`.
    ///
    /// # Errors
    /// A syntax error, or all violations of the schema.
    pub fn parse(schema: &Schema, file: &str, text: &str) -> Result<Settings, SettingsErrors> {
        let error = |line: Option<usize>, message: String| SettingsError {
            file: file.into(),
            line,
            message,
        };
        let ini = ini::Ini::load_from_str(text).map_err(|e| {
            SettingsErrors(vec![error(
                Some(e.line),
                format!("cannot be parsed: {}", e.msg),
            )])
        })?;
        let lines = LineIndex::build(text);
        let mut errors = Vec::new();
        let mut settings = Settings {
            file: file.into(),
            ..Settings::defaults()
        };
        let mut seen = BTreeSet::new();
        for (header, properties) in ini.iter() {
            let header = header.unwrap_or_default().trim();
            if header.is_empty() {
                for (key, _) in properties.iter() {
                    let line = lines.key_lines("", key).first().copied();
                    errors.push(error(line, format!("'{key}' is not in any section")));
                }
                continue;
            }
            if !seen.insert(header.to_string()) {
                let line = lines
                    .sections
                    .get(header)
                    .and_then(|lines| lines.get(1))
                    .copied();
                errors.push(error(line, format!("[{header}] occurs twice")));
                continue;
            }
            let line = lines.section_line(header);
            let (kind, name) = header
                .split_once(char::is_whitespace)
                .unwrap_or((header, ""));
            let name = name.trim().trim_matches('"');
            let Some(section) = schema.section(kind) else {
                let suggestion = suggestion(kind, schema.0.iter().map(|section| section.name));
                errors.push(error(
                    line,
                    format!("there is no section [{kind}]{suggestion}"),
                ));
                continue;
            };
            if section.named == name.is_empty() {
                let expected = if section.named {
                    format!("[{kind} NAME]")
                } else {
                    format!("[{kind}]")
                };
                errors.push(error(
                    line,
                    format!("[{header}] has to be of the form {expected}"),
                ));
                continue;
            }
            if section.named {
                let names = settings.section_names.entry(section.name).or_default();
                names.insert(name.to_string(), line.unwrap_or_default());
            }
            let mut occurrences: BTreeMap<&str, usize> = BTreeMap::new();
            for (key_name, text) in properties.iter() {
                let nth = occurrences.entry(key_name).or_default();
                let line = lines.key_lines(header, key_name).get(*nth).copied();
                *nth += 1;
                if *nth > 1 {
                    errors.push(error(line, format!("[{header}] {key_name} is set twice")));
                    continue;
                }
                let Some(key) = section.keys.iter().find(|key| key.name == key_name) else {
                    let suggestion = suggestion(key_name, section.keys.iter().map(|key| key.name));
                    errors.push(error(
                        line,
                        format!("[{header}] has no key '{key_name}'{suggestion}"),
                    ));
                    continue;
                };
                if let Err(reason) = key.kind.check(text) {
                    errors.push(error(
                        line,
                        format!("[{header}] {key_name} = {text}: {reason}"),
                    ));
                    continue;
                }
                let value = ConfiguredValue {
                    text: text.trim().to_string(),
                    line: line.unwrap_or_default(),
                };
                settings
                    .configured
                    .insert((section.name, name.to_string(), key.name), value);
            }
        }
        if errors.is_empty() {
            return Ok(settings);
        }
        errors.sort_by_key(|error| error.line);
        Err(SettingsErrors(errors))
    }

    /// Creates an error in one value that only the code that uses the value can find, not the schema. Its line is that
    /// of the value, or that of the section's header if the file does not set the value.
    pub fn value_error(
        &self,
        section: &str,
        name: &str,
        key: &str,
        reason: &str,
    ) -> SettingsErrors {
        let configured = self
            .configured
            .iter()
            .find(|((s, n, k), _)| *s == section && n == name && *k == key);
        let line = configured.map(|(_, configured)| configured.line);
        let line = line.or_else(|| {
            self.section_names
                .get(section)
                .and_then(|names| names.get(name).copied())
        });
        let header = if name.is_empty() {
            section.to_string()
        } else {
            format!("{section} {name}")
        };
        SettingsErrors(vec![SettingsError {
            file: self.file.clone(),
            line,
            message: format!("[{header}] {key}: {reason}"),
        }])
    }

    /// All names with which the named section occurs, as in `[section NAME]`.
    pub fn section_names(&self, section: &str) -> Vec<&str> {
        let names = self
            .section_names
            .get(section)
            .into_iter()
            .flat_map(|names| names.keys());
        names.map(String::as_str).collect()
    }

    /// All effective values with their origins.
    pub fn effective_values(&self, schema: &Schema) -> Vec<EffectiveValue> {
        let mut effective = Vec::new();
        for section in schema.0 {
            let names = if section.named {
                self.section_names(section.name)
            } else {
                vec![""]
            };
            for name in names {
                for key in section.keys {
                    let configured =
                        self.configured
                            .get(&(section.name, name.to_string(), key.name));
                    let value = configured
                        .map(|configured| configured.text.as_str())
                        .or(key.default);
                    let origin = configured
                        .map_or(Origin::Default, |configured| Origin::Line(configured.line));
                    let header = if name.is_empty() {
                        section.name.into()
                    } else {
                        format!("{} {name}", section.name)
                    };
                    let value = value.unwrap_or("(not set)").to_string();
                    effective.push(EffectiveValue {
                        section: header,
                        key: key.name,
                        value,
                        origin,
                        reloadable: key.reloadable,
                    });
                }
            }
        }
        effective
    }

    /// The settings whose values differ in `next` and that take effect only after a restart, as `[section] key`.
    pub fn changes_requiring_restart(&self, next: &Settings, schema: &Schema) -> Vec<String> {
        let entry =
            |value: EffectiveValue| ((value.section, value.key, value.reloadable), value.value);
        let before: BTreeMap<_, _> = self
            .effective_values(schema)
            .into_iter()
            .map(entry)
            .collect();
        let after: BTreeMap<_, _> = next
            .effective_values(schema)
            .into_iter()
            .map(entry)
            .collect();
        let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let changed = keys
            .into_iter()
            .filter(|key| !key.2 && before.get(*key) != after.get(*key));
        changed
            .map(|(section, key, _)| format!("[{section}] {key}"))
            .collect()
    }

    /// The values of one section, with the defaults of `schema`; `name` is empty for a section without one.
    pub fn section<'a>(
        &'a self,
        schema: &Schema,
        section: &'static str,
        name: &'a str,
    ) -> Values<'a> {
        Values {
            settings: self,
            section: schema.section(section),
            name,
        }
    }
}

/// The values of one section. [`Settings::parse`] has validated them, so a getter returns `None` only if the key has no
/// value, or a value of another kind.
#[derive(Clone, Copy)]
pub struct Values<'a> {
    settings: &'a Settings,
    section: Option<&'static Section>,
    name: &'a str,
}

impl<'a> Values<'a> {
    pub fn text(&self, key: &str) -> Option<&'a str> {
        let section = self.section?;
        let key = section.keys.iter().find(|k| k.name == key)?;
        let configured =
            self.settings
                .configured
                .get(&(section.name, self.name.to_string(), key.name));
        configured
            .map(|configured| configured.text.as_str())
            .or(key.default)
            .filter(|text| !text.is_empty())
    }

    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("yes")
    }

    pub fn integer(&self, key: &str) -> Option<u64> {
        self.text(key).and_then(|text| text.parse().ok())
    }

    pub fn duration(&self, key: &str) -> Option<Duration> {
        self.text(key).and_then(|text| parse_duration(text).ok())
    }

    pub fn bytes(&self, key: &str) -> Option<u64> {
        self.text(key).and_then(|text| parse_bytes(text).ok())
    }

    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key).and_then(|text| text.parse().ok())
    }
}
