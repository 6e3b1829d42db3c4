//! The arrival of a query, and its latency objective and deadline as timestamps.

use crate::batch::Batch;
use crate::tables::query_table::Query;
use crate::{Class, Event, Nanos, RequestId};

/// A query as received, with the fields of [`crate::Event::QueryReceived`].
#[derive(Clone, Copy, Debug)]
pub struct QueryArrival {
    /// The query's id.
    pub id: RequestId,
    /// Group number that the query shares with its parts.
    pub group: u32,
    /// Index into [`crate::Settings::classes`].
    pub class: usize,
    /// The tenant's index.
    pub tenant: u32,
    /// Remaining time that the client waits for the answer, ns.
    pub client_timeout: Nanos,
    /// Part of the client's timeout that is already spent or reserved outside the coordinator, ns.
    pub network_delay: Nanos,
    /// The client's estimate of the query's work, ns.
    pub work: Option<Nanos>,
    /// Whether the client marked the query as a retry.
    pub client_retry: bool,
}

impl QueryArrival {
    /// The query of a [`crate::Event::QueryReceived`]; `None` for other events.
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

    /// Converts the arrival into an open query without parts. `elapsed_client_time` is how long the client had waited
    /// for earlier requests when it sent the query, ns.
    pub fn into_query(self, batch: &Batch, class: &Class, elapsed_client_time: Nanos) -> Query {
        let deadline = batch.now + self.client_timeout;
        let objective_at = (batch.now + class.latency_objective + self.additional_time(class))
            .saturating_sub(elapsed_client_time.max(self.network_delay));
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
                && elapsed_client_time == 0
                && self.client_timeout < class.latency_objective,
            phase: 1,
            phase_started_at: batch.now,
            ..Query::default()
        }
    }

    /// Extension of the latency objective for the query's expected work, ns.
    fn additional_time(&self, class: &Class) -> Nanos {
        let objective_per_work = class.objective_per_expected_work.unwrap_or(0.0);
        (objective_per_work * self.work.unwrap_or(0) as f64) as Nanos
    }
}
