//! The open queries by id, group and part, and the time when each is next due for processing.

use super::due_queue::DueQueue;
use crate::{Action, Nanos, Outcome, ReplicaId, RequestId};
use std::collections::BTreeMap;

/// Due time of a query that is due in the current batch.
const IMMEDIATELY: Nanos = 0;

/// One attempt of a part at a replica.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// Time when it was sent.
    pub sent_at: Nanos,
    /// Whether it has neither ended nor been cancelled.
    pub in_flight: bool,
    /// Whether it has ended and is known not to have executed the part.
    pub did_not_execute: bool,
    /// Whether it ended because its connection was lost.
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
    /// The shard that the part searches.
    pub shard: u32,
    /// The part's weight, as a fraction of its phase.
    pub weight: f64,
    /// The phase of the query that the part belongs to, starting at 1.
    pub phase: u8,
    /// Whether an attempt succeeded.
    pub answered: bool,
    /// Whether the part is not sent, to reduce load.
    pub skipped: bool,
    /// Whether the recent outcomes of the weight cutoff include this part.
    pub outcome_recorded: bool,
    /// The part's attempts in the order sent.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// Records the end of attempt `number`.
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

    /// Marks all attempts in flight as ended and, with `cancellation_enabled`, requests their cancellation.
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

/// An open query: its last phase has not been answered, it has been neither rejected nor failed, and its client has not
/// disconnected.
#[derive(Debug, Default)]
pub struct Query {
    /// The query's id.
    pub id: RequestId,
    /// Group number that the query shares with its parts.
    pub group: u32,
    /// Index into [`crate::Settings::classes`].
    pub class: usize,
    /// Time when the query arrived.
    pub arrived_at: Nanos,
    /// Latest time for an answer to meet the latency objective. Equal to the deadline if the objective had already been
    /// missed on arrival.
    pub objective_at: Nanos,
    /// Whether the latency objective had already passed when the query arrived.
    pub objective_missed_on_arrival: bool,
    /// Time when the client stops waiting.
    pub deadline: Nanos,
    /// Whether the query is a client's retry with a timeout shorter than the latency objective.
    pub client_timeout_too_short: bool,
    /// The current phase, starting at 1.
    pub phase: u8,
    /// Time when the current phase started.
    pub phase_started_at: Nanos,
    /// Whether the answer of the first phase was complete.
    pub first_phase_complete: bool,
    /// The parts of all phases, in the order received.
    pub parts: Vec<Part>,
}

impl Query {
    /// The parts of the current phase.
    pub fn phase_parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| part.phase == self.phase)
    }

    /// Total weight of the answered parts of the current phase.
    pub fn answered_weight(&self) -> f64 {
        self.phase_parts()
            .filter(|part| part.answered)
            .map(|part| part.weight)
            .sum()
    }

    /// The indices of the query's parts in ascending order of weight.
    pub fn parts_by_weight(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.parts.len()).collect();
        order.sort_by(|a, b| self.parts[*a].weight.total_cmp(&self.parts[*b].weight));
        order
    }

    /// The attempts of all parts of the query.
    pub fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }

    /// Ends the attempts in flight of all parts; see [`Part::cancel_attempts`].
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

    /// Number of parts of all open queries.
    pub fn part_count(&self) -> usize {
        self.by_part.len()
    }

    /// Number of retained entries.
    pub fn retained_entries(&self) -> usize {
        self.queries.len() + self.by_group.len() + self.by_part.len()
    }

    /// The ids of all queries in ascending order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Removes the queries due at `now` from the queue and returns their ids in ascending order.
    /// [`QueryTable::restore`] sets the next due time of each.
    pub fn pop_due(&mut self, now: Nanos) -> Vec<RequestId> {
        self.due.pop_due(now)
    }

    /// Adds a query without parts, which is due immediately.
    pub fn open(&mut self, query: Query) {
        self.by_group.insert(query.group, query.id);
        self.due.set(query.id, IMMEDIATELY);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of `group`, which becomes due immediately. Returns the query's id, or `None` if the
    /// query is not open.
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

    /// Returns a part, whose query becomes due immediately; `None` if the query is not open.
    pub fn part_mut(&mut self, part: RequestId) -> Option<&mut Part> {
        let owner = *self.by_part.get(&part)?;
        let query = self.queries.get_mut(&owner)?;
        self.due.set(owner, IMMEDIATELY);
        query.parts.iter_mut().find(|other| other.id == part)
    }

    /// Removes a query for processing, after which the caller passes it to [`QueryTable::restore`] or
    /// [`QueryTable::close`].
    pub fn remove(&mut self, id: RequestId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Returns a removed query to the table, with its next due time.
    pub fn restore(&mut self, query: Query, due_at: Nanos) {
        self.due.set(query.id, due_at);
        self.queries.insert(query.id, query);
    }

    /// Deletes the group, the parts and the due time of a removed query that has ended.
    pub fn close(&mut self, query: &Query) {
        self.due.remove(query.id);
        self.by_group.remove(&query.group);
        for part in &query.parts {
            self.by_part.remove(&part.id);
        }
    }
}
