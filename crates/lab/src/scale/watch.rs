//! A whole list read as the watch on discovery reads it.

use super::fleet::Fleet;
use crate::meter::Stopwatch;
use bytes::BytesMut;
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointUpdate};
use cottonhill_mixer::protocol::http::WatchCodec;
use tokio_util::codec::Decoder;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";

/// A list that was read.
pub struct ReadList {
    pub listing: EndpointUpdate,
    pub bytes: usize,
    /// Processor time of framing and parsing, in nanoseconds.
    pub processor_ns: f64,
}

/// Why a point could not be measured.
#[derive(Debug)]
pub enum Unmeasured {
    /// Its list is over the watch's bound: the list's size, and what the watch says.
    Refused { bytes: usize, why: String },
    /// The program or the rig did something else than it should.
    Failed(String),
}

impl From<String> for Unmeasured {
    fn from(why: String) -> Unmeasured {
        Unmeasured::Failed(why)
    }
}

impl From<&str> for Unmeasured {
    fn from(why: &str) -> Unmeasured {
        Unmeasured::Failed(why.into())
    }
}

/// Reads the whole list of `fleet` through the watch's codec.
///
/// # Errors
/// A list over the watch's bound, or that is no list.
pub fn read_whole(fleet: Fleet, version: u64) -> Result<ReadList, Unmeasured> {
    let mut codec = WatchCodec::default();
    let mut buffer = BytesMut::from(HEAD);
    let (mut bytes, mut processor_ns) = (0, 0.0);
    for piece in fleet.whole_list(version) {
        bytes += piece.len();
        buffer.extend_from_slice(piece.as_bytes());
        let watch = Stopwatch::start();
        let listing =
            next_listing(&mut codec, &mut buffer).map_err(|why| refusal(fleet, version, why))?;
        processor_ns += watch.nanos();
        if let Some(listing) = listing {
            return Ok(ReadList {
                listing,
                bytes,
                processor_ns,
            });
        }
    }
    Err(Unmeasured::Failed("the list ended within an object".into()))
}

/// The next list in what has come, if it is whole.
fn next_listing(
    codec: &mut WatchCodec,
    buffer: &mut BytesMut,
) -> Result<Option<EndpointUpdate>, String> {
    while let Some(object) = codec.decode(buffer).map_err(|error| error.to_string())? {
        let listing = endpoint_updates::parse(&object).map_err(|error| error.to_string())?;
        if listing.is_some() {
            return Ok(listing);
        }
    }
    Ok(None)
}

fn refusal(fleet: Fleet, version: u64, why: String) -> Unmeasured {
    Unmeasured::Refused {
        bytes: fleet.whole_list(version).map(|piece| piece.len()).sum(),
        why,
    }
}
