//! The memory of open queries: of their state, of their texts, and of the values received for them.

use super::memory_budget::MemoryBudget;
use super::queries::{EndedQuery, Query};
use super::ConnectionId;
use crate::protocol::query_json::QueryRequest;
use cottonhill_decisions::Nanos;

/// Memory of a query and of each of its parts, in the reducer and in the coordinator, in bytes.
const QUERY_BYTES: usize = 2048;
const PART_BYTES: usize = 1024;
/// Texts and values of up to this size are included in the memory of a part.
const FREE_TEXT_BYTES: usize = 1024;
const FREE_VALUE_BYTES: usize = 256;

/// A connection that was passed a call at this time.
pub(super) type CallWriter = (ConnectionId, Nanos);

/// The text of an ended query that calls contain which are still being written.
#[derive(Debug)]
struct TextInCalls {
    bytes: usize,
    writers: Vec<CallWriter>,
}

/// The limits and the use of the memory of open queries, in bytes.
#[derive(Debug, Default)]
pub(super) struct QueryMemory {
    budget: MemoryBudget,
    part_bytes: usize,
    text_bytes: usize,
    value_bytes: usize,
    texts_in_calls: Vec<TextInCalls>,
}

/// The use of the memory of open queries, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueryMemoryUsage {
    pub(super) part_bytes: usize,
    pub(super) text_bytes: usize,
    pub(super) value_bytes: usize,
}

impl QueryMemory {
    /// Sets the limits.
    pub(super) fn set_budget(&mut self, budget: MemoryBudget) {
        self.budget = budget;
    }

    /// The use of the memory.
    pub(super) fn usage(&self) -> QueryMemoryUsage {
        QueryMemoryUsage {
            part_bytes: self.part_bytes,
            text_bytes: self.text_bytes,
            value_bytes: self.value_bytes,
        }
    }

    /// Whether there is memory for another query. `is_writing` tells whether a connection still writes a call.
    pub(super) fn has_capacity(
        &mut self,
        request: &QueryRequest,
        is_writing: impl Fn(CallWriter) -> bool,
    ) -> bool {
        let part_bytes = self.part_bytes + state_bytes(request.parts.len());
        let text_bytes = large_text_bytes(request.text.len());
        if text_bytes > 0 && self.text_bytes + text_bytes > self.budget.text_bytes() {
            self.release_written_texts(is_writing);
        }
        part_bytes <= self.budget.part_bytes()
            && (text_bytes == 0 || self.text_bytes + text_bytes <= self.budget.text_bytes())
    }

    fn release_written_texts(&mut self, is_writing: impl Fn(CallWriter) -> bool) {
        self.texts_in_calls.retain_mut(|text| {
            text.writers.retain(|writer| is_writing(*writer));
            if text.writers.is_empty() {
                self.text_bytes -= text.bytes;
            }
            !text.writers.is_empty()
        });
    }

    /// Adds an accepted query.
    pub(super) fn add_query(&mut self, query: &Query) {
        self.part_bytes += state_bytes(query.parts.len());
        self.text_bytes += large_text_bytes(query.text_bytes);
    }

    /// Removes a query that has ended. Its text is still held by the calls that `writers` are writing.
    pub(super) fn remove_query(&mut self, ended: &EndedQuery, writers: Vec<CallWriter>) {
        self.part_bytes -= state_bytes(ended.query.parts.len());
        let values = ended.parts.iter().filter_map(|part| part.value.as_ref());
        self.value_bytes -= values
            .map(|value| large_value_bytes(value.len()))
            .sum::<usize>();
        let bytes = large_text_bytes(ended.query.text_bytes);
        if bytes > 0 && !writers.is_empty() {
            self.texts_in_calls.push(TextInCalls { bytes, writers });
        } else {
            self.text_bytes -= bytes;
        }
    }

    /// Adds a received value. Returns false if there is no memory for it.
    pub(super) fn add_value(&mut self, length: usize) -> bool {
        let bytes = large_value_bytes(length);
        if bytes > 0 && self.value_bytes + bytes > self.budget.value_bytes() {
            return false;
        }
        self.value_bytes += bytes;
        true
    }
}

fn state_bytes(parts: usize) -> usize {
    QUERY_BYTES + parts * PART_BYTES
}

/// Whether a text of this length needs memory beyond that of a part.
pub(super) fn is_large_text(length: usize) -> bool {
    length > FREE_TEXT_BYTES
}

fn large_text_bytes(length: usize) -> usize {
    if is_large_text(length) {
        length
    } else {
        0
    }
}

fn large_value_bytes(length: usize) -> usize {
    if length > FREE_VALUE_BYTES {
        length
    } else {
        0
    }
}
