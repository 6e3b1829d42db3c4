//! The ledger's sections of the settings file, and the settings read from them.

use crate::period::{Calendar, PeriodLength};
use cottonhill_ini::{Key, Kind, Schema, Section, Settings, SettingsErrors};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A setting that takes effect only at a start.
const fn restart_key(
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

/// A setting that takes effect on SIGHUP.
const fn live_key(
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

/// Upper bound of prices and allowances.
const MAX_AMOUNT: u64 = 1_000_000_000_000;

/// The usage log of a mixer.
pub const USAGE: Section = Section {
    name: "usage",
    named: false,
    keys: &[
        restart_key(
            "directory",
            Kind::Text,
            None,
            "Folder of the mixer's usage log; without it no usage is recorded.",
        ),
        restart_key(
            "segment",
            Kind::Bytes,
            Some("8MiB"),
            "Size at which a segment of the log is closed and a new one started.",
        ),
        restart_key(
            "keep",
            Kind::Bytes,
            Some("1GiB"),
            "Maximum size of the log; records beyond it are dropped and counted.",
        ),
        restart_key(
            "queue",
            Kind::Integer(16, 1_000_000),
            Some("8192"),
            "Capacity of the queue between mixer and log writer, in records.",
        ),
        restart_key(
            "stall",
            Kind::Duration,
            Some("5ms"),
            "Maximum time that an answer waits for its record to be written; it is then sent all the same.",
        ),
        restart_key(
            "mark",
            Kind::Duration,
            Some("500ms"),
            "Interval of the watermarks that state up to when the log is complete.",
        ),
        restart_key(
            "listen",
            Kind::Address,
            None,
            "Address of a separate listener at which the settlement collects the log.",
        ),
    ],
};

/// Store of the settlement and collection from the members.
pub const SETTLEMENT: Section = Section {
    name: "settlement",
    named: false,
    keys: &[
        restart_key(
            "store",
            Kind::Text,
            None,
            "The SQLite file of the settlement.",
        ),
        live_key(
            "again",
            Kind::Duration,
            Some("200ms"),
            "Delay before collection from a failed member is retried; it doubles up to 32 times this value.",
        ),
        live_key(
            "silent",
            Kind::Duration,
            Some("5s"),
            "Collection from a member is restarted if it sends nothing for this time.",
        ),
    ],
};

/// Billing periods and the limits of joining retries.
pub const PERIODS: Section = Section {
    name: "periods",
    named: false,
    keys: &[
        restart_key("every", Kind::DurationOr(&["daily", "monthly"]), Some("monthly"), "Length of a billing period."),
        restart_key("zone", Kind::Text, Some("UTC"), "Time zone of daily and monthly periods, by its IANA name."),
        live_key(
            "horizon",
            Kind::Duration,
            Some("30s"),
            "The longest time after a first attempt that a retry may arrive: at least the longest give-up time of a class.",
        ),
        live_key("skew", Kind::Duration, Some("2s"), "The largest difference between the clocks of two mixers."),
        live_key("grace", Kind::Duration, Some("1h"), "How long closing a period waits for members whose records are incomplete."),
    ],
};

/// One mixer whose usage log is collected.
pub const MEMBER: Section = Section {
    name: "member",
    named: true,
    keys: &[
        live_key(
            "address",
            Kind::Address,
            None,
            "Address at which this mixer's log is collected: its [usage] listen.",
        ),
        live_key(
            "from",
            Kind::Text,
            None,
            "Start of its membership, as in 2026-12-01T00:00:00Z; unlimited if unset.",
        ),
        live_key(
            "until",
            Kind::Text,
            None,
            "End of its membership; unlimited if unset.",
        ),
    ],
};

/// Prices of one class.
pub const PRICE: Section = Section {
    name: "price",
    named: true,
    keys: &[
        live_key(
            "whole",
            Kind::Integer(0, MAX_AMOUNT),
            None,
            "Price of a complete answer of this class, in micro-units.",
        ),
        live_key(
            "partial",
            Kind::Integer(0, MAX_AMOUNT),
            None,
            "Price of a partial answer, multiplied by its coverage; that of a complete answer if unset.",
        ),
    ],
};

/// Allowance of one tenant.
pub const TENANT: Section = Section {
    name: "tenant",
    named: true,
    keys: &[live_key(
        "allowance",
        Kind::Integer(0, MAX_AMOUNT),
        None,
        "Answered uses in a period above which further ones are listed separately.",
    )],
};

/// Targets of the export of documents.
pub const EXPORT: Section = Section {
    name: "export",
    named: false,
    keys: &[
        live_key(
            "folder",
            Kind::Text,
            None,
            "Folder to which documents are written, each by an atomic rename.",
        ),
        live_key(
            "url",
            Kind::Text,
            None,
            "URL to which documents are posted, as in http://127.0.0.1:9000/documents.",
        ),
        live_key(
            "timeout",
            Kind::Duration,
            Some("5s"),
            "Timeout of posting one document.",
        ),
        live_key(
            "again",
            Kind::Duration,
            Some("500ms"),
            "Delay before a failed document is sent again; it doubles up to 64 times this value.",
        ),
    ],
};

/// Settings of a mixer's usage log.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageLogSettings {
    pub directory: PathBuf,
    pub segment_bytes: u64,
    /// Size limit of the log.
    pub max_bytes: u64,
    pub queue_capacity: usize,
    /// How long an answer waits until its record is written.
    pub max_write_delay: Duration,
    pub watermark_interval: Duration,
    pub listen: Option<SocketAddr>,
}

impl UsageLogSettings {
    /// Reads the `[usage]` section; `None` if no directory is set.
    ///
    /// # Errors
    /// Values that contradict each other.
    pub fn read(
        settings: &Settings,
        schema: &Schema,
    ) -> Result<Option<UsageLogSettings>, SettingsErrors> {
        let values = settings.section(schema, USAGE.name, "");
        let listen = values.address("listen");
        let problem = |key: &str, why: &str| settings.value_error(USAGE.name, "", key, why);
        let Some(directory) = values.text("directory").map(PathBuf::from) else {
            return match listen {
                Some(_) => Err(problem(
                    "listen",
                    "requires 'directory': there is no log to collect",
                )),
                None => Ok(None),
            };
        };
        let (segment_bytes, max_bytes) = (
            values.bytes("segment").unwrap_or(8 << 20),
            values.bytes("keep").unwrap_or(1 << 30),
        );
        if segment_bytes < 4096 {
            return Err(problem("segment", "must be at least 4KiB"));
        }
        if max_bytes < 2 * segment_bytes {
            return Err(problem(
                "keep",
                "must be at least twice 'segment', or no segment can ever be closed",
            ));
        }
        let watermark_interval = values
            .duration("mark")
            .unwrap_or(Duration::from_millis(500));
        if watermark_interval < Duration::from_millis(10) {
            return Err(problem("mark", "must be at least 10ms"));
        }
        Ok(Some(UsageLogSettings {
            directory,
            segment_bytes,
            max_bytes,
            queue_capacity: values.integer("queue").unwrap_or(8192) as usize,
            max_write_delay: values.duration("stall").unwrap_or(Duration::from_millis(5)),
            watermark_interval,
            listen,
        }))
    }
}

/// A mixer whose log the settlement collects.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSettings {
    pub address: SocketAddr,
    /// Start of the membership, in Unix milliseconds.
    pub from_ms: i64,
    /// End of the membership, in Unix milliseconds.
    pub until_ms: i64,
}

/// Prices of one class, in micro-units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClassPrice {
    #[serde(rename = "whole")]
    pub complete: u64,
    pub partial: u64,
}

/// Targets of the export of documents.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportSettings {
    pub folder: Option<PathBuf>,
    pub url: Option<String>,
    pub timeout: Duration,
    pub retry_delay: Duration,
}

/// The settings of the settlement.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    pub store: Option<PathBuf>,
    pub retry_delay: Duration,
    /// Collection from a member is restarted if no message arrives within this time.
    pub silence_timeout: Duration,
    pub calendar: Calendar,
    pub horizon_ms: i64,
    pub skew_ms: i64,
    /// How long closing a period waits for members whose records are incomplete.
    pub grace_ms: i64,
    pub members: BTreeMap<String, MemberSettings>,
    pub prices: BTreeMap<String, ClassPrice>,
    pub allowances: BTreeMap<String, u64>,
    pub export: ExportSettings,
}

impl LedgerSettings {
    /// Reads the sections of the settlement.
    ///
    /// # Errors
    /// Values that contradict each other, or that the schema cannot check.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<LedgerSettings, SettingsErrors> {
        let periods = settings.section(schema, PERIODS.name, "");
        let zone = periods.text("zone").unwrap_or("UTC");
        let zone = TimeZone::get(zone).map_err(|_| {
            settings.value_error(
                PERIODS.name,
                "",
                "zone",
                &format!("unknown time zone '{zone}'; use an IANA name such as Asia/Colombo"),
            )
        })?;
        let ms = |key: &str| periods.duration(key).unwrap_or_default().as_millis() as i64;
        let period_length = match periods.text("every").unwrap_or("monthly") {
            "daily" => PeriodLength::Day(zone),
            "monthly" => PeriodLength::Month(zone),
            _ => PeriodLength::FixedMs(ms("every")),
        };
        if matches!(period_length, PeriodLength::FixedMs(length) if length < 1000) {
            return Err(settings.value_error(PERIODS.name, "", "every", "must be at least 1s"));
        }
        let mut members = BTreeMap::new();
        for name in settings.section_names(MEMBER.name) {
            let values = settings.section(schema, MEMBER.name, name);
            let timestamp = |key: &'static str, default: i64| match values.text(key) {
                None => Ok(default),
                Some(text) => text
                    .parse::<Timestamp>()
                    .map(Timestamp::as_millisecond)
                    .map_err(|_| {
                        settings.value_error(
                            MEMBER.name,
                            name,
                            key,
                            "must be a timestamp such as 2026-12-01T00:00:00Z",
                        )
                    }),
            };
            let Some(address) = values.address("address") else {
                return Err(settings.value_error(MEMBER.name, name, "address", "is missing"));
            };
            let (from_ms, until_ms) = (timestamp("from", i64::MIN)?, timestamp("until", i64::MAX)?);
            if from_ms >= until_ms {
                return Err(settings.value_error(
                    MEMBER.name,
                    name,
                    "until",
                    "must be after 'from'",
                ));
            }
            members.insert(
                name.to_string(),
                MemberSettings {
                    address,
                    from_ms,
                    until_ms,
                },
            );
        }
        let mut prices = BTreeMap::new();
        for name in settings.section_names(PRICE.name) {
            let values = settings.section(schema, PRICE.name, name);
            let Some(complete) = values.integer("whole") else {
                return Err(settings.value_error(PRICE.name, name, "whole", "is missing"));
            };
            prices.insert(
                name.to_string(),
                ClassPrice {
                    complete,
                    partial: values.integer("partial").unwrap_or(complete),
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
            return Err(settings.value_error(EXPORT.name, "", "url", "must start with http://"));
        }
        let settlement = settings.section(schema, SETTLEMENT.name, "");
        let duration = |key: &str| {
            settlement
                .duration(key)
                .unwrap_or(Duration::from_millis(200))
        };
        Ok(LedgerSettings {
            store: settlement.text("store").map(PathBuf::from),
            retry_delay: duration("again"),
            silence_timeout: duration("silent"),
            calendar: Calendar(period_length),
            horizon_ms: ms("horizon"),
            skew_ms: ms("skew"),
            grace_ms: ms("grace"),
            members,
            prices,
            allowances,
            export: ExportSettings {
                folder: export.text("folder").map(PathBuf::from),
                url,
                timeout: export.duration("timeout").unwrap_or(Duration::from_secs(5)),
                retry_delay: export
                    .duration("again")
                    .unwrap_or(Duration::from_millis(500)),
            },
        })
    }
}
