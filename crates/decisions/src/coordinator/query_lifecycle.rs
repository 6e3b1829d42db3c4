//! The lifecycle of a query: it is opened, its parts are sent, and it is processed whenever it is due until it is
//! answered, rejected or failed.

use super::State;
use crate::batch::Batch;
use crate::completion::{self, Decision};
use crate::query_arrival::QueryArrival;
use crate::tables::query_table::Query;
use crate::timing::phase_count;
use crate::{Action, RequestId};

impl State {
    /// Opens a query without parts.
    pub(super) fn open_query(&mut self, batch: &Batch, arrival: QueryArrival) {
        self.attempts.record_arrival(batch.now);
        let Some(class) = batch.settings.classes.get(arrival.class) else {
            return;
        };
        let elapsed_client_time = self
            .client_timeouts
            .elapsed_client_time(batch, class, &arrival);
        self.queries
            .open(arrival.into_query(batch, class, elapsed_client_time));
    }

    /// Rejects a query that is not admitted, or sends the parts received for its current phase.
    pub(super) fn start_query_parts(&mut self, batch: &mut Batch, id: RequestId) {
        let Some(mut query) = self.queries.remove(id) else {
            return;
        };
        if query.phase == 1 {
            self.replicas.record_query(query.parts.len());
            if !self.admits_query(batch, &mut query) {
                self.reject_or_fail_query(batch, query);
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

    /// Answers an open query, ends it without an answer, or retries and hedges its parts.
    pub(super) fn process_query(&mut self, batch: &mut Batch, id: RequestId) {
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
            Decision::RejectOrFail => {
                if completion::has_used_capacity(&query) {
                    self.load_shedding.record_wasted_query();
                }
                self.reject_or_fail_query(batch, query);
                return;
            }
            Decision::RetryOrHedge => self.attempts.retry_and_hedge(
                batch,
                &mut self.replicas,
                &mut self.weight_cutoff,
                &mut query,
                self.queries.part_count(),
            ),
            Decision::Wait => {}
        }
        self.reschedule_query(batch, query);
    }

    /// Returns a query to the table with its next due time.
    fn reschedule_query(&mut self, batch: &Batch, query: Query) {
        let due_at = completion::next_due_at(batch, &query);
        self.queries.restore(query, due_at);
    }

    /// Answers the current phase of a query. The query stays open if another phase follows.
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
        self.reschedule_query(batch, query);
    }

    /// Ends a query without an answer by rejecting or failing it.
    fn reject_or_fail_query(&mut self, batch: &mut Batch, query: Query) {
        batch
            .actions
            .push(completion::reject_or_fail_action(batch, &query));
        self.close_query(batch, query);
    }

    /// Cancels the attempts of a query that has ended, and removes its remaining entries from the query table.
    pub(super) fn close_query(&mut self, batch: &mut Batch, mut query: Query) {
        query.cancel_attempts(batch.settings.cancellation_enabled, batch.actions);
        self.queries.close(&query);
    }
}
