//! Reads a snapshot through the codec and parser of the discovery watch.

use super::fleet::Fleet;
use crate::meter::ProcessorTimer;
use bytes::BytesMut;
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointUpdate};
use cottonhill_mixer::protocol::http::WatchCodec;
use tokio_util::codec::Decoder;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";

/// A snapshot with the cost of reading it.
pub struct ReadSnapshot {
    pub update: EndpointUpdate,
    pub bytes: usize,
    /// Processor time of framing and parsing, in nanoseconds.
    pub processor_ns: f64,
}

/// Why a point could not be measured.
#[derive(Debug)]
pub enum PointError {
    /// The snapshot exceeds the size limit of the watch.
    Refused {
        /// Size of the snapshot.
        bytes: usize,
        /// Error of the watch.
        reason: String,
    },
    /// The mixer or the lab failed.
    Failed(String),
}

impl From<String> for PointError {
    fn from(reason: String) -> PointError {
        PointError::Failed(reason)
    }
}

impl From<&str> for PointError {
    fn from(reason: &str) -> PointError {
        PointError::Failed(reason.into())
    }
}

/// Reads the snapshot of `fleet` through the codec of the watch.
///
/// # Errors
/// The codec or parser refuses the snapshot, or the snapshot is incomplete.
pub fn read_snapshot(fleet: Fleet, version: u64) -> Result<ReadSnapshot, PointError> {
    let mut codec = WatchCodec::default();
    let mut buffer = BytesMut::from(RESPONSE_HEAD);
    let (mut bytes, mut processor_ns) = (0, 0.0);
    for chunk in fleet.snapshot(version) {
        bytes += chunk.len();
        buffer.extend_from_slice(chunk.as_bytes());
        let timer = ProcessorTimer::start();
        let update = next_update(&mut codec, &mut buffer)
            .map_err(|reason| refusal(fleet, version, reason))?;
        processor_ns += timer.elapsed_ns();
        if let Some(update) = update {
            return Ok(ReadSnapshot {
                update,
                bytes,
                processor_ns,
            });
        }
    }
    Err(PointError::Failed(
        "the endpoint list ended within a JSON object".into(),
    ))
}

/// The next complete update in the buffer, if any.
fn next_update(
    codec: &mut WatchCodec,
    buffer: &mut BytesMut,
) -> Result<Option<EndpointUpdate>, String> {
    while let Some(object) = codec.decode(buffer).map_err(|error| error.to_string())? {
        let update = endpoint_updates::parse(&object).map_err(|error| error.to_string())?;
        if update.is_some() {
            return Ok(update);
        }
    }
    Ok(None)
}

fn refusal(fleet: Fleet, version: u64, reason: String) -> PointError {
    PointError::Refused {
        bytes: fleet.snapshot(version).map(|chunk| chunk.len()).sum(),
        reason,
    }
}
