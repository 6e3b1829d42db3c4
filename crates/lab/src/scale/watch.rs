//! A whole list read as the watch on discovery reads it.

use super::fleet::Fleet;
use crate::meter::Stopwatch;
use bytes::BytesMut;
use cottonhill_mixer::protocol::discovery::{self, Listing};
use cottonhill_mixer::protocol::http::WatchCodec;
use tokio_util::codec::Decoder;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";

/// A list that was read.
pub struct Whole {
    pub listing: Listing,
    /// Length of the list as JSON.
    pub bytes: usize,
    /// Processor time of framing and parsing, in nanoseconds.
    pub processor_ns: f64,
    /// Why the watch refuses it; it was read past that bound then.
    pub refused: Option<String>,
}

/// Reads the whole list of `fleet` through the watch's codec; past its bound where the codec refuses.
///
/// # Errors
/// A list that is no list.
pub fn read_whole(fleet: Fleet, version: u64) -> Result<Whole, String> {
    match through_codec(fleet, version) {
        Ok(whole) => Ok(whole),
        Err(why) => past_bound(fleet, version, why),
    }
}

fn through_codec(fleet: Fleet, version: u64) -> Result<Whole, String> {
    let mut codec = WatchCodec::default();
    let mut buffer = BytesMut::from(HEAD);
    let (mut bytes, mut processor_ns) = (0, 0.0);
    for piece in fleet.whole_list(version) {
        bytes += piece.len();
        buffer.extend_from_slice(piece.as_bytes());
        let watch = Stopwatch::start();
        while let Some(object) = codec.decode(&mut buffer).map_err(|e| e.to_string())? {
            if let Some(listing) = discovery::read(&object).map_err(|why| why.to_string())? {
                processor_ns += watch.nanos();
                return Ok(Whole { listing, bytes, processor_ns, refused: None });
            }
        }
        processor_ns += watch.nanos();
    }
    Err("the list ended within an object".into())
}

fn past_bound(fleet: Fleet, version: u64, why: String) -> Result<Whole, String> {
    let mut text = String::new();
    text.extend(fleet.whole_list(version));
    let watch = Stopwatch::start();
    let listing = discovery::read(text.as_bytes()).map_err(|why| why.to_string())?.ok_or("an empty list")?;
    let processor_ns = watch.nanos();
    Ok(Whole { listing, bytes: text.len(), processor_ns, refused: Some(why) })
}
