//! Endpoint polling: schedules requests for the endpoint list if it is not pushed.

use crate::batch::Batch;
use crate::{Action, DiscoveryMode, EndpointUpdateKind, Nanos, Settings};

/// Mean delay of the first retry, as a fraction of the allowed staleness of the list. The delay doubles with each
/// further consecutive failure.
const BASE_DELAY_FRACTION: f64 = 0.06;
/// Maximum mean delay, as a fraction of the allowed staleness of the list.
const MAX_DELAY_FRACTION: f64 = 0.5;
/// Minimum jitter factor. The factor is uniform between this value and this value plus 1, so that its mean is 1.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// Maximum number of doublings of the delay, to avoid overflow.
const MAX_DOUBLINGS: u32 = 16;

/// The schedule of requests for the endpoint list.
#[derive(Debug)]
pub struct EndpointPolling {
    /// `None` while a request is pending or if endpoint updates are pushed.
    next_request_at: Option<Nanos>,
    consecutive_failures: u32,
}

impl EndpointPolling {
    /// Schedules the first request for the first batch if the settings require polling.
    pub fn new(settings: &Settings) -> Self {
        let polls = settings.discovery_mode == DiscoveryMode::Poll;
        EndpointPolling {
            next_request_at: polls.then_some(0),
            consecutive_failures: 0,
        }
    }

    /// Time of the next request; `None` if none is scheduled.
    pub fn next_request_at(&self) -> Option<Nanos> {
        self.next_request_at
    }

    /// Requests the list if the request is due.
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

    /// Records the arrival of an endpoint update.
    pub fn record_update(&mut self, kind: EndpointUpdateKind) {
        if kind != EndpointUpdateKind::CachedSnapshot {
            self.consecutive_failures = 0;
        }
    }

    /// Records a failed request and schedules the next one with exponential backoff and jitter. All coordinators use
    /// the same discovery service, and immediate retries would keep it overloaded.
    pub fn record_failure(&mut self, batch: &mut Batch) {
        let pushed = batch.settings.discovery_mode == DiscoveryMode::Push;
        if self.next_request_at.is_some() || pushed {
            return;
        }
        let max_staleness = batch.settings.max_list_staleness as f64;
        let allowed_staleness = max_staleness.max(batch.timing.decay_time());
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let delay_fraction =
            (BASE_DELAY_FRACTION * f64::from(1u32 << doublings)).min(MAX_DELAY_FRACTION);
        let jitter = MIN_JITTER_FACTOR + batch.random.f64();
        let delay = (allowed_staleness * delay_fraction * jitter) as Nanos;
        self.next_request_at = Some(batch.now + delay);
        self.consecutive_failures += 1;
    }
}
