//! What goes into and comes out of a [`crate::Coordinator`]: its settings, the events it is told and the
//! actions it asks for. Nothing here decides anything. Times are nanoseconds of the caller's clock, which
//! may start anywhere and never runs backwards; a `None` means that the operator has not stated the value.

/// Nanoseconds, as a point on the caller's clock or as a length of time.
pub type Nanos = u64;
/// A query or a part; one number names one of them for ever.
pub type RequestId = u64;

/// A server that holds shards, by whatever number its owner uses for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// What repeating a part of a class would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be tried again freely.
    #[default]
    Safe,
    /// Dropped as a repeat within the class's window after the first attempt that may have run.
    Keyed,
    /// A second effect: only what is known not to have run may be tried again.
    Unsafe,
}

/// A class of query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub aim: Nanos,
    /// The aim grows by this multiple of the query's own expected work.
    pub aim_stretch: Option<f64>,
    /// The longest that a client waits, over all its tries.
    pub deadline: Nanos,
    pub effect: Effect,
    /// How long repeats of a keyed part are dropped.
    pub repeat_window: Nanos,
    pub worth: Option<f64>,
    /// Fraction of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// Share of the first step's weight that a whole answer needs.
    pub need: f64,
    /// Least share of the weight that an answer may rest on.
    pub floor: f64,
    /// What an answer that is not whole earns, times its share over `need`.
    pub partial_earns: f64,
    /// Most parts of the second step; 0 where there is none.
    pub second_step: u32,
}

/// Further attempts allowed in any `span`: `floor` plus `share` of the queries and parts taken in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    pub floor: f64,
    pub share: f64,
    pub span: Nanos,
}

/// All that a co-ordinator is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    /// Number of cells. Shard s is held by the replicas of cells s, s + 1, ... s + `reach` - 1, modulo this.
    pub cells: u32,
    pub reach: u32,
    /// Where this co-ordinator is, and the price of sending all parts elsewhere, in shares of all worth.
    pub zone: u16,
    pub zone_price: f64,
    /// Most parts that share a call when sent to one replica in one turn.
    pub call_parts: Option<u32>,
    /// How many co-ordinators there are, this one included.
    pub coordinators: u32,
    /// Least time between two batches of events.
    pub tick: Nanos,
    pub max_attempts: Option<u32>,
    pub may_cancel: bool,
    /// Clients mark their repeats; a query without the mark is a first try.
    pub repeats_marked: bool,
    pub second_copies: bool,
    pub may_probe: bool,
    /// The longest that a refused client is asked to stay away; 0 where no advice is to be given.
    pub longest_retry_advice: Nanos,
    /// A fresh replica has at least this share of its capacity, and all of it after `cold_time`.
    pub cold_from: Option<f64>,
    pub cold_time: Nanos,
    /// Sent more than this multiple of its present capacity for `fall_time`, a cold replica falls over.
    pub fall_multiple: Option<f64>,
    pub fall_time: Nanos,
    pub budget: Option<Budget>,
    /// Queries a second that all co-ordinators together are to bear, over all tenants; 0 where not told.
    pub allowance: f64,
    /// Connections without use are closed after so long.
    pub idle_time: Nanos,
    /// The list of replicas has to be asked for.
    pub list_on_request: bool,
    /// One that has not asked for so long is held to know what was listed that long ago.
    pub list_within: Nanos,
}

/// How a replica stands on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of the list of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub replica: ReplicaId,
    pub cell: u16,
    pub zone: u16,
    /// When it last started; 0 means long ago.
    pub started: Nanos,
    pub standing: Standing,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The complete list.
    Full,
    /// The complete list as last held before a restart; it may be old.
    Remembered,
    /// A request for the list failed; there are no lines.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The replica reports an error; the part may have run.
    Error,
    /// Turned away unseen.
    Refused,
    /// No reply in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Withdrawn by us; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// It is certain that the part has not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Refused | Outcome::Unreachable | Outcome::NotSent
        )
    }
}

/// A replica's words about its own load, in the order that the operator states.
pub type LoadReport = Vec<f32>;

/// What a co-ordinator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        members: Vec<Member>,
    },
    /// A query; its parts follow in the same batch and carry the same `group`.
    Query {
        id: RequestId,
        group: u32,
        class: u16,
        tenant: u32,
        patience: Nanos,
        /// Of the client's time, what had gone by when this came and what the answer's way back may take.
        lag: Nanos,
        work: Option<Nanos>,
        /// The client has marked it as a repeat of an earlier try.
        repeat: bool,
    },
    /// A part of the query with this `group`; `weight` is its share of its step.
    Part {
        id: RequestId,
        group: u32,
        shard: u32,
        weight: f64,
    },
    /// The end of an attempt. Attempts of a part count from 0 in the order sent.
    Ended {
        part: RequestId,
        attempt: u8,
        replica: ReplicaId,
        outcome: Outcome,
        report: LoadReport,
    },
    /// A streamed answer has begun.
    Began {
        part: RequestId,
        attempt: u8,
        replica: ReplicaId,
    },
    /// The client has gone; the query is over.
    ClientGone {
        id: RequestId,
    },
    Timer {
        token: u64,
    },
    Probed {
        replica: ReplicaId,
        outcome: Outcome,
        latency: Nanos,
        report: LoadReport,
    },
    Message {
        from: u32,
        bytes: Vec<u8>,
    },
}

/// What a co-ordinator asks for, carried out in this order at the time of its batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a replica; drop the attempt at `until`.
    Send {
        part: RequestId,
        replica: ReplicaId,
        until: Nanos,
    },
    Cancel {
        part: RequestId,
        attempt: u8,
    },
    /// Answer a query from the parts that are in.
    Answer {
        query: RequestId,
        whole: bool,
    },
    /// Refuse a query: trying again is harmless, best not before `come_back` has passed.
    Refuse {
        query: RequestId,
        come_back: Option<Nanos>,
    },
    /// End a query with no promise about its effect.
    Fail {
        query: RequestId,
    },
    /// Ask for a [`Event::Timer`] after so long.
    Wake {
        token: u64,
        after: Nanos,
    },
    /// Subscribe to the list of replicas, or stop.
    Subscribe {
        on: bool,
    },
    /// Ask for the whole list once.
    FetchList,
    Probe {
        replica: ReplicaId,
    },
    CloseIdle {
        replica: ReplicaId,
    },
    /// Send bytes to one other co-ordinator, or to all.
    Tell {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    Log(String),
}
