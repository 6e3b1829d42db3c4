//! The adapter program on standard input and output, as the simulator runs it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "classes.count=1\nclasses.0.aim_ns=2000000000\nclasses.0.give_up_ns=6000000000\n\
classes.0.semantics=read_like\nextra.places=1\nextra.reach=1\nextra.ranges=2\nextra.class_need=1.0\n\
extra.least_share=1.0\nextra.partial_earns=0.9\nextra.second_step=0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.retry_after=true\nlimits.max_retry_after_ns=7\nnever.heard.of=this\n";

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cottonhill-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut pipe = child.stdin.take().expect("a pipe");
    // The adapter may end before it has read all of an invalid input.
    let _ = pipe.write_all(input);
    drop(pipe);
    child.wait_with_output().expect("the adapter ends")
}

fn record(bytes: &[&[u8]]) -> Vec<u8> {
    let mut out = bytes.concat();
    out.resize(56, 0);
    out
}

fn frame(number: u32, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = [records.concat(), tail.to_vec()].concat();
    let mut out = number.to_le_bytes().to_vec();
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(8_411_201_424u64.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(body);
    out
}

fn start_record(instance: u16, tail: &mut Vec<u8>, settings: &str) -> Vec<u8> {
    let offset = tail.len() as u32;
    tail.extend(settings.as_bytes());
    let length = settings.len() as u32;
    record(&[
        &[1],
        &instance.to_le_bytes(),
        &[9; 8],
        &offset.to_le_bytes(),
        &length.to_le_bytes(),
    ])
}

fn endpoint_list_record(number: u32, tail: &mut Vec<u8>, address: &[u8; 6]) -> Vec<u8> {
    let offset = tail.len() as u32;
    tail.extend(
        [
            &[0, 0],
            &address[..],
            &[0, 0],
            &1f32.to_le_bytes(),
            &[0; 8],
            &[0, 0],
            &[1],
        ]
        .concat(),
    );
    record(&[
        &[3],
        &number.to_le_bytes(),
        &offset.to_le_bytes(),
        &1u32.to_le_bytes(),
    ])
}

fn endpoints_updated_record(instance: u16, number: u32) -> Vec<u8> {
    record(&[
        &[8],
        &instance.to_le_bytes(),
        &number.to_le_bytes(),
        &[0; 8],
        &[2],
    ])
}

fn request_record(instance: u16, id: u64, shard: f32, weight: f32) -> Vec<u8> {
    record(&[
        &[7],
        &instance.to_le_bytes(),
        &id.to_le_bytes(),
        &shard.to_le_bytes(),
        &3_000_000_000u64.to_le_bytes(),
        &[0; 8],
        &[0; 2],
        &4f32.to_le_bytes(),
        &[0; 12],
        &[0],
        &weight.to_le_bytes(),
    ])
}

fn reply_records(output: &Output) -> Vec<Vec<Vec<u8>>> {
    let (mut bytes, mut found) = (&output.stdout[..], Vec::new());
    while !bytes.is_empty() {
        let field = |position: usize| {
            u32::from_le_bytes(bytes[position..position + 4].try_into().unwrap()) as usize
        };
        let (count, length) = (field(4), field(8));
        assert!(
            count * 32 <= length,
            "the records fit in the length of the reply"
        );
        found.push(
            bytes[12..12 + count * 32]
                .chunks(32)
                .map(<[u8]>::to_vec)
                .collect(),
        );
        bytes = &bytes[12 + length..];
    }
    found
}

#[test]
fn empty_batch_gets_an_empty_reply_and_end_of_input_ends_the_program() {
    let output = run_adapter(&frame(1, &[], &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn part_is_sent_to_the_listed_replica_in_the_layout_of_the_wire() {
    let mut tail = Vec::new();
    let address = [10, 18, 74, 7, 0x2b, 0x23];
    let start = start_record(3, &mut tail, SETTINGS);
    let list = endpoint_list_record(0, &mut tail, &address);
    let records = [
        start,
        list,
        endpoints_updated_record(3, 0),
        request_record(3, 77, -1.0, 1.0),
        request_record(3, 78, 0.0, 1.0),
    ];
    let output = run_adapter(&frame(5, &records, &tail));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let reply = &reply_records(&output)[0];
    let send = reply
        .iter()
        .find(|r| r[0] == 1)
        .expect("an action that sends the part");
    assert_eq!(send[1..3], [3, 0]);
    assert_eq!(send[3..11], 78u64.to_le_bytes());
    assert_eq!(send[11..17], address);
    assert!(
        reply.iter().any(|r| r[0] == 5),
        "an action that sets a timer"
    );
}

#[test]
fn endpoint_list_number_reused_within_a_batch_is_resolved_in_order() {
    let mut tail = Vec::new();
    let (old, new) = ([1, 1, 1, 1, 1, 1], [2, 2, 2, 2, 2, 2]);
    let mut records = vec![
        start_record(0, &mut tail, SETTINGS),
        start_record(1, &mut tail, SETTINGS),
    ];
    records.extend([
        endpoint_list_record(4, &mut tail, &old),
        endpoints_updated_record(0, 4),
        endpoint_list_record(4, &mut tail, &new),
        endpoints_updated_record(1, 4),
    ]);
    for instance in [0, 1] {
        records.extend([
            request_record(instance, 7, -1.0, 1.0),
            request_record(instance, 8, 0.0, 1.0),
        ]);
    }
    let output = run_adapter(&frame(1, &records, &tail));
    let sent: Vec<_> = reply_records(&output)[0]
        .iter()
        .filter(|r| r[0] == 1)
        .map(|r| (r[1], r[11]))
        .collect();
    assert_eq!(sent, [(0, 1), (1, 2)]);
}

#[test]
fn restarted_instance_has_no_state() {
    let mut tail = Vec::new();
    let start = start_record(0, &mut tail, SETTINGS);
    let list = endpoint_list_record(0, &mut tail, &[1; 6]);
    let first = frame(
        1,
        &[
            start,
            list,
            endpoints_updated_record(0, 0),
            request_record(0, 7, -1.0, 1.0),
            request_record(0, 8, 0.0, 1.0),
        ],
        &tail,
    );
    let mut tail = Vec::new();
    let restart = start_record(0, &mut tail, SETTINGS);
    let stop = record(&[&[4], &[0, 0]]);
    let timer = record(&[&[5], &[0, 0]]);
    let output = run_adapter(&[first, frame(2, &[stop, restart, timer], &tail)].concat());
    assert!(output.status.success());
    assert_eq!(reply_records(&output)[1], Vec::<Vec<u8>>::new());
}

/// Runs the adapter with invalid input, which must fail without a reply and with one line on standard error; returns the
/// line.
fn error_message(input: &[u8]) -> String {
    let output = run_adapter(input);
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn malformed_frames_are_reported() {
    assert!(error_message(&[1, 2, 3]).contains("header truncated"));
    let complete = frame(6, &[record(&[&[5], &[0, 0]])], &[]);
    assert!(error_message(&complete[..40]).contains("batch 6 truncated"));
    let mut too_many_records = complete.clone();
    too_many_records[16] = 9;
    assert!(error_message(&too_many_records).contains("do not fit"));
    assert!(error_message(&frame(1, &[record(&[&[99]])], &[])).contains("unknown event code 99"));
    let past_tail = record(&[&[1], &[0; 10], &50u32.to_le_bytes(), &9u32.to_le_bytes()]);
    assert!(error_message(&frame(1, &[past_tail], &[])).contains("past the tail"));
    assert!(error_message(&frame(1, &[endpoints_updated_record(0, 3)], &[])).contains("list 3"));
    let outcome = record(&[&[6], &[0; 17], &77u16.to_le_bytes()]);
    assert!(error_message(&frame(1, &[outcome], &[])).contains("unknown outcome code 77"));
}

#[test]
fn invalid_settings_are_reported() {
    let message_with = |from: &str, to: &str| {
        let mut tail = Vec::new();
        let start = start_record(0, &mut tail, &SETTINGS.replace(from, to));
        error_message(&frame(1, &[start], &tail))
    };
    assert!(message_with("tick_ns=5000000\n", "").contains("tick_ns is missing"));
    assert!(message_with("aim_ns=2000000000", "aim_ns=0").contains("classes.0.aim_ns"));
    assert!(message_with("least_share=1.0", "least_share=NaN").contains("extra.least_share"));
    assert!(message_with("read_like", "whatever").contains("classes.0.semantics"));
}
