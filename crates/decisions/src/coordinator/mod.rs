//! The coordinator: applies the events of a batch in order to the modules that own the state, and collects the
//! resulting actions.

mod event_handling;
mod query_lifecycle;

use crate::admission::Admission;
use crate::attempts::Attempts;
use crate::batch::Batch;
use crate::client_timeouts::ClientTimeouts;
use crate::endpoint_polling::EndpointPolling;
use crate::load_shedding::LoadShedding;
use crate::replica_set::ReplicaSet;
use crate::tables::query_table::QueryTable;
use crate::timer::Timer;
use crate::timing::Timing;
use crate::weight_cutoff::WeightCutoff;
use crate::{Action, Event, Nanos, RequestId, Settings};
use std::collections::BTreeSet;

/// The decision logic of one coordinator.
///
/// Each batch of events results in a list of actions. The coordinator has no clock, no threads and no global state: the
/// same settings, seed and events result in the same actions.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    timing: Timing,
    random: fastrand::Rng,
    state: State,
}

impl Coordinator {
    /// Creates a coordinator. `seed` determines its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Coordinator {
            timing: Timing::new(&settings),
            random: fastrand::Rng::with_seed(seed),
            state: State::new(&settings, seed),
            settings,
        }
    }

    /// Number of retained entries for queries, attempts, client timeouts and replicas.
    pub fn retained_entries(&self) -> usize {
        self.state.retained_entries()
    }

    /// Number of replica entries visited so far, which measures cost in tests.
    pub fn replicas_visited(&self) -> u64 {
        self.state.replicas.table().replicas_visited()
    }

    /// Number of times that open queries were processed so far, which measures cost in tests.
    pub fn queries_processed(&self) -> u64 {
        self.state.queries_processed
    }

    /// Processes all open queries in every batch from now on, even if they are not due. The actions stay the same;
    /// tests compare the two modes.
    #[doc(hidden)]
    pub fn process_all_queries(&mut self) {
        self.state.processes_all_queries = true;
    }

    /// Processes the events of the batch at `now` in order, and appends the resulting actions to `actions`.
    pub fn process_batch(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        let mut batch = Batch {
            now,
            settings: &self.settings,
            timing: &self.timing,
            random: &mut self.random,
            actions,
            log_lines: Vec::new(),
        };
        self.state.process_batch(&mut batch, events);
    }
}

/// The modules that own the state, and the tables that they share.
#[derive(Debug)]
struct State {
    replicas: ReplicaSet,
    queries: QueryTable,
    attempts: Attempts,
    client_timeouts: ClientTimeouts,
    admission: Admission,
    load_shedding: LoadShedding,
    weight_cutoff: WeightCutoff,
    endpoint_polling: EndpointPolling,
    timer: Timer,
    processes_all_queries: bool,
    queries_processed: u64,
}

impl State {
    fn new(settings: &Settings, seed: u64) -> Self {
        State {
            replicas: ReplicaSet::new(settings, seed),
            queries: QueryTable::default(),
            attempts: Attempts::default(),
            client_timeouts: ClientTimeouts::default(),
            admission: Admission::default(),
            load_shedding: LoadShedding::default(),
            weight_cutoff: WeightCutoff::default(),
            endpoint_polling: EndpointPolling::new(settings),
            timer: Timer::default(),
            processes_all_queries: false,
            queries_processed: 0,
        }
    }

    fn retained_entries(&self) -> usize {
        self.queries.retained_entries()
            + self.attempts.retained_entries()
            + self.client_timeouts.retained_entries()
            + self.replicas.table().len()
    }

    fn process_batch(&mut self, batch: &mut Batch, events: &[Event]) {
        self.replicas.record_batch_start(batch.now);
        self.endpoint_polling.request_if_due(batch);
        let mut queries_with_new_parts = BTreeSet::new();
        for event in events {
            self.apply_event(batch, event, &mut queries_with_new_parts);
        }
        self.attempts.remove_expired(batch);
        self.weight_cutoff.update(batch);
        for query in queries_with_new_parts {
            self.start_query_parts(batch, query);
        }
        for query in self.pop_due_queries(batch.now) {
            self.process_query(batch, query);
        }
        self.replicas.probe_idle_replicas(batch);
        let log_lines = std::mem::take(&mut batch.log_lines);
        batch.actions.extend(log_lines.into_iter().map(Action::Log));
        self.schedule_timer(batch);
    }

    fn pop_due_queries(&mut self, now: Nanos) -> Vec<RequestId> {
        if self.processes_all_queries {
            self.queries.ids()
        } else {
            self.queries.pop_due(now)
        }
    }

    /// Schedules the timer for the next timer interval while any query is open, else for the next request for the
    /// endpoint list.
    fn schedule_timer(&mut self, batch: &mut Batch) {
        let next = if self.queries.is_empty() {
            self.endpoint_polling.next_request_at()
        } else {
            Some(batch.now + batch.timing.timer_interval)
        };
        if let Some(next) = next {
            self.timer.schedule(batch, next);
        }
    }
}
