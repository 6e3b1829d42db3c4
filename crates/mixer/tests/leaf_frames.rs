//! Encoding and decoding of the frames between mixer and leaf servers: as specified, split at any byte, and malformed.

mod decoding;

use bytes::{Bytes, BytesMut};
use cottonhill_mixer::protocol::leaf_frames::{
    CallPart, LeafCodec, LeafRequest, LeafResponse, PartStatus,
};
use decoding::{decode_in_pieces, leaf_frame};
use tokio_util::codec::Encoder;

fn call_part(id: &str, shard: u32) -> CallPart {
    CallPart {
        id: id.into(),
        shard,
        timeout_ms: 240,
        text: Bytes::from("c41e77d0"),
    }
}

fn encode(frame: LeafRequest) -> BytesMut {
    let mut bytes = BytesMut::new();
    LeafCodec::default().encode(frame, &mut bytes).unwrap();
    bytes
}

#[test]
fn encodes_and_decodes_leaf_frames_as_specified() {
    let call = LeafRequest::Call(vec![call_part("9b1f.3", 3), call_part("9b1f.9", 9)]);
    assert_eq!(
        &encode(call)[..],
        b"\0\0\0\x33Q9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240 8\nc41e77d0"
    );
    let cancel = LeafRequest::Cancel("9b1f.3".into());
    assert_eq!(&encode(cancel)[..], b"\0\0\0\x07X9b1f.3");
    let answers = b"\0\0\0\x16A9b1f.3 ok 1840 -\n5be2\0\0\0\x03Pok\0\0\0\x11A9b1f.9 busy 0 -\n";
    for piece_sizes in [[1], [7], [100]] {
        let frames = decode_in_pieces(&mut LeafCodec::default(), answers, &piece_sizes);
        let answer = LeafResponse::Answer {
            id: "9b1f.3".to_string(),
            status: PartStatus::Ok,
            report: "-".to_string(),
            value: Bytes::from("5be2"),
        };
        assert_eq!(frames[0], answer);
        let probe_answer = LeafResponse::ProbeAnswer {
            ok: true,
            report: "ok".into(),
        };
        assert_eq!(frames[1], probe_answer);
        assert!(matches!(
            &frames[2],
            LeafResponse::Answer {
                status: PartStatus::Busy,
                ..
            }
        ));
    }
}

fn decode(bytes: &[u8]) -> Vec<LeafResponse> {
    decode_in_pieces(&mut LeafCodec::default(), bytes, &[9])
}

fn malformed(id: Option<&str>) -> LeafResponse {
    LeafResponse::Malformed(id.map(str::to_string))
}

#[test]
fn reports_malformed_leaf_frames_with_part_id_if_known() {
    for text in [
        "A9b1f.3  1840 -\n5be2",
        "A9b1f.3 ? 1 -\n5be2",
        "A9b1f.3 ok x -\n5be2",
        "A9b1f.3 ok 1 -\n",
        "A9b1f.3 ok 1840 -",
        "A9b1f.3 ok 1\n5be2",
    ] {
        let frames = decode(&leaf_frame(text));
        assert_eq!(frames, [malformed(Some("9b1f.3"))], "{text}");
    }
    // An invalid length or frame type is reported before the frame is complete.
    for start in [
        "\0\0\0\x36\x01",
        "\0\0\0\0A",
        "xxxx",
        "\x03\0\0\0A9",
        "\0\0\x10\0P",
    ] {
        assert_eq!(decode(start.as_bytes()), [malformed(None)], "{start:?}");
    }
    check_nothing_is_decoded_after_malformed_frame();
    check_abandoned_frames();
}

fn check_nothing_is_decoded_after_malformed_frame() {
    let bytes = [
        leaf_frame("A9b1f.3 ok 1840 nan\n5be2"),
        b"\x8f\x9cx noise".to_vec(),
        leaf_frame("Pok"),
    ]
    .concat();
    let frames = decode(&bytes);
    assert!(
        matches!(&frames[0], LeafResponse::Answer { status: PartStatus::Ok, report, .. } if report == "nan")
    );
    assert_eq!(
        frames[1..],
        [malformed(None)],
        "nothing is decoded after a malformed frame"
    );
}

fn check_abandoned_frames() {
    let mut codec = LeafCodec::default();
    assert_eq!(
        codec.abandon_frame(b"\0\0\0\x36A9b1f.3 o"),
        malformed(Some("9b1f.3"))
    );
    assert_eq!(
        codec.abandon_frame(b"\0\0\0\x36A9b1f"),
        malformed(None),
        "the id may be incomplete"
    );
}
