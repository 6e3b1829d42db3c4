//! Every decision of a co-ordinator. What goes in and out is defined in `src/interface.rs`.
//!
//! One [`Coordinator`] is told of events in batches and answers each batch with actions. It holds no clock,
//! no thread and nothing global: the same settings, seed and events give the same actions.

use crate::due_queue::DueQueue;
use crate::interface::*;
use crate::judged_parts::JudgedParts;
use crate::query::{Attempt, Part, Query};
use crate::replica_table::{Connection, Replica, ReplicaTable, Slot, Traffic};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- Tuned constants ----------------------------------------------------------------------------------

/// Share of a step's weight: as far as the cutoff climbs (the design's v / n, 50 of 400 documents).
const CUTOFF_TOP: f64 = 0.125;
/// Share of weight by which the cutoff moves: four steps, so that one bad second costs little.
const CUTOFF_STEP: f64 = CUTOFF_TOP / 4.0;
/// Share of the own parts of `SECOND` late or refused above which the cutoff climbs (design).
const PRESSURE_SHARE: f64 = 0.1;
/// Parts in the window below which their share is noise.
const PRESSURE_LEAST: usize = 8;
/// The cutoff's window and its least time between two steps (design: the last second), ns.
const SECOND: Nanos = 1_000_000_000;
/// Seconds without pressure after which the cutoff sinks.
const QUIET_SECONDS: Nanos = 2;
/// Share of the time that a step may take after which its parts are late (design: starts at three quarters).
const LATE_AT: f64 = 0.8;
/// Weight of a new sample in a replica's smoothed latency: about the last five answers count.
const SMOOTHING: f64 = 0.2;
/// Weight of a failed attempt there: what fails at once looks quick and idle and would draw all work.
const SMOOTHING_FAILED: f64 = 0.6;
/// Weight of a new sample in the latency over all replicas, which sees many times more of them.
const SMOOTHING_ALL: f64 = 0.03;
/// Share of the aim taken as latency before any is known (design: a tenth).
const FIRST_LATENCY: f64 = 0.1;
/// Aims after which what was learned of a replica has mostly faded to the average, so that it is tried again.
const FADE_AIMS: f64 = 5.0;
/// Deviations above the mean latency past which an attempt is waited for in vain.
const WAIT_DEVIATIONS: f64 = 4.0;
/// Least and greatest share of the aim to wait before a second copy: room for the copy to land in time.
const WAIT_SHARES: (f64, f64) = (0.125, 0.4);
/// Share of a stated attempt budget that classes with partial answers may use.
const BUDGET_PARTIAL: f64 = 0.5;
/// Own cap on second copies: so many, plus this share of the parts open or lately taken.
const COPIES: (f64, f64) = (3.0, 0.15);
/// Weight of one race between an attempt and its copy in the share that copies lose.
const RACE: f64 = 0.1;
/// Aims for which a replica that went silent is left alone at first, and at the most.
const REST_AIMS: (f64, f64) = (0.5, 4.0);
/// Share of the replicas under suspicion from which on the others are probed, where that is allowed.
const PROBE_SHARE: f64 = 0.1;
/// Share of the aim for which a replica that turned a part away is taken to be full, whoever filled it.
const FULL_REST: f64 = 0.125;
/// Times of warming up over which the answers that a replica usually gives are counted.
const COLD_MEMORY: f64 = 4.0;
/// Share of the multiple that brings a cold replica down which may be used up on the word of the settings alone.
const COLD_TOLD: f64 = 0.7;
/// Share of the aim within which a cold replica's answers show that it has room: it then gets all that is told.
const COLD_QUICK: f64 = 0.25;
/// Share of the aim past which a query's slowest part has it refused.
const REFUSE_AT: f64 = 0.5;
/// Bounds of the factor by which a query's worth for its parts moves that share.
const DENSITY: (f64, f64) = (0.7, 1.3);
/// First tries by which the usual patience may lead, so that a change among the clients is seen soon.
const PATIENCE_VOTES: u32 = 16;
/// Shares of the time within which the list has to be asked for: wait after one failed call, and at the most.
const ASK_AGAIN: (f64, f64) = (0.06, 0.5);
/// Share of the time after which an idle connection is closed past which one has long been unused.
const STALE: f64 = 0.04;
/// Weight of one attempt in the share lost, and the share on such connections from which on that is trouble.
/// Two shares are alike where one is more than the third of these times the other.
const LOSS: (f64, f64, f64) = (0.05, 0.2, 0.7);
/// Aims for which they are renewed after that was seen.
const RENEW_AIMS: f64 = 15.0;
/// What a second refusal of one part takes off the share of queries let in, what an answer adds to it, and the
/// least of it: one that learns nothing any more would never open again.
const LET_IN: (f64, f64, f64) = (0.25, 0.03, 0.1);
/// The same for a query that is given up with parts in or out: their work was for nothing.
const LOST_SHUTS: f64 = 0.6;
/// Beats (our own timer) kept free before a moment that must not be missed.
const SPARE_BEATS: Nanos = 2;

/// Replicas at which a query's attempts broke from which on it is held to bring them down.
const HARM: usize = 3;
/// Aims by which an answer from another zone counts as later, times the told price of crossing: the price
/// is the same at any load, so it weighs most where time is plenty.
const FAR: f64 = 4.0;

// ---- State --------------------------------------------------------------------------------------------

/// The decisions of one co-ordinator.
#[derive(Debug, Default)]
pub struct Coordinator {
    settings: Settings,
    shortest_aim: ShortestAim,
    seed: u64,
    random: u64,
    now: Nanos,
    replicas: ReplicaTable,
    queries: BTreeMap<RequestId, Query>,
    /// When each query is next tended, unless something of its own happens before.
    due: DueQueue,
    /// All queries are tended in every batch, for comparison; how many were tended so far.
    tends_all: bool,
    tended: u64,
    groups: BTreeMap<u32, RequestId>,
    owner: BTreeMap<RequestId, RequestId>,
    /// Attempts out: where, since when, and on what kind of connection.
    flights: BTreeMap<(RequestId, u8), (ReplicaId, Nanos, Connection)>,
    /// Share of attempts lost by kind of connection; when renewing may be tried, and until when it lasts.
    losses: [f64; 3],
    renew: (Nanos, Nanos),
    /// Share of second copies whose first attempt landed before them.
    races_lost: f64,
    /// Parts of the last second: when each was judged and whether it was late or refused.
    judged: JudgedParts,
    /// Share of the queries that is kept out since their parts would be turned away wherever they go.
    kept_out: f64,
    cutoff: f64,
    cutoff_moved: Nanos,
    last_pressure: Nanos,
    /// Mean latency and mean deviation over all replicas, ns.
    mean: Option<f64>,
    deviation: f64,
    taken: VecDeque<Nanos>,
    extras: VecDeque<Nanos>,
    /// Parts answered to us, fading over `memory`, when that was counted, and when we started.
    served: (f64, Nanos),
    /// Mean number of parts of a query.
    breadth: Option<f64>,
    born: Nanos,
    /// The usual patience of first tries of a class and tenant, and by how many votes it leads.
    patience: BTreeMap<(usize, usize), (Nanos, u32)>,
    usual_density: Option<f64>,
    /// A replica fell silent since probes were last thought of, and when they were last sent.
    struck: bool,
    probed: Nanos,
    notes: Vec<String>,
    wake_at: Option<Nanos>,
    /// When to ask for the list again (none while it is subscribed to), and how many calls failed in a row.
    ask_at: Option<Nanos>,
    asks_failed: u32,
}

/// The shortest aim of all classes, ns.
#[derive(Debug)]
struct ShortestAim(f64);

impl Default for ShortestAim {
    fn default() -> Self {
        ShortestAim(SECOND as f64)
    }
}

// ---- Events -------------------------------------------------------------------------------------------

impl Coordinator {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Coordinator {
            ask_at: settings.list_on_request.then_some(0),
            replicas: ReplicaTable::new(settings.cells, settings.reach, settings.call_parts.unwrap_or(1)),
            shortest_aim: ShortestAim(settings.classes.iter().map(|c| c.aim).min().unwrap_or(SECOND) as f64),
            settings,
            seed,
            random: seed,
            ..Coordinator::default()
        }
    }

    /// How much is kept of queries, attempts and replicas.
    pub fn held(&self) -> usize {
        let open = self.queries.len() + self.groups.len() + self.owner.len() + self.flights.len();
        open + self.taken.len() + self.patience.len() + self.replicas.len()
    }

    /// How many replicas were looked at so far: a count for tests of scale.
    pub fn replicas_visited(&self) -> u64 {
        self.replicas.visited()
    }

    /// How many times a query was tended so far: a count for tests of scale.
    pub fn queries_tended(&self) -> u64 {
        self.tended
    }

    /// Tends all queries in every batch from now on, due or not: the actions are the same, for tests to compare.
    #[doc(hidden)]
    pub fn tend_all(&mut self) {
        self.tends_all = true;
    }

    /// Takes what happened at `now`, in order, and appends what to do about it to `actions`.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.born = if self.born == 0 { now } else { self.born };
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            actions.push(Action::Subscribe { on: true });
        }
        let mut fresh = BTreeSet::new();
        for event in events {
            self.take(event, &mut fresh, actions);
        }
        self.forget_old();
        self.move_cutoff();
        for id in fresh {
            self.begin(id, actions);
        }
        let due = self.due.take_due(now);
        let due = if self.tends_all { self.queries.keys().copied().collect() } else { due };
        for id in due {
            self.tend(id, actions);
        }
        self.probe_round(actions);
        actions.extend(self.notes.drain(..).map(Action::Log));
        let next = if self.queries.is_empty() { self.ask_at } else { Some(now + self.beat()) };
        if let Some(next) = next.filter(|next| self.wake_at.is_none_or(|at| at <= now || *next < at)) {
            self.wake_at = Some(next);
            actions.push(Action::Wake { token: 0, after: next.saturating_sub(now) });
        }
    }

    fn take(&mut self, event: &Event, fresh: &mut BTreeSet<RequestId>, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.take_list(*kind, members),
            Event::Query { .. } => self.take_query(event),
            Event::Part { id, group, shard, weight } => {
                self.taken.push_back(self.now);
                if let Some(owner) = self.take_part(*id, *group, *shard, *weight) {
                    fresh.insert(owner);
                }
            }
            Event::Ended { part, attempt, outcome, .. } => self.take_outcome(*part, *attempt, *outcome),
            Event::ClientGone { id } => {
                if let Some(mut query) = self.queries.remove(id) {
                    self.withdraw(&mut query, actions);
                    self.forget(&query);
                    fresh.remove(id);
                }
            }
            Event::Began { replica, .. } => {
                if let Some(slot) = self.replicas.slot(*replica) {
                    self.hear(slot);
                }
            }
            Event::Probed { replica, outcome, latency, .. } => self.take_probe(*replica, *outcome, *latency),
            Event::Timer { .. } | Event::Message { .. } => {}
        }
    }

    fn take_probe(&mut self, replica: ReplicaId, outcome: Outcome, latency: Nanos) {
        let Some(slot) = self.replicas.slot(replica) else { return };
        match outcome {
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => {
                self.learn(slot, self.now.saturating_sub(latency), Connection::InUse, outcome);
            }
            Outcome::Ok => self.hear(slot),
            _ => {}
        }
    }

    fn take_list(&mut self, kind: ListKind, members: &[Member]) {
        if kind == ListKind::Failed {
            return self.ask_later();
        }
        self.asks_failed = if kind == ListKind::Remembered { self.asks_failed } else { 0 };
        self.replicas.list(members, kind != ListKind::Changes);
        self.replicas.forget_gone(self.now.saturating_sub((FADE_AIMS * self.shortest_aim()) as Nanos));
    }

    /// The list is one service for all: those that fail and ask again at once keep it so busy that most never
    /// get an answer, and go on without the list. Each waits, at a moment of its own, longer each time.
    fn ask_later(&mut self) {
        if self.ask_at.is_some() || !self.settings.list_on_request {
            return;
        }
        let within = (self.settings.list_within as f64).max(FADE_AIMS * self.shortest_aim());
        let most = (ASK_AGAIN.0 * f64::from(1u32 << self.asks_failed.min(16))).min(ASK_AGAIN.1);
        self.ask_at = Some(self.now + (within * most * (0.5 + self.toss())) as Nanos);
        self.asks_failed += 1;
    }

    fn take_query(&mut self, event: &Event) {
        let Event::Query { id, group, class, tenant, patience, lag, work, repeat } = *event else { return };
        self.taken.push_back(self.now);
        let class = class as usize;
        let spent = self.spent((class, tenant as usize), patience, repeat);
        let Some(kind) = self.settings.classes.get(class) else { return };
        let stretch = kind.aim_stretch.unwrap_or(0.0) * work.unwrap_or(0) as f64;
        let deadline = self.now + patience;
        let aim = (self.now + kind.aim + stretch as Nanos).saturating_sub(spent.max(lag));
        let query = Query {
            id,
            group,
            class,
            arrived: self.now,
            aim: if aim > self.now { aim.min(deadline) } else { deadline },
            late: aim <= self.now,
            hasty: repeat && spent == 0 && patience < kind.aim,
            deadline,
            step: 1,
            step_began: self.now,
            ..Query::default()
        };
        self.groups.insert(group, id);
        self.queries.insert(id, query);
        self.due.set(id, self.now);
    }

    /// How much of its aim a repeat has spent: its patience ends with the first try's deadline. First tries
    /// set by majority what is usual for a class and tenant: one's hasty clients must not spoil another's.
    fn spent(&mut self, (class, tenant): (usize, usize), patience: Nanos, repeat: bool) -> Nanos {
        let Some(kind) = self.settings.classes.get(class) else { return 0 };
        let (usual, lead) = self.patience.entry((class, tenant)).or_default();
        let alike = |usual: Nanos| patience.abs_diff(usual) <= kind.aim / 100;
        if !repeat && *lead == 0 {
            (*usual, *lead) = (patience, 1);
        } else if !repeat {
            *lead = if alike(*usual) { (*lead + 1).min(PATIENCE_VOTES) } else { *lead - 1 };
        }
        let first_try = self.settings.repeats_marked && !repeat;
        let unspent = first_try || alike(*usual) || *lead == 0;
        kind.deadline.saturating_sub(if unspent { kind.deadline } else { patience })
    }

    fn take_part(&mut self, id: RequestId, group: u32, shard: u32, weight: f64) -> Option<RequestId> {
        let owner = *self.groups.get(&group)?;
        let query = self.queries.get_mut(&owner)?;
        let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
        query.parts.push(Part { id, shard, weight, step: query.step, ..Part::default() });
        self.owner.insert(id, owner);
        self.due.set(owner, self.now);
        Some(owner)
    }

    fn take_outcome(&mut self, part: RequestId, number: u8, outcome: Outcome) {
        let Some((replica, sent, connection)) = self.flights.remove(&(part, number)) else { return };
        // A failed connection is lost capacity where the replica was heard lately or attempts are rationed;
        // elsewhere it may just be slow to greet, and light parts dropped for that help nobody.
        let slot = self.replicas.slot(replica);
        let heard = |slot: Slot| self.replicas.at(slot).traffic().heard;
        let known = slot.is_some_and(|slot| self.news_age(heard(slot)) < 1.0);
        let pressing = known || self.settings.budget.is_some();
        if let Some(slot) = slot {
            self.learn(slot, sent, connection, outcome);
        }
        let Some(owner) = self.owner.get(&part) else { return };
        let Some(query) = self.queries.get_mut(owner) else { return };
        self.due.set(*owner, self.now);
        let Some(part) = query.parts.iter_mut().find(|p| p.id == part) else { return };
        if let Some(attempt) = part.attempts.get_mut(number as usize) {
            attempt.out = false;
            attempt.broke = outcome == Outcome::Broken;
            attempt.never_ran = outcome.never_ran();
        }
        if outcome == Outcome::Ok && !part.landed && part.attempts.iter().any(|a| a.out) {
            let first = part.attempts.iter().take(number as usize).all(|a| !a.out);
            self.races_lost += RACE * (f64::from(u8::from(first)) - self.races_lost);
        }
        part.landed |= outcome == Outcome::Ok;
        let bad = outcome == Outcome::Refused || outcome == Outcome::Unreachable && pressing;
        if (part.landed || bad) && !part.counted {
            part.counted = true;
            self.judged.push(self.now, bad);
        }
        if outcome == Outcome::Refused && number > 0 {
            self.keep_out(LET_IN.0);
        } else if outcome == Outcome::Ok {
            self.kept_out *= 1.0 - LET_IN.1;
        }
    }

    fn forget(&mut self, query: &Query) {
        self.due.remove(query.id);
        self.groups.remove(&query.group);
        for part in &query.parts {
            self.owner.remove(&part.id);
        }
    }

    fn forget_old(&mut self) {
        let span = self.settings.budget.as_ref().map_or(0, |b| b.span).max(2 * SECOND);
        let (window, span) = (self.now.saturating_sub(SECOND), self.now.saturating_sub(span));
        self.judged.forget_before(window);
        for kept in [&mut self.taken, &mut self.extras] {
            while kept.front().is_some_and(|at| *at < span) {
                kept.pop_front();
            }
        }
    }

    fn beat(&self) -> Nanos {
        (2 * self.settings.tick).max(self.shortest_aim() as Nanos / 200).max(1)
    }

    fn shortest_aim(&self) -> f64 {
        self.shortest_aim.0
    }

    // ---- Admission ----------------------------------------------------------------------------------------

    fn begin(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.remove(&id) else { return };
        if query.step == 1 {
            let parts = query.parts.len() as f64;
            let breadth = self.breadth.get_or_insert(parts);
            *breadth += SMOOTHING_ALL * (parts - *breadth);
            if self.hopeless(&mut query) || self.kept_out() {
                return self.give_up(query, actions);
            }
            self.select(&mut query);
        }
        for i in query.by_weight().into_iter().rev() {
            if query.parts[i].attempts.is_empty() && !query.parts[i].dropped {
                self.send(&mut query, i, actions);
            }
        }
        self.queries.insert(id, query);
    }

    /// A query may bring down each replica that begins a part: none is in, and attempts broke at several. No
    /// more of it goes out for a while, in which one that met dying replicas by chance has parts land.
    fn harmful(query: &Query) -> bool {
        let broke = query.parts.iter().flat_map(|p| &p.attempts).filter(|a| a.broke);
        let replicas: BTreeSet<ReplicaId> = broke.map(|a| a.replica).collect();
        replicas.len() >= HARM && !query.parts.iter().any(|p| p.landed)
    }

    /// What was let in holds slots until it has run, answered or not. Where holder after holder turns parts
    /// away, a further query costs others their parts and is lost itself, and a hundred co-ordinators see
    /// nothing of each other but that: each lets in less, at once, and more again with each answer.
    fn kept_out(&mut self) -> bool {
        self.kept_out > 0.0 && self.toss() < self.kept_out
    }

    fn keep_out(&mut self, share: f64) {
        self.kept_out += share * (1.0 - LET_IN.2 - self.kept_out).max(0.0);
    }

    fn toss(&mut self) -> f64 {
        let mut random = fastrand::Rng::with_seed(self.random);
        let toss = random.f64();
        self.random = random.get_seed();
        toss
    }

    /// Overload: a query that cannot make its aim only delays others.
    fn hopeless(&mut self, query: &mut Query) -> bool {
        let share = REFUSE_AT * self.density(query);
        let left = (query.aim - query.arrived) as f64;
        let limit = share * left / self.steps_of(query) as f64;
        let class = &self.settings.classes[query.class];
        // Work for a client who leaves too soon is lost. By the aim, or a slow spell would never end.
        let usual = self.mean.unwrap_or(0.0).min(REFUSE_AT * class.aim as f64);
        if query.late && class.late_worth <= 0.0 || query.hasty || left < usual {
            return true;
        }
        let least = class.floor.min(class.need);
        let slow: Vec<usize> =
            (0..query.parts.len()).filter(|i| self.best_latency(&query.parts[*i]) > limit).collect();
        let left = 1.0 - slow.iter().map(|i| query.parts[*i].weight).sum::<f64>();
        if left + 1e-4 >= least && least < class.need {
            slow.into_iter().for_each(|i| query.parts[i].dropped = true);
        }
        left + 1e-4 < least
    }

    /// Worth of a part against the usual: queries that earn much for little work may wait in longer queues.
    fn density(&mut self, query: &Query) -> f64 {
        let worth = self.settings.classes[query.class].worth.unwrap_or(1.0);
        let own = worth / query.parts.len().max(1) as f64;
        let usual = self.usual_density.get_or_insert(own);
        *usual += SMOOTHING_ALL * (own - *usual);
        (own / usual.max(f64::MIN_POSITIVE)).clamp(DENSITY.0, DENSITY.1)
    }

    /// When one more part should be back: ours out there at the pace of its answers, just sent ones included.
    fn expected(&self, replica: &Replica) -> f64 {
        let traffic = replica.traffic();
        let out = traffic.open().parts();
        if self.now < traffic.full_until {
            return f64::INFINITY;
        }
        let quiet = self.now.saturating_sub(traffic.answered) as f64 / self.shortest_aim();
        let queued = traffic.pace.unwrap_or(0.0) * f64::from(out + 1) * (-quiet).exp();
        queued.max(self.oldest_age(replica) as f64)
    }

    fn best_latency(&self, part: &Part) -> f64 {
        let holders = self.replicas.holders(part.shard);
        let ready = holders.iter().map(|slot| self.replicas.at(*slot)).filter(|r| r.is_ready());
        ready.map(|r| self.expected(r)).fold(f64::INFINITY, f64::min)
    }

    fn steps_of(&self, query: &Query) -> u64 {
        1 + u64::from(self.settings.classes[query.class].second_step > 0)
    }

    // ---- Selection ----------------------------------------------------------------------------------------

    /// The design's cutoff: parts lighter than it stay unsent, lightest first, never below the class's floor.
    /// Each step lets go a share of what may go, or one bad second would take a hundred light parts at once.
    fn select(&self, query: &mut Query) {
        let floor = self.settings.classes[query.class].floor;
        if self.cutoff <= 0.0 || floor >= 1.0 {
            return;
        }
        let sent: f64 = query.parts.iter().filter(|p| !p.dropped).map(|p| p.weight).sum();
        let mut spare = (sent - floor) * self.cutoff / CUTOFF_TOP;
        for i in query.by_weight() {
            let part = &mut query.parts[i];
            if part.weight >= self.cutoff || part.weight > spare {
                return;
            }
            spare -= if part.dropped { 0.0 } else { part.weight };
            part.dropped = true;
        }
    }

    fn move_cutoff(&mut self) {
        let (bad, judged) = (self.judged.bad(), self.judged.len());
        let pressure = judged >= PRESSURE_LEAST && bad as f64 > PRESSURE_SHARE * judged as f64;
        if pressure {
            self.last_pressure = self.now;
        }
        let rested = self.now.saturating_sub(self.cutoff_moved) >= SECOND;
        let before = self.cutoff;
        if pressure && rested {
            self.cutoff = (before + CUTOFF_STEP).min(CUTOFF_TOP);
        } else if rested && self.now.saturating_sub(self.last_pressure) >= QUIET_SECONDS * SECOND {
            self.cutoff = 0.0;
        }
        if self.cutoff != before {
            self.cutoff_moved = self.now;
            if before == 0.0 {
                self.notes.push("cutoff off zero: light parts are left out".into());
            } else if self.cutoff == 0.0 {
                self.notes.push("cutoff back at zero".into());
            }
        }
    }

    // ---- Replica choice -----------------------------------------------------------------------------------

    /// The design's choice: least smoothed latency times own open calls plus one. Suspects come after all
    /// others, and replicas that this part has tried come after those that it has not.
    fn choose(&mut self, part: &Part) -> Option<Slot> {
        self.take_turns(part.shard);
        let mut best: Option<((u32, f64, bool, u32), Slot)> = None;
        let mut random = fastrand::Rng::with_seed(self.random);
        for slot in self.replicas.holders(part.shard).iter() {
            let replica = self.replicas.at(*slot);
            let id = replica.id();
            if !self.may_send(replica) || part.attempts.iter().any(|a| a.out && a.replica == id) {
                continue;
            }
            let tried = part.attempts.iter().any(|a| a.replica == id) as u32;
            let rank = 2 * self.suspect(replica) as u32 + tried;
            let price = self.settings.zone_price * f64::from(u8::from(replica.zone() != self.settings.zone));
            let queue = self.latency(replica) * f64::from(self.open_calls(replica) + 1);
            let score = queue + FAR * price * self.shortest_aim();
            let key = (rank, score, !self.sent_to_now(replica), random.u32(..));
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, *slot));
            }
        }
        self.random = random.get_seed();
        best.map(|(_, slot)| slot)
    }

    /// Smoothed latency: the average while unheard, fading to it in silence, and never under the age of the
    /// oldest attempt still out: a silent replica is slow now, not when it returns.
    fn latency(&self, replica: &Replica) -> f64 {
        self.smoothed(replica).max(self.oldest_age(replica) as f64)
    }

    fn smoothed(&self, replica: &Replica) -> f64 {
        let mean = self.mean.unwrap_or(FIRST_LATENCY * self.shortest_aim());
        let traffic = replica.traffic();
        traffic.latency.map_or(mean, |own| mean + (own - mean) * (-self.news_age(traffic.learned)).exp())
    }

    fn news_age(&self, at: Nanos) -> f64 {
        self.now.saturating_sub(at) as f64 / (FADE_AIMS * self.shortest_aim())
    }

    fn oldest_age(&self, replica: &Replica) -> Nanos {
        let traffic = replica.traffic();
        traffic.open().oldest().map_or(0, |sent| self.now - sent.max(traffic.heard))
    }

    fn sent_to_now(&self, replica: &Replica) -> bool {
        replica.traffic().open().newest() == Some(self.now)
    }

    /// Calls of ours still out at it; one opened this turn that has room for one more part is not counted.
    fn open_calls(&self, replica: &Replica) -> u32 {
        replica.traffic().open().calls(self.now, self.replicas.call_parts())
    }

    /// Drains and cold replicas: whether the rules leave room for one more part there.
    fn may_send(&self, replica: &Replica) -> bool {
        let room = self.cold_room(replica);
        if !replica.is_ready() || room == f64::INFINITY {
            return replica.is_ready();
        }
        let since = self.now.saturating_sub(self.settings.fall_time);
        let sends = &replica.traffic().sends;
        let recent = sends.len() - sends.partition_point(|at| *at < since);
        (recent as f64) < room
    }

    /// Turns at cold holders come no closer than the time in which they fall, from when there is work for them: were
    /// they all to end at one moment, those of this one and of the next would meet in one such time.
    fn take_turns(&mut self, shard: u32) {
        let (span, now, cold_time) = (self.settings.fall_time.max(1), self.now, self.settings.cold_time);
        let cold = |r: &Replica| r.started() > 0 && now.saturating_sub(r.started()) < cold_time;
        let due = |r: &Replica| cold(r) && now >= r.traffic().turn.0 + span;
        let holders = self.replicas.holders(shard);
        let due: Vec<Slot> = holders.iter().copied().filter(|slot| due(self.replicas.at(*slot))).collect();
        for slot in due {
            let seed = self.seed ^ self.replicas.at(slot).started() ^ now.rotate_left(32);
            self.replicas.traffic_mut(slot).turn = (now, fastrand::Rng::with_seed(seed).f64());
        }
    }

    /// Slow start: the guide is what its likes answered to us for long, or where that is little yet, what the
    /// tenants' allowances say that all can bear: at no room the warm ones are left with all the work. Dozens
    /// with one part each push it over: of less than one, the seed decides when it goes.
    fn cold_room(&self, replica: &Replica) -> f64 {
        let Some((from, multiple)) = self.cold_limits() else { return f64::INFINITY };
        let traffic = replica.traffic();
        let age = self.now.saturating_sub(replica.started());
        if replica.started() == 0 || age >= self.settings.cold_time {
            return f64::INFINITY;
        }
        let span = self.settings.fall_time.max(1);
        // The sends of a whole such time count, and it bore less at the beginning of that.
        let warmth =
            from + (1.0 - from) * age.saturating_sub(span / 2) as f64 / self.settings.cold_time as f64;
        let ready = self.replicas.ready().max(1);
        let counted = self.memory().min((self.now - self.born).max(self.settings.cold_time) as f64);
        let mixers = f64::from(self.settings.coordinators.max(1));
        let told = self.settings.allowance * self.breadth.unwrap_or(0.0) / mixers / SECOND as f64;
        let answers = traffic.answered > 0 && self.now >= traffic.full_until;
        let quick = answers && self.latency(replica) < COLD_QUICK * self.shortest_aim();
        // More of what is told only: what was answered is used up to the whole multiple already.
        let told = if quick { told } else { COLD_TOLD * told };
        let usual = (self.served.0 / counted).max(told) * span as f64 / ready as f64;
        ((multiple * warmth * usual).max(1.0 / mixers) + traffic.turn.1).floor()
    }

    /// With what share of its capacity a replica starts, and sent how much of it a cold one falls over.
    fn cold_limits(&self) -> Option<(f64, f64)> {
        self.settings.cold_from.zip(self.settings.fall_multiple)
    }

    fn memory(&self) -> f64 {
        COLD_MEMORY * self.settings.cold_time.max(1) as f64
    }

    // ---- Attempts -----------------------------------------------------------------------------------------

    /// Sends part `i` of the query to the best replica that may have it; false where there is none.
    fn send(&mut self, query: &mut Query, i: usize, actions: &mut Vec<Action>) -> bool {
        let late_worth = self.settings.classes[query.class].late_worth;
        let until = if late_worth > 0.0 { query.deadline } else { query.aim };
        let part = &mut query.parts[i];
        if until <= self.now || !self.may_try(part, query.class) {
            return false;
        }
        let Some(slot) = self.choose(part) else { return false };
        let id = self.replicas.at(slot).id();
        let number = part.attempts.len() as u8;
        if number > 0 {
            self.extras.push_back(self.now);
        }
        part.attempts.push(Attempt { replica: id, sent: self.now, out: true, ..Attempt::default() });
        let connection = self.connection(slot, actions);
        self.flights.insert((part.id, number), (id, self.now, connection));
        self.replicas.open_part(slot, self.now);
        if self.cold_limits().is_some() {
            let window = self.now.saturating_sub(self.settings.fall_time);
            self.replicas.note_send(slot, self.now, window);
        }
        actions.push(Action::Send { part: part.id, replica: id, until });
        true
    }

    /// On what connection a send goes out. Something on the way may drop a long unused one unseen: while that
    /// shows, it is closed first, so that a new one is opened.
    fn connection(&mut self, slot: Slot, actions: &mut Vec<Action>) -> Connection {
        let long = (STALE * self.settings.idle_time as f64) as Nanos;
        if long == 0 {
            return Connection::InUse;
        }
        let replica = self.replicas.at(slot);
        let (id, sent_to_now) = (replica.id(), self.sent_to_now(replica));
        let traffic = self.replicas.traffic_mut(slot);
        if !sent_to_now {
            let unused = traffic.open().is_empty() && traffic.heard > 0 && self.now - traffic.heard > long;
            traffic.connection = if unused { Connection::Unused } else { Connection::InUse };
            if unused && self.now < self.renew.1 {
                traffic.connection = Connection::Renewed;
                actions.push(Action::CloseIdle { replica: id });
            }
        }
        traffic.connection
    }

    /// Where many attempts are lost on unused connections and few on used ones, renewing is tried; where it
    /// does not help, since all are lost alike (hang, cut or slow link), it ends, and is left for as long. A
    /// loss counts once the replica is heard again: until then it may be dead.
    fn count(&mut self, connection: Connection, lost: bool) {
        let share = &mut self.losses[connection as usize];
        *share += LOSS.0 * (f64::from(u8::from(lost)) - *share);
        let [used, unused, renewed] = self.losses;
        let (now, span) = (self.now, (RENEW_AIMS * self.shortest_aim()) as Nanos);
        if now < self.renew.1 && renewed > LOSS.1.max(LOSS.2 * unused) {
            self.renew = (now + span, 0);
        } else if connection == Connection::Unused
            && unused > LOSS.1.max(used / LOSS.2)
            && now >= self.renew.0
        {
            self.notes.push("unused connections are lost: they are renewed".into());
            (self.renew, self.losses[Connection::Renewed as usize]) = ((now + span, now + span), 0.0);
        }
    }

    /// No repeat of an unsafe part that may have run, of a keyed one only while repeats are dropped.
    fn may_repeat(&self, part: &Part, class: usize) -> bool {
        let class = &self.settings.classes[class];
        let cap = self.settings.max_attempts.unwrap_or(u32::MAX) as usize;
        part.attempts.len() < cap
            && part.attempts.iter().find(|a| !a.never_ran).is_none_or(|first| match class.effect {
                Effect::Unsafe => false,
                Effect::Keyed => self.now <= first.sent + class.repeat_window,
                Effect::Safe => true,
            })
    }

    fn may_try(&self, part: &Part, class: usize) -> bool {
        let alone = self.settings.second_copies || part.attempts.iter().all(|a| !a.out);
        self.may_repeat(part, class)
            && (part.attempts.is_empty() || alone && self.budget_left(class, self.now))
    }

    /// Within a tight budget, classes that need every part come first: others may leave half of it at most.
    fn budget_left(&self, class: usize, at: Nanos) -> bool {
        let Some(budget) = &self.settings.budget else { return true };
        let since = at.saturating_sub(budget.span);
        let used = (self.extras.len() - self.extras.partition_point(|at| *at < since)) as f64;
        let taken = (self.taken.len() - self.taken.partition_point(|at| *at <= since)) as f64;
        let class = &self.settings.classes[class];
        let part = if class.floor < class.need { BUDGET_PARTIAL } else { 1.0 };
        used + 1.0 <= part * (budget.floor + budget.share * taken)
    }

    /// Second copies feed an overload: a cap, nearly all gone where they lose races. Open parts count too.
    fn copies_left(&self) -> bool {
        let parts = self.taken.len().max(self.owner.len());
        (self.extras.len() as f64)
            < COPIES.0 + COPIES.1 * parts as f64 * (1.5 - 2.0 * self.races_lost).clamp(0.0, 1.0)
    }

    /// How long to wait before another replica is asked: what answers usually take, with time for the copy.
    fn wait(&self, time: f64) -> f64 {
        self.slow_answer(FIRST_LATENCY * time).clamp(WAIT_SHARES.0 * time, WAIT_SHARES.1 * time)
    }

    fn slow_answer(&self, unknown: f64) -> f64 {
        self.mean.unwrap_or(unknown) + WAIT_DEVIATIONS * self.deviation
    }

    /// The time that one step of the query has, ns.
    fn step_time(&self, query: &Query) -> f64 {
        self.settings.classes[query.class].aim as f64 / self.steps_of(query) as f64
    }

    /// Judges lateness, and sends again what failed or has been out too long.
    fn push_on(&mut self, query: &mut Query, actions: &mut Vec<Action>) {
        let time = self.step_time(query);
        let (wait, late) = (self.wait(time), LATE_AT * time);
        let in_step = query.parts.iter().filter(|p| p.step == query.step && !p.dropped);
        let (count, landed) = in_step.fold((0, 0), |(n, l), p| (n + 1, l + p.landed as usize));
        for i in 0..query.parts.len() {
            let part = &mut query.parts[i];
            if part.landed {
                self.withdraw_part(part, actions);
            }
            if part.landed || part.dropped || part.step != query.step {
                continue;
            }
            if !part.counted && (self.now - query.step_began) as f64 > late {
                part.counted = true;
                self.judged.push(self.now, true);
            }
            let Some(last) = part.attempts.last().cloned() else {
                self.send(query, i, actions);
                continue;
            };
            let age = (self.now - last.sent) as f64;
            let unheard = self.replicas.get(last.replica).is_none_or(|r| r.traffic().heard <= last.sent);
            if part.attempts.iter().all(|a| !a.out) {
                if part.attempts.len() < 2 || age > WAIT_SHARES.0 * time {
                    self.send(query, i, actions);
                }
            } else if age > wait && (2 * landed >= count || unheard) {
                let better = self.choose(&query.parts[i]).is_some_and(|slot| {
                    let other = self.replicas.at(slot);
                    self.smoothed(other) * f64::from(self.open_calls(other) + 1) < age
                });
                if better && self.copies_left() && self.send(query, i, actions) {
                    if let Some(slot) = self.replicas.slot(last.replica) {
                        self.strike(slot, last.sent);
                    }
                }
            }
        }
    }

    // ---- Health -------------------------------------------------------------------------------------------

    /// A sign of life ends the suspicion; what failed stays in the smoothed latency for a while.
    fn hear(&mut self, slot: Slot) {
        self.replicas.set_suspected(slot, false);
        let traffic = self.replicas.traffic_mut(slot);
        (traffic.heard, traffic.rests_until, traffic.strikes) = (self.now, 0, 0);
        for connection in std::mem::take(&mut traffic.lost) {
            self.count(connection, true);
        }
    }

    fn learn(&mut self, slot: Slot, sent: Nanos, connection: Connection, outcome: Outcome) {
        let age = (self.now - sent) as f64;
        let replica = self.replicas.at(slot);
        let (known, faded) = (self.latency(replica), self.smoothed(replica));
        let sample = match outcome {
            Outcome::Ok => age,
            Outcome::NotSent => known,
            Outcome::Cancelled => age.max(known),
            _ => known.max(LATE_AT * self.shortest_aim()),
        };
        let overdue = age > self.wait(self.shortest_aim()) && replica.traffic().heard <= sent;
        let full_until = self.now + (FULL_REST * self.shortest_aim()) as Nanos;
        let traffic = self.replicas.traffic_mut(slot);
        if outcome == Outcome::Refused {
            traffic.full_until = full_until;
        }
        if outcome == Outcome::Ok {
            let since = traffic.answered.max(traffic.open().oldest().unwrap_or(sent));
            let gap = (self.now - since) as f64;
            let old = traffic.pace.unwrap_or(gap);
            traffic.pace = Some(old + SMOOTHING * (gap - old));
            traffic.answered = self.now;
        }
        if outcome != Outcome::NotSent {
            let failed = outcome != Outcome::Ok && (outcome != Outcome::Cancelled || overdue);
            let weight = if failed { SMOOTHING_FAILED } else { SMOOTHING };
            traffic.latency = Some(faded + weight * (sample - faded));
            traffic.learned = self.now;
            if failed && !matches!(outcome, Outcome::Error | Outcome::Refused) {
                traffic.lost.push(connection);
            }
        }
        self.replicas.close_part(slot, sent);
        match outcome {
            Outcome::Ok => {
                let kept = (-((self.now - self.served.1) as f64) / self.memory()).exp();
                self.served = (self.served.0 * kept + 1.0, self.now);
                let mean = self.mean.unwrap_or(age);
                self.deviation += SMOOTHING_ALL * ((age - mean).abs() - self.deviation);
                self.mean = Some(mean + SMOOTHING_ALL * (age - mean));
                self.hear(slot);
                self.count(connection, false);
            }
            Outcome::Error | Outcome::Refused => self.hear(slot),
            Outcome::Unreachable | Outcome::Broken | Outcome::TimedOut => self.strike(slot, sent),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Silence, whatever its cause: the replica rests, longer each time, then gets one call until it answers.
    fn strike(&mut self, slot: Slot, sent: Nanos) {
        let (now, aim) = (self.now, self.shortest_aim());
        let id = self.replicas.at(slot).id();
        let traffic = self.replicas.traffic_mut(slot);
        if traffic.heard > sent || now < traffic.rests_until {
            return;
        }
        if !std::mem::replace(&mut self.struck, true) {
            self.notes.push(format!("replica {:x} suspected: it is silent", id.0));
        }
        let rest = REST_AIMS.0 * aim * f64::from(1u32 << traffic.strikes.min(16));
        traffic.strikes += 1;
        traffic.rests_until = now + rest.min(REST_AIMS.1 * aim) as Nanos;
        self.replicas.set_suspected(slot, true);
    }

    /// Trouble at many replicas: one probe for each long quiet one, or queries find them out one by one.
    fn probe_round(&mut self, actions: &mut Vec<Action>) {
        let aim = self.shortest_aim();
        if !self.settings.may_probe || self.news_age(self.probed) < 1.0 || !std::mem::take(&mut self.struck) {
            return;
        }
        if self.replicas.suspected_and_ready() as f64 >= PROBE_SHARE * self.replicas.ready() as f64 {
            let fresh = |t: &Traffic| self.now.saturating_sub(t.heard.max(t.learned)) as f64 <= aim;
            let ready = self.replicas.walk_ready().into_iter().map(|slot| self.replicas.at(slot));
            let unheard = ready.filter(|r| r.traffic().open().is_empty() && !fresh(r.traffic()));
            actions.extend(unheard.map(|r| Action::Probe { replica: r.id() }));
            self.probed = self.now;
        }
    }

    fn suspect(&self, replica: &Replica) -> bool {
        let silent = self.oldest_age(replica) as f64 > self.wait(self.shortest_aim());
        let traffic = replica.traffic();
        let resting = self.now < traffic.rests_until || !traffic.open().is_empty();
        silent || replica.suspected() && resting || self.now < traffic.full_until
    }

    // ---- Deadlines ----------------------------------------------------------------------------------------

    /// The first time at which tending the query may change anything, unless something of its own happens
    /// before: an answer or refusal at a fixed moment, or what `push_on` does for a part. It may be too early,
    /// never too late.
    fn next_due(&self, query: &Query) -> Nanos {
        let time = self.step_time(query);
        let open = query.parts.iter().filter(|p| p.step == query.step && !p.landed && !p.dropped);
        let parts = open.map(|part| self.part_due(part, query, time)).min();
        let end = Some(self.answer_time(query)).filter(|end| *end > self.now);
        self.give_up_time(query).min(parts.unwrap_or(Nanos::MAX)).min(end.unwrap_or(Nanos::MAX))
    }

    /// Where nothing is out, budgets, lists and what other queries do may let a part go in any batch.
    fn part_due(&self, part: &Part, query: &Query, time: f64) -> Nanos {
        let Some(last) = part.attempts.last().filter(|_| part.attempts.iter().any(|a| a.out)) else {
            return self.now;
        };
        let copy = last.sent.saturating_add((WAIT_SHARES.0 * time) as Nanos);
        let late = query.step_began.saturating_add((LATE_AT * time) as Nanos);
        if part.counted {
            copy
        } else {
            copy.min(late)
        }
    }

    // ---- Answering ----------------------------------------------------------------------------------------

    /// When the running step has to be over: just before the aim, earlier where a second step follows.
    fn step_end(&self, query: &Query) -> Nanos {
        let end = query.aim.saturating_sub(SPARE_BEATS * self.beat());
        if query.step < self.steps_of(query) as u8 {
            return query.arrived + (end - query.arrived) / 2;
        }
        end
    }

    /// The last moment for an answer.
    fn last_call(&self, query: &Query) -> Nanos {
        query.deadline.saturating_sub(SPARE_BEATS * self.beat())
    }

    /// When the query is answered from what is in, if that is enough.
    fn answer_time(&self, query: &Query) -> Nanos {
        let class = &self.settings.classes[query.class];
        let late_earns = class.late_worth > class.partial_earns * query.landed() / class.need;
        if late_earns {
            self.last_call(query)
        } else {
            self.step_end(query)
        }
    }

    /// When the query is given up if it is not answered.
    fn give_up_time(&self, query: &Query) -> Nanos {
        let late_worth = self.settings.classes[query.class].late_worth;
        let last_call = self.last_call(query);
        if late_worth > 0.0 {
            last_call
        } else {
            query.aim.saturating_sub(self.beat()).min(last_call)
        }
    }

    /// Whether a part may still land: one that can't go out again (rules, holders, budget) is given up.
    fn may_land(&self, part: &Part, query: &Query) -> bool {
        let out = part.attempts.iter().any(|a| a.out);
        let held = || self.replicas.holders(part.shard).iter().any(|slot| self.replicas.at(*slot).is_ready());
        let paid = || part.attempts.is_empty() || self.budget_left(query.class, query.aim);
        out || self.may_repeat(part, query.class) && paid() && held()
    }

    fn tend(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut query) = self.queries.remove(&id) else { return };
        self.tended += 1;
        let class = &self.settings.classes[query.class];
        let own = |p: &&Part| p.step == query.step;
        let landed = query.landed();
        let all_in = query.parts.iter().filter(own).all(|p| p.landed);
        let open = |p: &&Part| !p.landed && !p.dropped && self.may_land(p, &query);
        let open: Vec<f64> = query.parts.iter().filter(own).filter(open).map(|p| p.weight).collect();
        let waiting = !open.is_empty();
        let (need, floor) = (class.need, class.floor.min(class.need));
        let least = if floor < need || query.step == 1 { floor } else { 1.0 };
        let whole =
            if query.step == 1 { all_in || landed + 1e-6 >= need } else { all_in && query.first_whole };
        let enough = whole || landed > 0.0 && landed + 1e-6 >= least;
        let begun = query.parts.iter().any(|p| p.step == query.step);
        let end = self.answer_time(&query);
        if begun && enough && (whole || all_in || !waiting || self.now >= end) {
            return self.answer(query, whole, actions);
        }
        let harm = Self::harmful(&query);
        let idle = query.parts.iter().flat_map(|p| &p.attempts).all(|a| !a.out);
        let lost = begun && (!waiting || landed + open.iter().sum::<f64>() + 1e-4 < least);
        if self.now >= self.give_up_time(&query) || lost || harm && idle {
            if query.parts.iter().any(|p| p.landed || p.attempts.iter().any(|a| a.out)) {
                self.keep_out(LOST_SHUTS);
            }
            return self.give_up(query, actions);
        }
        if !harm || (self.now - query.step_began) as f64 > self.wait(self.shortest_aim()) {
            self.push_on(&mut query, actions);
        }
        self.keep(query);
    }

    /// Keeps a query that was tended until it is next due.
    fn keep(&mut self, query: Query) {
        self.due.set(query.id, self.next_due(&query));
        self.queries.insert(query.id, query);
    }

    fn answer(&mut self, mut query: Query, whole: bool, actions: &mut Vec<Action>) {
        actions.push(Action::Answer { query: query.id, whole });
        self.withdraw(&mut query, actions);
        if query.step < self.steps_of(&query) as u8 {
            query.step = 2;
            query.step_began = self.now;
            query.first_whole = whole;
            self.keep(query);
        } else {
            self.forget(&query);
        }
    }

    /// Ends a query without an answer, at once. Safe to try again unless an unsafe part may have run.
    fn give_up(&mut self, mut query: Query, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[query.class];
        let may_have_run = query.parts.iter().flat_map(|p| &p.attempts).any(|a| !a.never_ran);
        if class.effect == Effect::Unsafe && may_have_run {
            actions.push(Action::Fail { query: query.id });
        } else {
            let advice = Some(self.settings.longest_retry_advice).filter(|longest| *longest > 0);
            actions.push(Action::Refuse { query: query.id, come_back: advice });
        }
        self.withdraw(&mut query, actions);
        self.forget(&query);
    }

    fn withdraw(&self, query: &mut Query, actions: &mut Vec<Action>) {
        for part in &mut query.parts {
            self.withdraw_part(part, actions);
        }
    }

    fn withdraw_part(&self, part: &mut Part, actions: &mut Vec<Action>) {
        for (number, attempt) in part.attempts.iter_mut().enumerate().filter(|(_, a)| a.out) {
            attempt.out = false;
            if self.settings.may_cancel {
                actions.push(Action::Cancel { part: part.id, attempt: number as u8 });
            }
        }
    }
}
