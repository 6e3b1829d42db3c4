//! The open queries and their parts.

use super::input::ClientId;
use super::query_memory::{is_large_text, CallWriter, QueryMemory};
use super::usage::DeduplicationKey;
use bytes::Bytes;
use cottonhill_decisions::{Class, Idempotency, Nanos, Outcome, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An open query: one that has not been replied to.
#[derive(Debug)]
pub(super) struct Query {
    /// The id that the client gave it, unique among the open queries.
    pub(super) request_id: Rc<str>,
    /// The client that sent it.
    pub(super) client: ClientId,
    /// The class's index in the settings.
    pub(super) class: usize,
    /// When the reply must be sent.
    pub(super) deadline: Nanos,
    /// The ids of its parts.
    pub(super) parts: Vec<RequestId>,
    /// The size of its text, which its parts share.
    pub(super) text_bytes: usize,
    /// The tenant's index in the settings.
    pub(super) tenant: u32,
    /// Its arrival time in the usage records.
    pub(super) arrived_at: Nanos,
    /// The client marked it as a retry.
    pub(super) client_retry: bool,
    /// Identifies the query and its retries in the usage records; 0 if usage recording is off.
    pub(super) deduplication_key: DeduplicationKey,
}

/// The part of a query that is sent to one shard.
#[derive(Debug)]
pub(super) struct Part {
    /// The query that it belongs to.
    pub(super) query: RequestId,
    /// The shard that answers it.
    pub(super) shard: u32,
    /// Its fraction of the query's total weight.
    pub(super) weight: f64,
    /// Its wire id: the id in frames to and from leaf servers.
    pub(super) wire_id: Rc<str>,
    /// The text of the query.
    pub(super) text: Bytes,
    /// Whether an attempt was passed to a socket.
    pub(super) was_sent: bool,
    /// How the last attempt that has ended did so: the reason of a retry. A hedged request has none, or an earlier one.
    pub(super) last_outcome: Option<Outcome>,
    /// Number of attempts so far.
    pub(super) attempts: u8,
    /// Number of attempts at replicas in other zones.
    pub(super) cross_zone_attempts: u8,
    /// The first value received; `None` until then.
    pub(super) value: Option<String>,
    /// Number and send time of each attempt that was passed to a socket and may have run; recorded only if the class
    /// has an idempotency window.
    sent_attempts: Vec<(u8, Nanos)>,
}

impl Part {
    /// A part without attempts.
    pub(super) fn new(
        query: RequestId,
        shard: u32,
        weight: f64,
        wire_id: Rc<str>,
        text: Bytes,
    ) -> Part {
        Part {
            query,
            shard,
            weight,
            wire_id,
            text,
            was_sent: false,
            last_outcome: None,
            attempts: 0,
            cross_zone_attempts: 0,
            value: None,
            sent_attempts: Vec::new(),
        }
    }

    /// Counts an attempt; returns its number.
    pub(super) fn add_attempt(&mut self, cross_zone: bool) -> u8 {
        let number = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        self.cross_zone_attempts = self
            .cross_zone_attempts
            .saturating_add(u8::from(cross_zone));
        number
    }

    /// Removes the send time of an attempt that did not run.
    pub(super) fn remove_sent_attempt(&mut self, attempt: u8) {
        self.sent_attempts.retain(|(number, _)| *number != attempt);
    }

    /// When the first attempt that may have run was passed to a socket.
    fn first_sent_at(&self) -> Option<Nanos> {
        self.sent_attempts.iter().map(|(_, sent_at)| *sent_at).min()
    }
}

/// A query that is no longer open, with its parts in the order of the request.
#[derive(Debug)]
pub(super) struct EndedQuery {
    pub(super) query: Query,
    pub(super) parts: Vec<Part>,
}

impl EndedQuery {
    /// The sum of the weights of all parts.
    pub(super) fn total_weight(&self) -> f64 {
        self.parts.iter().map(|part| part.weight).sum()
    }

    /// The sum of the weights of the parts that have a value.
    pub(super) fn answered_weight(&self) -> f64 {
        self.parts
            .iter()
            .filter(|part| part.value.is_some())
            .map(|part| part.weight)
            .sum()
    }
}

/// The open queries and their parts, by id. A part is removed together with its query.
#[derive(Debug)]
pub(super) struct Queries {
    queries: BTreeMap<RequestId, Query>,
    parts: BTreeMap<RequestId, Part>,
    /// Number of parts without a value.
    unanswered_parts: usize,
    /// The ids that clients gave the open queries.
    request_ids: BTreeSet<Rc<str>>,
    /// The memory of the queries, their parts and the values.
    pub(super) memory: QueryMemory,
    /// For each class, how long after the first attempt at a part another one may start; `None` without a limit.
    idempotency_windows: Vec<Option<Nanos>>,
}

impl Queries {
    /// Creates an empty table.
    pub(super) fn new(classes: &[Class]) -> Queries {
        Queries {
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            unanswered_parts: 0,
            request_ids: BTreeSet::new(),
            memory: QueryMemory::default(),
            idempotency_windows: classes.iter().map(idempotency_window).collect(),
        }
    }

    /// Number of open queries.
    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Whether no query is open.
    pub(super) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Number of parts without a value.
    pub(super) fn unanswered_parts(&self) -> usize {
        self.unanswered_parts
    }

    /// The ids of the open queries, in ascending order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// The total number of entries.
    pub(super) fn retained_entries(&self) -> usize {
        self.queries.len() + self.parts.len() + self.request_ids.len()
    }

    /// Whether the client of an open query gave it this id.
    pub(super) fn contains_request_id(&self, request_id: &str) -> bool {
        self.request_ids.contains(request_id)
    }

    /// An open query.
    pub(super) fn get(&self, id: RequestId) -> Option<&Query> {
        self.queries.get(&id)
    }

    /// The parts of an open query, if its text is large.
    pub(super) fn parts_with_large_text(&self, id: RequestId) -> &[RequestId] {
        self.get(id)
            .filter(|query| is_large_text(query.text_bytes))
            .map_or(&[], |query| &query.parts)
    }

    /// A part of an open query.
    pub(super) fn part_mut(&mut self, id: RequestId) -> Option<&mut Part> {
        self.parts.get_mut(&id)
    }

    /// Adds a part; its query must be added next.
    pub(super) fn insert_part(&mut self, id: RequestId, part: Part) {
        self.parts.insert(id, part);
        self.unanswered_parts += 1;
    }

    /// Adds a query, after its parts.
    pub(super) fn insert(&mut self, id: RequestId, query: Query) {
        self.request_ids.insert(query.request_id.clone());
        self.memory.add_query(&query);
        self.queries.insert(id, query);
    }

    /// Removes a query and its parts. `writers` are the connections that are writing calls with its text.
    pub(super) fn remove(&mut self, id: RequestId, writers: Vec<CallWriter>) -> Option<EndedQuery> {
        let query = self.queries.remove(&id)?;
        self.request_ids.remove(&query.request_id);
        let parts: Vec<Part> = query
            .parts
            .iter()
            .filter_map(|part| self.parts.remove(part))
            .collect();
        self.unanswered_parts -= parts.iter().filter(|part| part.value.is_none()).count();
        let ended = EndedQuery { query, parts };
        self.memory.remove_query(&ended, writers);
        Some(ended)
    }

    /// Records the value received for a part, unless the part has one or its query has ended. Returns false if there is
    /// no memory for it.
    pub(super) fn record_value(&mut self, part: RequestId, value: &[u8]) -> bool {
        let Some(part) = self.parts.get_mut(&part) else {
            return true;
        };
        if part.value.is_some() {
            return true;
        }
        if !self.memory.add_value(value.len()) {
            return false;
        }
        // Lossless: the codec has validated that the value is UTF-8.
        part.value = Some(String::from_utf8_lossy(value).into_owned());
        self.unanswered_parts -= 1;
        true
    }

    /// The time until which another attempt at a part may start. `None` if there is no limit, or no attempt can have
    /// run yet.
    pub(super) fn attempt_start_deadline(&self, part: RequestId) -> Option<Nanos> {
        let part = self.parts.get(&part)?;
        let first_sent_at = part.first_sent_at()?;
        Some(first_sent_at.saturating_add(self.part_idempotency_window(part)?))
    }

    /// Records that an attempt at a part is passed to a socket, with its time if the class has an idempotency window.
    pub(super) fn record_sent_attempt(&mut self, part: RequestId, number: u8, now: Nanos) {
        let has_window = self
            .parts
            .get(&part)
            .is_some_and(|part| self.part_idempotency_window(part).is_some());
        let Some(part) = self.parts.get_mut(&part) else {
            return;
        };
        part.was_sent = true;
        if has_window {
            part.sent_attempts.push((number, now));
        }
    }

    fn part_idempotency_window(&self, part: &Part) -> Option<Nanos> {
        let class = self.queries.get(&part.query)?.class;
        self.idempotency_windows.get(class).copied().flatten()
    }
}

/// How long leaf servers recognise a repeated attempt of this class; `None` if the class does not depend on that.
fn idempotency_window(class: &Class) -> Option<Nanos> {
    (class.idempotency == Idempotency::IdempotencyKey).then_some(class.idempotency_window)
}
