//! The open queries by id, group and part, and when each is next due to be processed.

use super::due_queue::DueQueue;
use crate::{Action, Nanos, Outcome, ReplicaId, RequestId};
use std::collections::BTreeMap;

/// A due time that has always passed.
const IMMEDIATELY: Nanos = 0;

/// One attempt of a part at a replica.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent_at: Nanos,
    /// It has neither ended nor been cancelled.
    pub in_flight: bool,
    /// It ended, and the part is known not to have been executed by it.
    pub did_not_execute: bool,
    /// It ended since its connection was lost.
    pub connection_reset: bool,
}

impl Attempt {
    fn end(&mut self, outcome: Outcome) {
        self.in_flight = false;
        self.connection_reset = outcome == Outcome::ConnectionReset;
        self.did_not_execute = outcome.did_not_execute();
    }
}

/// A part of a query.
#[derive(Debug, Default)]
pub struct Part {
    /// The part's id.
    pub id: RequestId,
    /// The shard that it searches.
    pub shard: u32,
    /// Its fraction of its phase.
    pub weight: f64,
    /// The phase of the query that it belongs to, from 1.
    pub phase: u8,
    /// An attempt succeeded.
    pub answered: bool,
    /// It is not sent, to save work.
    pub skipped: bool,
    /// It has an entry in the recent outcomes.
    pub outcome_recorded: bool,
    /// Its attempts in the order sent.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// Records how its attempt of this number ended.
    pub fn end_attempt(&mut self, number: u8, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.end(outcome);
        }
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether an attempt is in flight at this replica.
    pub fn is_in_flight_at(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.in_flight && attempt.replica == replica)
    }

    /// Whether any attempt was sent to this replica.
    pub fn was_sent_to(&self, replica: ReplicaId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// Counts its attempts in flight as over; with `cancellation_enabled`, they are cancelled at the replicas too.
    pub fn cancel_attempts(&mut self, cancellation_enabled: bool, actions: &mut Vec<Action>) {
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if !attempt.in_flight {
                continue;
            }
            attempt.in_flight = false;
            if cancellation_enabled {
                actions.push(Action::Cancel {
                    part: self.id,
                    attempt: number as u8,
                });
            }
        }
    }
}

/// A query that has neither been answered completely nor rejected nor failed.
#[derive(Debug, Default)]
pub struct Query {
    /// The query's id.
    pub id: RequestId,
    /// Ties the parts to the query.
    pub group: u32,
    /// Index into [`crate::Settings::classes`].
    pub class: usize,
    /// When it arrived.
    pub arrived_at: Nanos,
    /// An answer until then meets the latency objective. The deadline where the objective was missed on arrival.
    pub objective_at: Nanos,
    /// The latency objective had passed when the query arrived.
    pub objective_missed_on_arrival: bool,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// It is a client's retry with a timeout shorter than the latency objective.
    pub client_timeout_too_short: bool,
    /// The present phase, from 1.
    pub phase: u8,
    /// When the present phase started.
    pub phase_started_at: Nanos,
    /// The answer of the first phase was complete.
    pub first_phase_complete: bool,
    /// The parts of all phases, in the order received.
    pub parts: Vec<Part>,
}

impl Query {
    /// The parts of the present phase.
    pub fn phase_parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| part.phase == self.phase)
    }

    /// Weight of the answered parts of the present phase.
    pub fn answered_weight(&self) -> f64 {
        self.phase_parts()
            .filter(|part| part.answered)
            .map(|part| part.weight)
            .sum()
    }

    /// The indices of its parts, lightest first.
    pub fn parts_by_weight(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        order.sort_by(|a, b| self.parts[*a].weight.total_cmp(&self.parts[*b].weight));
        order
    }

    /// The attempts of all its parts.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }

    /// Cancels all attempts in flight; see [`Part::cancel_attempts`].
    pub fn cancel_attempts(&mut self, cancellation_enabled: bool, actions: &mut Vec<Action>) {
        for part in &mut self.parts {
            part.cancel_attempts(cancellation_enabled, actions);
        }
    }
}

/// All open queries.
#[derive(Debug, Default)]
pub struct QueryTable {
    queries: BTreeMap<RequestId, Query>,
    /// The query of each group.
    by_group: BTreeMap<u32, RequestId>,
    /// The query of each part.
    by_part: BTreeMap<RequestId, RequestId>,
    due: DueQueue,
}

impl QueryTable {
    /// Whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// How many parts are open.
    pub fn part_count(&self) -> usize {
        self.by_part.len()
    }

    /// How many entries are kept.
    pub fn retained_entries(&self) -> usize {
        self.queries.len() + self.by_group.len() + self.by_part.len()
    }

    /// The ids of all queries, in order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Removes the queries due at `now` from the queue and returns their ids in order. Each gets its next due time
    /// from [`QueryTable::restore`].
    pub fn pop_due(&mut self, now: Nanos) -> Vec<RequestId> {
        self.due.pop_due(now)
    }

    /// Adds a query, due immediately; its parts follow.
    pub fn open(&mut self, query: Query) {
        self.by_group.insert(query.group, query.id);
        self.due.set(query.id, IMMEDIATELY);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of that group, which becomes due. The query's id; `None` if it is not open.
    pub fn add_part(
        &mut self,
        id: RequestId,
        group: u32,
        shard: u32,
        weight: f64,
    ) -> Option<RequestId> {
        let owner = *self.by_group.get(&group)?;
        let query = self.queries.get_mut(&owner)?;
        query.parts.push(Part {
            id,
            shard,
            weight,
            phase: query.phase,
            ..Part::default()
        });
        self.by_part.insert(id, owner);
        self.due.set(owner, IMMEDIATELY);
        Some(owner)
    }

    /// A part, whose query becomes due; `None` if its query is not open.
    pub fn part_mut(&mut self, part: RequestId) -> Option<&mut Part> {
        let owner = *self.by_part.get(&part)?;
        let query = self.queries.get_mut(&owner)?;
        self.due.set(owner, IMMEDIATELY);
        query.parts.iter_mut().find(|other| other.id == part)
    }

    /// Takes a query out, to be restored or closed.
    pub fn remove(&mut self, id: RequestId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was removed, due at `due_at`.
    pub fn restore(&mut self, query: Query, due_at: Nanos) {
        self.due.set(query.id, due_at);
        self.queries.insert(query.id, query);
    }

    /// Forgets the group, the parts and the due time of a query that was removed.
    pub fn close(&mut self, query: &Query) {
        self.due.remove(query.id);
        self.by_group.remove(&query.group);
        for part in &query.parts {
            self.by_part.remove(&part.id);
        }
    }
}
