//! Codecs must not panic on any received bytes.

mod decoding;

use bytes::BytesMut;
use cottonhill_mixer::protocol::endpoint_updates;
use cottonhill_mixer::protocol::http::{ServerCodec, WatchCodec};
use cottonhill_mixer::protocol::leaf_frames::LeafCodec;
use decoding::{decode_in_pieces, decode_while_possible};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio_util::codec::Decoder;

/// Well-formed prefixes of a message, which are followed by arbitrary bytes.
const PREFIXES: [&str; 4] = [
    "",
    "POST /checkout HTTP/1.1\r\n",
    "POST /checkout HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}",
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default()
    })]

    #[test]
    fn codecs_do_not_panic_on_arbitrary_bytes(
        prefix in 0usize..4,
        noise in prop::collection::vec(any::<u8>(), 0..200),
        piece_sizes in prop::collection::vec(1usize..40, 1..4),
    ) {
        let bytes = [PREFIXES[prefix].as_bytes(), &noise].concat();
        decode_in_pieces(&mut ServerCodec::default(), &bytes, &piece_sizes);
        decode_while_possible(&mut WatchCodec::default(), &bytes);
        // Each object is decoded with a new codec, as if the remaining bytes were the start of another response.
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = WatchCodec::default().decode(&mut buffer) {}
        let length = (noise.len() as u32).to_be_bytes();
        let frame = [&length[..], b"A", &noise].concat();
        decode_while_possible(&mut LeafCodec::default(), &frame);
        let _ = endpoint_updates::parse(&noise);
    }
}
