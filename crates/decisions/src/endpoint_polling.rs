//! Endpoint polling: when to request the endpoint list where it is not pushed.

use crate::batch::Batch;
use crate::{Action, DiscoveryMode, EndpointUpdateKind, Nanos, Settings};

/// Mean delay of the first retry, as a fraction of the time within which the list is needed; each further one in a row
/// is twice as long.
const BASE_DELAY_FRACTION: f64 = 0.06;
/// Longest mean delay, as a fraction of that time.
const MAX_DELAY_FRACTION: f64 = 0.5;
/// Least factor of the jitter, which is uniform between this and 1 more, so that its mean is 1.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Most times that the delay doubles, against overflow.
const MAX_DOUBLINGS: u32 = 16;

/// When the endpoint list is requested next.
#[derive(Debug)]
pub struct EndpointPolling {
    /// `None` while a request is under way or endpoint updates are pushed.
    next_request_at: Option<Nanos>,
    consecutive_failures: u32,
}

impl EndpointPolling {
    /// Requests the list in the first batch, if it is polled for.
    pub fn new(settings: &Settings) -> Self {
        let polls = settings.discovery_mode == DiscoveryMode::Poll;
        EndpointPolling {
            next_request_at: polls.then_some(0),
            consecutive_failures: 0,
        }
    }

    /// When the list is requested next; `None` if nothing is planned.
    pub fn next_request_at(&self) -> Option<Nanos> {
        self.next_request_at
    }

    /// Requests the list if it is due.
    pub fn request_if_due(&mut self, batch: &mut Batch) {
        if self
            .next_request_at
            .is_some_and(|request_at| request_at <= batch.now)
        {
            self.next_request_at = None;
            batch
                .actions
                .push(Action::SubscribeEndpoints { enabled: true });
        }
    }

    /// An endpoint update arrived.
    pub fn record_update(&mut self, kind: EndpointUpdateKind) {
        if kind != EndpointUpdateKind::CachedSnapshot {
            self.consecutive_failures = 0;
        }
    }

    /// A request failed: plans the next one, with exponential backoff and jitter. All coordinators use one discovery
    /// service, and immediate retries would keep it too busy to answer any.
    pub fn record_failure(&mut self, batch: &mut Batch) {
        let pushed = batch.settings.discovery_mode == DiscoveryMode::Push;
        if self.next_request_at.is_some() || pushed {
            return;
        }
        let max_staleness = batch.settings.max_list_staleness as f64;
        let needed_within = max_staleness.max(batch.timing.fade_time());
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let delay_fraction =
            (BASE_DELAY_FRACTION * f64::from(1u32 << doublings)).min(MAX_DELAY_FRACTION);
        let jitter = MIN_JITTER_FACTOR + batch.random.f64();
        let delay = (needed_within * delay_fraction * jitter) as Nanos;
        self.next_request_at = Some(batch.now + delay);
        self.consecutive_failures += 1;
    }
}
