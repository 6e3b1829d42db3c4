//! Plays the sockets' part around the reducer: clients that ask, leaf servers that answer, in time of its own.

use super::fleet::Fleet;
use crate::meter::Stopwatch;
use bytes::Bytes;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::protocol::leaf_frames::{CallPart, LeafRequest, LeafResponse, PartStatus};
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::{Effect, Input, Reducer};
use cottonhill_mixer::settings;
use std::collections::VecDeque;
use std::time::Instant;

const MS: u64 = 1_000_000;
/// When a run begins in its own time: far from zero, so that nothing counts as just started.
const BEGIN: u64 = 1_000_000 * MS;
/// More descriptors than any run needs: no connection is closed for want of one.
const DESCRIPTORS: usize = 10_000_000;
/// How long a client waits.
const CLIENT_TIMEOUT_NS: u64 = 5_000 * MS;
/// Steps from one query's shards to the next one's; prime, so that all shards come up.
const STRIDE: u64 = 7919;

/// The queries of a run.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workload {
    /// Parts of a query.
    pub parts: u64,
    /// Queries open at once.
    pub open: u64,
    /// How long a leaf server takes for a part, in nanoseconds of the run's own time.
    pub answer_ns: u64,
    /// Shards that queries ask, from the first on; all of the fleet where it holds fewer.
    pub shards: u64,
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queries that clients put, and those that ended in an answer or in a refusal or failure.
    pub asked: u64,
    pub answered: u64,
    pub refused: u64,
    /// Replies to a client that had no query open.
    pub twice: u64,
    /// Attempts sent to leaf servers, and the calls that they went in.
    pub attempts: u64,
    pub calls: u64,
    /// Connections opened to leaf servers.
    pub connections: u64,
    /// Times that the decisions were asked.
    pub turns: u64,
}

impl Counts {
    /// Queries that have had their reply.
    pub fn ended(&self) -> u64 {
        self.answered + self.refused
    }

    /// Queries that wait for theirs.
    pub fn unanswered(&self) -> u64 {
        self.asked.saturating_sub(self.ended())
    }
}

/// An attempt at a leaf server, until it is answered.
struct Due {
    at: u64,
    connection: u64,
    id: String,
}

/// A reducer with everything around it played.
pub struct Driver {
    state: Reducer,
    now: u64,
    inputs: Vec<Input>,
    due: VecDeque<Due>,
    free: Vec<u64>,
    /// By client: it waits for a reply.
    waiting: Vec<bool>,
    answer_ns: u64,
    /// Leaf servers answer nothing.
    silent: bool,
    reducer_ns: f64,
    counts: Counts,
}

impl Driver {
    /// A mixer of `fleet` that has no list yet.
    ///
    /// # Errors
    /// Settings that the mixer does not take.
    pub fn new(fleet: Fleet, seed: u64) -> Result<Driver, String> {
        let text = fleet.mixer_settings();
        let (site, rules) = (
            settings::parse_mixer(&text).map_err(|e| e.to_string())?,
            settings::parse_decisions(&text).map_err(|e| e.to_string())?,
        );
        let state = Reducer::new(
            BEGIN,
            site,
            rules,
            seed,
            &EndpointUpdate::default(),
            DESCRIPTORS,
        );
        Ok(Driver {
            state,
            now: BEGIN,
            inputs: Vec::new(),
            due: VecDeque::new(),
            free: Vec::new(),
            waiting: Vec::new(),
            answer_ns: 0,
            silent: false,
            reducer_ns: 0.0,
            counts: Counts::default(),
        })
    }

    /// What has happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Processor time of the reducer and its decisions so far, in nanoseconds; what plays the sockets is not in it.
    pub fn reducer_ns(&self) -> f64 {
        self.reducer_ns
    }

    /// Version of the list in force.
    pub fn list_version(&self) -> u64 {
        self.state.endpoint_list_version()
    }

    /// Takes a list or a change into the reducer, and decides.
    pub fn take(&mut self, listing: EndpointUpdate) {
        self.inputs.push(Input::EndpointsUpdated(listing));
        self.turn();
    }

    /// Opens as many clients as the workload has queries open, and room for all their parts.
    pub fn connect_clients(&mut self, workload: &Workload) {
        self.answer_ns = workload.answer_ns;
        for client in self.waiting.len() as u64..workload.open {
            self.inputs.push(Input::ClientOpened { client });
            self.waiting.push(false);
            self.free.push(client);
        }
        self.turn();
    }

    /// Asks `queries` queries at an even pace that keeps `workload.open` of them open, or fewer where `until` passes
    /// first; what is open then stays open. Returns whether all were asked.
    pub fn run(&mut self, workload: &Workload, shards: u64, queries: u64, until: Instant) -> bool {
        let pace = (workload.answer_ns / workload.open).max(1);
        let last = self.counts.asked + queries;
        while self.counts.asked < last && Instant::now() < until {
            self.ask(workload, shards);
            self.step(pace);
        }
        self.counts.asked == last
    }

    /// From now on leaf servers answer nothing, and nothing is held for them: what memory grows by is the mixer's.
    pub fn silence(&mut self) {
        self.silent = true;
    }

    /// Asks on every free client at once, with a turn for each.
    pub fn open_all(&mut self, workload: &Workload, shards: u64) {
        while !self.free.is_empty() {
            self.ask(workload, shards);
            self.turn();
        }
    }

    /// Lets the run's own time pass until nothing is open or `until` has passed.
    pub fn drain(&mut self, until: Instant) {
        while self.counts.unanswered() > 0 && Instant::now() < until {
            self.step(MS);
        }
    }

    /// One query, if a client is free.
    fn ask(&mut self, workload: &Workload, shards: u64) {
        let Some(client) = self.free.pop() else {
            return;
        };
        self.counts.asked += 1;
        if let Some(waiting) = self.waiting.get_mut(client as usize) {
            *waiting = true;
        }
        let asked = ClientRequest::Query(query(self.counts.asked, workload.parts, shards));
        self.inputs.push(Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(asked),
        });
    }

    /// Puts in the answers that are due, decides once, and lets `pace` pass.
    fn step(&mut self, pace: u64) {
        while self.due.front().is_some_and(|due| due.at <= self.now) {
            let Some(Due { connection, id, .. }) = self.due.pop_front() else {
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
        self.turn();
        self.now += pace;
    }

    /// Puts in what has come, then the turn that decides; and again what the effects bring back at once.
    fn turn(&mut self) {
        self.counts.turns += 1;
        self.inputs.push(Input::ProcessBatch);
        while !self.inputs.is_empty() {
            for effect in self.apply() {
                self.play(effect);
            }
        }
    }

    /// Gives the reducer all that is ready. Only this counts as its processor time.
    fn apply(&mut self) -> Vec<Effect> {
        let inputs = std::mem::take(&mut self.inputs);
        let mut effects = Vec::with_capacity(inputs.len());
        let watch = Stopwatch::start();
        for input in inputs {
            effects.extend(self.state.apply(self.now, input));
        }
        self.reducer_ns += watch.nanos();
        effects
    }

    fn play(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { client, reply, .. } => self.replied(client, &reply),
            Effect::Connect { connection, .. } => {
                self.counts.connections += 1;
                self.inputs.push(Input::ConnectionOpened { connection });
            }
            Effect::WriteFrame { connection, frame } => {
                self.written(connection, frame);
                self.inputs.push(Input::FrameWritten { connection });
            }
            // Nothing else of the reducer's concerns clients or leaf servers.
            _ => {}
        }
    }

    fn replied(&mut self, client: u64, reply: &Reply) {
        let waiting = self.waiting.get_mut(client as usize);
        if !waiting.is_some_and(|waiting| std::mem::replace(waiting, false)) {
            self.counts.twice += 1;
            return;
        }
        match reply {
            Reply::Answer { .. } => self.counts.answered += 1,
            _ => self.counts.refused += 1,
        }
        self.free.push(client);
    }

    fn written(&mut self, connection: u64, frame: LeafRequest) {
        match frame {
            LeafRequest::Call(parts) => {
                self.counts.calls += 1;
                self.counts.attempts += parts.len() as u64;
                if self.silent {
                    return;
                }
                let at = self.now + self.answer_ns;
                let due = |part: CallPart| Due {
                    at,
                    connection,
                    id: part.id.to_string(),
                };
                self.due.extend(parts.into_iter().map(due));
            }
            LeafRequest::Probe | LeafRequest::ProbeLoad => {
                let frame = LeafResponse::ProbeAnswer {
                    ok: true,
                    report: "-".into(),
                };
                self.inputs.push(Input::FrameReceived { connection, frame });
            }
            // The answer may be on its way already; it comes all the same.
            LeafRequest::Cancel(_) => {}
        }
    }
}

/// Query `number`, over different shards of the first `shards`, evenly apart.
fn query(number: u64, parts: u64, shards: u64) -> QueryRequest {
    let apart = (shards / parts).max(1);
    let part = |at: u64| PartRequest {
        shard: ((number * STRIDE + at * apart) % shards) as u32,
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
