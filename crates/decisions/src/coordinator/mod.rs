//! Every decision of a co-ordinator. What goes in and out is defined in `src/interface.rs`.
//!
//! One [`Coordinator`] is given events in batches and answers each batch with actions. It holds no clock, no thread
//! and nothing global: the same settings, seed and events give the same actions.

mod admission;
mod answering;
mod cutoff;
mod events;
mod health;
mod replica_choice;
mod retries;

use crate::judged_parts::JudgedParts;
use crate::open_queries::OpenQueries;
use crate::query::{InFlight, Query};
use crate::replica_table::ReplicaTable;
use crate::statistics::{FadingCount, MeanAndDeviation, SmoothedMean, TimeWindow, UsualTimeout};
use crate::timing::Timing;
use crate::{Action, DiscoveryMode, Event, Nanos, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// The window over which parts are judged, and the cutoff's least time between two steps (design: the last second), ns.
const SECOND: Nanos = 1_000_000_000;
/// Share of the time that a step may take after which its parts are late (design: starts at three quarters).
const LATE_AT: f64 = 0.8;
/// Share of the target latency taken as latency before any is known (design: a tenth).
const FIRST_LATENCY: f64 = 0.1;
/// Weight of a new sample in an average over all queries or replicas, which sees many times more of them.
const SMOOTHING_ALL: f64 = 0.03;

/// The decisions of one co-ordinator.
#[derive(Debug, Default)]
pub struct Coordinator {
    settings: Settings,
    timing: Timing,
    seed: u64,
    random: u64,
    now: Nanos,
    replicas: ReplicaTable,
    queries: OpenQueries,
    /// All queries are advanced in every batch, for comparison; how many were advanced so far.
    advances_all: bool,
    advanced: u64,
    /// Attempts out, by part and number.
    in_flight: BTreeMap<(RequestId, u8), InFlight>,
    /// Share of attempts lost by kind of connection; when renewing may be tried, and until when it lasts.
    lost_shares: [f64; 3],
    renew_after: Nanos,
    renewing_until: Nanos,
    /// Share of second copies whose first attempt landed before them.
    races_lost: f64,
    /// Parts of the last second: when each was judged and whether it was late or refused.
    judged: JudgedParts,
    /// Share of the queries that is refused since their parts would be turned away wherever they go.
    shed_share: f64,
    cutoff: f64,
    cutoff_moved: Nanos,
    last_pressure: Nanos,
    /// Mean latency and mean deviation over all replicas, ns.
    all_latencies: MeanAndDeviation,
    /// When queries and parts came, and when further attempts were sent.
    arrivals: TimeWindow,
    further_attempts: TimeWindow,
    /// Parts answered to us, fading over `memory`.
    answered_parts: FadingCount,
    /// Mean number of parts of a query.
    mean_parts: SmoothedMean,
    /// When the first batch came.
    first_batch: Nanos,
    /// The usual timeout of first tries of a class and tenant.
    client_timeouts: BTreeMap<(usize, usize), UsualTimeout>,
    usual_worth_density: SmoothedMean,
    /// A replica fell silent since probes were last thought of, and when they were last sent.
    newly_silent: bool,
    last_probed: Nanos,
    log: Vec<String>,
    wake_at: Option<Nanos>,
    /// When to ask for the list again (none while it is subscribed to), and how many calls failed in a row.
    list_request_at: Option<Nanos>,
    list_requests_failed: u32,
}

impl Coordinator {
    /// One that has seen nothing yet; `seed` decides where chance does.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Coordinator {
            list_request_at: (settings.discovery_mode == DiscoveryMode::Poll).then_some(0),
            replicas: ReplicaTable::new(
                settings.cells,
                settings.replication_factor,
                settings.max_parts_per_call.unwrap_or(1),
            ),
            timing: Timing::new(&settings),
            settings,
            seed,
            random: seed,
            ..Coordinator::default()
        }
    }

    /// How much is kept of queries, attempts and replicas.
    pub fn retained_entries(&self) -> usize {
        let open = self.queries.held() + self.in_flight.len();
        open + self.arrivals.len() + self.client_timeouts.len() + self.replicas.len()
    }

    /// How many replicas were looked at so far: a count for tests of scale.
    pub fn replicas_visited(&self) -> u64 {
        self.replicas.visited()
    }

    /// How many times a query was advanced so far: a count for tests of scale.
    pub fn queries_processed(&self) -> u64 {
        self.advanced
    }

    /// Advances all queries in every batch from now on, due or not: the actions are the same, for tests to compare.
    #[doc(hidden)]
    pub fn process_all_queries(&mut self) {
        self.advances_all = true;
    }

    /// Takes what happened at `now`, in order, and appends what to do about it to `actions`.
    pub fn process_batch(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        self.first_batch = if self.first_batch == 0 {
            now
        } else {
            self.first_batch
        };
        if self.list_request_at.is_some_and(|at| at <= now) {
            self.list_request_at = None;
            actions.push(Action::SubscribeEndpoints { enabled: true });
        }
        let mut with_new_parts = BTreeSet::new();
        for event in events {
            self.take(event, &mut with_new_parts, actions);
        }
        self.forget_expired();
        self.move_cutoff();
        for id in with_new_parts {
            self.admit(id, actions);
        }
        let due = if self.advances_all {
            self.queries.ids()
        } else {
            self.queries.take_due(now)
        };
        for id in due {
            self.advance(id, actions);
        }
        self.probe_silent(actions);
        actions.extend(self.log.drain(..).map(Action::Log));
        let tick = Some(now + self.timing.timer_interval);
        let next = if self.queries.is_empty() {
            self.list_request_at
        } else {
            tick
        };
        if let Some(next) =
            next.filter(|next| self.wake_at.is_none_or(|at| at <= now || *next < at))
        {
            self.wake_at = Some(next);
            actions.push(Action::SetTimer {
                token: 0,
                delay: next.saturating_sub(now),
            });
        }
    }

    /// A random number from 0 up to 1.
    fn random_draw(&mut self) -> f64 {
        let mut random = fastrand::Rng::with_seed(self.random);
        let random_draw = random.f64();
        self.random = random.get_seed();
        random_draw
    }

    /// How many steps the query has.
    fn steps_of(&self, query: &Query) -> u64 {
        1 + u64::from(self.settings.classes[query.class].second_phase_parts > 0)
    }
}
