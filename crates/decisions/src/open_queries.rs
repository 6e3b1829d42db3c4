//! The queries that are open, by id, group and part, and when each is next due. Nothing here decides anything.

use crate::due_queue::DueQueue;
use crate::query::{Part, Query};
use crate::{Nanos, RequestId};
use std::collections::BTreeMap;

/// A due time that has always passed.
const AT_ONCE: Nanos = 0;

/// All open queries.
#[derive(Debug, Default)]
pub struct OpenQueries {
    queries: BTreeMap<RequestId, Query>,
    by_group: BTreeMap<u32, RequestId>,
    by_part: BTreeMap<RequestId, RequestId>,
    due: DueQueue,
}

impl OpenQueries {
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// How many parts are open.
    pub fn parts(&self) -> usize {
        self.by_part.len()
    }

    /// How many entries are kept.
    pub fn held(&self) -> usize {
        self.queries.len() + self.by_group.len() + self.by_part.len()
    }

    /// The ids of all, in order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Takes note of those due at `now` and returns their ids in order. Each is due again once it is put back.
    pub fn take_due(&mut self, now: Nanos) -> Vec<RequestId> {
        self.due.take_due(now)
    }

    /// Adds a query, due at once; its parts follow.
    pub fn open(&mut self, query: Query) {
        self.by_group.insert(query.group, query.id);
        self.due.set(query.id, AT_ONCE);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of that group, which is due at once; its id, if it is open.
    pub fn add_part(
        &mut self,
        id: RequestId,
        group: u32,
        shard: u32,
        weight: f64,
    ) -> Option<RequestId> {
        let owner = *self.by_group.get(&group)?;
        let query = self.queries.get_mut(&owner)?;
        query.parts.push(Part {
            id,
            shard,
            weight,
            step: query.step,
            ..Part::default()
        });
        self.by_part.insert(id, owner);
        self.due.set(owner, AT_ONCE);
        Some(owner)
    }

    /// The query of a part, which is due at once.
    pub fn of_part_mut(&mut self, part: RequestId) -> Option<&mut Query> {
        let owner = *self.by_part.get(&part)?;
        let query = self.queries.get_mut(&owner)?;
        self.due.set(owner, AT_ONCE);
        Some(query)
    }

    /// Takes a query out, to be put back or closed.
    pub fn take(&mut self, id: RequestId) -> Option<Query> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was taken out, due at `due`.
    pub fn put_back(&mut self, query: Query, due: Nanos) {
        self.due.set(query.id, due);
        self.queries.insert(query.id, query);
    }

    /// Forgets the group, the parts and the due time of a query that was taken out.
    pub fn close(&mut self, query: &Query) {
        self.due.remove(query.id);
        self.by_group.remove(&query.group);
        for part in &query.parts {
            self.by_part.remove(&part.id);
        }
    }
}
