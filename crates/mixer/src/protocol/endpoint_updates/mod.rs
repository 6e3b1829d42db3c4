//! Updates of the endpoint list, as discovery sends them: a snapshot of the whole list, or a delta.

mod error;
mod limits;
mod message;
mod object_splitter;

pub use error::UpdateError;
pub use limits::{max_update_bytes, MAX_ENTRIES, MAX_UPDATE_BYTES};
pub use object_splitter::JsonObjectSplitter;

use message::Message;
use serde::Deserialize;
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::sync::Arc;

/// A socket address in 16 bytes. A list holds many and nearly all are IPv4; an IPv6 address is on the heap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// An IPv4 address and a port.
    V4(SocketAddrV4),
    /// An IPv6 address and a port.
    V6(Box<SocketAddrV6>),
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Address {
        match address {
            SocketAddr::V4(address) => Address::V4(address),
            SocketAddr::V6(address) => Address::V6(Box::new(address)),
        }
    }
}

impl From<&Address> for SocketAddr {
    fn from(address: &Address) -> SocketAddr {
        match address {
            Address::V4(address) => SocketAddr::V4(*address),
            Address::V6(address) => SocketAddr::V6(**address),
        }
    }
}

/// One leaf server as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The same at every mixer, for the whole life of the leaf server.
    pub name: Box<str>,
    /// `None` if the entry states no usable address.
    pub address: Option<Address>,
    /// Name of its zone, shared by all entries of a list with the same zone; empty if none is stated.
    pub zone: Arc<str>,
    /// The cell that it holds.
    pub cell: u16,
    /// What discovery announces of it.
    pub status: Status,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// What discovery announces of a leaf server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Accepts calls.
    Up,
    /// Completes the calls that it has and accepts no new ones.
    Draining,
    /// No longer exists; only in deltas.
    Removed,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(try_from = "Message")]
pub struct EndpointUpdate {
    /// The version of the list once this is applied.
    pub version: u64,
    /// Whether `entries` are the complete list; else they are the changes since the version before, in order.
    pub snapshot: bool,
    /// The usable entries, and those with a name but no other usable value as draining.
    pub entries: Vec<EndpointEntry>,
    /// Entries that could not be used as they are.
    pub invalid_entries: usize,
}

/// Parses one object of a watch; `None` for a heartbeat, which has no bytes.
///
/// # Errors
/// The update is too large or malformed.
pub fn parse(object: &[u8]) -> Result<Option<EndpointUpdate>, UpdateError> {
    if object.is_empty() {
        return Ok(None);
    }
    let message: Message =
        serde_json::from_slice(object).map_err(|error| UpdateError::Malformed {
            bytes: object.len(),
            reason: error.to_string(),
        })?;
    EndpointUpdate::try_from(message).map(Some)
}
