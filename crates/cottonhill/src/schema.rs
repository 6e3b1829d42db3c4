//! The schema of the settings file: one INI file for logging, the usage log, the ledger and the OpenSearch front.

use cottonhill_ini::{Key, Kind, Schema, Section};
use cottonhill_ledger::settings as ledger;
use cottonhill_opensearch::index;

/// Levels and format of the log.
pub const LOG: Section = Section {
    name: "log",
    named: false,
    keys: &[
        Key {
            name: "level",
            kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            default: Some("info"),
            reloadable: true,
            doc: "The least severe level that is logged; COTTONHILL_LOG in the environment overrides it.",
        },
        Key {
            name: "targets",
            kind: Kind::Text,
            default: Some(""),
            reloadable: true,
            doc: "Levels of individual targets, as in cottonhill_mixer::routing=debug,cottonhill_ledger=warn.",
        },
        Key {
            name: "format",
            kind: Kind::Choice(&["text", "json"]),
            default: Some("text"),
            reloadable: false,
            doc: "One line of text, or one JSON object, for each event.",
        },
    ],
};

/// All sections that the settings file may contain.
pub const SCHEMA: Schema = Schema(&[
    LOG,
    ledger::USAGE,
    ledger::SETTLEMENT,
    ledger::PERIODS,
    ledger::MEMBER,
    ledger::PRICE,
    ledger::TENANT,
    ledger::EXPORT,
    index::FRONT,
    index::INDEX,
    index::NETWORK,
]);
