//! Decoding of the endpoint updates in a watch's response: in any layout, split at any byte, and malformed.

mod decoding;

use bytes::BytesMut;
use cottonhill_mixer::protocol::endpoint_updates::{self, EndpointUpdate, Status};
use cottonhill_mixer::protocol::http::WatchCodec;
use decoding::decode_in_pieces;
use serde_json::{json, Value};
use tokio_util::codec::Decoder;

/// A watch's response with each text in a chunk of its own.
fn watch_response(texts: &[&str]) -> Vec<u8> {
    let chunks: String = texts
        .iter()
        .map(|text| format!("{:x}\r\n{text}\r\n", text.len()))
        .collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

/// The updates in a watch's response that arrives in pieces of these sizes.
fn read_updates(response: &[u8], piece_sizes: &[usize]) -> Vec<EndpointUpdate> {
    decode_in_pieces(&mut WatchCodec::default(), response, piece_sizes)
        .iter()
        .filter_map(|object| endpoint_updates::parse(object).unwrap())
        .collect()
}

/// The updates in a watch's response with this text, or the error.
fn read_updates_or_error(text: &str) -> Result<Vec<EndpointUpdate>, String> {
    let mut codec = WatchCodec::default();
    let mut buffer = BytesMut::from(&watch_response(&[text])[..]);
    let mut updates = Vec::new();
    while let Some(object) = codec.decode(&mut buffer).map_err(|e| e.to_string())? {
        updates.extend(endpoint_updates::parse(&object).map_err(|e| e.to_string())?);
    }
    Ok(updates)
}

/// A snapshot of this many endpoints, of which every second is draining.
fn snapshot_of(endpoints: usize) -> Value {
    let entry = |i: usize| {
        let status = if i.is_multiple_of(2) {
            "draining"
        } else {
            "up"
        };
        json!({"name": format!("s-{{\"[{i:08x}\\"), "address": format!("10.1.{}.{}:7070", i / 256, i % 256),
            "zone": "a", "type": "m2", "group": i, "status": status,
            "weight": 1.0, "since_ms": 1_700_000_000_000u64})
    };
    let entries: Vec<Value> = (0..endpoints).map(entry).collect();
    json!({"index": 43, "snapshot": true, "endpoints": entries})
}

fn indented(update: &Value) -> String {
    serde_json::to_string_pretty(update).unwrap()
}

/// A response with two updates in one layout.
struct Layout {
    name: &'static str,
    response: Vec<u8>,
}

fn layouts(first: &Value, second: &Value) -> Vec<Layout> {
    let first_line = first.to_string() + "\n";
    let first_indented = indented(first) + "\n";
    let second_text = second.to_string();
    let second_line = second.to_string() + "\n";
    let single_characters: Vec<String> = first_indented.chars().map(String::from).collect();
    let mut many_chunks: Vec<&str> = single_characters.iter().map(String::as_str).collect();
    many_chunks.push(&second_text);
    vec![
        Layout {
            name: "one line per update, with heartbeats",
            response: watch_response(&["\n", &first_line, "\n\n", &second_line]),
        },
        Layout {
            name: "indented",
            response: watch_response(&["\n", &first_indented, &indented(second)]),
        },
        Layout {
            name: "both in one chunk",
            response: watch_response(&[&(first_indented.clone() + &second_text)]),
        },
        Layout {
            name: "one update in many chunks",
            response: watch_response(&many_chunks),
        },
    ]
}

#[test]
fn reads_endpoint_updates_in_any_layout_and_fragmentation() {
    let first = snapshot_of(3);
    let second = json!({"index": 44, "snapshot": false, "endpoints": []});
    let expected: Vec<EndpointUpdate> = [&first, &second]
        .map(|update| serde_json::from_value(update.clone()).unwrap())
        .into();
    for layout in layouts(&first, &second) {
        check_fragmentation(&layout, &expected);
    }
    for text in [snapshot_of(1024).to_string(), indented(&snapshot_of(1024))] {
        let updates = read_updates(&watch_response(&[&text]), &[16 * 1024]);
        assert_eq!(updates[0].entries.len(), 1024, "{} bytes", text.len());
    }
    assert!(WatchCodec::default()
        .decode(&mut BytesMut::from("HTTP/1.1 503 No\r\n\r\n"))
        .is_err());
}

fn check_fragmentation(layout: &Layout, expected: &[EndpointUpdate]) {
    let Layout { name, response } = layout;
    for piece_sizes in [&[1][..], &[9], &[3, 100], &[100_000]] {
        assert_eq!(
            read_updates(response, piece_sizes),
            expected,
            "{name}, in pieces of {piece_sizes:?}"
        );
    }
    for cut in 1..response.len() {
        assert_eq!(
            read_updates(response, &[cut, response.len()]),
            expected,
            "{name}, cut at {cut}"
        );
    }
}

/// The names and statuses of the entries in the first update, or the error.
fn entries_or_error(text: &str) -> Result<Vec<(String, Status)>, String> {
    let updates = read_updates_or_error(text)?;
    Ok(updates[0]
        .entries
        .iter()
        .map(|entry| (entry.name.to_string(), entry.status))
        .collect())
}

/// An update of version 43 with a valid entry, followed by this one.
fn update_with_entry(snapshot: bool, entry: &str) -> String {
    let valid = r#"{"name":"s-1","address":"10.1.0.1:7070","group":3,"status":"up"}"#;
    format!("{{\"index\":43,\"snapshot\":{snapshot},\"endpoints\":[{valid},{entry}]}}\n")
}

#[test]
fn describes_malformed_update_and_treats_invalid_entry_as_draining() {
    let valid_entry = ("s-1".to_string(), Status::Up);
    let invalid_entry = ("s-2".to_string(), Status::Draining);
    for entry in [
        r#"{"name":"s-2","address":"10.1.0.2:7070","group":70000,"status":"up"}"#,
        r#"{"name":"s-2","address":"10.1.0.2:7070","group":3,"status":"starting"}"#,
        r#"{"name":"s-2","group":3,"status":"up"}"#,
    ] {
        for snapshot in [true, false] {
            let entries = entries_or_error(&update_with_entry(snapshot, entry));
            let expected = vec![valid_entry.clone(), invalid_entry.clone()];
            assert_eq!(entries, Ok(expected), "{entry}");
        }
    }
    let nameless = r#"{"address":"10.1.0.2:7070","group":3,"status":"draining"}"#;
    assert_eq!(
        entries_or_error(&update_with_entry(true, nameless)),
        Ok(vec![valid_entry]),
        "a snapshot is accepted without the entry"
    );
    let error = entries_or_error(&update_with_entry(false, nameless)).unwrap_err();
    assert!(error.contains("entry 1 of version 43 has no valid name"));
    check_malformed_updates();
}

fn check_malformed_updates() {
    for (text, expected) in [
        ("{\"index\":43,\n\"snapshot\":true]\n", "line 2 column 16"),
        (
            "{\"index\":-1,\"snapshot\":true,\"endpoints\":[]}",
            "column 11",
        ),
        ("nothing like it", "line 1 column 1"),
    ] {
        let error = entries_or_error(text).unwrap_err();
        assert!(error.contains(expected), "{text}: {error}");
    }
    let endless = "{\"index\":43,\"endpoints\":[".to_string()
        + &"1,".repeat(endpoint_updates::MAX_UPDATE_BYTES / 2);
    let error = entries_or_error(&endless).unwrap_err();
    assert!(error.contains("over 33554432 bytes"));
}
