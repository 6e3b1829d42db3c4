//! The bounds that the memory limit sets in the reducer and the codecs. `crates/standins/tests/memory_limit.rs` has the
//! memory of real processes.

use bytes::BytesMut;
use cottonhill_decisions::EndpointStatus;
use cottonhill_mixer::protocol::endpoint_updates::{
    EndpointEntry, EndpointUpdate, Status, UpdateError,
};
use cottonhill_mixer::protocol::http::WatchCodec;
use cottonhill_mixer::reducer::replicas::{EndpointChanges, Replicas};
use tokio_util::codec::Decoder;

fn snapshot_of(version: u64, names: &[&str]) -> EndpointUpdate {
    let entry = |name: &&str| EndpointEntry {
        name: (*name).into(),
        address: Some(
            "127.0.0.1:7070"
                .parse::<std::net::SocketAddr>()
                .unwrap()
                .into(),
        ),
        zone: "north".into(),
        cell: 0,
        status: Status::Up,
        started_ms: 0,
    };
    EndpointUpdate {
        version,
        snapshot: true,
        entries: names.iter().map(entry).collect(),
        invalid_entries: 0,
    }
}

fn removed(changes: &EndpointChanges) -> usize {
    let is_removed = |status| status == EndpointStatus::Removed;
    let statuses = changes.endpoints.iter().map(|endpoint| endpoint.status);
    statuses.filter(|status| is_removed(*status)).count()
}

/// Guards against a discovery whose ever new servers fill the memory.
#[test]
fn records_of_removed_servers_make_room_and_further_servers_are_ignored() {
    let mut replicas = Replicas::new(Vec::new());
    replicas.limit_records(3);
    let first = replicas.apply_update(0, snapshot_of(1, &["a", "b", "c"]));
    assert_eq!((first.endpoints.len(), first.ignored_entries), (3, 0));
    let second = replicas.apply_update(1, snapshot_of(2, &["a", "d", "e", "f"]));
    assert_eq!((replicas.len(), second.ignored_entries), (3, 1));
    assert_eq!(removed(&second), 2);
    assert!(replicas.id_by_name("a").is_some() && replicas.id_by_name("f").is_none());
    let third = replicas.apply_update(2, snapshot_of(3, &["f"]));
    assert_eq!((third.ignored_entries, removed(&third)), (0, 3));
    assert!(replicas.id_by_name("f").is_some());
}

/// Guards against an update whose parsed entries take more memory than its text.
#[test]
fn rejects_update_with_more_entries_than_allowed_before_it_is_complete() {
    let mut codec = WatchCodec::default().with_max_entries(2);
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
    let entry = "{\"name\":\"s\",\"labels\":{}},";
    let mut bytes =
        BytesMut::from((head.to_string() + "{\"endpoints\":[" + &entry.repeat(2)).as_str());
    assert!(codec.decode(&mut bytes).is_ok());
    bytes.extend_from_slice(entry.as_bytes());
    let error = codec.decode(&mut bytes).unwrap_err();
    let source = error.get_ref().and_then(|source| source.downcast_ref());
    assert_eq!(
        source,
        Some(&UpdateError::OverMemoryLimit { max_entries: 2 })
    );
}
