//! Our own settings: INI files read against a schema.
//!
//! A program states its sections and keys as a [`Schema`]: the kind of each value, its unit, default and whether a
//! running program takes up a change. [`Settings::read`] checks a whole file against it and reports everything that
//! is wrong at once, each with file, line, key and the nearest valid name. What is read knows where each value came
//! from, so that it can be shown.

mod value;

pub use value::{bytes, time, Kind};

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    pub name: &'static str,
    pub kind: Kind,
    /// What holds where the file is silent; none where nothing does.
    pub default: Option<&'static str>,
    /// A running program takes up a change on SIGHUP.
    pub live: bool,
    pub doc: &'static str,
}

/// One section; a named one may stand several times, as `[kind NAME]`.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    pub name: &'static str,
    pub named: bool,
    pub keys: &'static [Key],
}

/// All that a file may hold.
#[derive(Clone, Copy, Debug)]
pub struct Schema(pub &'static [Section]);

impl Schema {
    fn section(&self, name: &str) -> Option<&'static Section> {
        self.0.iter().find(|section| section.name == name)
    }
}

/// Where a value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A line of the file, counted from 1.
    Line(usize),
    Default,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {what}", .line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct Problem {
    pub file: String,
    pub line: Option<usize>,
    pub what: String,
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&all.join("; "))
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Given {
    text: String,
    line: usize,
}

/// The values in force: those of the file, and the defaults where it is silent.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    file: String,
    /// By section, name (empty where the section has none) and key.
    given: BTreeMap<(&'static str, String, &'static str), Given>,
    names: BTreeMap<&'static str, BTreeMap<String, usize>>,
}

/// One value in force, for people to read.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub section: String,
    pub key: &'static str,
    pub value: String,
    pub origin: Origin,
    pub live: bool,
}

/// Where sections and keys stand in a text; the parser tells values, not lines.
struct Lines {
    sections: BTreeMap<String, Vec<usize>>,
    keys: BTreeMap<(String, String), Vec<usize>>,
}

impl Lines {
    fn of(text: &str) -> Lines {
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
                    let at = (section.clone(), key.trim().to_string());
                    keys.entry(at).or_insert_with(Vec::new).push(number + 1);
                }
            }
        }
        Lines { sections, keys }
    }

    fn section(&self, name: &str) -> Option<usize> {
        self.sections
            .get(name)
            .and_then(|lines| lines.first())
            .copied()
    }

    fn keys(&self, section: &str, key: &str) -> &[usize] {
        self.keys
            .get(&(section.to_string(), key.to_string()))
            .map_or(&[], Vec::as_slice)
    }
}

/// The valid name that `name` is most like, if it is like any.
fn nearest<'a>(name: &str, valid: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = valid.map(|valid| (strsim::jaro_winkler(name, valid), valid));
    near.filter(|(like, _)| *like > 0.7)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, valid)| valid)
}

fn suggestion<'a>(name: &str, valid: impl Iterator<Item = &'a str> + Clone) -> String {
    match nearest(name, valid.clone()) {
        Some(near) => format!("; the nearest is '{near}'"),
        None => format!("; there are {}", valid.collect::<Vec<_>>().join(", ")),
    }
}

impl Settings {
    /// No file: the defaults.
    pub fn defaults() -> Settings {
        Settings {
            file: "no file".into(),
            given: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    /// Reads `text`, which stands in `file`, against `schema`.
    ///
    /// # Errors
    /// Everything in it that is not as the schema says.
    pub fn read(schema: &Schema, file: &str, text: &str) -> Result<Settings, Problems> {
        let problem = |line: Option<usize>, what: String| Problem {
            file: file.into(),
            line,
            what,
        };
        let ini = ini::Ini::load_from_str(text).map_err(|e| {
            Problems(vec![problem(
                Some(e.line),
                format!("cannot be read: {}", e.msg),
            )])
        })?;
        let lines = Lines::of(text);
        let mut problems = Vec::new();
        let mut settings = Settings {
            file: file.into(),
            ..Settings::defaults()
        };
        let mut seen = BTreeSet::new();
        for (header, properties) in ini.iter() {
            let header = header.unwrap_or_default().trim();
            if header.is_empty() {
                for (key, _) in properties.iter() {
                    let line = lines.keys("", key).first().copied();
                    problems.push(problem(line, format!("'{key}' stands in no section")));
                }
                continue;
            }
            if !seen.insert(header.to_string()) {
                let line = lines.sections.get(header).and_then(|at| at.get(1)).copied();
                problems.push(problem(line, format!("[{header}] stands twice")));
                continue;
            }
            let line = lines.section(header);
            let (kind, name) = header
                .split_once(char::is_whitespace)
                .unwrap_or((header, ""));
            let name = name.trim().trim_matches('"');
            let Some(section) = schema.section(kind) else {
                let near = suggestion(kind, schema.0.iter().map(|section| section.name));
                problems.push(problem(line, format!("there is no section [{kind}]{near}")));
                continue;
            };
            if section.named == name.is_empty() {
                let form = if section.named {
                    format!("[{kind} NAME]")
                } else {
                    format!("[{kind}]")
                };
                problems.push(problem(
                    line,
                    format!("[{header}] has to be of the form {form}"),
                ));
                continue;
            }
            if section.named {
                let names = settings.names.entry(section.name).or_default();
                names.insert(name.to_string(), line.unwrap_or_default());
            }
            let mut counted: BTreeMap<&str, usize> = BTreeMap::new();
            for (given, text) in properties.iter() {
                let nth = counted.entry(given).or_default();
                let line = lines.keys(header, given).get(*nth).copied();
                *nth += 1;
                if *nth > 1 {
                    problems.push(problem(line, format!("[{header}] {given} is set twice")));
                    continue;
                }
                let Some(key) = section.keys.iter().find(|key| key.name == given) else {
                    let near = suggestion(given, section.keys.iter().map(|key| key.name));
                    problems.push(problem(
                        line,
                        format!("[{header}] has no key '{given}'{near}"),
                    ));
                    continue;
                };
                if let Err(why) = key.kind.check(text) {
                    problems.push(problem(line, format!("[{header}] {given} = {text}: {why}")));
                    continue;
                }
                let value = Given {
                    text: text.trim().to_string(),
                    line: line.unwrap_or_default(),
                };
                settings
                    .given
                    .insert((section.name, name.to_string(), key.name), value);
            }
        }
        if problems.is_empty() {
            return Ok(settings);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(Problems(problems))
    }

    /// A problem with one value that only what it is used for can see.
    pub fn problem(&self, section: &str, name: &str, key: &str, why: &str) -> Problems {
        let given = self
            .given
            .iter()
            .find(|((s, n, k), _)| *s == section && n == name && *k == key);
        let line = given.map(|(_, given)| given.line);
        let line = line.or_else(|| {
            self.names
                .get(section)
                .and_then(|names| names.get(name).copied())
        });
        let header = if name.is_empty() {
            section.to_string()
        } else {
            format!("{section} {name}")
        };
        Problems(vec![Problem {
            file: self.file.clone(),
            line,
            what: format!("[{header}] {key}: {why}"),
        }])
    }

    /// The names under which a named section stands.
    pub fn names(&self, section: &str) -> Vec<&str> {
        let names = self
            .names
            .get(section)
            .into_iter()
            .flat_map(|names| names.keys());
        names.map(String::as_str).collect()
    }

    /// Everything in force, with where it came from.
    pub fn shown(&self, schema: &Schema) -> Vec<Shown> {
        let mut shown = Vec::new();
        for section in schema.0 {
            let names = if section.named {
                self.names(section.name)
            } else {
                vec![""]
            };
            for name in names {
                for key in section.keys {
                    let given = self.given.get(&(section.name, name.to_string(), key.name));
                    let value = given.map(|given| given.text.as_str()).or(key.default);
                    let origin = given.map_or(Origin::Default, |given| Origin::Line(given.line));
                    let header = if name.is_empty() {
                        section.name.into()
                    } else {
                        format!("{} {name}", section.name)
                    };
                    let value = value.unwrap_or("(not set)").to_string();
                    shown.push(Shown {
                        section: header,
                        key: key.name,
                        value,
                        origin,
                        live: key.live,
                    });
                }
            }
        }
        shown
    }

    /// What `next` states otherwise, as `[section] key`, and of it only what a running program does not take up.
    pub fn needs_restart(&self, next: &Settings, schema: &Schema) -> Vec<String> {
        let plain = |shown: Shown| ((shown.section, shown.key, shown.live), shown.value);
        let before: BTreeMap<_, _> = self.shown(schema).into_iter().map(plain).collect();
        let after: BTreeMap<_, _> = next.shown(schema).into_iter().map(plain).collect();
        let keys: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        let changed = keys
            .into_iter()
            .filter(|key| !key.2 && before.get(*key) != after.get(*key));
        changed
            .map(|(section, key, _)| format!("[{section}] {key}"))
            .collect()
    }

    /// The values under one section, with the defaults of `schema`.
    pub fn of<'a>(&'a self, schema: &Schema, section: &'static str, name: &'a str) -> Values<'a> {
        Values {
            settings: self,
            section: schema.section(section),
            name,
        }
    }
}

/// The values of one section. All were checked when they were read: what can't be parsed is not there.
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
        let given = self
            .settings
            .given
            .get(&(section.name, self.name.to_string(), key.name));
        given
            .map(|given| given.text.as_str())
            .or(key.default)
            .filter(|text| !text.is_empty())
    }

    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("yes")
    }

    pub fn count(&self, key: &str) -> Option<u64> {
        self.text(key).and_then(|text| text.parse().ok())
    }

    pub fn time(&self, key: &str) -> Option<Duration> {
        self.text(key).and_then(|text| time(text).ok())
    }

    pub fn bytes(&self, key: &str) -> Option<u64> {
        self.text(key).and_then(|text| bytes(text).ok())
    }

    pub fn address(&self, key: &str) -> Option<SocketAddr> {
        self.text(key).and_then(|text| text.parse().ok())
    }
}
