//! Feeds bytes to a decoder in pieces, as a socket may deliver them.

#![allow(dead_code)] // Each test file uses a different part.

use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Decodes bytes that arrive in pieces, whose sizes cycle through `piece_sizes`, and returns all items.
pub fn decode_in_pieces<D: Decoder<Error = std::io::Error>>(
    codec: &mut D,
    bytes: &[u8],
    piece_sizes: &[usize],
) -> Vec<D::Item> {
    let mut items = Vec::new();
    let mut buffer = BytesMut::new();
    let mut remaining = bytes;
    for size in piece_sizes.iter().cycle() {
        let piece_length = (*size).max(1).min(remaining.len());
        let (piece, later) = remaining.split_at(piece_length);
        buffer.extend_from_slice(piece);
        while let Some(item) = codec.decode(&mut buffer).expect("no I/O error") {
            items.push(item);
        }
        remaining = later;
        if remaining.is_empty() {
            break;
        }
    }
    items
}

/// Decodes until the bytes are consumed, an item is incomplete or the codec returns an error.
pub fn decode_while_possible<D: Decoder>(codec: &mut D, bytes: &[u8]) {
    let mut buffer = BytesMut::from(bytes);
    while let Ok(Some(_)) = codec.decode(&mut buffer) {}
}

/// A frame between the mixer and a leaf server: the length of the text, then the text.
pub fn leaf_frame(text: &str) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    [&length[..], text.as_bytes()].concat()
}
