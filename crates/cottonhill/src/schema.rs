//! The schema of the settings file: one INI file for logging, the usage log, the ledger and the OpenSearch-style front.

use cottonhill_ini::{Key, Kind, Schema, Section};
use cottonhill_ledger::settings as ledger;
use cottonhill_opensearch::index;

/// What is logged, and in which form.
pub const LOG: Section = Section {
    name: "log",
    named: false,
    keys: &[
        Key {
            name: "level",
            kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
            default: Some("info"),
            reloadable: true,
            doc: "The least level that is logged. COTTONHILL_LOG in the environment goes before it.",
        },
        Key {
            name: "targets",
            kind: Kind::Text,
            default: Some(""),
            reloadable: true,
            doc: "Levels of single targets, as in cottonhill_mixer::routing=debug,cottonhill_ledger=warn.",
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

/// Every section that the settings file may hold.
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
