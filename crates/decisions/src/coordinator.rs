//! The coordinator: applies a batch of events to the owners of state, in order, and collects the actions decided on.

use crate::admission::Admission;
use crate::attempts::Attempts;
use crate::batch::Batch;
use crate::client_timeouts::ClientTimeouts;
use crate::completion::{self, Decision};
use crate::endpoint_polling::EndpointPolling;
use crate::load_shedding::LoadShedding;
use crate::query_arrival::QueryArrival;
use crate::replica_set::ReplicaSet;
use crate::tables::query_table::{Query, QueryTable};
use crate::timer::Timer;
use crate::timing::{phase_count, Timing};
use crate::weight_cutoff::WeightCutoff;
use crate::{Action, Endpoint, EndpointUpdateKind, Event, Nanos, Outcome, RequestId, Settings};
use std::collections::BTreeSet;

/// Makes the decisions of one coordinator.
///
/// It is given events in batches and answers each batch with actions. It holds no clock, no thread and nothing global:
/// the same settings, seed and events give the same actions.
#[derive(Debug)]
pub struct Coordinator {
    settings: Settings,
    timing: Timing,
    random: fastrand::Rng,
    state: State,
}

impl Coordinator {
    /// A coordinator that has seen no events; `seed` determines its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Coordinator {
            timing: Timing::new(&settings),
            random: fastrand::Rng::with_seed(seed),
            state: State::new(&settings, seed),
            settings,
        }
    }

    /// How many entries are kept of queries, attempts and replicas.
    pub fn retained_entries(&self) -> usize {
        self.state.retained_entries()
    }

    /// How many replicas were looked at so far: a measure of cost, for tests.
    pub fn replicas_visited(&self) -> u64 {
        self.state.replicas.table().replicas_visited()
    }

    /// How many times an open query was processed so far: a measure of cost, for tests.
    pub fn queries_processed(&self) -> u64 {
        self.state.queries_processed
    }

    /// Processes all open queries in every batch from now on, due or not. The actions are the same, for tests to
    /// compare.
    #[doc(hidden)]
    pub fn process_all_queries(&mut self) {
        self.state.processes_all_queries = true;
    }

    /// Processes the events observed at `now`, in order, and appends the actions decided on to `actions`.
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

/// The owners of state, and the tables that they share.
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
        self.replicas.record_batch(batch.now);
        self.endpoint_polling.request_if_due(batch);
        let mut queries_with_new_parts = BTreeSet::new();
        for event in events {
            self.apply_event(batch, event, &mut queries_with_new_parts);
        }
        self.attempts.forget_expired(batch);
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

    fn apply_event(
        &mut self,
        batch: &mut Batch,
        event: &Event,
        queries_with_new_parts: &mut BTreeSet<RequestId>,
    ) {
        match *event {
            Event::EndpointsUpdated {
                kind,
                ref endpoints,
            } => self.update_endpoints(batch, kind, endpoints),
            Event::QueryReceived { .. } => {
                if let Some(arrival) = QueryArrival::from_event(event) {
                    self.open_query(batch, arrival);
                }
            }
            Event::PartReceived {
                id,
                group,
                shard,
                weight,
            } => {
                self.attempts.record_arrival(batch.now);
                let weight = sanitize_weight(weight);
                let query = self.queries.add_part(id, group, shard, weight);
                queries_with_new_parts.extend(query);
            }
            Event::AttemptEnded {
                part,
                attempt,
                outcome,
                ..
            } => self.end_attempt(batch, part, attempt, outcome),
            Event::ClientDisconnected { id } => {
                if let Some(query) = self.queries.remove(id) {
                    self.close_query(batch, query);
                    queries_with_new_parts.remove(&id);
                }
            }
            Event::StreamStarted { replica, .. } => {
                self.replicas.record_stream_start(batch, replica);
            }
            Event::ProbeEnded {
                replica,
                outcome,
                latency,
                ..
            } => self.replicas.record_probe(batch, replica, outcome, latency),
            Event::TimerFired { .. } | Event::DatagramReceived { .. } => {}
        }
    }

    fn update_endpoints(
        &mut self,
        batch: &mut Batch,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
    ) {
        if kind == EndpointUpdateKind::RequestFailed {
            self.endpoint_polling.record_failure(batch);
            return;
        }
        self.endpoint_polling.record_update(kind);
        self.replicas.apply_update(batch, kind, endpoints);
    }

    fn open_query(&mut self, batch: &Batch, arrival: QueryArrival) {
        self.attempts.record_arrival(batch.now);
        let Some(class) = batch.settings.classes.get(arrival.class) else {
            return;
        };
        let time_used = self.client_timeouts.time_used(batch, class, &arrival);
        self.queries
            .open(arrival.into_query(batch, class, time_used));
    }

    fn end_attempt(&mut self, batch: &mut Batch, part: RequestId, number: u8, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove_in_flight(part, number) else {
            return;
        };
        // A replica without recent news may just be slow to connect.
        let connect_failure_is_overload = batch.settings.retry_budget.is_some()
            || self.replicas.has_responded_recently(batch, attempt.replica);
        self.replicas.record_end(batch, &attempt, outcome);
        let Some(part) = self.queries.part_mut(part) else {
            return;
        };
        part.end_attempt(number, outcome);
        let succeeded = outcome == Outcome::Ok;
        if succeeded && !part.answered && part.is_in_flight() {
            self.attempts.record_hedged_answer(part, number);
        }
        part.answered |= succeeded;
        self.weight_cutoff.record_attempt_end(
            batch.now,
            part,
            outcome,
            connect_failure_is_overload,
        );
        if outcome == Outcome::Rejected && number > 0 {
            self.load_shedding.record_repeated_rejection();
        } else if succeeded {
            self.load_shedding.record_answer();
        }
    }

    /// Rejects a query, or sends the parts that were received for its present phase.
    fn start_query_parts(&mut self, batch: &mut Batch, id: RequestId) {
        let Some(mut query) = self.queries.remove(id) else {
            return;
        };
        if query.phase == 1 {
            self.replicas.record_query(query.parts.len());
            if !self.admits_query(batch, &mut query) {
                self.give_up_query(batch, query);
                return;
            }
            self.weight_cutoff.skip_light_parts(batch, &mut query);
        }
        self.attempts
            .send_new_parts(batch, &mut self.replicas, &mut query);
        self.queries.restore(query, batch.now);
    }

    fn admits_query(&mut self, batch: &mut Batch, query: &mut Query) -> bool {
        self.admission
            .can_meet_objective(batch, &self.replicas, query)
            && !self.load_shedding.should_shed(batch.random)
    }

    fn pop_due_queries(&mut self, now: Nanos) -> Vec<RequestId> {
        if self.processes_all_queries {
            self.queries.ids()
        } else {
            self.queries.pop_due(now)
        }
    }

    /// Answers an open query, gives it up, or retries and hedges its parts.
    fn process_query(&mut self, batch: &mut Batch, id: RequestId) {
        let Some(mut query) = self.queries.remove(id) else {
            return;
        };
        self.queries_processed += 1;
        let usage = self.attempts.budget_usage();
        match completion::decide(batch, &self.replicas, usage, &query) {
            Decision::Answer { complete } => {
                self.answer_query(batch, query, complete);
                return;
            }
            Decision::GiveUp => {
                if completion::has_used_capacity(&query) {
                    self.load_shedding.record_wasted_query();
                }
                self.give_up_query(batch, query);
                return;
            }
            Decision::Retry => self.attempts.retry_and_hedge(
                batch,
                &mut self.replicas,
                &mut self.weight_cutoff,
                &mut query,
                self.queries.part_count(),
            ),
            Decision::Wait => {}
        }
        self.keep_query(batch, query);
    }

    /// Keeps a query open until it is next due.
    fn keep_query(&mut self, batch: &Batch, query: Query) {
        let due_at = completion::next_due_at(batch, &query);
        self.queries.restore(query, due_at);
    }

    /// Answers the present phase of a query; the query stays open if another phase follows.
    fn answer_query(&mut self, batch: &mut Batch, mut query: Query, complete: bool) {
        batch.actions.push(Action::Answer {
            query: query.id,
            complete,
        });
        if query.phase == phase_count(batch.class(&query)) {
            self.close_query(batch, query);
            return;
        }
        query.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
        query.phase += 1;
        query.phase_started_at = batch.now;
        query.first_phase_complete = complete;
        self.keep_query(batch, query);
    }

    /// Ends a query without an answer.
    fn give_up_query(&mut self, batch: &mut Batch, query: Query) {
        batch
            .actions
            .push(completion::give_up_action(batch, &query));
        self.close_query(batch, query);
    }

    /// Cancels the attempts of a query that is over, and forgets it.
    fn close_query(&mut self, batch: &mut Batch, mut query: Query) {
        query.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
        self.queries.close(&query);
    }

    /// Schedules the timer: at intervals while any query is open, else for the next request of the endpoint list.
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

/// A weight that is neither negative nor infinite nor not a number.
fn sanitize_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(0.0)
    } else {
        0.0
    }
}
