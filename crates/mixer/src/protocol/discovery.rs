//! The list of leaf servers as discovery writes it: a whole list, or the lines that have changed.

use serde::Deserialize;

/// One leaf server as listed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Endpoint {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    pub group: u16,
    pub status: Status,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Up,
    Draining,
    Removed,
}

/// A message of discovery: with `snapshot` the complete list, else the changes since the one before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Listing {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// Reads one line of a watch; none for the empty line that only shows that the watch lives.
pub fn line(bytes: &[u8]) -> Result<Option<Listing>, String> {
    let bytes = bytes.trim_ascii();
    if bytes.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(bytes).map(Some).map_err(|e| e.to_string())
}
