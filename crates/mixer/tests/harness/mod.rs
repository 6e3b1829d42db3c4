//! A harness that drives a reducer with inputs and performs its effects as sockets would. It checks the invariants of
//! connections and frames at each effect.

#![allow(dead_code)] // Each test file uses a different part.

pub mod clients;
mod discovery;
mod leaf_servers;
mod settings_texts;

#[allow(unused_imports)] // Each test file uses a different part.
pub use {
    clients::query_request,
    discovery::{discovery_switched, listed, ListedEndpoint},
    settings_texts::{deployments, non_idempotent_settings, SETTINGS},
};

use cottonhill_decisions::Nanos;
use cottonhill_mixer::protocol::leaf_frames::{CallPart, LeafRequest};
use cottonhill_mixer::protocol::query_json::Reply;
use cottonhill_mixer::reducer::usage::{UsageRecord, Watermark};
use cottonhill_mixer::reducer::{ClientId, ConnectionId, Effect, Input, Reducer, WatchId};
use cottonhill_mixer::settings;
use discovery::{endpoint_update, update_from_json, AnnouncedStatus};
use std::collections::{BTreeMap, BTreeSet};

/// One millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// The time at the start of a test, on the reducer's clock.
pub const START: Nanos = 1_000_000 * MS;
/// How long calls may still start after a drain was announced.
pub const DRAIN_GRACE: Nanos = 250 * MS;
/// The timeout of a client's query unless a test sets another one.
pub const DEFAULT_TIMEOUT_MS: u64 = 5000;
/// The value of `limits.streams_per_conn` in [`SETTINGS`].
const STREAMS_PER_CONNECTION: usize = 4;
const DEFAULT_DESCRIPTORS: usize = 1024;
const SEED: u64 = 7;

/// A reply and the time at which it was sent.
#[derive(Debug)]
pub struct SentReply {
    pub sent_at: Nanos,
    pub reply: Reply,
}

/// The simulated socket of a connection to a leaf server.
#[derive(Debug)]
pub struct LeafSocket {
    pub address: String,
    pub is_open: bool,
}

/// A frame that was passed to the socket of a connection.
#[derive(Debug)]
pub struct SentFrame {
    pub connection: ConnectionId,
    pub frame: LeafRequest,
}

/// A reducer under test, its simulated sockets, and a record of its effects.
pub struct Harness {
    pub reducer: Reducer,
    pub now: Nanos,
    /// The replies to each client, in the order in which they were sent.
    pub replies: BTreeMap<ClientId, Vec<SentReply>>,
    pub disconnected_clients: BTreeSet<ClientId>,
    pub connections: BTreeMap<ConnectionId, LeafSocket>,
    /// All frames that were passed to sockets, in order.
    pub frames: Vec<SentFrame>,
    /// The ids of the parts in flight on each connection, oldest first.
    pub in_flight: BTreeMap<ConnectionId, Vec<String>>,
    /// The clients whose connections the reducer closed.
    pub closed_clients: Vec<ClientId>,
    pub is_listening: bool,
    pub has_exited: bool,
    /// Whether a write completes only when the test calls [`Harness::complete_write`].
    pub writes_stalled: bool,
    /// The version from which each requested watch resumes.
    pub watches: Vec<Option<u64>>,
    /// The current watch.
    pub watch: WatchId,
    pub stopped_watches: Vec<WatchId>,
    pub usage_records: Vec<UsageRecord>,
    pub watermarks: Vec<Watermark>,
    /// The last announced status of each address.
    announced: BTreeMap<String, AnnouncedStatus>,
    /// The connections with an incomplete write.
    writing: BTreeSet<ConnectionId>,
    last_client: ClientId,
    list_version: u64,
}

/// The address at which a replica listens.
pub fn address(replica: u64) -> String {
    format!("127.0.{}.{}:7070", replica / 256, replica % 256)
}

impl Harness {
    /// Creates a harness with this number of ready replicas in one cell.
    pub fn new(replicas: u64) -> Harness {
        Harness::with_settings(SETTINGS, replicas)
    }

    pub fn with_settings(settings_text: &str, replicas: u64) -> Harness {
        let mut harness = Harness::with_cached_list(settings_text, replicas, DEFAULT_DESCRIPTORS);
        harness.apply_update(endpoint_update(1, false, &[]));
        harness
    }

    /// Creates a harness with an endpoint list that was cached before a restart, and without an update from discovery.
    pub fn with_cached_list(settings_text: &str, replicas: u64, descriptors: usize) -> Harness {
        let endpoints: Vec<_> = (1..=replicas).map(|r| listed(r, "up")).collect();
        let reducer = Reducer::new(
            START,
            settings::parse_mixer(settings_text).unwrap(),
            settings::parse_decisions(settings_text).unwrap(),
            SEED,
            &endpoint_update(1, true, &endpoints),
            descriptors,
        );
        let mut harness = Harness {
            reducer,
            now: START,
            replies: BTreeMap::new(),
            disconnected_clients: BTreeSet::new(),
            connections: BTreeMap::new(),
            frames: Vec::new(),
            in_flight: BTreeMap::new(),
            closed_clients: Vec::new(),
            is_listening: true,
            has_exited: false,
            writes_stalled: false,
            watches: Vec::new(),
            watch: WatchId::FIRST,
            stopped_watches: Vec::new(),
            usage_records: Vec::new(),
            watermarks: Vec::new(),
            announced: BTreeMap::new(),
            writing: BTreeSet::new(),
            last_client: 0,
            list_version: 1,
        };
        for replica in 1..=replicas {
            harness.announce_status(&address(replica), "up");
        }
        harness
    }

    /// Creates a harness with one cell per shard, so that each shard is served by exactly one replica.
    pub fn with_one_replica_per_shard(shards: u64, descriptors: usize) -> Harness {
        let settings_text = SETTINGS
            .replace("extra.places=1", &format!("extra.places={shards}"))
            .replace("extra.ranges=8", &format!("extra.ranges={shards}"))
            .replace("open_cap=60", "open_cap=5000");
        let mut harness = Harness::with_cached_list(&settings_text, 0, descriptors);
        for replica in 1..=shards {
            harness.announce_status(&address(replica), "up");
        }
        let entry = |replica: u64| {
            serde_json::json!({
                "name": format!("s-{replica}"),
                "address": address(replica),
                "zone": "north",
                "group": replica - 1,
                "status": "up",
            })
        };
        let entries = (1..=shards).map(entry).collect();
        harness.apply_update(update_from_json(2, true, entries));
        harness
    }
}

/// Batches, effects and the clock.
impl Harness {
    /// Applies one input and processes the batch.
    pub fn apply(&mut self, input: Input) {
        self.apply_batch([input]);
    }

    /// Applies inputs that arrive at the same time, in this order, and processes them as one batch.
    pub fn apply_batch(&mut self, inputs: impl IntoIterator<Item = Input>) {
        let mut effects = Vec::new();
        for input in inputs.into_iter().chain([Input::ProcessBatch]) {
            effects.extend(self.reducer.apply(self.now, input));
        }
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Advances the clock and processes a batch whenever one is due.
    pub fn advance_ms(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms * MS;
        while let Some(due) = self.reducer.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.apply(Input::ProcessBatch);
        }
        self.now = end;
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::RecordUsage(record) => self.usage_records.push(record),
            Effect::RecordWatermark(watermark) => self.watermarks.push(watermark),
            Effect::Reply {
                client,
                reply,
                close,
            } => self.send_reply(client, reply, close),
            Effect::CloseClient { client, .. } => {
                self.closed_clients.push(client);
                self.apply(Input::ClientClosed { client });
            }
            Effect::AbortResponse { client } => self.apply(Input::ClientClosed { client }),
            Effect::Connect {
                connection,
                address,
            } => self.connect_to_leaf(connection, address.to_string()),
            Effect::WriteFrame { connection, frame } => self.write_frame(connection, frame),
            Effect::CloseConnection { connection } => self.remove_connection(connection),
            Effect::WatchEndpoints {
                watch,
                from_version,
                ..
            } => {
                self.watches.push(from_version);
                self.watch = watch;
            }
            Effect::StopWatch { watch } => self.stopped_watches.push(watch),
            Effect::SendDatagram { .. } => {}
            Effect::CloseListener => {
                self.is_listening = false;
                self.apply(Input::ListenerClosed);
            }
            // No frontend is part of the harness.
            Effect::RefuseIncompleteRequests => {}
            Effect::Exit(_) => self.has_exited = true,
        }
    }

    fn send_reply(&mut self, client: ClientId, reply: Reply, close: bool) {
        let sent_at = self.now;
        let replies = self.replies.entry(client).or_default();
        replies.push(SentReply { sent_at, reply });
        if close {
            self.apply(Input::ClientClosed { client });
        }
    }

    fn connect_to_leaf(&mut self, connection: ConnectionId, address: String) {
        assert!(
            self.announced[&address].is_up(),
            "connection opened to an endpoint that is draining or removed"
        );
        let socket = LeafSocket {
            address,
            is_open: false,
        };
        self.connections.insert(connection, socket);
    }

    fn write_frame(&mut self, connection: ConnectionId, frame: LeafRequest) {
        let socket = &self.connections[&connection];
        assert!(
            socket.is_open,
            "frame written before the connection is open"
        );
        assert!(
            self.writing.insert(connection),
            "frame written while another write is incomplete"
        );
        match &frame {
            LeafRequest::Call(parts) => {
                assert!(
                    self.announced[&socket.address].is_up(),
                    "call written to an endpoint that is draining or removed"
                );
                self.add_in_flight(connection, parts);
            }
            LeafRequest::Cancel(id) => {
                let in_flight = self.in_flight.entry(connection).or_default();
                in_flight.retain(|other| **other != **id);
            }
            LeafRequest::Probe | LeafRequest::ProbeLoad => {}
        }
        self.frames.push(SentFrame { connection, frame });
        if !self.writes_stalled {
            self.complete_write(connection);
        }
    }

    fn add_in_flight(&mut self, connection: ConnectionId, parts: &[CallPart]) {
        let in_flight = self.in_flight.entry(connection).or_default();
        for part in parts {
            let id = part.id.to_string();
            assert!(
                !in_flight.contains(&id),
                "{id} is already in flight on this connection"
            );
            in_flight.push(id);
        }
        assert!(
            in_flight.len() <= STREAMS_PER_CONNECTION,
            "more parts in flight than streams_per_conn"
        );
    }

    /// Completes the write of the frame that was passed to the socket, from its first byte to its last.
    pub fn complete_write(&mut self, connection: ConnectionId) {
        let Some(socket) = self
            .connections
            .get(&connection)
            .filter(|_| self.writing.remove(&connection))
        else {
            return;
        };
        let address = &socket.address;
        let announced = &self.announced[address];
        let is_call = self
            .frames
            .iter()
            .rfind(|sent| sent.connection == connection)
            .is_some_and(|sent| matches!(sent.frame, LeafRequest::Call(_)));
        let is_after_grace = !announced.is_up() && self.now > announced.since + DRAIN_GRACE;
        assert!(
            !is_call || !is_after_grace,
            "first byte of a call {} ms after {address} was announced as {}",
            (self.now - announced.since) / MS,
            announced.status
        );
        self.apply(Input::FrameWritten { connection });
    }
}
