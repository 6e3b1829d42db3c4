//! Gzip compression and decompression of bodies, with a limit on the decompressed size.

use flate2::read::MultiGzDecoder;
use flate2::write::GzEncoder;
use flate2::Compression;
use std::io::{Read, Write};

/// Minimum size of a response that is compressed; a shorter one is sent uncompressed.
pub const MIN_COMPRESSED_BYTES: usize = 1024;

/// Decompresses a body of up to `max_bytes`. Decompression stops one byte after that, so a small body cannot exhaust
/// the memory.
///
/// # Errors
/// The body is not valid gzip, or its decompressed size exceeds the limit.
pub fn decompress(body: &[u8], max_bytes: usize) -> Result<Vec<u8>, String> {
    let mut decompressed = Vec::new();
    let mut decoder = MultiGzDecoder::new(body).take(max_bytes as u64 + 1);
    decoder
        .read_to_end(&mut decompressed)
        .map_err(|e| format!("the body is no gzip: {e}"))?;
    if decompressed.len() > max_bytes {
        return Err(format!("the body unpacks to more than {max_bytes} bytes"));
    }
    Ok(decompressed)
}

/// Compresses a response; `None` if writing the output fails, which does not happen in memory.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::with_capacity(body.len() / 4), Compression::fast());
    encoder.write_all(body).ok()?;
    encoder.finish().ok()
}
