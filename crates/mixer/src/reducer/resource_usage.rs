//! What holds memory and descriptors, by kind, with its limit; shown by `/-/stats`.

use super::Reducer;
use serde::Serialize;

/// The use of one kind of resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Gauge {
    /// Items or bytes held at present.
    pub held: usize,
    /// The maximum.
    pub limit: usize,
}

/// The memory that the transport holds, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TransportMemory {
    /// Requests that are being received, beyond what each connection may hold.
    pub request_bytes: Gauge,
    /// Requests that were rejected for others while they were received.
    pub evicted_requests: u64,
    /// Frames that are being received from leaf servers, beyond what each connection may hold.
    pub frame_bytes: Gauge,
    /// Requests and answers in the frontends of other protocols.
    pub frontend_bytes: Gauge,
}

/// What holds memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ResourceUsage {
    /// Client connections.
    pub clients: Gauge,
    /// Connections to leaf servers.
    pub leaf_connections: Gauge,
    /// Leaf servers, including removed ones whose records are retained.
    pub endpoints: Gauge,
    /// Open queries and unanswered parts.
    pub open_parts: Gauge,
    /// The state of open queries and their parts.
    pub part_bytes: Gauge,
    /// The texts of open queries.
    pub text_bytes: Gauge,
    /// The values received for open queries.
    pub value_bytes: Gauge,
    /// Large responses that are not written yet.
    pub response_bytes: Gauge,
    /// Ids of departed clients' queries.
    pub departed_ids: Gauge,
    /// The memory of the transport.
    #[serde(flatten)]
    pub transport: TransportMemory,
}

impl Reducer {
    /// What holds memory and descriptors at present.
    pub(super) fn resource_usage(&self) -> ResourceUsage {
        let (budget, memory) = (&self.memory_budget, self.queries.memory.usage());
        let gauge = |held, limit| Gauge { held, limit };
        ResourceUsage {
            clients: gauge(self.clients.connection_count(), self.max_clients()),
            leaf_connections: gauge(
                self.connections.len(),
                self.descriptor_budget.max_leaf_connections(),
            ),
            endpoints: gauge(self.replicas.len(), budget.endpoints()),
            open_parts: gauge(
                self.queries.len() + self.queries.unanswered_parts(),
                self.settings.max_open_requests,
            ),
            part_bytes: gauge(memory.part_bytes, budget.part_bytes()),
            text_bytes: gauge(memory.text_bytes, budget.text_bytes()),
            value_bytes: gauge(memory.value_bytes, budget.value_bytes()),
            response_bytes: gauge(self.response_memory.used(), budget.response_bytes()),
            departed_ids: gauge(
                self.departed_requests.len(),
                self.settings.max_open_requests,
            ),
            transport: self.transport_memory,
        }
    }
}
