//! Updates of the endpoint list from discovery: a snapshot of the complete list, or a delta.

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

/// A socket address in 16 bytes. Lists contain many addresses and nearly all are IPv4, so IPv6 addresses are stored on
/// the heap.
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

/// The entry of one leaf server in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Name of the leaf server: the same at every mixer, and constant for its lifetime.
    pub name: Box<str>,
    /// `None` if the entry has no valid address.
    pub address: Option<Address>,
    /// Name of its zone, shared by all entries of an update with the same zone; empty if the entry has none.
    pub zone: Arc<str>,
    /// Number of the cell that it serves.
    pub cell: u16,
    /// Its status according to discovery.
    pub status: Status,
    /// Time of its last start in Unix milliseconds; 0 means that it started long ago.
    pub started_ms: u64,
}

/// The status of a leaf server according to discovery.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It accepts calls.
    Up,
    /// It completes its current calls and accepts no new ones.
    Draining,
    /// It no longer exists; only in deltas.
    Removed,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(try_from = "Message")]
pub struct EndpointUpdate {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether `entries` are the complete list; otherwise they are the changes since the previous version, in order.
    pub snapshot: bool,
    /// The entries that have a valid name. A malformed entry has the status draining and no other values.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries with an invalid field.
    pub invalid_entries: usize,
}

/// Parses one object of a watch; `None` for a heartbeat, which is empty.
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
