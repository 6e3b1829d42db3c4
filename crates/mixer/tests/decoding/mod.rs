//! Feeds bytes to a decoder in pieces, as a socket may deliver them.

#![allow(dead_code)] // Each test file uses its own part of it.

use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// All items of bytes that arrive in pieces of these sizes, over and over.
pub fn decode_in_pieces<D: Decoder<Error = std::io::Error>>(
    codec: &mut D,
    bytes: &[u8],
    piece_sizes: &[usize],
) -> Vec<D::Item> {
    let mut items = Vec::new();
    let mut buffer = BytesMut::new();
    let mut rest = bytes;
    for size in piece_sizes.iter().cycle() {
        let piece_length = (*size).max(1).min(rest.len());
        let (piece, later) = rest.split_at(piece_length);
        buffer.extend_from_slice(piece);
        while let Some(item) = codec.decode(&mut buffer).expect("no i/o error") {
            items.push(item);
        }
        rest = later;
        if rest.is_empty() {
            break;
        }
    }
    items
}

/// Decodes until the bytes are used up, an item is incomplete or the codec refuses them.
pub fn decode_while_possible<D: Decoder>(codec: &mut D, bytes: &[u8]) {
    let mut buffer = BytesMut::from(bytes);
    while let Ok(Some(_)) = codec.decode(&mut buffer) {}
}

/// A frame between mixer and leaf server: a text with its length.
pub fn leaf_frame(text: &str) -> Vec<u8> {
    let length = (text.len() as u32).to_be_bytes();
    [&length[..], text.as_bytes()].concat()
}
