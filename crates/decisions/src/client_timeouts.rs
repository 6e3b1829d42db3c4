//! Client timeouts: estimates from a query's timeout how long its client has already waited for earlier requests of the
//! same query.

use crate::batch::Batch;
use crate::query_arrival::QueryArrival;
use crate::tables::statistics::MajorityDuration;
use crate::{Class, Nanos};
use std::collections::BTreeMap;

/// Timeouts count as equal if they differ by at most the latency objective divided by this number.
const TOLERANCE_DIVISOR: Nanos = 100;
/// Maximum lead of the typical timeout in the majority vote, so that a few queries are sufficient to replace it.
const MAX_LEAD: u32 = 16;

/// The typical timeouts of clients' first requests.
#[derive(Debug, Default)]
pub struct ClientTimeouts {
    /// The typical timeout by class and tenant, so that the clients of one tenant do not distort another tenant's.
    typical: BTreeMap<(usize, u32), MajorityDuration>,
}

impl ClientTimeouts {
    /// Estimates how long the client had waited for earlier requests of the same query when it sent this one, ns.
    ///
    /// A client is assumed to wait for the class's deadline in total and to send each retry with the remaining time as
    /// its timeout. The estimate is 0 for a first request, for a query with the typical timeout of first requests, and
    /// while that typical timeout is not known.
    pub fn elapsed_client_time(
        &mut self,
        batch: &Batch,
        class: &Class,
        query: &QueryArrival,
    ) -> Nanos {
        let tolerance = class.latency_objective / TOLERANCE_DIVISOR;
        let key = (query.class, query.tenant);
        let typical = self.typical.entry(key).or_default();
        if !query.client_retry {
            typical.vote(query.client_timeout, tolerance, MAX_LEAD);
        }
        let first_request = batch.settings.client_retries_marked && !query.client_retry;
        let is_typical = typical.is_near(query.client_timeout, tolerance);
        if first_request || is_typical || !typical.has_majority() {
            return 0;
        }
        class.deadline.saturating_sub(query.client_timeout)
    }

    /// Number of retained entries.
    pub fn retained_entries(&self) -> usize {
        self.typical.len()
    }
}
