//! Simulates the environment of a reducer, without sockets and on a virtual clock: clients that send queries, and
//! leaf servers that answer.

use super::fleet::Fleet;
use crate::meter::ProcessorTimer;
use bytes::Bytes;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::protocol::leaf_frames::{CallPart, LeafRequest, LeafResponse, PartStatus};
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::{Effect, Input, Reducer, WatchId};
use cottonhill_mixer::settings;
use std::collections::VecDeque;
use std::time::Instant;

const NANOS_PER_MS: u64 = 1_000_000;
/// Virtual time at the start of a run; far from zero, so that nothing counts as recently started.
const START_NS: u64 = 1_000_000 * NANOS_PER_MS;
/// Descriptor limit above the need of any run, so that no connection is closed for lack of descriptors.
const MAX_DESCRIPTORS: usize = 10_000_000;
/// Time-out that clients send with their queries.
const CLIENT_TIMEOUT_NS: u64 = 5_000 * NANOS_PER_MS;
/// Distance between the first shards of successive queries; prime, so that queries cover all shards.
const SHARD_STRIDE: u64 = 7919;

/// The query load of a run.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workload {
    /// Parts of a query.
    pub parts: u64,
    /// Queries open at the same time.
    #[serde(rename = "open")]
    pub open_queries: u64,
    /// Virtual time that a leaf server takes to answer a part, in nanoseconds.
    #[serde(rename = "answer_ns")]
    pub leaf_latency_ns: u64,
    /// Number of shards, from the first on, that queries are spread over; the fleet's shards if it has fewer.
    pub shards: u64,
}

/// Counts since the start of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queries sent by clients, those that ended with an answer, and those that ended with a refusal or failure.
    pub sent: u64,
    pub answered: u64,
    pub refused: u64,
    /// Replies to clients without an open query.
    pub duplicate_replies: u64,
    /// Attempts sent to leaf servers, and the calls that contained them.
    pub attempts: u64,
    pub calls: u64,
    /// Connections opened to leaf servers.
    pub connections: u64,
    /// Batches that the reducer processed.
    pub batches: u64,
}

impl Counts {
    /// Queries that have received their reply.
    pub fn ended(&self) -> u64 {
        self.answered + self.refused
    }

    /// Queries without a reply.
    pub fn unanswered(&self) -> u64 {
        self.sent.saturating_sub(self.ended())
    }
}

/// An attempt at a leaf server that has not been answered yet.
struct PendingAnswer {
    /// Virtual time of the answer.
    due_at: u64,
    connection: u64,
    id: String,
}

/// A reducer with a simulated environment.
pub struct Driver {
    reducer: Reducer,
    now: u64,
    inputs: Vec<Input>,
    pending_answers: VecDeque<PendingAnswer>,
    idle_clients: Vec<u64>,
    /// By client: whether it has a query open.
    has_open_query: Vec<bool>,
    leaf_latency_ns: u64,
    /// Leaf servers do not answer.
    unresponsive: bool,
    reducer_ns: f64,
    counts: Counts,
}

impl Driver {
    /// A mixer of `fleet` without an endpoint list.
    ///
    /// # Errors
    /// The mixer refuses the settings.
    pub fn new(fleet: Fleet, seed: u64) -> Result<Driver, String> {
        let text = fleet.mixer_settings();
        let (mixer_settings, decision_settings) = (
            settings::parse_mixer(&text).map_err(|e| e.to_string())?,
            settings::parse_decisions(&text).map_err(|e| e.to_string())?,
        );
        let reducer = Reducer::new(
            START_NS,
            mixer_settings,
            decision_settings,
            seed,
            &EndpointUpdate::default(),
            MAX_DESCRIPTORS,
        );
        Ok(Driver {
            reducer,
            now: START_NS,
            inputs: Vec::new(),
            pending_answers: VecDeque::new(),
            idle_clients: Vec::new(),
            has_open_query: Vec::new(),
            leaf_latency_ns: 0,
            unresponsive: false,
            reducer_ns: 0.0,
            counts: Counts::default(),
        })
    }

    /// Counts since the start of the run.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Processor time of the reducer and its decisions since the start, in nanoseconds, without that of the simulation.
    pub fn reducer_ns(&self) -> f64 {
        self.reducer_ns
    }

    /// Version of the endpoint list in force.
    pub fn list_version(&self) -> u64 {
        self.reducer.endpoint_list_version()
    }

    /// Applies a snapshot or a change of the endpoint list to the reducer and processes the batch.
    pub fn apply_update(&mut self, update: EndpointUpdate) {
        let watch = WatchId::FIRST;
        self.inputs.push(Input::EndpointsUpdated { watch, update });
        self.process_batch();
    }

    /// Connects one client for each query that the workload keeps open.
    pub fn connect_clients(&mut self, workload: &Workload) {
        self.leaf_latency_ns = workload.leaf_latency_ns;
        for client in self.has_open_query.len() as u64..workload.open_queries {
            self.inputs.push(Input::ClientOpened { client });
            self.has_open_query.push(false);
            self.idle_clients.push(client);
        }
        self.process_batch();
    }

    /// Sends `queries` queries at a constant rate that keeps `workload.open_queries` of them open, and stops early once
    /// `until` has passed. Open queries stay open. Returns whether all were sent.
    pub fn run(&mut self, workload: &Workload, shards: u64, queries: u64, until: Instant) -> bool {
        let interval = (workload.leaf_latency_ns / workload.open_queries).max(1);
        let target = self.counts.sent + queries;
        while self.counts.sent < target && Instant::now() < until {
            self.send_query(workload, shards);
            self.step(interval);
        }
        self.counts.sent == target
    }

    /// Stops all answers of leaf servers. Attempts are not recorded from then on, so that memory grows by the mixer's
    /// state alone.
    pub fn stop_answering(&mut self) {
        self.unresponsive = true;
    }

    /// Sends a query on every idle client at the same virtual time, with a batch for each.
    pub fn send_on_all_clients(&mut self, workload: &Workload, shards: u64) {
        while !self.idle_clients.is_empty() {
            self.send_query(workload, shards);
            self.process_batch();
        }
    }

    /// Advances the virtual clock until no query is open or `until` has passed.
    pub fn drain(&mut self, until: Instant) {
        while self.counts.unanswered() > 0 && Instant::now() < until {
            self.step(NANOS_PER_MS);
        }
    }

    /// Sends one query if a client is idle.
    fn send_query(&mut self, workload: &Workload, shards: u64) {
        let Some(client) = self.idle_clients.pop() else {
            return;
        };
        self.counts.sent += 1;
        if let Some(has_open_query) = self.has_open_query.get_mut(client as usize) {
            *has_open_query = true;
        }
        let request = ClientRequest::Query(query(self.counts.sent, workload.parts, shards));
        self.inputs.push(Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(request),
        });
    }

    /// Delivers the answers that are due, processes a batch and advances the virtual clock by `interval`.
    fn step(&mut self, interval: u64) {
        while self
            .pending_answers
            .front()
            .is_some_and(|answer| answer.due_at <= self.now)
        {
            let Some(PendingAnswer { connection, id, .. }) = self.pending_answers.pop_front()
            else {
                break;
            };
            let value = Bytes::from_static(b"doc");
            let frame = LeafResponse::Answer {
                id,
                status: PartStatus::Ok,
                report: "-".into(),
                value,
            };
            self.inputs.push(Input::FrameReceived { connection, frame });
        }
        self.process_batch();
        self.now += interval;
    }

    /// Applies the queued inputs and a batch, and repeats with the inputs that the effects cause immediately.
    fn process_batch(&mut self) {
        self.counts.batches += 1;
        self.inputs.push(Input::ProcessBatch);
        while !self.inputs.is_empty() {
            for effect in self.apply() {
                self.handle_effect(effect);
            }
        }
    }

    /// Applies the queued inputs to the reducer. Only this counts as processor time of the reducer.
    fn apply(&mut self) -> Vec<Effect> {
        let inputs = std::mem::take(&mut self.inputs);
        let mut effects = Vec::with_capacity(inputs.len());
        let timer = ProcessorTimer::start();
        for input in inputs {
            effects.extend(self.reducer.apply(self.now, input));
        }
        self.reducer_ns += timer.elapsed_ns();
        effects
    }

    fn handle_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { client, reply, .. } => self.handle_reply(client, &reply),
            Effect::Connect { connection, .. } => {
                self.counts.connections += 1;
                self.inputs.push(Input::ConnectionOpened { connection });
            }
            Effect::WriteFrame { connection, frame } => {
                self.handle_frame(connection, frame);
                self.inputs.push(Input::FrameWritten { connection });
            }
            // Other effects concern neither clients nor leaf servers.
            _ => {}
        }
    }

    fn handle_reply(&mut self, client: u64, reply: &Reply) {
        let has_open_query = self.has_open_query.get_mut(client as usize);
        if !has_open_query.is_some_and(|open| std::mem::replace(open, false)) {
            self.counts.duplicate_replies += 1;
            return;
        }
        match reply {
            Reply::Answer { .. } => self.counts.answered += 1,
            _ => self.counts.refused += 1,
        }
        self.idle_clients.push(client);
    }

    fn handle_frame(&mut self, connection: u64, frame: LeafRequest) {
        match frame {
            LeafRequest::Call(parts) => {
                self.counts.calls += 1;
                self.counts.attempts += parts.len() as u64;
                if self.unresponsive {
                    return;
                }
                let due_at = self.now + self.leaf_latency_ns;
                let pending_answer = |part: CallPart| PendingAnswer {
                    due_at,
                    connection,
                    id: part.id.to_string(),
                };
                self.pending_answers
                    .extend(parts.into_iter().map(pending_answer));
            }
            LeafRequest::Probe | LeafRequest::ProbeLoad => {
                let frame = LeafResponse::ProbeAnswer {
                    ok: true,
                    report: "-".into(),
                };
                self.inputs.push(Input::FrameReceived { connection, frame });
            }
            // The answer is delivered nevertheless, as if it had been sent before the cancellation arrived.
            LeafRequest::Cancel(_) => {}
        }
    }
}

/// Query `number`, whose parts go to evenly spaced shards among the first `shards`.
fn query(number: u64, parts: u64, shards: u64) -> QueryRequest {
    let distance = (shards / parts).max(1);
    let part = |index: u64| PartRequest {
        shard: ((number * SHARD_STRIDE + index * distance) % shards) as u32,
        weight: 1.0 / parts as f64,
        work: None,
    };
    QueryRequest {
        request_id: format!("q{number}"),
        class: 0,
        tenant: 0,
        timeout: CLIENT_TIMEOUT_NS,
        client_retry: false,
        idempotency_key: None,
        parts: (0..parts).map(part).collect(),
        text: Bytes::from_static(b"c41e77d0"),
    }
}
