//! The ledger's sections of the settings file, and what they say once read.

use crate::period::{Calendar, Every};
use cottonhill_ini::{Key, Kind, Schema, Section, Settings, SettingsErrors};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const fn key(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        name,
        kind,
        default,
        reloadable: false,
        doc,
    }
}

const fn live(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        name,
        kind,
        default,
        reloadable: true,
        doc,
    }
}

const MOST: u64 = 1_000_000_000_000;

pub const USAGE: Section = Section {
    name: "usage",
    named: false,
    keys: &[
        key(
            "directory",
            Kind::Text,
            None,
            "Folder of the mixer's usage log; no log is kept without it.",
        ),
        key(
            "segment",
            Kind::Bytes,
            Some("8MiB"),
            "Size at which a segment of the log is closed and a new one begun.",
        ),
        key(
            "keep",
            Kind::Bytes,
            Some("1GiB"),
            "Most that the log may take; past it records are dropped and counted.",
        ),
        key(
            "queue",
            Kind::Integer(16, 1_000_000),
            Some("8192"),
            "Records that may wait for the writer.",
        ),
        key(
            "stall",
            Kind::Duration,
            Some("5ms"),
            "How long an answer waits for its record; then it goes without.",
        ),
        key(
            "mark",
            Kind::Duration,
            Some("500ms"),
            "How often the log says up to when it is complete.",
        ),
        key(
            "listen",
            Kind::Address,
            None,
            "Where the settlement collects the log; a listener of its own.",
        ),
    ],
};

pub const SETTLEMENT: Section = Section {
    name: "settlement",
    named: false,
    keys: &[
        key(
            "store",
            Kind::Text,
            None,
            "The SQLite file of the settlement.",
        ),
        live(
            "again",
            Kind::Duration,
            Some("200ms"),
            "Wait before a member that failed is asked again; it doubles up to 32 times.",
        ),
        live(
            "silent",
            Kind::Duration,
            Some("5s"),
            "A member that says nothing for so long is asked anew.",
        ),
    ],
};

pub const PERIODS: Section = Section {
    name: "periods",
    named: false,
    keys: &[
        key("every", Kind::DurationOr(&["daily", "monthly"]), Some("monthly"), "Length of a billing period."),
        key("zone", Kind::Text, Some("UTC"), "Time zone of daily and monthly periods, by its IANA name."),
        live(
            "horizon",
            Kind::Duration,
            Some("30s"),
            "The longest after a first try that a retry may arrive: at least the longest give-up time of a class.",
        ),
        live("skew", Kind::Duration, Some("2s"), "The most that two mixers' clocks differ."),
        live("grace", Kind::Duration, Some("1h"), "How long a period waits for silent members after it could have closed."),
    ],
};

pub const MEMBER: Section = Section {
    name: "member",
    named: true,
    keys: &[
        live(
            "address",
            Kind::Address,
            None,
            "Where this mixer's log is collected: its [usage] listen.",
        ),
        live(
            "from",
            Kind::Text,
            None,
            "When it joined, as in 2026-12-01T00:00:00Z; always if unset.",
        ),
        live(
            "until",
            Kind::Text,
            None,
            "When it left; it has not if unset.",
        ),
    ],
};

pub const PRICE: Section = Section {
    name: "price",
    named: true,
    keys: &[
        live(
            "whole",
            Kind::Integer(0, MOST),
            None,
            "Price of a whole answer of this class, in micro-units.",
        ),
        live(
            "partial",
            Kind::Integer(0, MOST),
            None,
            "Price of a partial answer before its share is taken; that of a whole one if unset.",
        ),
    ],
};

pub const TENANT: Section = Section {
    name: "tenant",
    named: true,
    keys: &[live(
        "allowance",
        Kind::Integer(0, MOST),
        None,
        "Answered uses in a period past which further ones are listed apart.",
    )],
};

pub const EXPORT: Section = Section {
    name: "export",
    named: false,
    keys: &[
        live(
            "folder",
            Kind::Text,
            None,
            "Folder that documents are put into, each by an atomic rename.",
        ),
        live(
            "url",
            Kind::Text,
            None,
            "Where documents are posted, as in http://127.0.0.1:9000/documents.",
        ),
        live(
            "timeout",
            Kind::Duration,
            Some("5s"),
            "How long the receiver may take for one document.",
        ),
        live(
            "again",
            Kind::Duration,
            Some("500ms"),
            "Wait before a failed document is sent again; it doubles up to 64 times.",
        ),
    ],
};

/// The usage log of one mixer; none where it is off.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageLog {
    pub directory: PathBuf,
    pub segment_bytes: u64,
    pub keep_bytes: u64,
    pub queue: usize,
    pub stall: Duration,
    pub mark: Duration,
    pub listen: Option<SocketAddr>,
}

impl UsageLog {
    /// # Errors
    /// Values that contradict each other.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<Option<UsageLog>, SettingsErrors> {
        let values = settings.section(schema, USAGE.name, "");
        let listen = values.address("listen");
        let wrong = |key: &str, why: &str| settings.value_error(USAGE.name, "", key, why);
        let Some(directory) = values.text("directory").map(PathBuf::from) else {
            return match listen {
                Some(_) => Err(wrong(
                    "listen",
                    "there is no log to collect without 'directory'",
                )),
                None => Ok(None),
            };
        };
        let (segment_bytes, keep_bytes) = (
            values.bytes("segment").unwrap_or(8 << 20),
            values.bytes("keep").unwrap_or(1 << 30),
        );
        if segment_bytes < 4096 {
            return Err(wrong("segment", "has to be 4KiB at least"));
        }
        if keep_bytes < 2 * segment_bytes {
            return Err(wrong(
                "keep",
                "has to be twice 'segment' at least, or no segment could ever be closed",
            ));
        }
        let mark = values
            .duration("mark")
            .unwrap_or(Duration::from_millis(500));
        if mark < Duration::from_millis(10) {
            return Err(wrong("mark", "has to be 10ms at least"));
        }
        Ok(Some(UsageLog {
            directory,
            segment_bytes,
            keep_bytes,
            queue: values.integer("queue").unwrap_or(8192) as usize,
            stall: values.duration("stall").unwrap_or(Duration::from_millis(5)),
            mark,
            listen,
        }))
    }
}

/// A mixer whose log the settlement follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub address: SocketAddr,
    /// From when and until when it takes part, in Unix milliseconds.
    pub from: i64,
    pub until: i64,
}

/// Prices of one class, in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Price {
    pub whole: u64,
    pub partial: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ExportTo {
    pub folder: Option<PathBuf>,
    pub url: Option<String>,
    pub timeout: Duration,
    pub again: Duration,
}

/// The settings of the settlement.
#[derive(Clone, Debug)]
pub struct Ledger {
    pub store: Option<PathBuf>,
    pub again: Duration,
    pub silent: Duration,
    pub calendar: Calendar,
    /// Milliseconds.
    pub horizon: i64,
    pub skew: i64,
    pub grace: i64,
    pub members: BTreeMap<String, Member>,
    pub prices: BTreeMap<String, Price>,
    pub allowances: BTreeMap<String, u64>,
    pub export: ExportTo,
}

impl Ledger {
    /// # Errors
    /// Values that contradict each other, or that only their use shows to be wrong.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<Ledger, SettingsErrors> {
        let periods = settings.section(schema, PERIODS.name, "");
        let zone = periods.text("zone").unwrap_or("UTC");
        let zone = TimeZone::get(zone).map_err(|_| {
            settings.value_error(
                PERIODS.name,
                "",
                "zone",
                &format!("there is no time zone '{zone}'; use a name as in Asia/Colombo"),
            )
        })?;
        let ms = |key: &str| periods.duration(key).unwrap_or_default().as_millis() as i64;
        let every = match periods.text("every").unwrap_or("monthly") {
            "daily" => Every::Day(zone),
            "monthly" => Every::Month(zone),
            _ => Every::Ms(ms("every")),
        };
        if matches!(every, Every::Ms(length) if length < 1000) {
            return Err(settings.value_error(PERIODS.name, "", "every", "has to be 1s at least"));
        }
        let mut members = BTreeMap::new();
        for name in settings.section_names(MEMBER.name) {
            let values = settings.section(schema, MEMBER.name, name);
            let at = |key: &'static str, otherwise: i64| match values.text(key) {
                None => Ok(otherwise),
                Some(text) => text
                    .parse::<Timestamp>()
                    .map(Timestamp::as_millisecond)
                    .map_err(|_| {
                        settings.value_error(
                            MEMBER.name,
                            name,
                            key,
                            "has to be a time as in 2026-12-01T00:00:00Z",
                        )
                    }),
            };
            let Some(address) = values.address("address") else {
                return Err(settings.value_error(MEMBER.name, name, "address", "is missing"));
            };
            let (from, until) = (at("from", i64::MIN)?, at("until", i64::MAX)?);
            if from >= until {
                return Err(settings.value_error(
                    MEMBER.name,
                    name,
                    "until",
                    "does not come after 'from'",
                ));
            }
            members.insert(
                name.to_string(),
                Member {
                    address,
                    from,
                    until,
                },
            );
        }
        let mut prices = BTreeMap::new();
        for name in settings.section_names(PRICE.name) {
            let values = settings.section(schema, PRICE.name, name);
            let Some(whole) = values.integer("whole") else {
                return Err(settings.value_error(PRICE.name, name, "whole", "is missing"));
            };
            prices.insert(
                name.to_string(),
                Price {
                    whole,
                    partial: values.integer("partial").unwrap_or(whole),
                },
            );
        }
        let allowance = |name: &&str| {
            Some((
                name.to_string(),
                settings
                    .section(schema, TENANT.name, name)
                    .integer("allowance")?,
            ))
        };
        let allowances = settings
            .section_names(TENANT.name)
            .iter()
            .filter_map(allowance)
            .collect();
        let export = settings.section(schema, EXPORT.name, "");
        let url = export.text("url").map(str::to_string);
        if url.as_ref().is_some_and(|url| !url.starts_with("http://")) {
            return Err(settings.value_error(EXPORT.name, "", "url", "has to begin with http://"));
        }
        let settlement = settings.section(schema, SETTLEMENT.name, "");
        let time = |key: &str| {
            settlement
                .duration(key)
                .unwrap_or(Duration::from_millis(200))
        };
        Ok(Ledger {
            store: settlement.text("store").map(PathBuf::from),
            again: time("again"),
            silent: time("silent"),
            calendar: Calendar(every),
            horizon: ms("horizon"),
            skew: ms("skew"),
            grace: ms("grace"),
            members,
            prices,
            allowances,
            export: ExportTo {
                folder: export.text("folder").map(PathBuf::from),
                url,
                timeout: export.duration("timeout").unwrap_or(Duration::from_secs(5)),
                again: export
                    .duration("again")
                    .unwrap_or(Duration::from_millis(500)),
            },
        })
    }
}
