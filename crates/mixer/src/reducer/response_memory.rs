//! The memory of large responses that clients have not read yet.

use super::input::ClientId;
use super::memory_budget::MemoryBudget;
use super::NANOS_PER_MS;
use cottonhill_decisions::Nanos;
use std::collections::BTreeMap;

/// A response that was not read for this long may be aborted for another one.
const MIN_UNREAD_TIME: Nanos = 250 * NANOS_PER_MS;

/// A large response.
#[derive(Debug)]
struct LargeResponse {
    bytes: usize,
    /// When it was passed to the transport.
    since: Nanos,
}

/// The large responses that the transport holds, by client.
#[derive(Debug, Default)]
pub(super) struct ResponseMemory {
    budget: MemoryBudget,
    used: usize,
    responses: BTreeMap<ClientId, LargeResponse>,
}

impl ResponseMemory {
    /// Sets the limit.
    pub(super) fn set_budget(&mut self, budget: MemoryBudget) {
        self.budget = budget;
    }

    /// Bytes of the responses.
    pub(super) fn used(&self) -> usize {
        self.used
    }

    /// Number of responses.
    pub(super) fn len(&self) -> usize {
        self.responses.len()
    }

    /// Reserves memory for a response. Returns false if there is too little.
    pub(super) fn try_reserve(&mut self, client: ClientId, bytes: usize, now: Nanos) -> bool {
        if self.used + bytes > self.budget.response_bytes() {
            return false;
        }
        self.release(client);
        self.used += bytes;
        let response = LargeResponse { bytes, since: now };
        self.responses.insert(client, response);
        true
    }

    /// Releases the memory of a client's response, which was written or dropped.
    pub(super) fn release(&mut self, client: ClientId) {
        if let Some(response) = self.responses.remove(&client) {
            self.used -= response.bytes;
        }
    }

    /// The clients that have not read their responses for [`MIN_UNREAD_TIME`], if memory for a response of this size is
    /// short. Half of the memory is kept free, since an aborted response is released only later.
    pub(super) fn unread(&self, bytes: usize, now: Nanos) -> Vec<ClientId> {
        if self.used + bytes <= self.budget.response_bytes() / 2 {
            return Vec::new();
        }
        let is_unread =
            |response: &LargeResponse| now.saturating_sub(response.since) >= MIN_UNREAD_TIME;
        self.responses
            .iter()
            .filter(|(_, response)| is_unread(response))
            .map(|(client, _)| *client)
            .collect()
    }
}
