//! A reducer that tests drive with inputs in place of sockets. It carries the effects out as sockets would, and checks
//! at each step what must hold at every one.

#![allow(dead_code)] // Each test file uses its own part of it.

use bytes::Bytes;
use cottonhill_decisions::Nanos;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::protocol::leaf_frames::{CallPart, LeafRequest, LeafResponse, PartStatus};
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::usage::{UsageRecord, Watermark};
use cottonhill_mixer::reducer::{ClientId, ConnectionId, Effect, Input, Reducer};
use cottonhill_mixer::settings;
use std::collections::{BTreeMap, BTreeSet};

/// One millisecond, ns.
pub const MS: Nanos = 1_000_000;
/// When a test begins, on the reducer's clock.
pub const START: Nanos = 1_000_000 * MS;
/// How long a client waits unless a test states something else.
pub const DEFAULT_TIMEOUT_MS: u64 = 5000;
/// As the settings have it.
const STREAMS_PER_CONNECTION: usize = 4;
const DEFAULT_DESCRIPTORS: usize = 1024;
const SEED: u64 = 7;
/// Settings as a real deployment has them: class 0 accepts partial answers, class 1 needs every part.
pub const SETTINGS: &str = "classes.count=2\nclasses.0.name=report\nclasses.0.aim_ns=2000000000\n\
classes.0.give_up_ns=5000000000\nclasses.0.semantics=read_like\nclasses.1.name=lookup\n\
classes.1.aim_ns=2000000000\nclasses.1.give_up_ns=6000000000\nclasses.1.semantics=read_like\n\
extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0\nextra.least_share=0.6,1.0\n\
extra.partial_earns=0.9,0.9\nextra.second_step=0,0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nlocalities=north,south\nguarantees.stop_sending_within_ns=250000000\n";
/// For how long after a drain is announced calls may still begin.
pub const DRAIN_GRACE: Nanos = 250 * MS;

/// The settings of four deployments: as above; polling discovery, without cancellation; with short times; with many
/// shards and a non-idempotent class.
pub fn deployments() -> [String; 4] {
    let polling = SETTINGS
        .replace("limits.cancelling=true", "limits.cancelling=false")
        .replace("limits.max_attempts=4", "limits.max_attempts=3")
        .replace("lookup", "history")
        + "discovery=on_request\nguarantees.ask_within_ns=10000000000\n";
    let short_deadlines = SETTINGS
        .replace("_ns=2000000000", "_ns=200000000")
        .replace("_ns=5000000000", "_ns=500000000")
        .replace("_ns=6000000000", "_ns=600000000")
        .replace("_ns=250000000", "_ns=80000000");
    let non_idempotent = non_idempotent_settings()
        .replace("extra.ranges=8", "extra.ranges=512")
        .replace("name=report", "name=ranking");
    [
        SETTINGS.to_string(),
        polling,
        short_deadlines,
        non_idempotent,
    ]
}

/// Class 1 must not be executed twice.
pub fn non_idempotent_settings() -> String {
    SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    )
}

/// A reply and when it was sent.
#[derive(Debug)]
pub struct SentReply {
    pub at: Nanos,
    pub reply: Reply,
}

/// A connection to a leaf server, as its socket sees it.
#[derive(Debug)]
pub struct LeafSocket {
    pub address: String,
    pub is_open: bool,
}

/// A frame that was given to the socket of a connection.
#[derive(Debug)]
pub struct SentFrame {
    pub connection: ConnectionId,
    pub frame: LeafRequest,
}

/// One entry of an endpoint update.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    pub replica: u64,
    /// As on the wire.
    pub status: &'a str,
    pub started: Nanos,
}

/// An entry of a replica that has long been running.
pub fn listed(replica: u64, status: &str) -> ListedEndpoint<'_> {
    ListedEndpoint {
        replica,
        status,
        started: 0,
    }
}

/// What discovery last said of an address.
struct AnnouncedStatus {
    status: String,
    since: Nanos,
}

impl AnnouncedStatus {
    fn is_up(&self) -> bool {
        self.status == "up"
    }
}

pub struct Harness {
    pub reducer: Reducer,
    pub now: Nanos,
    pub replies: BTreeMap<ClientId, Vec<SentReply>>,
    pub disconnected_clients: BTreeSet<ClientId>,
    pub connections: BTreeMap<ConnectionId, LeafSocket>,
    /// All frames that were given to sockets, in order.
    pub frames: Vec<SentFrame>,
    /// Ids of the parts in flight at each connection, oldest first.
    pub in_flight: BTreeMap<ConnectionId, Vec<String>>,
    /// Clients that the reducer closed.
    pub closed_clients: Vec<ClientId>,
    pub is_listening: bool,
    pub has_exited: bool,
    /// No socket takes a frame before [`Harness::complete_write`].
    pub writes_stalled: bool,
    /// The versions that the requested watches continue from.
    pub watches: Vec<Option<u64>>,
    pub usage_records: Vec<UsageRecord>,
    pub watermarks: Vec<Watermark>,
    announced: BTreeMap<String, AnnouncedStatus>,
    writing: BTreeSet<ConnectionId>,
    last_client: ClientId,
    list_version: u64,
}

pub fn address(replica: u64) -> String {
    format!("127.0.{}.{}:7070", replica / 256, replica % 256)
}

fn endpoint_update(version: u64, snapshot: bool, endpoints: &[ListedEndpoint]) -> EndpointUpdate {
    let entry = |endpoint: &ListedEndpoint| {
        serde_json::json!({
            "name": format!("s-{}", endpoint.replica),
            "address": address(endpoint.replica),
            "zone": "north",
            "type": "m",
            "group": 0,
            "status": endpoint.status,
            "weight": 1.0,
            "since_ms": endpoint.started / MS,
        })
    };
    let entries = endpoints.iter().map(entry).collect();
    update_from_json(version, snapshot, entries)
}

fn update_from_json(
    version: u64,
    snapshot: bool,
    entries: Vec<serde_json::Value>,
) -> EndpointUpdate {
    let update = serde_json::json!({
        "index": version,
        "snapshot": snapshot,
        "endpoints": entries,
    });
    serde_json::from_value(update).expect("a well-formed update")
}

/// Parts with these weights, at the shards 0, 1, ...
fn parts_of_weights(weights: &[f64]) -> Vec<PartRequest> {
    weights
        .iter()
        .zip(0..)
        .map(|(weight, shard)| PartRequest {
            shard,
            weight: *weight,
            work: None,
        })
        .collect()
}

fn single_part(shard: u32) -> Vec<PartRequest> {
    vec![PartRequest {
        shard,
        weight: 1.0,
        work: None,
    }]
}

/// A query of class 1 with a timeout of 5 s and the whole weight on shard 0.
pub fn query_request(request_id: &str) -> QueryRequest {
    QueryRequest {
        request_id: request_id.to_string(),
        class: 1,
        tenant: 0,
        timeout: DEFAULT_TIMEOUT_MS * MS,
        client_retry: false,
        idempotency_key: None,
        parts: single_part(0),
        text: Bytes::from_static(b"c41e77d0"),
    }
}

// ---- Set-up ---------------------------------------------------------------------------------------------

impl Harness {
    /// With so many ready replicas in one cell.
    pub fn new(replicas: u64) -> Harness {
        Harness::with_settings(SETTINGS, replicas)
    }

    pub fn with_settings(settings_text: &str, replicas: u64) -> Harness {
        let mut harness = Harness::with_cached_list(settings_text, replicas, DEFAULT_DESCRIPTORS);
        harness.apply(Input::EndpointsUpdated(endpoint_update(1, false, &[])));
        harness
    }

    /// With an endpoint list that was cached before a restart, and no update from discovery yet.
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

    /// With as many cells as shards, so that each shard is held by one replica alone.
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
        harness.apply(Input::EndpointsUpdated(update_from_json(2, true, entries)));
        harness
    }
}

// ---- Batches, effects and time --------------------------------------------------------------------------

impl Harness {
    /// Applies one input and the batch after it.
    pub fn apply(&mut self, input: Input) {
        self.apply_batch([input]);
    }

    /// Applies what came in at one moment, in this order, and the one batch after it.
    pub fn apply_batch(&mut self, inputs: impl IntoIterator<Item = Input>) {
        let mut effects = Vec::new();
        for input in inputs.into_iter().chain([Input::ProcessBatch]) {
            effects.extend(self.reducer.apply(self.now, input));
        }
        for effect in effects {
            self.perform(effect);
        }
    }

    /// Lets time pass, with a batch whenever one is due.
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
            Effect::Connect {
                connection,
                address,
            } => self.connect_to_leaf(connection, address.to_string()),
            Effect::WriteFrame { connection, frame } => self.write_frame(connection, frame),
            Effect::CloseConnection { connection } => self.forget_connection(connection),
            Effect::WatchEndpoints { from_version, .. } => self.watches.push(from_version),
            Effect::SendDatagram { .. } => {}
            Effect::CloseListener => {
                self.is_listening = false;
                self.apply(Input::ListenerClosed);
            }
            Effect::Exit(_) => self.has_exited = true,
        }
    }

    fn send_reply(&mut self, client: ClientId, reply: Reply, close: bool) {
        let at = self.now;
        let replies = self.replies.entry(client).or_default();
        replies.push(SentReply { at, reply });
        if close {
            self.apply(Input::ClientClosed { client });
        }
    }

    fn connect_to_leaf(&mut self, connection: ConnectionId, address: String) {
        assert!(
            self.announced[&address].is_up(),
            "no new connection to what drains or is gone"
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
            "nothing is written before the connection is open"
        );
        assert!(self.writing.insert(connection), "one frame at a time");
        match &frame {
            LeafRequest::Call(parts) => {
                assert!(
                    self.announced[&socket.address].is_up(),
                    "nothing new goes to what drains or is gone"
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
            assert!(!in_flight.contains(&id), "{id} is in flight there");
            in_flight.push(id);
        }
        assert!(
            in_flight.len() <= STREAMS_PER_CONNECTION,
            "no more than streams_per_conn"
        );
    }

    /// A socket takes the frame that it was given, from its first byte to its last.
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
        let is_late = !announced.is_up() && self.now > announced.since + DRAIN_GRACE;
        assert!(
            !is_call || !is_late,
            "a first byte {} ms after {address} was announced as {}",
            (self.now - announced.since) / MS,
            announced.status
        );
        self.apply(Input::FrameWritten { connection });
    }
}

// ---- Clients --------------------------------------------------------------------------------------------

impl Harness {
    pub fn connect_client(&mut self) -> ClientId {
        self.last_client += 1;
        let client = self.last_client;
        self.apply(Input::ClientOpened { client });
        client
    }

    pub fn disconnect_client(&mut self, client: ClientId) {
        self.disconnected_clients.insert(client);
        self.apply(Input::ClientClosed { client });
    }

    /// Disconnects one of the clients that ever connected, unless it has been already.
    pub fn disconnect_random_client(&mut self, dice: u64) {
        if self.last_client > 0 {
            let client = 1 + dice % self.last_client;
            if !self.disconnected_clients.contains(&client) {
                self.disconnect_client(client);
            }
        }
    }

    /// A new client sends a query with parts of these weights, at the shards 0, 1, ...
    pub fn send_query(&mut self, class: u16, weights: &[f64]) -> ClientId {
        let client = self.connect_client();
        self.send_query_from(client, class, weights, DEFAULT_TIMEOUT_MS);
        client
    }

    pub fn send_query_from(
        &mut self,
        client: ClientId,
        class: u16,
        weights: &[f64],
        timeout_ms: u64,
    ) {
        let query = QueryRequest {
            class,
            timeout: timeout_ms * MS,
            parts: parts_of_weights(weights),
            ..query_request(&format!("q{client}"))
        };
        self.send_request(client, query);
    }

    pub fn send_single_shard_query(&mut self, client: ClientId, shard: u32) {
        let query = self.single_shard_query(client, shard);
        self.apply(query);
    }

    pub fn send_request(&mut self, client: ClientId, query: QueryRequest) {
        let request = self.request_received(client, query);
        self.apply(request);
    }

    /// A query with parts of these weights that is yet to be applied.
    pub fn query_input(&mut self, client: ClientId, class: u16, weights: &[f64]) -> Input {
        let query = QueryRequest {
            class,
            parts: parts_of_weights(weights),
            ..query_request(&format!("q{client}"))
        };
        self.request_received(client, query)
    }

    /// A client that connects and sends a query of one shard, yet to be applied.
    pub fn new_client_inputs(&mut self, client: ClientId, shard: u32) -> [Input; 2] {
        [
            Input::ClientOpened { client },
            self.single_shard_query(client, shard),
        ]
    }

    fn single_shard_query(&mut self, client: ClientId, shard: u32) -> Input {
        let query = QueryRequest {
            parts: single_part(shard),
            ..query_request(&format!("q{client}"))
        };
        self.request_received(client, query)
    }

    fn request_received(&mut self, client: ClientId, query: QueryRequest) -> Input {
        self.replies.entry(client).or_default();
        Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(ClientRequest::Query(query)),
        }
    }

    /// Asks whether the mixer is ready, as a load balancer does.
    pub fn is_ready(&mut self) -> bool {
        let client = self.connect_client();
        self.apply(Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(ClientRequest::Ready),
        });
        self.last_reply(client) == Some(&Reply::Ready(true))
    }

    pub fn last_reply(&self, client: ClientId) -> Option<&Reply> {
        self.replies
            .get(&client)
            .and_then(|replies| replies.last())
            .map(|sent| &sent.reply)
    }

    /// Whether the client's last reply is a complete answer.
    pub fn is_answered_completely(&self, client: ClientId) -> bool {
        matches!(
            self.last_reply(client),
            Some(Reply::Answer { complete: true, .. })
        )
    }

    /// Whether the client's last reply is a rejection with a Retry-After of 1 ns to 500 ms.
    pub fn is_rejected_with_retry_after(&self, client: ClientId) -> bool {
        matches!(
            self.last_reply(client),
            Some(Reply::Rejected { retry_after: Some(after) }) if (1..=500 * MS).contains(after)
        )
    }
}

// ---- Leaf servers ---------------------------------------------------------------------------------------

impl Harness {
    pub fn first_connection(&self) -> ConnectionId {
        *self.connections.keys().next().expect("a connection")
    }

    pub fn only_connection(&self) -> ConnectionId {
        assert_eq!(self.connections.len(), 1, "{:?}", self.connections);
        self.first_connection()
    }

    /// The connections that calls were written to, in order.
    pub fn call_connections(&self) -> Vec<ConnectionId> {
        self.frames
            .iter()
            .filter(|sent| matches!(sent.frame, LeafRequest::Call(_)))
            .map(|sent| sent.connection)
            .collect()
    }

    /// The number of calls that were written.
    pub fn call_count(&self) -> usize {
        self.call_connections().len()
    }

    /// The number of parts in all calls that were written.
    pub fn called_parts(&self) -> usize {
        let parts = |sent: &SentFrame| match &sent.frame {
            LeafRequest::Call(parts) => parts.len(),
            _ => 0,
        };
        self.frames.iter().map(parts).sum()
    }

    /// The addresses that calls were written to, in order; empty where the connection is closed.
    pub fn called_addresses(&self) -> Vec<String> {
        let address = |connection| {
            let socket: Option<&LeafSocket> = self.connections.get(&connection);
            socket.map_or_else(String::new, |socket| socket.address.clone())
        };
        self.call_connections().into_iter().map(address).collect()
    }

    pub fn open_connection(&mut self, connection: ConnectionId) {
        if let Some(socket) = self.connections.get_mut(&connection) {
            if !socket.is_open {
                socket.is_open = true;
                self.apply(Input::ConnectionOpened { connection });
            }
        }
    }

    pub fn open_all_connections(&mut self) {
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for connection in connections {
            self.open_connection(connection);
        }
    }

    /// Opens the socket; the input that has yet to report it to the reducer.
    pub fn connection_opened_input(&mut self, connection: ConnectionId) -> Input {
        self.connections
            .get_mut(&connection)
            .expect("a connection")
            .is_open = true;
        Input::ConnectionOpened { connection }
    }

    pub fn reset_connection(&mut self, connection: ConnectionId) {
        self.forget_connection(connection);
        self.apply(Input::ConnectionClosed { connection });
    }

    fn forget_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.in_flight.remove(&connection);
    }

    /// The leaf server answers the oldest part in flight on a connection, if there is any.
    pub fn answer_oldest_part(&mut self, connection: ConnectionId, status: PartStatus) {
        let in_flight = self.in_flight.entry(connection).or_default();
        if !in_flight.is_empty() {
            let id = in_flight.remove(0);
            self.answer_part(connection, &id, status);
        }
    }

    pub fn answer_part(&mut self, connection: ConnectionId, id: &str, status: PartStatus) {
        let frame = LeafResponse::Answer {
            id: id.to_string(),
            status,
            report: "-".into(),
            value: Bytes::from(format!("doc {id}")),
        };
        self.apply(Input::FrameReceived { connection, frame });
    }

    pub fn answer_all_parts(&mut self) {
        while let Some(connection) = self.first_connection_with_parts() {
            self.answer_oldest_part(connection, PartStatus::Ok);
        }
    }

    /// Opens all connections, then answers all parts in flight.
    pub fn serve_all(&mut self) {
        self.open_all_connections();
        self.answer_all_parts();
    }

    fn first_connection_with_parts(&self) -> Option<ConnectionId> {
        self.in_flight
            .iter()
            .find(|(_, in_flight)| !in_flight.is_empty())
            .map(|(connection, _)| *connection)
    }

    /// The leaf server sends a malformed frame, with or without the id of the oldest part in flight.
    pub fn send_malformed_frame(&mut self, connection: ConnectionId, with_id: bool) {
        let id = self
            .in_flight
            .get(&connection)
            .and_then(|in_flight| in_flight.first().cloned())
            .filter(|_| with_id);
        if self.connections[&connection].is_open {
            self.apply(Input::FrameReceived {
                connection,
                frame: LeafResponse::Malformed(id),
            });
        }
    }
}

// ---- Discovery ------------------------------------------------------------------------------------------

impl Harness {
    /// Notes what discovery says of an address, for the checks on what is written there.
    pub fn announce_status(&mut self, address: &str, status: &str) {
        let leaving = self
            .announced
            .get_mut(address)
            .filter(|announced| !announced.is_up() && status != "up");
        if let Some(announced) = leaving {
            announced.status = status.to_string();
            return;
        }
        let announced = AnnouncedStatus {
            status: status.to_string(),
            since: self.now,
        };
        self.announced.insert(address.to_string(), announced);
    }

    /// A delta with one endpoint, which has long been running.
    pub fn update_endpoint(&mut self, replica: u64, status: &str) {
        self.update_listed_endpoint(listed(replica, status));
    }

    /// A delta with one endpoint that has started now.
    pub fn update_started_endpoint(&mut self, replica: u64, status: &str) {
        let started = self.now;
        self.update_listed_endpoint(ListedEndpoint {
            started,
            ..listed(replica, status)
        });
    }

    fn update_listed_endpoint(&mut self, endpoint: ListedEndpoint) {
        self.announce_status(&address(endpoint.replica), endpoint.status);
        self.send_delta(&[endpoint]);
    }

    /// Applies a delta without noting the status of its endpoints.
    pub fn send_delta(&mut self, endpoints: &[ListedEndpoint]) {
        self.send_update(false, endpoints);
    }

    /// Applies a snapshot without noting the status of its endpoints.
    pub fn send_snapshot(&mut self, endpoints: &[ListedEndpoint]) {
        self.send_update(true, endpoints);
    }

    pub fn send_update(&mut self, snapshot: bool, endpoints: &[ListedEndpoint]) {
        let update = self.next_update(snapshot, endpoints);
        self.apply(Input::EndpointsUpdated(update));
    }

    /// An update of the next version that is yet to be applied.
    pub fn next_update(&mut self, snapshot: bool, endpoints: &[ListedEndpoint]) -> EndpointUpdate {
        self.list_version += 1;
        endpoint_update(self.list_version, snapshot, endpoints)
    }

    /// A replica is listed as up at the address that another one would have.
    pub fn move_endpoint(&mut self, replica: u64, new_place: u64) {
        for old_place in [replica, replica + 1000] {
            if self.announced.contains_key(&address(old_place)) {
                self.announce_status(&address(old_place), "left");
            }
        }
        self.announce_status(&address(new_place), "up");
        self.list_version += 1;
        let entry = serde_json::json!({
            "name": format!("s-{replica}"),
            "address": address(new_place),
            "zone": "north",
            "group": 0,
            "status": "up",
            "since_ms": 0,
        });
        let update = update_from_json(self.list_version, false, vec![entry]);
        self.apply(Input::EndpointsUpdated(update));
    }

    /// The configuration is reloaded with another discovery address.
    pub fn switch_discovery(&mut self) {
        self.apply(discovery_switched());
    }
}

pub fn discovery_switched() -> Input {
    Input::ConfigReloaded {
        discovery: Some("127.0.0.1:8501".parse().unwrap()),
    }
}
