//! The arrival of a query: its latency objective and deadline as points in time.

use crate::batch::Batch;
use crate::tables::query_table::Query;
use crate::{Class, Event, Nanos, RequestId};

/// A query as received; the fields are those of [`crate::Event::QueryReceived`].
#[derive(Clone, Copy, Debug)]
pub struct QueryArrival {
    /// The query's id.
    pub id: RequestId,
    /// Ties the parts to the query.
    pub group: u32,
    /// Index into [`crate::Settings::classes`].
    pub class: usize,
    /// The tenant's index.
    pub tenant: u32,
    /// How long the client still waits, ns.
    pub client_timeout: Nanos,
    /// Of the client's time, what had passed when the query arrived and what the answer's way back may take, ns.
    pub network_delay: Nanos,
    /// The client's estimate of the work, ns.
    pub work: Option<Nanos>,
    /// The client marked it as a retry.
    pub client_retry: bool,
}

impl QueryArrival {
    /// The query that an event announces; `None` for other events.
    pub fn from_event(event: &Event) -> Option<Self> {
        match *event {
            Event::QueryReceived {
                id,
                group,
                class,
                tenant,
                client_timeout,
                network_delay,
                work,
                client_retry,
            } => Some(QueryArrival {
                id,
                group,
                class: usize::from(class),
                tenant,
                client_timeout,
                network_delay,
                work,
                client_retry,
            }),
            _ => None,
        }
    }

    /// The open query, without parts yet; `time_used` is how much of the client's time was used up before, ns.
    pub fn into_query(self, batch: &Batch, class: &Class, time_used: Nanos) -> Query {
        let deadline = batch.now + self.client_timeout;
        let objective_at = (batch.now + class.latency_objective + self.additional_time(class))
            .saturating_sub(time_used.max(self.network_delay));
        let objective_missed = objective_at <= batch.now;
        Query {
            id: self.id,
            group: self.group,
            class: self.class,
            arrived_at: batch.now,
            objective_at: if objective_missed {
                deadline
            } else {
                objective_at.min(deadline)
            },
            objective_missed_on_arrival: objective_missed,
            deadline,
            client_timeout_too_short: self.client_retry
                && time_used == 0
                && self.client_timeout < class.latency_objective,
            phase: 1,
            phase_started_at: batch.now,
            ..Query::default()
        }
    }

    /// What the query's expected work adds to the latency objective, ns.
    fn additional_time(&self, class: &Class) -> Nanos {
        let objective_per_work = class.objective_per_expected_work.unwrap_or(0.0);
        (objective_per_work * self.work.unwrap_or(0) as f64) as Nanos
    }
}
