//! Client timeouts: how much of its time a query's client has used up on earlier requests for it, judged by its
//! timeout.

use crate::batch::Batch;
use crate::query_arrival::QueryArrival;
use crate::tables::statistics::MajorityDuration;
use crate::{Class, Nanos};
use std::collections::BTreeMap;

/// Timeouts count as the same where they differ by at most the latency objective divided by this.
const TOLERANCE_DIVISOR: Nanos = 100;
/// Most votes by which the usual timeout may lead, so that a few queries suffice to replace it.
const MAX_LEAD: u32 = 16;

/// The usual timeouts of clients' first requests.
#[derive(Debug, Default)]
pub struct ClientTimeouts {
    /// By class and tenant, so that the clients of one tenant do not mislead another's.
    usual: BTreeMap<(usize, u32), MajorityDuration>,
}

impl ClientTimeouts {
    /// How much of the client's time was used up before the query was sent, ns: 0 for its first request. A retry's
    /// timeout is taken to be what the earlier requests left of the deadline.
    pub fn time_used(&mut self, batch: &Batch, class: &Class, query: &QueryArrival) -> Nanos {
        let tolerance = class.latency_objective / TOLERANCE_DIVISOR;
        let key = (query.class, query.tenant);
        let usual = self.usual.entry(key).or_default();
        if !query.client_retry {
            usual.vote(query.client_timeout, tolerance, MAX_LEAD);
        }
        let first_request = batch.settings.client_retries_marked && !query.client_retry;
        let usual_timeout = usual.is_near(query.client_timeout, tolerance);
        if first_request || usual_timeout || !usual.is_known() {
            return 0;
        }
        class.deadline.saturating_sub(query.client_timeout)
    }

    /// How many entries are kept.
    pub fn retained_entries(&self) -> usize {
        self.usual.len()
    }
}
