//! A mixer without sockets. A seeded random generator simulates clients, leaf servers and discovery around the reducer
//! and the codecs; the mixer's output is written to a transcript.

use crate::harness::{address, MS, START};
use bytes::BytesMut;
use cottonhill_mixer::protocol::endpoint_updates;
use cottonhill_mixer::protocol::http::ServerCodec;
use cottonhill_mixer::protocol::leaf_frames::{LeafCodec, LeafRequest, LeafResponse};
use cottonhill_mixer::protocol::query_json::{self, QuerySchema, Reply};
use cottonhill_mixer::reducer::{
    ClientId, ConnectionId, Effect, Input, Reducer, WatchEvent, WatchId,
};
use cottonhill_mixer::settings;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use tokio_util::codec::{Decoder, Encoder};

const STEPS: u32 = 1_200;
const REPLICAS: u64 = 6;
const DESCRIPTORS: usize = 120;

/// A simulated connection to a leaf server.
struct Connection {
    address: String,
    open: bool,
    codec: LeafCodec,
    /// The ids of the parts that were sent and are not answered yet.
    in_flight: Vec<String>,
    /// The number of probes that were sent and are not answered yet.
    probes: usize,
}

/// The reducer, its simulated sockets and the transcript of the mixer's output.
pub struct Simulation {
    reducer: Reducer,
    schema: QuerySchema,
    now: u64,
    random: fastrand::Rng,
    /// The current watch.
    watch: WatchId,
    clients: Vec<ClientId>,
    last_client: ClientId,
    connections: BTreeMap<ConnectionId, Connection>,
    version: u64,
    transcript: String,
    has_exited: bool,
}

impl Simulation {
    /// Creates a mixer that has these settings and a cached endpoint list.
    pub fn new(settings_text: &str, seed: u64) -> Simulation {
        let mixer_settings = settings::parse_mixer(settings_text).expect("valid mixer settings");
        let schema = QuerySchema {
            classes: mixer_settings.classes.clone(),
            tenants: mixer_settings.tenants.clone(),
            default_timeouts: mixer_settings.deadlines.clone(),
            minimum_coverages: mixer_settings.minimum_coverages.clone(),
            shards: mixer_settings.shards,
            ..QuerySchema::default()
        };
        let decision_settings =
            settings::parse_decisions(settings_text).expect("valid decision settings");
        let cached_list =
            endpoint_update(1, true, (1..=REPLICAS).map(|replica| (replica, "up", 0)));
        let cached_list = endpoint_updates::parse(cached_list.as_bytes())
            .expect("a well-formed update")
            .expect("an update");
        Simulation {
            reducer: Reducer::new(
                START,
                mixer_settings,
                decision_settings,
                seed,
                &cached_list,
                DESCRIPTORS,
            ),
            schema,
            now: START,
            random: fastrand::Rng::with_seed(seed),
            watch: WatchId::FIRST,
            clients: Vec::new(),
            last_client: 0,
            connections: BTreeMap::new(),
            version: 1,
            transcript: String::new(),
            has_exited: false,
        }
    }

    fn record(&mut self, line: std::fmt::Arguments) {
        let elapsed = self.now - START;
        writeln!(
            self.transcript,
            "{}.{:06} {line}",
            elapsed / MS,
            elapsed % MS
        )
        .expect("writing to a string does not fail");
    }

    fn apply(&mut self, input: Input) {
        let mut effects = self.reducer.apply(self.now, input);
        effects.extend(self.reducer.apply(self.now, Input::ProcessBatch));
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                client,
                reply,
                close,
            } => self.send_reply(client, &reply, close),
            Effect::CloseClient { client, immediate } => {
                self.record(format_args!("client {client} closed, at once: {immediate}"));
                self.close_client(client);
            }
            Effect::AbortResponse { client } => {
                self.record(format_args!("client {client} closed: response not read"));
                self.close_client(client);
            }
            Effect::Connect {
                connection: id,
                address,
            } => self.connect(id, &address.to_string()),
            Effect::WriteFrame {
                connection: id,
                frame,
            } => self.write(id, frame),
            Effect::CloseConnection { connection: id } => {
                self.record(format_args!("leaf {id} closed"));
                self.connections.remove(&id);
            }
            Effect::SendDatagram { to, bytes } => {
                self.record(format_args!("datagram to {to:?}: {}", bytes.escape_ascii()));
            }
            // The watch ends by itself, too.
            Effect::StopWatch { .. } => {}
            Effect::WatchEndpoints {
                watch,
                address,
                from_version,
            } => {
                self.watch = watch;
                self.record(format_args!("watch {address} from {from_version:?}"));
            }
            Effect::CloseListener => {
                self.record(format_args!("listener closed"));
                self.apply(Input::ListenerClosed);
            }
            // No frontend is part of the simulation.
            Effect::RefuseIncompleteRequests => {}
            Effect::Exit(_) => {
                self.record(format_args!("exit"));
                self.has_exited = true;
            }
            Effect::RecordUsage(_) | Effect::RecordWatermark(_) => {
                self.record(format_args!("usage record"))
            }
        }
    }

    fn send_reply(&mut self, client: ClientId, reply: &Reply, close: bool) {
        let mut bytes = BytesMut::new();
        let response = query_json::render(reply, close);
        ServerCodec::default()
            .encode(response, &mut bytes)
            .expect("a response");
        self.record(format_args!("client {client} <- {}", bytes.escape_ascii()));
        if close {
            self.close_client(client);
        }
    }

    fn connect(&mut self, id: ConnectionId, address: &str) {
        self.record(format_args!("leaf {id} connects to {address}"));
        let connection = Connection {
            address: address.to_string(),
            open: false,
            codec: LeafCodec::default(),
            in_flight: Vec::new(),
            probes: 0,
        };
        self.connections.insert(id, connection);
    }

    fn write(&mut self, id: ConnectionId, frame: LeafRequest) {
        let connection = self.connections.get_mut(&id).expect("an open connection");
        match &frame {
            LeafRequest::Call(parts) => connection
                .in_flight
                .extend(parts.iter().map(|part| part.id.to_string())),
            LeafRequest::Cancel(id) => connection.in_flight.retain(|other| **other != **id),
            LeafRequest::Probe | LeafRequest::ProbeLoad => connection.probes += 1,
        }
        let mut bytes = BytesMut::new();
        connection.codec.encode(frame, &mut bytes).expect("a frame");
        let address = connection.address.clone();
        self.record(format_args!(
            "leaf {id} ({address}) <- {}",
            bytes.escape_ascii()
        ));
        // The writes of one frame in ten stall until the connection ends.
        if self.random.u32(..10) > 0 {
            self.apply(Input::FrameWritten { connection: id });
        }
    }

    fn close_client(&mut self, client: ClientId) {
        if let Some(index) = self.clients.iter().position(|other| *other == client) {
            self.clients.remove(index);
            self.apply(Input::ClientClosed { client });
        }
    }

    fn connect_client(&mut self) {
        self.last_client += 1;
        self.clients.push(self.last_client);
        self.apply(Input::ClientOpened {
            client: self.last_client,
        });
    }

    /// Sends a well-formed or malformed request from a client.
    fn send_request(&mut self) {
        if self.clients.is_empty() || self.random.u32(..4) == 0 {
            self.connect_client();
        }
        let Some(&client) = self.random.choice(&self.clients) else {
            return;
        };
        let mut bytes = BytesMut::from(self.random_request().as_bytes());
        let Ok(Some(decoded)) = ServerCodec::default().decode(&mut bytes) else {
            return;
        };
        let request = decoded.and_then(|request| query_json::parse(&request, &self.schema));
        self.apply(Input::RequestReceived {
            client,
            received_at: self.now,
            request,
        });
    }

    fn random_request(&mut self) -> String {
        let class = self.random.usize(..self.schema.classes.len());
        let class = self.schema.classes[class].clone();
        let id = self.random.u32(..100_000);
        match self.random.u32(..40) {
            0 => return "GET /-/ready HTTP/1.1\r\n\r\n".into(),
            1 => return "GET /-/stats HTTP/1.1\r\n\r\n".into(),
            2 => return "POST /nowhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into(),
            3 => return format!("DELETE /{class} HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
            4 => return "no request at all\r\n\r\n".into(),
            5 => return format!("POST /{class} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}"),
            _ => {}
        }
        let shards = 1 + self.random.u32(..4);
        let entry = |shard: u32| {
            format!(
                "{{\"shard\":{shard},\"weight\":{}}}",
                1.0 / f64::from(shards)
            )
        };
        let entries: Vec<String> = (0..shards).map(entry).collect();
        let body = format!("{{\"shards\":[{}],\"q\":\"c41e77d0\"}}", entries.join(","));
        let timeout = self.random.u32(50..4_000);
        let retry = if self.random.u32(..8) == 0 {
            "X-Retried: 1\r\n"
        } else {
            ""
        };
        format!(
            "POST /{class} HTTP/1.1\r\nX-Request-ID: q{id}\r\nX-Timeout: {timeout}m\r\n{retry}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Receives one frame from a leaf server: an answer, an error, a rejection, an answer to a probe or garbage. Opens
    /// the connection first, or closes it.
    fn receive_from_leaf(&mut self) {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        let Some(&id) = self.random.choice(&ids) else {
            return;
        };
        let choice = self.random.u32(..30);
        let connection = self.connections.get_mut(&id).expect("a connection");
        if !connection.open {
            connection.open = true;
            let input = if choice < 3 {
                Input::ConnectionClosed { connection: id }
            } else {
                Input::ConnectionOpened { connection: id }
            };
            if choice < 3 {
                self.connections.remove(&id);
            }
            return self.apply(input);
        }
        let body = if choice == 0 {
            b"\xffgarbage".to_vec()
        } else if choice == 1 {
            self.connections.remove(&id);
            return self.apply(Input::ConnectionClosed { connection: id });
        } else if connection.probes > 0 {
            connection.probes -= 1;
            b"P1 -".to_vec()
        } else if connection.in_flight.is_empty() {
            return;
        } else {
            let id = connection.in_flight.remove(0);
            let status = match choice {
                2..4 => "err",
                4..7 => "busy",
                _ => "ok",
            };
            format!("A{id} {status} - -\ndoc").into_bytes()
        };
        let mut bytes = BytesMut::from(&(body.len() as u32).to_be_bytes()[..]);
        bytes.extend_from_slice(&body);
        let codec = &mut self.connections.get_mut(&id).expect("a connection").codec;
        let Ok(Some(frame)) = codec.decode(&mut bytes) else {
            return;
        };
        let frame: LeafResponse = frame;
        self.apply(Input::FrameReceived {
            connection: id,
            frame,
        });
    }

    fn receive_endpoint_update(&mut self) {
        self.version += 1;
        let replica = 1 + self.random.u64(..REPLICAS + 2);
        let status = *self
            .random
            .choice(&["up", "up", "draining", "removed"])
            .expect("a status");
        let snapshot = self.random.u32(..6) == 0;
        let started = (self.now / MS) * u64::from(status == "up");
        let text = if snapshot {
            endpoint_update(
                self.version,
                true,
                (1..=REPLICAS).map(|replica| (replica, "up", 0)),
            )
        } else {
            endpoint_update(
                self.version,
                false,
                [(replica, status, started)].into_iter(),
            )
        };
        if let Ok(Some(update)) = endpoint_updates::parse(text.as_bytes()) {
            let watch = self.watch;
            self.apply(Input::EndpointsUpdated { watch, update });
        }
    }

    /// Advances the clock and processes a batch whenever one is due.
    fn advance(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(due) = self
            .reducer
            .next_due()
            .filter(|due| *due <= end && !self.has_exited)
        {
            self.now = self.now.max(due);
            self.apply(Input::ProcessBatch);
        }
        self.now = end;
    }

    /// An event of the current watch.
    fn watch_event(&mut self, event: WatchEvent) {
        let watch = self.watch;
        self.apply(Input::Watch { watch, event });
    }

    fn step(&mut self) {
        match self.random.u32(..100) {
            0..30 => self.send_request(),
            30..80 => self.receive_from_leaf(),
            80..83 => self.receive_endpoint_update(),
            83..85 => {
                if let Some(&client) = self.random.choice(&self.clients) {
                    self.close_client(client);
                }
            }
            85 => self.watch_event(WatchEvent::Ended { timed_out: true }),
            86 => self.watch_event(WatchEvent::Heartbeat),
            87 if self.random.u32(..6) == 0 => {
                let discovery = "127.0.0.1:8501".parse().ok();
                self.apply(Input::ConfigReloaded { discovery });
            }
            _ => {
                let duration = self.random.u64(..40 * MS);
                self.advance(duration);
            }
        }
    }

    /// Runs all steps and the shutdown; returns the transcript.
    pub fn run(mut self) -> String {
        self.advance(20 * MS);
        self.receive_endpoint_update();
        for _ in 0..STEPS {
            self.step();
        }
        self.apply(Input::ShutdownRequested);
        for _ in 0..STEPS / 4 {
            if !self.has_exited {
                self.step();
            }
        }
        self.advance(20_000 * MS);
        assert!(self.has_exited, "the mixer exits after SIGTERM");
        self.transcript
    }
}

fn endpoint_update(
    version: u64,
    snapshot: bool,
    entries: impl Iterator<Item = (u64, &'static str, u64)>,
) -> String {
    let entry = |(replica, status, started): (u64, &str, u64)| {
        serde_json::json!({"name": format!("s-{replica}"), "address": address(replica), "zone": "north",
            "type": "m", "group": 0, "status": status, "weight": 1.0, "since_ms": started})
    };
    let entries: Vec<_> = entries.map(entry).collect();
    serde_json::json!({"index": version, "snapshot": snapshot, "endpoints": entries}).to_string()
}
