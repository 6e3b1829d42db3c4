//! A reducer with hand-made inputs in place of sockets. It carries the effects out as sockets would, and
//! checks at each step what must hold at every one.

#![allow(dead_code)] // Each test file uses its own part of it.

use bytes::Bytes;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::protocol::leaf_frames::{LeafRequest, LeafResponse, PartStatus};
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::usage::{UsageRecord, Watermark};
use cottonhill_mixer::reducer::{ClientId, ConnectionId, Effect, Input, Reducer};
use cottonhill_mixer::settings;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1_000_000;
pub const START: u64 = 1_000_000 * MS;
/// As a real site has them: class 0 takes partial answers, class 1 needs every part.
pub const SETTINGS: &str = "classes.count=2\nclasses.0.name=report\nclasses.0.aim_ns=2000000000\n\
classes.0.give_up_ns=5000000000\nclasses.0.semantics=read_like\nclasses.1.name=lookup\n\
classes.1.aim_ns=2000000000\nclasses.1.give_up_ns=6000000000\nclasses.1.semantics=read_like\n\
extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0\nextra.least_share=0.6,1.0\n\
extra.partial_earns=0.9,0.9\nextra.second_step=0,0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nlocalities=north,south\nguarantees.stop_sending_within_ns=250000000\n";
pub const GRACE: u64 = 250 * MS;

/// The settings of four deployments: as above; asked for lists, with nothing cancelled; with short times; with many
/// shards and a class that must not run twice.
pub fn deployments() -> [String; 4] {
    let asked = SETTINGS.replace("limits.cancelling=true", "limits.cancelling=false");
    let asked = asked
        .replace("limits.max_attempts=4", "limits.max_attempts=3")
        .replace("lookup", "history");
    let short = SETTINGS
        .replace("_ns=2000000000", "_ns=200000000")
        .replace("_ns=5000000000", "_ns=500000000");
    let short = short
        .replace("_ns=6000000000", "_ns=600000000")
        .replace("_ns=250000000", "_ns=80000000");
    let unsafe_class = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    [
        SETTINGS.to_string(),
        asked + "discovery=on_request\nguarantees.ask_within_ns=10000000000\n",
        short,
        unsafe_class
            .replace("extra.ranges=8", "extra.ranges=512")
            .replace("name=report", "name=ranking"),
    ]
}

pub struct Harness {
    pub state: Reducer,
    pub now: u64,
    pub replies: BTreeMap<ClientId, Vec<(u64, Reply)>>,
    pub left: BTreeSet<ClientId>,
    /// Connections by their number: the address, and whether it is up.
    pub connections: BTreeMap<ConnectionId, (String, bool)>,
    /// All frames, and what is out at each connection.
    pub frames: Vec<(ConnectionId, LeafRequest)>,
    pub out: BTreeMap<ConnectionId, Vec<String>>,
    pub closed: Vec<ClientId>,
    pub listening: bool,
    pub exited: bool,
    /// No socket takes a frame before it is told to (`begin`).
    pub stuck: bool,
    /// Where the watches that were asked for go on from.
    pub watches: Vec<Option<u64>>,
    pub records: Vec<UsageRecord>,
    pub marks: Vec<Watermark>,
    /// What is known of an address, since when.
    told: BTreeMap<String, (String, u64)>,
    writing: BTreeSet<ConnectionId>,
    clients: u64,
    index: u64,
}

pub fn address(replica: u64) -> String {
    format!("127.0.{}.{}:7070", replica / 256, replica % 256)
}

fn listing(index: u64, snapshot: bool, lines: &[(u64, &str, u64)]) -> EndpointUpdate {
    let line = |(replica, status, since): &(u64, &str, u64)| {
        serde_json::json!({"name": format!("s-{replica}"), "address": address(*replica), "zone": "north",
            "type": "m", "group": 0, "status": status, "weight": 1.0, "since_ms": since / MS})
    };
    let lines: Vec<_> = lines.iter().map(line).collect();
    serde_json::from_value(
        serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": lines}),
    )
    .expect("a list")
}

impl Harness {
    pub fn new(replicas: u64) -> Harness {
        Harness::with(SETTINGS, replicas)
    }

    pub fn with(text: &str, replicas: u64) -> Harness {
        let mut harness = Harness::unheard(text, replicas, 1024);
        harness.put(Input::EndpointsUpdated(listing(1, false, &[])));
        harness
    }

    /// One that holds a list from before its start, and so many descriptors, and has not heard from discovery.
    pub fn unheard(text: &str, replicas: u64, descriptors: usize) -> Harness {
        let (site, decisions) = (
            settings::parse_mixer(text).unwrap(),
            settings::parse_decisions(text).unwrap(),
        );
        let lines: Vec<_> = (1..=replicas).map(|r| (r, "up", 0)).collect();
        Harness {
            state: Reducer::new(
                START,
                site,
                decisions,
                7,
                &listing(1, true, &lines),
                descriptors,
            ),
            now: START,
            replies: BTreeMap::new(),
            left: BTreeSet::new(),
            connections: BTreeMap::new(),
            frames: Vec::new(),
            out: BTreeMap::new(),
            closed: Vec::new(),
            listening: true,
            exited: false,
            stuck: false,
            watches: Vec::new(),
            records: Vec::new(),
            marks: Vec::new(),
            told: (1..=replicas)
                .map(|r| (address(r), ("up".to_string(), START)))
                .collect(),
            writing: BTreeSet::new(),
            clients: 0,
            index: 1,
        }
    }

    /// One of as many places as shards, each shard held by one server alone.
    pub fn wide(places: u64, descriptors: usize) -> Harness {
        let text = SETTINGS.replace("extra.places=1", &format!("extra.places={places}"));
        let text = text.replace("extra.ranges=8", &format!("extra.ranges={places}"));
        let mut harness = Harness::unheard(
            &text.replace("open_cap=60", "open_cap=5000"),
            0,
            descriptors,
        );
        let entry = |r: u64| {
            serde_json::json!({"name": format!("s-{r}"), "address": address(r), "zone": "north", "group": r - 1,
                "status": "up"})
        };
        (1..=places).for_each(|r| harness.told(&address(r), "up"));
        let entries: Vec<_> = (1..=places).map(entry).collect();
        let list = serde_json::json!({"index": 2, "snapshot": true, "endpoints": entries});
        harness.put(Input::EndpointsUpdated(
            serde_json::from_value(list).expect("a list"),
        ));
        harness
    }

    /// The connections that calls went out on, in order.
    pub fn calls(&self) -> Vec<ConnectionId> {
        let call = |(connection, frame): &(ConnectionId, LeafRequest)| {
            matches!(frame, LeafRequest::Call(_)).then_some(*connection)
        };
        self.frames.iter().filter_map(call).collect()
    }

    /// The addresses that calls went to, in order; empty where the connection is over.
    pub fn called(&self) -> Vec<String> {
        let address = |connection| {
            self.connections
                .get(&connection)
                .map_or_else(String::new, |it| it.0.clone())
        };
        self.calls().into_iter().map(address).collect()
    }

    /// One input and the turn after it.
    pub fn put(&mut self, input: Input) {
        let mut effects = self.state.apply(self.now, input);
        effects.extend(self.state.apply(self.now, Input::ProcessBatch));
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    /// What came in at one moment, in this order, and the one turn after it.
    pub fn batch(&mut self, inputs: impl IntoIterator<Item = Input>) {
        let inputs = inputs.into_iter().chain([Input::ProcessBatch]);
        let effects: Vec<Effect> = inputs
            .flat_map(|input| self.state.apply(self.now, input))
            .collect();
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::RecordUsage(usage) => self.records.push(usage),
            Effect::RecordWatermark(mark) => self.marks.push(mark),
            Effect::Reply {
                client,
                reply,
                close,
            } => {
                self.replies
                    .entry(client)
                    .or_default()
                    .push((self.now, reply));
                if close {
                    self.put(Input::ClientClosed { client });
                }
            }
            Effect::CloseClient { client, .. } => {
                self.closed.push(client);
                self.put(Input::ClientClosed { client });
            }
            Effect::Connect {
                connection,
                address,
            } => {
                assert_eq!(
                    self.told[&address.to_string()].0,
                    "up",
                    "no new connection where nothing may go"
                );
                self.connections
                    .insert(connection, (address.to_string(), false));
            }
            Effect::WriteFrame { connection, frame } => {
                let (address, up) = &self.connections[&connection];
                assert!(*up, "nothing is written before the connection is up");
                assert!(self.writing.insert(connection), "one frame at a time");
                let out = self.out.entry(connection).or_default();
                match &frame {
                    LeafRequest::Call(parts) => {
                        assert_eq!(
                            self.told[address].0, "up",
                            "nothing new goes to what drains or is gone"
                        );
                        for part in parts {
                            assert!(
                                !out.contains(&part.id.to_string()),
                                "{} is out there",
                                part.id
                            );
                            out.push(part.id.to_string());
                        }
                        assert!(out.len() <= 4, "no more than streams_per_conn");
                    }
                    LeafRequest::Cancel(id) => out.retain(|other| **other != **id),
                    LeafRequest::Probe | LeafRequest::ProbeLoad => {}
                }
                self.frames.push((connection, frame));
                if !self.stuck {
                    self.begin(connection);
                }
            }
            Effect::CloseConnection { connection } => {
                self.connections.remove(&connection);
                self.out.remove(&connection);
            }
            Effect::WatchEndpoints { from_version, .. } => self.watches.push(from_version),
            Effect::SendDatagram { .. } => {}
            Effect::CloseListener => {
                self.listening = false;
                self.put(Input::ListenerClosed);
            }
            Effect::Exit(_) => self.exited = true,
        }
    }

    /// A socket takes the frame that it was given, from its first byte to its last.
    pub fn begin(&mut self, connection: ConnectionId) {
        let Some((address, _)) = self
            .connections
            .get(&connection)
            .filter(|_| self.writing.remove(&connection))
        else {
            return;
        };
        let (status, since) = &self.told[address];
        let call = self
            .frames
            .iter()
            .rfind(|(l, _)| *l == connection)
            .is_some_and(|(_, f)| matches!(f, LeafRequest::Call(_)));
        let late = status != "up" && self.now > since + GRACE;
        assert!(
            !call || !late,
            "a first byte {} ms after {address} was told {status}",
            (self.now - since) / MS
        );
        self.put(Input::FrameWritten { connection });
    }

    /// Time passes, with a turn whenever one is due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(due) = self.state.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.put(Input::ProcessBatch);
        }
        self.now = end;
    }

    pub fn connect(&mut self) -> ClientId {
        self.clients += 1;
        self.put(Input::ClientOpened {
            client: self.clients,
        });
        self.clients
    }

    pub fn ask(&mut self, class: u16, weights: &[f64]) -> ClientId {
        let client = self.connect();
        self.ask_on(client, class, weights, 5000);
        client
    }

    pub fn ask_on(&mut self, client: ClientId, class: u16, weights: &[f64], timeout_ms: u64) {
        let part = |(shard, weight): (usize, &f64)| PartRequest {
            shard: shard as u32,
            weight: *weight,
            work: None,
        };
        self.ask_parts(
            client,
            class,
            weights.iter().enumerate().map(part).collect(),
            timeout_ms,
        );
    }

    /// A query of one shard alone.
    pub fn ask_part(&mut self, client: ClientId, class: u16, shard: u32) {
        self.ask_parts(
            client,
            class,
            vec![PartRequest {
                shard,
                weight: 1.0,
                work: None,
            }],
            5000,
        );
    }

    fn ask_parts(
        &mut self,
        client: ClientId,
        class: u16,
        parts: Vec<PartRequest>,
        timeout_ms: u64,
    ) {
        let asked = self.query(client, class, parts, timeout_ms);
        self.put(asked);
    }

    /// A client's query, not yet put in.
    pub fn asked(&mut self, client: ClientId, class: u16, weights: &[f64]) -> Input {
        let part = |(shard, weight): (usize, &f64)| PartRequest {
            shard: shard as u32,
            weight: *weight,
            work: None,
        };
        self.query(
            client,
            class,
            weights.iter().enumerate().map(part).collect(),
            5000,
        )
    }

    /// A client comes with a query of one shard, not yet put in.
    pub fn opened_and_asked(&mut self, client: ClientId, shard: u32) -> [Input; 2] {
        let parts = vec![PartRequest {
            shard,
            weight: 1.0,
            work: None,
        }];
        [
            Input::ClientOpened { client },
            self.query(client, 1, parts, 5000),
        ]
    }

    fn query(
        &mut self,
        client: ClientId,
        class: u16,
        parts: Vec<PartRequest>,
        timeout_ms: u64,
    ) -> Input {
        let query = QueryRequest {
            request_id: format!("q{client}"),
            class,
            tenant: 0,
            timeout: timeout_ms * MS,
            client_retry: false,
            idempotency_key: None,
            parts,
            text: Bytes::from_static(b"c41e77d0"),
        };
        self.replies.entry(client).or_default();
        Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(ClientRequest::Query(query)),
        }
    }

    pub fn open(&mut self, connection: ConnectionId) {
        if let Some(it) = self.connections.get_mut(&connection).filter(|it| !it.1) {
            it.1 = true;
            self.put(Input::ConnectionOpened { connection });
        }
    }

    pub fn open_all(&mut self) {
        self.connections
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|connection| self.open(connection));
    }

    /// The oldest part out at a connection ends.
    pub fn answer(&mut self, connection: ConnectionId, end: PartStatus) {
        let out = self.out.entry(connection).or_default();
        if !out.is_empty() {
            let id = out.remove(0);
            self.answer_to(connection, &id, end);
        }
    }

    pub fn answer_to(&mut self, connection: ConnectionId, id: &str, end: PartStatus) {
        let value = Bytes::from(format!("doc {id}"));
        let frame = LeafResponse::Answer {
            id: id.to_string(),
            status: end,
            report: "-".into(),
            value,
        };
        self.put(Input::FrameReceived { connection, frame });
    }

    /// All that is out is answered.
    pub fn answer_all(&mut self) {
        while let Some(connection) = self
            .out
            .iter()
            .find(|(_, out)| !out.is_empty())
            .map(|(connection, _)| *connection)
        {
            self.answer(connection, PartStatus::Ok);
        }
    }

    /// Something comes that can't be read, with or without the id of the oldest part out.
    pub fn spoil(&mut self, connection: ConnectionId, named: bool) {
        let id = self
            .out
            .get(&connection)
            .and_then(|out| out.first().cloned())
            .filter(|_| named);
        if self.connections[&connection].1 {
            self.put(Input::FrameReceived {
                connection,
                frame: LeafResponse::Malformed(id),
            });
        }
    }

    pub fn break_off(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.out.remove(&connection);
        self.put(Input::ConnectionClosed { connection });
    }

    /// Notes what a list says of an address, for the checks on what is written there.
    pub fn told(&mut self, address: &str, status: &str) {
        match self
            .told
            .get_mut(address)
            .filter(|(held, _)| *held != "up" && status != "up")
        {
            Some((held, _)) => *held = status.to_string(),
            None => drop(
                self.told
                    .insert(address.to_string(), (status.to_string(), self.now)),
            ),
        }
    }

    pub fn list(&mut self, replica: u64, status: &str, since: u64) {
        self.told(&address(replica), status);
        self.listed(false, &[(replica, status, since)]);
    }

    /// A list comes in, whatever is known of its addresses.
    pub fn listed(&mut self, snapshot: bool, lines: &[(u64, &str, u64)]) {
        let change = self.change(snapshot, lines);
        self.put(change);
    }

    /// The same, not yet put in.
    pub fn change(&mut self, snapshot: bool, lines: &[(u64, &str, u64)]) -> Input {
        self.index += 1;
        Input::EndpointsUpdated(listing(self.index, snapshot, lines))
    }

    /// A replica is listed as up where another one's address would be.
    pub fn move_to(&mut self, replica: u64, place: u64) {
        let old = self
            .told
            .keys()
            .filter(|at| *at == &address(replica) || **at == address(replica + 1000));
        for old in old.cloned().collect::<Vec<_>>() {
            self.told(&old, "left");
        }
        self.told(&address(place), "up");
        self.index += 1;
        let line = serde_json::json!({"name": format!("s-{replica}"), "address": address(place), "zone": "north",
            "group": 0, "status": "up", "since_ms": 0});
        let list = serde_json::json!({"index": self.index, "snapshot": false, "endpoints": [line]});
        self.put(Input::EndpointsUpdated(
            serde_json::from_value(list).expect("a list"),
        ));
    }

    /// Some client leaves.
    pub fn leave(&mut self, dice: u64) {
        if self.clients > 0 {
            let client = 1 + dice % self.clients;
            if self.left.insert(client) {
                self.put(Input::ClientClosed { client });
            }
        }
    }

    pub fn reply(&self, client: ClientId) -> Option<&Reply> {
        self.replies
            .get(&client)
            .and_then(|replies| replies.last())
            .map(|(_, reply)| reply)
    }
}
