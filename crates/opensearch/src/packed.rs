//! Bodies under gzip, both ways, with a bound on what one unpacks to.

use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// Answers shorter than this are sent as they are.
pub const WORTH_PACKING: usize = 1024;

/// Unpacks a body, up to `most` bytes: whatever it would unpack to, no more is ever held.
///
/// # Errors
/// It is no gzip, or longer than that.
pub fn unpack(body: &[u8], most: usize) -> Result<Vec<u8>, String> {
    let mut plain = Vec::new();
    let mut reader = MultiGzDecoder::new(body).take(most as u64 + 1);
    reader
        .read_to_end(&mut plain)
        .map_err(|e| format!("the body is no gzip: {e}"))?;
    if plain.len() > most {
        return Err(format!("the body unpacks to more than {most} bytes"));
    }
    Ok(plain)
}

/// Packs an answer; none if that fails, which memory never does.
pub fn pack(body: &[u8]) -> Option<Vec<u8>> {
    let mut packer = GzEncoder::new(Vec::with_capacity(body.len() / 4), Compression::fast());
    packer.write_all(body).ok()?;
    packer.finish().ok()
}
