//! Divides the file descriptors of the process between client connections and leaf connections, so that neither kind
//! can exhaust the descriptors of the other.

use std::ops::RangeInclusive;

/// The maximum percentage of descriptors for connections to leaf servers.
const LEAF_CONNECTIONS_PERCENT: usize = 40;
/// The maximum percentage of descriptors for clients.
const CLIENTS_PERCENT: usize = 45;
/// Descriptors reserved for other uses, regardless of the total: standard streams, the runtime and its signals, the
/// listeners, the usage log, a file that is being reloaded, and two watches on discovery while one replaces the other.
const RESERVED_DESCRIPTORS: usize = 20;
/// The descriptors divided by this number, within [`CLOSING_CLIENTS_RANGE`], are reserved for clients that are being
/// closed, in addition to those of the served clients. Without a bound a flood of clients would exhaust the
/// descriptors.
const CLOSING_CLIENTS_DIVISOR: usize = 32;
const CLOSING_CLIENTS_RANGE: RangeInclusive<usize> = 2..=16;

/// The maximum number of connections of each kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct DescriptorBudget {
    max_leaf_connections: usize,
    max_clients: usize,
    max_closing_clients: usize,
}

impl DescriptorBudget {
    /// Divides this number of descriptors. Each kind gets at least one.
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

    /// The maximum number of connections to leaf servers.
    pub(super) fn max_leaf_connections(&self) -> usize {
        self.max_leaf_connections
    }

    /// The maximum number of served clients.
    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// The maximum number of clients, including those that are being closed to free descriptors.
    pub(super) fn max_clients_with_closing(&self) -> usize {
        self.max_clients + self.max_closing_clients
    }
}
