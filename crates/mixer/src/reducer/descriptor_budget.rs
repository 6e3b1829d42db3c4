//! How the file descriptors of the process are divided between clients and leaf servers, so that neither can exhaust
//! those that the other needs.

use std::ops::RangeInclusive;

/// The percentage of the descriptors that connections to leaf servers may take.
const LEAF_CONNECTIONS_PERCENT: usize = 40;
/// The percentage that clients may take.
const CLIENTS_PERCENT: usize = 45;
/// Descriptors that neither may take, however few there are: standard streams, the runtime and its signals, the
/// listeners, the usage log, a file that is read again, and two watches on discovery where one replaces another.
const RESERVED_DESCRIPTORS: usize = 20;
/// The share of the descriptors that clients which are being closed may take beside those that are served: one in so
/// many, within [`CLOSING_CLIENTS_RANGE`]. Unbounded, a flood of clients would exhaust the descriptors.
const CLOSING_CLIENTS_DIVISOR: usize = 32;
const CLOSING_CLIENTS_RANGE: RangeInclusive<usize> = 2..=16;

/// The most descriptors that each kind of connection may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct DescriptorBudget {
    max_leaf_connections: usize,
    max_clients: usize,
    max_closing_clients: usize,
}

impl DescriptorBudget {
    /// Divides this number of descriptors. Each kind gets one at least.
    pub(super) fn new(descriptors: usize) -> DescriptorBudget {
        let max_closing_clients = (descriptors / CLOSING_CLIENTS_DIVISOR)
            .clamp(*CLOSING_CLIENTS_RANGE.start(), *CLOSING_CLIENTS_RANGE.end());
        let shared = descriptors.saturating_sub(RESERVED_DESCRIPTORS + max_closing_clients);
        let leaf_connections =
            shared * LEAF_CONNECTIONS_PERCENT / (LEAF_CONNECTIONS_PERCENT + CLIENTS_PERCENT);
        let clients = (shared - leaf_connections).min(descriptors * CLIENTS_PERCENT / 100);
        DescriptorBudget {
            max_leaf_connections: leaf_connections
                .min(descriptors * LEAF_CONNECTIONS_PERCENT / 100)
                .max(1),
            max_clients: clients.max(1),
            max_closing_clients,
        }
    }

    /// The most connections to leaf servers.
    pub(super) fn max_leaf_connections(&self) -> usize {
        self.max_leaf_connections
    }

    /// The most clients that are served.
    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// The most clients, those included that are being closed to make room.
    pub(super) fn max_clients_with_closing(&self) -> usize {
        self.max_clients + self.max_closing_clients
    }
}
