//! Layout of replies, byte by byte, for records that the recorded batches do not contain: logs, crashes, and actions that
//! the decision module does not emit at present.

use cottonhill_decisions::Action;
use cottonhill_simulator_adapter::wire::{InstanceId, Reply};

const BATCH: u32 = 0x0c;
const INSTANCE: InstanceId = InstanceId(5);
const HEADER: usize = 12;
const RECORD: usize = 32;

/// The frame of a reply with one record, which starts with these fields, and this tail.
fn frame(fields: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut frame = BATCH.to_le_bytes().to_vec();
    frame.extend(1u32.to_le_bytes());
    frame.extend((RECORD as u32 + tail.len() as u32).to_le_bytes());
    frame.extend(fields.concat());
    frame.resize(HEADER + RECORD, 0);
    frame.extend(tail);
    frame
}

fn encode(action: Action) -> Vec<u8> {
    let mut reply = Reply::default();
    reply.push_action(INSTANCE, &action);
    reply.to_bytes(BATCH)
}

#[test]
fn a_log_record_refers_to_its_text() {
    let text = "two servers known";
    let expected = frame(&[&[9, 5, 0], &[0; 4], &[0x11, 0, 0, 0]], text.as_bytes());
    assert_eq!(encode(Action::Log(text.into())), expected);
}

#[test]
fn a_crash_record_refers_to_its_message() {
    let mut reply = Reply::default();
    reply.push_crash(INSTANCE, "index out of range");
    let expected = frame(
        &[&[10, 5, 0], &[0; 4], &[0x12, 0, 0, 0]],
        b"index out of range",
    );
    assert_eq!(reply.to_bytes(BATCH), expected);
}

#[test]
fn a_datagram_is_addressed_to_one_peer_or_to_all() {
    for (to, peer) in [(Some(7), [7, 0, 0, 0]), (None, [0xff; 4])] {
        let action = Action::SendDatagram {
            to,
            bytes: vec![1, 2, 3],
        };
        let expected = frame(&[&[8, 5, 0], &peer, &[0; 4], &[3, 0, 0, 0]], &[1, 2, 3]);
        assert_eq!(encode(action), expected);
    }
}

#[test]
fn a_fetch_and_a_subscription_of_the_endpoint_list_have_no_tail() {
    assert_eq!(encode(Action::FetchEndpoints), frame(&[&[12, 5, 0]], &[]));
    for (enabled, flag) in [(true, 1), (false, 0)] {
        let expected = frame(&[&[11, 5, 0, flag]], &[]);
        assert_eq!(encode(Action::SubscribeEndpoints { enabled }), expected);
    }
}

/// The second text follows the first in the tail.
#[test]
fn texts_of_several_records_share_one_tail() {
    let mut reply = Reply::default();
    reply.push_action(INSTANCE, &Action::Log("first".into()));
    reply.push_action(INSTANCE, &Action::Log("second".into()));
    let bytes = reply.to_bytes(BATCH);
    let second = HEADER + RECORD;
    assert_eq!(bytes[second + 3..second + 11], [5, 0, 0, 0, 6, 0, 0, 0]);
    assert_eq!(&bytes[HEADER + 2 * RECORD..], b"firstsecond");
}
