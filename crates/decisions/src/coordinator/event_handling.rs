//! Application of single events to the coordinator's state.

use super::State;
use crate::batch::Batch;
use crate::query_arrival::QueryArrival;
use crate::{Endpoint, EndpointUpdateKind, Event, Outcome, RequestId};
use std::collections::BTreeSet;

impl State {
    /// Applies an event. For a received part, adds the id of its query to `queries_with_new_parts`.
    pub(super) fn apply_event(
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

    fn end_attempt(&mut self, batch: &mut Batch, part: RequestId, number: u8, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove_in_flight(part, number) else {
            return;
        };
        // A failed connection to a replica that has not responded recently may be due to a slow handshake, not
        // overload.
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
            self.load_shedding.record_extra_attempt_rejected();
        } else if succeeded {
            self.load_shedding.record_answer();
        }
    }
}

/// Replaces a negative, infinite or NaN weight by 0.
fn sanitize_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(0.0)
    } else {
        0.0
    }
}
