//! Hollow leaf servers: entries of the endpoint list without a process.

use serde_json::{json, Value};

/// Number of zones of the entries.
const ZONES: u64 = 15;
/// Number of cells; a server holds the shards of one cell.
pub(super) const CELLS: u64 = 69;
/// Start time of the servers in Unix milliseconds; long ago, so that they are not in slow start.
const STARTED_MS: u64 = 1_700_000_000_000;

/// The names of the zones in settings and entries.
pub(super) fn zones() -> Vec<String> {
    (0..ZONES).map(|zone| format!("zone-{zone:02}")).collect()
}

/// An entry of the list. All entries have the same length in bytes while `number` is below one million and
/// `start_offset_ms` below ten thousand.
pub(super) fn entry(number: u64, start_offset_ms: u64, status: &str) -> Value {
    let octets = [number / 10_000 % 100, number / 100 % 100, number % 100].map(|octet| 100 + octet);
    json!({
        "name": format!("leaf-{number:06}"),
        "address": format!("127.{}.{}.{}:9000", octets[0], octets[1], octets[2]),
        "zone": format!("zone-{:02}", number % ZONES),
        "group": number % CELLS,
        "status": status,
        "since_ms": STARTED_MS + start_offset_ms,
    })
}

/// The complete endpoint list.
pub(super) fn list(entries: u64) -> Vec<Value> {
    (0..entries).map(|number| entry(number, 0, "up")).collect()
}

/// The first entries of the list, with the new start time of a restarted server.
pub(super) fn restarted(entries: u64, start_offset_ms: u64) -> Vec<Value> {
    (0..entries)
        .map(|number| entry(number, start_offset_ms, "up"))
        .collect()
}
